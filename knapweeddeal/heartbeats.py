"""knapweeddeal.heartbeats: Heartbeats on many streams from one timer."""

import curio

__all__ = ["Heartbeats"]


class Heartbeats:
    """Beat on all streams at once, so that a process wakes once and not for each."""

    __slots__ = ("_outboxes", "_settings")

    def __init__(self, *, settings):
        self._settings = settings
        self._outboxes = set()

    async def add(self, outbox):
        """Beat on a stream now, and from now on."""
        self._outboxes.add(outbox)
        await outbox.queue_heartbeat()

    def remove(self, outbox):
        """Beat on a stream no more."""
        self._outboxes.discard(outbox)

    async def run(self):
        """Beat until cancelled."""
        while True:
            await curio.sleep(self._settings.heartbeat_ms / 1000)
            for outbox in list(self._outboxes):
                await outbox.queue_heartbeat()
