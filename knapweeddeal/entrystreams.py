"""knapweeddeal.entrystreams: Streams that peers and operators open to an entry."""

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
    """Serve streams of peers and operators, distinguished by the first message."""

    __slots__ = ("_inbox", "_links", "_stream_numbers", "_queries", "_settings")

    def __init__(self, *, settings, inbox, links, queries):
        self._settings = settings
        self._inbox = inbox
        self._links = links
        self._queries = queries
        self._stream_numbers = itertools.count(1)

    async def serve_stream(self, stream):
        """Serve a stream until it ends."""
        try:
            hello = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(hello) is not PeerHello:
                await stream.send(self._queries.answer(hello))
                return
            await self._serve_peer(stream, hello)
        except KnapweeddealError as error:
            LOG.info("lost a stream that was opened to this entry", why=str(error))

    async def _serve_peer(self, stream, hello):
        peer = Peer(
            name=hello.name,
            incarnation=hello.incarnation,
            stream=next(self._stream_numbers),
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
