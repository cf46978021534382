"""tests.test_balance: Tests of the choice of an upstream."""

import random
from collections import Counter

import testscenarios
import testtools

from knapweeddeal.balance import FORGET_MS, SETTLE_MS, SLOW_START_MS, Balancer
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
        directory.apply(announce, now_ms=0)
    return directory.all()


def report(balancer, upstream, connections, outstanding=0, now_ms=0):
    """Let an upstream report its load."""
    balancer.reported(
        upstream.key, outstanding=outstanding, connections=connections, now_ms=now_ms
    )


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
        balancer = Balancer(zone="n")
        pool = upstreams(self.zones)
        for upstream, (connections, outstanding) in zip(pool, self.loads, strict=True):
            report(balancer, upstream, connections, outstanding)
        for upstream, own in zip(pool, self.own, strict=False):
            for _ in range(own):
                balancer.own(upstream.key, now_ms=0)
        for _ in range(self.asked):
            balancer.asked(pool[1].key, now_ms=0)
        if self.shed is not None:
            balancer.shed(pool[self.shed].key, now_ms=0)
        self.assertEqual({"u0": CHOICES}, shares(balancer, pool))


class LastResort(testtools.TestCase):
    """Somebody is asked while anybody is there."""

    def test_nobody(self):
        balancer = Balancer(zone="n")
        self.assertIsNone(balancer.choose([], rng=random.Random(1), now_ms=0))

    def test_all_full(self):
        balancer = Balancer(zone="n")
        pool = upstreams("nf")
        for upstream in pool:
            report(balancer, upstream, LIMIT)
        self.assertEqual(CHOICES, shares(balancer, pool).total())


class SlowStart(testtools.TestCase):
    """An upstream that joins comes to its share slowly."""

    def test_ramp(self):
        balancer = Balancer(zone="n")
        pool = upstreams("nnn")
        for upstream in pool[:2]:
            report(balancer, upstream, 500)
        shares(balancer, pool[:2])
        joined_ms = SETTLE_MS + 1
        found = [
            shares(balancer, pool, now_ms=joined_ms + part * SLOW_START_MS // 4)["u2"]
            for part in range(5)
        ]
        self.assertEqual(0, found[0])
        self.assertEqual(sorted(found), found)
        self.assertGreater(found[4], CHOICES // 2)

    def test_not_at_own_start(self):
        balancer = Balancer(zone="n")
        pool = upstreams("nnn")
        for upstream in pool[:2]:
            report(balancer, upstream, 500)
        self.assertGreater(shares(balancer, pool)["u2"], CHOICES // 2)


class Forgetting(testtools.TestCase):
    """What is known of an upstream ends with its last sight and flow."""

    def test_sweep(self):
        balancer = Balancer(zone="n")
        pool = upstreams("nnn")
        for upstream in pool:
            report(balancer, upstream, LIMIT)
        balancer.own(pool[0].key, now_ms=0)
        later_ms = FORGET_MS + 1
        balancer.choose(pool[1:2], rng=random.Random(1), now_ms=later_ms)
        balancer.sweep(now_ms=later_ms)
        shares(balancer, pool, now_ms=later_ms)
        warm_ms = later_ms + SLOW_START_MS
        self.assertEqual({"u2": CHOICES}, shares(balancer, pool, now_ms=warm_ms))
