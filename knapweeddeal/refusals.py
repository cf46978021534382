"""knapweeddeal.refusals: Refusals that wait until a second process holds them."""

import itertools

from knapweeddeal.messages.peer import RefusalBatch

__all__ = ["RefusalQueue", "matches_query"]

#: Refusals that may wait; one more gets silence and is counted.
MAX_WAITING = 10_000
#: Records of one batch.
MAX_BATCH = 500
#: Time after which a batch is sent again.
RESEND_MS = 500


class RefusalQueue:
    """Hold each refusal back until its record is acknowledged."""

    __slots__ = (
        "_held",
        "_retransmitted",
        "_numbers",
        "_records",
        "_sent_ms",
        "_waiting",
        "dropped",
    )

    def __init__(self, *, numbers=None):
        #: Numbers for batches, unique among the queues that share a stream.
        self._numbers = numbers or itertools.count(1)
        self._held = 0
        self._records = []
        self._waiting = {}
        self._sent_ms = {}
        self._retransmitted = set()
        #: Refusals that found no room.
        self.dropped = 0

    def __len__(self):
        """Return how many refusals wait."""
        return self._held

    def add(self, record, then):
        """Take a refusal and what comes after its record; tell whether it fits."""
        if self._held >= MAX_WAITING:
            self.dropped += 1
            return False
        self._held += 1
        self._records.append((record, then))
        return True

    def free_capacity(self):
        """Return how many more refusals find room."""
        return MAX_WAITING - self._held

    def is_retransmitted(self, batch):
        """Tell whether a batch was sent before and isn't acknowledged."""
        return batch in self._retransmitted

    def records(self, batch):
        """Return the records of a batch that waits."""
        return [record for record, _ in self._waiting.get(batch, ())]

    def all_records(self):
        """Return every record that waits."""
        waiting = [pair for pairs in self._waiting.values() for pair in pairs]
        return [record for record, _ in [*waiting, *self._records]]

    def batches(self, *, now_ms):
        """Return the batches to send now."""
        while self._records:
            batch = next(self._numbers)
            self._waiting[batch] = self._records[:MAX_BATCH]
            self._sent_ms[batch] = None
            del self._records[:MAX_BATCH]
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
        """Return what comes after the records of a batch that are held."""
        self._sent_ms.pop(batch, None)
        self._retransmitted.discard(batch)
        released = [then for _, then in self._waiting.pop(batch, ())]
        self._held -= len(released)
        return released

    def _message(self, batch):
        return RefusalBatch(batch=batch, records=self.records(batch))


def matches_query(record, query):
    """Tell whether a record matches what an operator asks for."""
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
