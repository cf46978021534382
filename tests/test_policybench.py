"""tests.test_policybench: The targets of the policy, on one seed of short trials."""

import testscenarios
import testtools

from bench.choosers import CHOOSERS
from bench.policy import FAR_CALLERS, NEAR_CALLERS
from bench.scenarios import SCENARIOS
from bench.world import Setup, World

SEED = 11


def trial(size, scenario, chooser="policy", **changes):
    """Return the figures of one trial."""
    setup = Setup(
        size=size,
        chooser=CHOOSERS[chooser],
        seed=SEED,
        **{**SCENARIOS[scenario].changes, **changes},
    )
    return World(setup).run()


class Sizes(testscenarios.TestWithScenarios, testtools.TestCase):
    """The targets hold at both users' sizes."""

    scenarios = [
        ("far callers", {"size": FAR_CALLERS}),
        ("near callers", {"size": NEAR_CALLERS}),
    ]

    def test_peak_near_perfect_knowledge(self):
        found = trial(self.size, "even")
        perfect = trial(self.size, "even", "perfect, both")
        self.assertLess(found.peak, 1.15 * perfect.peak)
        for naive in ("random", "hash by flow", "earlier version"):
            self.assertLess(found.peak, 0.95 * trial(self.size, "even", naive).peak)
        self.assertLess(found.connection_peak, 1.1)

    def test_work_goes_on_in_overload(self):
        found = trial(self.size, "overload", seconds=35.0)
        self.assertGreater(found.share_in_time, 0.95)
        self.assertGreater(found.told, 1_000)
        self.assertEqual(0, found.not_in_journal)

    def test_planned_changes_and_lost_entries_break_no_flow(self):
        found = trial(self.size, "churn", seconds=45.0)
        self.assertGreater(found.moved, 2_000)
        self.assertEqual(0, found.broken_planned)
        self.assertEqual(0, found.broken_unplanned)

    def test_a_lie_draws_no_flows(self):
        found = trial(self.size, "lie", seconds=40.0)
        self.assertLess(found.connection_peak, 1.1)


class SameAgain(testtools.TestCase):
    """A seed gives the same figures again."""

    def test_same(self):
        first, second = (trial(NEAR_CALLERS, "cut", seconds=30.0) for _ in range(2))
        self.assertEqual(first.requests, second.requests)
        self.assertEqual(first.peak, second.peak)
