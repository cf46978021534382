"""tests.test_tokenbucket: Tests of the token bucket."""

import testscenarios
import testtools

from knapweeddeal.tokenbucket import TokenBucket


class Pacing(testscenarios.TestWithScenarios, testtools.TestCase):
    """Bytes leave at the rate after a burst, and each wait ends in time."""

    scenarios = [
        ("narrow", {"rate": 175, "burst_bytes": 2_536}),
        ("wide", {"rate": 43_750, "burst_bytes": 656_250}),
        ("a fraction of a byte", {"rate": 0.5, "burst_bytes": 2_536}),
    ]
    SIZE_BYTES = 1_268
    PACKETS = 500

    def test_rate(self):
        bucket = TokenBucket(rate=self.rate, burst_bytes=self.burst_bytes)
        now_ms = 0
        for _ in range(self.PACKETS):
            now_ms = bucket.ready_ms(now_ms)
            self.assertTrue(bucket.has_tokens(now_ms))
            bucket.take(self.SIZE_BYTES)
        sent_bytes = self.PACKETS * self.SIZE_BYTES
        most_bytes = self.burst_bytes + now_ms * self.rate + self.SIZE_BYTES
        self.assertLessEqual(sent_bytes, most_bytes)
        least_ms = (sent_bytes - self.burst_bytes) / self.rate
        self.assertLessEqual(now_ms, max(least_ms, 0) + self.PACKETS)

    def test_burst_bound(self):
        bucket = TokenBucket(rate=self.rate, burst_bytes=self.burst_bytes)
        self.assertFalse(bucket.take_all(self.burst_bytes + 1, 10**9))
        self.assertTrue(bucket.take_all(self.burst_bytes, 10**9))
        self.assertFalse(bucket.has_tokens(10**9))

    def test_clock_that_stands(self):
        bucket = TokenBucket(rate=self.rate, burst_bytes=self.burst_bytes)
        bucket.take(self.burst_bytes + self.SIZE_BYTES)
        self.assertGreater(bucket.ready_ms(0), 0)
        self.assertFalse(bucket.has_tokens(0))
