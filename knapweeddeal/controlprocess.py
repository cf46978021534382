"""knapweeddeal.controlprocess: The tasks of a control replica."""

import contextlib
import functools
import os
import random
import secrets
import signal

import curio
from curio import socket

from knapweeddeal.clock import monotonic_ms, wall_ms
from knapweeddeal.configurationstate import ConfigurationState, failure_answer
from knapweeddeal.consensus import Node
from knapweeddeal.consensuslog import unpack_membership
from knapweeddeal.controlreplica import ControlReplica
from knapweeddeal.errors import (
    BadMessageError,
    KnapweeddealError,
    StreamClosedError,
)
from knapweeddeal.formation import Formation, cluster_of
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import (
    ConfigurationAsk,
    ConfigurationPush,
    Replica,
    ReplicaHello,
)
from knapweeddeal.messages.peer import PeerHello
from knapweeddeal.messages.replication import Founding, ReplicaState
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.replicalink import LinkDown, LinkUp, Outbox, ReplicaLink
from knapweeddeal.storage import DataFolder
from knapweeddeal.stream import serve

__all__ = ["run"]

log = Log(prefix="control")

#: Heartbeats of the leader in one election timeout, at least.
HEARTBEATS_PER_ELECTION = 5
#: Events that one step of the core takes before it writes and sends.
MAX_EVENTS = 256
#: Events that wait for the core; streams that bring more wait themselves.
MAX_WAITING_EVENTS = 4_096


async def run(settings):
    """Run a control replica until SIGTERM; raise CorruptStorageError or others."""
    core = Core(settings=settings)
    try:
        await core.run()
    finally:
        core.close()


class PeerMessage:
    """Carry a message from another replica."""

    __slots__ = ("cluster", "message", "sender")

    def __init__(self, *, sender, cluster, message):
        self.sender = sender
        self.cluster = cluster
        self.message = message


class OperatorAsk:
    """Carry an operator's ask and the queue for its answer."""

    __slots__ = ("message", "reply")

    def __init__(self, *, message, reply):
        self.message = message
        self.reply = reply


class EntryAsk:
    """Carry what an entry applied, and the outbox for pushes to it."""

    __slots__ = ("message", "outbox")

    def __init__(self, *, message, outbox):
        self.message = message
        self.outbox = outbox


