"""knapweeddeal.consensus: One replica of a replicated log, without input or output.

The base is Raft's published algorithm. The embedder feeds messages, commands and the
time, then takes a `Ready` after each step and obeys its order: send `early`, persist
state, snapshot and records, call `persisted`, send `late`, apply `committed`.
"""

import functools

from knapweeddeal.consensuslog import (
    ConsensusLog,
    pack_command,
    pack_leader_start,
    pack_membership,
)
from knapweeddeal.errors import (
    BadMessageError,
    CorruptStorageError,
    InvalidIntentError,
    NoQuorumError,
    NotLeaderError,
)
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendAsk,
    SnapshotAnswer,
    SnapshotAsk,
    VoteAnswer,
    VoteAsk,
)
from knapweeddeal.messages.replication import (
    HardState,
    LeadershipTransfer,
    MembershipRecord,
    SnapshotFile,
)
from knapweeddeal.record import Record

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "Envelope", "Node", "ReadReady", "Ready"]

FOLLOWER = "follower"
#: Asks whether an election could be won, and then for votes.
CANDIDATE = "candidate"
LEADER = "leader"

#: Most bytes of commands in one append.
MAX_APPEND_BYTES = 1 << 20
#: Bytes of one part of a snapshot.
SNAPSHOT_PART_BYTES = 256 * 1024


class Envelope(Record):
    """Address a message to a replica by its identity."""

    __slots__ = ("message", "to")


class ReadReady(Record):
    """Tell that a read may be answered, or, with `index` 0, that it failed."""

    __slots__ = ("index", "read_id")


class Ready:
    """Hold what the embedder has to do after a step.

    `records` and `state` and `snapshot` are to be synced before `late` is sent and
    before `committed` is applied; `early` may be sent at once. A snapshot was received
    from the leader and replaces the whole replicated state.
    """

    __slots__ = ("committed", "early", "late", "reads", "records", "snapshot", "state")

    def __init__(self):
        self.state = None
        self.snapshot = None
        self.records = []
        self.early = []
        self.late = []
        self.committed = []
        self.reads = []

    def __bool__(self):
        """Tell whether there is anything to do."""
        return any(getattr(self, name) for name in self.__slots__)

    def must_persist(self):
        """Tell whether there is anything to sync."""
        return bool(self.state or self.snapshot or self.records)


