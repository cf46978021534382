"""tests.test_replicareconciler: Tests of automatic log membership changes."""

import testscenarios
import testtools

from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.replication import NonvoterRecord
from knapweeddeal.replicareconciler import (
    DEMOTION_TIMEOUT_MS,
    MAX_OBSERVATION_GAP_MS,
    UNREACHABLE_TIMEOUT_MS,
    ReplicaReconciler,
)


def member(identity, host=None):
    """Return a replica; the default host is derived from its identity."""
    host = host or f"10.0.0.{identity}"
    return Replica(name=host, identity=identity, host=host, port=1)


class FakeLog:
    """Stand in for the log; hold the membership."""

    def __init__(self, replicas):
        self.replicas = replicas


class FakeNode:
    """Stand in for the leader's node."""

    def __init__(self, *, members, committed=True, caught_up=(), transferring=False):
        self.identity = members[0].identity
        self.term = 1
        self.log = FakeLog(members)
        self.transferring = transferring
        self.learners = set()
        self._committed = committed
        self.caught_up = set(caught_up)

    @property
    def members(self):
        """Return the identities of the members."""
        return {m.identity for m in self.log.replicas}

    def is_membership_committed(self):
        """Return the configured result."""
        return self._committed

    def is_learner(self, identity):
        """Return whether a replica was added as a learner."""
        return identity in self.learners

    def add_learner(self, identity):
        """Record a learner."""
        self.learners.add(identity)

    def remove_learner(self, identity):
        """Remove a learner."""
        self.learners.discard(identity)

    def is_caught_up(self, identity):
        """Return whether a replica was configured as caught up."""
        return identity in self.caught_up


THREE_MEMBERS = [member(1), member(2), member(3)]
FOUR_MEMBERS = [*THREE_MEMBERS, member(4)]


class Steps(testscenarios.TestWithScenarios, testtools.TestCase):
    """The membership that the leader proposes within two steps.

    Guards against removing members that are only briefly unreachable or needed for a
    quorum, and against keeping members that lost their data.
    """

    scenarios = [
        (
            "all members connected",
            {"connected": [member(2), member(3)], "expected": None},
        ),
        (
            "a caught-up candidate is added",
            {
                "connected": [member(2), member(3), member(4)],
                "node": {"caught_up": [4]},
                "expected": {1, 2, 3, 4},
            },
        ),
        (
            "a lagging candidate isn't added",
            {"connected": [member(2), member(3), member(4)], "expected": None},
        ),
        (
            "a member with a lost disk is removed",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"caught_up": [9]},
                "expected": {1, 2},
            },
        ),
        (
            "the last change isn't committed",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"committed": False},
                "expected": None,
            },
        ),
        (
            "connected members stay",
            {"connected": [member(2), member(3)], "expected": None},
        ),
        (
            "unreachable for the timeout",
            {
                "members": FOUR_MEMBERS,
                "connected": [member(2), member(3)],
                "after_ms": UNREACHABLE_TIMEOUT_MS,
                "expected": {1, 2, 3},
            },
        ),
        (
            "unreachable, and the others survive a loss without its vote",
            {
                "members": FOUR_MEMBERS,
                "connected": [member(2), member(3)],
                "after_ms": DEMOTION_TIMEOUT_MS,
                "nonvoters": [member(4)],
                "expected": {1, 2, 3},
            },
        ),
        (
            "unreachable, and the others survive a loss with its vote",
            {
                "members": [*FOUR_MEMBERS, member(5)],
                "connected": [member(2), member(3), member(4)],
                "after_ms": UNREACHABLE_TIMEOUT_MS - 1,
                "expected": None,
            },
        ),
        (
            "stopping as planned",
            {
                "members": FOUR_MEMBERS,
                "connected": [member(2), member(3), member(4)],
                "nonvoters": [member(4)],
                "stopping": {4},
                "expected": {1, 2, 3},
            },
        ),
        (
            "stopping as planned, but needed for a quorum",
            {
                "connected": [member(2), member(3)],
                "after_ms": UNREACHABLE_TIMEOUT_MS,
                "stopping": {3},
                "expected": None,
            },
        ),
        (
            "a stopping candidate isn't added",
            {
                "connected": [member(2), member(3), member(4)],
                "node": {"caught_up": [4]},
                "stopping": {4},
                "expected": None,
            },
        ),
        (
            "unreachable for a short time, but needed for a quorum",
            {
                "connected": [member(2)],
                "after_ms": DEMOTION_TIMEOUT_MS,
                "expected": None,
            },
        ),
        (
            "unreachable, but needed for a quorum",
            {
                "connected": [member(2)],
                "after_ms": UNREACHABLE_TIMEOUT_MS,
                "expected": None,
            },
        ),
        (
            "leadership transfer in progress",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"transferring": True},
                "expected": None,
            },
        ),
    ]
    members = THREE_MEMBERS
    node = {}
    nonvoters = ()
    stopping = ()
    after_ms = 100

    def test_step(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=self.members, **self.node)
        connected = {replica.identity: replica for replica in self.connected}
        state = {"nonvoters": self.nonvoters, "stopping": self.stopping}
        record = reconciler.step(node, connected, 0, **state)
        record = reconciler.step(node, connected, self.after_ms, **state) or record
        proposed = {replica.identity for replica in record.replicas} if record else None
        self.assertEqual(self.expected, proposed)

    def test_reconnection_restarts_the_timeout(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3)}
        reconciler.step(node, connected, 0)
        all_connected = {**connected, 4: member(4)}
        reconciler.step(node, all_connected, UNREACHABLE_TIMEOUT_MS - 1)
        self.assertIsNone(reconciler.step(node, connected, UNREACHABLE_TIMEOUT_MS))

    def test_a_new_leadership_restarts_the_timeout(self):
        """Guards against a timeout that began in an earlier leadership."""
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3)}
        reconciler.step(node, connected, 0)
        node.term += 1
        self.assertIsNone(reconciler.step(node, connected, UNREACHABLE_TIMEOUT_MS))

    def test_observations_count_for_a_new_leader(self):
        """Guards against dead members that stay as long as leaders change."""
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3)}
        for now_ms in range(0, UNREACHABLE_TIMEOUT_MS, MAX_OBSERVATION_GAP_MS):
            node.term += 1
            reconciler.observe(node, connected, now_ms)
        record = reconciler.step(node, connected, UNREACHABLE_TIMEOUT_MS)
        self.assertEqual(THREE_MEMBERS, record.replicas)


