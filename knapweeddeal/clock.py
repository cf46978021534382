"""knapweeddeal.clock: Clocks of a process."""

import time

__all__ = ["boot_ms", "earliest", "monotonic_ms", "monotonic_us", "wall_ms"]


def boot_ms():
    """Return milliseconds since boot, including time in which the VM was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def monotonic_ms():
    """Return the clock for leases and timeouts: milliseconds since boot."""
    return boot_ms()


def monotonic_us():
    """Return a monotonic clock in microseconds, for latencies."""
    return time.monotonic_ns() // 1_000


def wall_ms():
    """Return milliseconds since the epoch, for records and tickets."""
    return time.time_ns() // 1_000_000


def earliest(*times_ms):
    """Return the earliest of some times, None among them for never."""
    return min((time_ms for time_ms in times_ms if time_ms is not None), default=None)
