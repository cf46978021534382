"""knapweeddeal.leadership: The leader's side of a consensus node."""

import functools

from knapweeddeal.consensuslog import pack_membership
from knapweeddeal.errors import InvalidIntentError, NoQuorumError
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendRequest,
    InstallSnapshotRequest,
    SnapshotAnswer,
)
from knapweeddeal.messages.replication import LeadershipTransfer
from knapweeddeal.record import Record

__all__ = ["Leadership"]

#: Limit on the total size of the commands in one append request.
MAX_APPEND_BYTES = 1 << 20
#: Size of one part of a snapshot; the last part may be shorter.
SNAPSHOT_PART_BYTES = 256 * 1024


class Progress:
    """Track how far one other replica has replicated the log.

    While `probing`, the leader searches for the last matching record and sends one
    append per answer or heartbeat.
    """

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
    """Hold a read until a quorum has confirmed the leader in its round."""

    __slots__ = ("index", "read_id", "round")


class Leadership:
    """Replicate, commit, confirm reads and transfer leadership in one term.

    The node owns log, term and membership; this class advances its commit index.
    """

    __slots__ = (
        "_heartbeat_ms",
        "_learners",
        "_node",
        "_progress",
        "_reads",
        "_round",
        "_transfer_to",
        "_transfer_deadline_ms",
        "next_heartbeat_ms",
    )

    def __init__(self, *, node, heartbeat_ms):
        self._node = node
        self._heartbeat_ms = heartbeat_ms
        self._learners = set()
        self._progress = {}
        self._reads = []
        self._round = 0
        self._transfer_to = 0
        self._transfer_deadline_ms = 0
        self.next_heartbeat_ms = 0
        self._update_tracked_replicas()

    # Queries.

    @property
    def transferring(self):
        """Return whether a leadership transfer is in progress."""
        return bool(self._transfer_to)

    def is_term_committed(self):
        """Return whether a record of this term is committed."""
        node = self._node
        return node.log.term_at(node.commit_index) == node.term

    def is_learner(self, identity):
        """Return whether a replica receives records without being a member."""
        return identity in self._learners and identity not in self._node.members

    def is_caught_up(self, identity):
        """Return whether a replica is responsive and holds all committed records."""
        progress = self._progress.get(identity)
        if progress is None or not self._is_responsive(progress):
            return False
        return progress.match_index >= self._node.commit_index

    def pending_reads(self):
        """Return the ids of reads that no quorum has confirmed yet."""
        return [read.read_id for read in self._reads]

    # Commands.

    def propose(self, command):
        """Append a record and return its index and term."""
        if self._transfer_to:
            raise NoQuorumError("a leadership transfer is in progress")
        record = self._node.append_record(command)
        for identity in list(self._progress):
            self._replicate(identity)
        return record.index, record.term

    def propose_membership(self, record):
        """Append a membership that adds or removes one replica.

        Return the index and term of the record.
        """
        identities = {replica.identity for replica in record.replicas}
        if len(self._node.members ^ identities) != 1:
            raise InvalidIntentError(
                "expected a membership that adds or removes one replica",
                field="replicas",
            )
        if not self._node.is_membership_committed():
            raise NoQuorumError("the last membership change isn't committed yet")
        result = self.propose(pack_membership(record))
        self._update_tracked_replicas()
        return result

    def add_learner(self, identity):
        """Replicate to a replica that isn't a member yet."""
        self._learners.add(identity)
        self._update_tracked_replicas()

    def remove_learner(self, identity):
        """Stop replicating to a replica that isn't a member."""
        self._learners.discard(identity)
        self._update_tracked_replicas()

    def read(self, read_id):
        """Start a quorum round for a read."""
        self._round += 1
        self._reads.append(Read(read_id=read_id, index=0, round=self._round))
        self.broadcast()
        self._complete_reads()

    def transfer(self):
        """Transfer leadership to the most up-to-date responsive member.

        Return whether a transfer was started.
        """
        if self._transfer_to:
            return False
        others = [
            (progress.match_index, identity)
            for identity, progress in self._progress.items()
            if identity in self._node.members and self._is_responsive(progress)
        ]
        if not others:
            return False
        self._transfer_to = max(others)[1]
        self._transfer_deadline_ms = self._node.now_ms + self._node.election_ms
        self._transfer_if_caught_up()
        return True

    def tick(self):
        """Run what is due; return whether a majority is still responsive."""
        now_ms = self._node.now_ms
        responsive = {
            identity
            for identity, progress in self._progress.items()
            if self._is_responsive(progress)
        }
        if not self._node.is_quorum(responsive | {self._node.identity}):
            return False
        if self._transfer_to and now_ms >= self._transfer_deadline_ms:
            self._transfer_to = 0
        self.transfer_if_removed()
        if now_ms >= self.next_heartbeat_ms:
            self.broadcast()
        return True

    def transfer_if_removed(self):
        """Transfer leadership if the committed membership lacks this node."""
        if self._node.is_membership_committed() and not self._node.is_member:
            self.transfer()

    def broadcast(self):
        """Send missing records, or a heartbeat, to every replica."""
        self.next_heartbeat_ms = self._node.now_ms + self._heartbeat_ms
        for identity in list(self._progress):
            self._replicate(identity, always=True)

    def _replicate(self, identity, *, always=False):
        """Send missing records to a replica; with `always`, at least a heartbeat."""
        progress = self._progress[identity]
        previous = progress.next_index - 1
        if previous < self._node.log.base_index:
            self._send_snapshot_part(identity, progress, always=always)
            return
        if progress.probing and not always:
            return
        records = self._node.log.slice(
            progress.next_index, self._node.log.last_index, max_bytes=MAX_APPEND_BYTES
        )
        if not records and not always:
            return
        if not progress.probing:
            progress.next_index += len(records)
        request = AppendRequest(
            term=self._node.term,
            leader=self._node.identity,
            previous_index=previous,
            previous_term=self._node.log.term_at(previous),
            records=records,
            commit_index=self._node.commit_index,
            round=self._round,
        )
        self._node.send_before_sync(identity, request)

    def _send_snapshot_part(self, identity, progress, *, always):
        """Send the next part of the snapshot; only one is in flight at a time."""
        snapshot = self._node.snapshot
        if progress.snapshot_index != snapshot.last_index:
            progress.snapshot_index = snapshot.last_index
            progress.offset_bytes = 0
        elif not always:
            return
        end = progress.offset_bytes + SNAPSHOT_PART_BYTES
        request = InstallSnapshotRequest(
            term=self._node.term,
            leader=self._node.identity,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            replicas=snapshot.replicas,
            offset_bytes=progress.offset_bytes,
            data=snapshot.data[progress.offset_bytes : end],
            done=end >= len(snapshot.data),
            round=self._round,
        )
        self._node.send_before_sync(identity, request)

    def on_answer(self, sender, answer):
        """Handle a follower's answer to an append or snapshot part."""
        progress = self._record_answer(sender, answer)
        if progress is not None:
            self._update_progress(answer, sender, progress)
            self._complete_reads()

    @functools.singledispatchmethod
    def _update_progress(self, answer, sender, progress):
        """Update a replica's progress from its answer and send what is next."""

    @_update_progress.register
    def _(self, answer: AppendAnswer, sender, progress):
        progress.probing = not answer.success
        if answer.success:
            progress.match_index = max(progress.match_index, answer.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self.advance_commit()
        else:
            hint = min(answer.match_index, progress.next_index - 2)
            progress.next_index = max(hint, progress.match_index) + 1
        self._replicate(sender, always=not answer.success)
        self._transfer_if_caught_up()

    @_update_progress.register
    def _(self, answer: SnapshotAnswer, sender, progress):
        if progress.snapshot_index != answer.last_index:
            return
        if progress.next_index > self._node.log.base_index:
            return
        if answer.offset_bytes != progress.offset_bytes:
            progress.offset_bytes = answer.offset_bytes
            self._send_snapshot_part(sender, progress, always=True)

    def _record_answer(self, sender, answer):
        """Return the sender's progress, or None for another term or replica."""
        if answer.term != self._node.term:
            return None
        progress = self._progress.get(sender)
        if progress is None:
            return None
        progress.answered_ms = self._node.now_ms
        progress.round = max(progress.round, answer.round)
        return progress

    def advance_commit(self):
        """Commit up to the last index a majority synced, if it is of this term."""
        matches = sorted(
            (self._match_index_of(identity) for identity in self._node.members),
            reverse=True,
        )
        index = matches[len(matches) // 2]
        node = self._node
        if index > node.commit_index and node.log.term_at(index) == node.term:
            node.commit_to(index)
            self.transfer_if_removed()
            self._complete_reads()
            self.broadcast()

    def _match_index_of(self, identity):
        if identity == self._node.identity:
            return self._node.synced_index
        progress = self._progress.get(identity)
        return progress.match_index if progress else 0

    def _complete_reads(self):
        if not self._reads or not self.is_term_committed():
            return
        pending = []
        for read in self._reads:
            read.index = read.index or self._node.commit_index
            if self._node.is_quorum(self._identities_answered(read.round)):
                self._node.complete_read(read.read_id, read.index)
            else:
                pending.append(read)
        self._reads = pending

    def _identities_answered(self, round):
        answered = {
            identity
            for identity, progress in self._progress.items()
            if progress.round >= round
        }
        return answered | {self._node.identity}

    def _is_responsive(self, progress):
        return self._node.now_ms - progress.answered_ms < self._node.election_ms

    def _transfer_if_caught_up(self):
        progress = self._progress.get(self._transfer_to)
        if progress and progress.match_index == self._node.log.last_index:
            node = self._node
            message = LeadershipTransfer(term=node.term, leader=node.identity)
            node.send(self._transfer_to, message)

    def _update_tracked_replicas(self):
        tracked = (self._node.members | self._learners) - {self._node.identity}
        for identity in set(self._progress) - tracked:
            del self._progress[identity]
        for identity in sorted(tracked - set(self._progress)):
            self._progress[identity] = Progress(
                next_index=self._node.log.last_index + 1, now_ms=self._node.now_ms
            )
