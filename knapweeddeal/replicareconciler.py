"""knapweeddeal.replicareconciler: Automatic addition and removal of log members."""

from knapweeddeal.messages.replication import MembershipRecord, NonvoterRecord
from knapweeddeal.record import Record

__all__ = ["ReplicaReconciler"]

#: Time after which an unreachable replica is removed, if enough others remain; it may
#: join again. Longer than the pauses, network partitions and restarts that a VM
#: recovers from.
UNREACHABLE_TIMEOUT_MS = 20_000
#: Time after which an unreachable member leaves a quorum that survives more losses
#: without it. Longer than a link takes to be opened again.
DEMOTION_TIMEOUT_MS = 500
#: Longest time between two observations in which nothing is missed.
MAX_OBSERVATION_GAP_MS = 2_000


class ReplicaReconciler:
    """Add candidates that caught up; demote and remove unreachable members.

    Makes one change at a time, and only after the last one is committed.

    - A member that is unreachable or stops is demoted to a nonvoter if the quorum
      survives more further losses without it. All replicas know a nonvoter; it gets the
      log while it is connected, and becomes a member again.
    - A replica that is unreachable for long is removed.
    - If another identity now uses a replica's address, the replica has lost its folder
      permanently and is removed at once.

    Nonvoters are listed in the log, and every replica observes the others, so that a
    new leader continues where the old one stopped.
    """

    __slots__ = ("_expected_nonvoters", "_min_members", "_observed_ms", "_term")
    __slots__ += ("_unreachable_since_ms",)

    def __init__(self, *, tolerated_losses):
        #: Smallest membership whose majority survives the tolerated losses.
        self._min_members = 2 * tolerated_losses + 1
        #: Term and time of the last observation.
        self._term = 0
        self._observed_ms = 0
        #: Since when members and nonvoters are unreachable, by identity.
        self._unreachable_since_ms = {}
        #: Nonvoters that were proposed last in this term, or None.
        self._expected_nonvoters = None

    def observe(self, node, connected, now_ms, nonvoters=()):
        """Update since when replicas are unreachable; call it on each replica.

        `connected` holds the reachable replicas by identity.
        """
        if node.term != self._term:
            self._term = node.term
            self._expected_nonvoters = None
            if now_ms - self._observed_ms > MAX_OBSERVATION_GAP_MS:
                # Members may have been reachable since the last observation.
                self._unreachable_since_ms = {}
        self._observed_ms = now_ms
        known = node.members.union(replica.identity for replica in nonvoters)
        self._unreachable_since_ms = {
            identity: self._unreachable_since_ms.get(identity, now_ms)
            for identity in known - connected.keys() - {node.identity}
        }

    def should_leave(self, node):
        """Return whether this replica should leave the quorum before it stops."""
        others = node.members - {node.identity}
        unreachable = others & self._unreachable_since_ms.keys()
        return node.is_member and self._helps_to_demote(
            members=len(others) + 1, lost=len(unreachable) + 1
        )

    def step(self, node, connected, now_ms, *, nonvoters=(), stopping=()):
        """Return the record to propose, or None; also add learners.

        `node` must be the leader; `nonvoters` are those in force. `stopping` holds the
        identities of replicas that stop as planned.
        """
        self.observe(node, connected, now_ms, nonvoters)
        if not node.is_membership_committed() or node.transferring:
            return None
        if self._expected_nonvoters not in (None, list(nonvoters)):
            return None
        cluster = _Cluster(
            members=list(node.log.replicas),
            nonvoters=list(nonvoters),
            connected=connected,
            stopping=stopping,
        )
        return (
            self._remove(cluster, node, now_ms)
            or self._restore(cluster)
            or self._demote(cluster, node, now_ms)
            or self._add(cluster, node)
        )

    def _remove(self, cluster, node, now_ms):
        """Return the record that removes a member or nonvoter, or None."""
        replica = self._replica_to_remove(cluster, now_ms)
        if replica is None:
            return None
        if cluster.is_member(replica):
            return _membership_record(_without(cluster.members, replica))
        node.remove_learner(replica.identity)
        return self._nonvoter_record(_without(cluster.nonvoters, replica))

    def _replica_to_remove(self, cluster, now_ms):
        connected = cluster.connected.values()
        addresses = {(replica.host, replica.port) for replica in connected}
        unreachable = [r for r in cluster.replicas() if self._is_unreachable(r)]
        for replica in unreachable:
            if (replica.host, replica.port) in addresses:
                return replica
        if len(cluster.members) <= self._min_members:
            unreachable = [r for r in unreachable if not cluster.is_member(r)]
        if not unreachable:
            return None
        replica = min(unreachable, key=self._unreachable_since)
        is_due = now_ms - self._unreachable_since(replica) >= UNREACHABLE_TIMEOUT_MS
        return replica if is_due else None

    def _restore(self, cluster):
        """Return the record without a nonvoter that is a member again, or None."""
        for replica in cluster.nonvoters:
            if cluster.is_member(replica) and not self._is_lost(replica, cluster):
                remaining = _without(cluster.nonvoters, replica)
                return self._nonvoter_record(remaining)
        return None

    def _demote(self, cluster, node, now_ms):
        """Return the next of two records that demote a member, or None.

        The first one lists it as a nonvoter, so that no replica forgets it.
        """
        member = self._member_to_demote(cluster, now_ms)
        if member is None:
            return None
        others = _without(cluster.nonvoters, member)
        if len(others) == len(cluster.nonvoters):
            return self._nonvoter_record([*others, member])
        if member.identity in cluster.connected:
            # One that stops waits for the record that removes it.
            node.add_learner(member.identity)
        return _membership_record(_without(cluster.members, member))

    def _member_to_demote(self, cluster, now_ms):
        members = cluster.members
        lost = [member for member in members if self._is_lost(member, cluster)]
        if not self._helps_to_demote(members=len(members), lost=len(lost)):
            return None
        for member in lost:
            if member.identity in cluster.stopping:
                return member
        member = min(lost, key=self._unreachable_since)
        is_due = now_ms - self._unreachable_since(member) >= DEMOTION_TIMEOUT_MS
        return member if is_due else None

    def _add(self, cluster, node):
        """Return the record that adds a candidate, or None; add learners."""
        excluded = node.members.union(cluster.stopping)
        for identity, candidate in sorted(cluster.connected.items()):
            if identity in excluded:
                continue
            if not node.is_learner(identity):
                node.add_learner(identity)
            elif node.is_caught_up(identity):
                return _membership_record([*cluster.members, candidate])
        return None

    def _helps_to_demote(self, *, members, lost):
        """Return whether a quorum without lost members survives more further losses."""
        demotable = max(min(lost, members - self._min_members), 0)
        survives = _max_losses(members) - lost
        return _max_losses(members - demotable) - (lost - demotable) > survives

    def _is_lost(self, replica, cluster):
        return self._is_unreachable(replica) or replica.identity in cluster.stopping

    def _is_unreachable(self, replica):
        return replica.identity in self._unreachable_since_ms

    def _unreachable_since(self, replica):
        return self._unreachable_since_ms[replica.identity]

    def _nonvoter_record(self, replicas):
        self._expected_nonvoters = replicas
        return NonvoterRecord(operator="", request_id="", replicas=replicas)


class _Cluster(Record):
    """Hold the replicas that the leader knows, as of one step."""

    __slots__ = ("connected", "members", "nonvoters", "stopping")

    def replicas(self):
        """Return the members, then the nonvoters that aren't members."""
        former = [r for r in self.nonvoters if not self.is_member(r)]
        return [*self.members, *former]

    def is_member(self, replica):
        """Return whether a replica is a member, at whichever address."""
        return any(replica.identity == member.identity for member in self.members)


def _max_losses(members):
    """Return how many members may be lost while a majority remains."""
    return (members - 1) // 2


def _without(replicas, removed):
    return [r for r in replicas if r.identity != removed.identity]


def _membership_record(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
