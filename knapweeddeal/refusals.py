"""knapweeddeal.refusals: Refusals that wait until a second process holds them."""

from knapweeddeal.messages.peer import RefusalBatch
from knapweeddeal.record import Record

__all__ = ["RefusalQueue"]

#: Refusals that may wait; one more gets silence and is counted.
MAX_WAITING = 10_000
#: Records of one batch.
MAX_BATCH = 500
#: Time after which a batch is sent again.
RESEND_MS = 500
#: Time without control after which another entry of the zone is asked as well.
SPARE_MS = 1_500
#: Marks the number of a batch that goes to another entry.
SPARE_BIT = 1 << 62


class Batch(Record):
    """Hold records, what comes after them, and when they were sent."""

    __slots__ = ("records", "then", "began_ms", "sent_ms", "spare_ms", "spares")


class RefusalQueue:
    """Hold each refusal back until its record is acknowledged.

    Records go to control. When control doesn't answer, another entry of the zone
    may hold them, which lets the refusals go; control still gets the records.
    """

    __slots__ = ("_batch", "_batches", "_held", "_new", "_then", "dropped")

    def __init__(self):
        self._batch = 0
        self._held = 0
        self._new = []
        self._then = []
        self._batches = {}
        #: Refusals that found no room.
        self.dropped = 0

    def __len__(self):
        """Return how many records control hasn't acknowledged."""
        return self._held

    def room(self):
        """Return how many more records fit."""
        return MAX_WAITING - self._held

    def add(self, record, then):
        """Take a record and what comes after it, or None; tell whether it fits."""
        if self._held >= MAX_WAITING:
            self.dropped += 1
            return False
        self._held += 1
        self._new.append(record)
        self._then.append(then)
        return True

    def batches(self, *, now_ms):
        """Return the batches to send to control now."""
        self._cut(now_ms)
        due = [
            number
            for number, batch in self._batches.items()
            if batch.sent_ms is None or now_ms - batch.sent_ms >= RESEND_MS
        ]
        for number in due:
            self._batches[number].sent_ms = now_ms
        return [self._message(number) for number in due]

    def spare_batches(self, count, *, now_ms):
        """Return batches to send to other entries, by index below a count."""
        messages = []
        for number, batch in self._batches.items():
            waits = any(then is not None for then in batch.then)
            due_ms = batch.spare_ms or batch.began_ms + SPARE_MS
            if count and waits and now_ms >= due_ms:
                batch.spare_ms = now_ms + RESEND_MS
                batch.spares += 1
                index = (batch.spares - 1) % count
                messages.append((index, self._message(number, SPARE_BIT)))
        return messages

    def release(self, number):
        """Return what comes after the records of a batch that are held."""
        if number & SPARE_BIT:
            batch = self._batches.get(number ^ SPARE_BIT)
        else:
            batch = self._batches.pop(number, None)
            self._held -= len(batch.records) if batch else 0
        if batch is None:
            return []
        released = [then for then in batch.then if then is not None]
        batch.then = []
        return released

    def _cut(self, now_ms):
        while self._new:
            self._batch += 1
            self._batches[self._batch] = Batch(
                records=self._new[:MAX_BATCH],
                then=self._then[:MAX_BATCH],
                began_ms=now_ms,
                sent_ms=None,
                spare_ms=None,
                spares=0,
            )
            del self._new[:MAX_BATCH]
            del self._then[:MAX_BATCH]

    def _message(self, number, mark=0):
        return RefusalBatch(batch=number | mark, records=self._batches[number].records)
