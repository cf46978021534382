"""knapweeddeal.clock: The two clocks of a process, in milliseconds."""

import time

__all__ = ["monotonic_ms", "monotonic_us", "wall_ms"]


def monotonic_ms():
    """Return a clock that never jumps, for leases and timeouts."""
    return time.monotonic_ns() // 1_000_000


def monotonic_us():
    """Return the same clock in microseconds, for latencies."""
    return time.monotonic_ns() // 1_000


def wall_ms():
    """Return the time since the epoch, for records and tickets."""
    return time.time_ns() // 1_000_000
