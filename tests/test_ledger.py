"""tests.test_ledger: Tests of ledgers and of the bound over all of them."""

import testscenarios
import testtools

from knapweeddeal.ledger import (
    ANSWERED,
    LEDGER_UNKNOWN,
    MAX_ENTRIES,
    RECORD_PENDING,
    AnswerCache,
    Ledger,
)


def ledger(*, max_answers=1_000, max_bytes=10_000):
    """Return a ledger and the bound on its answers."""
    kept = AnswerCache(max_answers=max_answers, max_bytes=max_bytes)
    return Ledger(answer_cache=kept), kept


class Floor(testtools.TestCase):
    """What the caller settled is forgotten and isn't held again."""

    def test_floor(self):
        held, kept = ledger()
        for number in (1, 2, 3):
            held.answer(number, b"body")
        held.raise_floor(3)
        held.raise_floor(2)
        self.assertEqual([3], [number for number, _ in held.items()])
        self.assertTrue(held.is_settled(2))
        self.assertFalse(held.is_settled(3))
        self.assertEqual(4, kept.bytes)


class Bounds(testscenarios.TestWithScenarios, testtools.TestCase):
    """Answers over a bound are given up, the oldest first; numbers stay."""

    scenarios = [
        ("count", {"bounds": {"max_answers": 2}}),
        ("bytes", {"bounds": {"max_bytes": 20}}),
    ]

    def test_oldest_becomes_unknown(self):
        held, kept = ledger(**self.bounds)
        for number in (1, 2, 3):
            held.answer(number, b"x" * 10)
        states = [held.get(number).state for number in (1, 2, 3)]
        self.assertEqual([LEDGER_UNKNOWN, ANSWERED, ANSWERED], states)
        self.assertEqual(20, kept.bytes)
        self.assertEqual(1, kept.dropped)
        self.assertEqual(2, len(kept))


class Room(testtools.TestCase):
    """A full ledger forgets the oldest settled request and says so."""

    def test_oldest_settled_goes(self):
        held, _ = ledger()
        held.forward(1, idempotent=False, upstream="u")
        for number in range(2, MAX_ENTRIES + 1):
            held.answer(number, b"")
        self.assertTrue(held.ensure_capacity())
        self.assertIsNone(held.get(2))
        self.assertTrue(held.may_have_been_evicted(2))
        self.assertFalse(held.may_have_been_evicted(1))
        self.assertFalse(held.may_have_been_evicted(MAX_ENTRIES + 1))

    def test_what_is_under_way_stays(self):
        held, _ = ledger()
        for number in range(1, MAX_ENTRIES):
            held.forward(number, idempotent=False, upstream="u")
        held.refuse(MAX_ENTRIES, "cancelled")
        held.set_record_state(MAX_ENTRIES, RECORD_PENDING)
        self.assertFalse(held.ensure_capacity())
