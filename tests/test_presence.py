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
#: Datagrams between entries beside those of the members.
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
    """Run entries over datagrams that arrive at once, unless cut."""

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
            counters=str,
        )
        self.directories[name] = Directory(lease_ms=LEASE_MS, name=name, zone=zone)
        self._perform(name, [self.entries[name].members_event()])

    def announce(self, name, message):
        """Let an upstream's announcement come to an entry."""
        actions = self.entries[name].handle_announcement(message, now_ms=self.now_ms)
        self._perform(name, [a for a in actions if type(a) is SendDatagram])

    def run(self, for_ms, each_step=None):
        """Let time pass."""
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
        """Return the ids of the upstreams that an entry may use."""
        eligible = self.directories[name].eligible("records", now_ms=self.now_ms)
        return sorted(upstream.key.upstream_id for upstream in eligible)

    def _perform(self, name, actions):
        for action in actions:
            if type(action) is SendDatagram:
                self._send(name, action)
            elif type(action) is RequestFromRegistrar:
                entry = self.entries[name]
                asked = entry.request_from_registrar(
                    action.name, action.message, now_ms=self.now_ms
                )
                self._perform(name, asked)
            elif type(action) is RegistrarAnswered:
                directory = self.directories[name]
                taken = directory.handle_answer(
                    action.message, action.name, now_ms=self.now_ms
                )
                self._perform(name, taken)
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


class Announcing:
    """Announce one upstream of each zone, to any entry that it reaches."""

    def __init__(self, run):
        self.run = run
        self.sequence = 0
        self.health_port = 0
        self.alive = {"zone-a": 1, "zone-b": 2}

    def __call__(self):
        if self.run.now_ms % 300:
            return
        self.sequence += 1
        for zone, number in self.alive.items():
            names = [
                name
                for name in self.run.entries
                if self.run.partition_by_name.get(name) in (None, zone)
            ]
            message = announce(
                number,
                zone=zone,
                sequence=self.sequence,
                health_port=self.health_port,
            )
            self.run.announce(self.run.rng.choice(names), message)


class Zones(testtools.TestCase):
    """Upstreams announced to any entry are leased by all, across a cut too."""

    def setUp(self):
        super().setUp()
        self.net = Entries(zones=ZONES)
        self.announcing = Announcing(self.net)
        self.net.run(8_000, self.announcing)

    def assert_fresh(self, expected):
        found = {name: self.net.eligible(name) for name in self.net.entries}
        self.assertEqual(expected, found)

    def test_all_know_all(self):
        both = ["upstream-1", "upstream-2"]
        self.assert_fresh(dict.fromkeys(self.net.entries, both))

    def test_cut_zones_go_on_alone_and_heal(self):
        self.net.partition_by_name = {
            n: zone for zone, names in ZONES.items() for n in names
        }
        expected = {n: ["upstream-1"] for n in ZONES["zone-a"]}
        expected |= {n: ["upstream-2"] for n in ZONES["zone-b"]}

        def step():
            self.announcing()
            if self.net.now_ms > 8_000 + SILENCE_MS + LEASE_MS:
                self.assert_fresh(expected)

        self.net.run(40_000, step)
        self.net.partition_by_name = {}
        self.net.run(20_000, self.announcing)
        self.test_all_know_all()

    def test_steady_announcements_go_by_digest(self):
        self.net.sent.clear()
        self.net.run(3_000, self.announcing)
        kinds = [type(action.message).__name__ for _, action in self.net.sent]
        self.assertIn("AnnounceDigest", kinds)
        self.assertNotIn("ForwardedAnnounce", kinds)

    def test_polls_reach_the_zone(self):
        listed = UpstreamName(service="records", upstream_id="upstream-1")
        health = Health(healthy=True, outstanding=1, connections=77)

        def step():
            self.announcing()
            for name in ZONES["zone-a"]:
                entry = self.net.entries[name]
                entry.health.record_result(listed, health, now_ms=self.net.now_ms)

        self.announcing.health_port = 80
        self.net.run(4_000, step)
        known = {
            name: {
                upstream.key.upstream_id: upstream.connections
                for upstream in directory.all()
            }["upstream-1"]
            for name, directory in self.net.directories.items()
        }
        expected = dict.fromkeys(ZONES["zone-a"], 77)
        self.assertEqual({**dict.fromkeys(ZONES["zone-b"], 0), **expected}, known)

    def test_events(self):
        self.net.partition_by_name = {"entry-6": "alone"}
        self.net.run(20_000)
        lost = {
            (name, event.name, event.planned)
            for name, event in self.net.events
            if type(event) is MemberLost and name != "entry-6"
        }
        self.assertEqual({(f"entry-{n}", "entry-6", False) for n in range(1, 6)}, lost)

    def test_version(self):
        for entry in self.net.entries.values():
            entry.set_version(2)
        self.net.events.clear()
        entry = self.net.entries["entry-1"]
        self.net._perform("entry-1", entry.set_version(3))
        self.net.run(4_000)
        seen = {n for n, e in self.net.events if type(e) is VersionReceived}
        self.assertEqual(set(self.net.entries) - {"entry-1"}, seen)


def random_value(rng, kind):
    """Return a value that passes a field's check, often at its limits."""
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
    """Return a message whose fields pass their checks."""
    return cls(**{name: random_value(rng, kind) for name, kind in cls.schema.items()})


class Anything(testscenarios.TestWithScenarios, testtools.TestCase):
    """Messages that pass their checks and make no sense end nothing."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(8)]

    def test_still_works(self):
        rng = random.Random(self.seed)
        net = Entries(zones=ZONES, seed=self.seed)
        announcing = Announcing(net)
        net.run(5_000, announcing)
        kinds = [getattr(member, name) for name in member.__all__ if name[0] != "M"]
        kinds = [cls for cls in kinds if isinstance(cls, type)]
        kinds += [getattr(peer, name) for name in DATAGRAMS]
        for _ in range(3_000):
            message = random_message(rng, rng.choice(kinds))
            if type(message) is peer.ForwardedAnnounce:
                message.announce.health_port = 0
            target = net.entries[rng.choice(list(net.entries))]
            source = rng.choice([STRANGER, *net.addresses.values()])
            actions = target.receive(decode(encode(message)), source, now_ms=net.now_ms)
            for action in actions:
                if type(action) is SendDatagram:
                    decode(encode(action.message))
                elif type(action) is RegistrarAnswered:
                    directory = net.directories[target.membership.record.name]
                    directory.handle_answer(
                        action.message, action.name, now_ms=net.now_ms
                    )
        net.run(60_000, announcing)
        for name in net.entries:
            self.assertLessEqual({"upstream-1", "upstream-2"}, set(net.eligible(name)))


class Strangers(testtools.TestCase):
    """What comes from nobody known, or asks for what isn't known, does no harm."""

    def setUp(self):
        super().setUp()
        self.entry = Entries(zones={"zone-a": ["entry-1"]}).entries["entry-1"]

    def test_lease_of_a_stranger(self):
        message = LeaseAnswer(asked_ms=1, epoch=1, version=1)
        self.assertEqual([], self.entry.receive(message, STRANGER, now_ms=1))

    def test_unknown_digest_is_asked_for(self):
        digest = announce_digest(announce())
        message = AnnounceDigest(digest=digest, sequence=1)
        (wanted,) = self.entry.receive(message, STRANGER, now_ms=1)
        self.assertEqual((STRANGER, digest), (wanted.address, wanted.message.digest))
        self.assertEqual([], self.entry.receive(wanted.message, STRANGER, now_ms=1))
