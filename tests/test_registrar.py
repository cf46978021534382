"""tests.test_registrar: Tests of a registrar's listings and answers."""

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


def make_registrar(now_ms=0):
    """Return a registrar without upstreams."""
    return Registrar(epoch=9, silence_ms=SILENCE_MS, now_ms=now_ms)


def lease_request(*, epoch=9, version=0, asked_ms=77):
    """Return a lease request."""
    return LeaseRequest(asked_ms=asked_ms, epoch=epoch, version=version)


class Answers(testtools.TestCase):
    """A requester gets the lease only once it has every change."""

    def test_renewals_are_no_changes(self):
        registrar = make_registrar()
        for number in range(100):
            registrar.record_announcement(announce(number), now_ms=1)
        for sequence in range(2, 20):
            for number in range(100):
                registrar.record_announcement(
                    announce(number, sequence=sequence), now_ms=sequence
                )
        answer = registrar.answer(lease_request(version=100), now_ms=20)
        self.assertEqual(LeaseAnswer(asked_ms=77, epoch=9, version=100), answer)

    def test_snapshot_comes_in_parts(self):
        registrar = make_registrar()
        for number in range(MAX_DELTA_CHANGES + 1):
            registrar.record_announcement(announce(number), now_ms=1)
        first = registrar.answer(lease_request(epoch=3, version=5), now_ms=2)
        self.assertEqual((True, 5, 8), (first.whole, first.since, first.version))
        second = registrar.answer(lease_request(version=first.version), now_ms=2)
        self.assertEqual((False, 8, 9), (second.whole, second.since, second.version))
        self.assertEqual(["upstream-8"], [a.upstream_id for a in second.changed])

    def test_silent_upstream_is_removed_before_the_lease(self):
        registrar = make_registrar()
        registrar.record_announcement(announce(), now_ms=0)
        delta = registrar.answer(lease_request(version=1), now_ms=SILENCE_MS + 1)
        self.assertEqual(["upstream-1"], [name.upstream_id for name in delta.gone])
        self.assertIs(
            LeaseAnswer, type(registrar.answer(lease_request(version=2), now_ms=2_002))
        )

    def test_leaving_is_a_change(self):
        registrar = make_registrar()
        registrar.record_announcement(announce(), now_ms=0)
        registrar.record_announcement(announce(sequence=2, state=LEAVING), now_ms=1)
        delta = registrar.answer(lease_request(version=1), now_ms=1)
        self.assertEqual([LEAVING], [a.state for a in delta.changed])

    def test_unknown_version_gets_delta(self):
        self.assertIs(
            DirectoryDelta,
            type(make_registrar().answer(lease_request(version=4), now_ms=0)),
        )

    def test_state_stays_bounded(self):
        registrar = make_registrar()
        now_ms = 0
        for number in range(20_000):
            now_ms += 100
            registrar.record_announcement(announce(number), now_ms=now_ms)
            registrar.sweep(now_ms=now_ms)
        kept = (TOMBSTONE_TTL_MS + 2 * SILENCE_MS) / 100
        self.assertLess(len(registrar._listings), kept + 10)
        self.assertLess(len(registrar._changes), 2 * kept + 1_100)


class Digests(testtools.TestCase):
    """A digest renews only the announcement with the latest content."""

    def test_renews_lease(self):
        registrar = make_registrar()
        registrar.record_announcement(announce(), now_ms=0)
        digest = announce_digest(announce(sequence=2))
        self.assertTrue(registrar.renew_by_digest(digest, 2, now_ms=1_500))
        registrar.sweep(now_ms=SILENCE_MS + 1_000)
        self.assertEqual([2], [message.sequence for message in registrar.listed()])

    def test_outdated_digest_is_unknown(self):
        registrar = make_registrar()
        registrar.record_announcement(announce(), now_ms=0)
        registrar.record_announcement(announce(sequence=2, state=LEAVING), now_ms=1)
        self.assertFalse(
            registrar.renew_by_digest(announce_digest(announce()), 3, now_ms=2)
        )
        self.assertEqual([LEAVING], [message.state for message in registrar.listed()])


class Incarnations(testscenarios.TestWithScenarios, testtools.TestCase):
    """Delayed announcements don't replace the newer incarnation by an older one.

    Announcements of a restarted upstream's two incarnations arrive in any order.
    Steps are (time, incarnation, sequence); `listed` is the listed incarnation.
    """

    scenarios = [
        ("restart", {"steps": [(5000, 1, 9), (6000, 2, 1), (6300, 2, 2)], "listed": 2}),
        (
            "restart announced once",
            {"steps": [(5000, 1, 9), (6000, 2, 1)], "listed": 1},
        ),
        (
            "one delayed announcement",
            {
                "steps": [(5000, 1, 7), (6000, 2, 1), (6300, 2, 2), (6400, 1, 8)],
                "listed": 2,
            },
        ),
        (
            "several delayed announcements",
            {
                "steps": [
                    *[(5000, 1, 7), (6000, 2, 1), (6300, 2, 2)],
                    *[(6400, 1, 8), (6500, 1, 9), (6600, 1, 10), (6700, 2, 3)],
                ],
                "listed": 2,
            },
        ),
        (
            "delayed announcements at a new registrar",
            {"steps": [(10, 2, 5), (20, 1, 8), (30, 1, 9), (40, 2, 6)], "listed": 2},
        ),
        (
            "older incarnation first at a new registrar",
            {
                "steps": [(10, 1, 8), *[(n * 300, 2, n) for n in range(1, 6)]],
                "listed": 2,
            },
        ),
        (
            "restart after the removal",
            {"steps": [(0, 1, 1), (9000, 2, 1), (9300, 2, 2)], "listed": 2},
        ),
        (
            "delayed after both expired",
            {
                "steps": [(5000, 1, 1), (6000, 2, 1), (6300, 2, 2), (9000, 1, 2)],
                "listed": None,
            },
        ),
    ]

    def test_listed(self):
        registrar = make_registrar()
        for now_ms, incarnation, sequence in self.steps:
            registrar.sweep(now_ms=now_ms)
            message = announce(incarnation=incarnation, sequence=sequence)
            registrar.record_announcement(message, now_ms=now_ms)
        listed = [message.incarnation for message in registrar.listed()]
        self.assertEqual([self.listed] if self.listed else [], listed)


class DatagramOrder(testscenarios.TestWithScenarios, testtools.TestCase):
    """The latest of one incarnation's datagrams is listed, in any order of arrival."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(20)]

    def test_last_state(self):
        rng = random.Random(self.seed)
        messages = [announce(sequence=n) for n in range(1, 9)]
        messages += [announce(sequence=n, state=LEAVING) for n in range(9, 12)]
        rng.shuffle(messages)
        registrar = make_registrar()
        for message in messages:
            registrar.record_announcement(message, now_ms=1)
        self.assertEqual([LEAVING], [message.state for message in registrar.listed()])
        self.assertEqual(11, registrar.listed()[0].sequence)
