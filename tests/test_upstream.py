"""tests.test_upstream: Tests of requests and cancellations at an upstream."""

import testscenarios
import testtools

from knapweeddeal import requesthistory
from knapweeddeal.messages.upstream import (
    LEAVING,
    READY,
    Announce,
    FlowClose,
    FlowOpen,
    FlowTouch,
    Work,
    WorkAnswer,
    WorkCancel,
    WorkCancelled,
    WorkShed,
)
from knapweeddeal.requesthistory import MAX_CANCELLED, MAX_OWNERS, MAX_SEEN
from knapweeddeal.upstream import MAX_QUEUED_PER_SLOT, RunJob, UpstreamCore

OWNER = 7
IDLE_MS = 1_000
LIFE_MS = 10_000


class Case(testtools.TestCase):
    """Create an upstream with one slot and one open flow."""

    def setUp(self):
        super().setUp()
        announce = Announce(
            upstream_id="u",
            incarnation=1,
            sequence=1,
            zone="z",
            service="s",
            host="h",
            port=1,
            health_port=0,
            slots=1,
            max_connections=2,
            state=READY,
            drain_ms=0,
        )
        self.now_ms = 0
        self.core = UpstreamCore(
            announce=announce, idle_ms=IDLE_MS, ticket_life_ms=LIFE_MS
        )
        self.flow(FlowOpen)

    def receive(self, message, stream="a"):
        return self.core.receive(message, stream, now_ms=self.now_ms)

    def flow(self, cls, flow_id=1):
        fields = {"caller_host": "c", "caller_port": 1} if cls is not FlowClose else {}
        return self.receive(cls(flow_id=flow_id, **fields))

    def work(self, number, *, owner=OWNER, stream="a", idempotent=False):
        return self.receive(
            Work(
                flow_id=1,
                owner_incarnation=owner,
                number=number,
                idempotent=idempotent,
                deadline_ms=100,
                caller_host="c",
                caller_port=1,
                body=b"",
            ),
            stream,
        )

    def run_work(self, number, **fields):
        (run,) = self.work(number, **fields)
        return self.core.finish(run.job, b"done", now_ms=self.now_ms)

    def cancel(self, number, *, owner=OWNER, stream="b"):
        message = WorkCancel(flow_id=1, owner_incarnation=owner, number=number)
        return self.receive(message, stream)

    def try_cancel(self, number, **fields):
        (reply,) = self.cancel(number, **fields)
        self.assertIs(WorkCancelled, type(reply.message))
        return reply.message.stands

    def drop_stored_answers(self):
        self.core._answers.clear()


class Cancellation(Case):
    """A cancellation must be permanent, or else be rejected.

    The caller is told that a cancelled request did not run, and may repeat it. If the
    request had run before or ran later, it would run twice.
    """

    def test_cancel_before_request(self):
        self.assertTrue(self.try_cancel(1))
        self.assertIs(WorkShed, type(self.work(1)[0].message))

    def test_cancel_queued_request(self):
        self.work(1)
        self.work(2)
        self.assertTrue(self.try_cancel(2))
        self.assertEqual(1, self.core.outstanding)

    def test_cancel_running_request_returns_answer(self):
        (run,) = self.work(1)
        self.assertEqual([], self.cancel(1))
        replies = self.core.finish(run.job, b"done", now_ms=0)
        self.assertEqual(["a", "b"], [reply.stream for reply in replies])

    def test_cancel_finished_request_returns_answer(self):
        self.run_work(1)
        (reply,) = self.cancel(1)
        self.assertIs(WorkAnswer, type(reply.message))
        self.assertEqual("b", reply.stream)

    def test_cancel_after_number_was_evicted(self):
        for number in range(1, 3 * MAX_SEEN):
            self.run_work(number)
        self.drop_stored_answers()
        self.assertFalse(self.try_cancel(1))
        self.assertFalse(self.try_cancel(3 * MAX_SEEN - 1))
        self.assertTrue(self.try_cancel(3 * MAX_SEEN))

    def test_cancel_after_owner_was_evicted(self):
        for owner in range(2 * MAX_OWNERS):
            self.run_work(1, owner=100 + owner)
        self.drop_stored_answers()
        for owner in range(2 * MAX_OWNERS):
            self.assertFalse(self.try_cancel(1, owner=100 + owner))

    def test_cancel_for_owner_without_history(self):
        for owner in range(MAX_OWNERS):
            self.assertTrue(self.try_cancel(1, owner=100 + owner))
        self.run_work(1)
        self.drop_stored_answers()
        self.assertFalse(self.try_cancel(1))

    def test_cancellations_are_bounded(self):
        cancelled = [
            self.try_cancel(number) for number in range(1, 2 * MAX_CANCELLED + 1)
        ]
        self.assertEqual([True] * MAX_CANCELLED, cancelled[:MAX_CANCELLED])
        self.assertEqual([False] * MAX_CANCELLED, cancelled[MAX_CANCELLED:])
        for owner in range(2 * MAX_OWNERS):
            self.run_work(1, owner=100 + owner)
        self.assertIs(WorkShed, type(self.work(1)[0].message))


