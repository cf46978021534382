"""knapweeddeal.journaltask: The task that owns the refusal journal."""

import curio

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.disk import in_thread
from knapweeddeal.errors import CorruptStorageError
from knapweeddeal.messages.operator import RefusalsAnswer
from knapweeddeal.messages.peer import RefusalAck
from knapweeddeal.record import Record

__all__ = ["HoldAsk", "JournalTask"]

#: Batches that wait; streams that bring more wait themselves.
MAX_WAITING_BATCHES = 256
#: Batches that are synced at once.
MAX_BATCHES = 64


class HoldAsk(Record):
    """Carry a batch of refusals, and the outbox for its acknowledgement."""

    __slots__ = ("batch", "outbox")


class JournalTask:
    """Sync batches of refusals together, then acknowledge each."""

    __slots__ = ("_journal", "_queue")

    def __init__(self, *, journal):
        self._journal = journal
        self._queue = curio.Queue(MAX_WAITING_BATCHES)

    async def hold(self, batch, outbox):
        """Ask to hold a batch; RefusalAck comes to the outbox after the sync."""
        await self._queue.put(HoldAsk(batch=batch, outbox=outbox))

    async def run(self):
        """Take batches for ever."""
        while True:
            asks = await self._take()
            records = [record for ask in asks for record in ask.batch.records]
            await in_thread(self._journal.hold, records)
            for ask in asks:
                await ask.outbox.offer(RefusalAck(batch=ask.batch.batch))

    async def find(self, ask):
        """Return the answer to a query; it reads files beside the owning task."""
        try:
            records = await in_thread(self._journal.find, ask)
        except CorruptStorageError as error:
            return failure_answer(error)
        return RefusalsAnswer(records=records)

    def count(self):
        """Return the number of refusals that are held."""
        return self._journal.count()

    async def _take(self):
        asks = [await self._queue.get()]
        while not self._queue.empty() and len(asks) < MAX_BATCHES:
            asks.append(await self._queue.get())
        return asks
