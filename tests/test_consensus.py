"""tests.test_consensus: Tests of the replicated log on random schedules."""

import random

import testscenarios
import testtools

from knapweeddeal import leadership
from knapweeddeal.consensus import LEADER, Node
from knapweeddeal.consensuslog import pack_command, pack_membership
from knapweeddeal.errors import (
    BadMessageError,
    CorruptStorageError,
    InvalidIntentError,
    NoQuorumError,
)
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendRequest,
    InstallSnapshotRequest,
    LogRecord,
    VoteAnswer,
    VoteRequest,
)
from knapweeddeal.messages.replication import HardState, MembershipRecord
from tests.consensussimulation import (
    ELECTION_MS,
    HEARTBEAT_MS,
    ConsensusSimulation,
    FakeDisk,
    replica,
)

#: Steps in one random schedule.
STEPS = 1_500
#: Small enough that a snapshot is sent in several parts.
PART_BYTES = 16
SEEDS = range(12)


def deliver_step(simulation):
    """Deliver, lose or duplicate a message."""
    simulation.deliver(loss=0.05, duplicate=0.05)


def isolate_step(simulation):
    """Isolate up to two replicas; reconnect the others."""
    count = simulation.random.choice((0, 0, 1, 2))
    simulation.isolated = set(simulation.random.sample(sorted(simulation.nodes), count))


#: Steps with their weights; each list extends the one before.
NO_FAULTS = [
    (40, deliver_step),
    (10, lambda simulation: simulation.advance_time(HEARTBEAT_MS)),
    (4, ConsensusSimulation.propose),
    (2, ConsensusSimulation.read),
]
FAULTS = [
    *NO_FAULTS,
    (1, ConsensusSimulation.crash_any),
    (1, ConsensusSimulation.deliver_and_crash),
    (1, isolate_step),
]
CHANGES = [
    *FAULTS,
    (2, ConsensusSimulation.change_members),
    (1, ConsensusSimulation.transfer_any),
]
SNAPSHOTS = [*CHANGES, (1, ConsensusSimulation.compact_any)]


class Schedules(testscenarios.TestWithScenarios, testtools.TestCase):
    """Committed records are never lost, and a term has at most one leader.

    Guards against data loss and split brain after message loss, duplication and
    reordering, crashes, partitions, membership changes, transfers and snapshots.
    """

    scenarios = [
        (f"{name} {seed}", {"seed": seed, "steps": steps})
        for name, steps in (
            ("no faults", NO_FAULTS),
            ("faults", FAULTS),
            ("membership changes", CHANGES),
            ("snapshots", SNAPSHOTS),
        )
        for seed in SEEDS
    ]

    def test_safety(self):
        self.patch(leadership, "SNAPSHOT_PART_BYTES", PART_BYTES)
        simulation = ConsensusSimulation(seed=self.seed)
        weights = [weight for weight, _ in self.steps]
        actions = [action for _, action in self.steps]
        for action in simulation.random.choices(actions, weights, k=STEPS):
            action(simulation)
        simulation.settle()
        committed = set()
        for leader in simulation.claimed_leaders():
            committed = simulation.applied[leader]
        self.assertEqual(len(committed), len(set(committed)))
        self.assertEqual(set(), simulation.acknowledged - set(committed))
        self.assertNotEqual([], committed)


def command(index, term):
    """Return a log record with a command."""
    return LogRecord(index=index, term=term, command=pack_command(b"0"))


INITIAL_MEMBERSHIP = LogRecord(
    index=1,
    term=1,
    command=pack_membership(
        MembershipRecord(
            replicas=[replica(1), replica(2), replica(3)], operator="", request_id=""
        )
    ),
)


def snapshot_part(last_index, data, **changes):
    """Return the last part of a snapshot from replica 2."""
    request = InstallSnapshotRequest(
        term=2,
        leader=2,
        last_index=last_index,
        last_term=2,
        replicas=[replica(1), replica(2), replica(3)],
        offset_bytes=0,
        data=data,
        done=True,
        round=0,
    )
    return request.replace(**changes)


def make_node(records):
    """Return the node of replica 1 of three, restarted with these records."""
    return Node(
        identity=1,
        state=HardState(term=2, voted_for=0),
        snapshot=None,
        records=records,
        random=random.Random(1),
        now_ms=0,
        election_ms=ELECTION_MS,
        heartbeat_ms=HEARTBEAT_MS,
    )


def elect_leader(**settings):
    """Return a simulation after its first election, and its leader."""
    simulation = ConsensusSimulation(seed=1, **settings)
    simulation.settle()
    return simulation, simulation.nodes[simulation.claimed_leaders()[0]]


