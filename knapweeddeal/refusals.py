"""knapweeddeal.refusals: Refusals that wait until a second process holds them."""

from knapweeddeal.messages.peer import RefusalBatch

__all__ = ["RefusalQueue"]

#: Refusals that may wait; one more gets silence and is counted.
MAX_WAITING = 10_000
#: Records of one batch.
MAX_BATCH = 500
#: Time after which a batch is sent again.
RESEND_MS = 500


class RefusalQueue:
    """Hold each refusal back until its record is acknowledged."""

    __slots__ = ("_batch", "_held", "_records", "_sent_ms", "_waiting", "dropped")

    def __init__(self):
        self._batch = 0
        self._held = 0
        self._records = []
        self._waiting = {}
        self._sent_ms = {}
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

    def batches(self, *, now_ms):
        """Return the batches to send now."""
        while self._records:
            self._batch += 1
            self._waiting[self._batch] = self._records[:MAX_BATCH]
            self._sent_ms[self._batch] = None
            del self._records[:MAX_BATCH]
        due = [
            batch
            for batch, sent_ms in self._sent_ms.items()
            if sent_ms is None or now_ms - sent_ms >= RESEND_MS
        ]
        for batch in due:
            self._sent_ms[batch] = now_ms
        return [self._message(batch) for batch in due]

    def release(self, batch):
        """Return what comes after the records of a batch that are held."""
        self._sent_ms.pop(batch, None)
        released = [then for _, then in self._waiting.pop(batch, ())]
        self._held -= len(released)
        return released

    def _message(self, batch):
        records = [record for record, _ in self._waiting[batch]]
        return RefusalBatch(batch=batch, records=records)
