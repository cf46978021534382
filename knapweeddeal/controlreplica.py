"""knapweeddeal.controlreplica: What a control replica answers, without input or output.

It joins the replicated log, the replicated state and the operators that wait.
"""

import functools
import json

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.consensus import LEADER
from knapweeddeal.consensuslog import (
    is_command,
    unpack_command,
    unpack_membership,
)
from knapweeddeal.entrytable import EntryTable
from knapweeddeal.errors import (
    BadMessageError,
    ConflictError,
    InvalidIntentError,
    KnapweeddealError,
    NoQuorumError,
    NotLeaderError,
)
from knapweeddeal.flowcounts import FlowCountTable
from knapweeddeal.inspection import dump_text
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import FlowCounts
from knapweeddeal.messages.operator import (
    ConfirmAsk,
    DumpAnswer,
    DumpAsk,
    FailureAnswer,
    MetricsAsk,
    PlanAsk,
    ReplicasAnswer,
    ReplicasAsk,
    ReplicaSwapAsk,
    ServicesAnswer,
    ServicesAsk,
    StatusAnswer,
    StatusAsk,
)
from knapweeddeal.messages.replication import (
    ConfirmRecord,
    EntryReports,
    MembershipRecord,
    PlanRecord,
    SnapshotFile,
)
from knapweeddeal.metrics import Metrics
from knapweeddeal.plans import apply_steps
from knapweeddeal.record import Record
from knapweeddeal.replicaswap import ReplicaSwap

__all__ = ["Answer", "ControlReplica", "is_snapshot_turn"]

#: An operator waits this many election timeouts for a quorum.
PATIENCE_ELECTIONS = 2
#: Records after which the state is written as a snapshot.
SNAPSHOT_RECORDS = 1_000
#: Size of the log file after which a snapshot is written at once.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
#: Records before a snapshot that stay in memory for followers that lag a little.
KEEP_RECORDS = 500
#: Time between reports of a follower's entries to the leader.
REPORT_MS = 1_000
US_PER_MS = 1_000

UNSURE = "no majority answered; it may still take effect, resend the same request id"
UNHEARD = "no majority of the control replicas answered"


class Answer(Record):
    """Address an answer to the ask that it belongs to."""

    __slots__ = ("ask_id", "message")


class Pending:
    """Hold an ask that waits: for a leader, a commit or a quorum round."""

    __slots__ = (
        "ask_id",
        "asked_ms",
        "index",
        "message",
        "term",
        "until_ms",
        "wall_ms",
    )

    def __init__(self, *, ask_id, message, asked_ms, until_ms, wall_ms):
        self.ask_id = ask_id
        self.asked_ms = asked_ms
        self.message = message
        self.until_ms = until_ms
        self.wall_ms = wall_ms
        self.index = 0
        self.term = 0


