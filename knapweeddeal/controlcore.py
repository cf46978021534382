"""knapweeddeal.controlcore: The task that owns a control replica and its folder."""

import random
import secrets
from functools import singledispatchmethod

import curio

from knapweeddeal.clock import monotonic_ms, monotonic_us, wall_ms
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensus import Node
from knapweeddeal.controlcluster import ControlCluster
from knapweeddeal.controlevents import (
    EntryFlows,
    EntryGone,
    EntryRequest,
    OperatorRequest,
    PeerMessage,
    SeedsChanged,
    StopRequest,
)
from knapweeddeal.controlreplica import ControlReplica
from knapweeddeal.disk import retry_until_done
from knapweeddeal.errors import BadMessageError, KnapweeddealError
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import (
    AppendRequest,
    ConfigurationPush,
    InstallSnapshotRequest,
    Replica,
    ReplicaHello,
)
from knapweeddeal.messages.packets import ReplicaNotice
from knapweeddeal.messages.replication import InitialMembership, ReplicaState
from knapweeddeal.packethub import ReplicatedStateChanged
from knapweeddeal.replicalink import LinkDown, LinkUp
from knapweeddeal.replicareconciler import ReplicaReconciler

__all__ = ["ControlCore", "local_replica"]

log = Log(prefix="control")

#: Heartbeats of the leader in one election timeout, at least.
HEARTBEATS_PER_ELECTION = 5
#: Time between reports to the hub while nothing changes.
HUB_MS = 400
#: Events that one step takes before it writes and sends.
MAX_EVENTS = 256


