"""tests.test_entrycore: Tests of cooperating entry cores, without sockets."""

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
    KeepAliveAck,
    Open,
    OpenRefused,
    Renew,
    TicketUpdate,
)
from knapweeddeal.messages.control import Configuration, ServiceEntry
from knapweeddeal.messages.upstream import Work
from tests.entrycluster import CALLER, SERVICE, Caller, EntryCluster


class StreamBeforeAnnouncement(testtools.TestCase):
    """A stream may open before the directory receives the upstream's announcement."""

    def test_stream_serves_before_the_announcement(self):
        cluster = EntryCluster(entries=("a",))
        caller = cluster.open("a")
        cluster.hold_announces = True
        cluster.add_entry("b")
        cluster.renew("b", caller)
        cluster.keep_alive("b", caller)
        cluster.send("b", caller, caller.request(1))
        cluster.hold_announces = False
        cluster.announce_all()
        self.assertEqual(["answer"], caller.outcomes(1))
        other = cluster.open("b", Address(host="127.0.0.8", port=1))
        self.assertNotEqual(b"", other.ticket)
        upstream = cluster.entries["b"].directory.get(cluster.key("u1"))
        self.assertTrue(upstream.ready)


class AtMostOnce(testtools.TestCase):
    """A request runs once, however often it is resent and at whichever entry."""

    def test_resends_get_the_stored_answer(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        for entry in "abcabc":
            cluster.send(entry, caller, caller.request(1))
        self.assertEqual({(caller.flow_id, 1): 1}, dict(cluster.work_counts))
        self.assertEqual(["answer"] * 6, caller.outcomes(1))

    def test_resend_while_in_flight(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.send("b", caller, caller.request(1, attempt=5))
        self.assertEqual([], caller.outcomes(1))
        cluster.release()
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_settled_number_is_dropped(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.send("a", caller, caller.request(2, floor=2))
        cluster.send("a", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_long_answer_comes_in_parts(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        (_, job), cluster.held_jobs = cluster.held_jobs[0], []
        body = bytes(range(256)) * 20
        replies = cluster.upstreams["u1"].finish(job, body, now_ms=0)
        cluster._from_upstream("u1", replies)
        cluster.deliver()
        parts = [m for m in caller.received_messages if type(m) is AnswerPart]
        self.assertEqual([len(parts)] * len(parts), [m.parts for m in parts])
        self.assertEqual(body, b"".join(m.body for m in parts))


class RemovedState(testtools.TestCase):
    """A request isn't run again after its owner removed its flow or ledger entry."""

    def cluster(self):
        cluster = EntryCluster(flow_idle_ms=10_000)
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.advance(11_000)
        self.assertEqual(0, len(cluster.entries["a"].flows))
        cluster.announce_all()
        caller.received_messages.clear()
        return cluster, caller

    def test_request_that_ran_is_unknown(self):
        cluster, caller = self.cluster()
        cluster.upstreams["u1"]._answers.clear()
        cluster.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_request_that_never_ran_is_not_run(self):
        cluster, caller = self.cluster()
        old = caller.request(2, attempt=1)
        cluster.send("a", caller, old)
        cluster.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(2))
        cluster.send("a", caller, old)
        cluster.advance(100)
        self.assertEqual(0, cluster.work_counts[caller.flow_id, 2])

    def test_request_evicted_from_a_full_ledger(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        for number in range(1, MAX_ENTRIES + 3):
            cluster.send("a", caller, caller.request(number))
        cluster.upstreams["u1"]._answers.clear()
        caller.received_messages.clear()
        cluster.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_recreated_flow_rejects_old_tickets(self):
        cluster, caller = self.cluster()
        old = caller.request(1, attempt=1)
        cluster.renew("a", caller)
        cluster.send("a", caller, caller.request(3))
        cluster.send("a", caller, old)
        self.assertEqual(["answer"], caller.outcomes(3))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_close_and_renew_in_the_same_millisecond(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        old = caller.request(1)
        cluster.send("a", caller, old)
        cluster.send("a", caller, caller.on_flow(Close))
        cluster.renew("a", caller)
        cluster.upstreams["u1"]._answers.clear()
        cluster.send("a", caller, old)
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_idempotent_request_is_sent_again(self):
        cluster, caller = self.cluster()
        cluster.send("a", caller, caller.request(1, idempotent=True))
        self.assertEqual(["resend"], caller.outcomes(1))
        cluster.send("a", caller, caller.request(1, idempotent=True))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))


class RefusalRecords(testtools.TestCase):
    """`not_run` is sent only once a second process has stored the record."""

    def test_not_run_waits_for_the_record(self):
        cluster = EntryCluster()
        cluster.hold_records = True
        caller = cluster.open("a")
        cluster.send("b", caller, caller.on_flow(Cancel, number=1))
        cluster.advance(100)
        cluster.send("a", caller, caller.request(1))
        self.assertEqual([], caller.outcomes(1))
        cluster.release()
        cluster.send("a", caller, caller.request(1))
        self.assertEqual(["not_run", "not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(cluster.work_counts))

    def test_full_queue_sends_nothing_until_a_resend(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        refusals = cluster.entries["a"].refusals
        refusals._size = 10_000
        cluster.send("a", caller, caller.on_flow(Cancel, number=1))
        cluster.advance(100)
        self.assertEqual([], caller.outcomes(1))
        self.assertEqual(1, refusals.dropped)
        refusals._size = 0
        cluster.send("a", caller, caller.request(1))
        cluster.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(cluster.work_counts))

    def test_zone_peer_stores_the_record_without_control(self):
        cluster = EntryCluster()
        cluster.hold_records = True
        caller = cluster.open("a")
        core = cluster.entries["a"]
        core.set_zone_peers([cluster.entries["b"].identity.address])
        cluster.partitions.add(frozenset("ab"))
        cluster.send("a", caller, caller.on_flow(Cancel, number=1))
        cluster.advance(2_500)
        self.assertEqual([], caller.outcomes(1))
        cluster.partitions.clear()
        cluster.advance(1_000)
        self.assertEqual(["not_run"], caller.outcomes(1))
        replications = [
            cluster.entries[name].context.refusal_replication for name in "ab"
        ]
        self.assertEqual(
            [1, 1], [len(replication.unacknowledged()) for replication in replications]
        )
        cluster.hold_records = False
        cluster.release()
        cluster.advance(1_000)
        self.assertEqual(
            [0, 0], [len(replication.unacknowledged()) for replication in replications]
        )
        self.assertEqual(["not_run"], caller.outcomes(1))

    def test_deadline_passed(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1, deadline_ms=0))
        cluster.advance(100)
        self.assertEqual(["deadline"], [m.reason for m in caller.received_messages[1:]])
        cluster.send("a", caller, caller.request(1))
        self.assertEqual({}, dict(cluster.work_counts))

    def test_cancel_in_flight(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.send("c", caller, caller.on_flow(Cancel, number=1))
        cluster.release()
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_refused_open_waits_for_the_record(self):
        cluster = EntryCluster(upstreams=())
        cluster.hold_records = True
        cluster.callers[CALLER] = caller = Caller(address=CALLER)
        cluster.send("a", caller, Open(service=SERVICE, nonce=4, deadline_ms=100))
        actions = cluster.entries["a"].tick(now_ms=cluster.now_ms)
        batches = [a.message for a in actions if type(a) is ToControl]
        self.assertEqual("no_upstream", batches[0].records[0].reason)
        self.assertEqual([], caller.received_messages)


class OwnerLost(testtools.TestCase):
    """A request whose owner is lost gets only outcomes that are proved."""

    def test_early_attempts_get_resend(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.kill("a")
        for attempt in (0, 1, 2):
            cluster.send("b", caller, caller.request(1, attempt=attempt))
        self.assertEqual(["resend"] * 3, caller.outcomes(1))

    def test_not_run_holds_at_a_partitioned_owner(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.partitions.add(frozenset("ab"))
        old = caller.request(1, attempt=3)
        cluster.send("b", caller, old)
        cluster.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        cluster.send("a", caller, old)
        cluster.advance(100)
        self.assertEqual(["not_run"] * 2, caller.outcomes(1))
        self.assertEqual({}, dict(cluster.run_counts))

    def test_finished_request_gets_its_answer(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.kill("a")
        caller.received_messages.clear()
        cluster.send("b", caller, caller.request(1, attempt=3))
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_running_request_gets_its_answer(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.kill("a")
        cluster.send("b", caller, caller.request(1, attempt=3))
        self.assertEqual([], caller.outcomes(1))
        cluster.release()
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_idempotent_runs_under_a_new_ticket(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.kill("a")
        cluster.send("b", caller, caller.request(1, attempt=3, idempotent=True))
        cluster.send("c", caller, caller.request(1, attempt=4, idempotent=True))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))

    def test_flow_continues(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.kill("a")
        cluster.keep_alive("b", caller)
        self.assertIn(KeepAliveAck, [type(m) for m in caller.received_messages])
        cluster.renew("b", caller)
        cluster.send("c", caller, caller.request(7))
        self.assertEqual(["answer"], caller.outcomes(7))

    def test_owner_and_upstream_lost_gives_unknown(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.kill("a")
        cluster.kill("u1")
        request = caller.request(1, attempt=3)
        cluster.send("b", caller, request)
        cluster.advance(4_000)
        self.assertEqual([], caller.outcomes(1))
        cluster.send("b", caller, request.replace(attempt=12))
        self.assertEqual(["unknown"], caller.outcomes(1))


class UpstreamLost(testtools.TestCase):
    """The loss of an upstream affects only the requests in flight there."""

    def cluster(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.send("a", caller, caller.request(2, idempotent=True))
        cluster.kill("u1")
        return cluster, caller

    def test_in_flight_requests(self):
        _, caller = self.cluster()
        self.assertEqual(["unknown"], caller.outcomes(1))
        self.assertEqual(["resend"], caller.outcomes(2))

    def test_flow_gets_another_upstream(self):
        cluster, caller = self.cluster()
        cluster.add_upstream("u2")
        cluster.hold_work = False
        cluster.keep_alive("a", caller)
        cluster.advance(600)
        cluster.keep_alive("b", caller)
        cluster.keep_alive("b", caller)
        cluster.keep_alive("b", caller)
        cluster.send("c", caller, caller.request(3))
        self.assertEqual(["answer"], caller.outcomes(3))
        self.assertIn(caller.flow_id, cluster.upstreams["u2"].flows)
        self.assertEqual(1, cluster.counters["flows_broken"])
        self.assertEqual(0, cluster.counters["flows_moved"])


class UpstreamLeaving(testscenarios.TestWithScenarios, testtools.TestCase):
    """Flows migrate off a leaving upstream, make-before-break, at any entry."""

    scenarios = [
        ("at the owner", {"entry": "a", "killed": ""}),
        ("at another entry", {"entry": "b", "killed": ""}),
        ("owner lost", {"entry": "b", "killed": "a"}),
    ]

    def setUp(self):
        super().setUp()
        self.cluster = EntryCluster()
        self.caller = self.cluster.open("a")
        self.cluster.add_upstream("u2")
        if self.killed:
            self.cluster.kill(self.killed)
        self.cluster.leave("u1")

    def test_flow_migrates(self):
        self.cluster.keep_alive(self.entry, self.caller)
        self.cluster.advance(1_500)
        self.assertNotIn(self.caller.flow_id, self.cluster.upstreams["u1"].flows)
        self.assertIn(self.caller.flow_id, self.cluster.upstreams["u2"].flows)
        self.cluster.send("c", self.caller, self.caller.request(1))
        self.assertEqual(["answer"], self.caller.outcomes(1))
        self.assertEqual(1, self.cluster.counters["flows_moved"])
        self.assertEqual(0, self.cluster.counters["flows_broken"])

    def test_lost_ticket_update_is_resent(self):
        old = self.caller.ticket
        self.cluster.keep_alive(self.entry, self.caller)
        self.cluster.advance(1_500)
        self.caller.ticket = old
        self.caller.received_messages.clear()
        self.cluster.keep_alive(self.entry, self.caller)
        self.assertIn(TicketUpdate, [type(m) for m in self.caller.received_messages])
        self.assertEqual(1, self.cluster.counters["flows_moved"])

    def test_new_flows_avoid_the_leaving_upstream(self):
        for port in range(20):
            address = Address(host="127.0.0.8", port=port)
            caller = self.cluster.open("b", address)
            self.assertIn(caller.flow_id, self.cluster.upstreams["u2"].flows)


class MigrationWithRequestsInFlight(testtools.TestCase):
    """A migration changes the outcome of no request in flight."""

    def cluster(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.add_upstream("u2")
        cluster.send("a", caller, caller.request(1))
        return cluster, caller

    def test_request_finishes_where_it_runs(self):
        cluster, caller = self.cluster()
        cluster.leave("u1")
        cluster.keep_alive("a", caller)
        cluster.advance(3_000)
        self.assertIn(caller.flow_id, cluster.upstreams["u1"].flows)
        cluster.release()
        cluster.advance(1_000)
        self.assertEqual(["answer"], caller.outcomes(1))
        self.assertNotIn(caller.flow_id, cluster.upstreams["u1"].flows)

    def test_request_of_the_old_ticket_goes_to_the_old_upstream(self):
        cluster, caller = self.cluster()
        late = caller.request(2)
        cluster.leave("u1")
        cluster.keep_alive("a", caller)
        cluster.send("a", caller, late)
        self.assertEqual(["u1", "u1"], [name for name, _ in cluster.held_jobs])

    def test_cancellation_at_the_old_upstream_is_safe(self):
        cluster, caller = self.cluster()
        late = caller.request(2, attempt=3)
        cluster.leave("u1")
        cluster.keep_alive("a", caller)
        cluster.partitions.add(frozenset("ab"))
        cluster.send("b", caller, late)
        cluster.advance(100)
        cluster.partitions.clear()
        cluster.send("a", caller, late)
        cluster.advance(100)
        self.assertEqual(["not_run"] * 2, caller.outcomes(2))
        self.assertEqual(0, cluster.run_counts[caller.flow_id, 2])

    def test_drain_by_an_operator(self):
        cluster, caller = self.cluster()
        entry = ServiceEntry(name=SERVICE, host="h", port=1, draining=["u1"])
        configuration = Configuration(version=2, services=[entry])
        for core in cluster.entries.values():
            core.apply_configuration(configuration)
        cluster.keep_alive("b", caller)
        self.assertIn(caller.flow_id, cluster.upstreams["u2"].flows)

    def test_migrations_are_rate_limited(self):
        cluster, _ = self.cluster()
        callers = [
            cluster.open("a", Address(host="127.0.0.8", port=port))
            for port in range(600)
        ]
        cluster.leave("u2")
        for caller in callers:
            cluster.keep_alive("a", caller)
        self.assertEqual(100, cluster.counters["flows_moved"])
        cluster.advance(200)
        for caller in callers:
            cluster.keep_alive("b", caller)
        self.assertEqual(200, cluster.counters["flows_moved"])


class PlannedStop(testtools.TestCase):
    """A planned stop loses no flow and no request."""

    def test_stored_answers_are_handed_over(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.stop("a")
        cluster.advance(2_000)
        self.assertTrue(cluster.entries["a"].stopped)
        cluster.kill("a")
        cluster.upstreams["u1"]._answers.clear()
        cluster.send("c", caller, caller.request(1, attempt=4))
        self.assertEqual(["answer", "answer"], caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_new_requests_run_once_during_the_stop(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        request = caller.request(1)
        cluster.stop("a")
        for entry in "abc":
            cluster.send(entry, caller, request)
        cluster.advance(500)
        for entry in "abc":
            cluster.send(entry, caller, request)
        self.assertEqual({"answer"}, set(caller.outcomes(1)))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_waits_for_requests_in_flight(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.stop("a")
        cluster.advance(3_000)
        self.assertFalse(cluster.entries["a"].stopped)
        cluster.send("a", caller, caller.request(2))
        self.assertEqual(0, cluster.work_counts[caller.flow_id, 2])
        cluster.release()
        cluster.advance(2_000)
        self.assertTrue(cluster.entries["a"].stopped)
        cluster.kill("a")
        self.assertEqual(["answer"], caller.outcomes(1))
        cluster.send("b", caller, caller.request(1, attempt=9))
        self.assertEqual(["answer"] * 2, caller.outcomes(1))

    def test_handed_over_flow_is_served_during_the_stop(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        busy = cluster.open("a", Address(host="127.0.0.8", port=1))
        caller = cluster.open("a")
        cluster.send("a", busy, busy.request(1))
        cluster.stop("a")
        cluster.advance(200)
        request = caller.request(1)
        for entry in "cab":
            cluster.send(entry, caller, request)
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])
        cluster.release()
        self.assertEqual(["answer"], caller.outcomes(1))
        cluster.advance(2_000)
        self.assertTrue(cluster.entries["a"].stopped)

    def test_no_reply_while_the_hand_over_is_in_transit(self):
        cluster = EntryCluster()
        cluster.hold_hand_overs = True
        caller = cluster.open("a")
        cluster.stop("a")
        cluster.advance(200)
        request = caller.request(1)
        for entry in "abc":
            cluster.send(entry, caller, request)
        self.assertEqual(0, cluster.work_counts[caller.flow_id, 1])
        self.assertEqual([], caller.outcomes(1))
        cluster.release()
        cluster.advance(2_000)
        cluster.send("c", caller, request)
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_bounded_by_stop_ms(self):
        cluster = EntryCluster(stop_ms=1_000)
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.stop("a")
        cluster.advance(3_000)
        self.assertTrue(cluster.entries["a"].stopped)
        cluster.kill("a")
        cluster.send("b", caller, caller.request(1, attempt=9))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])

    def test_unrecorded_refusal_is_handed_over(self):
        cluster = EntryCluster(stop_ms=1_000)
        caller = cluster.open("a")
        cluster.hold_records = True
        cluster.send("a", caller, caller.on_flow(Cancel, number=1))
        cluster.stop("a")
        cluster.advance(3_000)
        cluster.kill("a")
        cluster.hold_records = False
        cluster.send("b", caller, caller.request(1, attempt=1))
        cluster.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(1))
        self.assertEqual({}, dict(cluster.work_counts))

    def test_opens_are_dropped(self):
        cluster = EntryCluster()
        cluster.stop("a")
        caller = cluster.open("a")
        self.assertEqual(b"", caller.ticket)

    def test_successor_lost_before_the_hand_over(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.kill("b")
        cluster.stop("a")
        cluster.advance(2_000)
        self.assertTrue(cluster.entries["a"].stopped)
        cluster.kill("a")
        cluster.send("c", caller, caller.request(1, attempt=4))
        self.assertEqual(["answer", "answer"], caller.outcomes(1))

    def test_only_entry_waits_for_requests_in_flight(self):
        cluster = EntryCluster(entries=("a",))
        cluster.hold_work = True
        caller = cluster.open("a")
        cluster.send("a", caller, caller.request(1))
        cluster.stop("a")
        cluster.advance(3_000)
        self.assertFalse(cluster.entries["a"].stopped)
        cluster.release()
        cluster.advance(100)
        self.assertTrue(cluster.entries["a"].stopped)
        self.assertEqual(["answer"], caller.outcomes(1))


class RollingRestart(testtools.TestCase):
    """Flows and answers survive the restart of every entry, one after the other."""

    def test_chain_of_successions(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        request = caller.request(1)
        cluster.send("a", caller, request)
        for name in "abc":
            cluster.stop(name)
            cluster.advance(2_500)
            self.assertTrue(cluster.entries[name].stopped)
            cluster.kill(name)
            del cluster.entries[name]
            cluster.add_entry(name)
            self.copy_successions(cluster, name)
            cluster.advance(500)
        cluster.upstreams["u1"]._answers.clear()
        caller.received_messages.clear()
        for name in "abc":
            cluster.send(name, caller, request.replace(attempt=9))
        self.assertEqual(["answer"] * 3, caller.outcomes(1))
        self.assertEqual(1, cluster.work_counts[caller.flow_id, 1])
        cluster.send("b", caller, caller.request(2))
        self.assertEqual(["answer"], caller.outcomes(2))

    def copy_successions(self, cluster, name):
        others = [other for other in cluster.entries if other != name]
        successions = cluster.entries[others[0]].successions.all()
        for succession in successions:
            cluster.entries[name].successions.add(succession, now_ms=cluster.now_ms)


class TicketRefresh(testtools.TestCase):
    """A ticket is replaced well before its owner removes the idle flow."""

    def test_refresh_by_keep_alives(self):
        cluster = EntryCluster(flow_idle_ms=10_000)
        caller = cluster.open("a")
        for _ in range(40):
            cluster.advance(1_000)
            cluster.announce_all()
            cluster.keep_alive("b", caller)
        cluster.send("c", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))

    def test_refresh_at_the_only_entry(self):
        cluster = EntryCluster(entries=("a",), flow_idle_ms=10_000)
        caller = cluster.open("a")
        first = caller.ticket
        cluster.advance(6_000)
        cluster.keep_alive("a", caller)
        self.assertNotEqual(first, caller.ticket)


class FlowOpens(testtools.TestCase):
    """Opens are bounded, and a failed open leaves no state behind."""

    def test_over_the_limit(self):
        cluster = EntryCluster(max_flows=2)
        for port in (1, 2):
            cluster.open("a", Address(host="127.0.0.8", port=port))
        caller = cluster.open("a")
        cluster.advance(100)
        self.assertEqual([OpenRefused], [type(m) for m in caller.received_messages])
        self.assertEqual("too_many_flows", caller.received_messages[0].reason)

    def test_late_acceptance_is_closed(self):
        cluster = EntryCluster()
        caller = Caller(address=CALLER)
        cluster.callers[CALLER] = caller
        core = cluster.entries["a"]
        actions = core.from_caller(
            SERVICE,
            CALLER,
            encode(Open(service=SERVICE, nonce=1, deadline_ms=100)),
            now_ms=cluster.now_ms,
        )
        cluster.now_ms += 200
        cluster._queue_actions("a", actions)
        cluster.deliver()
        self.assertEqual([], caller.received_messages)
        self.assertEqual({}, cluster.upstreams["u1"].flows)

    def test_stream_breaks_while_open_waits(self):
        cluster = EntryCluster(upstreams=("u1", "u2"))
        core = cluster.entries["a"]
        open_message = Open(service=SERVICE, nonce=1, deadline_ms=100)
        (flow_open,) = core.from_caller(
            SERVICE, CALLER, encode(open_message), now_ms=cluster.now_ms
        )
        retries = core.stream_down(flow_open.key, now_ms=cluster.now_ms)
        self.assertNotEqual(flow_open.key, retries[0].key)


class UnsentRequest(testtools.TestCase):
    """A request that never left the process may be sent again."""

    def test_full_outbox(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        core = cluster.entries["a"]
        data = encode(caller.request(1))
        (send,) = core.from_caller(SERVICE, CALLER, data, now_ms=cluster.now_ms)
        self.assertIs(Work, type(send.message))
        cluster._queue_actions(
            "a", core.handle_unsent(send.message, send.key, now_ms=cluster.now_ms)
        )
        cluster.deliver()
        cluster.send("a", caller, caller.request(1, attempt=1))
        self.assertEqual(["resend", "answer"], caller.outcomes(1))


class InvalidDatagram(testscenarios.TestWithScenarios, testtools.TestCase):
    """Invalid datagrams are dropped and counted."""

    scenarios = [
        ("garbage", {"mutate": lambda data: b"\xc1\x00", "counter": "bad_message"}),
        ("truncated", {"mutate": lambda data: data[:-3], "counter": "bad_message"}),
        (
            "trailing byte",
            {"mutate": lambda data: data + b"x", "counter": "bad_message"},
        ),
        ("empty", {"mutate": lambda data: b"", "counter": "bad_message"}),
        (
            "another service",
            {
                "mutate": lambda data: encode(
                    Open(service="b", nonce=1, deadline_ms=1)
                ),
                "counter": "wrong_service",
            },
        ),
        (
            "message type for a caller",
            {
                "mutate": lambda data: encode(KeepAliveAck(service=SERVICE, flow_id=1)),
                "counter": "unexpected",
            },
        ),
        (
            "forged ticket",
            {
                "mutate": lambda data: encode(
                    KeepAlive(service=SERVICE, flow_id=1, ticket=b"\x00" * 80)
                ),
                "counter": "bad_ticket",
            },
        ),
        (
            "ticket of another flow",
            {
                "mutate": lambda data: msgpack.packb(
                    [*msgpack.unpackb(data)[:2], 77, *msgpack.unpackb(data)[3:]]
                ),
                "counter": "wrong_flow",
            },
        ),
    ]

    def test_dropped(self):
        cluster = EntryCluster()
        caller = cluster.open("a")
        data = self.mutate(encode(caller.request(1)))
        core = cluster.entries["a"]
        actions = core.from_caller(SERVICE, CALLER, data, now_ms=cluster.now_ms)
        self.assertEqual([], actions)
        self.assertEqual(1, cluster.counters[f"dropped_{self.counter}"])


class RandomFaults(testtools.TestCase):
    """Under random faults no request runs twice and none that ran gets `not_run`."""

    SEEDS = 150
    STEP_COUNT = 120

    def test_at_most_once_and_true_outcomes(self):
        for seed in range(self.SEEDS):
            self.run_seed(seed)

    def run_seed(self, seed):
        rng = random.Random(seed)
        cluster = EntryCluster(upstreams=("u1", "u2"), flow_idle_ms=20_000)
        cluster.hold_work = True
        callers = [
            cluster.open(rng.choice("abc"), Address(host="127.0.0.8", port=port))
            for port in range(3)
        ]
        requests = []
        steps = [step for step, weight in STEP_WEIGHTS.items() for _ in range(weight)]
        for _ in range(self.STEP_COUNT):
            rng.choice(steps)(cluster, rng, callers, requests)
        cluster.partitions.clear()
        cluster.release()
        for _ in range(12):
            for caller, request in requests:
                resend(cluster, rng, caller, request)
            cluster.advance(500)
            cluster.release()
        for name, work_count in cluster.work_counts.items():
            self.assertEqual(1, work_count, (seed, name))
        for caller, request in requests:
            kinds = set(caller.outcomes(request.number))
            if "not_run" in kinds:
                name = (caller.flow_id, request.number)
                self.assertEqual(0, cluster.run_counts[name], (seed, name, kinds))


def new_request(cluster, rng, callers, requests):
    """Send a new request."""
    caller = rng.choice(callers)
    if caller.ticket:
        request = caller.request(1 + sum(c is caller for c, _ in requests))
        requests.append((caller, request))
        cluster.send(rng.choice(list(cluster.entries)), caller, request)


def resend(cluster, rng, caller, request):
    """Resend a request as a random attempt."""
    attempt = rng.randrange(8)
    cluster.send(
        rng.choice(list(cluster.entries)), caller, request.replace(attempt=attempt)
    )


def resend_any(cluster, rng, callers, requests):
    """Resend a random request."""
    if requests:
        resend(cluster, rng, *rng.choice(requests))


def cancel_any(cluster, rng, callers, requests):
    """Cancel a random request with the ticket that it was sent with."""
    if requests:
        caller, request = rng.choice(requests)
        message = Cancel(
            service=SERVICE,
            flow_id=request.flow_id,
            ticket=request.ticket,
            number=request.number,
        )
        cluster.send(rng.choice(list(cluster.entries)), caller, message)


def keep_alive(cluster, rng, callers, requests):
    """Send a keep-alive or a renewal."""
    caller = rng.choice(callers)
    message = caller.on_flow(rng.choice((KeepAlive, KeepAlive, Renew)))
    cluster.send(rng.choice(list(cluster.entries)), caller, message)


def toggle_partition(cluster, rng, callers, requests):
    """Partition two processes from each other, or heal all partitions."""
    if cluster.partitions and rng.random() < 0.5:
        cluster.partitions.clear()
        return
    names = [*cluster.entries, *cluster.upstreams]
    one, other = rng.sample(names, 2)
    cluster.partitions.add(frozenset((one, other)))
    if one in cluster.entries and other in cluster.upstreams:
        cluster.break_stream(one, other)


def stop_any(cluster, rng, callers, requests):
    """Stop an entry as planned and restart it."""
    name = rng.choice(list(cluster.entries))
    cluster.stop(name)
    cluster.advance(rng.choice((100, 2_500)))
    if cluster.entries[name].stopped:
        restart(cluster, name)


def kill_any(cluster, rng, callers, requests):
    """Kill an entry and restart it."""
    restart(cluster, rng.choice(list(cluster.entries)))


def restart(cluster, name):
    """Restart an entry with a new incarnation."""
    cluster.kill(name)
    del cluster.entries[name]
    cluster.add_entry(name)


def release(cluster, rng, callers, requests):
    """Let work finish and time pass."""
    cluster.release()
    cluster.advance(rng.choice((100, 1_000)))
    cluster.announce_all()


def leave_or_return(cluster, rng, callers, requests):
    """Announce an upstream as leaving or as ready."""
    name = rng.choice(list(cluster.upstreams))
    upstream = cluster.upstreams[name]
    state = rng.choice(("ready", "leaving"))
    upstream.announce = upstream.announce.replace(state=state)
    cluster.announce_all()


#: Relative frequency of each step in a random run.
STEP_WEIGHTS = {
    new_request: 6,
    resend_any: 8,
    cancel_any: 2,
    keep_alive: 4,
    toggle_partition: 3,
    stop_any: 1,
    kill_any: 1,
    release: 4,
    leave_or_return: 1,
}


class UpstreamKnownByTicket(testtools.TestCase):
    """A stream that a ticket opened serves before and after the announcement."""

    def cluster(self):
        """Return entries of which `b` has the upstream only from a ticket."""
        cluster = EntryCluster(entries=("a",))
        caller = cluster.open("a")
        cluster.unannounced.add("u1")
        cluster.add_entry("b")
        cluster.send("b", caller, caller.on_flow(KeepAlive))
        return cluster, caller

    def test_stream_is_ready_once_announced(self):
        cluster, _ = self.cluster()
        cluster.unannounced.clear()
        cluster.announce_all()
        upstreams = cluster.entries["b"].directory.all()
        self.assertEqual([True], [upstream.ready for upstream in upstreams])

    def test_request_runs_before_the_announcement(self):
        cluster, caller = self.cluster()
        cluster.send("b", caller, caller.on_flow(Renew))
        cluster.send("b", caller, caller.request(1))
        self.assertEqual(["answer"], caller.outcomes(1))


class Overload(testtools.TestCase):
    """A request whose answer is expected after its deadline isn't sent."""

    def cluster(self, outstanding):
        cluster = EntryCluster()
        caller = cluster.open("a")
        cluster.hold_work = True
        for number in range(1, 40):
            cluster.send("a", caller, caller.request(number, floor=number))
            cluster.advance(100)
            cluster.release()
        context = cluster.entries["a"].context
        upstream = context.directory.get(cluster.key("u1"))
        context.admission.record_report(upstream, outstanding, now_ms=cluster.now_ms)
        return cluster, caller

    def test_refused(self):
        cluster, caller = self.cluster(outstanding=10_000)
        cluster.send("a", caller, caller.request(50, deadline_ms=1_000))
        self.assertEqual(0, cluster.run_counts[caller.flow_id, 50])
        self.assertEqual([], caller.outcomes(50))
        cluster.advance(100)
        self.assertEqual(["not_run"], caller.outcomes(50))
        self.assertEqual("expected_late", caller.received_messages[-1].reason)

    def test_sent_if_expected_in_time(self):
        cluster, caller = self.cluster(outstanding=100)
        cluster.send("a", caller, caller.request(50, deadline_ms=1_000))
        self.assertEqual(1, cluster.run_counts[caller.flow_id, 50])