class Progress:
    """Track what the leader knows of one other replica."""

    __slots__ = (
        "answered_ms",
        "match_index",
        "next_index",
        "offset_bytes",
        "probing",
        "round",
        "snapshot_index",
    )

    def __init__(self, *, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        self.round = 0
        self.answered_ms = now_ms
        self.probing = True
        self.snapshot_index = 0
        self.offset_bytes = 0


class Read(Record):
    """Hold a read that waits for its quorum round."""

    __slots__ = ("index", "read_id", "round")


class Node:
    """Decide for one replica; `identity` belongs to its data folder.

    Only identities in a candidate's or leader's membership count. A replica campaigns
    if its own log names it, and votes if its log isn't empty: so one whose folder was
    lost, which has a new identity, does neither until it was swapped in.
    """

    __slots__ = (
        "_election_ms",
        "_election_until_ms",
        "_heard_ms",
        "_heartbeat_ms",
        "_heartbeat_until_ms",
        "_incoming",
        "_incoming_source",
        "_learners",
        "_now_ms",
        "_pre",
        "_progress",
        "_random",
        "_reads",
        "_ready",
        "_round",
        "_self_match",
        "_transfer_to",
        "_transfer_until_ms",
        "_votes",
        "applied_index",
        "commit_index",
        "identity",
        "leader",
        "log",
        "role",
        "snapshot",
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
        self._election_ms = election_ms
        self._heartbeat_ms = heartbeat_ms
        self._now_ms = now_ms
        self._heard_ms = now_ms - election_ms
        self._heartbeat_until_ms = 0
        self._learners = {}
        self._progress = {}
        self._reads = []
        self._votes = set()
        self._pre = False
        self._round = 0
        self._self_match = self.log.last_index
        self._transfer_to = 0
        self._transfer_until_ms = 0
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
        if self.role == LEADER:
            return self._heartbeat_until_ms
        return self._election_until_ms

    @property
    def transferring(self):
        """Tell whether leadership is being handed over."""
        return bool(self._transfer_to)

    def members_settled(self):
        """Tell whether the latest membership is committed, and this term began."""
        if self.role == LEADER and not self._term_settled():
            return False
        return self.log.membership_index <= self.commit_index

    def is_learner(self, identity):
        """Tell whether a replica is replicated to but doesn't count."""
        return identity in self._learners and identity not in self.members

    def caught_up(self, identity):
        """Tell whether a replica holds all committed records and answers."""
        progress = self._progress.get(identity)
        if progress is None or not self._is_fresh(progress):
            return False
        return progress.match_index >= self.commit_index

    # Commands of the embedder.

    def found(self, replicas):
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
        return self._propose(pack_command(command))

    def propose_membership(self, record):
        """Append a membership that differs in one replica; return index and term."""
        self._must_lead()
        changed = self.members ^ {replica.identity for replica in record.replicas}
        if len(changed) != 1:
            raise InvalidIntentError("not a change of one replica", field="replicas")
        if not self.members_settled():
            raise NoQuorumError("the last change isn't committed yet")
        result = self._propose(pack_membership(record))
        self._adopt_members()
        return result

    def add_learner(self, identity):
        """Replicate to a replica that doesn't count yet."""
        self._must_lead()
        self._learners[identity] = True
        self._adopt_members()

    def drop_learner(self, identity):
        """Stop replicating to a replica that doesn't count."""
        self._learners.pop(identity, None)
        self._adopt_members()

    def read(self, read_id):
        """Ask for a quorum round; a ReadReady with its index comes after it."""
        self._must_lead()
        self._round += 1
        self._reads.append(Read(read_id=read_id, index=0, round=self._round))
        self._broadcast()
        self._finish_reads()

    def transfer(self):
        """Hand leadership to the fullest member; return whether there is one."""
        if self.role != LEADER or self._transfer_to:
            return False
        others = [
            (progress.match_index, identity)
            for identity, progress in self._progress.items()
            if identity in self.members and self._is_fresh(progress)
        ]
        if not others:
            return False
        self._transfer_to = max(others)[1]
        self._transfer_until_ms = self._now_ms + self._election_ms
        self._try_transfer()
        return True

    def compact(self, snapshot, keep_records):
        """Drop records that a snapshot of this replica's own state replaces."""
        self.snapshot = snapshot
        self.log.drop_before(max(snapshot.last_index - keep_records, 0))

    def tick(self, now_ms):
        """Let time pass."""
        self._now_ms = max(now_ms, self._now_ms)
        if self.role == LEADER:
            self._tick_leader()
        elif self._now_ms >= self._election_until_ms:
            self._campaign(pre=True)

    def persisted(self, ready):
        """Learn that the snapshot and the records of a Ready are synced here."""
        last = ready.records[-1] if ready.records else None
        if last is not None and self.log.term_at(last.index) == last.term:
            self._self_match = max(self._self_match, last.index)
        elif ready.snapshot is not None:
            self._self_match = max(self._self_match, ready.snapshot.last_index)
        if self.role == LEADER:
            self._advance_commit()

    def take_ready(self):
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
        self._now_ms = max(now_ms, self._now_ms)
        _receive(message, self, sender)

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
        ask = VoteAsk(
            term=self.term + 1 if pre else self.term,
            candidate=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for identity in self._others():
            self._send(identity, ask)
        self._count_votes()

    def _count_votes(self):
        if not self._is_quorum(self._votes):
            return
        if self._pre:
            self._campaign(pre=False)
        else:
            self._lead()

    def _lead(self):
        self._become(LEADER)
        self.leader = self.identity
        self._adopt_members()
        self._propose(pack_leader_start())
        self._broadcast()

    def on_vote_ask(self, sender, ask):
        """Give a vote, or tell whether it would be given.

        A member may lack the record that names it, so the candidate's log decides.
        """
        if not self.log.last_index:
            return
        if ask.pre:
            granted = ask.term > self.term and not self._hears_leader()
        else:
            self._see_term(ask.term)
            free = self.voted_for in (0, ask.candidate) and not self.leader
            granted = ask.term == self.term and free
        mine = (self.log.last_term, self.log.last_index)
        granted = granted and (ask.last_term, ask.last_index) >= mine
        if granted and not ask.pre:
            self._set_term(self.term, voted_for=ask.candidate)
            self._reset_election()
        term = ask.term if granted else self.term
        self._send(
            sender,
            VoteAnswer(term=term, voter=self.identity, granted=granted, pre=ask.pre),
        )

    def on_vote_answer(self, answer):
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

    def on_transfer(self, message):
        """Start an election at once, as the leader asks."""
        if message.term == self.term and self.role == FOLLOWER and self.is_member:
            self._campaign(pre=False)

    # Followers.

    def on_append(self, sender, ask):
        """Take records from the leader."""
        if not self._follow(ask.term, ask.leader):
            self._answer_append(sender, ask, success=False, match=0)
            return
        _check_records(ask)
        if self.log.term_at(ask.previous_index) != ask.previous_term:
            if ask.previous_index < self.log.base_index:
                match, success = self.log.base_index, True
            else:
                match, success = self._hint(ask.previous_index), False
            self._answer_append(sender, ask, success=success, match=match)
            return
        self._add_records(ask.records)
        match = ask.previous_index + len(ask.records)
        self._commit_to(min(ask.commit_index, match))
        self._answer_append(sender, ask, success=True, match=match)

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
        self.log.cut(index)
        self._self_match = min(self._self_match, index - 1)

    def _hint(self, previous_index):
        """Return an index up to which the logs may agree."""
        if previous_index > self.log.last_index:
            return self.log.last_index
        return max(self.log.first_of_term(previous_index) - 1, self.commit_index)

    def _answer_append(self, sender, ask, *, success, match):
        answer = AppendAnswer(
            term=self.term,
            follower=self.identity,
            success=success,
            match_index=match,
            round=ask.round,
        )
        self._send(sender, answer)

    def on_snapshot(self, sender, ask):
        """Take a part of a snapshot."""
        if not self._follow(ask.term, ask.leader):
            self._answer_snapshot(sender, ask, 0)
            return
        if ask.last_index <= self.commit_index:
            self._answer_append(sender, ask, success=True, match=self.commit_index)
            return
        source = (ask.term, ask.last_index)
        if self._incoming_source != source:
            self._incoming_source = source
            self._incoming = bytearray()
        if ask.offset_bytes == len(self._incoming):
            self._incoming += ask.data
            if ask.done:
                self._install(ask)
                self._answer_append(sender, ask, success=True, match=ask.last_index)
                return
        self._answer_snapshot(sender, ask, len(self._incoming))

    def _install(self, ask):
        self.snapshot = SnapshotFile(
            last_index=ask.last_index,
            last_term=ask.last_term,
            replicas=ask.replicas,
            data=bytes(self._incoming),
        )
        self._incoming = bytearray()
        self._incoming_source = None
        self.log.reset(self.snapshot)
        self.commit_index = self.applied_index = ask.last_index
        self._ready.snapshot = self.snapshot
        self._ready.records = []

    def _answer_snapshot(self, sender, ask, offset_bytes):
        answer = SnapshotAnswer(
            term=self.term,
            follower=self.identity,
            last_index=ask.last_index,
            offset_bytes=offset_bytes,
            round=ask.round,
        )
        self._send(sender, answer)

    def _follow(self, term, leader):
        """Recognise the leader of a term; return whether it is current."""
        if term < self.term:
            return False
        self._see_term(term)
        if self.role != FOLLOWER:
            self._become(FOLLOWER)
        self.leader = leader
        self._heard_ms = self._now_ms
        self._reset_election()
        return True

    # The leader.

    def _propose(self, command):
        self._must_lead()
        if self._transfer_to:
            raise NoQuorumError("leadership is being handed over")
        record = self.log.add(self.term, command)
        self._ready.records.append(record)
        for identity in list(self._progress):
            self._replicate(identity)
        return record.index, record.term

    def _broadcast(self):
        self._heartbeat_until_ms = self._now_ms + self._heartbeat_ms
        for identity in list(self._progress):
            self._replicate(identity, always=True)

    def _replicate(self, identity, *, always=False):
        """Send what a replica lacks, or, with `always`, at least a heartbeat."""
        progress = self._progress[identity]
        previous = progress.next_index - 1
        if previous < self.log.base_index:
            self._send_part(identity, progress, always=always)
            return
        if progress.probing and not always:
            return
        records = self.log.slice(
            progress.next_index, self.log.last_index, max_bytes=MAX_APPEND_BYTES
        )
        if not records and not always:
            return
        if not progress.probing:
            progress.next_index += len(records)
        ask = AppendAsk(
            term=self.term,
            leader=self.identity,
            previous_index=previous,
            previous_term=self.log.term_at(previous),
            records=records,
            commit_index=self.commit_index,
            round=self._round,
        )
        self._ready.early.append(Envelope(to=identity, message=ask))

    def _send_part(self, identity, progress, *, always):
        """Send the snapshot's next part; one is under way at a time."""
        snapshot = self.snapshot
        if progress.snapshot_index != snapshot.last_index:
            progress.snapshot_index = snapshot.last_index
            progress.offset_bytes = 0
        elif not always:
            return
        end = progress.offset_bytes + SNAPSHOT_PART_BYTES
        ask = SnapshotAsk(
            term=self.term,
            leader=self.identity,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            replicas=snapshot.replicas,
            offset_bytes=progress.offset_bytes,
            data=snapshot.data[progress.offset_bytes : end],
            done=end >= len(snapshot.data),
            round=self._round,
        )
        self._ready.early.append(Envelope(to=identity, message=ask))

    def on_append_answer(self, sender, answer):
        """Learn what a replica holds."""
        progress = self._heard(sender, answer)
        if progress is None:
            return
        progress.probing = not answer.success
        if answer.success:
            progress.match_index = max(progress.match_index, answer.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit()
        else:
            hint = min(answer.match_index, progress.next_index - 2)
            progress.next_index = max(hint, progress.match_index) + 1
        self._replicate(sender, always=not answer.success)
        self._finish_reads()
        self._try_transfer()

    def on_snapshot_answer(self, sender, answer):
        """Go on with a snapshot where the replica stands."""
        progress = self._heard(sender, answer)
        if progress is None:
            return
        self._finish_reads()
        if progress.snapshot_index != answer.last_index:
            return
        if progress.next_index > self.log.base_index:
            return
        if answer.offset_bytes != progress.offset_bytes:
            progress.offset_bytes = answer.offset_bytes
            self._send_part(sender, progress, always=True)

    def _heard(self, sender, answer):
        """Return the sender's progress if the answer belongs to this leadership."""
        self._see_term(answer.term)
        if self.role != LEADER or answer.term != self.term:
            return None
        progress = self._progress.get(sender)
        if progress is None:
            return None
        progress.answered_ms = self._now_ms
        progress.round = max(progress.round, answer.round)
        return progress

    def _advance_commit(self):
        matches = sorted(
            (self._match_of(identity) for identity in self.members), reverse=True
        )
        index = matches[len(matches) // 2]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_to(index)
            self._finish_reads()
            self._broadcast()

    def _commit_to(self, index):
        if index <= self.commit_index:
            return
        self.commit_index = index
        if self.role == LEADER and self.members_settled() and not self.is_member:
            self.transfer()

    def _match_of(self, identity):
        if identity == self.identity:
            return self._self_match
        progress = self._progress.get(identity)
        return progress.match_index if progress else 0

    def _finish_reads(self):
        if self.role != LEADER or not self._reads or not self._term_settled():
            return
        waiting = []
        for read in self._reads:
            read.index = read.index or self.commit_index
            if self._is_quorum(self._answered(read.round)):
                self._ready.reads.append(
                    ReadReady(read_id=read.read_id, index=read.index)
                )
            else:
                waiting.append(read)
        self._reads = waiting

    def _answered(self, round):
        answered = {
            identity
            for identity, progress in self._progress.items()
            if progress.round >= round
        }
        return answered | {self.identity}

    def _tick_leader(self):
        fresh = {
            identity
            for identity, progress in self._progress.items()
            if self._is_fresh(progress)
        }
        if not self._is_quorum(fresh | {self.identity}):
            self._become(FOLLOWER)
            return
        if self._transfer_to and self._now_ms >= self._transfer_until_ms:
            self._transfer_to = 0
        if self.members_settled() and not self.is_member and not self._transfer_to:
            self.transfer()
        if self._now_ms >= self._heartbeat_until_ms:
            self._broadcast()

    def _is_fresh(self, progress):
        return self._now_ms - progress.answered_ms < self._election_ms

    def _try_transfer(self):
        progress = self._progress.get(self._transfer_to)
        if progress and progress.match_index == self.log.last_index:
            message = LeadershipTransfer(term=self.term, leader=self.identity)
            self._send(self._transfer_to, message)

    def _adopt_members(self):
        if self.role != LEADER:
            return
        wanted = (self.members | set(self._learners)) - {self.identity}
        for identity in set(self._progress) - wanted:
            del self._progress[identity]
        for identity in sorted(wanted - set(self._progress)):
            self._progress[identity] = Progress(
                next_index=self.log.last_index + 1, now_ms=self._now_ms
            )

    def _term_settled(self):
        return self.log.term_at(self.commit_index) == self.term

    def _must_lead(self):
        if self.role != LEADER:
            raise NotLeaderError("another replica leads", field="leader")

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
        self._progress = {}
        self._learners = {}
        self._transfer_to = 0
        for read in self._reads:
            self._ready.reads.append(ReadReady(read_id=read.read_id, index=0))
        self._reads = []
        if role != LEADER:
            self._reset_election()

    def _hears_leader(self):
        if self.role == LEADER:
            return True
        return bool(self.leader) and self._now_ms - self._heard_ms < self._election_ms

    def _reset_election(self):
        spread = int(self._random.random() * self._election_ms)
        self._election_until_ms = self._now_ms + self._election_ms + spread

    def _others(self):
        return sorted(self.members - {self.identity})

    def _is_quorum(self, identities):
        members = self.members
        return len(identities & members) * 2 > len(members)

    def _send(self, to, message):
        self._ready.late.append(Envelope(to=to, message=message))


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


def _check_records(ask):
    for place, record in enumerate(ask.records, ask.previous_index + 1):
        if record.index != place:
            raise BadMessageError("not the next record", field="index", value=place)


@functools.singledispatch
def _receive(_message, _node, _sender):
    """Drop what doesn't belong between replicas."""


@_receive.register
def _(message: VoteAsk, node, sender):
    node.on_vote_ask(sender, message)


@_receive.register
def _(message: VoteAnswer, node, _sender):
    node.on_vote_answer(message)


@_receive.register
def _(message: AppendAsk, node, sender):
    node.on_append(sender, message)


@_receive.register
def _(message: AppendAnswer, node, sender):
    node.on_append_answer(sender, message)


@_receive.register
def _(message: SnapshotAsk, node, sender):
    node.on_snapshot(sender, message)


@_receive.register
def _(message: SnapshotAnswer, node, sender):
    node.on_snapshot_answer(sender, message)


@_receive.register
def _(message: LeadershipTransfer, node, _sender):
    node.on_transfer(message)