class ControlReplica:
    """Decide what one control replica does.

    The shell feeds messages and time, then takes and obeys each Ready, calls
    `persisted` and `apply`, and delivers the answers.
    """

    __slots__ = (
        "_answers",
        "_election_ms",
        "_now_ms",
        "_plan_life_ms",
        "_proposed",
        "_reading",
        "_report_ms",
        "_snapshot_records",
        "_swap",
        "_waiting",
        "connected",
        "entries",
        "flow_counts",
        "metrics",
        "node",
        "own",
        "state",
    )

    def __init__(
        self,
        *,
        own,
        node,
        state,
        election_ms,
        plan_life_ms,
        now_ms,
        snapshot_records=SNAPSHOT_RECORDS,
    ):
        self.own = own
        self.node = node
        self.state = state
        self.entries = EntryTable()
        self.flow_counts = FlowCountTable()
        self.metrics = Metrics()
        self.connected = {}
        self._election_ms = election_ms
        self._plan_life_ms = plan_life_ms
        self._snapshot_records = snapshot_records
        self._now_ms = now_ms
        self._report_ms = 0
        self._waiting = []
        self._proposed = {}
        self._reading = {}
        self._answers = []
        self._swap = None
        if node.snapshot is not None:
            state.restore(node.snapshot.data)

    # Commands.

    def ask(self, ask_id, message, now_ms, wall_ms):
        """Take an operator's command or query; its answer comes by take_answers."""
        self._now_ms = max(now_ms, self._now_ms)
        until_ms = self._now_ms + PATIENCE_ELECTIONS * self._election_ms
        self._dispatch(
            Pending(
                ask_id=ask_id,
                message=message,
                asked_ms=self._now_ms,
                until_ms=until_ms,
                wall_ms=wall_ms,
            )
        )

    def forget(self, ask_id):
        """Drop an ask whose operator went away; a command may still take effect."""
        self._waiting = [p for p in self._waiting if p.ask_id != ask_id]

    def receive(self, sender, message, now_ms):
        """Take a message from another replica."""
        self._now_ms = max(now_ms, self._now_ms)
        _receive(message, self, sender)

    def take_reports(self, reports):
        """Take what entries told another replica."""
        self.entries.merge(reports, self._now_ms)
        for status in reports.entries:
            self.flow_counts.heard(status.name, now_ms=self._now_ms)

    def take_flow_counts(self, counts):
        """Take the flows that an entry counted for another replica."""
        self.flow_counts.apply(counts, now_ms=self._now_ms)

    def take_consensus(self, sender, message):
        """Take a message of the replicated log."""
        self.node.receive(sender, message, self._now_ms)

    def tick(self, now_ms):
        """Let time pass."""
        self._now_ms = max(now_ms, self._now_ms)
        self.node.tick(now_ms)
        self._wake_waiting()
        self._expire(self._proposed, UNSURE)
        self._expire(self._reading, UNHEARD)
        if self._swap is not None:
            self._go_on_with_swap()

    def peer_connected(self, replica):
        """Note a replica that can be reached."""
        self.connected[replica.identity] = replica

    def peer_gone(self, identity):
        """Note that a replica can't be reached any more."""
        self.connected.pop(identity, None)

    def apply(self, ready):
        """Apply what a Ready brought, after it was persisted and sent."""
        if ready.snapshot is not None:
            self.state.restore(ready.snapshot.data)
        for record in ready.committed:
            self._apply(record)
        for read in ready.reads:
            self._finish_read(read)
        if self._swap is not None:
            self._go_on_with_swap()

    def take_answers(self):
        """Return the answers that are due, and forget them."""
        answers, self._answers = self._answers, []
        return answers

    def take_snapshot(self, log_bytes):
        """Return a new snapshot if enough was applied since the last, else None."""
        node = self.node
        if not self._snapshot_is_due(log_bytes):
            return None
        snapshot = SnapshotFile(
            last_index=node.applied_index,
            last_term=node.log.term_at(node.applied_index),
            replicas=list(node.log.replicas_at(node.applied_index)),
            data=self.state.image(),
        )
        node.compact(snapshot, KEEP_RECORDS)
        return snapshot

    def take_report(self):
        """Return the entries' reports that are due to the leader, or None."""
        node = self.node
        due = self._now_ms >= self._report_ms
        if not due or node.role == LEADER or not node.leader:
            return None
        self._report_ms = self._now_ms + REPORT_MS
        reports = self.entries.own_reports(self._now_ms)
        return reports if reports.entries else None

    # Queries.

    @property
    def next_ms(self):
        """Return when `tick` has to be called at the latest."""
        times = [self.node.next_ms]
        for pendings in (
            self._waiting,
            self._proposed.values(),
            self._reading.values(),
        ):
            times.extend(pending.until_ms for pending in pendings)
        return min(times)

    def leader_name(self):
        """Return the leader's name, or an empty text."""
        replica = self._leader_replica()
        return replica.name if replica else ""

    def candidates(self):
        """Return the replicas that can be reached but don't count."""
        members = self.node.members
        return [
            replica
            for identity, replica in sorted(self.connected.items())
            if identity not in members
        ]

    def dump(self):
        """Return the state by name, for the dump."""
        node = self.node
        return {
            "name": self.own.name,
            "identity": self.own.identity,
            "role": node.role,
            "leader": self.leader_name(),
            "term": node.term,
            "commit_index": node.commit_index,
            "applied_index": node.applied_index,
            "first_index": node.log.base_index + 1,
            "last_index": node.log.last_index,
            "members": [_named(replica) for replica in node.log.replicas],
            "connected": [_named(replica) for replica in self.connected.values()],
            "waiting": len(self._waiting),
            "proposed": len(self._proposed),
            "reading": len(self._reading),
            "entries": len(self.entries.statuses(self._now_ms)),
            **self.state.counts(),
        }

    # Asks.

    def _dispatch(self, pending):
        answer = _local_answer(pending.message, self)
        if answer is not None:
            self._reply(pending, answer)
            return
        leader = self.node.leader
        if not leader or self.node.transferring:
            self._waiting.append(pending)
            return
        try:
            if leader != self.node.identity:
                raise self._not_leader()
            _ask(pending.message, self, pending)
        except KnapweeddealError as error:
            self._reply(pending, failure_answer(error))

    def propose(self, pending, record):
        """Replicate an operator's command."""
        pending.index, pending.term = self.node.propose(encode(record))
        self._proposed[pending.ask_id] = pending

    def plan(self, pending):
        """Replicate a plan, with whom it affects as far as is known here."""
        ask = pending.message
        affected = self._affected(ask.steps)
        self.propose(
            pending,
            PlanRecord(
                operator=ask.operator,
                request_id=ask.request_id,
                steps=ask.steps,
                upstreams=affected.upstreams,
                zones=affected.zones,
                flows=affected.flows,
                planned_ms=pending.wall_ms,
                life_ms=self._plan_life_ms,
            ),
        )

    def _affected(self, steps):
        old = self.state.configuration
        try:
            new = apply_steps(old, steps).configuration
        except InvalidIntentError:
            # The state machine refuses it, in the same way on every replica.
            new = old
        return self.flow_counts.affected(old, new, now_ms=self._now_ms)

    def read(self, pending):
        """Start the quorum round of a query."""
        self._reading[pending.ask_id] = pending
        self.node.read(pending.ask_id)

    def swap(self, pending):
        """Start a change of one member."""
        ask = pending.message
        kept = self.state.kept(ask.operator, ask.request_id)
        if kept is not None:
            self._reply(pending, self._swap_again(kept, ask.request_id))
            return
        if self._swap is not None:
            raise ConflictError("another change of replicas is under way")
        self._swap = ReplicaSwap(
            ask_id=pending.ask_id, ask=pending.message, replica=self
        )
        self._go_on_with_swap()

    def replicas_answer(self):
        """Return who counts and who could."""
        return ReplicasAnswer(
            leader=self.leader_name(),
            members=list(self.node.log.replicas_at(self.node.commit_index)),
            candidates=self.candidates(),
        )

    def status_answer(self):
        """Return who leads, what is in force and what the entries applied."""
        return StatusAnswer(
            leader=self.leader_name(),
            term=self.node.term,
            version=self.state.configuration.version,
            commit_index=self.node.commit_index,
            entries=self.entries.statuses(self._now_ms),
        )

    def services_answer(self):
        """Return the services in force."""
        configuration = self.state.configuration
        return ServicesAnswer(
            version=configuration.version, services=configuration.services
        )

    # What happened.

    def _apply(self, record):
        answer = None
        if is_command(record):
            answer = self.state.apply(record.index, decode(unpack_command(record)))
        membership = unpack_membership(record)
        if membership is not None and membership.request_id:
            self.state.apply(record.index, membership)
        due = [p for p in self._proposed.values() if p.index == record.index]
        for pending in due:
            del self._proposed[pending.ask_id]
            if pending.term == record.term:
                self._reply(pending, answer)
            else:
                self._dispatch(pending)

    def _finish_read(self, read):
        pending = self._reading.pop(read.read_id, None)
        if pending is None:
            return
        if not read.index:
            self._dispatch(pending)
            return
        self._reply(pending, _query(pending.message, self))

    def _swap_again(self, kept, request_id):
        if isinstance(kept, MembershipRecord):
            return self.replicas_answer()
        raise InvalidIntentError(
            "was given to another command", field="request_id", value=request_id
        )

    def _go_on_with_swap(self):
        try:
            answer = self._swap.go_on(self._now_ms)
        except KnapweeddealError as error:
            answer = failure_answer(error)
        if answer is not None:
            self._answers.append(Answer(ask_id=self._swap.ask_id, message=answer))
            self._swap = None

    def _wake_waiting(self):
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            if self._now_ms >= pending.until_ms:
                self._reply(pending, failure_answer(NoQuorumError(UNHEARD)))
            else:
                self._dispatch(pending)

    def _expire(self, pendings, text):
        late = [p for p in pendings.values() if self._now_ms >= p.until_ms]
        for pending in late:
            del pendings[pending.ask_id]
            self._reply(pending, failure_answer(NoQuorumError(text)))

    def _snapshot_is_due(self, log_bytes):
        """Tell whether to write a snapshot; the members take turns."""
        node = self.node
        last = node.snapshot.last_index if node.snapshot else 0
        if node.applied_index == last:
            return False
        members = sorted(node.members)
        place = members.index(node.identity) if node.is_member else 0
        by_count = is_snapshot_turn(
            index=node.applied_index,
            last_index=last,
            every=self._snapshot_records,
            place=place,
            members=len(members),
        )
        return by_count or log_bytes > SNAPSHOT_LOG_BYTES

    def _reply(self, pending, message):
        self._measure(pending, message)
        self._answers.append(Answer(ask_id=pending.ask_id, message=message))

    def _measure(self, pending, message):
        kind = type(pending.message).__name__
        if isinstance(message, FailureAnswer):
            self.metrics.count(f"{kind}_{message.code}")
            return
        self.metrics.count(kind)
        wait_ms = self._now_ms - pending.asked_ms
        self.metrics.record_us(kind, wait_ms * US_PER_MS)

    def _not_leader(self):
        replica = self._leader_replica()
        address = f"{replica.host}:{replica.port}" if replica else ""
        return NotLeaderError("another replica leads", field="leader", value=address)

    def _leader_replica(self):
        leader = self.node.leader
        for replica in self.node.log.replicas:
            if replica.identity == leader:
                return replica
        return self.connected.get(leader)