class ProposedNonvoters(testtools.TestCase):
    """The leader waits until the nonvoters that it proposed are in force.

    Guards against proposing the same record in each step, and against a member that
    leaves the quorum before all replicas know it as a nonvoter.
    """

    def test_one_record_at_a_time(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3)}
        reconciler.step(node, connected, 0)
        record = reconciler.step(node, connected, DEMOTION_TIMEOUT_MS)
        self.assertIsInstance(record, NonvoterRecord)
        self.assertEqual([member(4)], record.replicas)
        self.assertIsNone(reconciler.step(node, connected, DEMOTION_TIMEOUT_MS + 1))
        later_ms = DEMOTION_TIMEOUT_MS + 2
        record = reconciler.step(node, connected, later_ms, nonvoters=[member(4)])
        self.assertEqual(THREE_MEMBERS, record.replicas)


class DemotedLearner(testtools.TestCase):
    """A member that stops gets the log until it is forgotten.

    Guards against a replica that never learns that it left the quorum, and against a
    leader that prepares the log for replicas that are gone for good.
    """

    def test_learner(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3), 4: member(4)}
        former = {"nonvoters": [member(4)]}
        record = reconciler.step(node, connected, 0, **former, stopping={4})
        self.assertEqual(THREE_MEMBERS, record.replicas)
        self.assertEqual({4}, node.learners)
        node.log.replicas = record.replicas
        del connected[4]
        reconciler.step(node, connected, 0, **former)
        self.assertEqual({4}, node.learners)
        record = reconciler.step(node, connected, UNREACHABLE_TIMEOUT_MS, **former)
        self.assertEqual([], record.replicas)
        self.assertEqual(set(), node.learners)

    def test_unreachable_member(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR_MEMBERS)
        connected = {2: member(2), 3: member(3)}
        former = {"nonvoters": [member(4)]}
        reconciler.step(node, connected, 0, **former)
        record = reconciler.step(node, connected, DEMOTION_TIMEOUT_MS, **former)
        self.assertEqual(THREE_MEMBERS, record.replicas)
        self.assertEqual(set(), node.learners)


