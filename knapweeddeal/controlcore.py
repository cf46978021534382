"""knapweeddeal.controlcore: The task that owns a control replica and its folder."""

import functools
import random
import secrets

import curio

from knapweeddeal.clock import monotonic_ms, monotonic_us, wall_ms
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensus import Node
from knapweeddeal.consensuslog import unpack_membership
from knapweeddeal.controlevents import (
    EntryAsk,
    EntryFlows,
    EntryGone,
    OperatorAsk,
    PeerMessage,
    StopAsk,
)
from knapweeddeal.controlreplica import ControlReplica
from knapweeddeal.disk import in_thread
from knapweeddeal.errors import BadMessageError
from knapweeddeal.formation import Formation, cluster_of
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import (
    AppendAsk,
    ConfigurationPush,
    Replica,
    ReplicaHello,
    SnapshotAsk,
)
from knapweeddeal.messages.replication import Founding, ReplicaState
from knapweeddeal.replicalink import LinkDown, LinkUp

__all__ = ["Core"]

log = Log(prefix="control")

#: Heartbeats of the leader in one election timeout, at least.
HEARTBEATS_PER_ELECTION = 5
#: Events that one step takes before it writes and sends.
MAX_EVENTS = 256


class Core:
    """Take events, persist what they lead to, then send, apply and answer."""

    __slots__ = (
        "_entries",
        "_events",
        "_folder",
        "_formation",
        "_links",
        "_next_ask",
        "_outboxes",
        "_own",
        "_pushed_version",
        "_replica",
        "_replies",
        "_settings",
        "_states",
        "_stop_ms",
        "_told_leader",
    )

    def __init__(self, *, settings, folder, events, links):
        self._settings = settings
        self._folder = folder
        self._events = events
        self._links = links
        host, port = settings.control.get(settings.name, settings.listen)
        self._own = Replica(
            name=settings.name, identity=folder.identity, host=host, port=port
        )
        self._replica = self._make_replica()
        self._formation = Formation(own=self._own, listed=settings.control)
        self._outboxes = {}
        self._states = {}
        self._entries = {}
        self._replies = {}
        self._next_ask = 1
        self._pushed_version = 0
        self._stop_ms = 0
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
            commit_index=folder.commit_index,
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

    # Queries.

    @property
    def cluster(self):
        """Return the group that the folder belongs to, or 0."""
        return self._folder.cluster

    def hello(self):
        """Return what opens a stream between replicas."""
        hello = ReplicaHello(name=self._own.name, identity=self._own.identity)
        return (hello, self.state_message())

    def state_message(self):
        """Return what this replica tells others of itself."""
        return ReplicaState(
            replica=self._own,
            cluster=self._folder.cluster,
            listed=sorted(self._settings.control),
        )

    # The loop.

    async def run(self):
        """Take events until a planned stop is done."""
        self._bind_cluster()
        log.info(
            "started",
            name=self._own.name,
            identity=f"{self._own.identity:016x}",
            last_index=self._replica.node.log.last_index,
        )
        for name, address in self._settings.control.items():
            if name != self._own.name:
                await self._links.dial(address)
        while not self._has_stopped():
            await self._step()
        log.info("stopped", name=self._own.name)

    def _has_stopped(self):
        if not self._stop_ms:
            return False
        leads = self._replica.node.leader == self._own.identity
        return not leads or monotonic_ms() >= self._stop_ms

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
        await self._note_commit()
        await self._report()

    async def _flush(self):
        replica = self._replica
        while True:
            ready = replica.node.take_ready()
            if not ready:
                break
            await self._send(ready.early)
            if ready.must_persist():
                await self._persist(ready)
            await self._send(ready.late)
            replica.apply(ready)
        await self._answer()
        await self._push()
        await self._snapshot()
        await self._settle_cluster()

    async def _persist(self, ready):
        replica = self._replica
        began_us = monotonic_us()
        commit_index = replica.node.commit_index
        await in_thread(_persist, self._folder, ready, commit_index)
        replica.node.persisted(ready)
        replica.metrics.record_us("persist", monotonic_us() - began_us)

    async def _send(self, envelopes):
        for envelope in envelopes:
            outbox = self._outboxes.get(envelope.to)
            if outbox is not None:
                await outbox.offer(envelope.message)

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
                await outbox.offer(ConfigurationPush(configuration=configuration))

    async def _snapshot(self):
        snapshot = self._replica.take_snapshot(self._folder.size_bytes())
        if snapshot is None:
            return
        node = self._replica.node
        after = node.log.slice(snapshot.last_index + 1, node.log.last_index)
        await in_thread(self._folder.set_snapshot, snapshot, after)
        self._replica.metrics.count("snapshots")
        log.info("wrote a snapshot", last_index=snapshot.last_index)

    async def _note_commit(self):
        """Keep what is committed, for a restart without a quorum, when idle."""
        commit_index = self._replica.node.commit_index
        if commit_index > self._folder.commit_index and self._events.empty():
            await in_thread(self._folder.note_commit, commit_index)

    async def _report(self):
        node = self._replica.node
        if node.leader != self._told_leader:
            self._told_leader = node.leader
            log.info("leader", leader=self._replica.leader_name(), term=node.term)
        report = self._replica.take_report()
        outbox = self._outboxes.get(node.leader)
        if report is not None and outbox is not None:
            await outbox.offer(report)

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
        await in_thread(self._folder.set_cluster, cluster_of(founders))
        for outbox in self._outboxes.values():
            await outbox.offer(self.state_message())
        for state in list(self._states.values()):
            await self._offer_founding(state)

    async def _offer_founding(self, state):
        node = self._replica.node
        if state.cluster or not self._folder.cluster or node.log.base_index:
            return
        founders = list(node.log.replicas_at(1))
        outbox = self._outboxes.get(state.replica.identity)
        if outbox is not None and state.replica in founders:
            founding = Founding(cluster=self._folder.cluster, replicas=founders)
            await outbox.offer(founding)

    def _is_foreign(self, cluster):
        own = self._folder.cluster
        return bool(own and cluster and own != cluster)

    # Events.

    async def on_link_up(self, event):
        """Use a link to a replica of the same group."""
        state = event.state
        identity = state.replica.identity
        if self._is_foreign(state.cluster):
            log.warning("meets a foreign group", replica=state.replica.name)
            return
        self._outboxes[identity] = event.outbox
        self._states[identity] = state
        self._formation.heard(state)
        self._replica.peer_connected(state.replica)
        for report in self._replica.flow_counts.own_reports():
            await event.outbox.offer(report)
        await self._offer_founding(state)

    def on_link_down(self, event):
        """Stop using a link."""
        if self._outboxes.get(event.identity) is event.outbox:
            del self._outboxes[event.identity]
            del self._states[event.identity]
            self._formation.gone(event.identity)
            self._replica.peer_gone(event.identity)

    async def on_peer_message(self, event):
        """Take a message from a replica of the same group."""
        if self._is_foreign(event.cluster):
            return
        try:
            await _take_peer(event.message, self, event)
        except BadMessageError as error:
            log.warning("drops a message", error=error.describe())

    async def on_replica_state(self, state):
        """Connect to a replica that connected to this one."""
        await self._links.dial((state.replica.host, state.replica.port))

    def on_founding(self, founding):
        """Take the first membership if this folder is empty and named in it."""
        node = self._replica.node
        is_empty = not self._folder.cluster and not node.log.last_index
        if is_empty and self._own in founding.replicas:
            node.found(founding.replicas)

    async def join_cluster(self, cluster):
        """Bind an empty folder to the group whose leader sends it records."""
        if cluster and not self._folder.cluster:
            await in_thread(self._folder.set_cluster, cluster)

    def on_consensus(self, event):
        """Take a message of the replicated log."""
        self._replica.receive(event.sender, event.message, monotonic_ms())

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
        self._replica.flow_counts.heard(event.message.name, now_ms=monotonic_ms())
        configuration = self._replica.state.configuration
        if configuration.version > applied:
            await event.outbox.offer(ConfigurationPush(configuration=configuration))

    async def on_entry_flows(self, event):
        """Take an entry's counted flows and pass them to every replica."""
        report = event.message
        self._replica.flow_counts.take(report, now_ms=monotonic_ms())
        for outbox in self._outboxes.values():
            await outbox.offer(report)

    def on_entry_gone(self, event):
        """Stop pushing to an entry."""
        self._entries.pop(event.outbox, None)

    def on_stop(self):
        """Hand leadership over, and stop when that is done or takes too long."""
        if self._stop_ms:
            return
        handed = self._replica.node.transfer()
        patience_ms = self._settings.stop_ms if handed else 0
        self._stop_ms = monotonic_ms() + patience_ms


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
async def _(event: EntryFlows, core):
    await core.on_entry_flows(event)


@_take.register
async def _(event: EntryGone, core):
    core.on_entry_gone(event)


@_take.register
async def _(_event: StopAsk, core):
    core.on_stop()


@functools.singledispatch
async def _take_peer(_message, core, event):
    core.on_consensus(event)


@_take_peer.register
async def _(message: ReplicaState, core, _event):
    await core.on_replica_state(message)


@_take_peer.register
async def _(message: Founding, core, _event):
    core.on_founding(message)


@_take_peer.register(AppendAsk)
@_take_peer.register(SnapshotAsk)
async def _(_message, core, event):
    await core.join_cluster(event.cluster)
    core.on_consensus(event)


def _persist(folder, ready, commit_index):
    """Sync what a Ready holds; runs in a thread."""
    if ready.state is not None:
        folder.set_state(ready.state)
    if ready.snapshot is not None:
        folder.set_snapshot(ready.snapshot, ready.records)
    elif ready.records:
        folder.append(ready.records, commit_index=commit_index)
