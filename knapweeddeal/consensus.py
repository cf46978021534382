"""knapweeddeal.consensus: One replica of a replicated log, without input or output.

This is Raft as published. The embedder passes in messages, commands and the current
time. After each step it takes a `Ready` and processes it in this order: send
`before_sync`, persist state, snapshot and records, call `persisted`, send
`after_sync`, apply `committed`.
"""

from functools import singledispatchmethod

from knapweeddeal.consensuslog import (
    ConsensusLog,
    pack_command,
    pack_membership,
    pack_noop,
    pack_optional_command,
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
#: Runs a pre-vote, which leaves the term unchanged, and then the election.
CANDIDATE = "candidate"
LEADER = "leader"


class Node:
    """Implement the Raft state machine of one replica.

    `identity` belongs to the data folder. Only identities in the membership of a
    candidate or leader count towards its quorum. A replica campaigns only if the
    membership in its own log contains it, and votes only if its log isn't empty.
    A replica that lost its folder has a new identity and an empty log: it neither
    campaigns nor counts until a membership change adds it.
    """

    __slots__ = (
        "_election_deadline_ms",
        "_leader_contact_ms",
        "_heartbeat_ms",
        "_snapshot_data",
        "_snapshot_source",
        "_leadership",
        "_pre_vote",
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
        self.log = _build_log(snapshot, records)
        self.applied_index = self.log.base_index
        persisted_commit = min(commit_index, self.log.last_index)
        self.commit_index = max(persisted_commit, self.log.base_index)
        self.role = FOLLOWER
        self.leader = 0
        self._random = random
        self.election_ms = election_ms
        self._heartbeat_ms = heartbeat_ms
        self.now_ms = now_ms
        self._leader_contact_ms = now_ms - election_ms
        self._leadership = None
        self._votes = set()
        self._pre_vote = False
        self.synced_index = self.log.last_index
        self._snapshot_data = bytearray()
        self._snapshot_source = None
        self._ready = Ready()
        self._reset_election()

    # Queries.

    @property
    def members(self):
        """Return the identities of the latest membership."""
        return {replica.identity for replica in self.log.replicas}

    @property
    def is_member(self):
        """Return whether the latest membership contains this replica."""
        return self.identity in self.members

    @property
    def next_ms(self):
        """Return the latest time for the next call of `tick`."""
        if self._leadership is not None:
            return self._leadership.next_heartbeat_ms
        return self._election_deadline_ms

    @property
    def transferring(self):
        """Return whether a leadership transfer is in progress."""
        return self._leadership is not None and self._leadership.transferring

    def is_membership_committed(self):
        """Return whether the latest membership is committed.

        A leader also needs a committed record of its own term.
        """
        if self._leadership is not None and not self._leadership.is_term_committed():
            return False
        return self.log.membership_index <= self.commit_index

    def is_learner(self, identity):
        """Return whether a replica receives records without being a member."""
        return self._leadership is not None and self._leadership.is_learner(identity)

    def is_caught_up(self, identity):
        """Return whether a replica is responsive and holds all committed records."""
        return self._leadership is not None and self._leadership.is_caught_up(identity)

    def is_quorum(self, identities):
        """Return whether identities include a majority of the latest membership."""
        members = self.members
        return len(identities & members) * 2 > len(members)

    # Commands of the embedder.

    def bootstrap(self, replicas):
        """Write the first membership to an empty log, as all initial members do."""
        if self.log.last_index:
            raise InvalidIntentError(
                "expected an empty log to bootstrap", field="replicas"
            )
        record = MembershipRecord(replicas=replicas, operator="", request_id="")
        self.term = 1
        self._ready.state = HardState(term=1, voted_for=0)
        self._ready.records.append(self.log.add(1, pack_membership(record)))
        self._reset_election()

    def propose(self, command):
        """Append a command and return its index and term.

        Raise NotLeaderError, or NoQuorumError during a leadership transfer.
        """
        return self._require_leadership().propose(pack_command(command))

    def propose_optional(self, command):
        """Append a command that replicas of earlier versions ignore.

        Return and raise the same as `propose`.
        """
        return self._require_leadership().propose(pack_optional_command(command))

    def propose_membership(self, record):
        """Append a membership that adds or removes one replica.

        Return the index and term of the record. Raise NotLeaderError, NoQuorumError
        while another change is uncommitted, and InvalidIntentError.
        """
        return self._require_leadership().propose_membership(record)

    def add_learner(self, identity):
        """Replicate to a replica that isn't a member yet."""
        self._require_leadership().add_learner(identity)

    def remove_learner(self, identity):
        """Stop replicating to a replica that isn't a member."""
        self._require_leadership().remove_learner(identity)

    def read(self, read_id):
        """Start a linearizable read; a later Ready holds its ReadReady."""
        self._require_leadership().read(read_id)

    def transfer(self):
        """Transfer leadership to the most up-to-date responsive member.

        Return whether a transfer was started.
        """
        return self._leadership is not None and self._leadership.transfer()

    def compact(self, snapshot, keep_records):
        """Drop records covered by a snapshot, except the last `keep_records`."""
        self.snapshot = snapshot
        self.log.compact_to(max(snapshot.last_index - keep_records, 0))

    def tick(self, now_ms):
        """Advance the clock and run what is due."""
        self.now_ms = max(now_ms, self.now_ms)
        if self._leadership is not None:
            if not self._leadership.tick():
                self._become(FOLLOWER)
        elif self.now_ms >= self._election_deadline_ms:
            self._campaign(pre_vote=True)

    def persisted(self, ready):
        """Record that the snapshot and the records of a Ready are synced."""
        last = ready.records[-1] if ready.records else None
        if last is not None and self.log.term_at(last.index) == last.term:
            self.synced_index = max(self.synced_index, last.index)
        elif ready.snapshot is not None:
            self.synced_index = max(self.synced_index, ready.snapshot.last_index)
        if self._leadership is not None:
            self._leadership.advance_commit()

    def pop_ready(self):
        """Return the pending Ready and start an empty one."""
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
        """Handle a message from another replica."""
        self.now_ms = max(now_ms, self.now_ms)
        self._handle(message, sender)

    # Elections.

    def _campaign(self, *, pre_vote):
        self._reset_election()
        if not self.is_member:
            self.leader = 0
            return
        self._become(CANDIDATE)
        self._pre_vote = pre_vote
        if not pre_vote:
            self._set_term(self.term + 1, voted_for=self.identity)
        self._votes = {self.identity}
        request = VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            candidate=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre_vote,
        )
        for identity in self._peers():
            self.send(identity, request)
        self._count_votes()

    def _count_votes(self):
        if not self.is_quorum(self._votes):
            return
        if self._pre_vote:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _become_leader(self):
        self._become(LEADER)
        self.leader = self.identity
        self._leadership = Leadership(node=self, heartbeat_ms=self._heartbeat_ms)
        self._leadership.propose(pack_noop())
        self._leadership.broadcast()

    @singledispatchmethod
    def _handle(self, message, sender):
        """Ignore a message of a class that replicas don't exchange."""

    @_handle.register
    def _(self, request: VoteRequest, sender):
        """Answer a vote or pre-vote request.

        A voter needn't be in its own membership: it may lack the record that added
        it, so the candidate's membership decides whether its vote counts.
        """
        if not self.log.last_index:
            return
        if request.pre:
            granted = request.term > self.term and not self._has_live_leader()
        else:
            self._observe_term(request.term)
            can_vote = self.voted_for in (0, request.candidate) and not self.leader
            granted = request.term == self.term and can_vote
        own_position = (self.log.last_term, self.log.last_index)
        granted = granted and (request.last_term, request.last_index) >= own_position
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

    @_handle.register
    def _(self, answer: VoteAnswer, _sender):
        """Count a vote or pre-vote."""
        if not answer.granted:
            self._observe_term(answer.term)
            return
        expected = self.term + 1 if answer.pre else self.term
        if self.role != CANDIDATE or answer.pre != self._pre_vote:
            return
        if answer.term == expected:
            self._votes.add(answer.voter)
            self._count_votes()

    @_handle.register
    def _(self, message: LeadershipTransfer, _sender):
        """Start an election at once, without a pre-vote, at the leader's request."""
        if message.term == self.term and self.role == FOLLOWER and self.is_member:
            self._campaign(pre_vote=False)

    # Followers.

    @_handle.register
    def _(self, request: AppendRequest, sender):
        """Append records from the leader."""
        if not self._accept_leader(request.term, request.leader):
            self._answer_append(sender, request, success=False, match=0)
            return
        _check_records(request)
        if self.log.term_at(request.previous_index) != request.previous_term:
            if request.previous_index < self.log.base_index:
                match, success = self.log.base_index, True
            else:
                match, success = self._match_hint(request.previous_index), False
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
                self._truncate_conflict(record.index)
            self.log.append(record)
            self._ready.records.append(record)

    def _truncate_conflict(self, index):
        if index <= self.commit_index:
            raise CorruptStorageError(
                "the leader sent a record that conflicts with a committed one",
                field="index",
                value=index,
            )
        self.log.truncate_from(index)
        self.synced_index = min(self.synced_index, index - 1)

    def _match_hint(self, previous_index):
        """Return the highest index up to which both logs may match."""
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

    @_handle.register
    def _(self, request: InstallSnapshotRequest, sender):
        """Add a part of a snapshot from the leader; install it with the last one."""
        if not self._accept_leader(request.term, request.leader):
            self._answer_snapshot(sender, request, 0)
            return
        if request.last_index <= self.commit_index:
            self._answer_append(sender, request, success=True, match=self.commit_index)
            return
        source = (request.term, request.last_index)
        if self._snapshot_source != source:
            self._snapshot_source = source
            self._snapshot_data = bytearray()
        if request.offset_bytes == len(self._snapshot_data):
            self._snapshot_data += request.data
            if request.done:
                self._install(request)
                self._answer_append(
                    sender, request, success=True, match=request.last_index
                )
                return
        self._answer_snapshot(sender, request, len(self._snapshot_data))

    def _install(self, request):
        self.snapshot = SnapshotFile(
            last_index=request.last_index,
            last_term=request.last_term,
            replicas=request.replicas,
            data=bytes(self._snapshot_data),
        )
        self._snapshot_data = bytearray()
        self._snapshot_source = None
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

    def _accept_leader(self, term, leader):
        """Follow the leader of a term; return False if the term is outdated."""
        if term < self.term:
            return False
        self._observe_term(term)
        if self.role != FOLLOWER:
            self._become(FOLLOWER)
        self.leader = leader
        self._leader_contact_ms = self.now_ms
        self._reset_election()
        return True

    @_handle.register(AppendAnswer)
    @_handle.register(SnapshotAnswer)
    def _(self, answer, sender):
        """Handle a follower's answer if this replica still leads."""
        self._observe_term(answer.term)
        if self._leadership is not None:
            self._leadership.on_answer(sender, answer)

    # Terms and roles.

    def _observe_term(self, term):
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
        self._pre_vote = False
        self._votes = set()
        if self._leadership is not None:
            for read_id in self._leadership.pending_reads():
                self.complete_read(read_id, 0)
        self._leadership = None
        if role != LEADER:
            self._reset_election()

    def _require_leadership(self):
        if self._leadership is None:
            raise NotLeaderError("this replica isn't the leader", field="leader")
        return self._leadership

    def _has_live_leader(self):
        if self._leadership is not None:
            return True
        return (
            bool(self.leader)
            and self.now_ms - self._leader_contact_ms < self.election_ms
        )

    def _reset_election(self):
        jitter_ms = int(self._random.random() * self.election_ms)
        self._election_deadline_ms = self.now_ms + self.election_ms + jitter_ms

    def _peers(self):
        return sorted(self.members - {self.identity})

    # Used by Leadership.

    def append_record(self, command):
        """Append a record of the current term and return it."""
        record = self.log.add(self.term, command)
        self._ready.records.append(record)
        return record

    def commit_to(self, index):
        """Raise the commit index to an index."""
        self.commit_index = max(index, self.commit_index)

    def complete_read(self, read_id, index):
        """Add a ReadReady: the read is confirmed, or, with index 0, failed."""
        self._ready.reads.append(ReadReady(read_id=read_id, index=index))

    def send(self, to, message):
        """Queue a message to send after this step was persisted."""
        self._ready.after_sync.append(Envelope(to=to, message=message))

    def send_before_sync(self, to, message):
        """Queue a message that is safe to send before this replica's own sync."""
        self._ready.before_sync.append(Envelope(to=to, message=message))


def _build_log(snapshot, records):
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
    for expected_index, record in enumerate(
        request.records, request.previous_index + 1
    ):
        if record.index != expected_index:
            raise BadMessageError(
                "expected records with consecutive indices",
                field="index",
                value=expected_index,
            )
