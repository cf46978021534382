"""knapweeddeal.replicaselector: To which control replicas a forwarder subscribes."""

__all__ = ["ReplicaSelector"]

#: Time for which a replica that failed comes after the others.
FAILED_MS = 1_000
#: Time for which a replica that hears no leader comes after the others.
STALE_MS = 3_000


class KnownReplica:
    """Hold what a forwarder knows of one control replica."""

    __slots__ = ("failed_until_ms", "stale_until_ms", "zone")

    def __init__(self):
        #: Its availability zone, once it told it.
        self.zone = ""
        self.failed_until_ms = 0
        self.stale_until_ms = 0


class ReplicaSelector:
    """Keep the addresses of replicas: the settings' seeds, and those they name."""

    __slots__ = ("_in_use", "_known", "_random", "_zone")

    def __init__(self, *, seeds, zone, random):
        self._zone = zone
        self._random = random
        self._known = {address: KnownReplica() for address in seeds}
        self._in_use = set()

    # Queries.

    @property
    def addresses(self):
        """Return all known addresses."""
        return list(self._known)

    def has_available(self, now_ms):
        """Tell whether an unused replica isn't known to fail or lag."""
        return any(
            now_ms >= max(known.failed_until_ms, known.stale_until_ms)
            for address, known in self._known.items()
            if address not in self._in_use
        )

    # Commands.

    def add_addresses(self, addresses):
        """Take the replicas that one of them names; keep what is in use."""
        wanted = set(addresses)
        if not wanted:
            return
        for address in wanted - set(self._known):
            self._known[address] = KnownReplica()

    def remove_failed(self, keep, now_ms):
        """Forget addresses that fail, but for the seeds and those in `keep`."""
        for address, known in list(self._known.items()):
            failing = now_ms < known.failed_until_ms
            if failing and address not in keep and address not in self._in_use:
                del self._known[address]

    def acquire(self, now_ms):
        """Return the best unused address and mark it used, or None."""
        free = [address for address in self._known if address not in self._in_use]
        if not free:
            return None
        best = min(free, key=lambda address: self._rank(address, now_ms))
        self._in_use.add(best)
        return best

    def release_address(self, address, *, failed, stale, now_ms):
        """Mark an address unused, and how its stream ended."""
        self._in_use.discard(address)
        known = self._known.get(address)
        if known is None:
            return
        if failed:
            known.failed_until_ms = now_ms + FAILED_MS
        if stale:
            known.stale_until_ms = now_ms + STALE_MS

    def set_zone(self, address, zone):
        """Note a replica's availability zone."""
        if address in self._known:
            self._known[address].zone = zone

    def _rank(self, address, now_ms):
        known = self._known[address]
        return (
            now_ms < known.failed_until_ms,
            now_ms < known.stale_until_ms,
            known.zone != self._zone,
            self._random(),
        )
