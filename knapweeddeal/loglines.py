"""knapweeddeal.loglines: Log lines on a descriptor that is never waited for."""

import json
import os

from knapweeddeal.clock import boot_ms, wall_ms

__all__ = ["LineRateLimiter", "LineSink"]

#: Lines of one kind in one second; a line costs a forwarder about 0.1 ms.
LINES_PER_KIND = 20
SECOND_MS = 1_000
#: Bytes of lines that wait for a reader; more are dropped and counted.
MAX_PENDING_BYTES = 64 * 1024


class LineRateLimiter:
    """Bound the lines of each kind, and count those left out."""

    __slots__ = ("_kinds", "_per_second")

    def __init__(self, *, per_second):
        self._per_second = per_second
        #: Start of the second, lines in it and lines left out, by kind.
        self._kinds = {}

    def acquire(self, kind, now_ms):
        """Return how many lines were left out before this one, or None for no room."""
        second_ms, lines, left_out = self._kinds.get(kind, (now_ms, 0, 0))
        if now_ms - second_ms >= SECOND_MS:
            second_ms, lines = now_ms, 0
        if lines >= self._per_second:
            self._kinds[kind] = (second_ms, lines, left_out + 1)
            return None
        self._kinds[kind] = (second_ms, lines + 1, 0)
        return left_out


class LineSink:
    """Write one JSON object a line; drop and count what a full pipe won't take."""

    __slots__ = ("_budget", "_descriptor", "_waiting", "dropped")

    def __init__(self, *, descriptor, per_second=LINES_PER_KIND):
        self._budget = LineRateLimiter(per_second=per_second)
        self._descriptor = descriptor
        self._waiting = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, prefix, level, text, fields):
        """Write a line, unless its kind had too many in this second."""
        now_ms = boot_ms()
        left_out = self._budget.acquire((prefix, text), now_ms)
        if left_out is None:
            return
        line = {"wall_ms": wall_ms(), "boot_ms": now_ms, "level": level}
        line["text"] = f"{prefix}: {text}"
        line.update(fields)
        if left_out:
            line["left_out"] = left_out
        if self.dropped:
            line["dropped"] = self.dropped
        data = json.dumps(line, default=str).encode() + b"\n"
        # Room may have come since the last line.
        self._flush()
        if len(self._waiting) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self._waiting += data
        self._flush()

    def _flush(self):
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            # Nobody reads, or not now: what waits is tried with the next line.
            return
        self._waiting = self._waiting[written:]
