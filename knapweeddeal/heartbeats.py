"""knapweeddeal.heartbeats: Heartbeats on many streams from one timer."""

import curio

__all__ = ["Heartbeats"]


class Heartbeats:
    """Send all heartbeats from one timer: one wake-up per period, not per stream."""

    __slots__ = ("_outboxes", "_settings")

    def __init__(self, *, settings):
        self._settings = settings
        self._outboxes = set()

    async def add(self, outbox):
        """Send a heartbeat on a stream now, and periodically from now on."""
        self._outboxes.add(outbox)
        await outbox.queue_heartbeat()

    def remove(self, outbox):
        """Stop sending heartbeats on a stream."""
        self._outboxes.discard(outbox)

    async def run(self):
        """Send periodic heartbeats until cancelled."""
        while True:
            await curio.sleep(self._settings.heartbeat_ms / 1000)
            for outbox in list(self._outboxes):
                await outbox.queue_heartbeat()
