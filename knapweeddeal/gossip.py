"""knapweeddeal.gossip: Updates piggybacked on datagrams a bounded number of times."""

import heapq
import operator

from knapweeddeal.record import Record

__all__ = ["GossipQueue"]

#: Sends of an update beyond the binary logarithm of the number of members.
EXTRA_SENDS = 3

SENT = operator.attrgetter("sent")


class Update(Record):
    """Hold an update and the number of times it was sent."""

    __slots__ = ("item", "key", "sent")


class GossipQueue:
    """Choose the updates for each datagram, the least sent first."""

    __slots__ = ("_updates",)

    def __init__(self):
        self._updates = {}

    def __len__(self):
        """Return the number of updates still to be sent."""
        return len(self._updates)

    def add(self, key, item):
        """Add an update; it replaces an older one under the same key."""
        self._updates[key] = Update(item=item, key=key, sent=0)

    def take(self, count, *, members):
        """Return at most `count` items and count each as sent once."""
        limit = EXTRA_SENDS + members.bit_length()
        chosen = heapq.nsmallest(count, self._updates.values(), key=SENT)
        for update in chosen:
            update.sent += 1
            if update.sent >= limit:
                del self._updates[update.key]
        return [update.item for update in chosen]
