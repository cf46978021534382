"""bench.figures: What is measured in one trial."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from knapweeddeal.messages.upstream import LEAVING

__all__ = ["Figures"]

WINDOW_SAMPLES = 50
MAX_US = 60_000_000


class Figures:
    """Count and sample what happens after the warm start."""

    def __init__(self, *, warm_ms):
        self.warm_ms = warm_ms
        self.broken_planned = 0
        self.broken_unplanned = 0
        self.moved = 0
        self.delayed_moves = 0
        self.opens = 0
        self.asked_opens = 0
        self.requests = 0
        self.forwards_measured = 0
        self.stalled = 0
        self.silent = 0
        self.unknown = 0
        self.told = 0
        self.not_in_journal = 0
        self.refusals = Counter()
        self.in_time = 0
        self.late = 0
        self.worked_ms = 0.0
        self.wasted_ms = 0.0
        self.waits = HdrHistogram(1, MAX_US, 3)
        self._peaks = []
        self._connection_peaks = []
        self._windows = []
        self._window = Counter()
        self._window_samples = 0
        self.capacity_ms = 0.0
        self.share_in_time = 0.0

    # Events

    def asked(self, now_ms):
        """Count a request of a caller."""
        if now_ms >= self.warm_ms:
            self.requests += 1

    def sent(self, now_ms):
        """Count a request that goes out to an upstream."""
        if now_ms >= self.warm_ms:
            self.forwards_measured += 1

    def waited(self, now_ms, job):
        """Record how long a request waited for its slot."""
        if now_ms >= self.warm_ms:
            waited_us = max(1, int((now_ms - job.asked_ms) * 1e3))
            self.waits.record_value(min(waited_us, MAX_US))

    def finished(self, now_ms, job, spent_ms, back_ms):
        """Count a finished request, and whether its answer comes in time."""
        if now_ms < self.warm_ms:
            return
        if back_ms <= job.until_ms:
            self.in_time += 1
            self.worked_ms += spent_ms
        else:
            self.late += 1
            self.wasted_ms += spent_ms

    def refuse(self, now_ms, reason):
        """Count a refusal."""
        if now_ms >= self.warm_ms:
            self.refusals[reason] += 1

    def sample(self, world):
        """Sample the true loads."""
        now_ms = world.heap.now_ms
        if now_ms < self.warm_ms:
            return
        live = [u for u in world.upstreams if u.alive and u.announce.state != LEAVING]
        loads = {u.number: u.outstanding / u.slots for u in live}
        self._append_peak(self._peaks, loads.values())
        shares = [u.connections / u.max_connections for u in live]
        self._append_peak(self._connection_peaks, shares)
        self.capacity_ms += sum(u.slots for u in live) * 100.0
        self._window.update(loads)
        self._window_samples += 1
        if self._window_samples == WINDOW_SAMPLES:
            self._append_peak(self._windows, [self._window[n] for n in loads])
            self._window.clear()
            self._window_samples = 0

    def _append_peak(self, peaks, values):
        values = list(values)
        mean = sum(values) / len(values)
        if mean:
            peaks.append(max(values) / mean)

    def finish(self, world):
        """Work out the last figures."""
        if self.capacity_ms:
            self.share_in_time = self.worked_ms / self.capacity_ms

    # Results

    @property
    def peak(self):
        """Return peak over mean of outstanding a slot, at a moment."""
        return _mean(self._peaks)

    @property
    def window_peak(self):
        """Return peak over mean of outstanding a slot, in windows of 5 s."""
        return _mean(self._windows)

    @property
    def connection_peak(self):
        """Return peak over mean of connections."""
        return _mean(self._connection_peaks)

    @property
    def refused(self):
        """Return all refusals."""
        return sum(self.refusals.values())

    def wait_ms(self, percentile):
        """Return a percentile of the wait for a slot."""
        return self.waits.get_value_at_percentile(percentile) / 1e3


def _mean(values):
    return sum(values) / len(values) if values else 0.0
