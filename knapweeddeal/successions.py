"""knapweeddeal.successions: Who answers for owners that stopped as planned."""

from knapweeddeal.actions import Address
from knapweeddeal.messages.peer import Succession

__all__ = ["SuccessionTable", "succession_to", "successor_address"]

#: Successions that one entry holds; the oldest go first.
MAX_SUCCESSIONS = 4_096


class SuccessionTable:
    """Hold the successor of each owner incarnation, for a bounded time."""

    __slots__ = ("_held", "_life_ms")

    def __init__(self, *, life_ms):
        self._held = {}
        self._life_ms = life_ms

    def __len__(self):
        """Return how many successions are held."""
        return len(self._held)

    def add(self, succession, *, now_ms):
        """Take a succession, unless it would close a circle."""
        if succession.owner_incarnation in self._chain(
            succession.successor_incarnation
        ):
            return
        self._held.pop(succession.owner_incarnation, None)
        self._held[succession.owner_incarnation] = (succession, now_ms)
        while len(self._held) > MAX_SUCCESSIONS:
            del self._held[next(iter(self._held))]

    def resolve(self, owner_incarnation):
        """Return the last succession of the chain from an owner, or None."""
        last = None
        for passed in self._chain(owner_incarnation):
            if passed in self._held:
                last = self._held[passed][0]
        return last

    def _chain(self, owner_incarnation):
        while owner_incarnation in self._held:
            yield owner_incarnation
            owner_incarnation = self._held[owner_incarnation][0].successor_incarnation
        yield owner_incarnation

    def all(self):
        """Return every succession."""
        return [succession for succession, _ in self._held.values()]

    def expire(self, *, now_ms):
        """Drop successions that were held for their whole life."""
        while self._held:
            owner_incarnation = next(iter(self._held))
            if now_ms - self._held[owner_incarnation][1] < self._life_ms:
                return
            del self._held[owner_incarnation]


def successor_address(succession):
    """Return where a successor takes streams."""
    return Address(host=succession.successor_host, port=succession.successor_port)


def succession_to(identity, owner_incarnation):
    """Return the succession of an owner by an entry."""
    return Succession(
        owner_incarnation=owner_incarnation,
        successor=identity.entry_id,
        successor_incarnation=identity.incarnation,
        successor_host=identity.address.host,
        successor_port=identity.address.port,
    )
