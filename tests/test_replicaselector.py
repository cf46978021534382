"""tests.test_replicaselector: Tests of the choice of control replicas."""

import testscenarios
import testtools

from knapweeddeal.replicaselector import FAILED_MS, STALE_MS, ReplicaSelector

NEAR, FAR, THIRD = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)


def choice_of(*seeds):
    """Return a choice that knows the zone of the first two."""
    choice = ReplicaSelector(seeds=seeds, zone="a", random=lambda: 0.0)
    choice.set_zone(NEAR, "a")
    choice.set_zone(FAR, "b")
    return choice


class Ranked(testscenarios.TestWithScenarios, testtools.TestCase):
    """The own zone comes first, unless it failed or lags."""

    scenarios = [
        ("own zone", {"ended": {}, "now_ms": 0, "first": NEAR}),
        ("failed", {"ended": {"failed": True}, "now_ms": 1, "first": FAR}),
        ("retried", {"ended": {"failed": True}, "now_ms": FAILED_MS, "first": NEAR}),
        ("no leader", {"ended": {"stale": True}, "now_ms": 1, "first": FAR}),
        ("leader", {"ended": {"stale": True}, "now_ms": STALE_MS, "first": NEAR}),
    ]

    def test_take(self):
        choice = choice_of(FAR, NEAR)
        self.assertEqual(NEAR, choice.acquire(0))
        ended = {"failed": False, "stale": False, **self.ended}
        choice.release_address(NEAR, now_ms=0, **ended)
        self.assertEqual(self.first, choice.acquire(self.now_ms))


class Known(testtools.TestCase):
    """Replicas come from seeds and from other replicas."""

    def test_all_in_use(self):
        choice = choice_of(NEAR)
        choice.acquire(0)
        self.assertIsNone(choice.acquire(0))

    def test_learned(self):
        choice = choice_of(NEAR)
        choice.add_addresses([FAR, NEAR])
        self.assertEqual({NEAR, FAR}, set(choice.addresses))

    def test_new_seeds(self):
        """New seeds replace the addresses that fail, not those that work."""
        choice = choice_of(NEAR, FAR)
        choice.acquire(0)
        choice.acquire(0)
        choice.release_address(FAR, failed=True, stale=False, now_ms=0)
        choice.add_addresses([THIRD])
        choice.remove_failed({THIRD}, 1)
        self.assertEqual({NEAR, THIRD}, set(choice.addresses))

    def test_has_other(self):
        choice = choice_of(NEAR, FAR)
        choice.acquire(0)
        self.assertTrue(choice.has_available(0))
        choice.acquire(0)
        self.assertFalse(choice.has_available(0))
        choice.release_address(FAR, failed=True, stale=False, now_ms=0)
        self.assertFalse(choice.has_available(1))
