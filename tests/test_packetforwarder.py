"""tests.test_packetforwarder: Tests of a forwarder's packet routing."""

import testscenarios
import testtools

from knapweeddeal.answertracker import RequestTotal
from knapweeddeal.messages.packets import DRAINING, GONE
from knapweeddeal.packetforwarder import HEDGE_DELAY_MS
from knapweeddeal.packetheader import ACK, FIN, RST, build_reset
from knapweeddeal.packetupstreams import (
    EXIT_GRACE_MS,
    SUSPECT_MS,
    UPSTREAM_RETENTION_MS,
)
from knapweeddeal.upstreamechoes import echo_from_number
from tests.packetfakes import (
    CALLER_PORT,
    SERVICE,
    ForwarderHarness,
    fin,
    packet,
    route,
    routes_push,
    state,
    syn,
)

CALLER = ("100.64.0.7", CALLER_PORT)


class UndeliverablePackets(testscenarios.TestWithScenarios, testtools.TestCase):
    """Check the answer to packets without a usable route or upstream.

    A reset that is missing leaves callers waiting; a reset that is sent while the
    state may be outdated ends flows that work.
    """

    ECHO = echo_from_number(1)
    #: An upstream of another service at the same address, which started later.
    ADDRESS_SUCCESSOR = state(2, born_ms=5_000, service="other").replace(
        host=state().host, port=state().port
    )
    MOVED = state(born_ms=9_000, host="10.0.0.50")
    MOVED_AND_GONE = MOVED.replace(status=GONE)
    scenarios = [
        ("no route", {"harness_fields": {"routes": ()}, "data": syn(), "reset": True}),
        (
            "no routes received yet",
            {"harness_fields": {}, "data": syn(), "reset": False, "is_current": False},
        ),
        (
            "no route, state not current",
            {
                "harness_fields": {"routes": ()},
                "data": syn(),
                "reset": False,
                "is_current": False,
            },
        ),
        (
            "open flow without a route",
            {
                "harness_fields": {"routes": ()},
                "data": packet(echo=ECHO),
                "reset": False,
            },
        ),
        (
            "no upstream",
            {"harness_fields": {"routes": (route(),)}, "data": syn(), "reset": True},
        ),
        (
            "no upstream, state not current",
            {
                "harness_fields": {"routes": (route(),)},
                "data": syn(),
                "reset": False,
                "is_current": False,
            },
        ),
        (
            "only a draining upstream",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(status=DRAINING)],
                },
                "data": syn(),
                "reset": True,
            },
        ),
        (
            "unknown echo",
            {
                "harness_fields": {"routes": (route(),)},
                "data": packet(echo=ECHO),
                "reset": False,
            },
        ),
        (
            "upstream gone",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(status=GONE)],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": EXIT_GRACE_MS,
                "reset": True,
            },
        ),
        (
            "gone upstream before the end of its exit grace period",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(status=GONE)],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": EXIT_GRACE_MS - 1,
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "gone upstream whose address was reused",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(status=GONE), ADDRESS_SUCCESSOR],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": 0,
                "reset": True,
            },
        ),
        (
            "gone upstream whose address was not reused",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [
                        state(status=GONE),
                        ADDRESS_SUCCESSOR.replace(host="10.0.0.99"),
                    ],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": 0,
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "gone upstream that restarted at another address before",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(), ADDRESS_SUCCESSOR, MOVED, MOVED_AND_GONE],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": 0,
                "reset": False,
                "forwarded": True,
                "host": MOVED.host,
            },
        ),
        (
            "ready upstream at the address of an earlier, gone one",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [
                        state(born_ms=9_000),
                        ADDRESS_SUCCESSOR.replace(status=GONE),
                    ],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "reset to a gone upstream",
            {
                "harness_fields": {
                    "routes": (route(),),
                    "states": [state(status=GONE)],
                },
                "data": packet(flags=RST, echo=ECHO),
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "upstream of another service",
            {
                "harness_fields": {"routes": (route("other"),), "states": [state()]},
                "data": packet(echo=ECHO, data=b"x"),
                "reset": False,
            },
        ),
        (
            "too short",
            {"harness_fields": {"routes": (route(),)}, "data": b"x", "reset": False},
        ),
    ]
    is_current = True
    forwarded = False
    host = "10.0.0.1"
    now_ms = EXIT_GRACE_MS

    def test_answer(self):
        out = ForwarderHarness(
            current=self.is_current, **self.harness_fields
        ).handle_packet(self.data, self.now_ms)
        expected = [(build_reset(self.data), CALLER)] if self.reset else []
        if self.forwarded:
            expected = [((1).to_bytes(8, "big") + self.data, (self.host, 80))]
        self.assertEqual(expected, out)


