"""tests.test_entrycore: Tests of what entries decide together, without sockets."""

import random

import msgpack
import testscenarios
import testtools

from knapweeddeal.actions import Address, ToControl
from knapweeddeal.ledger import MAX_ENTRIES
from knapweeddeal.messages import encode
from knapweeddeal.messages.caller import (
    AnswerPart,
    Cancel,
    Close,
    KeepAlive,
    KeptAlive,
    Moved,
    Open,
    OpenRefused,
    Renew,
)
from knapweeddeal.messages.control import Configuration, ServiceEntry
from knapweeddeal.messages.upstream import Work
from tests.entries import CALLER, SERVICE, Caller, Joined


class StreamFirst(testtools.TestCase):
    """A stream may stand before the directory knows its upstream."""

    def test_stream_is_used(self):
        joined = Joined(entries=("a",))
        caller = joined.open("a")
        joined.hold_announces = True
        joined.add_entry("b")
        joined.renew("b", caller)
        joined.keep_alive("b", caller)
        joined.send("b", caller, caller.request(1))
        joined.hold_announces = False
        joined.announce_all()
        self.assertEqual(["answer"], caller.outcomes(1))
        other = joined.open("b", Address(host="127.0.0.8", port=1))
        self.assertNotEqual(b"", other.ticket)
        upstream = joined.entries["b"].directory.get(joined.key("u1"))
        self.assertTrue(upstream.ready)


class AtMostOnce(testtools.TestCase):
    """A request runs once, however often and wherever it comes."""

    def test_resends_get_the_kept_answer(self):
        joined = Joined()
        caller = joined.open("a")
        for entry in "abcabc":
            joined.send(entry, caller, caller.request(1))
        self.assertEqual({(caller.flow_id, 1): 1}, dict(joined.works))
        self.assertEqual(["answer"] * 6, caller.outcomes(1))

    def test_resend_while_under_way(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.send("b", caller, caller.request(1, attempt=5))
        self.assertEqual([], caller.outcomes(1))
        joined.release()
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_settled_number_is_dropped(self):
        joined = Joined()
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.send("a", caller, caller.request(2, floor=2))
        joined.send("a", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_long_answer_comes_in_parts(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        (_, job), joined.held = joined.held[0], []
        body = bytes(range(256)) * 20
        replies = joined.upstreams["u1"].finish(job, body, now_ms=0)
        joined._from_upstream("u1", replies)
        joined.deliver()
        parts = [m for m in caller.told if type(m) is AnswerPart]
        self.assertEqual([len(parts)] * len(parts), [m.parts for m in parts])
        self.assertEqual(body, b"".join(m.body for m in parts))


class Forgotten(testtools.TestCase):
    """What the owner forgot is never forwarded."""

    def joined(self):
        joined = Joined(flow_idle_ms=10_000)
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.advance(11_000)
        self.assertEqual(0, len(joined.entries["a"].flows))
        joined.announce_all()
        caller.told.clear()
        return joined, caller

    def test_run_before(self):
        joined, caller = self.joined()
        joined.upstreams["u1"]._answers.clear()
        joined.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_never_run(self):
        joined, caller = self.joined()
        old = caller.request(2, attempt=1)
        joined.send("a", caller, old)
        joined.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(2))
        joined.send("a", caller, old)
        joined.advance(100)
        self.assertEqual(0, joined.works[caller.flow_id, 2])

    def test_number_that_a_full_ledger_forgot(self):
        joined = Joined()
        caller = joined.open("a")
        for number in range(1, MAX_ENTRIES + 3):
            joined.send("a", caller, caller.request(number))
        joined.upstreams["u1"]._answers.clear()
        caller.told.clear()
        joined.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_new_record_doesn_t_take_old_tickets(self):
        joined, caller = self.joined()
        old = caller.request(1, attempt=1)
        joined.renew("a", caller)
        joined.send("a", caller, caller.request(3))
        joined.send("a", caller, old)
        self.assertEqual(["answer"], caller.outcomes(3))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_closed_and_renewed_at_the_same_time(self):
        joined = Joined()
        caller = joined.open("a")
        old = caller.request(1)
        joined.send("a", caller, old)
        joined.send("a", caller, caller.on_flow(Close))
        joined.renew("a", caller)
        joined.upstreams["u1"]._answers.clear()
        joined.send("a", caller, old)
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_idempotent_is_sent_again(self):
        joined, caller = self.joined()
        joined.send("a", caller, caller.request(1, idempotent=True))
        self.assertEqual(["resend"], caller.outcomes(1))
        joined.send("a", caller, caller.request(1, idempotent=True))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))


