"""knapweeddeal.peerlink: The stream of an entry to another entry, opened on demand."""

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.events import PeerDown, PeerMessage, PeerUp, Undeliverable
from knapweeddeal.messages.peer import PeerHello
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.outbox import Outbox
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["PeerLink"]

#: Time without messages to send after which a stream is closed.
IDLE_MS = 10_000


class PeerLink:
    """Own the stream to another entry until it breaks or is idle."""

    __slots__ = ("_address", "_on_end", "_hello", "_inbox", "_settings", "outbox")

    def __init__(self, *, address, identity, settings, inbox, on_end):
        self._address = address
        #: Called with the address once the link accepts no more messages.
        self._on_end = on_end
        self._settings = settings
        self._inbox = inbox
        self.outbox = Outbox()
        self._hello = PeerHello(
            name=identity.entry_id,
            incarnation=identity.incarnation,
            zone=identity.zone,
        )

    async def run(self):
        """Exchange messages until the stream ends, then report the unsent ones."""
        try:
            await self._run_stream()
        except KnapweeddealError:
            await self._inbox.put_unbounded(PeerDown(address=self._address))
        finally:
            self._on_end(self._address)
        for message in self.outbox.possibly_unsent():
            event = Undeliverable(address=self._address, message=message)
            await self._inbox.put_unbounded(event)

    async def _run_stream(self):
        address = (self._address.host, self._address.port)
        settings = self._settings
        stream = await connect(address, timeout_ms=settings.stream_timeout_ms)
        try:
            await stream.send(self._hello)
            await run_until_first(
                self._receive(stream),
                self.outbox.send_queued_to(stream),
                self.outbox.queue_heartbeats_until_idle(
                    settings.heartbeat_ms, idle_ms=IDLE_MS
                ),
            )
        finally:
            await stream.close()

    async def _receive(self, stream):
        message = await stream.receive_within(self._settings.stream_timeout_ms)
        await self._inbox.put(PeerUp(address=self._address))
        while True:
            await self._handle_message(message)
            message = await stream.receive_within(self._settings.stream_timeout_ms)

    async def _handle_message(self, message):
        if type(message) is not Heartbeat:
            await self._inbox.put(PeerMessage(message=message, peer=None))
