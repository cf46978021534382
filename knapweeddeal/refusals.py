"""knapweeddeal.refusals: Queue of refusals that wait for a second copy."""

import itertools

from knapweeddeal.messages.peer import RefusalBatch

__all__ = ["RefusalQueue", "matches_query"]

#: Refusals that may wait; further ones are counted and dropped without a reply.
MAX_QUEUED_REFUSALS = 10_000
#: Maximum number of records in a batch.
MAX_BATCH_RECORDS = 500
#: Time after which an unacknowledged batch is sent again.
RESEND_MS = 500


class RefusalQueue:
    """Hold back each refusal until another process acknowledges its record."""

    __slots__ = (
        "_size",
        "_retransmitted",
        "_batch_numbers",
        "_unsent",
        "_sent_ms",
        "_unacknowledged",
        "dropped",
    )

    def __init__(self, *, batch_numbers=None):
        #: Iterator of batch numbers, unique among the queues that share a stream.
        self._batch_numbers = batch_numbers or itertools.count(1)
        self._size = 0
        self._unsent = []
        self._unacknowledged = {}
        self._sent_ms = {}
        self._retransmitted = set()
        #: Refusals dropped because the queue was full.
        self.dropped = 0

    def __len__(self):
        """Return how many refusals wait."""
        return self._size

    def add(self, record, refusal):
        """Queue a record and its refusal; return False if the queue is full."""
        if self._size >= MAX_QUEUED_REFUSALS:
            self.dropped += 1
            return False
        self._size += 1
        self._unsent.append((record, refusal))
        return True

    def free_capacity(self):
        """Return how many more refusals fit into the queue."""
        return MAX_QUEUED_REFUSALS - self._size

    def is_retransmitted(self, batch):
        """Return whether a batch was sent more than once and is unacknowledged."""
        return batch in self._retransmitted

    def records(self, batch):
        """Return the records of an unacknowledged batch."""
        return [record for record, _ in self._unacknowledged.get(batch, ())]

    def all_records(self):
        """Return every queued record."""
        waiting = [pair for pairs in self._unacknowledged.values() for pair in pairs]
        return [record for record, _ in [*waiting, *self._unsent]]

    def batches(self, *, now_ms):
        """Return the new and overdue batches as messages to send now."""
        while self._unsent:
            batch = next(self._batch_numbers)
            self._unacknowledged[batch] = self._unsent[:MAX_BATCH_RECORDS]
            self._sent_ms[batch] = None
            del self._unsent[:MAX_BATCH_RECORDS]
        due = [
            batch
            for batch, sent_ms in self._sent_ms.items()
            if sent_ms is None or now_ms - sent_ms >= RESEND_MS
        ]
        for batch in due:
            if self._sent_ms[batch] is not None:
                self._retransmitted.add(batch)
            self._sent_ms[batch] = now_ms
        return [self._message(batch) for batch in due]

    def release(self, batch):
        """Remove an acknowledged batch and return its refusals."""
        self._sent_ms.pop(batch, None)
        self._retransmitted.discard(batch)
        released = [refusal for _, refusal in self._unacknowledged.pop(batch, ())]
        self._size -= len(released)
        return released

    def _message(self, batch):
        return RefusalBatch(batch=batch, records=self.records(batch))


def matches_query(record, query):
    """Return whether a record matches an operator's query."""
    if query.service and record.service != query.service:
        return False
    if query.caller and query.caller not in (record.caller, _host(record.caller)):
        return False
    if query.reason and record.reason != query.reason:
        return False
    if record.refused_ms < query.since_ms:
        return False
    return not query.until_ms or record.refused_ms <= query.until_ms


def _host(caller):
    return caller.rpartition(":")[0]
