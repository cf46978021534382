"""knapweeddeal.replicareconciler: Automatic addition and removal of log members."""

from knapweeddeal.messages.replication import MemberCountRecord, MembershipRecord

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
    members that fail one after the other could become half of all. The number of
    members to restore is recorded in the log, and every replica observes the others,
    so that a new leader continues where the old one stopped.
    """

    __slots__ = ("_unreachable_since_ms", "_members", "_min_members")
    __slots__ += ("_observed_ms", "_proposed_count", "_settling_since_ms", "_term")

    def __init__(self, *, tolerated_losses):
        #: Smallest membership whose majority survives the tolerated losses.
        self._min_members = 2 * tolerated_losses + 1
        #: Term and time of the last observation.
        self._term = 0
        self._observed_ms = 0
        self._unreachable_since_ms = {}
        self._members = set()
        #: Since when the same members have all been reachable.
        self._settling_since_ms = 0
        #: Number of members that was proposed in this term and isn't in force, or 0.
        self._proposed_count = 0

    def observe(self, node, connected, now_ms):
        """Update since when members are unreachable; call it on each replica.

        `connected` holds the reachable replicas by identity.
        """
        if node.term != self._term:
            self._term = node.term
            self._proposed_count = 0
            if now_ms - self._observed_ms > REPLACED_TIMEOUT_MS:
                # Members may have been reachable since the last observation.
                self._unreachable_since_ms = {}
                self._settling_since_ms = now_ms
        self._observed_ms = now_ms
        unreachable = node.members - connected.keys() - {node.identity}
        self._unreachable_since_ms = {
            identity: self._unreachable_since_ms.get(identity, now_ms)
            for identity in unreachable
        }
        if unreachable or node.members != self._members:
            self._members = node.members
            self._settling_since_ms = now_ms

    def step(self, node, connected, now_ms, settled_members):
        """Return the record to propose, or None; also add learners.

        `node` must be the leader; `settled_members` is the last recorded number of
        members, or 0.
        """
        self.observe(node, connected, now_ms)
        if not node.is_membership_committed() or node.transferring:
            return None
        count = self._count_to_record(node, now_ms, settled_members)
        if count:
            self._proposed_count = count
            return MemberCountRecord(operator="", request_id="", members=count)
        if not settled_members:
            return None
        members = list(node.log.replicas)
        is_replaced = len(members) > settled_members
        removed = self._member_to_remove(members, connected, now_ms, is_replaced)
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

    def _count_to_record(self, node, now_ms, settled_members):
        """Return a number of members that isn't recorded or proposed yet, or 0."""
        if self._proposed_count == settled_members:
            self._proposed_count = 0
        is_settled = now_ms - self._settling_since_ms >= SETTLING_TIME_MS
        if settled_members and not is_settled:
            return 0
        count = len(node.members)
        return 0 if count in (settled_members, self._proposed_count) else count

    def _member_to_remove(self, members, connected, now_ms, is_replaced):
        """Return a member to remove, or None."""
        addresses = {(replica.host, replica.port) for replica in connected.values()}
        unreachable = [m for m in members if m.identity in self._unreachable_since_ms]
        for member in unreachable:
            if (member.host, member.port) in addresses:
                return member
        if not unreachable or len(members) <= self._min_members:
            return None
        member = min(unreachable, key=self._unreachable_since)
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
