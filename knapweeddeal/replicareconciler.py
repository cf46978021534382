"""knapweeddeal.replicareconciler: Automatic addition and removal of log members."""

from knapweeddeal.messages.replication import MembershipRecord

__all__ = ["ReplicaReconciler"]

#: Time after which an unreachable member is removed, if enough others remain; it may
#: join again. Longer than the pauses, network partitions and restarts that a VM
#: recovers from.
UNREACHABLE_TIMEOUT_MS = 20_000
#: The same time if another replica has joined in its place. Longer than the restart of
#: a process, and with the timeout of a link short enough that the next VM may fail.
REPLACED_TIMEOUT_MS = 2_000
#: Time for which all members must be reachable before their number is the one to
#: restore. Longer than the timeout of a link: until then a failed member seems
#: reachable beside its replacement.
SETTLING_TIME_MS = 10_000


class ReplicaReconciler:
    """Add candidates that caught up; remove replaced and unreachable members.

    Makes one membership change at a time, and only after the last one is committed.
    If another identity now uses a member's address, the member has lost its folder
    permanently. Each replica that joins while a member is unreachable replaces one, or
    members that fail one after the other could become half of all.
    """

    __slots__ = ("_unreachable_since_ms", "_members", "_min_members")
    __slots__ += ("_settled_members", "_settling_since_ms", "_term")

    def __init__(self, *, tolerated_losses):
        #: Smallest membership whose majority survives the tolerated losses.
        self._min_members = 2 * tolerated_losses + 1
        #: Term of the leadership that the fields below are of.
        self._term = 0
        self._unreachable_since_ms = {}
        self._members = set()
        #: Since when the same members have all been reachable, and how many of them
        #: last were for `SETTLING_TIME_MS`.
        self._settling_since_ms = 0
        self._settled_members = 0

    def step(self, node, connected, now_ms):
        """Return the MembershipRecord to propose, or None; also add learners.

        `connected` holds the reachable replicas by identity; `node` must be the leader.
        """
        self._track_members(node, connected, now_ms)
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

    def _track_members(self, node, connected, now_ms):
        if node.term != self._term:
            self._term = node.term
            self._unreachable_since_ms = {}
            self._settling_since_ms = now_ms
            self._settled_members = len(node.members)
        unreachable = node.members - connected.keys() - {node.identity}
        self._unreachable_since_ms = {
            identity: self._unreachable_since_ms.get(identity, now_ms)
            for identity in unreachable
        }
        if unreachable or node.members != self._members:
            self._members = node.members
            self._settling_since_ms = now_ms
        elif now_ms - self._settling_since_ms >= SETTLING_TIME_MS:
            self._settled_members = len(node.members)

    def _member_to_remove(self, node, members, connected, now_ms):
        """Return a member to remove, or None."""
        addresses = {(replica.host, replica.port) for replica in connected.values()}
        unreachable = [m for m in members if m.identity in self._unreachable_since_ms]
        for member in unreachable:
            if (member.host, member.port) in addresses:
                return member
        if not unreachable or len(members) <= self._min_members:
            return None
        member = min(unreachable, key=self._unreachable_since)
        is_replaced = len(members) > self._settled_members
        timeout_ms = REPLACED_TIMEOUT_MS if is_replaced else UNREACHABLE_TIMEOUT_MS
        is_due = now_ms - self._unreachable_since(member) >= timeout_ms
        return member if is_due else None

    def _unreachable_since(self, member):
        return self._unreachable_since_ms[member.identity]

    def _candidates(self, node, connected):
        members = node.members
        return [
            r for identity, r in sorted(connected.items()) if identity not in members
        ]


def _membership_record(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
