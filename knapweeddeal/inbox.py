"""knapweeddeal.inbox: The bounded event queue of an event loop."""

from collections import deque

import curio

__all__ = ["Inbox"]


class Inbox:
    """Queue events; when it is full, datagrams are shed and streams wait.

    The event loop only takes events. It must never call `put`, which could wait
    for room that only the loop itself can make.
    """

    __slots__ = ("_events_available", "_max_events", "_queue", "_room_available")

    def __init__(self, *, max_events):
        self._max_events = max_events
        self._queue = deque()
        self._events_available = curio.Event()
        self._room_available = curio.Event()

    def qsize(self):
        """Return the number of queued events."""
        return len(self._queue)

    def put_or_shed(self, event):
        """Queue an event unless the inbox is full; return whether it was shed."""
        if len(self._queue) >= self._max_events:
            return True
        self._queue.append(event)
        return False

    async def wake(self):
        """Wake the event loop if events are queued."""
        if self._queue and not self._events_available.is_set():
            await self._events_available.set()

    async def put(self, event):
        """Queue an event; wait for room."""
        while len(self._queue) >= self._max_events:
            self._room_available.clear()
            await self._room_available.wait()
        self._queue.append(event)
        await self.wake()

    def put_without_wake(self, event):
        """Queue an event that must not be lost; `wake` must follow."""
        self._queue.append(event)

    async def put_unbounded(self, event):
        """Queue an event that must not be lost, even over the bound."""
        self.put_without_wake(event)
        await self.wake()

    async def get_batch(self, max_events):
        """Wait for events and return at least one and at most `max_events`."""
        await self._events_available.wait()
        count = min(len(self._queue), max_events)
        events = [self._queue.popleft() for _ in range(count)]
        if not self._queue:
            self._events_available.clear()
        if not self._room_available.is_set() and len(self._queue) < self._max_events:
            await self._room_available.set()
        return events