class Membership(testtools.TestCase):
    """Only members vote and count, and a membership changes by one replica at a time.

    Otherwise two disjoint quorums may commit different records at one index.
    """

    def test_empty_folder_neither_votes_nor_campaigns(self):
        simulation, _ = elect_leader()
        empty = simulation.nodes[4]
        request = VoteRequest(
            term=99, candidate=1, last_index=99, last_term=9, pre=False
        )
        empty.receive(1, request, simulation.now_ms)
        for _ in range(100):
            empty.tick(simulation.now_ms + 100 * ELECTION_MS)
        self.assertFalse(empty.pop_ready())
        self.assertEqual(0, empty.term)

    def test_no_commit_after_two_of_three_folders_were_lost(self):
        simulation, leader = elect_leader(spares=0)
        simulation.propose()
        simulation.settle()
        before = dict(simulation.committed_records)
        for identity in sorted(leader.members - {leader.identity}):
            simulation.disks[identity] = FakeDisk()
            simulation.start(identity)
            # A replica with an emptied folder gets a new identity.
            simulation.nodes[identity + 10] = simulation.nodes.pop(identity)
            simulation.nodes[identity + 10].identity = identity + 10
            simulation.disks[identity + 10] = simulation.disks[identity]
            simulation.applied[identity + 10] = []
        simulation.network = []
        for _ in range(50):
            simulation.advance_time(HEARTBEAT_MS)
            simulation.propose()
            simulation.network = [
                m for m in simulation.network if m[1] in simulation.nodes
            ]
            for _ in range(20):
                simulation.deliver()
        self.assertEqual(before, simulation.committed_records)
        self.assertEqual([], simulation.claimed_leaders())

    def test_learner_is_caught_up_only_after_it_answered(self):
        simulation, leader = elect_leader()
        leader.add_learner(4)
        self.assertFalse(leader.is_caught_up(4))
        for _ in range(5):
            simulation.advance_time(HEARTBEAT_MS)
            while simulation.network:
                simulation.deliver()
        self.assertTrue(leader.is_caught_up(4))

    def test_snapshot_in_parts_despite_message_loss(self):
        self.patch(leadership, "SNAPSHOT_PART_BYTES", PART_BYTES)
        simulation, leader = elect_leader()
        for _ in range(50):
            simulation.propose()
        simulation.settle()
        while leader.log.base_index == 0:
            simulation.compact_any()
        leader.add_learner(4)
        for _ in range(400):
            simulation.advance_time(HEARTBEAT_MS)
            for _ in range(10):
                simulation.deliver(loss=0.2, duplicate=0.2)
        self.assertTrue(simulation.nodes[4].log.base_index > 0)
        self.assertEqual(simulation.applied[leader.identity], simulation.applied[4])

    def test_parts_of_two_snapshots_do_not_mix(self):
        node = make_node([INITIAL_MEMBERSHIP])
        node.receive(2, snapshot_part(2, b"aa", done=False), 0)
        node.receive(2, snapshot_part(3, b"bb", offset_bytes=2), 0)
        self.assertIsNone(node.snapshot)
        node.receive(2, snapshot_part(3, b"bb", done=False), 0)
        node.receive(2, snapshot_part(3, b"cc", offset_bytes=2), 0)
        self.assertEqual(b"bbcc", node.snapshot.data)

    def test_learner_does_not_count(self):
        simulation, leader = elect_leader()
        leader.add_learner(4)
        leader.add_learner(5)
        voters = {member.identity for member in leader.log.replicas}
        simulation.isolated = voters - {leader.identity}
        simulation.propose()
        index = leader.log.last_index
        for _ in range(4):
            simulation.advance_time(HEARTBEAT_MS)
            for _ in range(100):
                simulation.deliver()
        self.assertEqual(index, simulation.nodes[4].log.last_index)
        self.assertEqual(index, simulation.nodes[5].log.last_index)
        self.assertTrue(index > leader.commit_index)

    def test_change_of_two_or_no_replicas_is_rejected(self):
        _, leader = elect_leader()
        members = list(leader.log.replicas)
        for replicas in ([*members, replica(4), replica(5)], members):
            record = MembershipRecord(replicas=replicas, operator="", request_id="")
            self.assertRaises(InvalidIntentError, leader.propose_membership, record)

    def test_change_is_rejected_while_the_last_is_uncommitted(self):
        _, leader = elect_leader()
        members = list(leader.log.replicas)
        first = MembershipRecord(
            replicas=[*members, replica(4)], operator="", request_id=""
        )
        leader.propose_membership(first)
        second = first.replace(replicas=members)
        self.assertRaises(NoQuorumError, leader.propose_membership, second)


