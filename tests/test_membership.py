"""tests.test_membership: Tests of membership, with many members in one process."""

import random

import testscenarios
import testtools

from knapweeddeal.actions import Address
from knapweeddeal.memberrecords import MemberRecords, supersedes
from knapweeddeal.messages.member import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    MemberRecord,
    PingRequest,
    SyncRequest,
)
from tests.memberfakes import PROBE_MS, MemberNetwork

COUNT = 40
STRANGER = Address(host="10.9.9.9", port=1)
SETTLE_MS = 60 * PROBE_MS


def record(incarnation, counter, state):
    """Return a record of one member."""
    return MemberRecord(
        name="entry-1",
        incarnation=incarnation,
        counter=counter,
        zone="zone-a",
        host="127.0.0.1",
        port=1,
        state=state,
    )


def settled_network(seed=1, **options):
    """Return a network whose members have converged, or after SETTLE_MS."""
    network = MemberNetwork(rng=random.Random(seed), **{"count": COUNT, **options})
    network.run(SETTLE_MS, until=network.has_converged)
    return network


class Precedence(testscenarios.TestWithScenarios, testtools.TestCase):
    """Of two records of a member, the same one wins in either order of arrival.

    Otherwise members would disagree for good. Records are (incarnation, counter,
    state); the second one of a pair wins.
    """

    scenarios = [
        ("suspicion", {"pair": ((1, 0, ALIVE), (1, 0, SUSPECT))}),
        ("refuted suspicion", {"pair": ((1, 0, SUSPECT), (1, 1, ALIVE))}),
        ("death", {"pair": ((1, 1, SUSPECT), (1, 1, DEAD))}),
        ("refuted death", {"pair": ((1, 1, DEAD), (1, 2, ALIVE))}),
        ("suspicion after a refutation", {"pair": ((1, 0, SUSPECT), (1, 1, SUSPECT))}),
        ("leave", {"pair": ((1, 1, DEAD), (1, 1, LEFT))}),
        ("restart", {"pair": ((9, 1, DEAD), (3, 2, ALIVE))}),
        ("two processes with one counter", {"pair": ((3, 2, DEAD), (9, 2, ALIVE))}),
    ]

    def test_second_record_wins(self):
        before, after = (record(*values) for values in self.pair)
        self.assertTrue(supersedes(after, before))
        self.assertFalse(supersedes(before, after))
        self.assertFalse(supersedes(after, after))


class Addresses(testtools.TestCase):
    """An address maps to the live member that announced it last."""

    def test_reused_address(self):
        records = MemberRecords()
        address = Address(host="127.0.0.1", port=1)
        old, new = record(1, 0, ALIVE), record(2, 0, ALIVE).replace(name="entry-2")
        records.put(old, now_ms=0)
        self.assertEqual("entry-1", records.name_at(address))
        records.put(new, now_ms=1)
        records.put(old.replace(state=DEAD), now_ms=2)
        self.assertEqual("entry-2", records.name_at(address))


class Strangers(testtools.TestCase):
    """Requests from strangers cause few datagrams, to prevent amplification."""

    def test_answers_to_a_sync_request_are_bounded(self):
        network = settled_network(8, count=100)
        member = network.members["entry-1"]
        request = SyncRequest(name="x", bucket=0, buckets=2, digest=0)
        answers = member.receive(request, STRANGER, now_ms=network.now_ms)
        self.assertLessEqual(len(answers), 4)

    def test_ping_request_from_stranger_is_ignored(self):
        member = settled_network(8, count=4).members["entry-1"]
        request = PingRequest(name="entry-2", number=1, host="10.9.9.8", port=1)
        self.assertEqual([], member.receive(request, STRANGER, now_ms=10**6))


