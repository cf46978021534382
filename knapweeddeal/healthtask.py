"""knapweeddeal.healthtask: Tasks that read upstreams' health over HTTP."""

import curio

from knapweeddeal.errors import BadMessageError
from knapweeddeal.events import HealthPolled
from knapweeddeal.healthreader import HealthReader, health_request
from knapweeddeal.ipaddresses import validated_ip

__all__ = ["HealthTask"]

#: Concurrent polls, and polls that may wait.
WORKERS = 4
MAX_WAITING = 64
#: Timeout of one poll.
TIMEOUT_S = 1.0
READ_BYTES = 4_096


class HealthTask:
    """Poll upstreams and put the results into an inbox."""

    __slots__ = ("_count", "_inbox", "_queue")

    def __init__(self, *, inbox, count):
        self._inbox = inbox
        self._count = count
        self._queue = curio.Queue(maxsize=MAX_WAITING)

    async def offer(self, poll):
        """Queue a poll, or drop it if the queue is full."""
        if not self._queue.full():
            await self._queue.put(poll)

    async def run(self):
        """Poll until cancelled."""
        async with curio.TaskGroup() as group:
            for _ in range(WORKERS):
                await group.spawn(self._work)

    async def _work(self):
        while True:
            poll = await self._queue.get()
            health = None
            try:
                health = await curio.timeout_after(TIMEOUT_S, self._read, poll)
            except BadMessageError:
                self._count("health_nonsense")
            except (OSError, OverflowError, ValueError, curio.TaskTimeout):
                self._count("health_unreachable")
            await self._inbox.put(HealthPolled(name=poll.name, health=health))

    async def _read(self, poll):
        http, data = health_request(poll.host)
        reader = HealthReader(connection=http)
        connection = await curio.open_connection(validated_ip(poll.host), poll.port)
        async with connection:
            await connection.sendall(data)
            while True:
                data = await connection.recv(READ_BYTES)
                health = reader.feed(data)
                if health is not None:
                    return health
                if not data:
                    raise BadMessageError(
                        "connection closed before the end of the response",
                        field="health",
                    )
