"""tests.test_metrics: Tests of counters and latencies."""

import testtools

from knapweeddeal.metrics import Metrics


class Summary(testtools.TestCase):
    """A summary holds counters and percentiles; times over a minute are capped."""

    def test_counts(self):
        metrics = Metrics()
        metrics.count("a")
        metrics.count("a", 2)
        self.assertEqual({"a": 3}, metrics.summary()["counters"])

    def test_times(self):
        metrics = Metrics()
        for value_us in (0, 10, 20, 10**9):
            metrics.record_us("wait", value_us)
        latencies = metrics.summary()["us"]["wait"]
        self.assertEqual(4, latencies["count"])
        self.assertTrue(10 <= latencies["p50"] <= 20, latencies)
        self.assertTrue(latencies["max"] >= 59_000_000, latencies)


class Text(testtools.TestCase):
    """The text format holds counters and summaries, with units in their names."""

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
        # A histogram keeps two significant digits.
        self.assertTrue(0.00198 <= seconds <= 0.00202, quantile)
