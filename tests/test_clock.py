"""tests.test_clock: Tests of the clock for leases and timeouts."""

import time

import testtools

from knapweeddeal import clock


class SuspendedVm(testtools.TestCase):
    """The clock includes time in which the VM was suspended.

    Otherwise leases would seem valid after a resume although they have expired.
    """

    def test_suspended_time_is_included(self):
        now = {time.CLOCK_BOOTTIME: 5_000_000_000, time.CLOCK_MONOTONIC: 1_000_000_000}
        real = time.clock_gettime_ns
        self.addCleanup(setattr, time, "clock_gettime_ns", real)
        time.clock_gettime_ns = now.__getitem__
        before_ms = clock.monotonic_ms()
        now[time.CLOCK_BOOTTIME] += 4_000_000_000
        self.assertEqual(4_000, clock.monotonic_ms() - before_ms)
