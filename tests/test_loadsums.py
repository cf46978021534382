"""tests.test_loadsums: Tests of the sums of load, also with simulated requests."""

import random

import testscenarios
import testtools
from testtools.matchers import GreaterThan, LessThan

from bench.loadexchange import LoadExchange
from knapweeddeal.answertracker import RequestTotal
from knapweeddeal.loadsums import HOLD_MS, SLOW_MEMORY_MS, TICK_INTERVAL_MS, LoadSums
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.loads import (
    RequestCount,
    RequestCounts,
    ServiceSum,
    ServiceSums,
    UpstreamSum,
    ZoneDemand,
)
from knapweeddeal.messages.packets import DRAINING, GONE, AnswerCounts
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import SERVICE, state
from tests.placementreplay import Placement, ZoneLoad

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
COUNTED_FROM_MS = 4_000


def replay(own, *, others_per_s=40, forwarders=6, shared=True, flow=1, **exchange):
    """Play 14 s; `own` holds requests a second and upstreams of the first zone."""
    per_s, upstreams = own
    zones = [
        ZoneLoad(name="zone-a", forwarders=forwarders, per_s=per_s, upstreams=upstreams)
    ]
    normal = [1] * max(len(upstreams), 2)
    zones += [
        ZoneLoad(name=name, forwarders=forwarders, per_s=others_per_s, upstreams=normal)
        for name in ZONES[1:]
    ]
    loads = LoadExchange(**exchange) if shared else None
    placement = Placement(zones=zones, exchange=loads, requests_per_flow=flow)
    outcome = placement.play(duration_ms=14_000, counted_from_ms=COUNTED_FROM_MS)
    return outcome, loads, placement


class LoadPatterns(testscenarios.TestWithScenarios, testtools.TestCase):
    """Few requests are late or shed where slots are free elsewhere."""

    scenarios = [
        ("crowded zone", {"own": (150, [1, 1]), "bad": 0.01}),
        ("crowded zone, long flows", {"own": (150, [1, 1]), "flow": 6, "bad": 0.02}),
        ("crowded zone, 132 forwarders", {"own": (150, [1, 1]), "forwarders": 33}),
        (
            "crowded zone, two late messages",
            {"own": (150, [1, 1]), "exchange": {"delay_ms": 300}, "bad": 0.02},
        ),
        ("single upstream", {"own": (70, [1]), "bad": 0.005}),
        ("upstream 5 times slower", {"own": (60, [5, 1, 1, 1]), "bad": 0.01}),
        (
            "upstream 5 times slower, long flows",
            {"own": (60, [5, 1, 1, 1]), "flow": 6, "bad": 0.03},
        ),
    ]
    forwarders, flow, bad, exchange = 6, 1, 0.01, {}

    def test_bad_share(self):
        fields = {"forwarders": self.forwarders, "flow": self.flow}
        outcome, _, _ = replay(self.own, **fields, **self.exchange)
        self.assertThat(outcome.bad_share, LessThan(self.bad))


