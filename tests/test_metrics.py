"""tests.test_metrics: Tests of counters and latencies."""

import testtools

from knapweeddeal.metrics import Metrics


class Summary(testtools.TestCase):
    """A summary gives counters and percentiles."""

    def test_counts(self):
        metrics = Metrics()
        metrics.count("a")
        metrics.count("a", 2)
        self.assertEqual({"a": 3}, metrics.summary()["counters"])

    def test_times(self):
        metrics = Metrics()
        for value_us in (0, 10, 20, 10**9):
            metrics.record_us("wait", value_us)
        described = metrics.summary()["us"]["wait"]
        self.assertEqual(4, described["count"])
        self.assertTrue(10 <= described["p50"] <= 20, described)
        self.assertTrue(described["max"] >= 59_000_000, described)
