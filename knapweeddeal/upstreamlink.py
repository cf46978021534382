"""knapweeddeal.upstreamlink: The stream of an entry to one upstream."""

import curio

from knapweeddeal.errors import BadMessageError, KnapweeddealError
from knapweeddeal.events import UpstreamDown, UpstreamMessage, UpstreamUp
from knapweeddeal.logs import Log
from knapweeddeal.messages.upstream import Heartbeat, StreamHello, StreamWelcome
from knapweeddeal.outbox import Outbox
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["UpstreamLink"]

LOG = Log(prefix="upstream")


class UpstreamLink:
    """Own the stream to one incarnation of an upstream."""

    __slots__ = (
        "_address",
        "_heartbeats",
        "_identity",
        "_inbox",
        "_settings",
        "key",
        "outbox",
        "task",
    )

    def __init__(self, *, key, address, identity, settings, inbox, heartbeats):
        self.key = key
        self._address = address
        self._identity = identity
        self._settings = settings
        self._inbox = inbox
        self._heartbeats = heartbeats
        self.outbox = Outbox()

    async def run(self):
        """Exchange messages until the stream breaks, then report UpstreamDown."""
        try:
            await self._run_stream()
        except KnapweeddealError as error:
            LOG.info(
                "lost the stream to an upstream",
                upstream=self.key.upstream_id,
                why=str(error),
            )
        finally:
            async with curio.disable_cancellation():
                await self._inbox.put_unbounded(UpstreamDown(key=self.key))

    async def _run_stream(self):
        address = (self._address.host, self._address.port)
        timeout_ms = self._settings.stream_timeout_ms
        stream = await connect(address, timeout_ms=timeout_ms)
        try:
            await self._handshake(stream)
            await self._inbox.put(UpstreamUp(key=self.key))
            await self._heartbeats.add(self.outbox)
            await run_until_first(
                self._receive(stream), self.outbox.send_queued_to(stream)
            )
        finally:
            self._heartbeats.remove(self.outbox)
            await stream.close()

    async def _handshake(self, stream):
        hello = StreamHello(
            service=self.key.service,
            upstream_id=self.key.upstream_id,
            upstream_incarnation=self.key.incarnation,
            entry_id=self._identity.entry_id,
            entry_incarnation=self._identity.incarnation,
        )
        await stream.send(hello)
        welcome = await self._receive_within_timeout(stream)
        expected = StreamWelcome(
            service=self.key.service,
            upstream_id=self.key.upstream_id,
            upstream_incarnation=self.key.incarnation,
        )
        if welcome != expected:
            raise BadMessageError(
                "expected the welcome of the dialed upstream",
                field="welcome",
                value=welcome,
            )

    async def _receive(self, stream):
        while True:
            message = await self._receive_within_timeout(stream)
            if type(message) is not Heartbeat:
                await self._inbox.put(UpstreamMessage(key=self.key, message=message))

    async def _receive_within_timeout(self, stream):
        return await stream.receive_within(self._settings.stream_timeout_ms)
