"""tests.consensussearch: Consensus nodes as a model whose states are searched.

Three nodes run the real code on fake disks. Messages between two nodes keep their order
and are delayed for any time; those on their way may be lost. Budgets bound how many
elections, writes, reads, losses and crashes occur.
"""

import copy
import functools

from knapweeddeal.consensus import LEADER, Node
from knapweeddeal.consensuslog import ConsensusLog
from knapweeddeal.consensusready import Ready
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.leadership import Leadership
from knapweeddeal.messages.base import encode
from tests.consensussimulation import ELECTION_MS, HEARTBEAT_MS, FakeDisk, replica

__all__ = ["Disk", "Replica", "World", "led", "parted"]

MEMBERS = (1, 2, 3)
#: Longer than any election timeout, so that no leader counts as live.
TIMEOUT_MS = 10 * ELECTION_MS
#: Fields of a node and its leadership that hold times, or are empty between steps.
UNCOMPARED = {"_random", "_ready", "_node", "_election_deadline_ms", "now_ms"}
UNCOMPARED |= {"_leader_contact_ms", "_transfer_deadline_ms", "next_heartbeat_ms"}
UNCOMPARED |= {"_progress", "answered_ms"}


class NoRandom:
    """Stand in for random numbers, so that equal states are equal."""

    def random(self):
        """Return 0."""
        return 0.0


class Disk(FakeDisk):
    """Hold what a node persisted, and copy it."""

    def copy(self):
        """Return a copy; states and records don't change and are shared."""
        twin = type(self)()
        twin.state, twin.snapshot = self.state, self.snapshot
        twin.records = list(self.records)
        return twin


class Replica:
    """Hold a node and its disk."""

    def __init__(self, *, identity, disk, now_ms, node_type=Node):
        self.identity = identity
        self.disk = disk
        self.node = node_type(
            identity=identity,
            state=disk.state,
            snapshot=disk.snapshot,
            records=disk.records,
            random=NoRandom(),
            now_ms=now_ms,
            election_ms=ELECTION_MS,
            heartbeat_ms=HEARTBEAT_MS,
        )

    def copy(self):
        """Return a copy that shares no changing part."""
        twin = object.__new__(type(self))
        twin.identity, twin.disk = self.identity, self.disk.copy()
        twin.node = _copy_node(self.node)
        return twin

    @functools.cached_property
    def key(self):
        """Return a hashable value of the state, once it no longer changes."""
        disk = self.disk
        records = tuple(map(_encoded, disk.records))
        return (_frozen(self.node), _encoded(disk.state), records)


#: Encoded messages and records by identity, with the object that keeps it in use.
_encoded_by_id = {}


def _encoded(message):
    """Return a message's bytes; worlds share messages, and most are compared often."""
    known = _encoded_by_id.get(id(message))
    if known is None:
        known = _encoded_by_id[id(message)] = (message, encode(message))
    return known[1]


def _copy_node(node):
    twin = copy.copy(node)
    twin.log = copy.copy(node.log)
    twin.log._records = list(node.log._records)
    twin.log._memberships = list(node.log._memberships)
    twin._votes = set(node._votes)
    twin._ready = Ready()
    if node._leadership is not None:
        leadership = twin._leadership = copy.copy(node._leadership)
        leadership._node = twin
        leadership._learners = set(leadership._learners)
        leadership._reads = [read.replace() for read in leadership._reads]
        leadership._progress = {
            identity: copy.copy(progress)
            for identity, progress in leadership._progress.items()
        }
    return twin


def _frozen(part):
    """Return the fields of a node, log, leadership or progress as a tuple."""
    values = []
    for name in type(part).__slots__ or Node.__slots__:
        if name in UNCOMPARED:
            continue
        value = getattr(part, name)
        if isinstance(value, (ConsensusLog, Leadership)):
            value = _frozen(value)
        elif name == "_records":
            value = tuple(map(_encoded, value))
        elif isinstance(value, (set, list)):
            value = tuple(sorted(value, key=repr))
        elif isinstance(value, bytearray):
            value = bytes(value)
        values.append(value)
    if isinstance(part, Leadership):
        values += [(i, _frozen(one)) for i, one in part._progress.items()]
    return tuple(values)


