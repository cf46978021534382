"""tests.test_presence: Tests of members and registrars together, over datagrams."""

import random

import testscenarios
import testtools

from knapweeddeal.actions import Address, Dial
from knapweeddeal.announcements import announce_digest
from knapweeddeal.directory import Directory, RequestFromRegistrar
from knapweeddeal.events import (
    MemberLost,
    MembersUpdated,
    RegistrarAnswered,
    VersionReceived,
)
from knapweeddeal.healthpoll import HealthPoll, Poll
from knapweeddeal.healthreader import Health
from knapweeddeal.membership import Membership, SendDatagram
from knapweeddeal.messages import base, decode, encode, member, peer
from knapweeddeal.messages.member import ALIVE, MemberRecord
from knapweeddeal.messages.peer import AnnounceDigest, LeaseAnswer, UpstreamName
from knapweeddeal.presence import Presence
from knapweeddeal.registrar import Registrar
from tests.directoryfakes import LEASE_MS, SILENCE_MS, announce

STRANGER = Address(host="10.9.9.9", port=1)
STEP_MS = 50
#: Classes of datagrams between entries, other than those of the membership.
DATAGRAMS = (
    *(
        "ForwardedAnnounce",
        "AnnounceDigest",
        "AnnounceRequest",
        "LeaseRequest",
        "LeaseAnswer",
    ),
    *("DirectoryDelta", "LoadRequest", "LoadReport"),
)


class Entries:
    """Run entries over datagrams that arrive at once, within partitions."""

    def __init__(self, *, zones, seed=1):
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.entries = {}
        self.directories = {}
        self.addresses = {}
        self.partition_by_name = {}
        self.events = []
        self.sent = []
        names = [name for names in zones.values() for name in names]
        for number, name in enumerate(names):
            self.addresses[name] = Address(host=f"10.0.0.{number + 1}", port=7000)
        for zone, members in zones.items():
            for name in members:
                self._add(name, zone)

    def _add(self, name, zone):
        address = self.addresses[name]
        record = MemberRecord(
            name=name,
            incarnation=self.rng.getrandbits(64),
            counter=0,
            zone=zone,
            host=address.host,
            port=address.port,
            state=ALIVE,
        )
        seeds = {n: a for n, a in self.addresses.items() if n != name}
        membership = Membership(
            record=record, seeds=seeds, rng=self.rng, probe_ms=1_000, now_ms=0
        )
        registrar = Registrar(
            epoch=self.rng.getrandbits(32), silence_ms=SILENCE_MS, now_ms=0
        )
        self.entries[name] = Presence(
            membership=membership,
            registrar=registrar,
            health=HealthPoll(poll_ms=1_000),
            registrars_per_zone=2,
            count=str,
        )
        self.directories[name] = Directory(lease_ms=LEASE_MS, name=name, zone=zone)
        self._perform(name, [self.entries[name].members_event()])

    def announce(self, name, message):
        """Deliver an upstream's announcement to an entry."""
        actions = self.entries[name].handle_announcement(message, now_ms=self.now_ms)
        self._perform(name, [a for a in actions if type(a) is SendDatagram])

    def run(self, for_ms, each_step=None):
        """Advance the time by `for_ms`, in steps of STEP_MS."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name, entry in self.entries.items():
                self._perform(name, entry.tick(now_ms=self.now_ms))
                actions = self.directories[name].tick(now_ms=self.now_ms)
                self._perform(name, actions)
            if each_step:
                each_step()

    def eligible(self, name):
        """Return the sorted ids of an entry's eligible upstreams."""
        eligible = self.directories[name].eligible("records", now_ms=self.now_ms)
        return sorted(upstream.key.upstream_id for upstream in eligible)

    def _perform(self, name, actions):
        for action in actions:
            if type(action) is SendDatagram:
                self._send(name, action)
            elif type(action) is RequestFromRegistrar:
                entry = self.entries[name]
                requested = entry.request_from_registrar(
                    action.name, action.message, now_ms=self.now_ms
                )
                self._perform(name, requested)
            elif type(action) is RegistrarAnswered:
                directory = self.directories[name]
                follow_ups = directory.handle_answer(
                    action.message, action.name, now_ms=self.now_ms
                )
                self._perform(name, follow_ups)
            elif type(action) in (Dial, Poll):
                continue
            elif type(action) is MembersUpdated:
                self.directories[name].set_members(action.names_by_zone)
            else:
                self.events.append((name, action))
            if type(action) is VersionReceived:
                self._perform(name, self.entries[name].set_version(action.version))

    def _send(self, name, action):
        self.sent.append((name, action))
        for target, address in self.addresses.items():
            if address == action.address and self.partition_by_name.get(
                name
            ) == self.partition_by_name.get(target):
                message = decode(encode(action.message))
                source = self.addresses[name]
                actions = self.entries[target].receive(
                    message, source, now_ms=self.now_ms
                )
                self._perform(target, actions)


