"""tests.test_heldpackets: Tests of packets that wait for a forwarder's first state."""

import testscenarios
import testtools

from knapweeddeal.heldpackets import MAX_HELD, MAX_HOLD_MS, HeldPackets
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

    def test_order(self):
        packets = [syn(port=number) for number in (3, 1, 2)]
        for data in packets:
            self.held.hold(data, 0)
        self.assertEqual(packets, self.held.pop_all(1))
        self.assertEqual([], self.held.pop_all(1))

    def test_copy(self):
        """A repeated packet is sent on once, and counts from its last copy."""
        self.held.hold(syn(), 0)
        self.held.hold(syn(copy=1), 200)
        self.assertEqual([syn(copy=1)], self.held.pop_all(MAX_HOLD_MS))

    def test_age(self):
        self.held.hold(syn(port=1), 0)
        self.held.hold(syn(port=2), 1)
        self.assertEqual([syn(port=2)], self.held.pop_all(MAX_HOLD_MS))

    def test_number(self):
        for number in range(MAX_HELD + 10):
            self.held.hold(syn(port=number + 1), 0)
        self.assertEqual(MAX_HELD, len(self.held))
        self.assertEqual(syn(port=11), self.held.pop_all(0)[0])


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
        """Return the packets that are sent at a time without new ones."""
        out = []
        self.harness.forwarder.release_held(now_ms, out)
        return out

    def test_in_time(self):
        self.harness.routes.apply(routes_push(route()))
        self.assertEqual([], self.release(300))
        self.harness.pool.apply_states([state()], 350, current=False)
        ((payload, address),) = self.release(350)
        self.assertEqual(("10.0.0.1", 80), address)
        self.assertEqual(self.flags, payload[8])
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
