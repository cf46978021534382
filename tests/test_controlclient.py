"""tests.test_controlclient: Tests of the leader search."""

import testscenarios
import testtools

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.controlclient import LeaderSearch
from knapweeddeal.errors import NoQuorumError, NotLeaderError, UnreachableError

A, B, C = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)
LONG_MS = 3_600_000

UNREACHABLE = UnreachableError("")
NO_QUORUM = NoQuorumError("")
LEADER_KNOWN = NotLeaderError("", field="leader", value="10.0.0.3:1")
LEADER_UNKNOWN = NotLeaderError("", field="leader", value="")


class SearchEnd(testscenarios.TestWithScenarios, testtools.TestCase):
    """The search ends after two failed rounds in a row if a replica had no quorum.

    Ending after one round would fail requests during an election.
    """

    FAILED_ROUND = [(A, UNREACHABLE), (B, NO_QUORUM), (C, NO_QUORUM)]
    scenarios = [
        ("no failure", {"failures": [], "exhausted": False}),
        (
            "one round, as in an election",
            {"failures": FAILED_ROUND, "exhausted": False},
        ),
        ("two rounds", {"failures": FAILED_ROUND * 2, "exhausted": True}),
        (
            "one replica failed twice, another never",
            {
                "failures": [(A, UNREACHABLE), (A, UNREACHABLE), (B, NO_QUORUM)],
                "exhausted": False,
            },
        ),
        (
            "leader known between the rounds",
            {
                "failures": [*FAILED_ROUND, (A, LEADER_KNOWN), *FAILED_ROUND],
                "exhausted": False,
            },
        ),
        (
            "leader unknown between the rounds",
            {
                "failures": [*FAILED_ROUND, (A, LEADER_UNKNOWN), *FAILED_ROUND],
                "exhausted": False,
            },
        ),
        (
            "all unreachable, without no_quorum",
            {
                "failures": [(A, UNREACHABLE), (B, UNREACHABLE), (C, UNREACHABLE)] * 9,
                "exhausted": False,
            },
        ),
    ]

    def test_end_after_failures(self):
        search = LeaderSearch(addresses=[A, B, C], deadline_ms=monotonic_ms() + LONG_MS)
        for address, error in self.failures:
            search.record_failure(address, error)
        self.assertEqual(self.exhausted, search.is_exhausted())

    def test_end_at_deadline(self):
        search = LeaderSearch(addresses=[A, B, C], deadline_ms=monotonic_ms() - 1)
        self.assertTrue(search.is_exhausted())


class AddressOrder(testtools.TestCase):
    """Replicas are tried in turn; a leader hint is tried first."""

    def test_order(self):
        search = LeaderSearch(addresses=[A, B, C], deadline_ms=monotonic_ms() + LONG_MS)
        self.assertEqual(A, search.next_address())
        search.record_failure(A, LEADER_KNOWN)
        self.assertEqual(C, search.next_address())
        search.record_failure(C, UNREACHABLE)
        self.assertEqual(B, search.next_address())