def is_snapshot_turn(*, index, last_index, every, place, members):
    """Tell whether a snapshot is due by count; members do it at different indices."""
    shift = every * place // max(members, 1)
    return (index + shift) // every > (last_index + shift) // every


@functools.singledispatch
def _local_answer(_message, _replica):
    """Return the answer that needs no leader, or None."""
    return


@_local_answer.register
def _(message: DumpAsk, replica):
    return DumpAnswer(text=dump_text(replica.dump(), max_bytes=message.max_bytes))


@_local_answer.register
def _(_message: MetricsAsk, replica):
    return DumpAnswer(text=json.dumps(replica.metrics.summary()))


@functools.singledispatch
def _receive(message, replica, sender):
    replica.take_consensus(sender, message)


@_receive.register
def _(message: EntryReports, replica, _sender):
    replica.take_reports(message)


@_receive.register
def _(message: FlowCounts, replica, _sender):
    replica.take_flow_counts(message)


@functools.singledispatch
def _ask(message, _replica, _pending):
    raise BadMessageError("not for a control replica", field="message", value=message)


@_ask.register
def _(_message: PlanAsk, replica, pending):
    replica.plan(pending)


@_ask.register
def _(message: ConfirmAsk, replica, pending):
    record = ConfirmRecord(
        operator=message.operator,
        request_id=message.request_id,
        plan_id=message.plan_id,
        confirmed_ms=pending.wall_ms,
    )
    replica.propose(pending, record)


@_ask.register
def _(_message: ReplicaSwapAsk, replica, pending):
    replica.swap(pending)


@_ask.register(StatusAsk)
@_ask.register(ServicesAsk)
@_ask.register(ReplicasAsk)
def _(_message, replica, pending):
    replica.read(pending)


@functools.singledispatch
def _query(message, _replica):
    raise BadMessageError("not a query", field="message", value=message)


@_query.register
def _(_message: StatusAsk, replica):
    return replica.status_answer()


@_query.register
def _(_message: ServicesAsk, replica):
    return replica.services_answer()


@_query.register
def _(_message: ReplicasAsk, replica):
    return replica.replicas_answer()


def _named(replica):
    return f"{replica.name}={replica.host}:{replica.port} {replica.identity:016x}"
