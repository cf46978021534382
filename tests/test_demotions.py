"""tests.test_demotions: Tests of members that leave the quorum and join it again.

The model runs the real `ReplicaReconciler` of each replica; the log commits at once.
"""

import copy

import testscenarios
import testtools

from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.replication import NonvoterRecord
from knapweeddeal.replicareconciler import (
    DEMOTION_TIMEOUT_MS,
    UNREACHABLE_TIMEOUT_MS,
    ReplicaReconciler,
)
from tests.statesearch import search

#: Time between two events: links time out, and lost members leave the quorum.
GAP_MS = 3_500
#: Times of the steps after an event, in the gap.
STEPS_MS = (0, DEMOTION_TIMEOUT_MS, GAP_MS)
#: Largest number of records that one event leads to.
MAX_RECORDS = 20


def replica(identity, address=None):
    """Return a replica; an address belongs to the first identity that used it."""
    host = f"10.0.0.{address or identity}"
    return Replica(name=host, identity=identity, host=host, port=1)


class Node:
    """Stand in for a replica's node, with the log of the whole cluster."""

    transferring = False

    def __init__(self, *, identity, cluster):
        self.identity = identity
        self.log = cluster
        self.term = cluster.term

    @property
    def members(self):
        """Return the identities of the members."""
        return {one.identity for one in self.log.replicas}

    @property
    def is_member(self):
        """Return whether this replica is a member."""
        return self.identity in self.members

    def is_membership_committed(self):
        """Return that each change is committed before the next one."""
        return True

    def is_learner(self, _identity):
        """Return that each candidate gets the log at once."""
        return True

    def is_caught_up(self, _identity):
        """Return that each candidate has caught up."""
        return True

    def add_learner(self, identity):
        """Accept a learner."""

    def remove_learner(self, identity):
        """Accept the end of a learner."""


