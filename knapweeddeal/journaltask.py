"""knapweeddeal.journaltask: The task that owns the refusal journal."""

import curio

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.disk import run_blocking
from knapweeddeal.errors import CorruptStorageError
from knapweeddeal.messages.operator import RefusalsAnswer
from knapweeddeal.messages.peer import RefusalAck
from knapweeddeal.record import Record

__all__ = ["HoldRequest", "JournalTask"]

#: Batches that wait; streams that bring more wait themselves.
MAX_WAITING_BATCHES = 256
#: Batches that are synced at once.
MAX_BATCHES = 64


class HoldRequest(Record):
    """Carry a batch of refusals, and the outbox for its acknowledgement."""

    __slots__ = ("batch", "outbox")


class JournalTask:
    """Sync batches of refusals together, then acknowledge each."""

    __slots__ = ("_journal", "_queue")

    def __init__(self, *, journal):
        self._journal = journal
        self._queue = curio.Queue(MAX_WAITING_BATCHES)

    async def append(self, batch, outbox):
        """Ask to hold a batch; RefusalAck comes to the outbox after the sync."""
        await self._queue.put(HoldRequest(batch=batch, outbox=outbox))

    async def run(self):
        """Take batches for ever."""
        while True:
            requests = await self._take()
            records = [
                record for request in requests for record in request.batch.records
            ]
            await run_blocking(self._journal.append, records)
            for request in requests:
                await request.outbox.offer(RefusalAck(batch=request.batch.batch))

    async def find(self, request):
        """Return the answer to a query; it reads files beside the owning task."""
        try:
            records = await run_blocking(self._journal.find, request)
        except CorruptStorageError as error:
            return failure_answer(error)
        return RefusalsAnswer(records=records)

    def count(self):
        """Return the number of refusals that are held."""
        return self._journal.count()

    async def _take(self):
        requests = [await self._queue.get()]
        while not self._queue.empty() and len(requests) < MAX_BATCHES:
            requests.append(await self._queue.get())
        return requests