class RoutedByEcho(testscenarios.TestWithScenarios, testtools.TestCase):
    """Flows continue through any forwarder: it routes later packets by echo alone."""

    scenarios = [
        ("data", {"flags": 0, "status": "ready"}),
        ("ack", {"flags": ACK, "status": "ready"}),
        ("fin", {"flags": FIN, "status": "ready"}),
        ("draining upstream", {"flags": ACK, "status": DRAINING}),
        ("silent upstream", {"flags": ACK, "status": "ready", "silent": True}),
    ]
    silent = False

    def test_routed(self):
        states = [state(1), state(2, status=self.status, silent=self.silent)]
        harness = ForwarderHarness(routes=[route()], states=states)
        data = packet(flags=self.flags, echo=echo_from_number(2), data=b"x")
        expected = ((2).to_bytes(8, "big") + data, ("10.0.0.2", 80))
        self.assertEqual([expected], harness.handle_packet(data))

    def test_former_service(self):
        harness = ForwarderHarness(
            routes=[route("other", former=[SERVICE])], states=[state()]
        )
        self.assertEqual(
            1, len(harness.handle_packet(packet(echo=echo_from_number(1))))
        )


class SynRetransmission(testtools.TestCase):
    """A retransmitted SYN goes to another upstream; a duplicated one to the same."""

    def setUp(self):
        super().setUp()
        self.harness = ForwarderHarness(
            routes=[route()], states=[state(n) for n in (1, 2, 3)]
        )

    def targets(self, *packets):
        """Return the addresses that packets are sent to."""
        return [self.harness.handle_packet(data)[0][1] for data in packets]

    def test_echo(self):
        (data, address), *_ = self.harness.handle_packet(syn())
        number = int(address[0].rpartition(".")[2])
        self.assertEqual(number.to_bytes(8, "big"), data[:8])
        self.assertEqual(echo_from_number(number), data[10:14])

    def test_retransmissions(self):
        targets = self.targets(syn(), syn(copy=1), syn(copy=2))
        self.assertEqual(3, len(set(targets)))

    def test_duplicated_syn(self):
        first, again = self.targets(syn(), syn())
        self.assertEqual(first, again)

    def test_dropped_route(self):
        """Open flows are reset if their route was removed while the process ran."""
        _, echo = self.harness.open(port=1)
        self.harness.routes.apply(routes_push(revision=2))
        data = packet(port=1, echo=echo, data=b"x")
        self.assertEqual(
            [(build_reset(data), CALLER)], self.harness.handle_packet(data)
        )


class HedgedSyn(testtools.TestCase):
    """An upstream that doesn't answer delays one flow in 3 s, and only by 30 ms."""

    def setUp(self):
        super().setUp()
        self.harness = ForwarderHarness(
            routes=[route()], states=[state(n) for n in (1, 2, 3)]
        )

    def send_due(self, now_ms):
        """Return the addresses that due SYNs are sent to."""
        out = []
        self.harness.forwarder.send_due_hedges(now_ms, out)
        return [address for _, address in out]

    def test_unanswered(self):
        ((data, first),) = self.harness.handle_packet(syn(port=1), 1_000)
        self.assertEqual(1_000 + HEDGE_DELAY_MS, self.harness.forwarder.next_due_ms)
        self.assertEqual([], self.send_due(1_000 + HEDGE_DELAY_MS - 1))
        (second,) = self.send_due(1_000 + HEDGE_DELAY_MS)
        (third,) = self.send_due(1_000 + 2 * HEDGE_DELAY_MS)
        self.assertEqual(3, len({first, second, third}))
        self.assertIsNone(self.harness.forwarder.next_due_ms)

    def test_answered(self):
        ((data, _),) = self.harness.handle_packet(syn(port=1), 1_000)
        self.harness.handle_packet(packet(port=1, echo=data[10:14]), 1_010)
        self.assertIsNone(self.harness.forwarder.next_due_ms)
        self.assertEqual([], self.send_due(2_000))

    def test_silent_upstream_avoided(self):
        """New flows avoid an unresponsive upstream for `SUSPECT_MS`, not longer."""
        ((_, silent),) = self.harness.handle_packet(syn(port=1), 1_000)
        self.send_due(1_000 + HEDGE_DELAY_MS)
        early = {self.harness.open(port=p, now_ms=1_100 + p)[0] for p in range(2, 30)}
        later_ms = 1_000 + HEDGE_DELAY_MS + SUSPECT_MS
        late = {
            self.harness.open(port=p, now_ms=later_ms + p)[0] for p in range(30, 60)
        }
        self.assertNotIn(silent, early)
        self.assertIn(silent, late)

    def test_lost_packet(self):
        """An upstream that answered a later SYN isn't suspect: a packet was lost."""
        self.assertFalse(
            self.is_suspect(syn(port=9), packet(port=9, echo=echo_from_number(1)))
        )

    def test_flow_of_other_forwarder(self):
        """A flow opened by another forwarder isn't proof that the upstream answers."""
        self.assertTrue(
            self.is_suspect(packet(port=9, echo=echo_from_number(1), data=b"x"))
        )

    @staticmethod
    def is_suspect(*packets):
        """Return whether an upstream is suspect after an unanswered SYN and packets."""
        states = [state(1), state(2, zone="zone-b")]
        harness = ForwarderHarness(routes=[route()], states=states)
        harness.handle_packet(syn(port=1), 1_000)
        for data in packets:
            harness.handle_packet(data, 1_005)
        harness.forwarder.send_due_hedges(1_000 + HEDGE_DELAY_MS, [])
        return harness.pool.find_by_echo(echo_from_number(1)).is_suspect(
            1_000 + HEDGE_DELAY_MS
        )

    def test_one_upstream(self):
        """Without another upstream, only the caller's retransmissions are sent."""
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        harness.handle_packet(syn(port=1), 1_000)
        out = []
        harness.forwarder.send_due_hedges(1_000 + HEDGE_DELAY_MS, out)
        self.assertEqual([], out)

    def test_isolated_zone(self):
        """Each upstream in a zone that can't be reached delays one flow by 30 ms."""
        states = [state(1, slots=1), *(state(n, zone="zone-b") for n in (2, 3, 4, 5))]
        harness = ForwarderHarness(routes=[route()], states=states)
        delayed = 0
        for port in range(200):
            now_ms = 1_000 + port * 5
            out = harness.handle_packet(syn(port=port), now_ms)
            harness.forwarder.send_due_hedges(now_ms, out)
            for data, address in out:
                if address[0] == "10.0.0.1":
                    harness.handle_packet(
                        packet(port=port, echo=data[10:14], data=b"x"), now_ms
                    )
            delayed += out[0][1][0] != "10.0.0.1"
        self.assertLessEqual(delayed, 4 * 7)


