"""knapweeddeal.controlreplica: The logic of a control replica, without I/O.

Connects the Raft node, the replicated state and the pending operator requests.
"""

from functools import singledispatchmethod

from knapweeddeal.commandrecords import (
    PreparedPublication,
    command_record,
    encode_command,
)
from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.consensus import LEADER
from knapweeddeal.consensuslog import (
    is_command,
    is_optional_command,
    unpack_command,
    unpack_membership,
)
from knapweeddeal.controlqueries import (
    local_answer,
    quorum_answer,
    replicas_answer,
)
from knapweeddeal.entrytable import EntryTable
from knapweeddeal.errors import (
    BadMessageError,
    ConflictError,
    InvalidIntentError,
    KnapweeddealError,
    NotLeaderError,
)
from knapweeddeal.flowcounts import FlowCountTable
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import decode
from knapweeddeal.messages.control import FlowCounts
from knapweeddeal.messages.evacuation import ZonesRequest
from knapweeddeal.messages.operator import (
    ReplicasRequest,
    ReplicaSwapRequest,
    ServicesRequest,
    StatusRequest,
)
from knapweeddeal.messages.packets import PublishedRoutesRequest
from knapweeddeal.messages.replication import (
    EntryReports,
    MembershipRecord,
    SnapshotFile,
)
from knapweeddeal.metrics import Metrics
from knapweeddeal.pendingrequests import PendingRequest, PendingRequests
from knapweeddeal.replicaswap import ReplicaSwap
from knapweeddeal.snapshotschedule import (
    SNAPSHOT_RECORDS,
    is_snapshot_due,
    records_to_keep,
)

__all__ = ["ControlReplica"]

log = Log(prefix="control")

#: Number of election timeouts that a request may wait for a quorum.
REQUEST_TIMEOUT_ELECTIONS = 2
#: Interval between a follower's entry reports to the leader.
ENTRY_REPORT_INTERVAL_MS = 1_000


