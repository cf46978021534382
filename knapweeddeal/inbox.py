"""knapweeddeal.inbox: The bounded queue of events before a deciding task."""

from collections import deque

import curio

__all__ = ["Inbox"]


class Inbox:
    """Queue events: datagrams are shed when it is full, streams wait.

    The deciding task only takes; it must never put, or it could wait for itself.
    """

    __slots__ = ("_event", "_max_events", "_queue", "_room")

    def __init__(self, *, max_events):
        self._max_events = max_events
        self._queue = deque()
        self._event = curio.Event()
        self._room = curio.Event()

    def qsize(self):
        """Return how many events wait."""
        return len(self._queue)

    def put_or_shed(self, event):
        """Queue an event unless the inbox is full; tell whether it was shed."""
        if len(self._queue) >= self._max_events:
            return True
        self._queue.append(event)
        return False

    async def wake(self):
        """Let the deciding task go on."""
        if self._queue and not self._event.is_set():
            await self._event.set()

    async def put(self, event):
        """Queue an event; wait for room."""
        while len(self._queue) >= self._max_events:
            self._room.clear()
            await self._room.wait()
        self._queue.append(event)
        await self.wake()

    def put_without_wake(self, event):
        """Queue an event that must not get lost; its taker goes on at `wake`."""
        self._queue.append(event)

    async def put_unbounded(self, event):
        """Queue an event that must not get lost, over the bound if need be."""
        self.put_without_wake(event)
        await self.wake()

    async def get_batch(self, max_events):
        """Return the next events, at least one."""
        await self._event.wait()
        count = min(len(self._queue), max_events)
        events = [self._queue.popleft() for _ in range(count)]
        if not self._queue:
            self._event.clear()
        if not self._room.is_set() and len(self._queue) < self._max_events:
            await self._room.set()
        return events