class EntryGone:
    """Tell that an entry's stream ended."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox):
        self.outbox = outbox


class StopAsk:
    """Ask for a planned stop."""

    __slots__ = ()


class Core:
    """Own the replica, its data folder and its links; all else sends it events."""

    def __init__(self, *, settings):
        self._settings = settings
        self._folder = DataFolder(path=settings.data_folder, mint=_mint_identity)
        if self._folder.cut_bytes:
            log.warning("cut a torn tail", bytes=self._folder.cut_bytes)
        host, port = settings.control.get(settings.name, settings.listen)
        self._own = Replica(
            name=settings.name, identity=self._folder.identity, host=host, port=port
        )
        self._replica = self._make_replica()
        self._formation = Formation(own=self._own, listed=settings.control)
        self._events = curio.Queue(MAX_WAITING_EVENTS)
        self._links = {}
        self._dialed = set()
        self._states = {}
        self._entries = {}
        self._replies = {}
        self._next_ask = 1
        self._pushed_version = 0
        self._stop_ms = 0
        self._tasks = curio.TaskGroup()
        self._told_leader = None

    def _make_replica(self):
        settings, folder = self._settings, self._folder
        heartbeat_ms = settings.election_ms // HEARTBEATS_PER_ELECTION
        now_ms = monotonic_ms()
        node = Node(
            identity=folder.identity,
            state=folder.state,
            snapshot=folder.snapshot,
            records=folder.records,
            random=random.Random(secrets.randbits(64)),
            now_ms=now_ms,
            election_ms=settings.election_ms,
            heartbeat_ms=max(1, min(settings.heartbeat_ms, heartbeat_ms)),
        )
        return ControlReplica(
            own=self._own,
            node=node,
            state=ConfigurationState(),
            election_ms=settings.election_ms,
            plan_life_ms=settings.plan_life_ms,
            now_ms=now_ms,
        )

    def close(self):
        """Close the files."""
        self._folder.close()

    async def run(self):
        """Take events until a planned stop is done."""
        self._bind_cluster()
        log.info(
            "started",
            name=self._own.name,
            identity=f"{self._own.identity:016x}",
            last_index=self._replica.node.log.last_index,
        )
        async with self._tasks as tasks:
            await tasks.spawn(serve, self._settings.listen, self._take_stream)
            await tasks.spawn(self._watch_signals)
            for name, address in self._settings.control.items():
                if name != self._own.name:
                    await self._dial(address)
            while not self._has_stopped():
                await self._step()
            await tasks.cancel_remaining()
        log.info("stopped", name=self._own.name)

    def _has_stopped(self):
        if not self._stop_ms:
            return False
        leads = self._replica.node.leader == self._own.identity
        return not leads or monotonic_ms() >= self._stop_ms

    async def _watch_signals(self):
        reader, writer = socket.socketpair()
        os.set_blocking(writer.fileno(), False)
        signal.set_wakeup_fd(writer.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        await reader.recv(1)
        await self._events.put(StopAsk())

    # One step: events in, then persist, send, apply and answer.

    async def _step(self):
        wait_ms = max(self._replica.next_ms - monotonic_ms(), 0)
        event = await curio.ignore_after(wait_ms / 1000, self._events.get)
        taken = 0
        while event is not None:
            await _take(event, self)
            taken += 1
            if self._events.empty() or taken >= MAX_EVENTS:
                break
            event = await self._events.get()
        self._replica.tick(monotonic_ms())
        self._found()
        await self._flush()
        await self._report()

    async def _flush(self):
        replica = self._replica
        while True:
            ready = replica.node.take_ready()
            if not ready:
                break
            await self._send(ready.early)
            if ready.must_persist():
                await curio.run_in_thread(_persist, self._folder, ready)
                replica.node.persisted(ready)
            await self._send(ready.late)
            replica.apply(ready)
        await self._answer()
        await self._push()
        await self._snapshot()
        await self._settle_cluster()

    async def _send(self, envelopes):
        for envelope in envelopes:
            outbox = self._links.get(envelope.to)
            if outbox is not None:
                await outbox.put(envelope.message)

    async def _answer(self):
        for answer in self._replica.take_answers():
            reply = self._replies.pop(answer.ask_id, None)
            if reply is not None:
                await reply.put(answer.message)

    async def _push(self):
        configuration = self._replica.state.configuration
        if configuration.version == self._pushed_version:
            return
        self._pushed_version = configuration.version
        for outbox, applied in self._entries.items():
            if applied < configuration.version:
                await outbox.put(ConfigurationPush(configuration=configuration))

    async def _snapshot(self):
        snapshot = self._replica.take_snapshot()
        if snapshot is None:
            return
        node = self._replica.node
        after = node.log.slice(snapshot.last_index + 1, node.log.last_index)
        await curio.run_in_thread(self._folder.set_snapshot, snapshot, after)
        log.info("wrote a snapshot", last_index=snapshot.last_index)

    async def _report(self):
        node = self._replica.node
        if node.leader != self._told_leader:
            self._told_leader = node.leader
            log.info("leader", leader=self._replica.leader_name(), term=node.term)
        report = self._replica.take_report()
        outbox = self._links.get(node.leader)
        if report is not None and outbox is not None:
            await outbox.put(report)

    # The group of replicas.

    def _bind_cluster(self):
        """Derive the group's id if a crash came between record and id."""
        if not self._folder.cluster and self._folder.records:
            membership = unpack_membership(self._folder.records[0])
            self._folder.set_cluster(cluster_of(membership.replicas))

    def _found(self):
        node = self._replica.node
        if self._folder.cluster or node.log.last_index:
            return
        founding = self._formation.founding()
        if founding is not None:
            log.info("founds a group", cluster=f"{founding.cluster:016x}")
            node.found(founding.replicas)

    async def _settle_cluster(self):
        """Bind the folder to its group after the first record was synced."""
        node = self._replica.node
        if self._folder.cluster or not node.log.last_index or node.log.base_index:
            return
        founders = node.log.replicas_at(1)
        await curio.run_in_thread(self._folder.set_cluster, cluster_of(founders))
        for outbox in self._links.values():
            await outbox.put(self._state_message())
        for state in list(self._states.values()):
            await self._offer_founding(state)

    async def _offer_founding(self, state):
        node = self._replica.node
        if state.cluster or not self._folder.cluster or node.log.base_index:
            return
        founders = list(node.log.replicas_at(1))
        outbox = self._links.get(state.replica.identity)
        if outbox is not None and state.replica in founders:
            await outbox.put(Founding(cluster=self._folder.cluster, replicas=founders))

    def _is_foreign(self, cluster):
        own = self._folder.cluster
        return bool(own and cluster and own != cluster)

    def _state_message(self):
        return ReplicaState(
            replica=self._own,
            cluster=self._folder.cluster,
            listed=sorted(self._settings.control),
        )

    def _hello(self):
        hello = ReplicaHello(name=self._own.name, identity=self._own.identity)
        return (hello, self._state_message())

    async def _dial(self, address):
        if address in self._dialed:
            return
        self._dialed.add(address)
        link = ReplicaLink(
            address=address,
            hello=self._hello,
            events=self._events,
            heartbeat_ms=self._settings.heartbeat_ms,
            timeout_ms=self._settings.stream_timeout_ms,
        )
        await self._tasks.spawn(link.run)

    # Events.

    async def on_link_up(self, event):
        """Use a link to a replica of the same group."""
        state = event.state
        identity = state.replica.identity
        if self._is_foreign(state.cluster):
            log.warning("meets a foreign group", replica=state.replica.name)
            return
        self._links[identity] = event.outbox
        self._states[identity] = state
        self._formation.heard(state)
        self._replica.peer_connected(state.replica)
        await self._offer_founding(state)

    def on_link_down(self, event):
        """Stop using a link."""
        if self._links.get(event.identity) is event.outbox:
            del self._links[event.identity]
            del self._states[event.identity]
            self._formation.gone(event.identity)
            self._replica.peer_gone(event.identity)

    async def on_peer_message(self, event):
        """Take a message from a replica of the same group."""
        if self._is_foreign(event.cluster):
            return
        if isinstance(event.message, ReplicaState):
            replica = event.message.replica
            await self._dial((replica.host, replica.port))
            return
        if isinstance(event.message, Founding):
            self._take_founding(event.message)
            return
        if event.cluster and not self._folder.cluster:
            await curio.run_in_thread(self._folder.set_cluster, event.cluster)
        self._replica.receive(event.sender, event.message, monotonic_ms())

    def _take_founding(self, founding):
        node = self._replica.node
        is_empty = not self._folder.cluster and not node.log.last_index
        if is_empty and self._own in founding.replicas:
            node.found(founding.replicas)

    def on_operator_ask(self, event):
        """Take an operator's ask."""
        ask_id = self._next_ask
        self._next_ask += 1
        self._replies[ask_id] = event.reply
        self._replica.ask(ask_id, event.message, monotonic_ms(), wall_ms())

    async def on_entry_ask(self, event):
        """Note what an entry applied, and push what is newer."""
        applied = event.message.applied_version
        self._entries[event.outbox] = applied
        self._replica.entries.heard(event.message, monotonic_ms())
        configuration = self._replica.state.configuration
        if configuration.version > applied:
            await event.outbox.put(ConfigurationPush(configuration=configuration))

    def on_entry_gone(self, event):
        """Stop pushing to an entry."""
        self._entries.pop(event.outbox, None)

    def on_stop(self):
        """Hand leadership over, and stop when that is done or takes too long."""
        if not self._stop_ms:
            self._stop_ms = monotonic_ms() + self._settings.stop_ms
            if not self._replica.node.transfer():
                self._stop_ms = monotonic_ms()

    # Streams that others opened; each runs as a task of its own.

    async def _take_stream(self, stream):
        try:
            first = await stream.receive()
            await _serve_stream(first, self, stream)
        except curio.TaskTimeout:
            return
        except KnapweeddealError as error:
            if isinstance(error, BadMessageError):
                log.warning("drops a stream", error=error.describe())

    async def serve_replica(self, hello, stream):
        """Take what another replica sends."""
        await stream.send_all(self._hello())
        cluster = 0
        while True:
            async with curio.timeout_after(self._settings.stream_timeout_ms / 1000):
                message = await stream.receive()
            if isinstance(message, Heartbeat):
                await stream.send_all((message, self._state_message()))
                continue
            if isinstance(message, ReplicaState):
                cluster = message.cluster
            event = PeerMessage(sender=hello.identity, cluster=cluster, message=message)
            await self._events.put(event)

    async def serve_entry(self, stream):
        """Take what an entry reports, and push to it."""
        outbox = Outbox()
        sender = await curio.spawn(_send_all, stream, outbox)
        try:
            while True:
                message = await stream.receive()
                if isinstance(message, ConfigurationAsk):
                    await self._events.put(EntryAsk(message=message, outbox=outbox))
                elif isinstance(message, Heartbeat):
                    await outbox.put(message)
        finally:
            await self._events.put(EntryGone(outbox=outbox))
            await sender.cancel()

    async def serve_operator(self, message, stream):
        """Answer one ask after another."""
        while True:
            reply = curio.Queue()
            await self._events.put(OperatorAsk(message=message, reply=reply))
            await stream.send(await reply.get())
            try:
                message = await stream.receive()
            except BadMessageError as error:
                await stream.send(failure_answer(error))
                raise