class ControlReplica:
    """Implement one control replica as a state machine without I/O.

    The caller passes in messages and the time. It then pops each Ready, persists and
    sends its contents, calls `persisted` and `apply`, and delivers the answers.
    """

    __slots__ = (
        "_election_ms",
        "_now_ms",
        "_pending",
        "_proposed_commands",
        "_next_entry_report_ms",
        "_snapshot_records",
        "_swap",
        "connected",
        "entries",
        "flow_counts",
        "metrics",
        "node",
        "own_replica",
        "plan_life_ms",
        "dump_sections",
        "state",
        "zones",
    )

    def __init__(
        self,
        *,
        own_replica,
        node,
        state,
        election_ms,
        plan_life_ms,
        now_ms,
        snapshot_records=SNAPSHOT_RECORDS,
        zones=(),
    ):
        self.own_replica = own_replica
        self.node = node
        self.state = state
        self.entries = EntryTable()
        self.flow_counts = FlowCountTable()
        self.metrics = Metrics()
        self.connected = {}
        #: Functions that return further sections of the dump, by name.
        self.dump_sections = {}
        self._election_ms = election_ms
        self.plan_life_ms = plan_life_ms
        #: All availability zones; empty if they aren't known.
        self.zones = zones
        self._snapshot_records = snapshot_records
        self._now_ms = now_ms
        self._next_entry_report_ms = 0
        self._pending = PendingRequests(metrics=self.metrics)
        #: Commands that this replica proposed, by index and term, until applied.
        self._proposed_commands = {}
        self._swap = None
        if node.snapshot is not None:
            state.restore(node.snapshot.data)

    # Commands.

    def submit(self, call_id, message, now_ms, wall_ms):
        """Handle an operator's request; `pop_answers` returns its answer later."""
        self._now_ms = max(now_ms, self._now_ms)
        deadline_ms = self._now_ms + REQUEST_TIMEOUT_ELECTIONS * self._election_ms
        self._dispatch(
            PendingRequest(
                call_id=call_id,
                message=message,
                received_ms=self._now_ms,
                deadline_ms=deadline_ms,
                wall_ms=wall_ms,
            )
        )

    def receive(self, sender, message, now_ms):
        """Handle a message from another replica."""
        self._now_ms = max(now_ms, self._now_ms)
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message, sender):
        self.node.receive(sender, message, self._now_ms)

    @_handle.register
    def _(self, reports: EntryReports, _sender):
        self.entries.merge(reports, self._now_ms)
        for status in reports.entries:
            self.flow_counts.mark_alive(status.name, now_ms=self._now_ms)

    @_handle.register
    def _(self, counts: FlowCounts, _sender):
        self.flow_counts.apply(counts, now_ms=self._now_ms)

    def tick(self, now_ms):
        """Advance the time and handle what is due."""
        self._now_ms = max(now_ms, self._now_ms)
        self.node.tick(now_ms)
        self._retry_waiting()
        self._pending.expire(now_ms=self._now_ms)
        if self._swap is not None:
            self._advance_swap()

    def peer_connected(self, replica):
        """Record that a replica is connected."""
        self.connected[replica.identity] = replica

    def peer_disconnected(self, identity):
        """Record that a replica is no longer connected."""
        self.connected.pop(identity, None)

    def apply(self, ready):
        """Apply a Ready that was persisted and sent."""
        self.complete(ready, self.execute(ready))

    def execute(self, ready):
        """Apply the commands of a Ready to the state; return the answers, in order.

        May run in a thread: nothing else changes the state, and what it replaces stays
        as it is for those who read it meanwhile.
        """
        if ready.snapshot is not None:
            self.state.restore(ready.snapshot.data)
        return [self._execute(record) for record in ready.committed]

    def complete(self, ready, answers):
        """Answer the requests that a Ready completes, after `execute`."""
        for record, answer in zip(ready.committed, answers, strict=True):
            self._complete(record, answer)
        for read in ready.reads:
            self._finish_read(read)
        if self._swap is not None:
            self._advance_swap()

    def pop_answers(self):
        """Return and remove the answers that are ready."""
        return self._pending.pop_answers()

    def take_snapshot(self, log_bytes):
        """Return a new snapshot if one is due and compact the log, else None."""
        node = self.node
        interval_records = self._snapshot_records
        if not is_snapshot_due(
            node, log_bytes=log_bytes, interval_records=interval_records
        ):
            return None
        snapshot = SnapshotFile(
            last_index=node.applied_index,
            last_term=node.log.term_at(node.applied_index),
            replicas=list(node.log.replicas_at(node.applied_index)),
            data=self.state.encode_snapshot(),
        )
        node.compact(snapshot, records_to_keep(node.log, node.applied_index))
        return snapshot

    def take_report(self):
        """Return the entry reports for the leader if they are due, else None."""
        node = self.node
        due = self._now_ms >= self._next_entry_report_ms
        if not due or node.role == LEADER or not node.leader:
            return None
        self._next_entry_report_ms = self._now_ms + ENTRY_REPORT_INTERVAL_MS
        reports = self.entries.local_reports(self._now_ms)
        return reports if reports.entries else None

    # Queries.

    @property
    def next_ms(self):
        """Return the time by which `tick` must be called."""
        return min([self.node.next_ms, *self._pending.deadlines_ms()])

    def leader_name(self):
        """Return the leader's name, or an empty string."""
        replica = self._leader_replica()
        return replica.name if replica else ""

    def check_leader(self):
        """Raise NotLeaderError if another replica is known to lead."""
        if self.node.leader not in (0, self.node.identity):
            raise self._not_leader()

    def candidates(self):
        """Return the connected replicas that are not members."""
        members = self.node.members
        return [
            replica
            for identity, replica in sorted(self.connected.items())
            if identity not in members
        ]

    def entry_statuses(self):
        """Return the status of each entry."""
        return self.entries.statuses(self._now_ms)

    def affected(self, old, new):
        """Return what a change from one configuration to another affects."""
        return self.flow_counts.affected(old, new, now_ms=self._now_ms)

    def dump(self):
        """Return the state by name, for the dump."""
        node = self.node
        return {
            "name": self.own_replica.name,
            "identity": self.own_replica.identity,
            "role": node.role,
            "leader": self.leader_name(),
            "term": node.term,
            "commit_index": node.commit_index,
            "applied_index": node.applied_index,
            "first_index": node.log.base_index + 1,
            "last_index": node.log.last_index,
            "members": [_describe(replica) for replica in node.log.replicas],
            "connected": [_describe(replica) for replica in self.connected.values()],
            **self._pending.counts(),
            "entries": len(self.entry_statuses()),
            **self.state.counts(),
            **{name: section() for name, section in self.dump_sections.items()},
        }

    # Requests.

    def _dispatch(self, pending):
        answer = local_answer(pending.message, self)
        if answer is not None:
            self._reply(pending, answer)
            return
        if not self.node.leader or self.node.transferring:
            self._pending.await_leader(pending)
            return
        try:
            self.check_leader()
            self._start(pending.message, pending)
        except KnapweeddealError as error:
            self._reply(pending, failure_answer(error))

    @singledispatchmethod
    def _start(self, message, pending):
        """Replicate an operator's command."""
        record = command_record(message, self, wall_ms=pending.wall_ms)
        self._propose(encode_command(record), pending)

    @_start.register
    def _(self, publication: PreparedPublication, pending):
        """Replicate a publication, or wait for its record if the log still has it."""
        if publication.position is not None:
            index, term = publication.position
            if self.node.log.term_at(index) == term:
                self._pending.await_commit(pending, index=index, term=term)
                return
        publication.position = self._propose(publication.command, pending)

    @_start.register(StatusRequest)
    @_start.register(ServicesRequest)
    @_start.register(ReplicasRequest)
    @_start.register(PublishedRoutesRequest)
    @_start.register(ZonesRequest)
    def _(self, _message, pending):
        """Start a linearizable read for a query."""
        self._pending.await_quorum(pending)
        self.node.read(pending.call_id)

    @_start.register
    def _(self, request: ReplicaSwapRequest, pending):
        """Start the replacement of one member."""
        stored = self.state.stored_answer(request.operator, request.request_id)
        if stored is not None:
            self._reply(pending, self._repeated_swap_answer(stored, request.request_id))
            return
        if self._swap is not None:
            raise ConflictError("another membership change is in progress")
        self._swap = ReplicaSwap(call_id=pending.call_id, request=request, replica=self)
        self._advance_swap()

    def _propose(self, command, pending):
        """Append a command to the log; return its index and term."""
        index, term = self.node.propose(command.data)
        self._proposed_commands[index, term] = command
        self._pending.await_commit(pending, index=index, term=term)
        return index, term

    # Results.

    def _execute(self, record):
        if is_command(record):
            return self._execute_command(record)
        membership = unpack_membership(record)
        if membership is not None and membership.request_id:
            self.state.apply(record.index, membership)
        return None

    def _complete(self, record, answer):
        outdated = [key for key in self._proposed_commands if key[0] <= record.index]
        for key in outdated:
            del self._proposed_commands[key]
        for pending in self._pending.pop_proposed(record.index):
            if pending.term == record.term:
                self._reply(pending, answer)
            else:
                self._dispatch(pending)

    def _execute_command(self, record):
        """Apply a command; one that was proposed here needn't be decoded again."""
        proposed = self._proposed_commands.get((record.index, record.term))
        if proposed is not None:
            return self.state.apply(record.index, proposed.record)
        try:
            command = decode(unpack_command(record))
        except BadMessageError as error:
            if error.field == "tag" and not is_optional_command(record):
                # A later version wrote the command, and other replicas apply it.
                raise
            # Earlier versions logged commands with values beyond the limits of fields.
            # They have no effect, on any replica. For this, a limit is raised only
            # together with a new tag.
            self.metrics.count("unreadable_commands")
            log.warning(
                "skipped a command that can't be read",
                index=record.index,
                error=error.describe(),
            )
            return failure_answer(error)
        return self.state.apply(record.index, command)

    def _finish_read(self, read):
        pending = self._pending.pop_reading(read.read_id)
        if pending is None:
            return
        if not read.index:
            self._dispatch(pending)
            return
        self._reply(pending, quorum_answer(pending.message, self))

    def _repeated_swap_answer(self, stored, request_id):
        if isinstance(stored, MembershipRecord):
            return replicas_answer(self)
        raise InvalidIntentError(
            "the request id was already used for another command",
            field="request_id",
            value=request_id,
        )

    def _advance_swap(self):
        try:
            answer = self._swap.advance(self._now_ms)
        except KnapweeddealError as error:
            answer = failure_answer(error)
        if answer is not None:
            self._pending.answer(self._swap.call_id, answer)
            self._swap = None

    def _retry_waiting(self):
        for pending in self._pending.pop_waiting():
            if self._now_ms >= pending.deadline_ms:
                self._pending.refuse_without_quorum(pending, now_ms=self._now_ms)
            else:
                self._dispatch(pending)

    def _reply(self, pending, message):
        self._pending.reply(pending, message, now_ms=self._now_ms)

    def _not_leader(self):
        replica = self._leader_replica()
        address = f"{replica.host}:{replica.port}" if replica else ""
        return NotLeaderError(
            "another replica is the leader", field="leader", value=address
        )

    def _leader_replica(self):
        leader = self.node.leader
        for replica in self.node.log.replicas:
            if replica.identity == leader:
                return replica
        return self.connected.get(leader)


def _describe(replica):
    return f"{replica.name}={replica.host}:{replica.port} {replica.identity:016x}"
