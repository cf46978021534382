"""tests.test_policybench: Targets of the balancing policy, on one seed."""

import testscenarios
import testtools

from bench.choosers import CHOOSERS
from bench.policy import FAR_CALLERS, NEAR_CALLERS
from bench.scenarios import SCENARIOS
from bench.world import Setup, World

SEED = 11


def trial(size, scenario, chooser="policy", **overrides):
    """Return the figures of one trial."""
    setup = Setup(
        size=size,
        chooser=CHOOSERS[chooser],
        seed=SEED,
        **{**SCENARIOS[scenario].overrides, **overrides},
    )
    return World(setup).run()


class TargetsAtBothSizes(testscenarios.TestWithScenarios, testtools.TestCase):
    """The policy meets its targets at the sizes of both users.

    Guards against changes to balancing, admission, draining or refusals that load
    upstreams unevenly, break flows, waste capacity in overload or send refusals that
    aren't in the journal.
    """

    scenarios = [
        ("far callers", {"size": FAR_CALLERS}),
        ("near callers", {"size": NEAR_CALLERS}),
    ]

    def test_peak_close_to_perfect_knowledge(self):
        figures = trial(self.size, "even")
        perfect = trial(self.size, "even", "perfect, both")
        self.assertLess(figures.peak, 1.15 * perfect.peak)
        for naive in ("random", "hash by flow", "earlier version"):
            self.assertLess(figures.peak, 0.95 * trial(self.size, "even", naive).peak)
        self.assertLess(figures.connection_peak, 1.1)

    def test_overload_keeps_throughput_and_journals_refusals(self):
        figures = trial(self.size, "overload", seconds=35.0)
        self.assertGreater(figures.share_in_time, 0.95)
        self.assertGreater(figures.refusals_sent, 1_000)
        self.assertEqual(0, figures.not_in_journal)

    def test_planned_changes_and_lost_entries_break_no_flow(self):
        figures = trial(self.size, "churn", seconds=45.0)
        self.assertGreater(figures.moved, 2_000)
        self.assertEqual(0, figures.broken_planned)
        self.assertEqual(0, figures.broken_unplanned)

    def test_upstream_reporting_no_load_gets_no_extra_flows(self):
        figures = trial(self.size, "lie", seconds=40.0)
        self.assertLess(figures.connection_peak, 1.1)


class Determinism(testtools.TestCase):
    """Trials with the same seed give the same figures."""

    def test_same_seed_gives_same_figures(self):
        first, second = (trial(NEAR_CALLERS, "cut", seconds=30.0) for _ in range(2))
        self.assertEqual(first.requests, second.requests)
        self.assertEqual(first.peak, second.peak)
