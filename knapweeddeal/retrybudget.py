"""knapweeddeal.retrybudget: A budget that keeps retries a bounded share of work."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Earn a share of a retry with every first try; spend one on each retry."""

    __slots__ = ("_left", "_most", "_share")

    def __init__(self, *, share=0.2, most=10.0):
        self._share = share
        self._most = most
        self._left = most

    def earn(self):
        """Note a first try."""
        self._left = min(self._most, self._left + self._share)

    def spend(self):
        """Return whether a retry may go out, and count it if so."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
