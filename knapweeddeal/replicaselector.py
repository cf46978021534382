"""knapweeddeal.replicaselector: Choice of the control replicas to subscribe to."""

__all__ = ["ReplicaSelector"]

#: Time for which a replica that failed is ranked after the others.
FAILED_MS = 1_000
#: Time for which a replica without a leader is ranked after the others.
STALE_MS = 3_000


class KnownReplica:
    """Hold the state of one control replica at a known address."""

    __slots__ = ("failed_until_ms", "is_member", "stale_until_ms", "zone")

    def __init__(self):
        #: Its availability zone, or "" until it has reported one.
        self.zone = ""
        #: Whether it is a member, as far as replicas with a leader have told.
        self.is_member = True
        self.failed_until_ms = 0
        self.stale_until_ms = 0


class ReplicaSelector:
    """Hold the addresses of replicas: the seeds, and those that replicas report."""

    __slots__ = ("_in_use", "_replicas", "_random", "_seeds", "_zone")

    def __init__(self, *, seeds, zone, random):
        self._zone = zone
        self._random = random
        self._seeds = set(seeds)
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

    def set_seeds(self, seeds, now_ms):
        """Replace the seeds; remove all other addresses that failed lately."""
        self._seeds = set(seeds)
        self.add_addresses(seeds)
        self._remove_failed((), now_ms)

    def add_addresses(self, addresses):
        """Add addresses from a replica or the settings; keep all others."""
        for address in set(addresses) - set(self._replicas):
            self._replicas[address] = KnownReplica()

    def set_members(self, addresses, now_ms):
        """Add the addresses that a replica with a leader lists.

        Others are removed if they failed lately, and seeds are ranked last: each
        attempt to connect to a VM that is gone takes the whole time limit.
        """
        members = set(addresses)
        self.add_addresses(members)
        self._remove_failed(members, now_ms)
        for address, replica in self._replicas.items():
            replica.is_member = address in members

    def _remove_failed(self, keep, now_ms):
        """Remove unused addresses that failed lately, except seeds and `keep`."""
        kept = self._seeds.union(keep, self._in_use)
        for address, replica in list(self._replicas.items()):
            if now_ms < replica.failed_until_ms and address not in kept:
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
            not replica.is_member,
            replica.zone != self._zone,
            self._random(),
        )
