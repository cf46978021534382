"""knapweeddeal.peerlink: The stream of an entry to another entry, opened on demand."""

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.events import Undeliverable
from knapweeddeal.messages.peer import PeerHello
from knapweeddeal.outbox import Outbox
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["PeerLink"]


class PeerLink:
    """Own the stream to one other entry; it only sends."""

    __slots__ = ("_address", "_hello", "_inbox", "_outbox", "_settings")

    def __init__(self, *, address, identity, settings, inbox):
        self._address = address
        self._settings = settings
        self._inbox = inbox
        self._outbox = Outbox()
        self._hello = PeerHello(
            name=identity.entry_id,
            incarnation=identity.incarnation,
            zone=identity.zone,
        )

    async def offer(self, message):
        """Queue a message; return False if there is no room."""
        return await self._outbox.offer(message)

    async def run(self):
        """Open the stream, carry messages until it breaks, and report the rest."""
        try:
            await self._carry()
        except KnapweeddealError:
            for message in self._outbox.left():
                await self._inbox.put(Undeliverable(message=message))

    async def _carry(self):
        address = (self._address.host, self._address.port)
        timeout_ms = self._settings.stream_timeout_ms
        stream = await connect(address, timeout_ms=timeout_ms)
        try:
            await stream.send(self._hello)
            await run_until_first(
                self._watch(stream),
                self._outbox.drain_to(stream),
                self._outbox.beat(self._settings.heartbeat_ms),
            )
        finally:
            await stream.close()

    async def _watch(self, stream):
        while True:
            await stream.receive_within(self._settings.stream_timeout_ms)
