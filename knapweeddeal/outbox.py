"""knapweeddeal.outbox: A bounded queue of messages and the task that sends them."""

from collections import deque

import curio

from knapweeddeal.messages.upstream import Heartbeat

__all__ = ["Outbox"]

#: Most messages queued for one stream.
MAX_QUEUED_MESSAGES = 2_000
#: Most messages sent in one write.
MAX_MESSAGES_PER_WRITE = 256


class Outbox:
    """Queue messages for one stream; only its sending task writes to the stream."""

    __slots__ = ("_closed", "_event", "_queue", "_room", "_sending", "offered")

    def __init__(self):
        self._closed = False
        self._event = curio.Event()
        self._room = curio.Event()
        self._queue = deque()
        self._sending = []
        #: Messages ever queued, except heartbeats.
        self.offered = 0

    def put(self, message):
        """Queue a message and return True, or return False if there is no room.

        The sending task resumes at the next `wake`.
        """
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append(message)
        self.offered += 1
        return True

    async def wake(self):
        """Resume the sending task if messages are queued."""
        if self._queue and not self._event.is_set():
            await self._event.set()

    async def offer(self, message):
        """Queue a message and wake the sender; return False if there is no room."""
        queued = self.put(message)
        await self.wake()
        return queued

    async def offer_with_backpressure(self, message):
        """Queue a message once the queue is half empty; return False if closed."""
        while len(self._queue) >= MAX_QUEUED_MESSAGES // 2 and not self._closed:
            self._room.clear()
            await self._room.wait()
        return not self._closed and await self.offer(message)

    async def close(self):
        """Release the tasks that wait for room; nothing more will be sent."""
        self._closed = True
        await self._room.set()

    async def send_queued_to(self, stream):
        """Send queued messages forever; raise StreamClosedError."""
        while True:
            if not self._queue:
                self._event.clear()
                await self._event.wait()
            count = min(len(self._queue), MAX_MESSAGES_PER_WRITE)
            self._sending = [self._queue.popleft() for _ in range(count)]
            if not self._room.is_set():
                await self._room.set()
            await stream.send_all(self._sending)
            self._sending = []

    async def queue_heartbeat(self):
        """Queue a heartbeat."""
        if await self.offer(Heartbeat()):
            self.offered -= 1

    async def queue_heartbeats(self, heartbeat_ms):
        """Queue heartbeats forever."""
        while True:
            await self.queue_heartbeat()
            await curio.sleep(heartbeat_ms / 1000)

    async def queue_heartbeats_until_idle(self, heartbeat_ms, *, idle_ms):
        """Queue heartbeats until no other message was queued for `idle_ms`."""
        offered, unused_ms = self.offered, 0
        while unused_ms < idle_ms:
            await self.queue_heartbeat()
            await curio.sleep(heartbeat_ms / 1000)
            unused_ms = unused_ms + heartbeat_ms if offered == self.offered else 0
            offered = self.offered

    def unsent(self):
        """Return the messages of which no byte was sent."""
        return list(self._queue)

    def possibly_unsent(self):
        """Return the messages that may not have been sent completely."""
        return [*self._sending, *self._queue]
