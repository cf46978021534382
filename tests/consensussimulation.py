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
#: Records that stay before a snapshot.
KEEP_RECORDS = 3


def replica(identity):
    """Return the replica of an identity."""
    return Replica(name=f"r{identity}", identity=identity, host="127.0.0.1", port=1)


class FakeDisk:
    """Keep what was persisted, as the data folder does."""

    def __init__(self):
        self.state = HardState(term=0, voted_for=0)
        self.snapshot = None
        self.records = []

    def persist(self, ready):
        """Keep what a Ready holds."""
        if ready.state is not None:
            self.state = ready.state
        if ready.snapshot is not None:
            self.keep_snapshot(ready.snapshot, ready.records)
            return
        for record in ready.records:
            while self.records and self.records[-1].index >= record.index:
                self.records.pop()
            self.records.append(record)

    def keep_snapshot(self, snapshot, records):
        """Replace snapshot and records."""
        self.snapshot = snapshot
        self.records = list(records)


class ConsensusSimulation:
    """Run nodes on one schedule; every breach of a promise fails at once."""

    def __init__(self, *, seed, founders=3, spares=2):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.disks = {}
        self.nodes = {}
        self.applied = {}
        self.network = []
        self.isolated = set()
        #: The naive version: one list of what was committed.
        self.committed_records = {}
        self.leaders = {}
        self.reads = {}
        self.next_value = 1
        self.acknowledged = set()
        self.proposed = {}
        for identity in range(1, founders + spares + 1):
            self.disks[identity] = FakeDisk()
            self.start(identity)
        first = [replica(identity) for identity in range(1, founders + 1)]
        for identity in range(1, founders + 1):
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
        """Take the applied values out of a snapshot."""
        values = [int(v) for v in snapshot.data.decode().split(",") if v]
        self.applied[identity] = values

    def crash(self, identity):
        """Lose what a node didn't persist, and start it again."""
        self.start(identity)

    def flush(self, identity, *, crash_at=None):
        """Obey what a node asks; `crash_at` stops before that step."""
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
        """Put messages on the network."""
        for envelope in envelopes:
            self.network.append((identity, envelope.to, envelope.message))

    def apply(self, identity, ready):
        """Apply what is committed and compare it with the naive list."""
        if ready.snapshot is not None:
            self.restore(identity, ready.snapshot)
        for record in ready.committed:
            known = self.committed_records.setdefault(record.index, record)
            if known != record:
                raise AssertionError(f"{record} committed after {known}")
            if is_command(record):
                value = int(unpack_command(record))
                self.applied[identity].append(value)
                if self.proposed.get(value) == identity:
                    self.acknowledged.add(value)
        for read in ready.reads:
            least = self.reads.pop(read.read_id, 0)
            if read.index and read.index < least:
                raise AssertionError(f"stale read at {read.index}, not {least}")

    def check_leader(self, node):
        """Check that a term has one leader."""
        if node.role == LEADER:
            known = self.leaders.setdefault(node.term, node.identity)
            if known != node.identity:
                raise AssertionError(f"term {node.term} has two leaders")

    # Steps of a schedule.

    def deliver(self, *, loss=0.0, duplicate=0.0):
        """Deliver any message, not only the oldest."""
        if not self.network:
            return
        place = self.random.randrange(len(self.network))
        sender, to, message = self.network[place]
        if self.random.random() >= duplicate:
            del self.network[place]
        lost = sender in self.isolated or to in self.isolated
        if lost or self.random.random() < loss:
            return
        self.nodes[to].receive(sender, message, self.now_ms)
        self.flush(to)

    def advance_time(self, most_ms):
        """Let time pass and tick all nodes."""
        self.now_ms += self.random.randint(1, most_ms)
        for identity in sorted(self.nodes):
            self.nodes[identity].tick(self.now_ms)
            self.flush(identity)

    def propose(self):
        """Propose a value at any node that believes that it leads."""
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
        """Read at any node that believes that it leads."""
        for identity in self.claimed_leaders():
            read_id = (identity, self.next_value)
            self.next_value += 1
            self.reads[read_id] = max(self.committed_records, default=0)
            self.nodes[identity].read(read_id)
            self.flush(identity)

    def claimed_leaders(self):
        """Return the nodes that believe that they lead."""
        return [i for i, node in sorted(self.nodes.items()) if node.role == LEADER]

    def crash_any(self):
        """Crash a node, at times between persisting and sending."""
        identity = self.random.choice(sorted(self.nodes))
        node = self.nodes[identity]
        node.tick(self.now_ms)
        if node.role == LEADER and not node.transferring:
            node.propose(str(self.next_value).encode())
            self.next_value += 1
        self.flush(identity, crash_at=self.random.choice((None, "persist", "send")))
        self.crash(identity)

    def deliver_and_crash(self):
        """Crash a replica that took a message, before it persists or sends."""
        if not self.network:
            return
        place = self.random.randrange(len(self.network))
        sender, to, message = self.network.pop(place)
        self.nodes[to].receive(sender, message, self.now_ms)
        self.flush(to, crash_at=self.random.choice(("persist", "send")))
        self.crash(to)

    def compact_any(self):
        """Write a snapshot at any node."""
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
        disk.keep_snapshot(snapshot, node.log.slice(index + 1, node.log.last_index))

    def change_members(self):
        """Add a replica that caught up, or remove one, at any leader."""
        for identity in self.claimed_leaders():
            node = self.nodes[identity]
            wanted = self.random.choice(sorted(self.nodes))
            try:
                self._change(node, wanted)
            except KnapweeddealError:
                continue
            self.flush(identity)

    def _change(self, node, wanted):
        members = list(node.log.replicas)
        if wanted in node.members:
            if len(members) > 2:
                stay = [r for r in members if r.identity != wanted]
                node.propose_membership(_membership(stay))
        elif node.is_caught_up(wanted):
            node.propose_membership(_membership([*members, replica(wanted)]))
        else:
            node.add_learner(wanted)

    def transfer_any(self):
        """Hand leadership over."""
        for identity in self.claimed_leaders():
            self.nodes[identity].transfer()
            self.flush(identity)

    def settle(self):
        """Let a good network bring all members to the same state."""
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
        raise AssertionError(f"no agreement in time: {self.describe()}")

    def has_converged(self):
        """Tell whether all members follow one leader and applied all that it holds."""
        leaders = [self.nodes[identity] for identity in self.claimed_leaders()]
        return len(leaders) == 1 and all(
            self.nodes[identity].leader == leaders[0].identity
            and self.nodes[identity].applied_index == leaders[0].log.last_index
            for identity in leaders[0].members
        )

    def describe(self):
        """Return a line on each node."""
        return [
            (i, n.role, n.term, n.commit_index, n.log.last_index, sorted(n.members))
            for i, n in sorted(self.nodes.items())
        ]


def _membership(replicas):
    return MembershipRecord(replicas=replicas, operator="", request_id="")
