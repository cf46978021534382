"""knapweeddeal.gossip: Updates piggybacked on datagrams a bounded number of times."""

import heapq
import operator

from knapweeddeal.record import Record

__all__ = ["GossipQueue"]

#: Sends of an update beyond the binary logarithm of the number of members.
EXTRA_SENDS = 3

SENT = operator.attrgetter("sent")


class News(Record):
    """Hold an update and the number of times it was sent."""

    __slots__ = ("item", "key", "sent")


class GossipQueue:
    """Choose the updates for each datagram, the least sent first."""

    __slots__ = ("_news",)

    def __init__(self):
        self._news = {}

    def __len__(self):
        """Return the number of updates still to be sent."""
        return len(self._news)

    def add(self, key, item):
        """Add an update; it replaces an older one under the same key."""
        self._news[key] = News(item=item, key=key, sent=0)

    def take(self, count, *, members):
        """Return at most `count` items and count each as sent once."""
        limit = EXTRA_SENDS + members.bit_length()
        chosen = heapq.nsmallest(count, self._news.values(), key=SENT)
        for news in chosen:
            news.sent += 1
            if news.sent >= limit:
                del self._news[news.key]
        return [news.item for news in chosen]