STEP_MS = 100
#: Time from a failure to the end of its link, and to the start of the next VM.
LINK_TIMEOUT_MS = 2_500
START_MS = 1_000
#: Time from the start of a VM until the next one may fail.
CATCH_UP_MS = 4_000
#: Time from the end of a leader's process until it is back.
RESTART_MS = 1_000


class Replacements(testscenarios.TestWithScenarios, testtools.TestCase):
    """VMs fail for good, each after the replacement of the one before has caught up.

    Guards against a membership that keeps those that failed until they are half of it,
    so that no leader can be elected.
    """

    scenarios = [
        (name, {"members": count, "tolerated_losses": losses, "leader_fails": leader})
        for name, count, losses, leader in (
            ("three members", 3, 1, False),
            ("four members", 4, 1, False),
            ("five members", 5, 1, False),
            ("eight members, two losses", 8, 2, False),
            ("three members, the leader fails", 3, 1, True),
            ("four members, the leader fails", 4, 1, True),
        )
    ]

    def setUp(self):
        super().setUp()
        self.now_ms = 0
        self.reachable = list(range(1, self.members + 1))
        self.node = FakeNode(members=[member(i) for i in self.reachable])
        self.reconcilers = {}
        self.nonvoters = []
        self.run_for(CATCH_UP_MS)

    def test_a_majority_is_reachable(self):
        for replacement in range(self.members + 1, self.members + 8):
            failed = self.reachable.pop(0 if self.leader_fails else -1)
            if self.leader_fails:
                self.node.term += 1
            self.check_majority()
            self.run_for(START_MS, linked=[failed])
            self.reachable.insert(len(self.reachable) // 2, replacement)
            self.run_for(LINK_TIMEOUT_MS - START_MS, linked=[failed])
            self.run_for(START_MS + CATCH_UP_MS - LINK_TIMEOUT_MS)

    def test_a_majority_is_reachable_if_leaders_end_after_additions(self):
        """Guards against a successor that doesn't know which number to restore."""
        for replacement in range(self.members + 1, self.members + 8):
            failed = self.reachable.pop(0 if self.leader_fails else -1)
            if self.leader_fails:
                self.node.term += 1
            self.check_majority()
            self.run_for(START_MS, linked=[failed])
            self.reachable.insert(len(self.reachable) // 2, replacement)
            self.run_for(2 * STEP_MS, linked=[failed])
            self.assertIn(replacement, self.node.members)
            self.restart_leader(failed)
            self.run_for(CATCH_UP_MS)

    def test_a_pause_replaces_nobody(self):
        """Guards against forgetting a member that is back within the timeout."""
        paused = self.reachable.pop()
        self.run_for(UNREACHABLE_TIMEOUT_MS - STEP_MS)
        known = self.node.members.union(r.identity for r in self.nonvoters)
        self.assertIn(paused, known)
        self.reachable.append(paused)
        self.run_for(START_MS)
        self.assertIn(paused, self.node.members)
        self.assertEqual([], self.nonvoters)

    def restart_leader(self, failed):
        """End the leader's process; the next replica leads when it is back."""
        leader = self.reachable.pop(0)
        self.reconcilers.pop(leader)
        self.node.term += 1
        self.run_for(RESTART_MS, linked=[failed])
        self.reachable.insert(len(self.reachable) // 2, leader)

    def run_for(self, duration_ms, *, linked=()):
        """Advance the time; replicas see `linked` ones as reachable too."""
        self.node.caught_up = set(self.reachable)
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for identity in self.reachable:
                seen = {*self.reachable, *linked} - {identity}
                self.step(identity, {i: member(i) for i in seen})

    def step(self, identity, connected):
        """Step one replica; the first reachable one leads."""
        node, now_ms = self.node, self.now_ms
        node.identity = identity
        reconciler = self.reconcilers.setdefault(
            identity, ReplicaReconciler(tolerated_losses=self.tolerated_losses)
        )
        if identity != self.reachable[0]:
            reconciler.observe(node, connected, now_ms, self.nonvoters)
            return
        record = reconciler.step(node, connected, now_ms, nonvoters=self.nonvoters)
        if isinstance(record, NonvoterRecord):
            self.nonvoters = record.replicas
        elif record is not None:
            node.log.replicas = record.replicas

    def check_majority(self):
        reached = self.node.members & set(self.reachable)
        self.assertGreater(2 * len(reached), len(self.node.members))
