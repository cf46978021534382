"""tests.test_coldhome: Tests of the bound on opening packets to a cold upstream."""

from unittest import mock

import testscenarios
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddeal import coldallowance
from knapweeddeal.coldallowance import GRANT_WINDOW_MS, TENURE_REPORTS, ColdGrants
from knapweeddeal.coldhome import ColdHome
from knapweeddeal.coldpermits import ColdPermits
from tests.coldsimulation import (
    BOUND,
    COLD_BOUND,
    RATE_MILLI,
    REPORT_MS,
    Simulation,
)
from tests.packetfakes import state

DURATION_MS = 20_000
TENURE_MS = REPORT_MS * TENURE_REPORTS


def excess(arrivals):
    """Return the largest number of arrivals in a second beyond the bound."""
    worst, first = 0, 0
    for last, time_ms in enumerate(arrivals):
        while time_ms - arrivals[first] >= 1_000:
            first += 1
        worst = max(worst, last - first + 1)
    return worst - BOUND


class SlidingBound(testtools.TestCase):
    """No second has more opening packets than the bound, whatever fails.

    Messages are delayed and lost; forwarders, replicas and the upstream restart or are
    suspended; the home changes and two replicas take themselves for it.
    """

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        faults=st.sampled_from((0.2, 1, 3)),
        max_delay_ms=st.sampled_from((20, 300, 2_000)),
    )
    def test_bound(self, seed, faults, max_delay_ms):
        simulation = Simulation(seed=seed, faults=faults, max_delay_ms=max_delay_ms)
        self.assertLessEqual(excess(simulation.run(DURATION_MS)), 0)

    def test_home_resumed(self):
        """Two replicas with the same report each took the home back (seed 3)."""
        arrivals = Simulation(seed=3, faults=3, max_delay_ms=300).run(DURATION_MS)
        self.assertLessEqual(excess(arrivals), 0)

    def test_use(self):
        """Without faults, most of the allowance of each window is used."""
        arrivals = Simulation(seed=1, faults=0.001, max_delay_ms=10).run(DURATION_MS)
        windows = DURATION_MS / GRANT_WINDOW_MS
        self.assertGreater(len(arrivals), windows * BOUND / 2)


def count_validity_from_receipt(permits, answer, now_ms):
    """Apply an answer as if its request had been sent at its receipt."""
    request = permits._requests.get(answer.request_id)
    if request is not None:
        request.sent_ms = now_ms
    return APPLY_ANSWER(permits, answer, now_ms)


def wait_only(wait_ms):
    """Return a `record_report` after which a new home waits for a given time."""

    def record_report(grants, reported, now_ms):
        begins = RECORD_REPORT(grants, reported, now_ms)
        if begins:
            tenure = grants._upstreams[reported.upstream_id].tenure
            tenure.grants_from_ms = now_ms + wait_ms
        return begins

    return record_report


def forget_start(grants, *, bound, report_ms, started_ms):
    """Construct grants of a replica that doesn't wait after its start."""
    INIT(grants, bound=bound, report_ms=report_ms, started_ms=-DURATION_MS)


APPLY_ANSWER, RECORD_REPORT = ColdPermits.apply_answer, ColdGrants.record_report
INIT = ColdGrants.__init__


class RuleTakenOut(testscenarios.TestWithScenarios, testtools.TestCase):
    """The simulation exceeds the bound when a rule is taken out.

    Otherwise it wouldn't bring about the failure that the rule is for.
    """

    scenarios = [
        (
            "validity from receipt",
            {"change": (ColdPermits, "apply_answer", count_validity_from_receipt)},
        ),
        ("no wait", {"change": (ColdGrants, "record_report", wait_only(0))}),
        (
            "wait for the window only",
            {"change": (ColdGrants, "record_report", wait_only(GRANT_WINDOW_MS))},
        ),
        ("no wait after the start", {"change": (ColdGrants, "__init__", forget_start)}),
        ("window of 1 s", {"change": (coldallowance, "GRANT_WINDOW_MS", 1_000)}),
        ("no notices", {"change": (ColdGrants, "apply_notice", lambda *_: None)}),
        (
            "claims without all replicas",
            {"change": (ColdHome, "_is_claimable", lambda home, one, _: True)},
        ),
    ]

    def test_excess(self):
        with mock.patch.object(*self.change):
            simulations = (
                Simulation(seed=seed, faults=faults, max_delay_ms=delay_ms)
                for seed in range(60)
                for faults, delay_ms in ((1, 2_000), (3, 20), (0.2, 20), (3, 300))
            )
            self.assertTrue(any(excess(s.run(DURATION_MS)) > 0 for s in simulations))


class Tenure(testscenarios.TestWithScenarios, testtools.TestCase):
    """A home that another replica may have displaced doesn't grant.

    The events are reports (time, sequence) and "lost" (another replica replicated a
    report); the first tenure is confirmed at its start.
    """

    scenarios = [
        ("consecutive", {"events": [(1_200, 2)], "at_ms": 3_000, "granted": True}),
        ("a gap", {"events": [(1_200, 3)], "at_ms": 3_000, "granted": False}),
        ("no report", {"events": [], "at_ms": TENURE_MS, "granted": False}),
        ("until then", {"events": [], "at_ms": TENURE_MS - 1, "granted": True}),
        (
            "lost and named again",
            {"events": ["lost"], "at_ms": 1_000, "granted": False},
        ),
        (
            "a late copy of a report",
            {"events": [(2_000, 1)], "at_ms": TENURE_MS, "granted": False},
        ),
        (
            "a restart",
            {"events": [(1_200, 1, 2_000)], "at_ms": 3_000, "granted": False},
        ),
        (
            "alone for long",
            {
                "events": [(1_200, 3), *((n * 1_200, n + 2) for n in range(2, 6))],
                "at_ms": 1_200 + TENURE_MS + GRANT_WINDOW_MS,
                "granted": True,
            },
        ),
    ]

    def test_grant(self):
        grants = ColdGrants(bound=COLD_BOUND, report_ms=REPORT_MS, started_ms=-9_000)
        grants.record_report(state(sequence=1), 0)
        grants.start_claim(1, ["i-1"], [], 0)
        for event in self.events:
            if event == "lost":
                grants.end_tenure("i-1")
                continue
            time_ms, sequence, *born_ms = event
            born_ms = born_ms[0] if born_ms else state().born_ms
            report = state(sequence=sequence, born_ms=born_ms)
            grants.record_report(report, time_ms)
        grant = grants.grant("i-1", 1, RATE_MILLI, is_home=True, now_ms=self.at_ms)
        self.assertEqual(self.granted, bool(grant.count))

    def test_lost_acknowledgement(self):
        """A replica that disconnects instead of acknowledging may still grant."""
        grants = ColdGrants(bound=COLD_BOUND, report_ms=REPORT_MS, started_ms=-9_000)
        grants.record_report(state(sequence=1), 0)
        grants.start_claim(1, ["i-1"], [2, 3], 0)
        grants.drop_replica(3)
        grants.acknowledge(1, 2, 10)
        grant = grants.grant("i-1", 1, RATE_MILLI, is_home=True, now_ms=100)
        self.assertEqual(0, grant.count)
