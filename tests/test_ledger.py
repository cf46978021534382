"""tests.test_ledger: Tests of ledgers and of the limits over all of them."""

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
    """Return a ledger and its answer cache."""
    cache = AnswerCache(max_answers=max_answers, max_bytes=max_bytes)
    return Ledger(answer_cache=cache), cache


class Floor(testtools.TestCase):
    """Requests that the caller has settled are removed; the floor never drops."""

    def test_floor(self):
        flow_ledger, cache = ledger()
        for number in (1, 2, 3):
            flow_ledger.answer(number, b"body")
        flow_ledger.raise_floor(3)
        flow_ledger.raise_floor(2)
        self.assertEqual([3], [number for number, _ in flow_ledger.items()])
        self.assertTrue(flow_ledger.is_settled(2))
        self.assertFalse(flow_ledger.is_settled(3))
        self.assertEqual(4, cache.bytes)


class AnswerLimits(testscenarios.TestWithScenarios, testtools.TestCase):
    """The oldest answers over a limit are evicted; their entries stay as `unknown`."""

    scenarios = [
        ("count", {"limits": {"max_answers": 2}}),
        ("bytes", {"limits": {"max_bytes": 20}}),
    ]

    def test_oldest_becomes_unknown(self):
        flow_ledger, cache = ledger(**self.limits)
        for number in (1, 2, 3):
            flow_ledger.answer(number, b"x" * 10)
        states = [flow_ledger.get(number).state for number in (1, 2, 3)]
        self.assertEqual([LEDGER_UNKNOWN, ANSWERED, ANSWERED], states)
        self.assertEqual(20, cache.bytes)
        self.assertEqual(1, cache.dropped)
        self.assertEqual(2, len(cache))


class FullLedger(testtools.TestCase):
    """A full ledger evicts its lowest non-pending number and marks it as evicted."""

    def test_oldest_answered_is_evicted(self):
        flow_ledger, _ = ledger()
        flow_ledger.forward(1, idempotent=False, upstream="u")
        for number in range(2, MAX_ENTRIES + 1):
            flow_ledger.answer(number, b"")
        self.assertTrue(flow_ledger.ensure_capacity())
        self.assertIsNone(flow_ledger.get(2))
        self.assertTrue(flow_ledger.may_have_been_evicted(2))
        self.assertFalse(flow_ledger.may_have_been_evicted(1))
        self.assertFalse(flow_ledger.may_have_been_evicted(MAX_ENTRIES + 1))

    def test_pending_requests_stay(self):
        flow_ledger, _ = ledger()
        for number in range(1, MAX_ENTRIES):
            flow_ledger.forward(number, idempotent=False, upstream="u")
        flow_ledger.refuse(MAX_ENTRIES, "cancelled")
        flow_ledger.set_record_state(MAX_ENTRIES, RECORD_PENDING)
        self.assertFalse(flow_ledger.ensure_capacity())
