"""tests.test_controlreplica: Tests of the logic of a control replica."""

import random
from unittest import mock

import msgpack
import testscenarios
import testtools

from knapweeddeal.commandrecords import prepare_publication
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensus import LEADER, Node
from knapweeddeal.consensuslog import pack_command
from knapweeddeal.controlreplica import ControlReplica
from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendRequest,
    ConfigurationRequest,
    LogRecord,
    Replica,
    VoteAnswer,
)
from knapweeddeal.messages.evacuation import EvacuateRequest, ZonesRequest
from knapweeddeal.messages.operator import (
    ConfirmRequest,
    FailureAnswer,
    IntentStep,
    PlanAnswer,
    PlanRequest,
    ReplicasRequest,
    ReplicaSwapRequest,
    ServicesRequest,
    StatusRequest,
)
from knapweeddeal.messages.packets import (
    MAX_DOCUMENT_BYTES,
    PacketConfiguration,
    PublishRecord,
    PublishRequest,
)
from knapweeddeal.messages.replication import (
    EntryReports,
    HardState,
    MemberCountRecord,
)
from tests.packetfakes import route

ELECTION_MS = 100
PLAN_LIFE_MS = 1_000
SNAPSHOT_RECORDS = 10
READMIT = EvacuateRequest(operator="ana", request_id="", zone="zone-a", evacuated=False)


def publish(*routes, document=b""):
    """Return the request to publish routes."""
    configuration = PacketConfiguration(
        revision=7, routes=list(routes), document=document, services=[]
    )
    return PublishRequest(configuration=configuration)


def replica_of(identity):
    """Return the replica of an identity."""
    return Replica(name=f"r{identity}", identity=identity, host="127.0.0.1", port=1)


def make_replica(*, members):
    """Return replica 1 of a new cluster."""
    node = Node(
        identity=1,
        state=HardState(term=0, voted_for=0),
        snapshot=None,
        records=[],
        random=random.Random(1),
        now_ms=0,
        election_ms=ELECTION_MS,
        heartbeat_ms=20,
    )
    node.bootstrap([replica_of(identity) for identity in members])
    return ControlReplica(
        own_replica=replica_of(1),
        node=node,
        state=ConfigurationState(),
        election_ms=ELECTION_MS,
        plan_life_ms=PLAN_LIFE_MS,
        now_ms=0,
        snapshot_records=SNAPSHOT_RECORDS,
    )


def flush(replica):
    """Persist and apply each Ready, as if the disk never failed."""
    while True:
        ready = replica.node.pop_ready()
        if not ready:
            return
        replica.node.persisted(ready)
        replica.apply(ready)


def step(number):
    """Return a step that creates a service."""
    return IntentStep(
        action="create-service",
        service=f"s{number}",
        host="127.0.0.1",
        port=1 + number,
        upstream_id="",
    )


def plan_request(number=1):
    """Return a request for a plan."""
    return PlanRequest(request_id=f"p{number}", operator="ana", steps=[step(number)])


def entry_report(name, version):
    """Return an entry's report of its applied version."""
    return ConfigurationRequest(
        name=name, incarnation=1, zone="z", applied_version=version
    )


class ReplicaTest(testtools.TestCase):
    """Set up a replica that leads its cluster if it is the only member."""

    members = (1,)

    def setUp(self):
        super().setUp()
        self.replica = make_replica(members=self.members)
        self.now_ms = 0
        flush(self.replica)
        self.wait(3 * ELECTION_MS)

    def wait(self, time_ms):
        """Advance the time and handle what is due."""
        self.now_ms += time_ms
        self.replica.tick(self.now_ms)
        flush(self.replica)

    def submit(self, message, call_id=7):
        """Submit a request, and return the answers that are ready."""
        self.replica.submit(call_id, message, self.now_ms, self.now_ms)
        flush(self.replica)
        return self.answers()

    def answers(self):
        """Return the answers that are ready."""
        return [answer.message for answer in self.replica.pop_answers()]

    def become_leader(self):
        """Let replica 2 grant its votes and send nothing afterwards."""
        node = self.replica.node
        for pre in (True, False):
            answer = VoteAnswer(term=node.term + pre, voter=2, granted=True, pre=pre)
            node.receive(2, answer, self.now_ms)
            flush(self.replica)
        self.assertEqual(LEADER, node.role)

    def catch_up(self, identity):
        """Let a replica acknowledge all records."""
        node = self.replica.node
        answer = AppendAnswer(
            term=node.term,
            follower=identity,
            success=True,
            match_index=node.log.last_index,
            round=1 << 30,
        )
        node.receive(identity, answer, self.now_ms)
        flush(self.replica)

    def create_service(self, number):
        """Plan and confirm a new service, and return the version."""
        plan = self.submit(plan_request(number))[0]
        request = ConfirmRequest(
            request_id=f"c{number}", operator="ana", plan_id=plan.plan_id
        )
        return self.submit(request)[0].version