async def _send_all(stream, outbox):
    with contextlib.suppress(StreamClosedError):
        while True:
            await stream.send_all(await outbox.take())


@functools.singledispatch
async def _serve_stream(message, core, stream):
    await core.serve_operator(message, stream)


@_serve_stream.register
async def _(message: ReplicaHello, core, stream):
    await core.serve_replica(message, stream)


@_serve_stream.register
async def _(_message: PeerHello, core, stream):
    await core.serve_entry(stream)


@functools.singledispatch
async def _take(event, _core):
    raise TypeError(event)


@_take.register
async def _(event: LinkUp, core):
    await core.on_link_up(event)


@_take.register
async def _(event: LinkDown, core):
    core.on_link_down(event)


@_take.register
async def _(event: PeerMessage, core):
    await core.on_peer_message(event)


@_take.register
async def _(event: OperatorAsk, core):
    core.on_operator_ask(event)


@_take.register
async def _(event: EntryAsk, core):
    await core.on_entry_ask(event)


@_take.register
async def _(event: EntryGone, core):
    core.on_entry_gone(event)


@_take.register
async def _(_event: StopAsk, core):
    core.on_stop()


def _persist(folder, ready):
    """Sync what a Ready holds; runs in a thread."""
    if ready.state is not None:
        folder.set_state(ready.state)
    if ready.snapshot is not None:
        folder.set_snapshot(ready.snapshot, ready.records)
    elif ready.records:
        folder.append(ready.records)


def _mint_identity():
    return secrets.randbits(63) | 1