class NoNeedlessCrossing(testtools.TestCase):
    """Flows that cross zones break when zones are cut, and cross at a price."""

    def test_calm(self):
        """In calm operation replicas send nothing and no more flows cross."""
        before, _, _ = replay((40, [1, 1]), shared=False)
        outcome, loads, _ = replay((40, [1, 1]))
        self.assertEqual((0, 0), (loads.messages, loads.pushes))
        self.assertEqual(before.crossed, outcome.crossed)

    def test_burst_everywhere(self):
        """In a burst of 1.7 no zone has room for another one's flows."""
        burst = {"own": (68, [1, 1]), "others_per_s": 68}
        before, _, _ = replay(**burst, shared=False)
        outcome, _, _ = replay(**burst)
        self.assertThat(outcome.crossed_share, LessThan(before.crossed_share + 0.003))
        self.assertThat(outcome.bad_share, LessThan(before.bad_share + 0.002))

    def test_overload_everywhere(self):
        """Twice the slots of all zones are asked for: nothing is gained elsewhere."""
        outcome, loads, _ = replay((220, [1, 1]), others_per_s=220)
        before, _, _ = replay((220, [1, 1]), others_per_s=220, shared=False)
        self.assertThat(loads.pushes, GreaterThan(0))
        self.assertThat(outcome.crossed_share, LessThan(before.crossed_share + 0.01))

    def test_partitioned_zone(self):
        """Slots behind a partition look idle; a crowded zone must not fill them."""
        _, loads, _ = replay((150, [1, 1]), cut=("zone-a",))
        self.assertThat(loads.pushes, GreaterThan(0))
        self.assertEqual(set(), loads.leaving_zones)

    def test_pushes_end(self):
        """Without pushes, flows are placed as without the figures of others."""
        before, _, _ = replay((150, [1, 1]), shared=False)
        outcome, _, _ = replay((150, [1, 1]), pushes_end_ms=COUNTED_FROM_MS - 1_500)
        self.assertThat(outcome.crossed_share, LessThan(before.crossed_share + 0.01))


class Herding(testtools.TestCase):
    """All forwarders get the same figures, and mustn't all go to the same upstream."""

    def test_spread(self):
        outcome, _, placement = replay((150, [1, 1]), forwarders=33)
        flows = [
            outcome.by_upstream[placement.address(zone, number)]
            for zone in ZONES[1:]
            for number in (0, 1)
        ]
        self.assertThat(max(flows), LessThan(1.25 * min(flows)))


class SumsTest(testtools.TestCase):
    """Feed counts of forwarders to the sums of one replica, tick after tick."""

    def setUp(self):
        """Start with two upstreams in each of two zones; home is replica 1 or 2."""
        super().setUp()
        self.table = UpstreamTable(own_identity=1, report_ms=1_000)
        for number, zone, home in ((1, "a", 1), (2, "a", 1), (3, "b", 2), (4, "b", 2)):
            self.table.apply_state(state(number, zone=zone, home=home), 0)
        self.sums = LoadSums(table=self.table, own_identity=1)
        self.now_ms = 0

    def tick(self, counts, *, zone="a", rejected=0, ticks=1):
        """Add (answered, response time) by number; return the last sums and push."""
        for _ in range(ticks):
            self.now_ms += TICK_INTERVAL_MS
            items = [
                RequestCount(
                    upstream_id=f"i-{number}",
                    answered=answered,
                    unanswered=0,
                    response_ms=response_ms,
                    rejected=rejected,
                )
                for number, (answered, response_ms) in counts.items()
            ]
            self.sums.add_counts(zone, items)
            result = self.sums.advance(self.now_ms), self.sums.push(self.now_ms)
        return result