class ControlCore:
    """Take events, persist what they lead to, then send, apply and answer."""

    __slots__ = (
        "_cluster",
        "_entries",
        "_events",
        "_folder",
        "_reconciler",
        "_hub_events",
        "_hub_ms",
        "_links",
        "_next_call_id",
        "_own",
        "_pushed_version",
        "_replica",
        "_replies",
        "_settings",
        "_stop_ms",
        "_told_hub",
        "_told_leader",
        "_told_members",
    )

    def __init__(self, *, settings, folder, events, links, hub_events):
        self._settings = settings
        self._folder = folder
        self._events = events
        self._links = links
        self._hub_events = hub_events
        self._own = local_replica(settings, folder)
        self._replica = self._make_replica()
        self._cluster = ControlCluster(
            own=self._own,
            node=self._replica.node,
            folder=folder,
            listed=settings.control if settings.may_found else (),
        )
        self._reconciler = ReplicaReconciler(tolerated_losses=settings.tolerated_losses)
        #: Versions that entries applied, by the outbox for pushes.
        self._entries = {}
        #: Queues for operators' answers, by ask id.
        self._replies = {}
        self._next_call_id = 1
        self._pushed_version = 0
        self._stop_ms = 0
        self._told_leader = None
        self._told_members = set()
        #: What the hub was told last, and when it is told again.
        self._told_hub = None
        self._hub_ms = 0

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
    def identity(self):
        """Return the identity of this replica's folder."""
        return self._own.identity

    @property
    def metrics(self):
        """Return the counters and latencies of this replica."""
        return self._replica.metrics

    @property
    def cluster(self):
        """Return the cluster that the folder belongs to, or 0."""
        return self._cluster.cluster

    def hello(self):
        """Return what opens a stream between replicas."""
        hello = ReplicaHello(name=self._own.name, identity=self._own.identity)
        return (hello, self.state_message())

    def state_message(self):
        """Return what this replica tells others of itself."""
        return self._cluster.state_message()

    def add_dump_section(self, name, section):
        """Let the dump show what a function returns."""
        self._replica.dump_sections[name] = section

    # The loop.

    async def run(self):
        """Take events until a planned stop is done."""
        self._cluster.bind()
        log.info(
            "started",
            name=self._own.name,
            identity=f"{self._own.identity:016x}",
            last_index=self._replica.node.log.last_index,
        )
        await self._dial(self._settings.control.values())
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
            await self._take(event)
            taken += 1
            if self._events.empty() or taken >= MAX_EVENTS:
                break
            event = await self._events.get()
        self._replica.tick(monotonic_ms())
        self._cluster.bootstrap_if_ready()
        await self._flush()
        await self._persist_commit_index()
        await self._report()
        await self._heal()
        await self._dial_members()
        await self._tell_hub()

    async def _dial(self, addresses):
        for address in addresses:
            if address != (self._own.host, self._own.port):
                await self._links.connect_to(address)

    async def _dial_members(self):
        members = set(self._replica.node.log.replicas)
        if members != self._told_members:
            self._told_members = members
            names = sorted(replica.name for replica in members)
            log.info("members", members=names)
            await self._dial((replica.host, replica.port) for replica in members)

    async def _heal(self):
        """Let candidates join and lost members leave, one at a time."""
        node = self._replica.node
        if not self._settings.heals_itself or node.leader != self._own.identity:
            return
        record = self._reconciler.step(node, self._replica.connected, monotonic_ms())
        if record is None:
            return
        try:
            node.propose_membership(record)
        except KnapweeddealError as error:
            log.info("can't change members now", error=error.describe())
            return
        log.info("changes members", members=[r.name for r in record.replicas])
        await self._flush()

    async def _tell_hub(self):
        replica, now_ms = self._replica, monotonic_ms()
        told = (replica.state.packets, bool(replica.node.leader))
        if told == self._told_hub and now_ms < self._hub_ms:
            return
        self._told_hub = told
        self._hub_ms = now_ms + HUB_MS
        packets, current = told
        connected = replica.connected.values()
        members = [*replica.node.log.replicas, *connected, self._own]
        await self._hub_events.put(
            ReplicatedStateChanged(
                configuration=packets,
                current=current,
                replicas=list({(r.host, r.port): r for r in members}.values()),
            )
        )

    async def _flush(self):
        replica = self._replica
        while True:
            ready = replica.node.pop_ready()
            if not ready:
                break
            await self._send(ready.before_sync)
            if ready.must_persist():
                await self._persist(ready)
            await self._send(ready.after_sync)
            replica.apply(ready)
        await self._answer()
        await self._push()
        await self._snapshot()
        await self._cluster.bind_after_bootstrap()

    async def _persist(self, ready):
        replica = self._replica
        began_us = monotonic_us()
        commit_index = replica.node.commit_index
        await retry_until_done(_persist, self._folder, ready, commit_index)
        replica.node.persisted(ready)
        replica.metrics.record_us("persist", monotonic_us() - began_us)

    async def _send(self, envelopes):
        for envelope in envelopes:
            outbox = self._cluster.outbox(envelope.to)
            if outbox is not None:
                await outbox.offer(envelope.message)

    async def _answer(self):
        for answer in self._replica.pop_answers():
            reply = self._replies.pop(answer.call_id, None)
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
        snapshot = self._replica.take_snapshot(self._folder.log_size_bytes())
        if snapshot is None:
            return
        node = self._replica.node
        after = node.log.slice(snapshot.last_index + 1, node.log.last_index)
        await retry_until_done(self._folder.set_snapshot, snapshot, after)
        self._replica.metrics.count("snapshots")
        log.info("wrote a snapshot", last_index=snapshot.last_index)

    async def _persist_commit_index(self):
        """Keep what is committed, for a restart without a quorum, when idle."""
        commit_index = self._replica.node.commit_index
        if commit_index > self._folder.commit_index and self._events.empty():
            await retry_until_done(self._folder.persist_commit_index, commit_index)

    async def _report(self):
        node = self._replica.node
        if node.leader != self._told_leader:
            self._told_leader = node.leader
            log.info("leader", leader=self._replica.leader_name(), term=node.term)
        report = self._replica.take_report()
        outbox = self._cluster.outbox(node.leader)
        if report is not None and outbox is not None:
            await outbox.offer(report)

    # Events.

    @singledispatchmethod
    async def _take(self, event):
        raise TypeError(event)

    @_take.register
    async def _(self, event: LinkUp):
        state = event.state
        if self._cluster.is_foreign(state.cluster):
            log.warning("meets a foreign group", replica=state.replica.name)
            return
        self._cluster.link_up(event)
        self._replica.peer_connected(state.replica)
        for report in self._replica.flow_counts.local_reports():
            await event.outbox.offer(report)
        await self._cluster.send_initial_membership(state)

    @_take.register
    async def _(self, event: LinkDown):
        if self._cluster.outbox(event.identity) is event.outbox:
            self._cluster.link_down(event.identity)
            self._replica.peer_disconnected(event.identity)

    @_take.register
    async def _(self, event: PeerMessage):
        if self._cluster.is_foreign(event.cluster):
            return
        try:
            await self._take_peer(event.message, event)
        except BadMessageError as error:
            log.warning("drops a message", error=error.describe())

    @_take.register
    async def _(self, event: OperatorRequest):
        call_id = self._next_call_id
        self._next_call_id += 1
        self._replies[call_id] = event.reply
        self._replica.submit(call_id, event.message, monotonic_ms(), wall_ms())

    @_take.register
    async def _(self, event: EntryRequest):
        applied = event.message.applied_version
        self._entries[event.outbox] = applied
        self._replica.entries.record_report(event.message, monotonic_ms())
        self._replica.flow_counts.mark_alive(event.message.name, now_ms=monotonic_ms())
        configuration = self._replica.state.configuration
        if configuration.version > applied:
            await event.outbox.offer(ConfigurationPush(configuration=configuration))

    @_take.register
    async def _(self, event: EntryFlows):
        report = event.message
        self._replica.flow_counts.record_local(report, now_ms=monotonic_ms())
        for outbox in self._cluster.outboxes():
            await outbox.offer(report)

    @_take.register
    async def _(self, event: EntryGone):
        self._entries.pop(event.outbox, None)

    @_take.register
    async def _(self, event: SeedsChanged):
        await self._dial(event.addresses)

    @_take.register
    async def _(self, _event: StopRequest):
        """Hand leadership over, and stop when that is done or takes too long."""
        if self._stop_ms:
            return
        handed = self._replica.node.transfer()
        timeout_ms = self._settings.stop_ms if handed else 0
        self._stop_ms = monotonic_ms() + timeout_ms

    # Messages of replicas of the same cluster.

    @singledispatchmethod
    async def _take_peer(self, message, event):
        self._replica.receive(event.sender, message, monotonic_ms())

    @_take_peer.register
    async def _(self, message: ReplicaState, _event):
        """Connect to a replica that connected to this one."""
        await self._links.connect_to((message.replica.host, message.replica.port))

    @_take_peer.register
    async def _(self, message: ReplicaNotice, _event):
        await self._dial([(message.replica.host, message.replica.port)])

    @_take_peer.register
    async def _(self, message: InitialMembership, _event):
        self._cluster.accept_initial_membership(message)

    @_take_peer.register(AppendRequest)
    @_take_peer.register(InstallSnapshotRequest)
    async def _(self, message, event):
        await self._cluster.join(event.cluster)
        self._replica.receive(event.sender, message, monotonic_ms())


def local_replica(settings, folder):
    """Return the replica that this process is."""
    host, port = settings.control.get(settings.name, settings.listen)
    return Replica(name=settings.name, identity=folder.identity, host=host, port=port)


def _persist(folder, ready, commit_index):
    """Sync what a Ready holds; runs in a thread."""
    if ready.state is not None:
        folder.set_state(ready.state)
    if ready.snapshot is not None:
        folder.set_snapshot(ready.snapshot, ready.records)
    elif ready.records:
        folder.append(ready.records, commit_index=commit_index)
