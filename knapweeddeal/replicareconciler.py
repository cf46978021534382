"""knapweeddeal.replicareconciler: Automatic addition and removal of log members."""

from knapweeddeal.messages.replication import MembershipRecord

__all__ = ["ReplicaReconciler"]

#: Time after which an unreachable member is removed, if enough others remain; it may
#: join again. Longer than the pauses, network partitions and restarts that a VM
#: recovers from.
UNREACHABLE_TIMEOUT_MS = 20_000


class ReplicaReconciler:
    """Add candidates that caught up; remove replaced and unreachable members.

    Makes one membership change at a time, and only after the last one is committed.
    If another identity now uses a member's address, the member has lost its folder
    permanently.
    """

    __slots__ = ("_unreachable_since_ms", "_min_members", "_term")

    def __init__(self, *, tolerated_losses):
        #: Smallest membership whose majority survives the tolerated losses.
        self._min_members = 2 * tolerated_losses + 1
        #: Term of the leadership in which members became unreachable.
        self._term = 0
        self._unreachable_since_ms = {}

    def step(self, node, connected, now_ms):
        """Return the MembershipRecord to propose, or None; also add learners.

        `connected` holds the reachable replicas by identity; `node` must be the leader.
        """
        self._track_reachability(node, connected, now_ms)
        if not node.is_membership_committed() or node.transferring:
            return None
        members = list(node.log.replicas)
        removed = self._member_to_remove(node, members, connected, now_ms)
        if removed is not None:
            return _membership_record(
                [m for m in members if m.identity != removed.identity]
            )
        for candidate in self._candidates(node, connected):
            if not node.is_learner(candidate.identity):
                node.add_learner(candidate.identity)
            elif node.is_caught_up(candidate.identity):
                return _membership_record([*members, candidate])
        return None

    def _track_reachability(self, node, connected, now_ms):
        if node.term != self._term:
            self._term = node.term
            self._unreachable_since_ms = {}
        for identity in node.members:
            if identity in connected or identity == node.identity:
                self._unreachable_since_ms.pop(identity, None)
            else:
                self._unreachable_since_ms.setdefault(identity, now_ms)

    def _member_to_remove(self, node, members, connected, now_ms):
        """Return a member to remove, or None."""
        addresses = {
            (replica.host, replica.port): identity
            for identity, replica in connected.items()
        }
        for member in members:
            if member.identity in connected or member.identity == node.identity:
                continue
            if addresses.get((member.host, member.port)) is not None:
                return member
            unreachable_ms = now_ms - self._unreachable_since_ms.get(
                member.identity, now_ms
            )
            if (
                unreachable_ms >= UNREACHABLE_TIMEOUT_MS
                and len(members) > self._min_members
            ):
                return member
        return None

    def _candidates(self, node, connected):
        members = node.members
        return [
            r for identity, r in sorted(connected.items()) if identity not in members
        ]


def _membership_record(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
