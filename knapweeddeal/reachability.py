"""knapweeddeal.reachability: Which other entries can't be reached at present."""

__all__ = ["Reachability"]

#: Time after which an address that nothing was heard of is tried with traffic again.
UNREACHABLE_RETENTION_MS = 10_000
#: Time between two probes of an address that couldn't be reached.
PROBE_MS = 1_000
#: Addresses that are remembered as unreachable.
MAX_ADDRESSES = 10_000


class Reachability:
    """Remember addresses that failed until they answer a probe.

    A suspended process still accepts streams, so that only its answer, not a
    stream that opens, tells that it can be reached again.
    """

    __slots__ = ("_failed_ms", "_probed_ms")

    def __init__(self):
        self._failed_ms = {}
        self._probed_ms = {}

    # Commands

    def mark_unreachable(self, address, *, now_ms):
        """Note that an address couldn't be reached."""
        self._failed_ms.pop(address, None)
        self._failed_ms[address] = now_ms
        self._probed_ms.setdefault(address, now_ms)
        while len(self._failed_ms) > MAX_ADDRESSES:
            self.mark_reachable(next(iter(self._failed_ms)))

    def mark_reachable(self, address):
        """Note that an address answered."""
        self._failed_ms.pop(address, None)
        self._probed_ms.pop(address, None)

    def claim_probe(self, address, *, now_ms):
        """Tell whether to probe an address now; note that it is probed."""
        if now_ms - self._probed_ms.get(address, now_ms) < PROBE_MS:
            return False
        self._probed_ms[address] = now_ms
        return True

    # Queries

    def is_reachable(self, address, *, now_ms):
        """Tell whether traffic for an address may be sent to it."""
        failed_ms = self._failed_ms.get(address)
        return failed_ms is None or now_ms - failed_ms >= UNREACHABLE_RETENTION_MS
