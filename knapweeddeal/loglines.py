"""knapweeddeal.loglines: Rate-limited, non-blocking log lines on a file descriptor."""

import json
import os

from knapweeddeal.clock import boot_ms, wall_ms

__all__ = ["LineRateLimiter", "LineSink"]

#: Most lines per second with one text; a line costs a forwarder about 0.1 ms.
MAX_LINES_PER_SECOND = 20
SECOND_MS = 1_000
#: Most buffered bytes while the pipe is full; further lines are dropped and counted.
MAX_PENDING_BYTES = 64 * 1024


class LineRateLimiter:
    """Limit the lines of each kind per second, and count the suppressed ones."""

    __slots__ = ("_kinds", "_per_second")

    def __init__(self, *, per_second):
        self._per_second = per_second
        #: Start of the second, lines in it and lines suppressed, by kind.
        self._kinds = {}

    def acquire(self, kind, now_ms):
        """Return the number of lines suppressed before this one; None if over limit."""
        second_ms, lines, left_out = self._kinds.get(kind, (now_ms, 0, 0))
        if now_ms - second_ms >= SECOND_MS:
            second_ms, lines = now_ms, 0
        if lines >= self._per_second:
            self._kinds[kind] = (second_ms, lines, left_out + 1)
            return None
        self._kinds[kind] = (second_ms, lines + 1, 0)
        return left_out


class LineSink:
    """Write one JSON object per line; drop and count lines that a full pipe rejects.

    Writes nothing if the descriptor is closed at the start.
    """

    __slots__ = ("_limiter", "_descriptor", "_pending", "dropped")

    def __init__(self, *, descriptor, per_second=MAX_LINES_PER_SECOND):
        self._limiter = LineRateLimiter(per_second=per_second)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A closed descriptor may become that of a socket or of durable state.
            self._descriptor = None

    def write(self, prefix, level, text, fields):
        """Write a line, unless prefix and text are over the rate limit."""
        if self._descriptor is None:
            return
        now_ms = boot_ms()
        left_out = self._limiter.acquire((prefix, text), now_ms)
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
        # The reader may have made room since the last line.
        self._flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self._pending += data
        self._flush()

    def _flush(self):
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # No reader, or the pipe is full: the buffer is retried with the next line.
            return
        self._pending = self._pending[written:]