class Figures(SumsTest):
    """What is pushed follows from the counts of the last second and a half."""

    BUSY = {1: (25, 100), 2: (25, 100)}
    CALM = {1: (10, 30), 2: (10, 30)}

    def test_calm(self):
        self.assertEqual((None, None), self.tick(self.CALM, ticks=5))

    def test_service_load(self):
        """50 requests a second of 100 ms each occupy 2.5 slots of an upstream."""
        _, push = self.tick(self.BUSY, ticks=3)
        (service,) = push.services
        self.assertEqual(SERVICE, service.service)
        self.assertEqual([2_500] * 2, [one.load_milli for one in service.upstreams])
        self.assertEqual((1_250, 100), (service.load_milli, service.response_ms))

    def test_rejections(self):
        """Short answers count as rejections only where slots are occupied."""
        _, push = self.tick({**self.BUSY, 3: (10, 30)}, rejected=5, ticks=3)
        self.assertEqual(round(10 * 1_000 / 60), push.services[0].rejected_milli)

    def test_hold(self):
        """A service stays under load for a while, so that shares don't flap."""
        self.tick(self.BUSY, ticks=3)
        for _ in range(HOLD_MS // TICK_INTERVAL_MS):
            sums, _ = self.tick({})
            self.assertIsNotNone(sums)
        sums, push = self.tick({}, ticks=3)
        self.assertEqual((None, None), (sums, push))

    def test_slow_memory(self):
        """A slow upstream without requests is tried again after a while."""
        self.tick({1: (10, 30), 2: (10, 240), 3: (10, 30)}, ticks=4)
        without = {1: (10, 30), 3: (10, 30)}
        _, push = self.tick(without, ticks=SLOW_MEMORY_MS // TICK_INTERVAL_MS - 4)
        self.assertEqual(
            ["i-2"], [one.upstream_id for one in push.services[0].upstreams]
        )
        _, push = self.tick(without, ticks=10)
        self.assertIsNone(push)

    def test_slow_and_idle(self):
        """An upstream is noticed as slow although few requests occupy its slots."""
        _, push = self.tick({1: (3, 30), 2: (2, 240), 3: (3, 30)}, ticks=8)
        (slow,) = push.services[0].upstreams
        self.assertEqual("i-2", slow.upstream_id)
        self.assertThat(slow.divert_milli, GreaterThan(900))

    def test_full_service(self):
        """Without a free slot no flow is diverted: rejections would only move.

        Zone b has a little room of its own, which all flows of zone a would crowd.
        """
        self.sums.set_replica_sums(ServiceSums(sender=2, services=[]), 0)
        self.tick({1: (10, 30), 2: (10, 120), 3: (10, 30), 4: (10, 30)}, ticks=6)
        full = {1: (33, 150), 2: (9, 600), 3: (33, 150), 4: (33, 150)}
        _, push = self.tick(full, ticks=4)
        (service,) = push.services
        self.assertThat(service.load_milli, GreaterThan(4_000))
        self.assertEqual({0}, {one.divert_milli for one in service.upstreams})
        self.assertEqual([], service.zones)

    def test_little_room(self):
        """Only as many flows leave a crowded zone as another one has room for."""
        demand = ZoneDemand(zone="b", rate_milli=64_000)
        service = ServiceSum(
            service=SERVICE, under_load=False, upstreams=[], demands=[demand]
        )
        message = ServiceSums(sender=2, services=[service])
        self.tick({1: (27, 250), 2: (27, 250)}, ticks=3)
        self.sums.set_replica_sums(message, self.now_ms)
        _, push = self.tick({1: (27, 250), 2: (27, 250)})
        leaving = {one.zone: one.leave_milli for one in push.services[0].zones}
        self.assertThat(leaving["a"], LessThan(150))
        self.assertThat(leaving["a"], GreaterThan(20))

    def test_bounded(self):
        """In an overloaded installation a push stays bounded, slow upstreams first."""
        numbers = range(10, 310)
        for number in numbers:
            name = f"service-{number % 150}"
            self.table.apply_state(state(number, service=name, zone="a"), 0)
        busy = {f"{number:x}": (40, 150) for number in numbers}
        _, push = self.tick({1: (10, 30), 2: (5, 900), 3: (10, 30), **busy}, ticks=2)
        self.assertEqual(100, len(push.services))
        listed = [one for service in push.services for one in service.upstreams]
        self.assertEqual(100, len(listed))
        self.assertThat(max(one.divert_milli for one in listed), GreaterThan(0))

    def test_replica_sums_expire(self):
        """Sums of a replica that fell silent must not count for ever."""
        busy = UpstreamSum(
            upstream_id="i-3", rate_milli=80_000, response_ms=150, rejected_milli=0
        )
        service = ServiceSum(
            service=SERVICE, under_load=True, upstreams=[busy], demands=[]
        )
        message = ServiceSums(sender=2, services=[service])
        self.sums.set_replica_sums(message, 0)
        sums, push = self.tick(self.CALM, ticks=2)
        self.assertEqual(1, sums.sender)
        self.assertIn("i-3", [one.upstream_id for one in push.services[0].upstreams])
        self.assertEqual((None, None), self.tick(self.CALM))

    def test_room_needs_sums(self):
        """Upstreams have room only if the replica that they report to sent sums."""
        crowded = {1: (27, 250), 2: (27, 250)}
        _, push = self.tick(crowded, ticks=3)
        self.assertEqual([], push.services[0].zones)
        message = ServiceSums(sender=2, services=[])
        self.sums.set_replica_sums(message, self.now_ms)
        _, push = self.tick(crowded)
        leaving = {one.zone: one.leave_milli for one in push.services[0].zones}
        self.assertThat(leaving["a"], GreaterThan(250))
        self.assertEqual(0, leaving["b"])

    def test_evacuated_zone_has_no_room(self):
        """Flows that leave a crowded zone would find no upstream there."""
        crowded = {1: (27, 250), 2: (27, 250)}
        self.sums.set_replica_sums(ServiceSums(sender=2, services=[]), 0)
        self.sums.evacuated = frozenset(["b"])
        _, push = self.tick(crowded, ticks=3)
        self.assertEqual([], push.services[0].zones)


class NoUsableUpstream(testscenarios.TestWithScenarios, SumsTest):
    """The load of a service is evaluated while no upstream takes new flows.

    Guards against a division by zero that ended all replicas at the planned restart of
    a service's only upstream, and at an evacuation.
    """

    scenarios = testscenarios.multiply_scenarios(
        [
            ("draining", {"changes": {"status": DRAINING}}),
            ("gone", {"changes": {"status": GONE}}),
            ("silent", {"changes": {"silent": True}}),
            ("evacuated", {"evacuated": frozenset(["a", "b"])}),
        ],
        [
            ("own load", {"is_own": True}),
            ("load at another replica", {"is_own": False}),
        ],
    )
    changes = {}
    evacuated = frozenset()

    def load(self):
        """Add requests that occupy 2.5 slots of each upstream; return the push."""
        if self.is_own:
            return self.tick(dict.fromkeys((1, 2, 3, 4), (25, 100)), ticks=3)[1]
        upstreams = [
            UpstreamSum(
                upstream_id=f"i-{number}",
                rate_milli=50_000,
                response_ms=50,
                rejected_milli=0,
            )
            for number in (1, 2, 3, 4)
        ]
        one = ServiceSum(
            service=SERVICE, under_load=True, upstreams=upstreams, demands=[]
        )
        message = ServiceSums(sender=2, services=[one])
        self.sums.set_replica_sums(message, self.now_ms)
        return self.tick({}, ticks=2)[1]

    def set_usable(self, usable):
        """Make all upstreams usable or not."""
        changes = {} if usable else self.changes
        self.sums.evacuated = frozenset() if usable else self.evacuated
        born_ms = 1_000 + self.now_ms
        for number in (1, 2, 3, 4):
            zone = "a" if number < 3 else "b"
            started = state(number, zone=zone, born_ms=born_ms, **changes)
            self.table.apply_state(started, self.now_ms)

    def test_push(self):
        self.assertIsNotNone(self.load())
        self.set_usable(False)
        self.assertIsNone(self.load())
        self.set_usable(True)
        self.assertIsNotNone(self.load())


class ReportSize(testtools.TestCase):
    """A forwarder's report takes no more bytes than the one that it replaced."""

    def test_size(self):
        rng = random.Random(3)
        for number in (1, 2, 5, 40):
            totals, counts = {}, {}
            for _ in range(number):
                name, answered = f"i-{rng.getrandbits(40):010x}", rng.randint(1, 20)
                counts[name] = (answered, 0)
                totals[name] = RequestTotal(
                    answered=answered,
                    rejected=0,
                    response_ms=33 * answered,
                    timed=answered,
                    unanswered=0,
                )
            before = encode(AnswerCounts.of(sender=0, counts=counts))
            self.assertThat(
                len(encode(RequestCounts.of(totals))), LessThan(len(before) + 1)
            )
