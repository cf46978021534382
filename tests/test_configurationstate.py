"""tests.test_configurationstate: Tests of plans, confirmations and retries."""

from unittest import mock

import msgpack
import testscenarios
import testtools

from knapweeddeal import configurationstate
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.operator import ConfirmAnswer, FailureAnswer, IntentStep
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PublishAnswer,
    PublishRecord,
)
from knapweeddeal.messages.replication import (
    ConfirmRecord,
    MemberCountRecord,
    MembershipRecord,
    NonvoterRecord,
    PlanRecord,
)
from tests.packetfakes import route

PLAN_LIFE_MS = 1_000


def plan(name, request_id, *, operator="ana", now_ms=0, port=80):
    """Return a record that plans to create a service."""
    step = IntentStep(
        action="create-service",
        service=name,
        host="127.0.0.1",
        port=port,
        upstream_id="",
    )
    return PlanRecord(
        operator=operator,
        request_id=request_id,
        steps=[step],
        upstreams=["u1"],
        zones=["z"],
        flows=3,
        planned_ms=now_ms,
        life_ms=PLAN_LIFE_MS,
    )


def confirm(plan_id, request_id, *, operator="ana", now_ms=0):
    """Return a record that confirms a plan."""
    return ConfirmRecord(
        operator=operator, request_id=request_id, plan_id=plan_id, confirmed_ms=now_ms
    )


class StateTest(testtools.TestCase):
    """Apply each record to a state and to one restored after every record."""

    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()
        self.restored = ConfigurationState()
        self.index = 0

    def apply(self, record):
        """Apply a record; the restored state must give the same answer."""
        self.index += 1
        answer = self.state.apply(self.index, record)
        self.assertEqual(answer, self.restored.apply(self.index, record))
        image = self.restored.encode_snapshot()
        self.restored = ConfigurationState()
        self.restored.restore(image)
        self.assertEqual(self.state.encode_snapshot(), image)
        return answer

    def assertFails(self, answer, code, field, value):  # noqa: N802
        """Check that an answer is a failure with these values."""
        self.assertIsInstance(answer, FailureAnswer)
        self.assertEqual(
            (code, field, str(value)), (answer.code, answer.field, answer.value)
        )


class Confirmations(StateTest):
    """A confirmation is a compare-and-set on the plan's base version."""

    def test_plan_changes_nothing(self):
        answer = self.apply(plan("web", "r1"))
        self.assertEqual((0, ["web"]), (answer.base_version, answer.services))
        self.assertEqual((["u1"], ["z"], 3, PLAN_LIFE_MS), self.affected(answer))
        self.assertEqual(0, self.state.configuration.version)

    def affected(self, answer):
        """Return what the plan affects, and its expiry time."""
        return (answer.upstreams, answer.zones, answer.flows, answer.expires_ms)

    def test_confirmed(self):
        planned = self.apply(plan("web", "r1"))
        answer = self.apply(confirm(planned.plan_id, "r2"))
        self.assertEqual(ConfirmAnswer(plan_id=planned.plan_id, version=1), answer)
        names = [entry.name for entry in self.state.configuration.services]
        self.assertEqual(["web"], names)

    def test_second_plan_on_same_base_version_conflicts(self):
        first = self.apply(plan("web", "r1"))
        second = self.apply(plan("dns", "r1", operator="ben", port=53))
        self.assertEqual(first.base_version, second.base_version)
        self.apply(confirm(first.plan_id, "r2"))
        rejected = self.apply(confirm(second.plan_id, "r2", operator="ben"))
        self.assertFails(rejected, "conflict", "version", 1)
        self.assertEqual(1, self.state.configuration.version)

    def test_confirmed_plan_confirmed_again(self):
        planned = self.apply(plan("web", "r1"))
        self.apply(confirm(planned.plan_id, "r2"))
        self.assertEqual(1, self.apply(confirm(planned.plan_id, "r3")).version)
        other = self.apply(confirm(planned.plan_id, "r4", operator="ben"))
        self.assertFails(other, "conflict", "version", 1)

    def test_unknown_plan(self):
        answer = self.apply(confirm("plan-9", "r1"))
        self.assertFails(answer, "invalid_intent", "plan_id", "plan-9")

    def test_invalid_intent(self):
        answer = self.apply(plan("no name", "r1"))
        self.assertFails(answer, "invalid_intent", "service", "no name")


class PlanExpiry(testscenarios.TestWithScenarios, StateTest):
    """A plan expires by the times in records, not by a replica's clock.

    With local clocks, replicas could disagree on whether a plan was confirmed.
    """

    scenarios = [
        ("before expiry", {"now_ms": PLAN_LIFE_MS - 1, "code": None}),
        ("at expiry", {"now_ms": PLAN_LIFE_MS, "code": "invalid_intent"}),
    ]

    def test_confirm(self):
        planned = self.apply(plan("web", "r1"))
        answer = self.apply(confirm(planned.plan_id, "r2", now_ms=self.now_ms))
        self.assertEqual(self.code, getattr(answer, "code", None))

    def test_plan_with_time_behind_the_replicated_clock(self):
        self.apply(plan("old", "r0", now_ms=10**12))
        planned = self.apply(plan("web", "r1", now_ms=5))
        answer = self.apply(confirm(planned.plan_id, "r2", now_ms=6))
        self.assertEqual(1, answer.version)


