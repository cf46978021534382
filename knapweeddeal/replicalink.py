"""knapweeddeal.replicalink: A stream on which one replica sends to another."""

import collections
import contextlib

import curio

from knapweeddeal.errors import KnapweeddealError, StreamClosedError
from knapweeddeal.messages.control import ReplicaHello
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.stream import connect

__all__ = ["LinkDown", "LinkPool", "LinkUp", "Outbox", "ReplicaLink"]

#: Messages that wait for one replica; more are dropped, as the log sends again.
MAX_WAITING = 1_000
#: Pause before another try to connect.
RECONNECT_MS = 100
#: Addresses that one replica connects to, at most.
MAX_LINKS = 64


class Outbox:
    """Keep messages for one sending task; the newest are dropped when full."""

    __slots__ = ("_event", "_messages")

    def __init__(self):
        self._messages = collections.deque()
        self._event = curio.Event()

    async def put(self, message):
        """Add a message if there is room."""
        if len(self._messages) < MAX_WAITING:
            self._messages.append(message)
        await self._event.set()

    async def take(self):
        """Wait for messages and return them all."""
        await self._event.wait()
        self._event.clear()
        messages = list(self._messages)
        self._messages.clear()
        return messages


class LinkUp:
    """Tell that a replica was reached, and what it said of itself."""

    __slots__ = ("outbox", "state")

    def __init__(self, *, state, outbox):
        self.state = state
        self.outbox = outbox


class LinkDown:
    """Tell that a replica is no longer reached by a link."""

    __slots__ = ("identity", "outbox")

    def __init__(self, *, identity, outbox):
        self.identity = identity
        self.outbox = outbox


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
            except (KnapweeddealError, curio.TaskTimeout):
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
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_until_closed, self._send, stream, outbox)
            await group.spawn(_until_closed, self._beat, outbox)
            await group.spawn(_until_closed, self._listen, stream, outbox)

    async def _send(self, stream, outbox):
        while True:
            messages = await outbox.take()
            async with curio.timeout_after(self._timeout_ms / 1000):
                await stream.send_all(messages)

    async def _beat(self, outbox):
        while True:
            await curio.sleep(self._heartbeat_ms / 1000)
            await outbox.put(Heartbeat())

    async def _listen(self, stream, outbox):
        """Expect echoes of heartbeats; silence raises TaskTimeout."""
        while True:
            message = await self._receive(stream)
            if isinstance(message, ReplicaState):
                await self._events.put(LinkUp(state=message, outbox=outbox))

    async def _receive(self, stream):
        async with curio.timeout_after(self._timeout_ms / 1000):
            return await stream.receive()


class LinkPool:
    """Keep one link to each address; `hello` gives what opens a stream."""

    __slots__ = ("_events", "_heartbeat_ms", "_tasks", "_timeout_ms", "hello")

    def __init__(self, *, events, heartbeat_ms, timeout_ms):
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms
        self._tasks = {}
        self.hello = None

    async def dial(self, address):
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


async def _until_closed(work, *arguments):
    """Run a task of a stream until the stream ends or falls silent."""
    with contextlib.suppress(KnapweeddealError, curio.TaskTimeout):
        await work(*arguments)
