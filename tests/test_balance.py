"""tests.test_balance: Tests of the choice of an upstream."""

import random
from collections import Counter

import testscenarios
import testtools

from knapweeddeal.balance import (
    CROSS_ZONE_COST,
    LOAD_RETENTION_MS,
    SHED_BACKOFF_MS,
    SLOW_START_MS,
    Balancer,
)
from knapweeddeal.directory import Directory
from knapweeddeal.messages.upstream import READY, Announce

MAX_CONNECTIONS = 1_000
CHOICES = 400


def upstreams(zones):
    """Return one upstream in each of some zones."""
    directory = Directory(lease_ms=1_000)
    for number, zone in enumerate(zones):
        announce = Announce(
            upstream_id=f"u{number}",
            incarnation=1,
            sequence=1,
            zone=zone,
            service="a",
            host="127.0.0.1",
            port=1 + number,
            health_port=0,
            slots=2,
            max_connections=MAX_CONNECTIONS,
            state=READY,
            drain_ms=0,
        )
        directory.apply_announcement(announce, now_ms=-SLOW_START_MS)
    return directory.all()


def make_balancer(own=None):
    """Return a balancer in zone n whose entry owns some flows, by upstream key."""
    return Balancer(zone="n", own_flows=Counter(own).__getitem__)


def report(balancer, upstream, connections, outstanding=0, now_ms=0):
    """Let an upstream report its load."""
    upstream.connections = connections
    balancer.record_report(upstream.key, outstanding, now_ms=now_ms)


def count_choices(balancer, pool, now_ms=0):
    """Return how often each upstream is chosen, by its name."""
    rng = random.Random(1)
    names = (
        balancer.choose(pool, rng=rng, now_ms=now_ms).key.upstream_id
        for _ in range(CHOICES)
    )
    return Counter(names)


class Preferred(testscenarios.TestWithScenarios, testtools.TestCase):
    """The first upstream of the pool is always chosen."""

    scenarios = [
        ("fewer flows", {"loads": ((500, 0), (520, 0))}),
        ("fewer requests", {"loads": ((500, 0), (500, 2))}),
        ("own zone", {"loads": ((540, 0), (500, 0)), "zones": "nf"}),
        ("other zone has capacity", {"loads": ((500, 0), (570, 0)), "zones": "fn"}),
        ("other upstream is full", {"loads": ((999, 90), (MAX_CONNECTIONS, 0))}),
        ("other upstream sheds", {"loads": ((900, 9), (1, 0)), "shed": 1}),
        ("own zone sheds", {"loads": ((900, 9), (1, 0)), "shed": 1, "zones": "fn"}),
        (
            "other upstream has many requested flows",
            {"loads": ((500, 0), (400, 0)), "requested_flows": 150},
        ),
        (
            "other upstream reports too few flows",
            {"loads": ((500, 0), (300, 0)), "own": (50, 60)},
        ),
        (
            "other upstream reports no flows",
            {"loads": ((500, 0), (0, 0)), "own": (50, 60)},
        ),
        (
            "own zone reports no flows",
            {
                "loads": ((500, 0), (0, 0), (0, 0)),
                "own": (50, 60, 60),
                "zones": "fnn",
            },
        ),
        (
            "only upstream of own zone reports no flows",
            {"loads": ((500, 0), (0, 0)), "own": (50, 60), "zones": "fn"},
        ),
    ]
    zones = "nn"
    shed = None
    requested_flows = 0
    own = (0, 0, 0)

    def test_chosen(self):
        pool = upstreams(self.zones)
        keys = [upstream.key for upstream in pool]
        balancer = make_balancer(dict(zip(keys, self.own, strict=False)))
        for upstream, (connections, outstanding) in zip(pool, self.loads, strict=True):
            report(balancer, upstream, connections, outstanding)
        for _ in range(self.requested_flows):
            balancer.record_flow_request(keys[1], now_ms=0)
        if self.shed is not None:
            balancer.record_shed(keys[self.shed], now_ms=0)
        self.assertEqual({"u0": CHOICES}, count_choices(balancer, pool))


class NoCapacity(testtools.TestCase):
    """An upstream is chosen unless there is none, even if all are full."""

    def test_no_upstreams(self):
        balancer = make_balancer()
        self.assertIsNone(balancer.choose([], rng=random.Random(1), now_ms=0))

    def test_all_full(self):
        balancer = make_balancer()
        pool = upstreams("nf")
        for upstream in pool:
            report(balancer, upstream, MAX_CONNECTIONS)
        self.assertEqual(CHOICES, count_choices(balancer, pool).total())


class SlowStart(testtools.TestCase):
    """An upstream that joins gets its share of new flows gradually."""

    def test_share_grows(self):
        balancer = make_balancer()
        pool = upstreams("nnn")
        for upstream in pool[:2]:
            report(balancer, upstream, 500)
        pool[2].slow_start_since_ms = 0
        counts = [
            count_choices(balancer, pool, now_ms=quarter * SLOW_START_MS // 4)["u2"]
            for quarter in range(5)
        ]
        self.assertEqual(0, counts[0])
        self.assertEqual(sorted(counts), counts)
        self.assertGreater(counts[4], CHOICES // 2)


class Expiry(testtools.TestCase):
    """Sheds, requested flows and loads of an upstream expire."""

    def test_shed_backoff_ends(self):
        balancer = make_balancer()
        pool = upstreams("nn")
        report(balancer, pool[0], 500)
        balancer.record_shed(pool[1].key, now_ms=0)
        self.assertEqual(
            {"u0": CHOICES}, count_choices(balancer, pool, SHED_BACKOFF_MS - 1)
        )
        self.assertEqual(
            {"u1": CHOICES}, count_choices(balancer, pool, SHED_BACKOFF_MS)
        )

    def test_report_resets_requested_flows(self):
        balancer = make_balancer()
        pool = upstreams("nn")
        for _ in range(MAX_CONNECTIONS):
            balancer.record_flow_request(pool[0].key, now_ms=0)
        report(balancer, pool[0], 0)
        report(balancer, pool[1], 1)
        self.assertEqual({"u0": CHOICES}, count_choices(balancer, pool))

    def test_sweep_drops_unused_loads(self):
        balancer = make_balancer()
        pool = upstreams("nn")
        for upstream in pool:
            report(balancer, upstream, 500, outstanding=10)
        report(balancer, pool[0], 500, outstanding=10, now_ms=1)
        balancer.sweep(now_ms=LOAD_RETENTION_MS + 1)
        chosen = count_choices(balancer, pool, now_ms=LOAD_RETENTION_MS + 1)
        self.assertEqual({"u1": CHOICES}, chosen)


class CrossZone(testtools.TestCase):
    """Flows go to another zone once the own zone is fuller by the margin."""

    def test_margin(self):
        balancer = make_balancer()
        pool = upstreams("nf")
        report(balancer, pool[1], 500)
        margin = int(CROSS_ZONE_COST * MAX_CONNECTIONS)
        for excess, expected in ((margin - 1, "u0"), (margin + 1, "u1")):
            report(balancer, pool[0], 500 + excess)
            self.assertEqual({expected: CHOICES}, count_choices(balancer, pool))
