"""knapweeddeal.refusalreplication: The second process that stores a refusal record."""

import itertools

from knapweeddeal.actions import ToControl, ToPeer, ToStream
from knapweeddeal.messages.peer import RefusalAck
from knapweeddeal.refusals import RefusalQueue

__all__ = ["RefusalReplication"]


class RefusalReplication:
    """Have each refusal held by a control replica, or else by another entry.

    An entry that holds records for another, and the one that has them held so,
    both go on offering them to control replicas; those know doubles by their id.
    """

    __slots__ = ("_count", "_held", "_zone_peers", "_turn", "queue")

    def __init__(self, *, counters):
        numbers = itertools.count(1)
        #: Refusals of this entry that wait for their record.
        self.queue = RefusalQueue(numbers=numbers)
        self._held = RefusalQueue(numbers=numbers)
        self._count = counters
        self._zone_peers = []
        self._turn = 0

    # Commands

    def set_zone_peers(self, addresses):
        """Take the addresses of the other entries of the zone."""
        self._zone_peers = list(addresses)

    def tick(self, *, now_ms):
        """Return what is to be sent now."""
        actions = []
        for batch in self.queue.batches(now_ms=now_ms):
            actions.append(ToControl(message=batch))
            if self._zone_peers and self.queue.is_retransmitted(batch.batch):
                actions.append(ToPeer(address=self._next(), message=batch))
        for batch in self._held.batches(now_ms=now_ms):
            actions.append(ToControl(message=batch))
        return actions

    def store(self, batch, peer):
        """Hold another entry's records if there is room; acknowledge them."""
        if not self._store_records(batch.records):
            self._count("refusals_not_held")
            return []
        ack = RefusalAck(batch=batch.batch)
        return [ToStream(stream=peer.stream, message=ack)]

    def handle_ack(self, number, *, by_control):
        """Return the refusals of a batch that a second process holds."""
        self._held.release(number)
        records = self.queue.records(number)
        if not by_control and records:
            self._count("refusals_held_by_entry", len(records))
            self._store_records(records)
        return self.queue.release(number)

    # Queries

    def unacknowledged(self):
        """Return the records that control replicas didn't acknowledge yet."""
        return [*self.queue.all_records(), *self._held.all_records()]

    def _store_records(self, records):
        if self._held.free_capacity() < len(records):
            return False
        for record in records:
            self._held.add(record, None)
        return True

    def _next(self):
        self._turn += 1
        return self._zone_peers[self._turn % len(self._zone_peers)]
