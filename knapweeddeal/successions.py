"""knapweeddeal.successions: Successors of owners that stopped as planned."""

from knapweeddeal.actions import Address
from knapweeddeal.messages.peer import Succession

__all__ = ["SuccessionTable", "succession_to", "successor_address"]

#: Successions that one entry holds; the oldest are evicted first.
MAX_SUCCESSIONS = 4_096


class SuccessionTable:
    """Map owner incarnations to their successors, for a bounded time."""

    __slots__ = ("_entries", "_life_ms")

    def __init__(self, *, life_ms):
        self._entries = {}
        self._life_ms = life_ms

    def __len__(self):
        """Return how many successions are held."""
        return len(self._entries)

    def add(self, succession, *, now_ms):
        """Add a succession, unless it would close a cycle."""
        if succession.owner_incarnation in self._chain(
            succession.successor_incarnation
        ):
            return
        self._entries.pop(succession.owner_incarnation, None)
        self._entries[succession.owner_incarnation] = (succession, now_ms)
        while len(self._entries) > MAX_SUCCESSIONS:
            del self._entries[next(iter(self._entries))]

    def resolve(self, owner_incarnation):
        """Return the last succession of the chain from an owner, or None."""
        last = None
        for chained_incarnation in self._chain(owner_incarnation):
            if chained_incarnation in self._entries:
                last = self._entries[chained_incarnation][0]
        return last

    def _chain(self, owner_incarnation):
        while owner_incarnation in self._entries:
            yield owner_incarnation
            owner_incarnation = self._entries[owner_incarnation][
                0
            ].successor_incarnation
        yield owner_incarnation

    def all(self):
        """Return every succession."""
        return [succession for succession, _ in self._entries.values()]

    def expire(self, *, now_ms):
        """Drop successions older than their lifetime."""
        while self._entries:
            owner_incarnation = next(iter(self._entries))
            if now_ms - self._entries[owner_incarnation][1] < self._life_ms:
                return
            del self._entries[owner_incarnation]


def successor_address(succession):
    """Return the address at which a successor accepts streams."""
    return Address(host=succession.successor_host, port=succession.successor_port)


def succession_to(identity, owner_incarnation):
    """Return the succession that makes an entry the successor of an owner."""
    return Succession(
        owner_incarnation=owner_incarnation,
        successor=identity.entry_id,
        successor_incarnation=identity.incarnation,
        successor_host=identity.address.host,
        successor_port=identity.address.port,
    )
