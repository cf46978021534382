"""tests.test_upstream: Tests of what an upstream decides and remembers."""

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
    """Hold an upstream with one slot and one open flow."""

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

    def stands(self, number, **fields):
        (reply,) = self.cancel(number, **fields)
        self.assertIs(WorkCancelled, type(reply.message))
        return reply.message.stands

    def forget_answers(self):
        self.core._answers.clear()


class Cancellation(Case):
    """A cancellation stands for good, or doesn't stand."""

    def test_before_the_request(self):
        self.assertTrue(self.stands(1))
        self.assertIs(WorkShed, type(self.work(1)[0].message))

    def test_while_it_waits(self):
        self.work(1)
        self.work(2)
        self.assertTrue(self.stands(2))
        self.assertEqual(1, self.core.outstanding)

    def test_while_it_runs_both_get_the_answer(self):
        (run,) = self.work(1)
        self.assertEqual([], self.cancel(1))
        replies = self.core.finish(run.job, b"done", now_ms=0)
        self.assertEqual(["a", "b"], [reply.stream for reply in replies])

    def test_after_it_ran_gets_the_answer(self):
        self.run_work(1)
        (reply,) = self.cancel(1)
        self.assertIs(WorkAnswer, type(reply.message))
        self.assertEqual("b", reply.stream)

    def test_after_it_ran_and_was_forgotten(self):
        for number in range(1, 3 * MAX_SEEN):
            self.run_work(number)
        self.forget_answers()
        self.assertFalse(self.stands(1))
        self.assertFalse(self.stands(3 * MAX_SEEN - 1))
        self.assertTrue(self.stands(3 * MAX_SEEN))

    def test_under_an_owner_that_was_forgotten(self):
        for owner in range(2 * MAX_OWNERS):
            self.run_work(1, owner=100 + owner)
        self.forget_answers()
        for owner in range(2 * MAX_OWNERS):
            self.assertFalse(self.stands(1, owner=100 + owner))

    def test_under_an_owner_that_found_no_room(self):
        for owner in range(MAX_OWNERS):
            self.assertTrue(self.stands(1, owner=100 + owner))
        self.run_work(1)
        self.forget_answers()
        self.assertFalse(self.stands(1))

    def test_bounded(self):
        kept = [self.stands(number) for number in range(1, 2 * MAX_CANCELLED + 1)]
        self.assertEqual([True] * MAX_CANCELLED, kept[:MAX_CANCELLED])
        self.assertEqual([False] * MAX_CANCELLED, kept[MAX_CANCELLED:])
        for owner in range(2 * MAX_OWNERS):
            self.run_work(1, owner=100 + owner)
        self.assertIs(WorkShed, type(self.work(1)[0].message))


class Ended(testscenarios.TestWithScenarios, Case):
    """What an upstream promised outlives the flow."""

    scenarios = [
        ("closed", {"idle": False}),
        ("idle", {"idle": True}),
    ]

    def end(self):
        if not self.idle:
            self.flow(FlowClose)
            return
        self.now_ms += IDLE_MS
        self.core.tick(now_ms=self.now_ms)

    def test_cancellation_stands(self):
        self.assertTrue(self.stands(1))
        self.end()
        self.assertEqual({}, self.core.flows)
        self.assertIs(WorkShed, type(self.work(1)[0].message))
        self.flow(FlowOpen)
        self.assertIs(WorkShed, type(self.work(1)[0].message))

    def test_what_ran_isn_t_forgotten(self):
        self.run_work(1)
        self.forget_answers()
        self.end()
        self.assertFalse(self.stands(1))
        self.flow(FlowOpen)
        self.assertFalse(self.stands(1))

    def test_after_the_life_of_tickets(self):
        self.run_work(1)
        self.forget_answers()
        self.end()
        self.now_ms += LIFE_MS
        self.core.tick(now_ms=self.now_ms)
        self.assertFalse(self.stands(1))
        self.flow(FlowTouch)
        self.assertFalse(self.stands(1))

    def test_request_of_an_ended_flow_opens_nothing(self):
        self.end()
        self.run_work(1)
        self.assertEqual({}, self.core.flows)
        self.assertFalse(self.stands(1, owner=OWNER + 1))


class TooManyEnded(Case):
    """Without room, a promise isn't given; a forgotten log is admitted."""

    def setUp(self):
        super().setUp()
        self.patch(requesthistory, "MAX_ENDED", 2)

    def end_flows(self, act):
        for flow_id in (11, 12, 13):
            self.flow(FlowOpen, flow_id)
            act(flow_id)
            self.flow(FlowClose, flow_id)

    def test_full_of_promises(self):
        self.end_flows(
            lambda flow_id: self.receive(
                WorkCancel(flow_id=flow_id, owner_incarnation=OWNER, number=1)
            )
        )
        self.assertFalse(self.stands(1))

    def test_forgotten(self):
        self.flow(FlowClose)
        self.end_flows(
            lambda flow_id: self.core.flows[flow_id].history.record_request(OWNER, 1),
        )
        self.flow(FlowOpen, 1)
        self.assertFalse(self.stands(1))


class Shedding(Case):
    """What doesn't fit is turned away for good."""

    def test_queue_is_bounded(self):
        for number in range(1, 2 + MAX_QUEUED_PER_SLOT):
            self.work(number)
        (reply,) = self.work(1_000)
        self.assertEqual("overloaded", reply.message.reason)
        self.assertTrue(self.stands(1_000))

    def test_deadline_passes_in_the_queue(self):
        (run,) = self.work(1)
        self.work(2)
        replies = self.core.finish(run.job, b"", now_ms=200)
        self.assertEqual("deadline", replies[1].message.reason)
        self.assertTrue(self.stands(2))

    def test_flows(self):
        self.flow(FlowOpen, 2)
        self.assertEqual("full", self.flow(FlowOpen, 3)[0].message.reason)
        self.core.announce = self.core.announce.replace(state=LEAVING)
        self.flow(FlowClose, 2)
        self.assertEqual("leaving", self.flow(FlowOpen, 3)[0].message.reason)


class Repeated(Case):
    """A repeated request runs again only if it is idempotent."""

    def test_repeated(self):
        self.run_work(1)
        self.run_work(2, idempotent=True)
        self.forget_answers()
        self.assertEqual([], self.work(1))
        self.assertIs(RunJob, type(self.work(2, idempotent=True)[0]))
