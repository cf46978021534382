"""tests.consensussimulation: Consensus nodes on fake disks and a fake network."""

import random

from knapweeddeal.consensus import LEADER, Node
from knapweeddeal.consensuslog import is_command, unpack_command
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.replication import (
    HardState,
    MembershipRecord,
    SnapshotFile,
)

ELECTION_MS = 100
HEARTBEAT_MS = 20
#: Records kept before a snapshot.
KEEP_RECORDS = 3


def replica(identity):
    """Return the replica with an identity."""
    return Replica(name=f"r{identity}", identity=identity, host="127.0.0.1", port=1)


class FakeDisk:
    """Hold what a node persisted, as the data folder does."""

    def __init__(self):
        self.state = HardState(term=0, voted_for=0)
        self.snapshot = None
        self.records = []

    def persist(self, ready):
        """Store the state, snapshot and records of a Ready."""
        if ready.state is not None:
            self.state = ready.state
        if ready.snapshot is not None:
            self.replace_snapshot(ready.snapshot, ready.records)
            return
        for record in ready.records:
            while self.records and self.records[-1].index >= record.index:
                self.records.pop()
            self.records.append(record)

    def replace_snapshot(self, snapshot, records):
        """Replace snapshot and records."""
        self.snapshot = snapshot
        self.records = list(records)