ZONES = {
    "zone-a": ["entry-1", "entry-2", "entry-3"],
    "zone-b": ["entry-4", "entry-5", "entry-6"],
}


class Announcer:
    """Announce one upstream of each zone every 300 ms, to a random reachable entry."""

    def __init__(self, network):
        self.network = network
        self.sequence = 0
        self.health_port = 0
        self.alive = {"zone-a": 1, "zone-b": 2}

    def __call__(self):
        if self.network.now_ms % 300:
            return
        self.sequence += 1
        for zone, number in self.alive.items():
            names = [
                name
                for name in self.network.entries
                if self.network.partition_by_name.get(name) in (None, zone)
            ]
            message = announce(
                number,
                zone=zone,
                sequence=self.sequence,
                health_port=self.health_port,
            )
            self.network.announce(self.network.rng.choice(names), message)


class Zones(testtools.TestCase):
    """Every entry leases all upstreams of its partition, announced to any entry."""

    def setUp(self):
        super().setUp()
        self.network = Entries(zones=ZONES)
        self.announcer = Announcer(self.network)
        self.network.run(8_000, self.announcer)

    def assert_eligible(self, expected):
        found = {name: self.network.eligible(name) for name in self.network.entries}
        self.assertEqual(expected, found)

    def test_all_entries_lease_all_upstreams(self):
        both = ["upstream-1", "upstream-2"]
        self.assert_eligible(dict.fromkeys(self.network.entries, both))

    def test_partitioned_zones_lease_their_own_upstreams(self):
        self.network.partition_by_name = {
            n: zone for zone, names in ZONES.items() for n in names
        }
        expected = {n: ["upstream-1"] for n in ZONES["zone-a"]}
        expected |= {n: ["upstream-2"] for n in ZONES["zone-b"]}

        def step():
            self.announcer()
            if self.network.now_ms > 8_000 + SILENCE_MS + LEASE_MS:
                self.assert_eligible(expected)

        self.network.run(40_000, step)
        self.network.partition_by_name = {}
        self.network.run(20_000, self.announcer)
        self.test_all_entries_lease_all_upstreams()

    def test_renewals_are_sent_by_digest(self):
        self.network.sent.clear()
        self.network.run(3_000, self.announcer)
        kinds = [type(action.message).__name__ for _, action in self.network.sent]
        self.assertIn("AnnounceDigest", kinds)
        self.assertNotIn("ForwardedAnnounce", kinds)

    def test_polled_load_reaches_entries_of_the_zone(self):
        listed = UpstreamName(service="records", upstream_id="upstream-1")
        health = Health(healthy=True, outstanding=1, connections=77)

        def step():
            self.announcer()
            for name in ZONES["zone-a"]:
                entry = self.network.entries[name]
                entry.health.record_result(listed, health, now_ms=self.network.now_ms)

        self.announcer.health_port = 80
        self.network.run(4_000, step)
        reported = {
            name: {
                upstream.key.upstream_id: upstream.connections
                for upstream in directory.all()
            }["upstream-1"]
            for name, directory in self.network.directories.items()
        }
        expected = dict.fromkeys(ZONES["zone-a"], 77)
        self.assertEqual({**dict.fromkeys(ZONES["zone-b"], 0), **expected}, reported)

    def test_lost_member_is_reported(self):
        self.network.partition_by_name = {"entry-6": "alone"}
        self.network.run(20_000)
        lost = {
            (name, event.name, event.planned)
            for name, event in self.network.events
            if type(event) is MemberLost and name != "entry-6"
        }
        self.assertEqual({(f"entry-{n}", "entry-6", False) for n in range(1, 6)}, lost)

    def test_version_is_reported_to_all(self):
        for entry in self.network.entries.values():
            entry.set_version(2)
        self.network.events.clear()
        entry = self.network.entries["entry-1"]
        self.network._perform("entry-1", entry.set_version(3))
        self.network.run(4_000)
        seen = {n for n, e in self.network.events if type(e) is VersionReceived}
        self.assertEqual(set(self.network.entries) - {"entry-1"}, seen)


