"""knapweeddeal.entrystreams: Streams that others open to an entry."""

import itertools

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.events import Peer, PeerMessage
from knapweeddeal.logs import Log
from knapweeddeal.messages.peer import PeerHello
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.outbox import Outbox
from knapweeddeal.tasks import run_until_first

__all__ = ["EntryStreams"]

LOG = Log(prefix="entry")


class EntryStreams:
    """Serve each stream as its first message asks: peer or operator."""

    __slots__ = ("_inbox", "_links", "_numbers", "_queries", "_settings")

    def __init__(self, *, settings, inbox, links, queries):
        self._settings = settings
        self._inbox = inbox
        self._links = links
        self._queries = queries
        self._numbers = itertools.count(1)

    async def serve_stream(self, stream):
        """Serve a stream until it ends."""
        try:
            hello = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(hello) is not PeerHello:
                await stream.send(self._queries.answer(hello))
                return
            await self._take_peer(stream, hello)
        except KnapweeddealError as error:
            LOG.info("Peer stream ended.", why=str(error))

    async def _take_peer(self, stream, hello):
        peer = Peer(
            name=hello.name,
            incarnation=hello.incarnation,
            stream=next(self._numbers),
        )
        outbox = Outbox()
        self._links.add_stream(peer.stream, outbox)
        try:
            await run_until_first(
                self._receive_from(stream, peer, outbox), outbox.send_queued_to(stream)
            )
        finally:
            self._links.remove_stream(peer.stream)

    async def _receive_from(self, stream, peer, outbox):
        while True:
            message = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(message) is Heartbeat:
                await outbox.offer(message)
            else:
                await self._inbox.put(PeerMessage(message=message, peer=peer))
