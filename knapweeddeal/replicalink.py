"""knapweeddeal.replicalink: A stream on which one replica sends to another."""

import curio

from knapweeddeal.errors import KnapweeddealError, StreamClosedError
from knapweeddeal.messages.control import ReplicaHello
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.outbox import Outbox
from knapweeddeal.record import Record
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["LinkDown", "LinkPool", "LinkUp", "ReplicaLink"]

#: Pause before another try to connect.
RECONNECT_MS = 100
#: Addresses that one replica connects to, at most.
MAX_LINKS = 64


class LinkUp(Record):
    """Tell that a replica was reached, and what it said of itself."""

    __slots__ = ("outbox", "state")


class LinkDown(Record):
    """Tell that a replica is no longer reached by a link."""

    __slots__ = ("identity", "outbox")


class ReplicaLink:
    """Connect to one address again and again, and send what waits."""

    __slots__ = ("_address", "_events", "_heartbeat_ms", "_hello", "_timeout_ms")

    def __init__(self, *, address, hello, events, heartbeat_ms, timeout_ms):
        self._address = address
        self._hello = hello
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms

    async def run(self):
        """Keep the link up for ever."""
        while True:
            try:
                stream = await connect(self._address, timeout_ms=self._timeout_ms)
            except KnapweeddealError:
                await curio.sleep(RECONNECT_MS / 1000)
                continue
            try:
                await self._use(stream)
            except KnapweeddealError:
                await curio.sleep(RECONNECT_MS / 1000)
            finally:
                await stream.close()

    async def _use(self, stream):
        await stream.send_all(self._hello())
        hello = await self._receive(stream)
        state = await self._receive(stream)
        if not isinstance(hello, ReplicaHello) or not isinstance(state, ReplicaState):
            raise StreamClosedError("not a control replica")
        outbox = Outbox()
        await self._events.put(LinkUp(state=state, outbox=outbox))
        try:
            await self._carry(stream, outbox)
        finally:
            await self._events.put(LinkDown(identity=hello.identity, outbox=outbox))

    async def _carry(self, stream, outbox):
        await run_until_first(
            outbox.send_queued_to(stream),
            outbox.queue_heartbeats(self._heartbeat_ms),
            self._listen(stream, outbox),
        )

    async def _listen(self, stream, outbox):
        """Expect echoes of heartbeats; silence raises StreamClosedError."""
        while True:
            message = await self._receive(stream)
            if isinstance(message, ReplicaState):
                await self._events.put(LinkUp(state=message, outbox=outbox))

    async def _receive(self, stream):
        return await stream.receive_within(self._timeout_ms)


class LinkPool:
    """Keep one link to each address; `hello` gives what opens a stream."""

    __slots__ = ("_events", "_heartbeat_ms", "_tasks", "_timeout_ms", "hello")

    def __init__(self, *, events, heartbeat_ms, timeout_ms):
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms
        self._tasks = {}
        self.hello = None

    async def connect_to(self, address):
        """Keep a link to an address from now on."""
        if address in self._tasks or len(self._tasks) >= MAX_LINKS:
            return
        link = ReplicaLink(
            address=address,
            hello=self.hello,
            events=self._events,
            heartbeat_ms=self._heartbeat_ms,
            timeout_ms=self._timeout_ms,
        )
        self._tasks[address] = await curio.spawn(link.run, daemon=True)

    async def close(self):
        """End all links."""
        for task in self._tasks.values():
            await task.cancel()