class EntryStatuses(ReplicaTest):
    """The status lists the latest report of each entry, whichever replica got it."""

    def test_latest_report_wins(self):
        self.wait(1_000)
        self.replica.entries.record_report(entry_report("e1", 5), self.now_ms)
        older = entry_report("e1", 4)
        status = (
            self.submit(StatusRequest())[0]
            .entries[0]
            .replace(applied_version=older.applied_version, age_ms=500)
        )
        self.replica.receive(2, EntryReports(entries=[status]), self.now_ms)
        newer = status.replace(name="e2", applied_version=6, age_ms=0)
        self.replica.receive(2, EntryReports(entries=[newer]), self.now_ms)
        entries = self.submit(StatusRequest())[0].entries
        found = [(entry.name, entry.applied_version) for entry in entries]
        self.assertEqual([("e1", 5), ("e2", 6)], found)

    def test_silent_entry_expires(self):
        self.replica.entries.record_report(entry_report("e1", 5), self.now_ms)
        self.wait(1_000)
        self.assertEqual(
            [1_000], [e.age_ms for e in self.submit(StatusRequest())[0].entries]
        )
        self.wait(1_000_000)
        self.assertEqual([], self.submit(StatusRequest())[0].entries)


class NoQuorum(testscenarios.TestWithScenarios, ReplicaTest):
    """Without a majority, requests fail after two election timeouts.

    A request must not wait for ever, whether this replica leads or knows no leader.
    """

    members = (1, 2)
    scenarios = [
        (
            f"{name} {'as leader' if leads else 'without leader'}",
            {"message": request, "leads": leads},
        )
        for leads in (False, True)
        for name, request in (
            ("status", StatusRequest()),
            ("services", ServicesRequest()),
            ("replicas", ReplicasRequest()),
            ("plan", plan_request()),
            ("zones", ZonesRequest()),
            # Not confirmed by what this replica knows: a later order may be missing.
            ("order that changes nothing here", READMIT),
        )
    ]

    def test_refused_after_two_election_timeouts(self):
        if self.leads:
            self.become_leader()
        self.assertEqual([], self.submit(self.message))
        self.wait(2 * ELECTION_MS - 1)
        self.assertEqual([], self.answers())
        self.wait(1)
        answers = self.answers()
        self.assertEqual(["no_quorum"], [answer.code for answer in answers])


