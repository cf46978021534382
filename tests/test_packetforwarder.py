"""tests.test_packetforwarder: Tests of what a forwarder does with packets."""

import testscenarios
import testtools

from knapweeddeal.messages.packets import DRAINING, GONE
from knapweeddeal.packetforwarder import HEDGE_DELAY_MS
from knapweeddeal.packetheader import ACK, FIN, RST, build_reset
from knapweeddeal.packetupstreams import (
    EXIT_GRACE_MS,
    FORGET_MS,
    SUSPECT_MS,
    echo_from_number,
)
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


class Answers(testscenarios.TestWithScenarios, testtools.TestCase):
    """A packet that no upstream may get is reset, or dropped in silence."""

    ECHO = echo_from_number(1)
    #: An upstream of another service at the same address, which started later.
    TAKER = state(2, born_ms=5_000, service="other").replace(
        host=state().host, port=state().port
    )
    scenarios = [
        ("no route", {"world": {"routes": ()}, "data": syn(), "reset": True}),
        ("not known yet", {"world": {}, "data": syn(), "reset": False, "cur": False}),
        (
            "old routes",
            {"world": {"routes": ()}, "data": syn(), "reset": False, "cur": False},
        ),
        (
            "open flow without a route",
            {"world": {"routes": ()}, "data": packet(echo=ECHO), "reset": False},
        ),
        (
            "no upstream",
            {"world": {"routes": (route(),)}, "data": syn(), "reset": True},
        ),
        (
            "upstreams unknown",
            {
                "world": {"routes": (route(),)},
                "data": syn(),
                "reset": False,
                "cur": False,
            },
        ),
        (
            "only a leaving upstream",
            {
                "world": {"routes": (route(),), "states": [state(status=DRAINING)]},
                "data": syn(),
                "reset": True,
            },
        ),
        (
            "unknown echo",
            {
                "world": {"routes": (route(),)},
                "data": packet(echo=ECHO),
                "reset": False,
            },
        ),
        (
            "upstream gone",
            {
                "world": {"routes": (route(),), "states": [state(status=GONE)]},
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": EXIT_GRACE_MS,
                "reset": True,
            },
        ),
        (
            "upstream that is about to end",
            {
                "world": {"routes": (route(),), "states": [state(status=GONE)]},
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": EXIT_GRACE_MS - 1,
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "upstream whose address another one has",
            {
                "world": {
                    "routes": (route(),),
                    "states": [state(status=GONE), TAKER],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": 0,
                "reset": True,
            },
        ),
        (
            "leaving upstream whose address nobody has",
            {
                "world": {
                    "routes": (route(),),
                    "states": [state(status=GONE), TAKER.replace(host="10.0.0.99")],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "now_ms": 0,
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "earlier upstream at the address",
            {
                "world": {
                    "routes": (route(),),
                    "states": [state(born_ms=9_000), TAKER.replace(status=GONE)],
                },
                "data": packet(echo=ECHO, data=b"x"),
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "reset for an upstream that is gone",
            {
                "world": {"routes": (route(),), "states": [state(status=GONE)]},
                "data": packet(flags=RST, echo=ECHO),
                "reset": False,
                "forwarded": True,
            },
        ),
        (
            "an upstream of another service",
            {
                "world": {"routes": (route("other"),), "states": [state()]},
                "data": packet(echo=ECHO, data=b"x"),
                "reset": False,
            },
        ),
        ("too short", {"world": {"routes": (route(),)}, "data": b"x", "reset": False}),
    ]
    cur = True
    forwarded = False
    now_ms = EXIT_GRACE_MS

    def test_answer(self):
        out = ForwarderHarness(current=self.cur, **self.world).handle_packet(
            self.data, self.now_ms
        )
        expected = [(build_reset(self.data), CALLER)] if self.reset else []
        if self.forwarded:
            expected = [((1).to_bytes(8, "big") + self.data, ("10.0.0.1", 80))]
        self.assertEqual(expected, out)


class Routed(testscenarios.TestWithScenarios, testtools.TestCase):
    """Any forwarder routes a later packet, as it is, by its echo alone."""

    scenarios = [
        ("data", {"flags": 0, "status": "ready"}),
        ("ack", {"flags": ACK, "status": "ready"}),
        ("fin", {"flags": FIN, "status": "ready"}),
        ("leaving", {"flags": ACK, "status": DRAINING}),
        ("silent", {"flags": ACK, "status": "ready", "silent": True}),
    ]
    silent = False

    def test_routed(self):
        told = [state(1), state(2, status=self.status, silent=self.silent)]
        world = ForwarderHarness(routes=[route()], states=told)
        data = packet(flags=self.flags, echo=echo_from_number(2), data=b"x")
        expected = ((2).to_bytes(8, "big") + data, ("10.0.0.2", 80))
        self.assertEqual([expected], world.handle_packet(data))

    def test_former_service(self):
        world = ForwarderHarness(
            routes=[route("other", former=[SERVICE])], states=[state()]
        )
        self.assertEqual(1, len(world.handle_packet(packet(echo=echo_from_number(1)))))


class FlowOpener(testtools.TestCase):
    """A SYN gets an upstream; its copies, which went unanswered, another one."""

    def setUp(self):
        super().setUp()
        self.world = ForwarderHarness(
            routes=[route()], states=[state(n) for n in (1, 2, 3)]
        )

    def targets(self, *packets):
        """Return where packets went."""
        return [self.world.handle_packet(data)[0][1] for data in packets]

    def test_echo(self):
        (data, address), *_ = self.world.handle_packet(syn())
        number = int(address[0].rpartition(".")[2])
        self.assertEqual(number.to_bytes(8, "big"), data[:8])
        self.assertEqual(echo_from_number(number), data[10:14])

    def test_copies(self):
        targets = self.targets(syn(), syn(copy=1), syn(copy=2))
        self.assertEqual(3, len(set(targets)))

    def test_doubled(self):
        first, again = self.targets(syn(), syn())
        self.assertEqual(first, again)

    def test_dropped_route(self):
        """A route that this process saw dropped resets its open flows."""
        _, echo = self.world.open(port=1)
        self.world.routes.apply(routes_push(revision=2))
        data = packet(port=1, echo=echo, data=b"x")
        self.assertEqual([(build_reset(data), CALLER)], self.world.handle_packet(data))


class Hedged(testtools.TestCase):
    """An upstream that doesn't answer costs its callers 30 ms, once in 3 s."""

    def setUp(self):
        super().setUp()
        self.world = ForwarderHarness(
            routes=[route()], states=[state(n) for n in (1, 2, 3)]
        )

    def due(self, now_ms):
        """Return where SYNs go at a time without a packet."""
        out = []
        self.world.forwarder.send_due_hedges(now_ms, out)
        return [address for _, address in out]

    def test_unanswered(self):
        ((data, first),) = self.world.handle_packet(syn(port=1), 1_000)
        self.assertEqual(1_000 + HEDGE_DELAY_MS, self.world.forwarder.next_due_ms)
        self.assertEqual([], self.due(1_000 + HEDGE_DELAY_MS - 1))
        (second,) = self.due(1_000 + HEDGE_DELAY_MS)
        (third,) = self.due(1_000 + 2 * HEDGE_DELAY_MS)
        self.assertEqual(3, len({first, second, third}))
        self.assertIsNone(self.world.forwarder.next_due_ms)

    def test_answered(self):
        ((data, _),) = self.world.handle_packet(syn(port=1), 1_000)
        self.world.handle_packet(packet(port=1, echo=data[10:14]), 1_010)
        self.assertIsNone(self.world.forwarder.next_due_ms)
        self.assertEqual([], self.due(2_000))

    def test_avoided(self):
        """New flows avoid an upstream that is silent, then try it again."""
        ((_, silent),) = self.world.handle_packet(syn(port=1), 1_000)
        self.due(1_000 + HEDGE_DELAY_MS)
        early = {self.world.open(port=p, now_ms=1_100 + p)[0] for p in range(2, 30)}
        later_ms = 1_000 + HEDGE_DELAY_MS + SUSPECT_MS
        late = {self.world.open(port=p, now_ms=later_ms + p)[0] for p in range(30, 60)}
        self.assertNotIn(silent, early)
        self.assertIn(silent, late)

    def test_lost_packet(self):
        """An upstream that answered a later SYN is not silent: a packet was lost."""
        self.assertFalse(
            self.is_suspect(syn(port=9), packet(port=9, echo=echo_from_number(1)))
        )

    def test_moved_flow(self):
        """A flow that another forwarder opened says nothing of its upstream."""
        self.assertTrue(
            self.is_suspect(packet(port=9, echo=echo_from_number(1), data=b"x"))
        )

    @staticmethod
    def is_suspect(*packets):
        """Tell what is thought of an upstream that left a SYN unanswered."""
        told = [state(1), state(2, zone="zone-b")]
        world = ForwarderHarness(routes=[route()], states=told)
        world.handle_packet(syn(port=1), 1_000)
        for data in packets:
            world.handle_packet(data, 1_005)
        world.forwarder.send_due_hedges(1_000 + HEDGE_DELAY_MS, [])
        return world.pool.find_by_echo(echo_from_number(1)).is_suspect(
            1_000 + HEDGE_DELAY_MS
        )

    def test_one_upstream(self):
        """Without another upstream, the first one is left to the caller's copies."""
        world = ForwarderHarness(routes=[route()], states=[state(1)])
        world.handle_packet(syn(port=1), 1_000)
        out = []
        world.forwarder.send_due_hedges(1_000 + HEDGE_DELAY_MS, out)
        self.assertEqual([], out)

    def test_zone_cut(self):
        """A zone that is cut off: each distant upstream costs one flow 30 ms."""
        told = [state(1, slots=1), *(state(n, zone="zone-b") for n in (2, 3, 4, 5))]
        world = ForwarderHarness(routes=[route()], states=told)
        delayed = 0
        for port in range(200):
            now_ms = 1_000 + port * 5
            out = world.handle_packet(syn(port=port), now_ms)
            world.forwarder.send_due_hedges(now_ms, out)
            for data, address in out:
                if address[0] == "10.0.0.1":
                    world.handle_packet(
                        packet(port=port, echo=data[10:14], data=b"x"), now_ms
                    )
            delayed += out[0][1][0] != "10.0.0.1"
        self.assertLessEqual(delayed, 4 * 7)


class Failing(testscenarios.TestWithScenarios, testtools.TestCase):
    """A failing upstream gets no new flow while another one can take it."""

    scenarios = [
        ("one of two", {"failing": [True, False], "chosen": {2}}),
        ("all", {"failing": [True, True], "chosen": {1, 2}}),
        ("none", {"failing": [False, False], "chosen": {1, 2}}),
    ]

    def test_choice(self):
        states = [state(n, failing=f) for n, f in enumerate(self.failing, 1)]
        world = ForwarderHarness(routes=(route(),), states=states)
        chosen = set()
        for port in range(40_000, 40_020):
            (data, _), *_ = world.handle_packet(syn(port=port))
            chosen.add(int.from_bytes(data[:8], "big"))
        self.assertEqual(self.chosen, chosen)


class Answered(testtools.TestCase):
    """Requests with and without an answer are counted by upstream."""

    def test_counts(self):
        world = ForwarderHarness(routes=(route(),), states=[state()])
        for port in range(40_000, 40_010):
            _, echo = world.open(port=port)
            world.handle_packet(fin(port=port, echo=echo), 40)
        world.open(port=41_000, now_ms=100)
        self.assertEqual(
            {"i-1": (10, 0)}, world.forwarder.pop_answer_counts(now_ms=499)
        )
        self.assertEqual({"i-1": (0, 1)}, world.forwarder.pop_answer_counts(now_ms=500))


class Load(testtools.TestCase):
    """Load patterns, and where flows go in them."""

    def test_long_flows_spread(self):
        """Thirty long flows over three upstreams: ten each."""
        world = ForwarderHarness(routes=[route()], states=[state(n) for n in (1, 2, 3)])
        for port in range(30):
            world.open(port=port, now_ms=port * 1_000)
        self.assertEqual([10, 10, 10], [u.open_flows for u in world.pool.all()])

    def test_slots(self):
        """An upstream with three times the slots gets three times the flows."""
        told = [state(1, slots=2), state(2, slots=6)]
        world = ForwarderHarness(routes=[route()], states=told)
        for port in range(40):
            world.open(port=port, now_ms=port * 1_000)
        counts = [u.open_flows for u in world.pool.all()]
        self.assertEqual(40, sum(counts))
        self.assertTrue(9 <= counts[0] <= 11, counts)

    def test_zone_then_spill(self):
        """A burst fills the own availability zone first, then another."""
        told = [state(1), state(2, zone="zone-b")]
        world = ForwarderHarness(routes=[route()], states=told)
        targets = [world.open(port=port)[0][0] for port in range(10)]
        self.assertEqual("10.0.0.1", targets[0])
        self.assertEqual({"10.0.0.1", "10.0.0.2"}, set(targets))
        self.assertGreaterEqual(targets.count("10.0.0.1"), 5)

    def test_cold(self):
        """A cold upstream gets new flows only when the others are busier."""
        told = [state(1), state(2, cold_ms=2_000)]
        world = ForwarderHarness(routes=[route()], states=told)
        early = [world.open(port=port)[0][0] for port in range(1)]
        late = [world.open(port=p, now_ms=3_000)[0][0] for p in range(10, 12)]
        self.assertEqual(["10.0.0.1"], early)
        self.assertIn("10.0.0.2", late)

    def test_closed(self):
        """A closed flow no longer counts."""
        world = ForwarderHarness(routes=[route()], states=[state(1)])
        _, echo = world.open(port=1)
        world.handle_packet(fin(port=1, echo=echo))
        (upstream,) = world.pool.all()
        self.assertEqual([0, 0], [upstream.open_flows, world.forwarder.flow_count])

    def test_idle(self):
        """An idle flow is forgotten, and still routed."""
        world = ForwarderHarness(routes=[route()], states=[state(1)])
        _, echo = world.open(port=1)
        world.forwarder.expire_flows(15_001)
        self.assertEqual(0, world.forwarder.flow_count)
        self.assertEqual(1, len(world.handle_packet(packet(port=1, echo=echo), 15_002)))


class Told(testscenarios.TestWithScenarios, testtools.TestCase):
    """Of two things told of an upstream, the later one stands."""

    scenarios = [
        ("leaving", {"told": {"sequence": 6, "status": DRAINING}, "status": DRAINING}),
        ("late", {"told": {"sequence": 4, "status": DRAINING}, "status": "ready"}),
        ("reborn", {"told": {"born_ms": 2_000, "sequence": 1}, "status": "ready"}),
        ("gone", {"told": {"status": GONE}, "status": GONE}),
        ("hint", {"told": {"hint": True, "status": DRAINING}, "status": "ready"}),
        ("silent", {"told": {"silent": True}, "silent": True}),
        ("silent to a cut replica", {"told": {"silent": True}, "current": False}),
    ]
    status = "ready"
    silent = False
    current = True

    def test_told(self):
        world = ForwarderHarness(routes=[route()], states=[state(sequence=5)])
        told = state(**{"sequence": 5, **self.told})
        world.pool.apply_states([told], 0, current=self.current)
        (upstream,) = world.pool.all()
        self.assertEqual(self.status, upstream.state.status)
        self.assertEqual(self.silent, upstream.state.silent)


class Forgotten(testscenarios.TestWithScenarios, testtools.TestCase):
    """Upstreams that are gone for long take no memory."""

    scenarios = [
        ("gone", {"told": {"status": GONE}, "known": 0}),
        ("silent", {"told": {"silent": True}, "known": 0}),
        ("leaving", {"told": {"status": DRAINING}, "known": 1}),
        ("back", {"told": {"silent": True}, "then": {"sequence": 2}, "known": 1}),
    ]
    then = None

    def test_forget(self):
        world = ForwarderHarness(routes=[route()], states=[state(1)])
        world.pool.apply_states([state(**self.told)], 0, current=True)
        if self.then:
            world.pool.apply_states([state(**self.then)], 1, current=True)
        world.pool.expire_upstreams(FORGET_MS - 1)
        self.assertEqual(1, len(list(world.pool.all())))
        world.pool.expire_upstreams(FORGET_MS)
        self.assertEqual(self.known, len(list(world.pool.all())))
        self.assertEqual(
            self.known, world.pool.find_by_echo(echo_from_number(1)) is not None
        )

    def test_other_zone(self):
        """An upstream that starts again elsewhere is no longer near."""
        world = ForwarderHarness(routes=[route()], states=[state(1)])
        world.pool.apply_states([state(born_ms=2_000, zone="zone-b")], 0, current=True)
        (upstream,) = world.pool.all()
        self.assertFalse(upstream.is_same_zone)
