"""tests.test_reachability: Tests of the record of unreachable entries."""

import testtools

from knapweeddeal.actions import Address
from knapweeddeal.reachability import (
    MAX_UNREACHABLE_ADDRESSES,
    PROBE_MS,
    UNREACHABLE_RETENTION_MS,
    Reachability,
)

PEER = Address(host="127.0.0.1", port=1)


class Unreachable(testtools.TestCase):
    """An unreachable address gets only probes until it answers or retention ends."""

    def setUp(self):
        super().setUp()
        self.reachability = Reachability()
        self.reachability.mark_unreachable(PEER, now_ms=0)

    def is_reachable(self, now_ms):
        """Return whether the peer gets traffic at a time."""
        return self.reachability.is_reachable(PEER, now_ms=now_ms)

    def test_reachable_after_answer(self):
        self.assertFalse(self.is_reachable(UNREACHABLE_RETENTION_MS - 1))
        self.reachability.mark_reachable(PEER)
        self.assertTrue(self.is_reachable(1))

    def test_reachable_after_retention(self):
        self.assertTrue(self.is_reachable(UNREACHABLE_RETENTION_MS))

    def test_failed_probes_extend_retention(self):
        for now_ms in range(
            0, 5 * UNREACHABLE_RETENTION_MS, UNREACHABLE_RETENTION_MS // 2
        ):
            self.reachability.mark_unreachable(PEER, now_ms=now_ms)
            self.assertFalse(self.is_reachable(now_ms + UNREACHABLE_RETENTION_MS // 2))

    def test_probe_interval(self):
        times = [
            now_ms
            for now_ms in range(0, 4 * PROBE_MS, 10)
            if self.reachability.claim_probe(PEER, now_ms=now_ms)
        ]
        self.assertEqual([PROBE_MS, 2 * PROBE_MS, 3 * PROBE_MS], times)

    def test_oldest_address_is_evicted(self):
        for port in range(MAX_UNREACHABLE_ADDRESSES + 5):
            self.reachability.mark_unreachable(Address(host="h", port=port), now_ms=0)
        self.assertTrue(self.is_reachable(0))
