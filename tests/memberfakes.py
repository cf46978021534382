"""tests.memberfakes: Many members in one process, with loss and partitions."""

import heapq
import itertools
from collections import Counter

from knapweeddeal.actions import Address
from knapweeddeal.membership import (
    MemberGone,
    Membership,
    NoteReceived,
    SendDatagram,
    VersionSeen,
)
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.member import ALIVE, MemberRecord

PROBE_MS = 1_000
TICK_MS = 100
#: Bytes of IP and UDP headers.
HEADER_BYTES = 28
SEEDS = 3
#: Time between checks of a condition.
CHECK_MS = 500


class MemberNetwork:
    """Run members in virtual time; `partition_by_name` maps names to partitions."""

    def __init__(self, *, rng, count, zones=4, loss=0.0, max_delay_ms=2):
        self.rng = rng
        self.now_ms = 0
        self.loss = loss
        self.max_delay_ms = max_delay_ms
        self.zones = zones
        self.members = {}
        self.addresses = {}
        self.partition_by_name = {}
        self.bytes = Counter()
        self.datagrams = Counter()
        self.removals = []
        self.notes = Counter()
        self.versions = {}
        self._order = itertools.count()
        self._queue = []
        self.seeds = {}
        for number in range(count):
            self.start(f"entry-{number}")

    def start(self, name):
        """Start a member, or restart it after its death."""
        number = int(name.split("-")[1])
        address = Address(host=f"10.0.{number // 250}.{1 + number % 250}", port=7000)
        if len(self.seeds) < SEEDS:
            self.seeds[name] = address
        record = MemberRecord(
            name=name,
            incarnation=self.rng.getrandbits(64),
            counter=0,
            zone=f"zone-{number % self.zones}",
            host=address.host,
            port=address.port,
            state=ALIVE,
        )
        self.members[name] = Membership(
            record=record,
            seeds={n: a for n, a in self.seeds.items() if n != name},
            rng=self.rng,
            probe_ms=PROBE_MS,
            now_ms=self.now_ms,
        )
        self.addresses[address] = name
        self.versions[name] = 0
        self._push(self.now_ms + self.rng.randrange(TICK_MS), "tick", name, None)

    def kill(self, name):
        """End a member without a leave."""
        del self.members[name]

    def leave(self, name):
        """End a member as planned."""
        self.perform(name, self.members[name].leave(now_ms=self.now_ms))
        del self.members[name]

    def set_version(self, name, version):
        """Apply a version at one member, if it is higher."""
        if version > self.versions[name]:
            self.versions[name] = version
            self.perform(name, self.members[name].set_version(version))

    def run(self, for_ms, *, until=None):
        """Advance by `for_ms` or until a condition holds; return the time advanced."""
        start_ms = self.now_ms
        end_ms = start_ms + for_ms
        while self.now_ms < end_ms:
            if until and until():
                break
            self._run_to(min(self.now_ms + CHECK_MS, end_ms))
        return self.now_ms - start_ms

    def _run_to(self, end_ms):
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, kind, name, payload = heapq.heappop(self._queue)
            if name not in self.members:
                continue
            if kind == "tick":
                self._tick(name)
            else:
                self._receive(name, *payload)
        self.now_ms = end_ms

    def _receive(self, name, source, data):
        member = self.members[name]
        message = decode(data)
        actions = member.receive(message, source, now_ms=int(self.now_ms))
        self.perform(name, actions)

    def known(self, name):
        """Return the names of the members that a member lists as live."""
        zones = self.members[name].names_by_zone()
        return {name for names in zones.values() for name in names}

    def has_converged(self, names=None):
        """Return whether each of these members (or all) lists exactly them as live."""
        names = set(names or self.members)
        return all(self.known(name) == names for name in names)

    def is_quiescent(self):
        """Return whether no member has updates to gossip."""
        return not any(len(member._gossip) for member in self.members.values())

    def perform(self, name, actions):
        """Perform the actions of a member."""
        for action in actions:
            if type(action) is SendDatagram:
                self._send(name, action)
            elif type(action) is MemberGone:
                self.removals.append((self.now_ms, name, action))
            elif type(action) is NoteReceived:
                self.notes[name] += 1
            elif type(action) is VersionSeen:
                self.set_version(name, action.version)

    def _tick(self, name):
        actions = self.members[name].tick(now_ms=int(self.now_ms))
        self.perform(name, actions)
        self._push(self.now_ms + TICK_MS, "tick", name, None)

    def _send(self, name, action):
        data = encode(action.message)
        self.bytes[name] += len(data) + HEADER_BYTES
        self.datagrams[name] += 1
        target = self.addresses.get(action.address)
        if self.partition_by_name.get(name) != self.partition_by_name.get(target):
            return
        if self.rng.random() < self.loss:
            return
        delay_ms = 1 + self.rng.random() * self.max_delay_ms
        own = self.members[name].record
        source = Address(host=own.host, port=own.port)
        self._push(self.now_ms + delay_ms, "datagram", target, (source, data))

    def _push(self, time_ms, kind, name, payload):
        heapq.heappush(self._queue, (time_ms, next(self._order), kind, name, payload))
