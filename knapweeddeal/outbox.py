"""knapweeddeal.outbox: A bounded queue of messages and the task that sends them."""

import curio

from knapweeddeal.messages.upstream import Heartbeat

__all__ = ["Outbox"]

#: Messages that may wait for one stream.
MAX_WAITING = 2_000


class Outbox:
    """Queue messages for one stream; the sending tasks own the stream's sending."""

    __slots__ = ("_queue",)

    def __init__(self):
        self._queue = curio.Queue(maxsize=MAX_WAITING)

    async def offer(self, message):
        """Queue a message and return True, or return False if there is no room."""
        if self._queue.full():
            return False
        await self._queue.put(message)
        return True

    async def drain_to(self, stream):
        """Send what is queued, for ever; raise StreamClosedError."""
        while True:
            messages = [await self._queue.get()]
            while not self._queue.empty():
                messages.append(await self._queue.get())
            await stream.send_all(messages)

    async def beat(self, heartbeat_ms):
        """Queue heartbeats, for ever."""
        while True:
            await self.offer(Heartbeat())
            await curio.sleep(heartbeat_ms / 1000)

    def left(self):
        """Return what was never taken from the queue."""
        return list(self._queue._queue)