class ConsensusSimulation:
    """Run nodes on a random schedule; raise AssertionError on a safety violation."""

    def __init__(self, *, seed, initial_members=3, spares=2):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.disks = {}
        self.nodes = {}
        self.applied = {}
        self.network = []
        self.isolated = set()
        #: Reference model: the committed record at each index, the same for all nodes.
        self.committed_records = {}
        self.leaders = {}
        self.reads = {}
        self.next_value = 1
        self.acknowledged = set()
        self.proposed = {}
        for identity in range(1, initial_members + spares + 1):
            self.disks[identity] = FakeDisk()
            self.start(identity)
        first = [replica(identity) for identity in range(1, initial_members + 1)]
        for identity in range(1, initial_members + 1):
            self.nodes[identity].bootstrap(first)
            self.flush(identity)

    def start(self, identity):
        """Start a node from its disk."""
        disk = self.disks[identity]
        node = Node(
            identity=identity,
            state=disk.state,
            snapshot=disk.snapshot,
            records=disk.records,
            random=random.Random(self.random.random()),
            now_ms=self.now_ms,
            election_ms=ELECTION_MS,
            heartbeat_ms=HEARTBEAT_MS,
        )
        self.nodes[identity] = node
        self.applied[identity] = []
        if disk.snapshot is not None:
            self.restore(identity, disk.snapshot)

    def restore(self, identity, snapshot):
        """Replace the applied values by those of a snapshot."""
        values = [int(v) for v in snapshot.data.decode().split(",") if v]
        self.applied[identity] = values

    def crash(self, identity):
        """Restart a node; it loses what it didn't persist."""
        self.start(identity)

    def flush(self, identity, *, crash_at=None):
        """Process all pending Readys of a node; `crash_at` stops before that step."""
        node = self.nodes[identity]
        self.check_leader(node)
        while True:
            ready = node.pop_ready()
            if not ready:
                return
            self.send(identity, ready.before_sync)
            if crash_at == "persist":
                return
            self.disks[identity].persist(ready)
            node.persisted(ready)
            if crash_at == "send":
                return
            self.send(identity, ready.after_sync)
            self.apply(identity, ready)
            self.check_leader(node)

    def send(self, identity, envelopes):
        """Add messages to the network."""
        for envelope in envelopes:
            self.network.append((identity, envelope.to, envelope.message))

    def apply(self, identity, ready):
        """Apply committed records and compare them with the reference model."""
        if ready.snapshot is not None:
            self.restore(identity, ready.snapshot)
        for record in ready.committed:
            first_seen = self.committed_records.setdefault(record.index, record)
            if first_seen != record:
                raise AssertionError(
                    f"{record} committed at the same index as {first_seen}"
                )
            if is_command(record):
                value = int(unpack_command(record))
                self.applied[identity].append(value)
                if self.proposed.get(value) == identity:
                    self.acknowledged.add(value)
        for read in ready.reads:
            required_index = self.reads.pop(read.read_id, 0)
            if read.index and read.index < required_index:
                raise AssertionError(
                    f"stale read at index {read.index}, expected {required_index}"
                )

    def check_leader(self, node):
        """Check that a term has at most one leader."""
        if node.role == LEADER:
            first_seen = self.leaders.setdefault(node.term, node.identity)
            if first_seen != node.identity:
                raise AssertionError(f"term {node.term} has two leaders")

    # Steps of a schedule.

    def deliver(self, *, loss=0.0, duplicate=0.0):
        """Deliver a random message, possibly out of order; lose or duplicate some."""
        if not self.network:
            return
        position = self.random.randrange(len(self.network))
        sender, to, message = self.network[position]
        if self.random.random() >= duplicate:
            del self.network[position]
        unreachable = sender in self.isolated or to in self.isolated
        if unreachable or self.random.random() < loss:
            return
        self.nodes[to].receive(sender, message, self.now_ms)
        self.flush(to)

    def advance_time(self, max_ms):
        """Advance the time by up to `max_ms` and tick all nodes."""
        self.now_ms += self.random.randint(1, max_ms)
        for identity in sorted(self.nodes):
            self.nodes[identity].tick(self.now_ms)
            self.flush(identity)

    def propose(self):
        """Propose a value at every node in the leader role."""
        for identity in self.claimed_leaders():
            value = self.next_value
            self.next_value += 1
            try:
                self.nodes[identity].propose(str(value).encode())
            except KnapweeddealError:
                continue
            self.proposed[value] = identity
            self.flush(identity)

    def read(self):
        """Start a read at every node in the leader role."""
        for identity in self.claimed_leaders():
            read_id = (identity, self.next_value)
            self.next_value += 1
            self.reads[read_id] = max(self.committed_records, default=0)
            self.nodes[identity].read(read_id)
            self.flush(identity)

    def claimed_leaders(self):
        """Return the identities of the nodes in the leader role."""
        return [i for i, node in sorted(self.nodes.items()) if node.role == LEADER]

    def crash_any(self):
        """Crash a random node, possibly before it persists or sends."""
        identity = self.random.choice(sorted(self.nodes))
        node = self.nodes[identity]
        node.tick(self.now_ms)
        if node.role == LEADER and not node.transferring:
            node.propose(str(self.next_value).encode())
            self.next_value += 1
        self.flush(identity, crash_at=self.random.choice((None, "persist", "send")))
        self.crash(identity)

    def deliver_and_crash(self):
        """Crash a node that received a message, before it persists or sends."""
        if not self.network:
            return
        position = self.random.randrange(len(self.network))
        sender, to, message = self.network.pop(position)
        self.nodes[to].receive(sender, message, self.now_ms)
        self.flush(to, crash_at=self.random.choice(("persist", "send")))
        self.crash(to)

    def compact_any(self):
        """Write a snapshot at a random node."""
        identity = self.random.choice(sorted(self.nodes))
        node, disk = self.nodes[identity], self.disks[identity]
        index = node.applied_index
        if index <= (node.snapshot.last_index if node.snapshot else 0):
            return
        values = ",".join(map(str, self.applied[identity]))
        snapshot = SnapshotFile(
            last_index=index,
            last_term=node.log.term_at(index),
            replicas=list(node.log.replicas_at(index)),
            data=values.encode(),
        )
        node.compact(snapshot, KEEP_RECORDS)
        disk.replace_snapshot(snapshot, node.log.slice(index + 1, node.log.last_index))

    def change_members(self):
        """Add a caught-up replica, or remove one, at every node in the leader role."""
        for identity in self.claimed_leaders():
            node = self.nodes[identity]
            target = self.random.choice(sorted(self.nodes))
            try:
                self._change(node, target)
            except KnapweeddealError:
                continue
            self.flush(identity)

    def _change(self, node, target):
        members = list(node.log.replicas)
        if target in node.members:
            if len(members) > 2:
                remaining = [r for r in members if r.identity != target]
                node.propose_membership(_membership(remaining))
        elif node.is_caught_up(target):
            node.propose_membership(_membership([*members, replica(target)]))
        else:
            node.add_learner(target)

    def transfer_any(self):
        """Transfer leadership from every node in the leader role."""
        for identity in self.claimed_leaders():
            self.nodes[identity].transfer()
            self.flush(identity)

    def settle(self):
        """Run without faults until all members have the same state."""
        self.isolated = set()
        for _ in range(400):
            self.advance_time(HEARTBEAT_MS)
            for _ in range(200):
                if not self.network:
                    break
                self.deliver()
            self.network = self.network[-500:]
            if self.has_converged():
                return
        raise AssertionError(f"nodes didn't converge: {self.describe()}")

    def has_converged(self):
        """Return whether all members follow one leader and applied its whole log."""
        leaders = [self.nodes[identity] for identity in self.claimed_leaders()]
        return len(leaders) == 1 and all(
            self.nodes[identity].leader == leaders[0].identity
            and self.nodes[identity].applied_index == leaders[0].log.last_index
            for identity in leaders[0].members
        )

    def describe(self):
        """Return the role, term, indices and members of each node."""
        return [
            (i, n.role, n.term, n.commit_index, n.log.last_index, sorted(n.members))
            for i, n in sorted(self.nodes.items())
        ]


def _membership(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
