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


class Text(testtools.TestCase):
    """The text names units and holds counters and summaries."""

    def test_text(self):
        metrics = Metrics()
        metrics.count("resets", 2)
        metrics.record_us("report_replication", 2_000)
        lines = metrics.text().splitlines()
        self.assertIn("# TYPE knapweeddeal_resets_total counter", lines)
        self.assertIn("knapweeddeal_resets_total 2", lines)
        self.assertIn("knapweeddeal_report_replication_seconds_count 1", lines)
        (quantile,) = [line for line in lines if '"0.99"' in line]
        seconds = float(quantile.rpartition(" ")[2])
        # Two digits are kept.
        self.assertTrue(0.00198 <= seconds <= 0.00202, quantile)
