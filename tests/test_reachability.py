"""tests.test_reachability: Tests of what is remembered of entries that failed."""

import testtools

from knapweeddeal.actions import Address
from knapweeddeal.reachability import (
    MAX_UNREACHABLE_ADDRESSES,
    PROBE_MS,
    UNREACHABLE_RETENTION_MS,
    Reachability,
)

PEER = Address(host="127.0.0.1", port=1)


class Failed(testtools.TestCase):
    """An address that failed gets probes, and traffic only once it answered."""

    def setUp(self):
        super().setUp()
        self.reachability = Reachability()
        self.reachability.mark_unreachable(PEER, now_ms=0)

    def reaches(self, now_ms):
        """Tell whether the peer gets traffic at a time."""
        return self.reachability.is_reachable(PEER, now_ms=now_ms)

    def test_until_it_answers(self):
        self.assertFalse(self.reaches(UNREACHABLE_RETENTION_MS - 1))
        self.reachability.mark_reachable(PEER)
        self.assertTrue(self.reaches(1))

    def test_tried_again_in_the_end(self):
        self.assertTrue(self.reaches(UNREACHABLE_RETENTION_MS))

    def test_failing_probes_keep_it_out(self):
        for now_ms in range(
            0, 5 * UNREACHABLE_RETENTION_MS, UNREACHABLE_RETENTION_MS // 2
        ):
            self.reachability.mark_unreachable(PEER, now_ms=now_ms)
            self.assertFalse(self.reaches(now_ms + UNREACHABLE_RETENTION_MS // 2))

    def test_probes_are_paced(self):
        times = [
            now_ms
            for now_ms in range(0, 4 * PROBE_MS, 10)
            if self.reachability.claim_probe(PEER, now_ms=now_ms)
        ]
        self.assertEqual([PROBE_MS, 2 * PROBE_MS, 3 * PROBE_MS], times)

    def test_bounded(self):
        for port in range(MAX_UNREACHABLE_ADDRESSES + 5):
            self.reachability.mark_unreachable(Address(host="h", port=port), now_ms=0)
        self.assertTrue(self.reaches(0))
