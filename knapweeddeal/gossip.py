"""knapweeddeal.gossip: News piggybacked on datagrams a bounded number of times."""

import heapq
import operator

from knapweeddeal.record import Record

__all__ = ["GossipQueue"]

#: Sendings of a piece of news beyond the logarithm of the number of members.
EXTRA_SENDS = 3

SENT = operator.attrgetter("sent")


class News(Record):
    """Hold a piece of news and how often it was sent."""

    __slots__ = ("item", "key", "sent")


class GossipQueue:
    """Choose the news that go with a datagram: the least sent first."""

    __slots__ = ("_news",)

    def __init__(self):
        self._news = {}

    def __len__(self):
        """Return how many pieces of news are still to be sent."""
        return len(self._news)

    def add(self, key, item):
        """Take news, in place of older news under the same key."""
        self._news[key] = News(item=item, key=key, sent=0)

    def take(self, count, *, members):
        """Return at most `count` items and note that they are sent."""
        limit = EXTRA_SENDS + members.bit_length()
        chosen = heapq.nsmallest(count, self._news.values(), key=SENT)
        for news in chosen:
            news.sent += 1
            if news.sent >= limit:
                del self._news[news.key]
        return [news.item for news in chosen]
