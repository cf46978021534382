"""knapweeddeal.replicalink: Outgoing streams from one control replica to the others."""

import traceback

import curio

from knapweeddeal.errors import KnapweeddealError, StreamClosedError
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import ReplicaHello
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.outbox import Outbox
from knapweeddeal.record import Record
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["LinkDown", "LinkPool", "LinkUp", "ReplicaLink"]

log = Log(prefix="control")

#: Pause before another attempt to connect.
RECONNECT_DELAY_MS = 100
#: Maximum number of addresses that one replica connects to.
MAX_LINKS = 64


class LinkUp(Record):
    """Report that a link to a replica is up, with the state it sent."""

    __slots__ = ("outbox", "state")


class LinkDown(Record):
    """Report that a link to a replica is down."""

    __slots__ = ("identity", "outbox")


class ReplicaLink:
    """Keep a connection to one address, and send the queued messages."""

    __slots__ = ("_address", "_events", "_heartbeat_ms", "_hello", "_timeout_ms")
    __slots__ += ("is_up",)

    def __init__(self, *, address, hello, events, heartbeat_ms, timeout_ms):
        self.is_up = False
        self._address = address
        self._hello = hello
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms

    async def run(self):
        """Connect, and reconnect after each failure, until cancelled."""
        while True:
            try:
                await self._connect_once()
            except KnapweeddealError:
                # The next attempt follows; `LinkDown` tells that a link was lost.
                pass
            except Exception as error:
                log.warning(
                    "lost a link to an unexpected error",
                    replica=self._address,
                    error=repr(error),
                    trace=traceback.format_exc(),
                )
            await curio.sleep(RECONNECT_DELAY_MS / 1000)

    async def _connect_once(self):
        stream = await connect(self._address, timeout_ms=self._timeout_ms)
        try:
            await self._serve_stream(stream)
        finally:
            await stream.close()

    async def _serve_stream(self, stream):
        await stream.send_all(self._hello())
        hello = await self._receive(stream)
        state = await self._receive(stream)
        if not isinstance(hello, ReplicaHello) or not isinstance(state, ReplicaState):
            raise StreamClosedError("expected the hello and state of a control replica")
        outbox = Outbox()
        self.is_up = True
        await self._events.put(LinkUp(state=state, outbox=outbox))
        try:
            await self._exchange(stream, outbox)
        finally:
            self.is_up = False
            await self._events.put(LinkDown(identity=hello.identity, outbox=outbox))

    async def _exchange(self, stream, outbox):
        await run_until_first(
            outbox.send_queued_to(stream),
            outbox.queue_heartbeats(self._heartbeat_ms),
            self._receive_echoes(stream, outbox),
        )

    async def _receive_echoes(self, stream, outbox):
        """Receive echoes and states; a timeout raises StreamClosedError."""
        while True:
            message = await self._receive(stream)
            if isinstance(message, ReplicaState):
                await self._events.put(LinkUp(state=message, outbox=outbox))

    async def _receive(self, stream):
        return await stream.receive_within(self._timeout_ms)


class LinkPool:
    """Keep one link to each address; `hello` returns the opening messages."""

    __slots__ = ("_events", "_heartbeat_ms", "_links", "_tasks", "_timeout_ms", "hello")
    __slots__ += ("members",)

    def __init__(self, *, events, heartbeat_ms, timeout_ms):
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms
        #: Links and their tasks, by address.
        self._links = {}
        self._tasks = {}
        #: Addresses of the members, whose links are kept while they are down.
        self.members = frozenset()
        self.hello = None

    async def connect_to(self, address):
        """Start a link to an address unless one exists.

        At the limit it takes the place of one that is down and of no member.
        """
        if address in self._tasks:
            return
        if len(self._tasks) >= MAX_LINKS:
            unused = self._unused_address()
            if unused is None:
                return
            del self._links[unused]
            await self._tasks.pop(unused).cancel()
        link = self._links[address] = ReplicaLink(
            address=address,
            hello=self.hello,
            events=self._events,
            heartbeat_ms=self._heartbeat_ms,
            timeout_ms=self._timeout_ms,
        )
        self._tasks[address] = await curio.spawn(link.run, daemon=True)

    def _unused_address(self):
        """Return the oldest address that is down and of no member, or None."""
        for address, link in self._links.items():
            if not link.is_up and address not in self.members:
                return address
        return None

    async def close(self):
        """Cancel all links."""
        for task in self._tasks.values():
            await task.cancel()
