"""tests.test_controlclient: Tests of the search for the leader."""

import testscenarios
import testtools

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.controlclient import LeaderSearch
from knapweeddeal.errors import NoQuorumError, NotLeaderError, UnreachableError

A, B, C = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)
LONG_MS = 3_600_000

LOST = UnreachableError("")
NONE = NoQuorumError("")
KNOWN = NotLeaderError("", field="leader", value="10.0.0.3:1")
UNKNOWN = NotLeaderError("", field="leader", value="")


class Over(testscenarios.TestWithScenarios, testtools.TestCase):
    """The search ends when all replicas failed twice in a row, one without quorum."""

    ROUND = [(A, LOST), (B, NONE), (C, NONE)]
    scenarios = [
        ("nothing yet", {"failures": [], "over": False}),
        ("one round, as in an election", {"failures": ROUND, "over": False}),
        ("two rounds", {"failures": ROUND * 2, "over": True}),
        (
            "a replica failed twice, others not at all",
            {"failures": [(A, LOST), (A, LOST), (B, NONE)], "over": False},
        ),
        (
            "a leader is named between",
            {"failures": [*ROUND, (A, KNOWN), *ROUND], "over": False},
        ),
        (
            "a replica looks for a leader",
            {"failures": [*ROUND, (A, UNKNOWN), *ROUND], "over": False},
        ),
        (
            "nobody can be reached",
            {"failures": [(A, LOST), (B, LOST), (C, LOST)] * 9, "over": False},
        ),
    ]

    def test_over(self):
        search = LeaderSearch(addresses=[A, B, C], until_ms=monotonic_ms() + LONG_MS)
        for address, error in self.failures:
            search.record_failure(address, error)
        self.assertEqual(self.over, search.is_exhausted())

    def test_time(self):
        search = LeaderSearch(addresses=[A, B, C], until_ms=monotonic_ms() - 1)
        self.assertTrue(search.is_exhausted())


class Next(testtools.TestCase):
    """Replicas are asked in turn; a named leader comes first."""

    def test_order(self):
        search = LeaderSearch(addresses=[A, B, C], until_ms=monotonic_ms() + LONG_MS)
        self.assertEqual(A, search.next_address())
        search.record_failure(A, KNOWN)
        self.assertEqual(C, search.next_address())
        search.record_failure(C, LOST)
        self.assertEqual(B, search.next_address())
