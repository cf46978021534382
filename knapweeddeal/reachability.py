"""knapweeddeal.reachability: Record of peer entries that can't be reached."""

__all__ = ["Reachability"]

#: Time after its last failure for which an address receives no traffic.
UNREACHABLE_RETENTION_MS = 10_000
#: Interval between probes of an unreachable address.
PROBE_MS = 1_000
#: Unreachable addresses that are remembered.
MAX_UNREACHABLE_ADDRESSES = 10_000


class Reachability:
    """Track unreachable addresses until they answer a probe or the retention ends.

    The kernel accepts streams even for a suspended process, so only an answer proves
    that an address is reachable again, not an opened stream.
    """

    __slots__ = ("_failed_ms", "_probed_ms")

    def __init__(self):
        self._failed_ms = {}
        self._probed_ms = {}

    # Commands

    def mark_unreachable(self, address, *, now_ms):
        """Record that an address couldn't be reached."""
        self._failed_ms.pop(address, None)
        self._failed_ms[address] = now_ms
        self._probed_ms.setdefault(address, now_ms)
        while len(self._failed_ms) > MAX_UNREACHABLE_ADDRESSES:
            self.mark_reachable(next(iter(self._failed_ms)))

    def mark_reachable(self, address):
        """Record that an address answered."""
        self._failed_ms.pop(address, None)
        self._probed_ms.pop(address, None)

    def claim_probe(self, address, *, now_ms):
        """Return whether a probe of an address is due, and record it as sent."""
        if now_ms - self._probed_ms.get(address, now_ms) < PROBE_MS:
            return False
        self._probed_ms[address] = now_ms
        return True

    # Queries

    def is_reachable(self, address, *, now_ms):
        """Return whether traffic may be sent to an address."""
        failed_ms = self._failed_ms.get(address)
        return failed_ms is None or now_ms - failed_ms >= UNREACHABLE_RETENTION_MS
