"""tests.test_responsetimes: Tests of response times, and of the choice by them."""

import testscenarios
import testtools

from knapweeddeal.packetheader import ACK
from knapweeddeal.responsetimes import (
    MAX_SLOWNESS,
    SLOWNESS_HALF_LIFE_MS,
    ResponseTimes,
)
from tests.packetfakes import SERVICE, ForwarderHarness, packet, route, state
from tests.placementreplay import Placement, ZoneLoad

OTHER = "other"


class Slowness(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream is slow by its ratio to the service's mean, and for some time."""

    scenarios = [
        ("as the others", {"response_ms": 30, "others_ms": 30, "is_slow": False}),
        ("a little slower", {"response_ms": 40, "others_ms": 30, "is_slow": False}),
        ("faster", {"response_ms": 5, "others_ms": 30, "is_slow": False}),
        ("eight times slower", {"response_ms": 240, "others_ms": 30, "is_slow": True}),
        ("all slow", {"response_ms": 400, "others_ms": 400, "is_slow": False}),
    ]

    def setUp(self):
        super().setUp()
        self.times = ResponseTimes()
        for _ in range(10):
            for name in ("i-2", "i-3", "i-4"):
                self.times.record(SERVICE, name, self.others_ms, 0)
            self.times.record(SERVICE, "i-1", self.response_ms, 0)

    def test_slowness(self):
        slowness = self.times.slowness("i-1", 0)
        self.assertEqual(self.is_slow, slowness >= 1.0)
        self.assertLessEqual(slowness, MAX_SLOWNESS)
        self.assertEqual(0.0, self.times.slowness("i-2", 0))

    def test_half_life(self):
        half = self.times.slowness("i-1", SLOWNESS_HALF_LIFE_MS)
        self.assertAlmostEqual(self.times.slowness("i-1", 0) / 2, half)

    def test_forget(self):
        self.times.forget("i-1")
        self.assertEqual(0.0, self.times.slowness("i-1", 0))

    def test_recovered(self):
        for _ in range(20):
            self.times.record(SERVICE, "i-1", self.others_ms, 0)
        self.assertLess(self.times.slowness("i-1", 0), 0.5)


class ShownByPackets(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only packets that follow an answer at once show a response time."""

    scenarios = [
        ("acknowledgment", {"data": {"flags": ACK}, "is_shown": True}),
        ("second request", {"data": {"sequence": 9, "data": b"y"}, "is_shown": False}),
        ("repeated request", {"data": {"data": b"x"}, "is_shown": False}),
        ("end of a long flow", {"data": {"flags": 16}, "is_shown": False}),
    ]

    def test_shown(self):
        harness = ForwarderHarness(routes=[route()], states=[state(1)])
        _, echo = harness.open(port=1)
        harness.handle_packet(packet(port=1, echo=echo, **self.data), 300)
        harness.handle_packet(packet(port=1, echo=echo, flags=ACK), 400)
        histogram = harness.metrics.summary()["us"].get("response", {})
        expected = {True: 300_000, False: 400_000}[self.is_shown]
        if self.data.get("data") == b"x" or self.data.get("flags") == 16:
            self.assertEqual({}, histogram)
        elif self.is_shown:
            self.assertAlmostEqual(expected, histogram["max"], delta=5_000)
        else:
            self.assertAlmostEqual(100_000, histogram["max"], delta=5_000)


class Placed(testscenarios.TestWithScenarios, testtools.TestCase):
    """Requests go around slow and crowded upstreams, to idle ones of other zones.

    Each zone has six forwarders; a slot bears 31 requests a second.
    """

    NORMAL = [
        ZoneLoad(name=f"zone-{letter}", forwarders=6, per_s=40, upstreams=[1, 1])
        for letter in "bcd"
    ]
    scenarios = [
        ("calm", {"per_s": 40, "upstreams": [1, 1], "bad_share": 0.02}),
        ("a slow upstream", {"per_s": 60, "upstreams": [8, 1], "bad_share": 0.1}),
        ("a crowded zone", {"per_s": 150, "upstreams": [1, 1], "bad_share": 0.1}),
        ("a single upstream", {"per_s": 70, "upstreams": [1], "bad_share": 0.1}),
    ]

    def test_in_time(self):
        own = ZoneLoad(
            name="zone-a", forwarders=6, per_s=self.per_s, upstreams=self.upstreams
        )
        placement = Placement(zones=[own, *self.NORMAL])
        outcome = placement.play(duration_ms=20_000, counted_from_ms=4_000)
        self.assertLess(outcome.bad_share, self.bad_share)
