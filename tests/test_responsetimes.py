"""tests.test_responsetimes: Tests of response times, and of the choice by them."""

import heapq
import random

import testscenarios
import testtools

from knapweeddeal.packetheader import ACK
from knapweeddeal.responsetimes import (
    MAX_SLOWNESS,
    SLOWNESS_HALF_LIFE_MS,
    ResponseTimes,
)
from tests.packetfakes import SERVICE, ForwarderHarness, fin, packet, route, state

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


class SimulatedUpstream:
    """Run requests in slots, one after another from a queue."""

    def __init__(self, *, slots, work_ms):
        self._free_ms = [0.0] * slots
        self.work_ms = work_ms

    def run(self, now_ms, factor):
        """Return when a request that arrives now has its answer."""
        start_ms = max(heapq.heappop(self._free_ms), now_ms)
        heapq.heappush(self._free_ms, start_ms + self.work_ms * factor)
        return start_ms + self.work_ms * factor


class SlowUpstreamInOwnZone(testtools.TestCase):
    """One of two upstreams of a zone turns slow; flows go to the idle ones elsewhere.

    Six forwarders of the zone see 60 short requests a second in all. At eight times its
    work the slow upstream bears 8 of its 30; the other zones' upstreams are idle.
    """

    FORWARDERS, REQUESTS, INTERVAL_MS, WORK_MS, SLOW_FACTOR = 6, 1_200, 16, 32, 8
    SLOW_FROM_MS = 4_000
    #: Time in which a request is to be done on the platform's site.
    AIM_MS = 200

    def play(self, *, is_timed):
        """Return the waits of requests after the upstream turned slow."""
        rng = random.Random(7)
        states = [state(1), state(2), *(state(n, zone="zone-b") for n in (3, 4, 5))]
        forwarders = [
            ForwarderHarness(routes=[route()], states=states, number=rng.random)
            for _ in range(self.FORWARDERS)
        ]
        upstreams = {
            f"10.0.0.{n}": SimulatedUpstream(slots=2, work_ms=self.WORK_MS)
            for n in range(1, 6)
        }
        ends, waits_ms = [], []
        for number in range(self.REQUESTS):
            now_ms = number * self.INTERVAL_MS
            while ends and ends[0][0] <= now_ms:
                end_ms, _, harness, port, echo = heapq.heappop(ends)
                if is_timed:
                    harness.handle_packet(
                        packet(port=port, echo=echo, flags=ACK), end_ms
                    )
                harness.handle_packet(fin(port=port, echo=echo), int(end_ms))
            harness, port = rng.choice(forwarders), number + 1
            (host, _), echo = harness.open(port=port, now_ms=now_ms)
            is_slow = host == "10.0.0.1" and now_ms >= self.SLOW_FROM_MS
            factor = rng.lognormvariate(0, 0.5) * (self.SLOW_FACTOR if is_slow else 1)
            end_ms = upstreams[host].run(now_ms, factor)
            heapq.heappush(ends, (int(end_ms), number, harness, port, echo))
            if now_ms >= self.SLOW_FROM_MS:
                waits_ms.append(end_ms - now_ms)
        return waits_ms

    def late_share(self, *, is_timed):
        """Return the share of requests that aren't done in time."""
        waits_ms = self.play(is_timed=is_timed)
        return sum(wait_ms > self.AIM_MS for wait_ms in waits_ms) / len(waits_ms)

    def test_in_time(self):
        self.assertLess(self.late_share(is_timed=True), 0.1)
