"""knapweeddeal.replicaselector: Choice of the control replicas to subscribe to."""

__all__ = ["ReplicaSelector"]

#: Time for which a replica that failed is ranked after the others.
FAILED_MS = 1_000
#: Time for which a replica without a leader is ranked after the others.
STALE_MS = 3_000


class KnownReplica:
    """Hold the state of one control replica at a known address."""

    __slots__ = ("failed_until_ms", "stale_until_ms", "zone")

    def __init__(self):
        #: Its availability zone, or "" until it has reported one.
        self.zone = ""
        self.failed_until_ms = 0
        self.stale_until_ms = 0


class ReplicaSelector:
    """Hold the addresses of replicas: the seeds, and those that replicas report."""

    __slots__ = ("_in_use", "_replicas", "_random", "_zone")

    def __init__(self, *, seeds, zone, random):
        self._zone = zone
        self._random = random
        self._replicas = {address: KnownReplica() for address in seeds}
        self._in_use = set()

    # Queries.

    @property
    def addresses(self):
        """Return all known addresses."""
        return list(self._replicas)

    def has_available(self, now_ms):
        """Return whether an unused replica hasn't failed or lost its leader lately."""
        return any(
            now_ms >= max(replica.failed_until_ms, replica.stale_until_ms)
            for address, replica in self._replicas.items()
            if address not in self._in_use
        )

    # Commands.

    def add_addresses(self, addresses):
        """Add addresses from a replica or the settings; keep all others."""
        listed = set(addresses)
        if not listed:
            return
        for address in listed - set(self._replicas):
            self._replicas[address] = KnownReplica()

    def remove_failed(self, keep, now_ms):
        """Remove unused addresses that failed lately, except those in `keep`."""
        for address, replica in list(self._replicas.items()):
            failing = now_ms < replica.failed_until_ms
            if failing and address not in keep and address not in self._in_use:
                del self._replicas[address]

    def acquire(self, now_ms):
        """Return the best unused address and mark it used, or None."""
        unused = [address for address in self._replicas if address not in self._in_use]
        if not unused:
            return None
        best = min(unused, key=lambda address: self._rank(address, now_ms))
        self._in_use.add(best)
        return best

    def release_address(self, address, *, failed, stale, now_ms):
        """Mark an address unused, and record how its stream ended."""
        self._in_use.discard(address)
        replica = self._replicas.get(address)
        if replica is None:
            return
        if failed:
            replica.failed_until_ms = now_ms + FAILED_MS
        if stale:
            replica.stale_until_ms = now_ms + STALE_MS

    def set_zone(self, address, zone):
        """Set a replica's availability zone, if its address is known."""
        if address in self._replicas:
            self._replicas[address].zone = zone

    def _rank(self, address, now_ms):
        replica = self._replicas[address]
        return (
            now_ms < replica.failed_until_ms,
            now_ms < replica.stale_until_ms,
            replica.zone != self._zone,
            self._random(),
        )
