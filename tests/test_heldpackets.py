"""tests.test_heldpackets: Tests of packets that wait for a forwarder's first state."""

import testscenarios
import testtools

from knapweeddeal.heldpackets import (
    FRESH_MS,
    MAX_HELD,
    MAX_HOLD_MS,
    SPREAD_MS,
    HeldPackets,
)
from knapweeddeal.packetheader import RST, SYN
from tests.packetfakes import (
    SERVICE,
    ForwarderHarness,
    packet,
    route,
    routes_push,
    state,
    syn,
)

ECHO = (1).to_bytes(4, "little")


class Bounds(testtools.TestCase):
    """Packets are held in order, without copies, for a time, and up to a number."""

    def setUp(self):
        super().setUp()
        self.held = HeldPackets()

    def release(self, now_ms):
        """Return the packets that go on from a time on."""
        self.held.start_release(now_ms)
        packets = self.held.pop_due(now_ms)
        while (due_ms := self.held.next_due_ms) is not None:
            packets += self.held.pop_due(due_ms)
        return packets

    def test_order(self):
        packets = [syn(port=number) for number in (3, 1, 2)]
        for data in packets:
            self.held.hold(data, 0)
        self.assertEqual(packets, self.release(FRESH_MS + 1))
        self.assertIsNone(self.held.next_due_ms)

    def test_copy(self):
        """A repeated packet is sent on once, and counts from its last copy."""
        self.held.hold(syn(), 0)
        self.held.hold(syn(copy=1), 200)
        self.assertEqual([syn(copy=1)], self.release(MAX_HOLD_MS))

    def test_age(self):
        self.held.hold(syn(port=1), 0)
        self.held.hold(syn(port=2), 1)
        self.assertEqual([syn(port=2)], self.release(MAX_HOLD_MS))

    def test_age_while_going_on(self):
        """A packet that gets too old before its turn isn't sent."""
        for port in (1, 2):
            self.held.hold(syn(port=port), 0)
        self.held.start_release(MAX_HOLD_MS - 100)
        self.assertEqual([syn(port=1)], self.held.pop_due(MAX_HOLD_MS - 100))
        self.assertEqual([], self.held.pop_due(MAX_HOLD_MS + SPREAD_MS))

    def test_number(self):
        for number in range(MAX_HELD + 10):
            self.held.hold(syn(port=number + 1), 0)
        self.assertEqual(MAX_HELD, len(self.held))
        self.assertEqual(syn(port=11), self.release(0)[0])

    def test_discarded(self):
        """A packet that was held is dropped if its copy goes on before it."""
        self.held.hold(syn(port=1), 0)
        self.held.hold(syn(port=2), 0)
        self.held.discard_copy(syn(port=1, copy=1))
        self.assertEqual([syn(port=2)], self.release(FRESH_MS + 1))


class StartAfterPowerLoss(testscenarios.TestWithScenarios, testtools.TestCase):
    """Packets that a starting forwarder can't route yet go on with its first state."""

    scenarios = [
        ("SYN", {"data": syn(), "flags": SYN}),
        ("request on an open flow", {"data": packet(echo=ECHO, data=b"x"), "flags": 0}),
    ]

    def setUp(self):
        super().setUp()
        self.harness = ForwarderHarness(current=False)
        self.assertEqual([], self.harness.handle_packet(self.data, 100))

    def release(self, now_ms):
        """Return the packets that are sent from a time on without new ones."""
        out, forwarder = [], self.harness.forwarder
        forwarder.release_held(now_ms, out)
        while (due_ms := forwarder.next_due_ms) is not None and due_ms < now_ms + 1_100:
            forwarder.release_held(due_ms, out)
            forwarder.send_due_hedges(due_ms, out)
        return out

    def test_in_time(self):
        self.harness.routes.apply(routes_push(route()))
        self.assertEqual([], self.release(300))
        self.harness.pool.apply_states([state()], 350, current=False)
        ((payload, address),) = self.release(350)
        self.assertEqual(("10.0.0.1", 80), address)
        self.assertEqual(self.flags, payload[8])
        self.assertEqual([], self.release(1_000))

    def test_copy_after_the_start(self):
        """A copy goes on at once, and what was held of it doesn't follow."""
        self.harness.routes.apply(routes_push(route()))
        self.harness.pool.apply_states([state()], 350, current=False)
        self.assertEqual(1, len(self.harness.handle_packet(self.data, 350)))
        self.assertEqual([], self.release(351))

    def test_too_late(self):
        self.harness.routes.apply(routes_push(route()))
        self.harness.pool.apply_states([state()], 350, current=False)
        self.assertEqual([], self.release(100 + MAX_HOLD_MS))


class NoRoutes(testtools.TestCase):
    """What is known to fail is refused at once, also after it was held."""

    def test_no_upstream(self):
        harness = ForwarderHarness(current=True)
        harness.pool.apply_states([], 0, current=True)
        self.assertEqual([], harness.handle_packet(syn(), 100))
        harness.routes.apply(routes_push(route(SERVICE)))
        out = []
        harness.forwarder.release_held(120, out)
        self.assertEqual([RST], [payload[0] for payload, _ in out])


class Rush(testscenarios.TestWithScenarios, testtools.TestCase):
    """Forwarders that get their routes at once don't overload the upstreams.

    Each of 15 upstreams runs two requests of 32 ms and queues eight. While 190 new
    requests a second arrive, 25 forwarders hold what they got within some time.
    """

    FORWARDERS, UPSTREAMS, SLOTS, QUEUED, WORK_MS = 25, 15, 2, 8, 32
    scenarios = [
        (f"{held} packets held by each", {"held": held}) for held in (4, 14, 20)
    ]

    def times(self):
        """Return the times at which held packets go on."""
        times_ms = []
        for forwarder in range(self.FORWARDERS):
            held = HeldPackets()
            for number in range(self.held):
                age_ms = 400 * (self.held - number) // self.held
                held.hold(syn(port=number + 1), 400 - age_ms)
            start_ms = 400 + 6 * forwarder
            held.start_release(start_ms)
            while held.next_due_ms is not None:
                due_ms = held.next_due_ms
                times_ms += [due_ms] * len(held.pop_due(due_ms))
        return times_ms

    def shed(self, times_ms):
        """Return how many requests find the queues of all upstreams full."""
        capacity = self.UPSTREAMS * (self.SLOTS + self.QUEUED)
        rate = self.UPSTREAMS * self.SLOTS / self.WORK_MS
        waiting, last_ms, shed = 0.0, 0, 0
        for time_ms in sorted(times_ms + [400 + n * 1_000 // 190 for n in range(190)]):
            waiting = max(0.0, waiting - rate * (time_ms - last_ms))
            last_ms = time_ms
            if waiting + 1 > capacity:
                shed += 1
            else:
                waiting += 1
        return shed

    def test_shed(self):
        self.assertEqual(0, self.shed(self.times()))
