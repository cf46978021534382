"""bench.figures: Measurements of one simulated trial."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from knapweeddeal.messages.upstream import LEAVING

__all__ = ["Figures"]

WINDOW_SAMPLES = 50
MAX_US = 60_000_000


class Figures:
    """Count and sample what happens after the warm-up."""

    def __init__(self, *, warmup_ms):
        self.warmup_ms = warmup_ms
        self.broken_planned = 0
        self.broken_unplanned = 0
        self.moved = 0
        self.delayed_moves = 0
        self.opens = 0
        self.open_attempts = 0
        self.requests = 0
        self.forwards_measured = 0
        self.stalled = 0
        self.expired = 0
        self.lost = 0
        self.refusals_sent = 0
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

    def record_request(self, now_ms):
        """Count the first attempt of a caller's request."""
        if now_ms >= self.warmup_ms:
            self.requests += 1

    def record_forward(self, now_ms):
        """Count a request that is forwarded to an upstream."""
        if now_ms >= self.warmup_ms:
            self.forwards_measured += 1

    def record_wait(self, now_ms, job):
        """Record how long a request waited for its slot."""
        if now_ms >= self.warmup_ms:
            waited_us = max(1, int((now_ms - job.requested_ms) * 1e3))
            self.waits.record_value(min(waited_us, MAX_US))

    def record_finish(self, now_ms, job, spent_ms, answered_ms):
        """Count a finished request by whether its answer meets the deadline."""
        if now_ms < self.warmup_ms:
            return
        if answered_ms <= job.deadline_at_ms:
            self.in_time += 1
            self.worked_ms += spent_ms
        else:
            self.late += 1
            self.wasted_ms += spent_ms

    def record_refusal(self, now_ms, reason):
        """Count a refusal."""
        if now_ms >= self.warmup_ms:
            self.refusals[reason] += 1

    def sample(self, world):
        """Sample the true loads of the live upstreams."""
        now_ms = world.event_queue.now_ms
        if now_ms < self.warmup_ms:
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
        """Compute the share of the capacity that was finished in time."""
        if self.capacity_ms:
            self.share_in_time = self.worked_ms / self.capacity_ms

    # Results

    @property
    def peak(self):
        """Return the mean peak-to-mean ratio of outstanding requests per slot."""
        return _mean(self._peaks)

    @property
    def window_peak(self):
        """Return the mean peak-to-mean ratio of requests per slot in 5 s windows."""
        return _mean(self._windows)

    @property
    def connection_peak(self):
        """Return the mean peak-to-mean ratio of the connections."""
        return _mean(self._connection_peaks)

    @property
    def refused(self):
        """Return the number of all refusals."""
        return sum(self.refusals.values())

    def wait_ms(self, percentile):
        """Return a percentile of the wait for a slot in milliseconds."""
        return self.waits.get_value_at_percentile(percentile) / 1e3


def _mean(values):
    return sum(values) / len(values) if values else 0.0