class Commit(testtools.TestCase):
    """A record is committed when a majority synced it and the log before it.

    Otherwise an acknowledged record is lost if a replica crashes before its sync, or
    if a new leader overwrites a record of an older term.
    """

    def elected_node(self, records):
        """Return a node with these records, elected leader in term 3."""
        node = make_node(records)
        self.elect(node)
        return node

    def elect(self, node):
        """Elect a node of term 2 with the vote of replica 2."""
        node.tick(10 * ELECTION_MS)
        for pre in (True, False):
            answer = VoteAnswer(term=3, voter=2, granted=True, pre=pre)
            node.receive(2, answer, 10 * ELECTION_MS)
        self.assertEqual((LEADER, 3), (node.role, node.term))

    def answer(self, node, match_index):
        """Acknowledge records up to `match_index` as replica 2."""
        message = AppendAnswer(
            term=3, follower=2, success=True, match_index=match_index, round=0
        )
        node.receive(2, message, 10 * ELECTION_MS)

    def test_record_of_older_term_is_not_committed_by_count(self):
        node = self.elected_node([INITIAL_MEMBERSHIP, command(2, 2)])
        node.persisted(node.pop_ready())
        self.answer(node, 2)
        self.assertEqual(0, node.commit_index)
        self.answer(node, 3)
        self.assertEqual(3, node.commit_index)

    def test_no_commit_before_own_sync(self):
        node = self.elected_node([INITIAL_MEMBERSHIP])
        ready = node.pop_ready()
        self.answer(node, 2)
        self.assertEqual(0, node.commit_index)
        node.persisted(ready)
        self.assertEqual(2, node.commit_index)

    def test_no_commit_before_own_sync_after_a_snapshot(self):
        node = make_node(
            [INITIAL_MEMBERSHIP, *(command(index, 1) for index in range(2, 6))]
        )
        node.receive(2, snapshot_part(2, b""), 0)
        node.persisted(node.pop_ready())
        self.check_own_sync_counts(node)

    def test_no_commit_before_own_sync_after_records_were_replaced(self):
        node = make_node(
            [INITIAL_MEMBERSHIP, *(command(index, 1) for index in range(2, 6))]
        )
        request = AppendRequest(
            term=2,
            leader=2,
            previous_index=1,
            previous_term=1,
            records=[command(2, 2)],
            commit_index=2,
            round=0,
        )
        node.receive(2, request, 0)
        node.persisted(node.pop_ready())
        self.check_own_sync_counts(node)

    def check_own_sync_counts(self, node):
        """Elect a node whose log ends at 2; sync its new records after replica 2."""
        self.elect(node)
        node.propose(b"0")
        ready = node.pop_ready()
        self.answer(node, 4)
        self.assertEqual(2, node.commit_index)
        node.persisted(ready)
        self.assertEqual(4, node.commit_index)

    def test_follower_commits_only_matched_records(self):
        node = make_node([INITIAL_MEMBERSHIP, command(2, 1), command(3, 1)])
        request = AppendRequest(
            term=3,
            leader=2,
            previous_index=1,
            previous_term=1,
            records=[],
            commit_index=3,
            round=0,
        )
        node.receive(2, request, 0)
        self.assertEqual(1, node.commit_index)


class Leadership(testtools.TestCase):
    """A leader transfers, steps down without a majority, and survives a reconnection.

    Otherwise an isolated or resumed leader answers reads from stale data, and a
    replica that reconnects deposes a working leader with its higher term.
    """

    def test_transfer_without_election_timeout(self):
        simulation, leader = elect_leader()
        self.assertTrue(leader.transfer())
        simulation.flush(leader.identity)
        while simulation.network:
            simulation.deliver()
        self.assertNotEqual(LEADER, leader.role)
        self.assertEqual(1, len(simulation.claimed_leaders()))

    def test_isolated_leader_steps_down(self):
        simulation, leader = elect_leader()
        simulation.isolated = {leader.identity}
        for _ in range(20):
            simulation.advance_time(HEARTBEAT_MS)
        self.assertNotEqual(LEADER, leader.role)

    def test_isolated_replica_does_not_raise_term(self):
        simulation, leader = elect_leader()
        other = sorted(leader.members - {leader.identity})[0]
        simulation.isolated = {other}
        term = leader.term
        for _ in range(100):
            simulation.advance_time(HEARTBEAT_MS)
            for _ in range(20):
                simulation.deliver()
        self.assertEqual(term, simulation.nodes[other].term)
        simulation.settle()
        self.assertEqual(term, leader.term)

    def test_paused_leader_fails_reads_after_resuming(self):
        simulation, leader = elect_leader()
        paused = simulation.nodes.pop(leader.identity)
        simulation.network = []
        for _ in range(100):
            simulation.advance_time(HEARTBEAT_MS)
            simulation.network = [
                m for m in simulation.network if m[1] in simulation.nodes
            ]
            simulation.deliver()
            simulation.propose()
        paused.read("late")
        paused.tick(simulation.now_ms)
        reads = paused.pop_ready().reads
        self.assertEqual([("late", 0)], [(r.read_id, r.index) for r in reads])


class BadAppend(testscenarios.TestWithScenarios, testtools.TestCase):
    """A follower rejects append requests that would corrupt its log."""

    scenarios = [
        ("index gap", {"index": 9, "error": BadMessageError}),
        (
            "conflict with a committed record",
            {"index": 1, "error": CorruptStorageError},
        ),
    ]

    def test_rejected(self):
        simulation, leader = elect_leader()
        follower = simulation.nodes[sorted(leader.members - {leader.identity})[0]]
        record = LogRecord(index=self.index, term=99, command=b"\0x")
        request = AppendRequest(
            term=99,
            leader=leader.identity,
            previous_index=0,
            previous_term=0,
            records=[record],
            commit_index=0,
            round=0,
        )
        self.assertRaises(self.error, follower.receive, leader.identity, request, 0)
