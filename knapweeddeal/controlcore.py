"""knapweeddeal.controlcore: The task that runs a replica and owns its data folder."""

import random
import secrets
from collections import deque
from functools import singledispatchmethod

import curio

from knapweeddeal.clock import monotonic_ms, monotonic_us, wall_ms
from knapweeddeal.commandrecords import encode_command
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensus import Node
from knapweeddeal.controlcluster import ControlCluster
from knapweeddeal.controlevents import (
    CommandsExecuted,
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
from knapweeddeal.messages.replication import (
    InitialMembership,
    MembershipRecord,
    NonvoterRecord,
    ReplicaState,
    StopNotice,
)
from knapweeddeal.packetevents import ReplicatedStateChanged
from knapweeddeal.plannedstop import PlannedStop
from knapweeddeal.replicalink import LinkDown, LinkUp
from knapweeddeal.replicareconciler import ReplicaReconciler

__all__ = ["ControlCore", "local_replica"]

log = Log(prefix="control")

#: Minimum number of leader heartbeats per election timeout.
HEARTBEATS_PER_ELECTION = 5
#: Interval between reports to the packet hub while nothing changes.
HUB_REPORT_INTERVAL_MS = 400
#: Maximum number of events handled before the results are persisted and sent.
MAX_EVENTS_PER_STEP = 256
#: Time for which a notice of a planned stop counts; it is repeated until the stop.
STOP_NOTICE_LIFE_MS = 1_000
#: Longest pause between checks whether a planned stop is complete.
STOP_CHECK_INTERVAL_MS = 50
#: Commands of more bytes are applied in a thread, as heartbeats can't wait for them.
MAX_BYTES_IN_LOOP = 64 * 1024


class ControlCore:
    """Run the event loop: handle events, persist, then send, apply and answer."""

    __slots__ = (
        "_cluster",
        "_applied_versions",
        "_events",
        "_folder",
        "_reconciler",
        "_hub_events",
        "_next_hub_report_ms",
        "_links",
        "_next_call_id",
        "_own_replica",
        "_pushed_version",
        "_replica",
        "_replies",
        "_settings",
        "_stop",
        "_stopping_until_ms",
        "_reported_hub_state",
        "_logged_leader",
        "_dialed_members",
        "_executing",
        "_unapplied",
    )

    def __init__(self, *, settings, folder, events, links, hub_events):
        self._settings = settings
        self._folder = folder
        self._events = events
        self._links = links
        self._hub_events = hub_events
        self._own_replica = local_replica(settings, folder)
        self._replica = self._make_replica()
        self._cluster = ControlCluster(
            own_replica=self._own_replica,
            node=self._replica.node,
            folder=folder,
            listed=settings.control if settings.may_found else (),
        )
        self._reconciler = ReplicaReconciler(tolerated_losses=settings.tolerated_losses)
        #: Configuration version that each connected entry has applied, by its outbox.
        self._applied_versions = {}
        #: Queues for answers to operators, by call id.
        self._replies = {}
        self._next_call_id = 1
        self._pushed_version = 0
        #: The `PlannedStop` in progress, or None.
        self._stop = None
        #: Until when other replicas count as stopping, by identity.
        self._stopping_until_ms = {}
        self._logged_leader = None
        self._dialed_members = set()
        #: Each Ready that is persisted and sent but not applied, in order, and whether
        #: a thread applies the first one.
        self._unapplied = deque()
        self._executing = False
        #: Last state reported to the hub, and the time of the next report.
        self._reported_hub_state = None
        self._next_hub_report_ms = 0

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
            own_replica=self._own_replica,
            node=node,
            state=ConfigurationState(),
            election_ms=settings.election_ms,
            plan_life_ms=settings.plan_life_ms,
            zones=settings.zones,
            now_ms=now_ms,
        )

    # Queries.

    @property
    def identity(self):
        """Return the identity of this replica's folder."""
        return self._own_replica.identity

    @property
    def metrics(self):
        """Return the counters and latencies of this replica."""
        return self._replica.metrics

    @property
    def cluster(self):
        """Return the id of the cluster that the folder belongs to, or 0."""
        return self._cluster.cluster

    @property
    def packets(self):
        """Return the packet routes in force, as far as this replica has applied."""
        return self._replica.state.packets

    def check_leader(self):
        """Raise NotLeaderError if another replica is known to lead."""
        self._replica.check_leader()

    def hello(self):
        """Return the messages that open a stream to another replica."""
        hello = ReplicaHello(
            name=self._own_replica.name, identity=self._own_replica.identity
        )
        return (hello, self.state_message())

    def state_message(self):
        """Return the message that describes this replica to other replicas."""
        return self._cluster.state_message()

    def add_dump_section(self, name, section):
        """Add a section to the dump; `section` is called for its content."""
        self._replica.dump_sections[name] = section

    # The loop.

    async def run(self):
        """Handle events until a planned stop is complete."""
        self._cluster.bind()
        log.info(
            "started",
            name=self._own_replica.name,
            identity=f"{self._own_replica.identity:016x}",
            last_index=self._replica.node.log.last_index,
        )
        await self._dial(self._settings.control.values())
        while self._stop is None or not self._stop.is_complete(monotonic_ms()):
            await self._step()
        log.info("stopped", name=self._own_replica.name)

    async def _step(self):
        wait_ms = max(self._replica.next_ms - monotonic_ms(), 0)
        if self._stop is not None:
            wait_ms = min(wait_ms, STOP_CHECK_INTERVAL_MS)
        event = await curio.ignore_after(wait_ms / 1000, self._events.get)
        handled = 0
        while event is not None:
            await self._handle(event)
            handled += 1
            if self._events.empty() or handled >= MAX_EVENTS_PER_STEP:
                break
            event = await self._events.get()
        self._replica.tick(monotonic_ms())
        self._cluster.bootstrap_if_ready()
        await self._flush()
        await self._persist_commit_index()
        await self._report_to_leader()
        await self._reconcile_members()
        await self._announce_stop()
        await self._dial_members()
        await self._report_to_hub()

    async def _dial(self, addresses):
        for address in addresses:
            if address != (self._own_replica.host, self._own_replica.port):
                await self._links.connect_to(address)

    async def _dial_members(self):
        members = frozenset(self._replica.node.log.replicas)
        nonvoters = frozenset(self._replica.state.nonvoters) - members
        if (members, nonvoters) != self._dialed_members:
            self._dialed_members = (members, nonvoters)
            log.info(
                "membership changed",
                members=sorted(replica.name for replica in members),
                nonvoters=sorted(replica.name for replica in nonvoters),
            )
            known = members | nonvoters
            addresses = frozenset((replica.host, replica.port) for replica in known)
            self._links.members = addresses
            await self._dial(addresses)

    async def _announce_stop(self):
        """Ask the leader, whichever replica that is, to remove this member."""
        if self._stop is None or not self._stop.pop_notice_due(monotonic_ms()):
            return
        for outbox in self._cluster.outboxes():
            await outbox.offer(StopNotice())

    def _stopping(self, now_ms):
        """Return the identities of the replicas that stop as planned."""
        self._stopping_until_ms = {
            identity: until_ms
            for identity, until_ms in self._stopping_until_ms.items()
            if now_ms < until_ms
        }
        return self._stopping_until_ms.keys()

    async def _reconcile_members(self):
        """Propose to add a candidate or remove a lost member, one at a time."""
        replica, reconciler, now_ms = self._replica, self._reconciler, monotonic_ms()
        node, connected, state = replica.node, replica.connected, replica.state
        if not self._settings.heals_itself:
            return
        is_leader = node.leader == self._own_replica.identity
        if not is_leader or self._unapplied:
            # A leader whose state lags doesn't know what is in force.
            reconciler.observe(node, connected, now_ms, state.nonvoters)
            return
        record = reconciler.step(
            node,
            connected,
            now_ms,
            nonvoters=state.nonvoters,
            stopping=self._stopping(now_ms),
        )
        if record is None:
            return
        try:
            self._propose(record)
        except KnapweeddealError as error:
            log.info("could not propose a membership change", error=error.describe())
            return
        await self._flush()

    @singledispatchmethod
    def _propose(self, record):
        raise TypeError(record)

    @_propose.register
    def _(self, record: MembershipRecord):
        replica = self._replica
        members = replica.node.log.replicas
        reachable = replica.connected.keys() | {self._own_replica.identity}
        replica.node.propose_membership(record)
        log.info(
            "proposed a membership change",
            members=[r.name for r in record.replicas],
            unreachable=[r.name for r in members if r.identity not in reachable],
        )

    @_propose.register
    def _(self, record: NonvoterRecord):
        self._replica.node.propose_optional(encode_command(record).data)
        log.info("proposed nonvoters", nonvoters=[r.name for r in record.replicas])

    async def _report_to_hub(self):
        replica, now_ms = self._replica, monotonic_ms()
        state = replica.state
        hub_state = (state.packets, state.evacuations, bool(replica.node.leader))
        if hub_state == self._reported_hub_state and now_ms < self._next_hub_report_ms:
            return
        self._reported_hub_state = hub_state
        self._next_hub_report_ms = now_ms + HUB_REPORT_INTERVAL_MS
        packets, evacuations, current = hub_state
        connected = replica.connected.values()
        members = [
            *state.nonvoters,
            *replica.node.log.replicas,
            *connected,
            self._own_replica,
        ]
        await self._hub_events.put(
            ReplicatedStateChanged(
                configuration=packets,
                evacuations=evacuations,
                current=current,
                replicas=list({(r.host, r.port): r for r in members}.values()),
            )
        )

    async def _flush(self):
        replica = self._replica
        await self._apply()
        while True:
            ready = replica.node.pop_ready()
            if not ready:
                break
            await self._send(ready.before_sync)
            if ready.must_persist():
                await self._persist(ready)
            await self._send(ready.after_sync)
            self._unapplied.append(ready)
            await self._apply()
        await self._answer()
        await self._push()
        await self._snapshot()
        await self._cluster.bind_after_bootstrap()

    async def _apply(self):
        """Apply each Ready in order, up to one that a thread has to apply."""
        while self._unapplied and not self._executing:
            if self._unapplied[0].size_to_apply_bytes() > MAX_BYTES_IN_LOOP:
                self._executing = True
                await curio.spawn(self._execute, self._unapplied[0], daemon=True)
            else:
                self._replica.apply(self._unapplied.popleft())

    async def _execute(self, ready):
        """Apply the commands of a Ready in a thread, and send the answers as event."""
        began_us = monotonic_us()
        answers, error = [], None
        try:
            answers = await curio.run_in_thread(self._replica.execute, ready)
        except Exception as raised:
            # The core ends with it, as with an error of a command applied in the loop.
            error = raised
        self._replica.metrics.record_us("execute", monotonic_us() - began_us)
        await self._events.put(
            CommandsExecuted(ready=ready, answers=answers, error=error)
        )

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
        for outbox, applied in self._applied_versions.items():
            if applied < configuration.version:
                await outbox.offer(ConfigurationPush(configuration=configuration))

    async def _snapshot(self):
        if self._unapplied:
            # The state lags behind the index that a snapshot would name.
            return
        snapshot = self._replica.take_snapshot(self._folder.log_size_bytes())
        if snapshot is None:
            return
        node = self._replica.node
        after = node.log.slice(snapshot.last_index + 1, node.log.last_index)
        await retry_until_done(self._folder.set_snapshot, snapshot, after)
        self._replica.metrics.count("snapshots")
        log.info("wrote a snapshot", last_index=snapshot.last_index)

    async def _persist_commit_index(self):
        """Persist the commit index when idle, for a restart without a quorum."""
        commit_index = self._replica.node.commit_index
        if commit_index > self._folder.commit_index and self._events.empty():
            await retry_until_done(self._folder.persist_commit_index, commit_index)

    async def _report_to_leader(self):
        node = self._replica.node
        if node.leader != self._logged_leader:
            self._logged_leader = node.leader
            log.info(
                "leader changed", leader=self._replica.leader_name(), term=node.term
            )
        report = self._replica.take_report()
        outbox = self._cluster.outbox(node.leader)
        if report is not None and outbox is not None:
            await outbox.offer(report)

    # Events.

    @singledispatchmethod
    async def _handle(self, event):
        raise TypeError(event)

    @_handle.register
    async def _(self, event: LinkUp):
        state = event.state
        if self._cluster.is_foreign(state.cluster):
            log.warning(
                "ignored a replica of another cluster", replica=state.replica.name
            )
            return
        self._cluster.link_up(event)
        self._replica.peer_connected(state.replica)
        # This replica may have joined its cluster since it sent its hello.
        await event.outbox.offer(self.state_message())
        for report in self._replica.flow_counts.local_reports():
            await event.outbox.offer(report)
        await self._cluster.send_initial_membership(state)

    @_handle.register
    async def _(self, event: LinkDown):
        if self._cluster.outbox(event.identity) is event.outbox:
            self._cluster.link_down(event.identity)
            self._replica.peer_disconnected(event.identity)

    @_handle.register
    async def _(self, event: PeerMessage):
        if self._cluster.is_foreign(event.cluster):
            return
        try:
            await self._handle_peer(event.message, event)
        except BadMessageError as error:
            log.warning("dropped a message from a replica", error=error.describe())

    @_handle.register
    async def _(self, event: CommandsExecuted):
        if event.error is not None:
            raise event.error
        self._unapplied.popleft()
        self._executing = False
        self._replica.complete(event.ready, event.answers)

    @_handle.register
    async def _(self, event: OperatorRequest):
        call_id = self._next_call_id
        self._next_call_id += 1
        self._replies[call_id] = event.reply
        self._replica.submit(call_id, event.message, monotonic_ms(), wall_ms())

    @_handle.register
    async def _(self, event: EntryRequest):
        applied = event.message.applied_version
        self._applied_versions[event.outbox] = applied
        self._replica.entries.record_report(event.message, monotonic_ms())
        self._replica.flow_counts.mark_alive(event.message.name, now_ms=monotonic_ms())
        configuration = self._replica.state.configuration
        if configuration.version > applied:
            await event.outbox.offer(ConfigurationPush(configuration=configuration))

    @_handle.register
    async def _(self, event: EntryFlows):
        report = event.message
        self._replica.flow_counts.apply_local(report, now_ms=monotonic_ms())
        for outbox in self._cluster.outboxes():
            await outbox.offer(report)

    @_handle.register
    async def _(self, event: EntryGone):
        self._applied_versions.pop(event.outbox, None)

    @_handle.register
    async def _(self, event: SeedsChanged):
        self._replica.zones = self._settings.zones
        await self._dial(event.addresses)

    @_handle.register
    async def _(self, _event: StopRequest):
        """Transfer leadership and leave the quorum before the stop."""
        if self._stop is not None:
            return
        node, settings = self._replica.node, self._settings
        is_transferring = node.transfer()
        should_leave = settings.heals_itself and self._reconciler.should_leave(node)
        self._stop = PlannedStop(
            node=node,
            should_leave=should_leave,
            timeout_ms=settings.stop_ms if is_transferring or should_leave else 0,
            now_ms=monotonic_ms(),
        )
        log.info("stopping", transfers=is_transferring, leaves=should_leave)

    # Messages from replicas of the same cluster.

    @singledispatchmethod
    async def _handle_peer(self, message, event):
        self._replica.receive(event.sender, message, monotonic_ms())

    @_handle_peer.register
    async def _(self, message: ReplicaState, _event):
        """Connect back to a replica that connected to this one."""
        await self._links.connect_to((message.replica.host, message.replica.port))

    @_handle_peer.register
    async def _(self, _message: StopNotice, event):
        until_ms = monotonic_ms() + STOP_NOTICE_LIFE_MS
        self._stopping_until_ms[event.sender] = until_ms

    @_handle_peer.register
    async def _(self, message: ReplicaNotice, _event):
        await self._dial([(message.replica.host, message.replica.port)])

    @_handle_peer.register
    async def _(self, message: InitialMembership, _event):
        self._cluster.accept_initial_membership(message)

    @_handle_peer.register(AppendRequest)
    @_handle_peer.register(InstallSnapshotRequest)
    async def _(self, message, event):
        await self._cluster.join(event.cluster)
        self._replica.receive(event.sender, message, monotonic_ms())


def local_replica(settings, folder):
    """Return the Replica record of this process."""
    host, port = settings.control.get(settings.name, settings.listen)
    return Replica(name=settings.name, identity=folder.identity, host=host, port=port)


def _persist(folder, ready, commit_index):
    """Write and sync the contents of a Ready; runs in a thread."""
    if ready.state is not None:
        folder.set_state(ready.state)
    if ready.snapshot is not None:
        folder.set_snapshot(ready.snapshot, ready.records)
    elif ready.records:
        folder.append(ready.records, commit_index=commit_index)
