"""tests.test_registrar: Tests of what a registrar lists and answers."""

import random

import testscenarios
import testtools

from knapweeddeal.announcements import announce_digest
from knapweeddeal.messages.peer import DirectoryDelta, LeaseAnswer, LeaseRequest
from knapweeddeal.messages.upstream import LEAVING
from knapweeddeal.registrar import (
    MAX_DELTA_CHANGES,
    TOMBSTONE_TTL_MS,
    Registrar,
)
from tests.directoryfakes import SILENCE_MS, announce


def registrar(now_ms=0):
    """Return a registrar that heard nothing."""
    return Registrar(epoch=9, silence_ms=SILENCE_MS, now_ms=now_ms)


def lease_request(*, epoch=9, version=0, asked_ms=77):
    """Return a lease ask."""
    return LeaseRequest(asked_ms=asked_ms, epoch=epoch, version=version)


class Answers(testtools.TestCase):
    """An asker gets the lease once it knows every change."""

    def test_cost_grows_with_changes(self):
        held = registrar()
        for number in range(100):
            held.record_announcement(announce(number), now_ms=1)
        for sequence in range(2, 20):
            for number in range(100):
                held.record_announcement(
                    announce(number, sequence=sequence), now_ms=sequence
                )
        answer = held.answer(lease_request(version=100), now_ms=20)
        self.assertEqual(LeaseAnswer(asked_ms=77, epoch=9, version=100), answer)

    def test_snapshot_comes_in_parts(self):
        held = registrar()
        for number in range(MAX_DELTA_CHANGES + 1):
            held.record_announcement(announce(number), now_ms=1)
        first = held.answer(lease_request(epoch=3, version=5), now_ms=2)
        self.assertEqual((True, 5, 8), (first.whole, first.since, first.version))
        second = held.answer(lease_request(version=first.version), now_ms=2)
        self.assertEqual((False, 8, 9), (second.whole, second.since, second.version))
        self.assertEqual(["upstream-8"], [a.upstream_id for a in second.changed])

    def test_silent_upstream_is_gone_before_the_lease(self):
        held = registrar()
        held.record_announcement(announce(), now_ms=0)
        late = held.answer(lease_request(version=1), now_ms=SILENCE_MS + 1)
        self.assertEqual(["upstream-1"], [name.upstream_id for name in late.gone])
        self.assertIs(
            LeaseAnswer, type(held.answer(lease_request(version=2), now_ms=2_002))
        )

    def test_leaving_is_a_change(self):
        held = registrar()
        held.record_announcement(announce(), now_ms=0)
        held.record_announcement(announce(sequence=2, state=LEAVING), now_ms=1)
        delta = held.answer(lease_request(version=1), now_ms=1)
        self.assertEqual([LEAVING], [a.state for a in delta.changed])

    def test_version_that_never_was(self):
        self.assertIs(
            DirectoryDelta, type(registrar().answer(lease_request(version=4), now_ms=0))
        )

    def test_state_stays_bounded(self):
        held = registrar()
        now_ms = 0
        for number in range(20_000):
            now_ms += 100
            held.record_announcement(announce(number), now_ms=now_ms)
            held.sweep(now_ms=now_ms)
        kept = (TOMBSTONE_TTL_MS + 2 * SILENCE_MS) / 100
        self.assertLess(len(held._listings), kept + 10)
        self.assertLess(len(held._changes), 2 * kept + 1_100)


class Digests(testtools.TestCase):
    """A digest stands for what was announced last, and renews it."""

    def test_renews(self):
        held = registrar()
        held.record_announcement(announce(), now_ms=0)
        digest = announce_digest(announce(sequence=2))
        self.assertTrue(held.renew_by_digest(digest, 2, now_ms=1_500))
        held.sweep(now_ms=SILENCE_MS + 1_000)
        self.assertEqual([2], [message.sequence for message in held.listed()])

    def test_stands_for_the_latest(self):
        held = registrar()
        held.record_announcement(announce(), now_ms=0)
        held.record_announcement(announce(sequence=2, state=LEAVING), now_ms=1)
        self.assertFalse(held.renew_by_digest(announce_digest(announce()), 3, now_ms=2))
        self.assertEqual([LEAVING], [message.state for message in held.listed()])


class Incarnations(testscenarios.TestWithScenarios, testtools.TestCase):
    """A late announcement never brings an old incarnation back.

    Steps are (time, incarnation, sequence).
    """

    scenarios = [
        ("restart", {"steps": [(5000, 1, 9), (6000, 2, 1), (6300, 2, 2)], "now": 2}),
        ("one alone", {"steps": [(5000, 1, 9), (6000, 2, 1)], "now": 1}),
        (
            "late one",
            {
                "steps": [(5000, 1, 7), (6000, 2, 1), (6300, 2, 2), (6400, 1, 8)],
                "now": 2,
            },
        ),
        (
            "late ones",
            {
                "steps": [
                    *[(5000, 1, 7), (6000, 2, 1), (6300, 2, 2)],
                    *[(6400, 1, 8), (6500, 1, 9), (6600, 1, 10), (6700, 2, 3)],
                ],
                "now": 2,
            },
        ),
        (
            "late at a fresh registrar",
            {"steps": [(10, 2, 5), (20, 1, 8), (30, 1, 9), (40, 2, 6)], "now": 2},
        ),
        (
            "the older heard first by a fresh registrar",
            {"steps": [(10, 1, 8), *[(n * 300, 2, n) for n in range(1, 6)]], "now": 2},
        ),
        ("late and gone", {"steps": [(0, 1, 1), (9000, 2, 1), (9300, 2, 2)], "now": 2}),
        (
            "late after both are gone",
            {
                "steps": [(5000, 1, 1), (6000, 2, 1), (6300, 2, 2), (9000, 1, 2)],
                "now": None,
            },
        ),
    ]

    def test_listed(self):
        held = registrar()
        for now_ms, incarnation, sequence in self.steps:
            held.sweep(now_ms=now_ms)
            message = announce(incarnation=incarnation, sequence=sequence)
            held.record_announcement(message, now_ms=now_ms)
        listed = [message.incarnation for message in held.listed()]
        self.assertEqual([self.now] if self.now else [], listed)


class AnyOrder(testscenarios.TestWithScenarios, testtools.TestCase):
    """Whatever the order of one incarnation's datagrams, the latest counts."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(20)]

    def test_last_state(self):
        rng = random.Random(self.seed)
        messages = [announce(sequence=n) for n in range(1, 9)]
        messages += [announce(sequence=n, state=LEAVING) for n in range(9, 12)]
        rng.shuffle(messages)
        held = registrar()
        for message in messages:
            held.record_announcement(message, now_ms=1)
        self.assertEqual([LEAVING], [message.state for message in held.listed()])
        self.assertEqual(11, held.listed()[0].sequence)