class EndedFlows(testscenarios.TestWithScenarios, Case):
    """Cancellations and the history of requests must outlive the flow.

    Requests and cancellations can arrive after the flow was closed or expired.
    """

    scenarios = [
        ("closed", {"by_idle_time": False}),
        ("idle", {"by_idle_time": True}),
    ]

    def end(self):
        if not self.by_idle_time:
            self.flow(FlowClose)
            return
        self.now_ms += IDLE_MS
        self.core.tick(now_ms=self.now_ms)

    def test_cancellation_outlives_flow(self):
        self.assertTrue(self.try_cancel(1))
        self.end()
        self.assertEqual({}, self.core.flows)
        self.assertIs(WorkShed, type(self.work(1)[0].message))
        self.flow(FlowOpen)
        self.assertIs(WorkShed, type(self.work(1)[0].message))

    def test_finished_request_outlives_flow(self):
        self.run_work(1)
        self.drop_stored_answers()
        self.end()
        self.assertFalse(self.try_cancel(1))
        self.flow(FlowOpen)
        self.assertFalse(self.try_cancel(1))

    def test_history_after_ticket_lifetime(self):
        self.run_work(1)
        self.drop_stored_answers()
        self.end()
        self.now_ms += LIFE_MS
        self.core.tick(now_ms=self.now_ms)
        self.assertFalse(self.try_cancel(1))
        self.flow(FlowTouch)
        self.assertFalse(self.try_cancel(1))

    def test_request_does_not_reopen_ended_flow(self):
        self.end()
        self.run_work(1)
        self.assertEqual({}, self.core.flows)
        self.assertFalse(self.try_cancel(1, owner=OWNER + 1))


class TooManyEndedFlows(Case):
    """Cancellations must be rejected without room for them, or after an eviction.

    An evicted history can't show which requests ran.
    """

    def setUp(self):
        super().setUp()
        self.patch(requesthistory, "MAX_ENDED", 2)

    def end_flows(self, action):
        for flow_id in (11, 12, 13):
            self.flow(FlowOpen, flow_id)
            action(flow_id)
            self.flow(FlowClose, flow_id)

    def test_no_room_for_cancellation(self):
        self.end_flows(
            lambda flow_id: self.receive(
                WorkCancel(flow_id=flow_id, owner_incarnation=OWNER, number=1)
            )
        )
        self.assertFalse(self.try_cancel(1))

    def test_evicted_history(self):
        self.flow(FlowClose)
        self.end_flows(
            lambda flow_id: self.core.flows[flow_id].history.record_request(OWNER, 1),
        )
        self.flow(FlowOpen, 1)
        self.assertFalse(self.try_cancel(1))


class Shedding(Case):
    """A shed request must never run later, as the caller may repeat it."""

    def test_full_queue(self):
        for number in range(1, 2 + MAX_QUEUED_PER_SLOT):
            self.work(number)
        (reply,) = self.work(1_000)
        self.assertEqual("overloaded", reply.message.reason)
        self.assertTrue(self.try_cancel(1_000))

    def test_deadline_expires_in_queue(self):
        (run,) = self.work(1)
        self.work(2)
        replies = self.core.finish(run.job, b"", now_ms=200)
        self.assertEqual("deadline", replies[1].message.reason)
        self.assertTrue(self.try_cancel(2))

    def test_flow_limit_and_leaving(self):
        self.flow(FlowOpen, 2)
        self.assertEqual("full", self.flow(FlowOpen, 3)[0].message.reason)
        self.core.announce = self.core.announce.replace(state=LEAVING)
        self.flow(FlowClose, 2)
        self.assertEqual("leaving", self.flow(FlowOpen, 3)[0].message.reason)


class RepeatedRequest(Case):
    """A repeated request runs again only if it is idempotent."""

    def test_repeated_request(self):
        self.run_work(1)
        self.run_work(2, idempotent=True)
        self.drop_stored_answers()
        self.assertEqual([], self.work(1))
        self.assertIs(RunJob, type(self.work(2, idempotent=True)[0]))