class FailingUpstream(testscenarios.TestWithScenarios, testtools.TestCase):
    """A failing upstream gets no new flow while another one is available."""

    scenarios = [
        ("one of two", {"failing": [True, False], "chosen": {2}}),
        ("all", {"failing": [True, True], "chosen": {1, 2}}),
        ("none", {"failing": [False, False], "chosen": {1, 2}}),
    ]

    def test_choice(self):
        states = [state(n, failing=f) for n, f in enumerate(self.failing, 1)]
        harness = ForwarderHarness(routes=(route(),), states=states)
        chosen = set()
        for port in range(40_000, 40_020):
            (data, _), *_ = harness.handle_packet(syn(port=port))
            chosen.add(int.from_bytes(data[:8], "big"))
        self.assertEqual(self.chosen, chosen)


class AnswerCounting(testtools.TestCase):
    """Answered and unanswered requests are counted by upstream, with response times."""

    def test_counts(self):
        harness = ForwarderHarness(routes=(route(),), states=[state()])
        for port in range(40_000, 40_010):
            _, echo = harness.open(port=port)
            ack = packet(port=port, echo=echo, flags=ACK, copy=2_000)
            harness.handle_packet(ack, 30)
            harness.handle_packet(fin(port=port, echo=echo, copy=2_000), 40)
        harness.open(port=41_000, now_ms=100)
        answered = RequestTotal(
            answered=10, rejected=0, response_ms=300, timed=10, unanswered=0
        )
        totals = harness.forwarder.pop_request_totals(now_ms=499)
        self.assertEqual({"i-1": answered}, totals)
        unanswered = RequestTotal(
            answered=0, rejected=0, response_ms=0, timed=0, unanswered=1
        )
        totals = harness.forwarder.pop_request_totals(now_ms=500)
        self.assertEqual({"i-1": unanswered}, totals)


