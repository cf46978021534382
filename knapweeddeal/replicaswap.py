"""knapweeddeal.replicaswap: The steps that change one member of the replicated log."""

from knapweeddeal.controlqueries import replicas_answer
from knapweeddeal.errors import (
    InvalidIntentError,
    NoQuorumError,
    NotLeaderError,
)
from knapweeddeal.messages.replication import MembershipRecord

__all__ = ["ReplicaSwap"]

#: Longest time for a new replica to catch up and be committed.
SWAP_MS = 60_000


class ReplicaSwap:
    """Add a replica after it caught up, then remove another, one at a time.

    Each step looks at the membership, so that a resend goes on where a lost leader
    stopped.
    """

    __slots__ = ("_add", "_node", "_remove", "_replica", "_request", "_until_ms")
    __slots__ += ("call_id",)

    def __init__(self, *, call_id, request, replica):
        self.call_id = call_id
        self._replica = replica
        self._node = replica.node
        self._request = (request.operator, request.request_id)
        self._remove = request.remove
        self._until_ms = 0
        self._add = _find(replica, request.add) if request.add.name else None
        if self._add is None and not request.remove:
            raise InvalidIntentError("names no replica", field="add", value="")

    def advance(self, now_ms):
        """Take the next step if it is due; return the answer at the end, else None."""
        self._until_ms = self._until_ms or now_ms + SWAP_MS
        if self._node.leader != self._node.identity:
            raise NotLeaderError("the leader changed, resend", field="leader")
        if now_ms >= self._until_ms:
            self._remove_learner()
            raise NoQuorumError("the replica didn't catch up in time")
        if not self._node.is_membership_committed():
            return None
        if self._has_to_add():
            self._advance_addition()
            return None
        if self._has_to_remove():
            self._advance_removal()
            return None
        return replicas_answer(self._replica)

    def _has_to_add(self):
        return self._add is not None and self._add.identity not in self._node.members

    def _has_to_remove(self):
        return self._remove in self._node.members

    def _advance_addition(self):
        identity = self._add.identity
        if not self._node.is_learner(identity):
            self._node.add_learner(identity)
        elif self._node.is_caught_up(identity):
            self._propose([*self._node.log.replicas, self._add])

    def _advance_removal(self):
        stay = [r for r in self._node.log.replicas if r.identity != self._remove]
        if not stay:
            raise InvalidIntentError(
                "would remove the last replica", field="remove", value=self._remove
            )
        self._propose(stay)

    def _propose(self, replicas):
        is_last = not (self._has_to_add() and self._has_to_remove())
        operator, request_id = self._request
        record = MembershipRecord(
            replicas=replicas,
            operator=operator,
            request_id=request_id if is_last else "",
        )
        self._node.propose_membership(record)

    def _remove_learner(self):
        if self._add is not None:
            self._node.remove_learner(self._add.identity)


def _find(replica, wanted):
    """Return the reachable candidate, or the member, that an ask means."""
    known = [*replica.candidates(), *replica.node.log.replicas]
    for found in known:
        if found.name == wanted.name and wanted.identity in (0, found.identity):
            return found
    raise InvalidIntentError("no such candidate", field="add", value=wanted.name)