class Lifecycle(testscenarios.TestWithScenarios, testtools.TestCase):
    """All members converge after joins, deaths, leaves, restarts and partitions."""

    scenarios = [
        ("no loss", {"loss": 0.0, "seed": 1}),
        ("loss", {"loss": 0.1, "seed": 2}),
        ("much loss", {"loss": 0.2, "seed": 3}),
    ]

    def setUp(self):
        super().setUp()
        self.network = settled_network(self.seed, loss=self.loss)
        self.assertTrue(self.network.has_converged())

    def test_join(self):
        self.network.start("entry-999")
        self.network.run(SETTLE_MS, until=self.network.has_converged)
        self.assertTrue(self.network.has_converged())

    def test_simultaneous_deaths(self):
        for number in range(5, 15):
            self.network.kill(f"entry-{number}")
        self.network.removals.clear()
        self.network.run(SETTLE_MS, until=self.network.has_converged)
        self.assertTrue(self.network.has_converged())
        self.assertFalse(any(action.planned for _, _, action in self.network.removals))

    def test_leave_spreads_within_ten_periods(self):
        self.network.leave("entry-7")
        self.network.run(10 * PROBE_MS, until=self.network.has_converged)
        self.assertTrue(self.network.has_converged())
        reported = [action for _, _, action in self.network.removals if action.planned]
        self.assertGreaterEqual(len(reported), COUNT - 1)

    def test_restart_under_the_same_name(self):
        self.network.kill("entry-7")
        self.network.run(500)
        self.network.start("entry-7")
        incarnation = self.network.members["entry-7"].record.incarnation

        def is_replaced():
            return all(
                member.records.get("entry-7").incarnation == incarnation
                for name, member in self.network.members.items()
                if name != "entry-7"
            )

        self.network.run(
            SETTLE_MS, until=lambda: is_replaced() and self.network.has_converged()
        )
        self.assertTrue(is_replaced())

    def test_partition_and_heal(self):
        near = {f"entry-{n}" for n in range(0, COUNT, 4)}
        far = set(self.network.members) - near
        self.network.partition_by_name = dict.fromkeys(near, "near")
        sides = (near, far)
        self.network.run(
            120 * PROBE_MS,
            until=lambda: all(self.network.has_converged(s) for s in sides),
        )
        self.assertEqual([True, True], [self.network.has_converged(s) for s in sides])
        self.network.partition_by_name = {}
        self.network.run(120 * PROBE_MS, until=self.network.has_converged)
        self.assertTrue(self.network.has_converged())

    def test_note_reaches_every_member_once(self):
        actions = self.network.members["entry-3"].broadcast_note(
            topic="succession", body=b"x", life_ms=20_000, now_ms=self.network.now_ms
        )
        self.network.perform("entry-3", actions)
        self.network.run(15_000)
        self.assertEqual({1}, set(self.network.notes.values()))
        self.assertEqual(COUNT - 1, len(self.network.notes))

    def test_version_reaches_every_member(self):
        self.network.set_version("entry-3", 7)

        def is_everywhere():
            return set(self.network.versions.values()) == {7}

        self.network.run(10 * PROBE_MS, until=is_everywhere)
        self.assertTrue(is_everywhere())


class SteadyState(testtools.TestCase):
    """Live members are not declared dead; cost doesn't grow with the member count."""

    def test_no_live_member_declared_dead(self):
        network = settled_network(4, loss=0.05)
        network.removals.clear()
        network.run(120 * PROBE_MS)
        self.assertEqual([], network.removals)
        self.assertTrue(network.has_converged())

    def test_paused_member_suspects_no_other(self):
        network = settled_network(5)
        name, member = next(iter(network.members.items()))
        for _ in range(5):
            del network.members[name]
            network.run(PROBE_MS)
            network.members[name] = member
            network.perform(name, member.tick(now_ms=network.now_ms))
        suspects = [record.name for record in member.records.suspected_before(10**9)]
        self.assertEqual([], suspects)

    def test_new_version_spreads_at_once(self):
        network = settled_network(7, count=100)
        network.set_version("entry-3", 7)
        network.run(PROBE_MS // 4)
        reached = [version for version in network.versions.values() if version == 7]
        self.assertGreater(len(reached), 80)

    def test_bytes_per_member_are_constant(self):
        rates = {}
        for count in (16, 160):
            network = settled_network(6, count=count)
            network.run(120 * PROBE_MS, until=network.is_quiescent)
            self.assertTrue(network.is_quiescent())
            before = network.bytes.total()
            network.run(20 * PROBE_MS)
            rates[count] = (network.bytes.total() - before) / count / 20
        self.assertLess(rates[160], 1.1 * rates[16])
        self.assertLess(rates[160], 150)