class LoadDistribution(testtools.TestCase):
    """Flows are distributed by load, slots, zone and warm-up of the upstreams."""

    def test_long_flows_spread(self):
        """Thirty long flows are spread evenly over three upstreams."""
        harness = ForwarderHarness(
            routes=[route()], states=[state(n) for n in (1, 2, 3)]
        )
        for port in range(30):
            harness.open(port=port, now_ms=port * 1_000)
        self.assertEqual([10, 10, 10], [u.open_flows for u in harness.pool.all()])

    def test_slots(self):
        """An upstream with three times the slots gets three times the flows."""
        states = [state(1, slots=2), state(2, slots=6)]
        harness = ForwarderHarness(routes=[route()], states=states)
        for port in range(40):
            harness.open(port=port, now_ms=port * 1_000)
        counts = [u.open_flows for u in harness.pool.all()]
        self.assertEqual(40, sum(counts))
        self.assertTrue(9 <= counts[0] <= 11, counts)

    def test_spill_to_other_zone(self):
        """A burst fills the own availability zone before it spills to another one."""
        states = [state(1), state(2, zone="zone-b")]
        harness = ForwarderHarness(routes=[route()], states=states)
        targets = [harness.open(port=port)[0][0] for port in range(10)]
        self.assertEqual("10.0.0.1", targets[0])
        self.assertEqual({"10.0.0.1", "10.0.0.2"}, set(targets))
        self.assertGreaterEqual(targets.count("10.0.0.1"), 5)

    def test_cold_upstream(self):
        """A cold upstream gets new flows only while the others have more load."""
        states = [state(1), state(2, cold_ms=2_000)]
        harness = ForwarderHarness(routes=[route()], states=states)
        early = [harness.open(port=port)[0][0] for port in range(1)]
        late = [harness.open(port=p, now_ms=3_000)[0][0] for p in range(10, 12)]
        self.assertEqual(["10.0.0.1"], early)
        self.assertIn("10.0.0.2", late)

    def test_closed_flow(self):
        """A closed flow no longer counts as load."""
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        _, echo = harness.open(port=1)
        harness.handle_packet(fin(port=1, echo=echo))
        (upstream,) = harness.pool.all()
        self.assertEqual([0, 0], [upstream.open_flows, harness.forwarder.flow_count])

    def test_idle_flow(self):
        """An idle flow leaves the flow table, and its packets are still forwarded."""
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        _, echo = harness.open(port=1)
        harness.forwarder.expire_flows(15_001)
        self.assertEqual(0, harness.forwarder.flow_count)
        self.assertEqual(
            1, len(harness.handle_packet(packet(port=1, echo=echo), 15_002))
        )


class UpstreamStateUpdates(testscenarios.TestWithScenarios, testtools.TestCase):
    """A state that arrives late must not replace a newer one of the upstream."""

    scenarios = [
        (
            "draining",
            {"update": {"sequence": 6, "status": DRAINING}, "status": DRAINING},
        ),
        (
            "lower sequence number",
            {"update": {"sequence": 4, "status": DRAINING}, "status": "ready"},
        ),
        ("restarted", {"update": {"born_ms": 2_000, "sequence": 1}, "status": "ready"}),
        ("gone", {"update": {"status": GONE}, "status": GONE}),
        ("hint", {"update": {"hint": True, "status": DRAINING}, "status": "ready"}),
        ("silent", {"update": {"silent": True}, "silent": True}),
        (
            "silent, from a replica without a leader",
            {"update": {"silent": True}, "current": False},
        ),
        (
            "gone after it was silent, from a replica without a leader",
            {
                "update": {"status": GONE, "silent": True},
                "current": False,
                "status": GONE,
            },
        ),
        (
            "restarted and silent, from a replica without a leader",
            {
                "update": {"born_ms": 2_000, "status": DRAINING, "silent": True},
                "current": False,
                "status": DRAINING,
            },
        ),
    ]
    status = "ready"
    silent = False
    current = True

    def test_newer_state(self):
        harness = ForwarderHarness(routes=[route()], states=[state(sequence=5)])
        updated = state(**{"sequence": 5, **self.update})
        harness.pool.apply_states([updated], 0, current=self.current)
        (upstream,) = harness.pool.all()
        self.assertEqual(self.status, upstream.state.status)
        self.assertEqual(self.silent, upstream.state.silent)


class ForgottenUpstreams(testscenarios.TestWithScenarios, testtools.TestCase):
    """Upstreams that have been gone or silent for long don't use up memory."""

    scenarios = [
        ("gone", {"update": {"status": GONE}, "remaining_count": 0}),
        ("silent", {"update": {"silent": True}, "remaining_count": 0}),
        ("draining", {"update": {"status": DRAINING}, "remaining_count": 1}),
        (
            "silent, then reported again",
            {
                "update": {"silent": True},
                "next_update": {"sequence": 2},
                "remaining_count": 1,
            },
        ),
    ]
    next_update = None

    def test_expired(self):
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        harness.pool.apply_states([state(**self.update)], 0, current=True)
        if self.next_update:
            harness.pool.apply_states([state(**self.next_update)], 1, current=True)
        harness.pool.expire_upstreams(UPSTREAM_RETENTION_MS - 1)
        self.assertEqual(1, len(list(harness.pool.all())))
        harness.pool.expire_upstreams(UPSTREAM_RETENTION_MS)
        self.assertEqual(self.remaining_count, len(list(harness.pool.all())))
        self.assertEqual(
            self.remaining_count,
            harness.pool.find_by_echo(echo_from_number(1)) is not None,
        )

    def test_other_zone(self):
        """An upstream that restarts in another zone no longer counts as local."""
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        harness.pool.apply_states(
            [state(born_ms=2_000, zone="zone-b")], 0, current=True
        )
        (upstream,) = harness.pool.all()
        self.assertFalse(upstream.is_same_zone)
