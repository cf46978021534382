"""tests.test_replicachoice: Tests of the choice of control replicas."""

import testscenarios
import testtools

from knapweeddeal.replicachoice import FAILED_MS, STALE_MS, ReplicaChoice

NEAR, FAR, THIRD = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)


def choice_of(*seeds):
    """Return a choice that knows the zone of the first two."""
    choice = ReplicaChoice(seeds=seeds, zone="a", random=lambda: 0.0)
    choice.note_zone(NEAR, "a")
    choice.note_zone(FAR, "b")
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
        self.assertEqual(NEAR, choice.take(0))
        ended = {"failed": False, "stale": False, **self.ended}
        choice.give_back(NEAR, now_ms=0, **ended)
        self.assertEqual(self.first, choice.take(self.now_ms))


class Known(testtools.TestCase):
    """Replicas come from seeds and from other replicas."""

    def test_all_in_use(self):
        choice = choice_of(NEAR)
        choice.take(0)
        self.assertIsNone(choice.take(0))

    def test_learned(self):
        choice = choice_of(NEAR)
        choice.learn([FAR, NEAR])
        self.assertEqual({NEAR, FAR}, set(choice.addresses))

    def test_new_seeds(self):
        """New seeds replace the addresses that fail, not those that work."""
        choice = choice_of(NEAR, FAR)
        choice.take(0)
        choice.take(0)
        choice.give_back(FAR, failed=True, stale=False, now_ms=0)
        choice.learn([THIRD])
        choice.forget_failed({THIRD}, 1)
        self.assertEqual({NEAR, THIRD}, set(choice.addresses))

    def test_has_other(self):
        choice = choice_of(NEAR, FAR)
        choice.take(0)
        self.assertTrue(choice.has_other(0))
        choice.take(0)
        self.assertFalse(choice.has_other(0))
        choice.give_back(FAR, failed=True, stale=False, now_ms=0)
        self.assertFalse(choice.has_other(1))
