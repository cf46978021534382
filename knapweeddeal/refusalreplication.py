"""knapweeddeal.refusalreplication: Replication of refusal records."""

import itertools

from knapweeddeal.actions import ToControl, ToPeer, ToStream
from knapweeddeal.messages.peer import RefusalAck
from knapweeddeal.refusals import RefusalQueue

__all__ = ["RefusalReplication"]


class RefusalReplication:
    """Store each refusal record at a control replica, or else at another entry.

    After another entry has stored records, both entries keep sending them to control
    replicas, which detect duplicates by record id.
    """

    __slots__ = ("_count", "_stored", "_zone_peers", "_peer_index", "queue")

    def __init__(self, *, count):
        batch_numbers = itertools.count(1)
        #: Refusals of this entry that wait for an acknowledgement of their record.
        self.queue = RefusalQueue(batch_numbers=batch_numbers)
        self._stored = RefusalQueue(batch_numbers=batch_numbers)
        self._count = count
        self._zone_peers = []
        self._peer_index = 0

    # Commands

    def set_zone_peers(self, addresses):
        """Set the addresses of the other entries of the zone."""
        self._zone_peers = list(addresses)

    def tick(self, *, now_ms):
        """Return the batches to send now as actions."""
        actions = []
        for batch in self.queue.batches(now_ms=now_ms):
            actions.append(ToControl(message=batch))
            if self._zone_peers and self.queue.is_retransmitted(batch.batch):
                actions.append(ToPeer(address=self._next_zone_peer(), message=batch))
        for batch in self._stored.batches(now_ms=now_ms):
            actions.append(ToControl(message=batch))
        return actions

    def store(self, batch, peer):
        """Store and acknowledge another entry's records if there is room."""
        if not self._store_records(batch.records):
            self._count("refusals_not_held")
            return []
        ack = RefusalAck(batch=batch.batch)
        return [ToStream(stream=peer.stream, message=ack)]

    def handle_ack(self, batch_number, *, by_control):
        """Remove and return the refusals of a batch that another process has stored."""
        self._stored.release(batch_number)
        records = self.queue.records(batch_number)
        if not by_control and records:
            self._count("refusals_held_by_entry", len(records))
            self._store_records(records)
        return self.queue.release(batch_number)

    # Queries

    def unacknowledged(self):
        """Return the records that no control replica has acknowledged."""
        return [*self.queue.all_records(), *self._stored.all_records()]

    def _store_records(self, records):
        if self._stored.free_capacity() < len(records):
            return False
        for record in records:
            self._stored.add(record, None)
        return True

    def _next_zone_peer(self):
        self._peer_index += 1
        return self._zone_peers[self._peer_index % len(self._zone_peers)]