class ResentRequests(StateTest):
    """A retried request id gets the first result, whatever changed since.

    Without the stored result, a retry could apply a command twice.
    """

    def test_plan(self):
        first = self.apply(plan("web", "r1"))
        self.assertEqual(first, self.apply(plan("web", "r1", now_ms=500)))
        self.assertEqual(1, self.state.counts()["plans"])

    def test_confirm_after_other_changes(self):
        planned = self.apply(plan("web", "r1"))
        first = self.apply(confirm(planned.plan_id, "r2"))
        other = self.apply(plan("dns", "r3", port=53))
        self.apply(confirm(other.plan_id, "r4"))
        again = self.apply(confirm(planned.plan_id, "r2", now_ms=10 * PLAN_LIFE_MS))
        self.assertEqual(first, again)
        self.assertEqual(2, self.state.configuration.version)

    def test_conflict(self):
        first = self.apply(plan("web", "r1"))
        second = self.apply(plan("dns", "r2", port=53))
        self.apply(confirm(first.plan_id, "r3"))
        rejected = self.apply(confirm(second.plan_id, "r4"))
        self.assertEqual(rejected, self.apply(confirm(second.plan_id, "r4")))

    def test_failure_is_repeated(self):
        failed = self.apply(confirm("plan-2", "r1"))
        self.apply(plan("web", "r2"))
        self.assertEqual(failed, self.apply(confirm("plan-2", "r1")))

    def test_request_id_of_another_command(self):
        planned = self.apply(plan("web", "r1"))
        answer = self.apply(confirm(planned.plan_id, "r1"))
        self.assertFails(answer, "invalid_intent", "request_id", "r1")
        self.assertEqual(0, self.state.configuration.version)

    def test_request_ids_are_per_operator(self):
        self.apply(plan("web", "r1"))
        other = self.apply(plan("dns", "r1", operator="ben", port=53))
        self.assertEqual(["dns"], other.services)

    def test_membership_record_is_stored(self):
        record = MembershipRecord(replicas=[], operator="ana", request_id="r1")
        self.apply(record)
        self.assertEqual(record, self.state.stored_answer("ana", "r1"))


class WithoutRequestId(testtools.TestCase):
    """A record without a request id has no stored answer, so it isn't encoded for one.

    Each replica encoded each published configuration again when it applied it.
    """

    def test_not_encoded(self):
        record = PublishRecord(
            operator="",
            request_id="",
            configuration=PacketConfiguration(
                revision=7, routes=[route()], document=b"", services=[]
            ),
        )
        with mock.patch("knapweeddeal.configurationstate.encode") as encode:
            answer = ConfigurationState().apply(1, record)
        self.assertEqual(PublishAnswer(revision=7), answer)
        self.assertEqual([], encode.call_args_list)


class MemberCounts(StateTest):
    """The number of members outlives restarts and snapshots of earlier versions."""

    def test_last_record_counts(self):
        for count in (3, 4):
            record = MemberCountRecord(operator="", request_id="", members=count)
            self.apply(record)
            self.assertEqual(count, self.restored.settled_members)

    def test_snapshot_without_the_field(self):
        image = msgpack.packb(msgpack.unpackb(self.state.encode_snapshot())[:-2])
        self.state.restore(image)
        self.assertEqual(0, self.state.settled_members)


class Nonvoters(StateTest):
    """Nonvoters outlive restarts; snapshots of earlier versions have none.

    Guards against a member that is forgotten, as all replicas restart while it is out
    of reach.
    """

    def test_last_record_counts(self):
        for identities in ((2,), (2, 3), ()):
            replicas = [
                Replica(name=f"r{one}", identity=one, host="127.0.0.1", port=one)
                for one in identities
            ]
            self.apply(NonvoterRecord(operator="", request_id="", replicas=replicas))
            self.assertEqual(replicas, self.restored.nonvoters)

    def test_snapshot_without_the_field(self):
        image = msgpack.packb(msgpack.unpackb(self.state.encode_snapshot())[:-1])
        self.state.restore(image)
        self.assertEqual([], self.state.nonvoters)


class MemoryBounds(testscenarios.TestWithScenarios, StateTest):
    """Memory is bounded, and evicted commands can't take effect twice."""

    scenarios = [
        ("results", {"limit": "MAX_RESULTS", "maximum": 4, "count_name": "results"}),
        (
            "bytes",
            {"limit": "MAX_RESULT_BYTES", "maximum": 500, "count_name": "result_bytes"},
        ),
        ("plans", {"limit": "MAX_PLANS", "maximum": 4, "count_name": "plans"}),
    ]

    def test_bounded(self):
        self.patch(configurationstate, self.limit, self.maximum)
        planned = self.apply(plan("web", "r0"))
        self.apply(confirm(planned.plan_id, "c0"))
        for number in range(20):
            self.apply(plan(f"s{number}", f"r{number + 1}", port=100 + number))
        self.assertTrue(0 < self.state.counts()[self.count_name] <= self.maximum)
        self.apply(confirm(planned.plan_id, "c0", now_ms=5))
        self.assertEqual(1, self.state.configuration.version)