class Refusals(testtools.TestCase):
    """`not_run` is told only once a second process holds the record."""

    def test_order(self):
        joined = Joined()
        joined.hold_records = True
        caller = joined.open("a")
        joined.send("b", caller, caller.on_flow(Cancel, number=1))
        joined.advance(100)
        joined.send("a", caller, caller.request(1))
        self.assertEqual([], caller.outcomes(1))
        joined.release()
        joined.send("a", caller, caller.request(1))
        self.assertEqual(["not_run", "not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(joined.works))

    def test_without_room_silence_then_again(self):
        joined = Joined()
        caller = joined.open("a")
        refusals = joined.entries["a"].refusals
        refusals._held = 10_000
        joined.send("a", caller, caller.on_flow(Cancel, number=1))
        joined.advance(100)
        self.assertEqual([], caller.outcomes(1))
        self.assertEqual(1, refusals.dropped)
        refusals._held = 0
        joined.send("a", caller, caller.request(1))
        joined.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(joined.works))

    def test_without_control_another_entry_of_the_zone(self):
        joined = Joined()
        joined.hold_records = True
        caller = joined.open("a")
        core = joined.entries["a"]
        core.set_neighbours([joined.entries["b"].identity.address])
        joined.cut.add(frozenset("ab"))
        joined.send("a", caller, caller.on_flow(Cancel, number=1))
        joined.advance(2_500)
        self.assertEqual([], caller.outcomes(1))
        joined.cut.clear()
        joined.advance(1_000)
        self.assertEqual(["not_run"], caller.outcomes(1))
        holdings = [joined.entries[name].context.holding for name in "ab"]
        self.assertEqual([1, 1], [len(holding.held()) for holding in holdings])
        joined.hold_records = False
        joined.release()
        joined.advance(1_000)
        self.assertEqual([0, 0], [len(holding.held()) for holding in holdings])
        self.assertEqual(["not_run"], caller.outcomes(1))

    def test_deadline_passed(self):
        joined = Joined()
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1, deadline_ms=0))
        joined.advance(100)
        self.assertEqual(["deadline"], [m.reason for m in caller.told[1:]])
        joined.send("a", caller, caller.request(1))
        self.assertEqual({}, dict(joined.works))

    def test_cancelled_while_under_way(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.send("c", caller, caller.on_flow(Cancel, number=1))
        joined.release()
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_record_is_deterministic(self):
        joined = Joined(upstreams=())
        joined.hold_records = True
        joined.callers[CALLER] = caller = Caller(address=CALLER)
        joined.send("a", caller, Open(service=SERVICE, nonce=4, deadline_ms=100))
        actions = joined.entries["a"].tick(now_ms=joined.now_ms)
        batches = [a.message for a in actions if type(a) is ToControl]
        self.assertEqual("no_upstream", batches[0].records[0].reason)
        self.assertEqual([], caller.told)


class OwnerLost(testtools.TestCase):
    """Requests whose owner is gone are settled without a claim that isn't proved."""

    def test_early_attempts_claim_nothing(self):
        joined = Joined()
        caller = joined.open("a")
        joined.kill("a")
        for attempt in (0, 1, 2):
            joined.send("b", caller, caller.request(1, attempt=attempt))
        self.assertEqual(["resend"] * 3, caller.outcomes(1))

    def test_not_run_stands_against_an_owner_that_was_cut_off(self):
        joined = Joined()
        caller = joined.open("a")
        joined.cut.add(frozenset("ab"))
        old = caller.request(1, attempt=3)
        joined.send("b", caller, old)
        joined.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        joined.send("a", caller, old)
        joined.advance(100)
        self.assertEqual(["not_run"] * 2, caller.outcomes(1))
        self.assertEqual({}, dict(joined.runs))

    def test_what_ran_gets_its_answer(self):
        joined = Joined()
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.kill("a")
        caller.told.clear()
        joined.send("b", caller, caller.request(1, attempt=3))
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_what_runs_gets_its_answer(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.kill("a")
        joined.send("b", caller, caller.request(1, attempt=3))
        self.assertEqual([], caller.outcomes(1))
        joined.release()
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_idempotent_runs_under_a_new_ticket(self):
        joined = Joined()
        caller = joined.open("a")
        joined.kill("a")
        joined.send("b", caller, caller.request(1, attempt=3, idempotent=True))
        joined.send("c", caller, caller.request(1, attempt=4, idempotent=True))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))

    def test_flow_goes_on(self):
        joined = Joined()
        caller = joined.open("a")
        joined.kill("a")
        joined.keep_alive("b", caller)
        self.assertIn(KeptAlive, [type(m) for m in caller.told])
        joined.renew("b", caller)
        joined.send("c", caller, caller.request(7))
        self.assertEqual(["answer"], caller.outcomes(7))

    def test_without_the_upstream_unknown_in_the_end(self):
        joined = Joined()
        caller = joined.open("a")
        joined.kill("a")
        joined.kill("u1")
        request = caller.request(1, attempt=3)
        joined.send("b", caller, request)
        joined.advance(4_000)
        self.assertEqual([], caller.outcomes(1))
        joined.send("b", caller, request.replace(attempt=12))
        self.assertEqual(["unknown"], caller.outcomes(1))


