"""knapweeddeal.coldbound: The bound on opening packets to a cold upstream."""

import math

from knapweeddeal.record import Record

__all__ = ["DEFAULT_COLD_OVER", "DEFAULT_COLD_SLACK", "ColdBound"]

#: Factor on the stated rate of a cold upstream, and packets beyond it, that are allowed
#: in any second.
DEFAULT_COLD_OVER = 1.5
DEFAULT_COLD_SLACK = 5
MILLI = 1_000


class ColdBound(Record):
    """Give the opening packets that a cold upstream bears in any second.

    `over` is a factor on the stated rate, `slack` a number of packets beyond it.
    """

    __slots__ = ("over", "slack")

    def count(self, cold_per_s_milli):
        """Return the bound for a rate in thousandths of a request per second."""
        return math.floor(cold_per_s_milli / MILLI * self.over + self.slack)
