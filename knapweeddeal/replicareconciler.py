"""knapweeddeal.replicareconciler: Automatic addition and removal of log members."""

from knapweeddeal.messages.replication import MembershipRecord

__all__ = ["ReplicaReconciler"]

#: Silence after which a member is removed while enough others stay; it may join
#: again. Longer than the freezes, cuts and restarts that a VM recovers from.
SILENT_MS = 20_000


class ReplicaReconciler:
    """Add candidates that caught up; remove members that were replaced or are gone.

    One step at a time, and only while the last one is committed. A member whose
    address another identity has now lost its folder for good.
    """

    __slots__ = ("_gone_since_ms", "_min_members")

    def __init__(self, *, tolerated_losses):
        #: So many members hold a record when the tolerated losses have happened.
        self._min_members = 2 * tolerated_losses + 1
        self._gone_since_ms = {}

    def step(self, node, connected, now_ms):
        """Return the MembershipRecord to propose, or None; add learners meanwhile.

        `connected` holds the replicas that can be reached, by identity; `node` leads.
        """
        self._note_gone(node, connected, now_ms)
        if not node.is_membership_committed() or node.transferring:
            return None
        members = list(node.log.replicas)
        lost = self._lost(node, members, connected, now_ms)
        if lost is not None:
            return _record([m for m in members if m.identity != lost.identity])
        for candidate in self._candidates(node, connected):
            if not node.is_learner(candidate.identity):
                node.add_learner(candidate.identity)
            elif node.is_caught_up(candidate.identity):
                return _record([*members, candidate])
        return None

    def _note_gone(self, node, connected, now_ms):
        for identity in node.members:
            if identity in connected or identity == node.identity:
                self._gone_since_ms.pop(identity, None)
            else:
                self._gone_since_ms.setdefault(identity, now_ms)

    def _lost(self, node, members, connected, now_ms):
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
            silent_ms = now_ms - self._gone_since_ms.get(member.identity, now_ms)
            if silent_ms >= SILENT_MS and len(members) > self._min_members:
                return member
        return None

    def _candidates(self, node, connected):
        members = node.members
        return [
            r for identity, r in sorted(connected.items()) if identity not in members
        ]


def _record(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
