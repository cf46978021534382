"""knapweeddeal.metrics: Counters and latencies of a process."""

from collections import Counter

__all__ = ["Metrics"]

#: Longest time that a histogram tells apart from longer ones.
MAX_US = 60_000_000
#: Decimal digits that a histogram keeps.
DIGITS = 2
#: Times that wait for a histogram.
MAX_RECORDED = 1_000
#: Percentiles that a summary gives.
PERCENTILES = (50.0, 99.0, 99.9)
#: What each name of the text format begins with.
TEXT_PREFIX = "knapweeddeal_"
US_PER_S = 1_000_000


class Metrics:
    """Count events and record times by name."""

    __slots__ = ("_counters", "_histograms", "_recorded")

    def __init__(self):
        self._counters = Counter()
        self._histograms = {}
        #: Names and times that no histogram holds yet.
        self._recorded = []

    def count(self, name, number=1):
        """Add to a counter."""
        self._counters[name] += number

    def record_us(self, name, value_us):
        """Record a time in microseconds; longer than a minute counts as a minute."""
        self._recorded.append((name, value_us))
        if len(self._recorded) >= MAX_RECORDED:
            self._sort_in()

    def _sort_in(self):
        """Give what was recorded to the histograms.

        Their library is loaded here: a forwarder's first packets go before it.
        """
        from hdrh.histogram import HdrHistogram

        recorded, self._recorded = self._recorded, []
        for name, value_us in recorded:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_US, DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(min(max(1, int(value_us)), MAX_US))

    def get(self, name):
        """Return a counter."""
        return self._counters[name]

    def summary(self):
        """Return counters and latencies as a JSON-ready map."""
        self._sort_in()
        latencies = {
            name: _describe(histogram)
            for name, histogram in sorted(self._histograms.items())
        }
        return {"counters": dict(sorted(self._counters.items())), "us": latencies}

    def text(self):
        """Return counters and latencies in the text format of monitoring tools."""
        self._sort_in()
        lines = []
        for name, value in sorted(self._counters.items()):
            metric = f"{TEXT_PREFIX}{name}_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {value}"]
        for name, histogram in sorted(self._histograms.items()):
            lines += _summary_lines(f"{TEXT_PREFIX}{name}_seconds", histogram)
        return "\n".join([*lines, ""])


def _describe(histogram):
    described = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        described[f"p{percentile:g}"] = histogram.get_value_at_percentile(percentile)
    described["max"] = histogram.get_max_value()
    return described


def _summary_lines(metric, histogram):
    count = histogram.get_total_count()
    lines = [f"# TYPE {metric} summary"]
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / US_PER_S
        lines.append(f'{metric}{{quantile="{percentile / 100:g}"}} {seconds:g}')
    total_s = histogram.get_mean_value() * count / US_PER_S if count else 0
    return [*lines, f"{metric}_sum {total_s:g}", f"{metric}_count {count}"]