class World:
    """Hold the replicas, the messages on their way, and what was committed."""

    def __init__(self, *, node_type=Node, disk_type=Disk, pairs=None, **budgets):
        self._node_type = node_type
        self.budgets = dict(budgets)
        self.now_ms = 0
        #: Pairs of nodes that exchange messages; None for all.
        self.pairs = pairs
        self.channels = {}
        self.problem = ""
        #: Records that some node applied, by index, and leaders by term.
        self.committed = {}
        self.leaders = {}
        #: Least index of each read.
        self.reads = {}
        self.replicas = {
            identity: Replica(
                identity=identity, disk=disk_type(), now_ms=0, node_type=node_type
            )
            for identity in MEMBERS
        }
        for identity in MEMBERS:
            self.replicas[identity].node.bootstrap([replica(one) for one in MEMBERS])
            self.flush(self.replicas[identity])

    def key(self):
        """Return a hashable value of the state."""
        replicas = []
        for one in self.replicas.values():
            node = one.node
            is_contact_recent = node._leader_contact_ms == self.now_ms
            replicas.append((one.key, is_contact_recent and bool(node.leader)))
        channels = [
            (way, tuple(map(_encoded, messages)))
            for way, messages in sorted(self.channels.items())
        ]
        committed = tuple(_encoded(one) for _, one in sorted(self.committed.items()))
        history = (committed, *map(_items, (self.leaders, self.reads, self.budgets)))
        return (tuple(replicas), tuple(channels), history, self.problem)

    def violation(self):
        """Return what is wrong, or an empty text."""
        return self.problem

    def steps(self):
        """Yield each possible action with the world after it."""
        for action in list(self.actions()):
            name, *arguments = action
            following = self.copy()
            getattr(following, name)(*arguments)
            yield action, following

    def copy(self):
        """Return a copy that shares replicas until they are changed."""
        twin = copy.copy(self)
        for name in ("replicas", "channels", "committed", "leaders", "reads"):
            setattr(twin, name, dict(getattr(self, name)))
        twin.budgets = dict(self.budgets)
        return twin

    def actions(self):
        """Yield the actions that may be next."""
        for identity, one in self.replicas.items():
            is_leader = one.node.role == LEADER
            if not is_leader and self.has_left("elections"):
                yield ("elect", identity)
            if is_leader and self.has_left("writes"):
                yield ("write", identity)
            if is_leader and self.has_left("reads_left"):
                yield ("read", identity)
            if self.has_left("crashes"):
                yield ("crash", identity)
        for way in self.channels:
            yield ("deliver", way)
            if self.has_left("losses"):
                yield ("lose", way)
            if self.has_left("crashes"):
                yield ("crash_before_sync", way)
                yield ("crash_after_sync", way)

    def has_left(self, name):
        """Return whether a budget isn't used up."""
        return self.budgets.get(name, 0) > 0

    def spend(self, name):
        """Use one of a budget."""
        self.budgets[name] -= 1

    def copied(self, identity):
        """Return a replica that other worlds don't share."""
        self.replicas[identity] = self.replicas[identity].copy()
        return self.replicas[identity]

    # Actions.

    def elect(self, identity):
        """Let a node miss its leader, and campaign."""
        self.spend("elections")
        self.now_ms += TIMEOUT_MS
        one = self.copied(identity)
        one.node.tick(self.now_ms)
        self.flush(one)

    def write(self, identity):
        """Propose a command at a node in the leader role."""
        self.spend("writes")
        one = self.copied(identity)
        one.node.propose(b"%d" % self.budgets["writes"])
        self.flush(one)

    def read(self, identity):
        """Start a read at a node in the leader role."""
        self.spend("reads_left")
        one = self.copied(identity)
        read_id = self.budgets["reads_left"]
        self.reads[read_id] = max(self.committed, default=0)
        one.node.read(read_id)
        self.flush(one)

    def deliver(self, way, *, crash_at=None):
        """Deliver the first message on a way."""
        first, *others = self.channels.pop(way)
        if others:
            self.channels[way] = tuple(others)
        one = self.copied(way[1])
        try:
            one.node.receive(way[0], first, self.now_ms)
        except KnapweeddealError as error:
            self.problem = f"node {way[1]} failed: {error}"
            return
        self.flush(one, crash_at=crash_at)

    def lose(self, way):
        """Lose all messages on a way, as a stream that breaks does."""
        self.spend("losses")
        del self.channels[way]

    def crash(self, identity):
        """Restart a node from its disk; messages to it are lost."""
        self.spend("crashes")
        self.restart(identity)

    def crash_before_sync(self, way):
        """Deliver a message, and crash before the disk has what it led to."""
        self.spend("crashes")
        self.deliver(way, crash_at="persist")
        self.restart(way[1])

    def crash_after_sync(self, way):
        """Deliver a message, and crash before the answer is sent."""
        self.spend("crashes")
        self.deliver(way, crash_at="send")
        self.restart(way[1])

    def restart(self, identity):
        """Start a node from its disk."""
        self.channels = {w: m for w, m in self.channels.items() if w[1] != identity}
        self.replicas[identity] = Replica(
            identity=identity,
            disk=self.replicas[identity].disk.copy(),
            now_ms=self.now_ms,
            node_type=self._node_type,
        )

    # Output of a step.

    def flush(self, one, *, crash_at=None):
        """Process what a node has ready; `crash_at` stops before that step."""
        while True:
            ready = one.node.pop_ready()
            if not ready:
                return
            self.send(one, ready.before_sync)
            if crash_at == "persist":
                return
            one.disk.persist(ready)
            one.node.persisted(ready)
            if crash_at == "send":
                return
            self.send(one, ready.after_sync)
            self.check(one.node, ready)

    def send(self, one, envelopes):
        """Add messages to their ways."""
        for envelope in envelopes:
            way = (one.identity, envelope.to)
            if self.pairs is not None and set(way) not in self.pairs:
                continue
            self.channels[way] = (*self.channels.get(way, ()), envelope.message)

    def check(self, node, ready):
        """Compare what a node did with what others did before."""
        for record in ready.committed:
            if self.committed.setdefault(record.index, record) != record:
                self.problem = f"another record is committed at {record.index}"
        if node.role == LEADER:
            first = self.leaders.setdefault(node.term, node.identity)
            if first != node.identity:
                self.problem = f"term {node.term} has two leaders"
        for answer in ready.reads:
            if answer.index and answer.index < self.reads[answer.read_id]:
                self.problem = f"read {answer.read_id} is stale"


def led(*, pairs=None, kinds=None, **budgets):
    """Return a world that node 1 leads, with its first record known to all.

    `pairs` holds the only pairs of nodes that exchange messages from then on.
    """
    world = World(elections=1, **(kinds or {}))
    world.elect(1)
    while world.channels:
        world.deliver(next(iter(world.channels)))
    world.budgets, world.pairs = budgets, pairs
    return world


def parted(**budgets):
    """Return a world in which nodes 1 and 2 hold records that nobody else has.

    Node 1 has a command of term 2, node 2 the first record of term 3. Both were started
    again, and can't reach each other.
    """
    world = led(pairs=(), writes=1, elections=1)
    world.write(1)
    world.restart(1)
    world.pairs = ({2, 3},)
    world.elect(2)
    while world.replicas[2].node.role != LEADER:
        world.deliver(next(iter(world.channels)))
    world.channels = {}
    world.restart(2)
    world.budgets, world.pairs = budgets, ({1, 3}, {2, 3})
    return world


def _items(mapping):
    return tuple(sorted(mapping.items()))