class Snapshots(ReplicaTest):
    """A snapshot is due after enough records or when the log is too large."""

    def test_after_enough_records(self):
        for number in range(SNAPSHOT_RECORDS // 2):
            self.create_service(number)
        snapshot = self.replica.take_snapshot(0)
        self.assertEqual(self.replica.node.applied_index, snapshot.last_index)
        self.assertIsNone(self.replica.take_snapshot(0))
        restored = ConfigurationState()
        restored.restore(snapshot.data)
        self.assertEqual(
            self.replica.state.encode_snapshot(), restored.encode_snapshot()
        )

    def test_after_log_grew_too_large(self):
        self.assertIsNone(self.replica.take_snapshot(0))
        self.assertIsNotNone(self.replica.take_snapshot(1 << 30))


class ReplicaSwaps(ReplicaTest):
    """A new member is added only after it caught up; then the old one is removed.

    Adding it earlier would leave a member in the quorum that lacks committed records.
    """

    def swap(self, request_id="s1", *, add="r2", remove=0):
        """Request the replacement of a member."""
        request = ReplicaSwapRequest(
            request_id=request_id,
            operator="ana",
            add=Replica(name=add, identity=0, host="", port=0),
            remove=remove,
        )
        return self.submit(request)

    def names(self, answer):
        """Return the names of the members."""
        return [replica.name for replica in answer.members]

    def test_added_after_catching_up(self):
        self.replica.peer_connected(replica_of(2))
        self.assertEqual([], self.swap())
        self.wait(10)
        self.assertEqual({1}, self.replica.node.members)
        self.catch_up(2)
        self.wait(10)
        self.assertEqual({1, 2}, self.replica.node.members)
        self.assertEqual([], self.answers())
        self.catch_up(2)
        self.wait(0)
        answer = self.answers()[0]
        self.assertEqual(["r1", "r2"], self.names(answer))
        self.assertEqual([answer], self.swap())

    def test_unknown_candidate(self):
        answer = self.swap()[0]
        self.assertEqual(("invalid_intent", "add"), (answer.code, answer.field))

    def test_last_member_is_not_removed(self):
        answer = self.swap(add="", remove=1)[0]
        self.assertEqual(("invalid_intent", "remove"), (answer.code, answer.field))

    def test_one_at_a_time(self):
        self.replica.peer_connected(replica_of(2))
        self.swap()
        self.assertEqual(["conflict"], [answer.code for answer in self.swap("s2")])

    def test_times_out(self):
        self.replica.peer_connected(replica_of(2))
        self.swap()
        self.wait(60_000)
        self.assertEqual(["no_quorum"], [answer.code for answer in self.answers()])
        self.assertFalse(self.replica.node.is_learner(2))

    def test_request_id_of_another_command(self):
        self.submit(plan_request())
        answer = self.swap("p1")[0]
        self.assertIsInstance(answer, FailureAnswer)
        self.assertEqual("request_id", answer.field)


class UnreadableCommands(testscenarios.TestWithScenarios, ReplicaTest):
    """A command that replicas couldn't read isn't logged; if it is, it has no effect.

    Guards against one accepted command that ends every replica at each start.
    """

    scenarios = [
        ("IPv6 address", {"message": publish(route(host="::1")), "field": "host"}),
        (
            "padded address",
            {"message": publish(route(host="10.0.0.08")), "field": "host"},
        ),
        (
            "too many shares",
            {"message": publish(route(*(f"s{n}" for n in range(65))))},
        ),
        (
            "too many routes",
            {
                "message": publish(
                    *(route(host=f"10.0.{n >> 8}.{n & 255}") for n in range(20_001))
                )
            },
        ),
        (
            "long document",
            {"message": publish(document=b"x" * (MAX_DOCUMENT_BYTES + 1))},
        ),
        ("long name of a zone", {"message": READMIT.replace(zone="z" * 65)}),
        ("half a surrogate pair", {"message": READMIT.replace(zone="\ud800")}),
    ]
    field = None

    def test_refused(self):
        last_index = self.replica.node.log.last_index
        (answer,) = self.submit(self.message)
        self.assertIn(answer.code, ("bad_message", "invalid_intent"))
        if self.field is not None:
            self.assertEqual(self.field, answer.field)
        self.assertEqual(last_index, self.replica.node.log.last_index)
        self.assertEqual(1, self.create_service(1))

    def test_refused_under_an_old_revision(self):
        """A revision that isn't newer changes nothing, but isn't confirmed either."""
        self.assertEqual(7, self.submit(publish(route()))[0].revision)
        (answer,) = self.submit(publish(route(host="::1")))
        self.assertEqual("invalid_intent", answer.code)

    def test_logged_by_an_earlier_version(self):
        record = PublishRecord(
            operator="",
            request_id="",
            configuration=publish(route(*(f"s{n}" for n in range(65)))).configuration,
        )
        self.replica.node.propose(encode(record))
        flush(self.replica)
        self.assertEqual(0, self.replica.state.packets.revision)
        self.assertEqual(1, self.create_service(1))

    def test_logged_by_a_later_version(self):
        """An unknown command must not be skipped, as other replicas apply it."""
        self.replica.node.propose(msgpack.packb([9_999, "x"]))
        self.assertRaises(BadMessageError, flush, self.replica)

    def test_optional_one_logged_by_a_later_version(self):
        """Guards against replicas that end while others are updated."""
        self.replica.node.propose_optional(msgpack.packb([9_999, "x"]))
        flush(self.replica)
        self.assertEqual(1, self.create_service(1))


class MemberCounts(ReplicaTest):
    """A recorded number of members takes effect on the replicas that apply it."""

    def test_in_force(self):
        record = MemberCountRecord(operator="", request_id="", members=4)
        self.replica.node.propose_optional(encode(record))
        flush(self.replica)
        self.assertEqual(4, self.replica.state.settled_members)


class OperatorRequests(ReplicaTest):
    """Commands get an answer; unknown message types get an error code."""

    def test_unknown_message(self):
        answer = self.submit(HardState(term=1, voted_for=1))[0]
        self.assertEqual("bad_message", answer.code)

    def test_plan(self):
        plan = self.submit(plan_request())[0]
        self.assertIsInstance(plan, PlanAnswer)
        self.assertEqual(self.now_ms + PLAN_LIFE_MS, plan.expires_ms)


class ResubmittedPublication(ReplicaTest):
    """A publication that is submitted again waits for the record that the log has.

    Each call that was sent again appended the whole configuration once more.
    """

    members = (1, 2)

    def setUp(self):
        super().setUp()
        self.become_leader()
        self.publication = prepare_publication(publish(route()).configuration)
        self.assertEqual([], self.submit(self.publication))

    def commands(self):
        """Return the publications in the log."""
        log = self.replica.node.log
        records = log.slice(1, log.last_index)
        return [r for r in records if r.command[1:] == self.publication.command.data]

    def check_answered(self, count):
        """Let replica 2 acknowledge all; check answers and the number of records."""
        self.catch_up(2)
        answers = self.answers()
        self.assertEqual([7] * count, [answer.revision for answer in answers])
        self.assertEqual(1, len(self.commands()))
        self.assertEqual(7, self.replica.state.packets.revision)

    def replace_record(self, command):
        """Let replica 2 lead and commit another command at the publication's index."""
        node = self.replica.node
        index, term = self.publication.position
        request = AppendRequest(
            term=term + 1,
            leader=2,
            previous_index=index - 1,
            previous_term=node.log.term_at(index - 1),
            records=[LogRecord(index=index, term=term + 1, command=command)],
            commit_index=index,
            round=1,
        )
        node.receive(2, request, self.now_ms)
        flush(self.replica)

    def test_same_term(self):
        self.submit(self.publication, call_id=8)
        self.check_answered(2)

    def test_after_another_election(self):
        self.wait(2 * ELECTION_MS)
        self.answers()
        self.wait(2 * ELECTION_MS)
        self.become_leader()
        self.submit(self.publication, call_id=8)
        self.check_answered(1)

    def test_after_another_leader_replaced_the_record(self):
        self.replace_record(b"\2")
        self.assertEqual(["not_leader"], [answer.code for answer in self.answers()])
        self.assertEqual([], self.commands())
        self.wait(4 * ELECTION_MS)
        self.become_leader()
        self.submit(self.publication, call_id=8)
        self.check_answered(1)

    def test_another_publication_replaced_the_record(self):
        """Guard against applying what was proposed instead of what was committed."""
        other = prepare_publication(publish().configuration.replace(revision=6))
        self.replace_record(pack_command(other.command.data))
        self.assertEqual(6, self.replica.state.packets.revision)

    def test_decoded_once(self):
        """The leader applies what it proposed without decoding it again."""
        with mock.patch("knapweeddeal.controlreplica.decode") as decode:
            self.check_answered(1)
        self.assertEqual([], decode.call_args_list)
