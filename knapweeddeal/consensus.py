"""knapweeddeal.consensus: One replica of a replicated log, without input or output.

The base is Raft's published algorithm. The embedder feeds messages, commands and the
time, then takes a `Ready` after each step and obeys its order: send `before_sync`,
persist state, snapshot and records, call `persisted`, send `after_sync`, apply
`committed`.
"""

from functools import singledispatchmethod

from knapweeddeal.consensuslog import (
    ConsensusLog,
    pack_command,
    pack_membership,
    pack_noop,
)
from knapweeddeal.consensusready import Envelope, ReadReady, Ready
from knapweeddeal.errors import (
    BadMessageError,
    CorruptStorageError,
    InvalidIntentError,
    NotLeaderError,
)
from knapweeddeal.leadership import Leadership
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendRequest,
    InstallSnapshotRequest,
    SnapshotAnswer,
    VoteAnswer,
    VoteRequest,
)
from knapweeddeal.messages.replication import (
    HardState,
    LeadershipTransfer,
    MembershipRecord,
    SnapshotFile,
)

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "Envelope", "Node", "ReadReady", "Ready"]

FOLLOWER = "follower"
#: Asks whether an election could be won, and then for votes.
CANDIDATE = "candidate"
LEADER = "leader"


class Node:
    """Decide for one replica; `identity` belongs to its data folder.

    Only identities in a candidate's or leader's membership count. A replica campaigns
    if its own log names it, and votes if its log isn't empty: so one whose folder was
    lost, which has a new identity, does neither until it was swapped in.
    """

    __slots__ = (
        "_election_until_ms",
        "_heard_ms",
        "_heartbeat_ms",
        "_incoming",
        "_incoming_source",
        "_leadership",
        "_pre",
        "_random",
        "_ready",
        "_votes",
        "applied_index",
        "commit_index",
        "election_ms",
        "identity",
        "leader",
        "log",
        "now_ms",
        "role",
        "snapshot",
        "synced_index",
        "term",
        "voted_for",
    )

    def __init__(
        self,
        *,
        identity,
        state,
        snapshot,
        records,
        commit_index=0,
        random,
        now_ms,
        election_ms,
        heartbeat_ms,
    ):
        self.identity = identity
        self.term = state.term
        self.voted_for = state.voted_for
        self.snapshot = snapshot
        self.log = _log_from(snapshot, records)
        self.applied_index = self.log.base_index
        noted = min(commit_index, self.log.last_index)
        self.commit_index = max(noted, self.log.base_index)
        self.role = FOLLOWER
        self.leader = 0
        self._random = random
        self.election_ms = election_ms
        self._heartbeat_ms = heartbeat_ms
        self.now_ms = now_ms
        self._heard_ms = now_ms - election_ms
        self._leadership = None
        self._votes = set()
        self._pre = False
        self.synced_index = self.log.last_index
        self._incoming = bytearray()
        self._incoming_source = None
        self._ready = Ready()
        self._reset_election()

    # Queries.

    @property
    def members(self):
        """Return the identities of the latest membership."""
        return {replica.identity for replica in self.log.replicas}

    @property
    def is_member(self):
        """Tell whether this replica votes and counts."""
        return self.identity in self.members

    @property
    def next_ms(self):
        """Return when `tick` has to be called at the latest."""
        if self._leadership is not None:
            return self._leadership.heartbeat_until_ms
        return self._election_until_ms

    @property
    def transferring(self):
        """Tell whether leadership is being handed over."""
        return self._leadership is not None and self._leadership.transferring

    def is_membership_committed(self):
        """Tell whether the latest membership is committed, and this term began."""
        if self._leadership is not None and not self._leadership.is_term_committed():
            return False
        return self.log.membership_index <= self.commit_index

    def is_learner(self, identity):
        """Tell whether a replica is replicated to but doesn't count."""
        return self._leadership is not None and self._leadership.is_learner(identity)

    def is_caught_up(self, identity):
        """Tell whether a replica holds all committed records and answers."""
        return self._leadership is not None and self._leadership.is_caught_up(identity)

    def is_quorum(self, identities):
        """Tell whether identities hold a majority of the latest membership."""
        members = self.members
        return len(identities & members) * 2 > len(members)

    # Commands of the embedder.

    def bootstrap(self, replicas):
        """Start an empty log with its first membership; all founders do the same."""
        if self.log.last_index:
            raise InvalidIntentError("the log isn't empty", field="replicas")
        record = MembershipRecord(replicas=replicas, operator="", request_id="")
        self.term = 1
        self._ready.state = HardState(term=1, voted_for=0)
        self._ready.records.append(self.log.add(1, pack_membership(record)))
        self._reset_election()

    def propose(self, command):
        """Append a command and return its index and term; raise NotLeaderError."""
        return self._lead().propose(pack_command(command))

    def propose_membership(self, record):
        """Append a membership that differs in one replica; return index and term."""
        return self._lead().propose_membership(record)

    def add_learner(self, identity):
        """Replicate to a replica that doesn't count yet."""
        self._lead().add_learner(identity)

    def remove_learner(self, identity):
        """Stop replicating to a replica that doesn't count."""
        self._lead().remove_learner(identity)

    def read(self, read_id):
        """Ask for a quorum round; a ReadReady with its index comes after it."""
        self._lead().read(read_id)

    def transfer(self):
        """Hand leadership to the fullest member; return whether there is one."""
        return self._leadership is not None and self._leadership.transfer()

    def compact(self, snapshot, keep_records):
        """Drop records that a snapshot of this replica's own state replaces."""
        self.snapshot = snapshot
        self.log.compact_to(max(snapshot.last_index - keep_records, 0))

    def tick(self, now_ms):
        """Let time pass."""
        self.now_ms = max(now_ms, self.now_ms)
        if self._leadership is not None:
            if not self._leadership.tick():
                self._become(FOLLOWER)
        elif self.now_ms >= self._election_until_ms:
            self._campaign(pre=True)

    def persisted(self, ready):
        """Learn that the snapshot and the records of a Ready are synced here."""
        last = ready.records[-1] if ready.records else None
        if last is not None and self.log.term_at(last.index) == last.term:
            self.synced_index = max(self.synced_index, last.index)
        elif ready.snapshot is not None:
            self.synced_index = max(self.synced_index, ready.snapshot.last_index)
        if self._leadership is not None:
            self._leadership.advance_commit()

    def pop_ready(self):
        """Return what is to be done, and forget it."""
        ready, self._ready = self._ready, Ready()
        if ready.snapshot is not None:
            after = ready.snapshot.last_index + 1
            ready.records = self.log.slice(after, self.log.last_index)
        first = max(self.applied_index, self.log.base_index) + 1
        ready.committed = self.log.slice(first, self.commit_index)
        if ready.committed:
            self.applied_index = ready.committed[-1].index
        return ready

    def receive(self, sender, message, now_ms):
        """Take a message from another replica."""
        self.now_ms = max(now_ms, self.now_ms)
        self._take(message, sender)

    # Elections.

    def _campaign(self, *, pre):
        self._reset_election()
        if not self.is_member:
            self.leader = 0
            return
        self._become(CANDIDATE)
        self._pre = pre
        if not pre:
            self._set_term(self.term + 1, voted_for=self.identity)
        self._votes = {self.identity}
        request = VoteRequest(
            term=self.term + 1 if pre else self.term,
            candidate=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for identity in self._others():
            self.send(identity, request)
        self._count_votes()

    def _count_votes(self):
        if not self.is_quorum(self._votes):
            return
        if self._pre:
            self._campaign(pre=False)
        else:
            self._start_leading()

    def _start_leading(self):
        self._become(LEADER)
        self.leader = self.identity
        self._leadership = Leadership(node=self, heartbeat_ms=self._heartbeat_ms)
        self._leadership.propose(pack_noop())
        self._leadership.broadcast()

    @singledispatchmethod
    def _take(self, message, sender):
        """Drop what doesn't belong between replicas."""

    @_take.register
    def _(self, request: VoteRequest, sender):
        """Give a vote, or tell whether it would be given.

        A member may lack the record that names it, so the candidate's log decides.
        """
        if not self.log.last_index:
            return
        if request.pre:
            granted = request.term > self.term and not self._hears_leader()
        else:
            self._see_term(request.term)
            free = self.voted_for in (0, request.candidate) and not self.leader
            granted = request.term == self.term and free
        mine = (self.log.last_term, self.log.last_index)
        granted = granted and (request.last_term, request.last_index) >= mine
        if granted and not request.pre:
            self._set_term(self.term, voted_for=request.candidate)
            self._reset_election()
        term = request.term if granted else self.term
        self.send(
            sender,
            VoteAnswer(
                term=term, voter=self.identity, granted=granted, pre=request.pre
            ),
        )

    @_take.register
    def _(self, answer: VoteAnswer, _sender):
        """Count a vote."""
        if not answer.granted:
            self._see_term(answer.term)
            return
        expected = self.term + 1 if answer.pre else self.term
        if self.role != CANDIDATE or answer.pre != self._pre:
            return
        if answer.term == expected:
            self._votes.add(answer.voter)
            self._count_votes()

    @_take.register
    def _(self, message: LeadershipTransfer, _sender):
        """Start an election at once, as the leader asks."""
        if message.term == self.term and self.role == FOLLOWER and self.is_member:
            self._campaign(pre=False)

    # Followers.

    @_take.register
    def _(self, request: AppendRequest, sender):
        """Take records from the leader."""
        if not self._follow(request.term, request.leader):
            self._answer_append(sender, request, success=False, match=0)
            return
        _check_records(request)
        if self.log.term_at(request.previous_index) != request.previous_term:
            if request.previous_index < self.log.base_index:
                match, success = self.log.base_index, True
            else:
                match, success = self._hint(request.previous_index), False
            self._answer_append(sender, request, success=success, match=match)
            return
        self._add_records(request.records)
        match = request.previous_index + len(request.records)
        self.commit_to(min(request.commit_index, match))
        self._answer_append(sender, request, success=True, match=match)

    def _add_records(self, records):
        for record in records:
            term = self.log.term_at(record.index)
            if term == record.term or record.index <= self.log.base_index:
                continue
            if term is not None:
                self._cut(record.index)
            self.log.append(record)
            self._ready.records.append(record)

    def _cut(self, index):
        if index <= self.commit_index:
            raise CorruptStorageError(
                "the leader contradicts a committed record", field="index", value=index
            )
        self.log.truncate_from(index)
        self.synced_index = min(self.synced_index, index - 1)

    def _hint(self, previous_index):
        """Return an index up to which the logs may agree."""
        if previous_index > self.log.last_index:
            return self.log.last_index
        return max(self.log.first_index_of_term(previous_index) - 1, self.commit_index)

    def _answer_append(self, sender, request, *, success, match):
        answer = AppendAnswer(
            term=self.term,
            follower=self.identity,
            success=success,
            match_index=match,
            round=request.round,
        )
        self.send(sender, answer)

    @_take.register
    def _(self, request: InstallSnapshotRequest, sender):
        """Take a part of a snapshot."""
        if not self._follow(request.term, request.leader):
            self._answer_snapshot(sender, request, 0)
            return
        if request.last_index <= self.commit_index:
            self._answer_append(sender, request, success=True, match=self.commit_index)
            return
        source = (request.term, request.last_index)
        if self._incoming_source != source:
            self._incoming_source = source
            self._incoming = bytearray()
        if request.offset_bytes == len(self._incoming):
            self._incoming += request.data
            if request.done:
                self._install(request)
                self._answer_append(
                    sender, request, success=True, match=request.last_index
                )
                return
        self._answer_snapshot(sender, request, len(self._incoming))

    def _install(self, request):
        self.snapshot = SnapshotFile(
            last_index=request.last_index,
            last_term=request.last_term,
            replicas=request.replicas,
            data=bytes(self._incoming),
        )
        self._incoming = bytearray()
        self._incoming_source = None
        self.log.reset(self.snapshot)
        self.synced_index = min(self.synced_index, request.last_index)
        self.commit_index = self.applied_index = request.last_index
        self._ready.snapshot = self.snapshot
        self._ready.records = []

    def _answer_snapshot(self, sender, request, offset_bytes):
        answer = SnapshotAnswer(
            term=self.term,
            follower=self.identity,
            last_index=request.last_index,
            offset_bytes=offset_bytes,
            round=request.round,
        )
        self.send(sender, answer)

    def _follow(self, term, leader):
        """Recognise the leader of a term; return whether it is current."""
        if term < self.term:
            return False
        self._see_term(term)
        if self.role != FOLLOWER:
            self._become(FOLLOWER)
        self.leader = leader
        self._heard_ms = self.now_ms
        self._reset_election()
        return True

    @_take.register(AppendAnswer)
    @_take.register(SnapshotAnswer)
    def _(self, answer, sender):
        """Take a follower's answer if this replica still leads."""
        self._see_term(answer.term)
        if self._leadership is not None:
            self._leadership.on_answer(sender, answer)

    # Terms and roles.

    def _see_term(self, term):
        if term > self.term:
            self._set_term(term, voted_for=0)
            self._become(FOLLOWER)

    def _set_term(self, term, *, voted_for):
        self.term = term
        self.voted_for = voted_for
        self._ready.state = HardState(term=term, voted_for=voted_for)

    def _become(self, role):
        self.role = role
        self.leader = 0
        self._pre = False
        self._votes = set()
        if self._leadership is not None:
            for read_id in self._leadership.pending_reads():
                self.complete_read(read_id, 0)
        self._leadership = None
        if role != LEADER:
            self._reset_election()

    def _lead(self):
        if self._leadership is None:
            raise NotLeaderError("another replica leads", field="leader")
        return self._leadership

    def _hears_leader(self):
        if self._leadership is not None:
            return True
        return bool(self.leader) and self.now_ms - self._heard_ms < self.election_ms

    def _reset_election(self):
        spread = int(self._random.random() * self.election_ms)
        self._election_until_ms = self.now_ms + self.election_ms + spread

    def _others(self):
        return sorted(self.members - {self.identity})

    # Parts of a node.

    def append_record(self, command):
        """Append a record of this term."""
        record = self.log.add(self.term, command)
        self._ready.records.append(record)
        return record

    def commit_to(self, index):
        """Learn that all records up to an index are committed."""
        self.commit_index = max(index, self.commit_index)

    def complete_read(self, read_id, index):
        """Tell the embedder that a read is confirmed, or, with index 0, failed."""
        self._ready.reads.append(ReadReady(read_id=read_id, index=index))

    def send(self, to, message):
        """Send a message once this step is persisted."""
        self._ready.after_sync.append(Envelope(to=to, message=message))

    def send_before_sync(self, to, message):
        """Send a message that claims nothing of this replica's own disk."""
        self._ready.before_sync.append(Envelope(to=to, message=message))


def _log_from(snapshot, records):
    if snapshot is None:
        return ConsensusLog(records=records)
    after = [record for record in records if record.index > snapshot.last_index]
    return ConsensusLog(
        base_index=snapshot.last_index,
        base_term=snapshot.last_term,
        replicas=snapshot.replicas,
        records=after,
    )


def _check_records(request):
    for place, record in enumerate(request.records, request.previous_index + 1):
        if record.index != place:
            raise BadMessageError("not the next record", field="index", value=place)
