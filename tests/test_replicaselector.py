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
        selector.add_addresses([THIRD])
        selector.remove_failed({THIRD}, 1)
        self.assertEqual({NEAR, THIRD}, set(selector.addresses))

    def test_has_available(self):
        selector = make_selector(NEAR, FAR)
        selector.acquire(0)
        self.assertTrue(selector.has_available(0))
        selector.acquire(0)
        self.assertFalse(selector.has_available(0))
        selector.release_address(FAR, failed=True, stale=False, now_ms=0)
        self.assertFalse(selector.has_available(1))
