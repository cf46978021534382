"""knapweeddeal.controlstreams: Streams that a control replica accepts."""

import contextlib
import functools

import curio

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.controlevents import (
    EntryFlows,
    EntryGone,
    EntryRequest,
    OperatorRequest,
    PeerMessage,
)
from knapweeddeal.errors import (
    BadMessageError,
    KnapweeddealError,
    StreamClosedError,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.cold import (
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
    ColdGrantsNotice,
)
from knapweeddeal.messages.control import ConfigurationRequest, FlowCounts, ReplicaHello
from knapweeddeal.messages.loads import ServiceSums
from knapweeddeal.messages.operator import RefusalsRequest
from knapweeddeal.messages.packets import (
    AnswerCounts,
    ControlState,
    DirectoryAck,
    DirectoryBatch,
    Evacuations,
    ForwarderHello,
    PacketConfiguration,
    RoutesRequest,
)
from knapweeddeal.messages.peer import PeerHello, RefusalBatch
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.outbox import Outbox
from knapweeddeal.packetevents import (
    ForwarderDisconnected,
    ForwarderMessageReceived,
    ForwarderSubscribed,
    ReplicaMessageReceived,
)
from knapweeddeal.record import printed_name

__all__ = ["ControlStreams"]

log = Log(prefix="control")


class ControlStreams:
    """Serve streams from replicas, forwarders, entries and operators.

    The first message of a stream determines which of them opened it.
    """

    __slots__ = ("_core", "_events", "_hub_events", "_journal", "_timeout_ms")

    def __init__(self, *, core, events, hub_events, journal, timeout_ms):
        self._core = core
        self._hub_events = hub_events
        self._events = events
        self._journal = journal
        self._timeout_ms = timeout_ms

    async def serve_stream(self, stream):
        """Serve a stream until it ends."""
        try:
            first = await stream.receive()
            await _serve_first(first, self, stream)
        except BadMessageError as error:
            log.warning("dropped a stream", error=error.describe())
            with contextlib.suppress(StreamClosedError):
                await stream.send(failure_answer(error))
        except (KnapweeddealError, curio.TaskTimeout):
            return

    async def serve_replica(self, hello, stream):
        """Receive messages from another replica until the stream ends or times out."""
        await stream.send_all(self._core.hello())
        link = _ReplicaStream(
            hello=hello, stream=stream, sent_cluster=self._core.cluster
        )
        while True:
            async with curio.timeout_after(self._timeout_ms / 1000):
                message = await stream.receive()
            await _handle_replica(message, self, link)

    async def echo(self, message, link):
        """Echo a heartbeat, and send the state if the cluster id changed."""
        await link.stream.send(message)
        if link.sent_cluster != self._core.cluster:
            link.sent_cluster = self._core.cluster
            await link.stream.send(self._core.state_message())

    async def forward_to_core(self, message, link):
        """Forward a replica's message to the core."""
        await self._events.put(
            PeerMessage(
                sender=link.hello.identity, cluster=link.cluster, message=message
            )
        )

    def is_same_cluster(self, link):
        """Return whether a replica is of this cluster, or this one has joined none."""
        return self._core.cluster in (0, link.cluster)

    async def forward_to_hub(self, message):
        """Forward a replica's message about upstreams to the hub."""
        await self._hub_events.put(message)

    async def serve_forwarder(self, hello, stream):
        """Push to a forwarder until the stream ends or times out."""
        outbox = Outbox()
        sender = await curio.spawn(_send_queued, outbox, stream)
        await self._hub_events.put(ForwarderSubscribed(hello=hello, outbox=outbox))
        try:
            while True:
                message = await stream.receive_within(self._timeout_ms)
                event = ForwarderMessageReceived(message=message, outbox=outbox)
                await self._hub_events.put(event)
        finally:
            await self._hub_events.put(ForwarderDisconnected(outbox=outbox))
            await sender.cancel()

    async def serve_entry(self, stream):
        """Receive an entry's reports, and push configurations to it."""
        outbox = Outbox()
        sender = await curio.spawn(_send_queued, outbox, stream)
        try:
            while True:
                await self._handle_entry(await stream.receive(), outbox)
        finally:
            await self._events.put(EntryGone(outbox=outbox))
            await sender.cancel()

    @functools.singledispatchmethod
    async def _handle_entry(self, message, _outbox):
        raise BadMessageError(
            "message type not accepted by a control replica",
            field="message",
            value=printed_name(message),
        )

    @_handle_entry.register
    async def _(self, message: Heartbeat, outbox):
        await outbox.offer(message)

    @_handle_entry.register
    async def _(self, message: ConfigurationRequest, outbox):
        await self._events.put(EntryRequest(message=message, outbox=outbox))

    @_handle_entry.register
    async def _(self, message: FlowCounts, _outbox):
        await self._events.put(EntryFlows(message=message))

    @_handle_entry.register
    async def _(self, message: RefusalBatch, outbox):
        await self._journal.append(message, outbox)

    async def serve_operator(self, message, stream):
        """Answer requests one after another."""
        while True:
            await stream.send(await _answer(message, self))
            message = await stream.receive()

    async def submit_to_core(self, message):
        """Return the core's answer to a request."""
        reply = curio.Queue()
        await self._events.put(OperatorRequest(message=message, reply=reply))
        return await reply.get()

    async def find_refusals(self, message):
        """Return the answer to a query for refusals in the local journal."""
        return await self._journal.find(message)


class _ReplicaStream:
    """Hold the state of a stream from another replica."""

    __slots__ = ("cluster", "hello", "stream", "sent_cluster")

    def __init__(self, *, hello, stream, sent_cluster):
        self.hello = hello
        self.stream = stream
        self.sent_cluster = sent_cluster
        self.cluster = 0


async def _send_queued(outbox, stream):
    with contextlib.suppress(StreamClosedError):
        await outbox.send_queued_to(stream)


@functools.singledispatch
async def _serve_first(message, streams, stream):
    await streams.serve_operator(message, stream)


@_serve_first.register
async def _(message: ReplicaHello, streams, stream):
    await streams.serve_replica(message, stream)


@_serve_first.register
async def _(_message: PeerHello, streams, stream):
    await streams.serve_entry(stream)


@_serve_first.register
async def _(message: ForwarderHello, streams, stream):
    await streams.serve_forwarder(message, stream)


@functools.singledispatch
async def _handle_replica(message, streams, link):
    await streams.forward_to_core(message, link)


@_handle_replica.register
async def _(message: Heartbeat, streams, link):
    await streams.echo(message, link)


@_handle_replica.register
async def _(message: ReplicaState, streams, link):
    link.cluster = message.cluster
    await streams.forward_to_core(message, link)


@_handle_replica.register(AnswerCounts)
@_handle_replica.register(DirectoryBatch)
@_handle_replica.register(DirectoryAck)
@_handle_replica.register(ColdAllowanceRelay)
@_handle_replica.register(ColdAllowanceRelayAnswer)
@_handle_replica.register(ColdGrantsNotice)
@_handle_replica.register(ServiceSums)
async def _(message, streams, link):
    await streams.forward_to_hub(message)


@_handle_replica.register
async def _(message: Evacuations, streams, link):
    """Forward evacuations unless they are of another cluster's log."""
    if streams.is_same_cluster(link):
        await streams.forward_to_hub(message)


@_handle_replica.register(ControlState)
@_handle_replica.register(PacketConfiguration)
@_handle_replica.register(RoutesRequest)
async def _(message, streams, link):
    """Forward what concerns routes unless they are of another cluster's log."""
    if streams.is_same_cluster(link):
        await streams.forward_to_hub(
            ReplicaMessageReceived(message=message, sender=link.hello.identity)
        )


@functools.singledispatch
async def _answer(message, streams):
    return await streams.submit_to_core(message)


@_answer.register
async def _(message: RefusalsRequest, streams):
    return await streams.find_refusals(message)
