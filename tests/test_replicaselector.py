"""tests.test_replicaselector: Tests of the choice of control replicas."""

import testscenarios
import testtools

from knapweeddeal.replicaselector import FAILED_MS, STALE_MS, ReplicaSelector

NEAR, FAR, THIRD = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)


def make_selector(*seeds):
    """Return a selector in zone a, with NEAR in the same zone and FAR in zone b."""
    selector = ReplicaSelector(seeds=seeds, zone="a", random=lambda: 0.0)
    selector.set_zone(NEAR, "a")
    selector.set_zone(FAR, "b")
    return selector


class ReplicaRanking(testscenarios.TestWithScenarios, testtools.TestCase):
    """A replica in the own zone is chosen first, unless it failed or has no leader."""

    scenarios = [
        ("same zone", {"outcome": {}, "now_ms": 0, "first": NEAR}),
        ("failed", {"outcome": {"failed": True}, "now_ms": 1, "first": FAR}),
        (
            "failed some time ago",
            {"outcome": {"failed": True}, "now_ms": FAILED_MS, "first": NEAR},
        ),
        ("no leader", {"outcome": {"stale": True}, "now_ms": 1, "first": FAR}),
        (
            "no leader some time ago",
            {"outcome": {"stale": True}, "now_ms": STALE_MS, "first": NEAR},
        ),
    ]

    def test_acquire(self):
        selector = make_selector(FAR, NEAR)
        self.assertEqual(NEAR, selector.acquire(0))
        outcome = {"failed": False, "stale": False, **self.outcome}
        selector.release_address(NEAR, now_ms=0, **outcome)
        self.assertEqual(self.first, selector.acquire(self.now_ms))


class KnownAddresses(testtools.TestCase):
    """Addresses come from seeds and from the reports of other replicas."""

    def test_all_in_use(self):
        selector = make_selector(NEAR)
        selector.acquire(0)
        self.assertIsNone(selector.acquire(0))

    def test_added_addresses(self):
        selector = make_selector(NEAR)
        selector.add_addresses([FAR, NEAR])
        self.assertEqual({NEAR, FAR}, set(selector.addresses))

    def test_new_seeds(self):
        """New seeds replace the addresses that fail, not those that work."""
        selector = make_selector(NEAR, FAR)
        selector.acquire(0)
        selector.acquire(0)
        selector.release_address(FAR, failed=True, stale=False, now_ms=0)
        selector.set_seeds([THIRD], 1)
        self.assertEqual({NEAR, THIRD}, set(selector.addresses))

    def test_seed_last(self):
        """A seed that is listed nowhere is tried after the members, in any zone."""
        selector = make_selector(NEAR)
        selector.set_members([FAR, THIRD], 0)
        order = [selector.acquire(0) for _ in range(3)]
        self.assertEqual((NEAR, {FAR, THIRD}), (order[2], set(order[:2])))

    def test_has_available(self):
        selector = make_selector(NEAR, FAR)
        selector.acquire(0)
        self.assertTrue(selector.has_available(0))
        selector.acquire(0)
        self.assertFalse(selector.has_available(0))
        selector.release_address(FAR, failed=True, stale=False, now_ms=0)
        self.assertFalse(selector.has_available(1))


class GoneVMs(testscenarios.TestWithScenarios, testtools.TestCase):
    """An address that fails and is listed nowhere any more is forgotten.

    Guards against a forwarder that spends its time on connections to replaced VMs.
    """

    #: Each is asked at `now_ms` after THIRD failed at 0 with its state as given.
    scenarios = [
        ("gone", {"forgotten": True}),
        ("seed", {"seeds": (NEAR, THIRD)}),
        ("listed", {"members": (NEAR, FAR, THIRD)}),
        ("worked since", {"now_ms": FAILED_MS}),
        ("in use again", {"in_use": True}),
        ("without a leader", {"outcome": {"failed": False, "stale": True}}),
    ]
    seeds, members = (NEAR,), (NEAR, FAR)
    now_ms, in_use, forgotten = 1, False, False
    outcome = {"failed": True, "stale": False}

    def test_members(self):
        selector = make_selector(*self.seeds)
        selector.add_addresses([THIRD])
        for _ in range(2):
            selector.acquire(0)
        selector.release_address(THIRD, now_ms=0, **self.outcome)
        if self.in_use:
            selector.acquire(0)
        selector.set_members(self.members, self.now_ms)
        known = {NEAR, FAR} if self.forgotten else {NEAR, FAR, THIRD}
        self.assertEqual(known, set(selector.addresses))