class UpstreamLost(testtools.TestCase):
    """Only what was under way at a lost upstream is touched."""

    def joined(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.send("a", caller, caller.request(2, idempotent=True))
        joined.kill("u1")
        return joined, caller

    def test_under_way(self):
        _, caller = self.joined()
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(["resend"], caller.outcomes(2))

    def test_flow_gets_another_upstream(self):
        joined, caller = self.joined()
        joined.add_upstream("u2")
        joined.hold_work = False
        joined.keep_alive("a", caller)
        joined.advance(600)
        joined.keep_alive("b", caller)
        joined.keep_alive("b", caller)
        joined.keep_alive("b", caller)
        joined.send("c", caller, caller.request(3))
        self.assertEqual(["answer"], caller.outcomes(3))
        self.assertIn(caller.flow_id, joined.upstreams["u2"].flows)
        self.assertEqual(1, joined.counters["flows_broken"])
        self.assertEqual(0, joined.counters["flows_moved"])


class UpstreamLeaving(testscenarios.TestWithScenarios, testtools.TestCase):
    """Flows leave a leaving upstream, make-before-break, wherever packets land."""

    scenarios = [
        ("at the owner", {"entry": "a", "dead": ""}),
        ("elsewhere", {"entry": "b", "dead": ""}),
        ("owner lost", {"entry": "b", "dead": "a"}),
    ]

    def setUp(self):
        super().setUp()
        self.joined = Joined()
        self.caller = self.joined.open("a")
        self.joined.add_upstream("u2")
        if self.dead:
            self.joined.kill(self.dead)
        self.joined.leave("u1")

    def test_moves(self):
        self.joined.keep_alive(self.entry, self.caller)
        self.joined.advance(1_500)
        self.assertNotIn(self.caller.flow_id, self.joined.upstreams["u1"].flows)
        self.assertIn(self.caller.flow_id, self.joined.upstreams["u2"].flows)
        self.joined.send("c", self.caller, self.caller.request(1))
        self.assertEqual(["answer"], self.caller.outcomes(1))
        self.assertEqual(1, self.joined.counters["flows_moved"])
        self.assertEqual(0, self.joined.counters["flows_broken"])

    def test_lost_new_ticket_is_repeated(self):
        old = self.caller.ticket
        self.joined.keep_alive(self.entry, self.caller)
        self.joined.advance(1_500)
        self.caller.ticket = old
        self.caller.told.clear()
        self.joined.keep_alive(self.entry, self.caller)
        self.assertIn(Moved, [type(m) for m in self.caller.told])
        self.assertEqual(1, self.joined.counters["flows_moved"])

    def test_open_goes_elsewhere(self):
        for port in range(20):
            address = Address(host="127.0.0.8", port=port)
            caller = self.joined.open("b", address)
            self.assertIn(caller.flow_id, self.joined.upstreams["u2"].flows)


class LeavingUnderWork(testtools.TestCase):
    """A move touches no request."""

    def joined(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.add_upstream("u2")
        joined.send("a", caller, caller.request(1))
        return joined, caller

    def test_request_finishes_where_it_runs(self):
        joined, caller = self.joined()
        joined.leave("u1")
        joined.keep_alive("a", caller)
        joined.advance(3_000)
        self.assertIn(caller.flow_id, joined.upstreams["u1"].flows)
        joined.release()
        joined.advance(1_000)
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertNotIn(caller.flow_id, joined.upstreams["u1"].flows)

    def test_request_of_the_old_ticket_goes_to_the_old_upstream(self):
        joined, caller = self.joined()
        late = caller.request(2)
        joined.leave("u1")
        joined.keep_alive("a", caller)
        joined.send("a", caller, late)
        self.assertEqual(["u1", "u1"], [name for name, _ in joined.held])

    def test_cancellation_at_the_old_upstream_is_safe(self):
        joined, caller = self.joined()
        late = caller.request(2, attempt=3)
        joined.leave("u1")
        joined.keep_alive("a", caller)
        joined.cut.add(frozenset("ab"))
        joined.send("b", caller, late)
        joined.advance(100)
        joined.cut.clear()
        joined.send("a", caller, late)
        joined.advance(100)
        self.assertEqual(["not_run"] * 2, caller.outcomes(2))
        self.assertEqual(0, joined.runs[caller.flow_id, 2])

    def test_draining_by_an_operator(self):
        joined, caller = self.joined()
        entry = ServiceEntry(name=SERVICE, host="h", port=1, draining=["u1"])
        configuration = Configuration(version=2, services=[entry])
        for core in joined.entries.values():
            core.apply_configuration(configuration)
        joined.keep_alive("b", caller)
        self.assertIn(caller.flow_id, joined.upstreams["u2"].flows)

    def test_moves_are_paced(self):
        joined, _ = self.joined()
        callers = [
            joined.open("a", Address(host="127.0.0.8", port=port))
            for port in range(600)
        ]
        joined.leave("u2")
        for caller in callers:
            joined.keep_alive("a", caller)
        self.assertEqual(100, joined.counters["flows_moved"])
        joined.advance(200)
        for caller in callers:
            joined.keep_alive("b", caller)
        self.assertEqual(200, joined.counters["flows_moved"])


class PlannedStop(testtools.TestCase):
    """A planned stop costs no flow and no request."""

    def test_kept_answers_go_along(self):
        joined = Joined()
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.stop("a")
        joined.advance(2_000)
        self.assertTrue(joined.entries["a"].stopped)
        joined.kill("a")
        joined.upstreams["u1"]._answers.clear()
        joined.send("c", caller, caller.request(1, attempt=4))
        self.assertEqual(["answer", "answer"], caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_new_requests_run_once_during_the_stop(self):
        joined = Joined()
        caller = joined.open("a")
        request = caller.request(1)
        joined.stop("a")
        for entry in "abc":
            joined.send(entry, caller, request)
        joined.advance(500)
        for entry in "abc":
            joined.send(entry, caller, request)
        self.assertEqual({"answer"}, set(caller.outcomes(1)))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_waits_for_what_is_under_way(self):
        joined = Joined()
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.stop("a")
        joined.advance(3_000)
        self.assertFalse(joined.entries["a"].stopped)
        joined.send("a", caller, caller.request(2))
        self.assertEqual(0, joined.works[caller.flow_id, 2])
        joined.release()
        joined.advance(2_000)
        self.assertTrue(joined.entries["a"].stopped)
        joined.kill("a")
        self.assertEqual(["answer"], caller.outcomes(1))
        joined.send("b", caller, caller.request(1, attempt=9))
        self.assertEqual(["answer"] * 2, caller.outcomes(1))

    def test_flow_that_was_handed_over_goes_on_meanwhile(self):
        joined = Joined()
        joined.hold_work = True
        busy = joined.open("a", Address(host="127.0.0.8", port=1))
        caller = joined.open("a")
        joined.send("a", busy, busy.request(1))
        joined.stop("a")
        joined.advance(200)
        request = caller.request(1)
        for entry in "cab":
            joined.send(entry, caller, request)
        self.assertEqual(1, joined.works[caller.flow_id, 1])
        joined.release()
        self.assertEqual(["answer"], caller.outcomes(1))
        joined.advance(2_000)
        self.assertTrue(joined.entries["a"].stopped)

    def test_flow_on_its_way_gets_silence(self):
        joined = Joined()
        joined.hold_hand_overs = True
        caller = joined.open("a")
        joined.stop("a")
        joined.advance(200)
        request = caller.request(1)
        for entry in "abc":
            joined.send(entry, caller, request)
        self.assertEqual(0, joined.works[caller.flow_id, 1])
        self.assertEqual([], caller.outcomes(1))
        joined.release()
        joined.advance(2_000)
        joined.send("c", caller, request)
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_bounded_by_stop_ms(self):
        joined = Joined(stop_ms=1_000)
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.stop("a")
        joined.advance(3_000)
        self.assertTrue(joined.entries["a"].stopped)
        joined.kill("a")
        joined.send("b", caller, caller.request(1, attempt=9))
        self.assertEqual(1, joined.works[caller.flow_id, 1])

    def test_unrecorded_refusal_goes_along(self):
        joined = Joined(stop_ms=1_000)
        caller = joined.open("a")
        joined.hold_records = True
        joined.send("a", caller, caller.on_flow(Cancel, number=1))
        joined.stop("a")
        joined.advance(3_000)
        joined.kill("a")
        joined.hold_records = False
        joined.send("b", caller, caller.request(1, attempt=1))
        joined.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(joined.works))

    def test_opens_go_elsewhere(self):
        joined = Joined()
        joined.stop("a")
        caller = joined.open("a")
        self.assertEqual(b"", caller.ticket)

    def test_successor_lost_before_it_held_anything(self):
        joined = Joined()
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.kill("b")
        joined.stop("a")
        joined.advance(2_000)
        self.assertTrue(joined.entries["a"].stopped)
        joined.kill("a")
        joined.send("c", caller, caller.request(1, attempt=4))
        self.assertEqual(["answer", "answer"], caller.outcomes(1))

    def test_alone(self):
        joined = Joined(entries=("a",))
        joined.hold_work = True
        caller = joined.open("a")
        joined.send("a", caller, caller.request(1))
        joined.stop("a")
        joined.advance(3_000)
        self.assertFalse(joined.entries["a"].stopped)
        joined.release()
        joined.advance(100)
        self.assertTrue(joined.entries["a"].stopped)
        self.assertEqual(["answer"], caller.outcomes(1))


class RollingRestart(testtools.TestCase):
    """Every entry is restarted one after the other, and nobody notices."""

    def test_chain(self):
        joined = Joined()
        caller = joined.open("a")
        request = caller.request(1)
        joined.send("a", caller, request)
        for name in "abc":
            joined.stop(name)
            joined.advance(2_500)
            self.assertTrue(joined.entries[name].stopped)
            joined.kill(name)
            del joined.entries[name]
            joined.add_entry(name)
            self.ask_successions(joined, name)
            joined.advance(500)
        joined.upstreams["u1"]._answers.clear()
        caller.told.clear()
        for name in "abc":
            joined.send(name, caller, request.replace(attempt=9))
        self.assertEqual(["answer"] * 3, caller.outcomes(1))
        self.assertEqual(1, joined.works[caller.flow_id, 1])
        joined.send("b", caller, caller.request(2))
        self.assertEqual(["answer"], caller.outcomes(2))

    def ask_successions(self, joined, name):
        others = [other for other in joined.entries if other != name]
        known = joined.entries[others[0]].successions.all()
        for succession in known:
            joined.entries[name].successions.add(succession, now_ms=joined.now_ms)


class OldTicket(testtools.TestCase):
    """A ticket is replaced long before its owner forgets the flow."""

    def test_refresh(self):
        joined = Joined(flow_idle_ms=10_000)
        caller = joined.open("a")
        for _ in range(40):
            joined.advance(1_000)
            joined.announce_all()
            joined.keep_alive("b", caller)
        joined.send("c", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_refresh_at_a_lone_owner(self):
        joined = Joined(entries=("a",), flow_idle_ms=10_000)
        caller = joined.open("a")
        first = caller.ticket
        joined.advance(6_000)
        joined.keep_alive("a", caller)
        self.assertNotEqual(first, caller.ticket)


class Opens(testtools.TestCase):
    """Opens are bounded, and leave nothing behind."""

    def test_over_the_limit(self):
        joined = Joined(max_flows=2)
        for port in (1, 2):
            joined.open("a", Address(host="127.0.0.8", port=port))
        caller = joined.open("a")
        joined.advance(100)
        self.assertEqual([OpenRefused], [type(m) for m in caller.told])
        self.assertEqual("too_many_flows", caller.told[0].reason)

    def test_late_acceptance_is_closed(self):
        joined = Joined()
        caller = Caller(address=CALLER)
        joined.callers[CALLER] = caller
        core = joined.entries["a"]
        actions = core.from_caller(
            SERVICE,
            CALLER,
            encode(Open(service=SERVICE, nonce=1, deadline_ms=100)),
            now_ms=joined.now_ms,
        )
        joined.now_ms += 200
        joined._push("a", actions)
        joined.deliver()
        self.assertEqual([], caller.told)
        self.assertEqual({}, joined.upstreams["u1"].flows)

    def test_stream_breaks_while_open_waits(self):
        joined = Joined(upstreams=("u1", "u2"))
        core = joined.entries["a"]
        opened = Open(service=SERVICE, nonce=1, deadline_ms=100)
        (ask,) = core.from_caller(SERVICE, CALLER, encode(opened), now_ms=joined.now_ms)
        again = core.stream_down(ask.key, now_ms=joined.now_ms)
        self.assertNotEqual(ask.key, again[0].key)


class Unsent(testtools.TestCase):
    """A request that never left the process may be sent again."""

    def test_full_outbox(self):
        joined = Joined()
        caller = joined.open("a")
        core = joined.entries["a"]
        data = encode(caller.request(1))
        (send,) = core.from_caller(SERVICE, CALLER, data, now_ms=joined.now_ms)
        self.assertIs(Work, type(send.message))
        joined._push("a", core.unsent(send.message, send.key, now_ms=joined.now_ms))
        joined.deliver()
        joined.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))


class Nonsense(testscenarios.TestWithScenarios, testtools.TestCase):
    """Nonsense is dropped and counted."""

    scenarios = [
        ("garbage", {"change": lambda data: b"\xc1\x00", "count": "bad_message"}),
        ("cut", {"change": lambda data: data[:-3], "count": "bad_message"}),
        ("too long", {"change": lambda data: data + b"x", "count": "bad_message"}),
        ("empty", {"change": lambda data: b"", "count": "bad_message"}),
        (
            "another service",
            {
                "change": lambda data: encode(
                    Open(service="b", nonce=1, deadline_ms=1)
                ),
                "count": "wrong_service",
            },
        ),
        (
            "no message for an entry",
            {
                "change": lambda data: encode(KeptAlive(service=SERVICE, flow_id=1)),
                "count": "unexpected",
            },
        ),
        (
            "forged ticket",
            {
                "change": lambda data: encode(
                    KeepAlive(service=SERVICE, flow_id=1, ticket=b"\x00" * 80)
                ),
                "count": "bad_ticket",
            },
        ),
        (
            "ticket of another flow",
            {
                "change": lambda data: msgpack.packb(
                    [*msgpack.unpackb(data)[:2], 77, *msgpack.unpackb(data)[3:]]
                ),
                "count": "wrong_flow",
            },
        ),
    ]

    def test_dropped(self):
        joined = Joined()
        caller = joined.open("a")
        data = self.change(encode(caller.request(1)))
        core = joined.entries["a"]
        actions = core.from_caller(SERVICE, CALLER, data, now_ms=joined.now_ms)
        self.assertEqual([], actions)
        self.assertEqual(1, joined.counters[f"dropped_{self.count}"])


class Anything(testtools.TestCase):
    """Whatever happens, nothing runs twice and no `not_run` is false."""

    SEEDS = 150
    STEPS = 120

    def test_random_faults(self):
        for seed in range(self.SEEDS):
            self.run_one(seed)

    def run_one(self, seed):
        rng = random.Random(seed)
        joined = Joined(upstreams=("u1", "u2"), flow_idle_ms=20_000)
        joined.hold_work = True
        callers = [
            joined.open(rng.choice("abc"), Address(host="127.0.0.8", port=port))
            for port in range(3)
        ]
        requests = []
        steps = [step for step, weight in STEPS.items() for _ in range(weight)]
        for _ in range(self.STEPS):
            rng.choice(steps)(joined, rng, callers, requests)
        joined.cut.clear()
        joined.release()
        for _ in range(12):
            for caller, request in requests:
                send_again(joined, rng, caller, request)
            joined.advance(500)
            joined.release()
        for name, works in joined.works.items():
            self.assertEqual(1, works, (seed, name))
        for caller, request in requests:
            kinds = set(caller.outcomes(request.number))
            if "not_run" in kinds:
                name = (caller.flow_id, request.number)
                self.assertEqual(0, joined.runs[name], (seed, name, kinds))


def new_request(joined, rng, callers, requests):
    """Send a new request."""
    caller = rng.choice(callers)
    if caller.ticket:
        request = caller.request(1 + sum(c is caller for c, _ in requests))
        requests.append((caller, request))
        joined.send(rng.choice(list(joined.entries)), caller, request)


def send_again(joined, rng, caller, request):
    """Send a request again as a later attempt."""
    attempt = rng.randrange(8)
    joined.send(
        rng.choice(list(joined.entries)), caller, request.replace(attempt=attempt)
    )


def repeat(joined, rng, callers, requests):
    """Send some request again."""
    if requests:
        send_again(joined, rng, *rng.choice(requests))


def cancel(joined, rng, callers, requests):
    """Cancel some request, with its own ticket."""
    if requests:
        caller, request = rng.choice(requests)
        message = Cancel(
            service=SERVICE,
            flow_id=request.flow_id,
            ticket=request.ticket,
            number=request.number,
        )
        joined.send(rng.choice(list(joined.entries)), caller, message)


def keep_alive(joined, rng, callers, requests):
    """Send a keep-alive, or ask for a new ticket."""
    caller = rng.choice(callers)
    message = caller.on_flow(rng.choice((KeepAlive, KeepAlive, Renew)))
    joined.send(rng.choice(list(joined.entries)), caller, message)


def toggle_cut(joined, rng, callers, requests):
    """Cut two processes off from each other, or heal all cuts."""
    if joined.cut and rng.random() < 0.5:
        joined.cut.clear()
        return
    names = [*joined.entries, *joined.upstreams]
    one, other = rng.sample(names, 2)
    joined.cut.add(frozenset((one, other)))
    if one in joined.entries and other in joined.upstreams:
        joined.down(one, other)


def stop_one(joined, rng, callers, requests):
    """Stop an entry as planned and start it anew."""
    name = rng.choice(list(joined.entries))
    joined.stop(name)
    joined.advance(rng.choice((100, 2_500)))
    if joined.entries[name].stopped:
        restart(joined, name)


def kill_one(joined, rng, callers, requests):
    """Kill an entry and start it anew."""
    restart(joined, rng.choice(list(joined.entries)))


def restart(joined, name):
    """Start an entry anew under another incarnation."""
    joined.kill(name)
    del joined.entries[name]
    joined.add_entry(name)


def release(joined, rng, callers, requests):
    """Let work finish and time pass."""
    joined.release()
    joined.advance(rng.choice((100, 1_000)))
    joined.announce_all()


def leave_or_return(joined, rng, callers, requests):
    """Let an upstream leave, or come back."""
    name = rng.choice(list(joined.upstreams))
    upstream = joined.upstreams[name]
    state = rng.choice(("ready", "leaving"))
    upstream.announce = upstream.announce.replace(state=state)
    joined.announce_all()


#: Steps of a random run, by their weight.
STEPS = {
    new_request: 6,
    repeat: 8,
    cancel: 2,
    keep_alive: 4,
    toggle_cut: 3,
    stop_one: 1,
    kill_one: 1,
    release: 4,
    leave_or_return: 1,
}


class RestartedEntry(testtools.TestCase):
    """An entry whose streams were opened by tickets, before it heard of upstreams."""

    def joined(self):
        """Return entries of which one knows an upstream only by a ticket."""
        joined = Joined(entries=("a",))
        caller = joined.open("a")
        joined.silent.add("u1")
        joined.add_entry("b")
        joined.send("b", caller, caller.on_flow(KeepAlive))
        return joined, caller

    def test_stream_counts_once_announced(self):
        joined, _ = self.joined()
        joined.silent.clear()
        joined.announce_all()
        upstreams = joined.entries["b"].directory.all()
        self.assertEqual([True], [upstream.ready for upstream in upstreams])

    def test_request_runs_before_the_announcement(self):
        joined, caller = self.joined()
        joined.send("b", caller, caller.on_flow(Renew))
        joined.send("b", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))


class Overload(testtools.TestCase):
    """A request without hope of an answer in time isn't sent."""

    def joined(self, outstanding):
        joined = Joined()
        caller = joined.open("a")
        joined.hold_work = True
        for number in range(1, 40):
            joined.send("a", caller, caller.request(number, floor=number))
            joined.advance(100)
            joined.release()
        context = joined.entries["a"].context
        upstream = context.directory.get(joined.key("u1"))
        context.admission.reported(upstream, outstanding, now_ms=joined.now_ms)
        return joined, caller

    def test_refused(self):
        joined, caller = self.joined(outstanding=10_000)
        joined.send("a", caller, caller.request(50, deadline_ms=1_000))
        self.assertEqual(0, joined.runs[caller.flow_id, 50])
        self.assertEqual([], caller.outcomes(50))
        joined.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(50))
        self.assertEqual("expected_late", caller.told[-1].reason)

    def test_sent_while_there_is_hope(self):
        joined, caller = self.joined(outstanding=100)
        joined.send("a", caller, caller.request(50, deadline_ms=1_000))
        self.assertEqual(1, joined.runs[caller.flow_id, 50])
