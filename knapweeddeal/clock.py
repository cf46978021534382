"""knapweeddeal.clock: The clocks of a process, in milliseconds."""

import time

__all__ = ["boot_ms", "monotonic_ms", "monotonic_us", "wall_ms"]


def boot_ms():
    """Return a clock that never jumps and goes on while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def monotonic_ms():
    """Return the clock for leases and timeouts: the time since boot."""
    return boot_ms()


def monotonic_us():
    """Return the same clock in microseconds, for latencies."""
    return time.monotonic_ns() // 1_000


def wall_ms():
    """Return the time since the epoch, for records and tickets."""
    return time.time_ns() // 1_000_000