def random_value(rng, kind):
    """Return a random valid value of a field, often at its limits."""
    if type(kind) is base.Integer:
        return rng.choice(
            [kind.minimum, kind.maximum, kind.minimum + rng.randint(0, 9)]
        )
    if type(kind) is base.Flag:
        return rng.random() < 0.5
    if type(kind) is base.OneOf:
        return rng.choice(sorted(kind.choices))
    if type(kind) is base.Blob:
        return bytes(rng.randint(0, 9))
    if type(kind) is base.Nested:
        return random_message(rng, kind.cls)
    if type(kind) is base.ListOf:
        return [random_value(rng, kind.item) for _ in range(rng.randint(0, 3))]
    return rng.choice(["", "entry-1", "entry-2", "upstream-1", "records", "10.0.0.2"])


def random_message(rng, cls):
    """Return a message with random valid fields."""
    return cls(**{name: random_value(rng, kind) for name, kind in cls.schema.items()})


class RandomMessages(testscenarios.TestWithScenarios, testtools.TestCase):
    """Valid messages with random fields raise no error, and leases recover."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(8)]

    def test_leases_recover(self):
        rng = random.Random(self.seed)
        network = Entries(zones=ZONES, seed=self.seed)
        announcer = Announcer(network)
        network.run(5_000, announcer)
        kinds = [getattr(member, name) for name in member.__all__ if name[0] != "M"]
        kinds = [cls for cls in kinds if isinstance(cls, type)]
        kinds += [getattr(peer, name) for name in DATAGRAMS]
        for _ in range(3_000):
            message = random_message(rng, rng.choice(kinds))
            if type(message) is peer.ForwardedAnnounce:
                message.announce.health_port = 0
            target = network.entries[rng.choice(list(network.entries))]
            source = rng.choice([STRANGER, *network.addresses.values()])
            actions = target.receive(
                decode(encode(message)), source, now_ms=network.now_ms
            )
            for action in actions:
                if type(action) is SendDatagram:
                    decode(encode(action.message))
                elif type(action) is RegistrarAnswered:
                    directory = network.directories[target.membership.record.name]
                    directory.handle_answer(
                        action.message, action.name, now_ms=network.now_ms
                    )
        network.run(60_000, announcer)
        for name in network.entries:
            self.assertLessEqual(
                {"upstream-1", "upstream-2"}, set(network.eligible(name))
            )


class Strangers(testtools.TestCase):
    """Messages from addresses of no member are ignored or answered without effect."""

    def setUp(self):
        super().setUp()
        self.entry = Entries(zones={"zone-a": ["entry-1"]}).entries["entry-1"]

    def test_lease_from_stranger_is_ignored(self):
        message = LeaseAnswer(asked_ms=1, epoch=1, version=1)
        self.assertEqual([], self.entry.receive(message, STRANGER, now_ms=1))

    def test_unknown_digest_is_requested(self):
        digest = announce_digest(announce())
        message = AnnounceDigest(digest=digest, sequence=1)
        (action,) = self.entry.receive(message, STRANGER, now_ms=1)
        self.assertEqual((STRANGER, digest), (action.address, action.message.digest))
        self.assertEqual([], self.entry.receive(action.message, STRANGER, now_ms=1))
