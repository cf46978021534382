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

LIMIT = 1_000
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
            max_connections=LIMIT,
            state=READY,
            drain_ms=0,
        )
        directory.apply_announcement(announce, now_ms=-SLOW_START_MS)
    return directory.all()


def balancer_of(own=None):
    """Return a balancer in zone n that owns some flows by key."""
    return Balancer(zone="n", own_flows=Counter(own).__getitem__)


def report(balancer, upstream, connections, outstanding=0, now_ms=0):
    """Let an upstream report its load."""
    upstream.connections = connections
    balancer.record_report(upstream.key, outstanding, now_ms=now_ms)


def shares(balancer, pool, now_ms=0):
    """Return how often each upstream is chosen, by its name."""
    rng = random.Random(1)
    names = (
        balancer.choose(pool, rng=rng, now_ms=now_ms).key.upstream_id
        for _ in range(CHOICES)
    )
    return Counter(names)


class Preferred(testscenarios.TestWithScenarios, testtools.TestCase):
    """Of two upstreams the first is chosen always."""

    scenarios = [
        ("fewer flows", {"loads": ((500, 0), (520, 0))}),
        ("fewer requests", {"loads": ((500, 0), (500, 2))}),
        ("own zone", {"loads": ((540, 0), (500, 0)), "zones": "nf"}),
        ("other zone has room", {"loads": ((500, 0), (570, 0)), "zones": "fn"}),
        ("other is full", {"loads": ((999, 90), (LIMIT, 0))}),
        ("other sheds", {"loads": ((900, 9), (1, 0)), "shed": 1}),
        ("own zone sheds", {"loads": ((900, 9), (1, 0)), "shed": 1, "zones": "fn"}),
        ("other was asked often", {"loads": ((500, 0), (400, 0)), "asked": 150}),
        ("other lies", {"loads": ((500, 0), (300, 0)), "own": (50, 60)}),
        ("other lies grossly", {"loads": ((500, 0), (0, 0)), "own": (50, 60)}),
        (
            "both near lie",
            {
                "loads": ((500, 0), (0, 0), (0, 0)),
                "own": (50, 60, 60),
                "zones": "fnn",
            },
        ),
        ("lies alone", {"loads": ((500, 0), (0, 0)), "own": (50, 60), "zones": "fn"}),
    ]
    zones = "nn"
    shed = None
    asked = 0
    own = (0, 0, 0)

    def test_chosen(self):
        pool = upstreams(self.zones)
        keys = [upstream.key for upstream in pool]
        balancer = balancer_of(dict(zip(keys, self.own, strict=False)))
        for upstream, (connections, outstanding) in zip(pool, self.loads, strict=True):
            report(balancer, upstream, connections, outstanding)
        for _ in range(self.asked):
            balancer.record_flow_request(keys[1], now_ms=0)
        if self.shed is not None:
            balancer.record_shed(keys[self.shed], now_ms=0)
        self.assertEqual({"u0": CHOICES}, shares(balancer, pool))


class LastResort(testtools.TestCase):
    """Somebody is asked while anybody is there."""

    def test_nobody(self):
        balancer = balancer_of()
        self.assertIsNone(balancer.choose([], rng=random.Random(1), now_ms=0))

    def test_all_full(self):
        balancer = balancer_of()
        pool = upstreams("nf")
        for upstream in pool:
            report(balancer, upstream, LIMIT)
        self.assertEqual(CHOICES, shares(balancer, pool).total())


class SlowStart(testtools.TestCase):
    """An upstream that joins comes to its share slowly."""

    def test_ramp(self):
        balancer = balancer_of()
        pool = upstreams("nnn")
        for upstream in pool[:2]:
            report(balancer, upstream, 500)
        pool[2].slow_start_since_ms = 0
        found = [
            shares(balancer, pool, now_ms=part * SLOW_START_MS // 4)["u2"]
            for part in range(5)
        ]
        self.assertEqual(0, found[0])
        self.assertEqual(sorted(found), found)
        self.assertGreater(found[4], CHOICES // 2)


class Passing(testtools.TestCase):
    """What is known of an upstream passes."""

    def test_pause_after_shed_ends(self):
        balancer = balancer_of()
        pool = upstreams("nn")
        report(balancer, pool[0], 500)
        balancer.record_shed(pool[1].key, now_ms=0)
        self.assertEqual({"u0": CHOICES}, shares(balancer, pool, SHED_BACKOFF_MS - 1))
        self.assertEqual({"u1": CHOICES}, shares(balancer, pool, SHED_BACKOFF_MS))

    def test_report_ends_what_was_asked(self):
        balancer = balancer_of()
        pool = upstreams("nn")
        for _ in range(LIMIT):
            balancer.record_flow_request(pool[0].key, now_ms=0)
        report(balancer, pool[0], 0)
        report(balancer, pool[1], 1)
        self.assertEqual({"u0": CHOICES}, shares(balancer, pool))

    def test_sweep(self):
        balancer = balancer_of()
        pool = upstreams("nn")
        for upstream in pool:
            report(balancer, upstream, 500, outstanding=10)
        report(balancer, pool[0], 500, outstanding=10, now_ms=1)
        balancer.sweep(now_ms=LOAD_RETENTION_MS + 1)
        chosen = shares(balancer, pool, now_ms=LOAD_RETENTION_MS + 1)
        self.assertEqual({"u1": CHOICES}, chosen)


class Spill(testtools.TestCase):
    """The own zone is left once it is fuller by the margin."""

    def test_margin(self):
        balancer = balancer_of()
        pool = upstreams("nf")
        report(balancer, pool[1], 500)
        margin = int(CROSS_ZONE_COST * LIMIT)
        for more, wanted in ((margin - 1, "u0"), (margin + 1, "u1")):
            report(balancer, pool[0], 500 + more)
            self.assertEqual({wanted: CHOICES}, shares(balancer, pool))