class Cluster:
    """Model the membership under losses, replacements and restarts.

    Losses are limited as the settings allow: a VM that is removed for good counts as
    lost until a VM that joined in its place has caught up.
    """

    max_events = 5
    spare_vms = 1

    def __init__(self, *, members, tolerated_losses):
        self.replicas = [replica(number + 1) for number in range(members)]
        self.nonvoters = []
        self.tolerated_losses = tolerated_losses
        self.term = 1
        self.now_ms = 0
        #: Replicas that run and are in reach, by identity, the leader first.
        self.up = {one.identity: one for one in self.replicas}
        #: Replicas that are cut off or paused.
        self.cut = {}
        #: Since when replicas are cut off, by identity.
        self.cut_ms = {}
        self.joined = members
        #: VMs that joined and replaced none yet; if negative, VMs that have no
        #: replacement.
        self.spares = 0
        self.events = 0
        self.trace = []
        self.reconcilers = {one: self._reconciler() for one in self.up}
        self.settle(UNREACHABLE_TIMEOUT_MS)

    def _reconciler(self):
        return ReplicaReconciler(tolerated_losses=self.tolerated_losses)

    # The model of `search`.

    def key(self):
        """Return what the next events depend on; replicas are alike beside it."""
        members = {one.identity for one in self.replicas}
        listed = {one.identity for one in self.nonvoters}
        described = []
        for identity in {*members, *listed, *self.up, *self.cut}:
            since_ms = self.reconcilers[self.leader]._unreachable_since_ms
            described.append(
                (
                    identity == self.leader,
                    identity in members,
                    identity in listed,
                    identity in self.up,
                    identity in self.cut,
                    self.now_ms - since_ms.get(identity, self.now_ms),
                )
            )
        return (
            tuple(sorted(described)),
            self.spares,
            self.events,
        )

    def violation(self):
        """Return which rule is broken, or an empty text."""
        members = {one.identity for one in self.replicas}
        remaining = len(members & self.up.keys()) - self.losses_left
        if 2 * remaining <= len(members):
            return "no majority after the losses that may follow"
        known = members.union(one.identity for one in self.nonvoters)
        since_ms = self.now_ms - UNREACHABLE_TIMEOUT_MS
        if not {one for one, at_ms in self.cut_ms.items() if at_ms > since_ms} <= known:
            return "a replica that is cut off for a short time is forgotten"
        if not self.up.keys() <= members:
            return "a replica in reach isn't a member"
        if any(one.identity in self.up for one in self.nonvoters):
            return "a replica in reach is listed as a nonvoter"
        return ""

    def steps(self):
        """Yield each event and the cluster after it."""
        if self.events == self.max_events:
            return
        for name, *arguments in self._events():
            following = copy.deepcopy(self)
            following.events += 1
            getattr(following, name)(*arguments)
            yield (name, *arguments), following

    def _events(self):
        followers = [one for one in self.up if one != self.leader][:1]
        for identity in (self.leader, *followers):
            if self.spares > 0 or self.losses_left:
                yield "remove", identity
                yield "stop", identity
            if self.losses_left:
                yield "cut_off", identity
                yield "cut_off_midway", identity
                yield "lose_disk", identity
            yield "restart", identity
        for identity in list(self.cut)[:1]:
            yield "reconnect", identity
        if self.spares < self.spare_vms:
            yield ("join",)
        if not self.cut:
            yield ("wait",)

    # Events.

    @property
    def leader(self):
        """Return the identity of the leader."""
        return next(iter(self.up))

    @property
    def losses_left(self):
        """Return how many more VMs may be lost now."""
        return self.tolerated_losses - len(self.cut) - max(-self.spares, 0)

    def join(self):
        """Start a VM with an empty disk, and wait until it has caught up."""
        self.joined += 1
        self._start(replica(self.joined))
        self.spares += 1
        self.settle(GAP_MS)

    def remove(self, identity):
        """End a VM for good, without a signal.

        Further losses may follow at once if a quorum of all VMs in reach survives them.
        """
        survivable = (len(self.up) - 1) // 2
        self._end(identity)
        self.spares -= 1
        if survivable > self.losses_left and self.violation():
            return
        self.settle(GAP_MS)

    def stop(self, identity):
        """End a VM for good after SIGTERM; further losses may follow at once."""
        if identity == self.leader:
            self._change_leader()
        if self.reconcilers[identity].should_leave(self._node(identity)):
            self.apply_records(stopping={identity})
        self._end(identity)
        self.spares -= 1
        if self.violation():
            return
        self.settle(GAP_MS)

    def lose_disk(self, identity):
        """Kill a VM; it returns at its address with an empty disk."""
        lost = self.up[identity]
        self._end(identity)
        self.settle(0)
        self.joined += 1
        self._start(replica(self.joined, lost.host.rpartition(".")[2]))
        self.settle(GAP_MS)

    def restart(self, identity):
        """Kill a process; it returns with its disk."""
        ended = self.up[identity]
        self._end(identity)
        self.settle(DEMOTION_TIMEOUT_MS)
        self._start(ended)
        self.settle(GAP_MS)

    def cut_off(self, identity):
        """Cut a VM off, or pause it."""
        self.cut[identity] = self.up[identity]
        self.cut_ms[identity] = self.now_ms
        self._end(identity)
        self.settle(GAP_MS)

    def cut_off_midway(self, identity):
        """Cut a VM off; the leadership moves after the first record on that."""
        self.cut[identity] = self.up[identity]
        self.cut_ms[identity] = self.now_ms
        self._end(identity)
        self.settle(0)
        self.now_ms += DEMOTION_TIMEOUT_MS
        self.apply_records(max_records=1)
        self._change_leader()
        self.settle(GAP_MS)

    def reconnect(self, identity):
        """Connect a VM again."""
        del self.cut_ms[identity]
        self._start(self.cut.pop(identity))
        self.settle(GAP_MS)

    def wait(self):
        """Let all timeouts pass."""
        self.settle(UNREACHABLE_TIMEOUT_MS)

    def _start(self, started):
        self.up[started.identity] = started
        self.reconcilers[started.identity] = self._reconciler()

    def _end(self, identity):
        is_leader = identity == self.leader
        del self.up[identity]
        self.term += is_leader

    def _change_leader(self):
        leader = self.leader
        self.up[leader] = self.up.pop(leader)
        self.term += 1

    # Time.

    def settle(self, duration_ms):
        """Let time pass; the leader's records are in force at once."""
        times_ms = {t for t in STEPS_MS if t < duration_ms} | {duration_ms}
        times_ms |= set(range(GAP_MS, duration_ms, GAP_MS))
        began_ms = self.now_ms
        for time_ms in sorted(times_ms):
            self.now_ms = began_ms + time_ms
            self.apply_records()

    def apply_records(self, *, stopping=(), max_records=None):
        """Step all replicas until the leader proposes nothing, or some records."""
        for identity in self.up:
            if identity != self.leader:
                self.reconcilers[identity].observe(
                    self._node(identity),
                    self._connected(identity),
                    self.now_ms,
                    self.nonvoters,
                )
        for _ in range(max_records or MAX_RECORDS):
            record = self.reconcilers[self.leader].step(
                self._node(self.leader),
                self._connected(self.leader),
                self.now_ms,
                nonvoters=self.nonvoters,
                stopping=stopping,
            )
            if record is None:
                return
            if isinstance(record, NonvoterRecord):
                self.nonvoters = record.replicas
            else:
                self.replicas = record.replicas
        if max_records is None:
            raise AssertionError(f"more than {MAX_RECORDS} records: {record}")

    def _node(self, identity):
        return Node(identity=identity, cluster=self)

    def _connected(self, identity):
        return {one: r for one, r in self.up.items() if one != identity}


class Orders(testscenarios.TestWithScenarios, testtools.TestCase):
    """All orders of events on a cluster, up to a number of events.

    Guards against a member that left for good and still counts, so that the loss of as
    many disks as are tolerated left the log without a leader for good; and against
    forgetting a member that is only out of reach for a short time.
    """

    scenarios = [
        (
            f"{members} members, {losses} tolerated losses",
            {"members": members, "losses": losses},
        )
        for members, losses in ((3, 1), (4, 1), (5, 1), (6, 1), (5, 2), (6, 2), (7, 2))
    ]

    def test_rules_hold(self):
        cluster = Cluster(members=self.members, tolerated_losses=self.losses)
        result = search(cluster, max_states=200_000)
        self.assertEqual("", result.violation, result.trace)
        expected = {"join", "remove", "stop", "lose_disk", "restart", "wait"}
        self.assertLessEqual(expected, result.actions)
