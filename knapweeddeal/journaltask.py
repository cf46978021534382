"""knapweeddeal.journaltask: The task that owns the refusal journal."""

import curio

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.disk import run_blocking
from knapweeddeal.errors import CorruptStorageError
from knapweeddeal.messages.operator import RefusalsAnswer
from knapweeddeal.messages.peer import RefusalAck
from knapweeddeal.record import Record

__all__ = ["HoldRequest", "JournalTask"]

#: Queue limit in batches; streams block when the queue is full.
MAX_WAITING_BATCHES = 256
#: Maximum number of batches in one sync.
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
        """Queue a batch; the outbox gets a RefusalAck after the sync."""
        await self._queue.put(HoldRequest(batch=batch, outbox=outbox))

    async def run(self):
        """Write batches until cancelled."""
        while True:
            requests = await self._next_requests()
            records = [
                record for request in requests for record in request.batch.records
            ]
            await run_blocking(self._journal.append, records)
            for request in requests:
                await request.outbox.offer(RefusalAck(batch=request.batch.batch))

    async def find(self, request):
        """Return the answer to a query; reads the files concurrently with writes."""
        try:
            records = await run_blocking(self._journal.find, request)
        except CorruptStorageError as error:
            return failure_answer(error)
        return RefusalsAnswer(records=records)

    def count(self):
        """Return the number of stored refusals."""
        return self._journal.count()

    async def _next_requests(self):
        requests = [await self._queue.get()]
        while not self._queue.empty() and len(requests) < MAX_BATCHES:
            requests.append(await self._queue.get())
        return requests
