"""knapweeddeal.metrics: Counters and latencies of a process."""

from collections import Counter

__all__ = ["Metrics"]

#: Largest value of a histogram; longer times count as this.
MAX_US = 60_000_000
#: Significant decimal digits of a histogram's values.
SIGNIFICANT_DIGITS = 2
#: Most times buffered before they are added to the histograms.
MAX_RECORDED = 1_000
#: Percentiles reported in summaries.
PERCENTILES = (50.0, 99.0, 99.9)
#: Prefix of metric names in the text format.
TEXT_PREFIX = "knapweeddeal_"
US_PER_S = 1_000_000


class Metrics:
    """Count events and record times by name."""

    __slots__ = ("_counters", "_histograms", "_recorded")

    def __init__(self):
        self._counters = Counter()
        self._histograms = {}
        #: Names and times not yet added to a histogram.
        self._recorded = []

    def count(self, name, number=1):
        """Add to a counter."""
        self._counters[name] += number

    def record_us(self, name, value_us):
        """Record a time in microseconds; longer than a minute counts as a minute."""
        self._recorded.append((name, value_us))
        if len(self._recorded) >= MAX_RECORDED:
            self._flush_recorded()

    def _flush_recorded(self):
        """Add the recorded times to the histograms.

        Imports the histogram library here, so as not to delay a forwarder's first
        packets.
        """
        from hdrh.histogram import HdrHistogram

        recorded, self._recorded = self._recorded, []
        for name, value_us in recorded:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(min(max(1, int(value_us)), MAX_US))

    def get(self, name):
        """Return a counter."""
        return self._counters[name]

    def summary(self):
        """Return counters and latencies as a JSON-ready map."""
        self._flush_recorded()
        latencies = {
            name: _histogram_summary(histogram)
            for name, histogram in sorted(self._histograms.items())
        }
        return {"counters": dict(sorted(self._counters.items())), "us": latencies}

    def text(self):
        """Return counters and latencies in the Prometheus text format."""
        self._flush_recorded()
        lines = []
        for name, value in sorted(self._counters.items()):
            metric = f"{TEXT_PREFIX}{name}_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {value}"]
        for name, histogram in sorted(self._histograms.items()):
            lines += _summary_lines(f"{TEXT_PREFIX}{name}_seconds", histogram)
        return "\n".join([*lines, ""])


def _histogram_summary(histogram):
    values = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        values[f"p{percentile:g}"] = histogram.get_value_at_percentile(percentile)
    values["max"] = histogram.get_max_value()
    return values


def _summary_lines(metric, histogram):
    count = histogram.get_total_count()
    lines = [f"# TYPE {metric} summary"]
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / US_PER_S
        lines.append(f'{metric}{{quantile="{percentile / 100:g}"}} {seconds:g}')
    total_s = histogram.get_mean_value() * count / US_PER_S if count else 0
    return [*lines, f"{metric}_sum {total_s:g}", f"{metric}_count {count}"]
