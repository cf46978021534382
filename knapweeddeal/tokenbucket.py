"""knapweeddeal.tokenbucket: Token bucket that paces bytes at a fixed rate."""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Fill with bytes at a rate, up to a burst; a packet may overdraw the balance.

    Times are in milliseconds, sizes in bytes, the rate in bytes per millisecond.
    """

    __slots__ = ("_balance_bytes", "_filled_ms", "burst_bytes", "rate")

    def __init__(self, *, rate, burst_bytes, now_ms=0):
        self.rate = rate
        self.burst_bytes = burst_bytes
        self._balance_bytes = burst_bytes
        self._filled_ms = now_ms

    def has_tokens(self, now_ms):
        """Return whether a packet may leave now."""
        return self._fill(now_ms) > 0

    def ready_ms(self, now_ms):
        """Return when a packet may leave."""
        balance_bytes = self._fill(now_ms)
        if balance_bytes > 0:
            return now_ms
        return now_ms + math.floor(-balance_bytes / self.rate) + 1

    def take(self, size_bytes):
        """Spend bytes, even below zero."""
        self._balance_bytes -= size_bytes

    def take_all(self, size_bytes, now_ms):
        """Spend bytes if all of them are there; return whether they were."""
        if self._fill(now_ms) < size_bytes:
            return False
        self._balance_bytes -= size_bytes
        return True

    def _fill(self, now_ms):
        if now_ms > self._filled_ms:
            gained_bytes = (now_ms - self._filled_ms) * self.rate
            self._balance_bytes = min(
                self._balance_bytes + gained_bytes, self.burst_bytes
            )
            self._filled_ms = now_ms
        return self._balance_bytes
