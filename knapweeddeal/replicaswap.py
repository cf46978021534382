"""knapweeddeal.replicaswap: An operator's replacement of one log member."""

from knapweeddeal.controlqueries import replicas_answer
from knapweeddeal.errors import (
    InvalidIntentError,
    NoQuorumError,
    NotLeaderError,
)
from knapweeddeal.messages.replication import MembershipRecord

__all__ = ["ReplicaSwap"]

#: Time limit for the new replica to catch up and the changes to be committed.
SWAP_TIMEOUT_MS = 60_000


class ReplicaSwap:
    """Add a replica after it caught up, then remove another.

    Each step depends only on the current membership, so that a request resent to a new
    leader continues where the old leader stopped.
    """

    __slots__ = ("_add", "_node", "_remove", "_replica", "_request", "_deadline_ms")
    __slots__ += ("call_id",)

    def __init__(self, *, call_id, request, replica):
        self.call_id = call_id
        self._replica = replica
        self._node = replica.node
        self._request = (request.operator, request.request_id)
        self._remove = request.remove
        self._deadline_ms = 0
        self._add = _find_replica(replica, request.add) if request.add.name else None
        if self._add is None and not request.remove:
            raise InvalidIntentError(
                "expected a replica to add or to remove", field="add", value=""
            )

    def advance(self, now_ms):
        """Take the next step if possible; return the answer once done, else None."""
        self._deadline_ms = self._deadline_ms or now_ms + SWAP_TIMEOUT_MS
        if self._node.leader != self._node.identity:
            raise NotLeaderError(
                "the leader changed; resend the request", field="leader"
            )
        if now_ms >= self._deadline_ms:
            self._remove_learner()
            raise NoQuorumError("the membership change didn't finish in time")
        if not self._node.is_membership_committed():
            return None
        if self._is_addition_pending():
            self._advance_addition()
            return None
        if self._is_removal_pending():
            self._advance_removal()
            return None
        return replicas_answer(self._replica)

    def _is_addition_pending(self):
        return self._add is not None and self._add.identity not in self._node.members

    def _is_removal_pending(self):
        return self._remove in self._node.members

    def _advance_addition(self):
        identity = self._add.identity
        if not self._node.is_learner(identity):
            self._node.add_learner(identity)
        elif self._node.is_caught_up(identity):
            self._propose([*self._node.log.replicas, self._add])

    def _advance_removal(self):
        remaining = [r for r in self._node.log.replicas if r.identity != self._remove]
        if not remaining:
            raise InvalidIntentError(
                "can't remove the last replica", field="remove", value=self._remove
            )
        self._propose(remaining)

    def _propose(self, replicas):
        is_last = not (self._is_addition_pending() and self._is_removal_pending())
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


def _find_replica(replica, requested):
    """Return the connected candidate or the member that a request refers to."""
    choices = [*replica.candidates(), *replica.node.log.replicas]
    for choice in choices:
        if choice.name == requested.name and requested.identity in (0, choice.identity):
            return choice
    raise InvalidIntentError(
        "expected the name and identity of a connected candidate or a member",
        field="add",
        value=requested.name,
    )
