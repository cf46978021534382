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


def settled(seed=1, **options):
    """Return a net whose members know each other."""
    net = MemberNetwork(rng=random.Random(seed), **{"count": COUNT, **options})
    net.run(SETTLE_MS, until=net.has_converged)
    return net


class Order(testscenarios.TestWithScenarios, testtools.TestCase):
    """Which of two records wins doesn't depend on which came first.

    Records are (incarnation, counter, state); the later one of a pair wins.
    """

    scenarios = [
        ("suspicion", {"pair": ((1, 0, ALIVE), (1, 0, SUSPECT))}),
        ("refuted", {"pair": ((1, 0, SUSPECT), (1, 1, ALIVE))}),
        ("death", {"pair": ((1, 1, SUSPECT), (1, 1, DEAD))}),
        ("refuted death", {"pair": ((1, 1, DEAD), (1, 2, ALIVE))}),
        ("late suspicion", {"pair": ((1, 0, SUSPECT), (1, 1, SUSPECT))}),
        ("leave", {"pair": ((1, 1, DEAD), (1, 1, LEFT))}),
        ("restart", {"pair": ((9, 1, DEAD), (3, 2, ALIVE))}),
        ("two at once", {"pair": ((3, 2, DEAD), (9, 2, ALIVE))}),
    ]

    def test_later_wins(self):
        before, after = (record(*values) for values in self.pair)
        self.assertTrue(supersedes(after, before))
        self.assertFalse(supersedes(before, after))
        self.assertFalse(supersedes(after, after))


class Addresses(testtools.TestCase):
    """An address belongs to the live member that has it."""

    def test_reused(self):
        records = MemberRecords()
        address = Address(host="127.0.0.1", port=1)
        old, new = record(1, 0, ALIVE), record(2, 0, ALIVE).replace(name="entry-2")
        records.put(old, now_ms=0)
        self.assertEqual("entry-1", records.name_at(address))
        records.put(new, now_ms=1)
        records.put(old.replace(state=DEAD), now_ms=2)
        self.assertEqual("entry-2", records.name_at(address))


class Strangers(testtools.TestCase):
    """Small asks can't be made to cause much."""

    def test_answers_to_a_sync_ask_are_few(self):
        net = settled(8, count=100)
        member = net.members["entry-1"]
        request = SyncRequest(name="x", bucket=0, buckets=2, digest=0)
        answers = member.receive(request, STRANGER, now_ms=net.now_ms)
        self.assertLessEqual(len(answers), 4)

    def test_ping_for_a_stranger(self):
        member = settled(8, count=4).members["entry-1"]
        request = PingRequest(name="entry-2", number=1, host="10.9.9.8", port=1)
        self.assertEqual([], member.receive(request, STRANGER, now_ms=10**6))


class Life(testscenarios.TestWithScenarios, testtools.TestCase):
    """Members join, die, leave and restart."""

    scenarios = [
        ("no loss", {"loss": 0.0, "seed": 1}),
        ("loss", {"loss": 0.1, "seed": 2}),
        ("much loss", {"loss": 0.2, "seed": 3}),
    ]

    def setUp(self):
        super().setUp()
        self.net = settled(self.seed, loss=self.loss)
        self.assertTrue(self.net.has_converged())

    def test_join(self):
        self.net.start("entry-999")
        self.net.run(SETTLE_MS, until=self.net.has_converged)
        self.assertTrue(self.net.has_converged())

    def test_deaths_at_once(self):
        for number in range(5, 15):
            self.net.kill(f"entry-{number}")
        self.net.gone.clear()
        self.net.run(SETTLE_MS, until=self.net.has_converged)
        self.assertTrue(self.net.has_converged())
        self.assertFalse(any(action.planned for _, _, action in self.net.gone))

    def test_leave_is_quick(self):
        self.net.leave("entry-7")
        self.net.run(10 * PROBE_MS, until=self.net.has_converged)
        self.assertTrue(self.net.has_converged())
        told = [action for _, _, action in self.net.gone if action.planned]
        self.assertGreaterEqual(len(told), COUNT - 1)

    def test_restart_under_its_name(self):
        self.net.kill("entry-7")
        self.net.run(500)
        self.net.start("entry-7")
        incarnation = self.net.members["entry-7"].record.incarnation

        def renewed():
            return all(
                member.records.get("entry-7").incarnation == incarnation
                for name, member in self.net.members.items()
                if name != "entry-7"
            )

        self.net.run(SETTLE_MS, until=lambda: renewed() and self.net.has_converged())
        self.assertTrue(renewed())

    def test_cut_and_heal(self):
        near = {f"entry-{n}" for n in range(0, COUNT, 4)}
        far = set(self.net.members) - near
        self.net.partition_by_name = dict.fromkeys(near, "near")
        sides = (near, far)
        self.net.run(
            120 * PROBE_MS, until=lambda: all(self.net.has_converged(s) for s in sides)
        )
        self.assertEqual([True, True], [self.net.has_converged(s) for s in sides])
        self.net.partition_by_name = {}
        self.net.run(120 * PROBE_MS, until=self.net.has_converged)
        self.assertTrue(self.net.has_converged())

    def test_note_reaches_all_once(self):
        actions = self.net.members["entry-3"].broadcast_note(
            topic="succession", body=b"x", life_ms=20_000, now_ms=self.net.now_ms
        )
        self.net.perform("entry-3", actions)
        self.net.run(15_000)
        self.assertEqual({1}, set(self.net.notes.values()))
        self.assertEqual(COUNT - 1, len(self.net.notes))

    def test_version_reaches_all(self):
        self.net.set_version("entry-3", 7)

        def everywhere():
            return set(self.net.versions.values()) == {7}

        self.net.run(10 * PROBE_MS, until=everywhere)
        self.assertTrue(everywhere())


class Steady(testtools.TestCase):
    """Nobody is declared dead who lives, and the cost doesn't grow with members."""

    def test_no_false_death(self):
        net = settled(4, loss=0.05)
        net.gone.clear()
        net.run(120 * PROBE_MS)
        self.assertEqual([], net.gone)
        self.assertTrue(net.has_converged())

    def test_pauses_are_not_held_against_others(self):
        net = settled(5)
        name, member = next(iter(net.members.items()))
        for _ in range(5):
            del net.members[name]
            net.run(PROBE_MS)
            net.members[name] = member
            net.perform(name, member.tick(now_ms=net.now_ms))
        suspects = [record.name for record in member.records.suspected_before(10**9)]
        self.assertEqual([], suspects)

    def test_new_version_spreads_at_once(self):
        net = settled(7, count=100)
        net.set_version("entry-3", 7)
        net.run(PROBE_MS // 4)
        reached = [version for version in net.versions.values() if version == 7]
        self.assertGreater(len(reached), 80)

    def test_cost_of_a_member(self):
        rates = {}
        for count in (16, 160):
            net = settled(6, count=count)
            net.run(120 * PROBE_MS, until=net.is_quiescent)
            self.assertTrue(net.is_quiescent())
            before = net.bytes.total()
            net.run(20 * PROBE_MS)
            rates[count] = (net.bytes.total() - before) / count / 20
        self.assertLess(rates[160], 1.1 * rates[16])
        self.assertLess(rates[160], 150)
