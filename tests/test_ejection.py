"""tests.test_ejection: Tests of the ejection of upstreams that fail."""

import random
import types

import testscenarios
import testtools

from knapweeddeal.ejection import (
    BASE_EJECTION_MS,
    EJECTION_RESET_MS,
    MAX_EJECTION_MS,
    MAX_FAILURES,
    Ejection,
)

SHARE = 1 / 3


def pool(count):
    """Return upstreams with keys from 0 on."""
    return [types.SimpleNamespace(key=number) for number in range(count)]


def failed(keys, *, times=MAX_FAILURES, now_ms=0):
    """Return the ejection after some failures of each key."""
    ejection = Ejection(share=SHARE)
    for key in keys:
        for _ in range(times):
            ejection.record_failure(key, now_ms=now_ms)
    return ejection


class Share(testscenarios.TestWithScenarios, testtools.TestCase):
    """Never more than the share of a pool is out."""

    scenarios = [
        ("one of seven", {"count": 7, "bad": 1, "left": 6}),
        ("three of seven", {"count": 7, "bad": 3, "left": 5}),
        ("all of seven", {"count": 7, "bad": 7, "left": 5}),
        ("one of four", {"count": 4, "bad": 1, "left": 3}),
        ("one of two", {"count": 2, "bad": 1, "left": 2}),
        ("the only one", {"count": 1, "bad": 1, "left": 1}),
        ("none", {"count": 7, "bad": 0, "left": 7}),
    ]

    def test_left(self):
        ejection = failed(range(self.bad))
        self.assertEqual(self.left, len(ejection.usable(pool(self.count), now_ms=1)))

    def test_pool_that_shrank(self):
        ejection = failed(range(self.bad))
        for count in range(self.count + 1):
            left = len(ejection.usable(pool(count), now_ms=1))
            self.assertGreaterEqual(left, count - int(count * SHARE))


class Doubtful(testtools.TestCase):
    """What only a poll speaks against goes out last, within the same share."""

    def left(self, ejected, doubtful):
        usable = failed(ejected).usable(pool(7), doubtful, now_ms=1)
        return {upstream.key for upstream in usable}

    def test_out(self):
        self.assertEqual({0, 1, 2, 3, 4, 6}, self.left([], [5]))

    def test_ejected_go_first(self):
        self.assertEqual({2, 3, 4, 5, 6}, self.left([0, 1], [5, 6]))

    def test_all_lie(self):
        self.assertEqual(5, len(self.left([], list(range(7)))))

    def test_both(self):
        self.assertEqual({1, 2, 3, 4, 5}, self.left([0], [0, 6]))


class Time(testtools.TestCase):
    """An ejection ends by itself, and takes longer if it comes again."""

    def test_few_failures(self):
        ejection = failed([0], times=MAX_FAILURES - 1)
        self.assertEqual([], ejection.ejected(now_ms=1))

    def test_success_between(self):
        ejection = failed([0], times=MAX_FAILURES - 1)
        ejection.record_success(0)
        ejection.record_failure(0, now_ms=1)
        self.assertEqual([], ejection.ejected(now_ms=2))

    def test_longer_each_time(self):
        ejection = Ejection(share=SHARE)
        now_ms, lasted = 0, []
        for _ in range(6):
            for _ in range(MAX_FAILURES):
                ejection.record_failure(0, now_ms=now_ms)
            start_ms = now_ms
            while ejection.ejected(now_ms=now_ms):
                now_ms += 100
            lasted.append(now_ms - start_ms)
        expected = [min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**n) for n in range(6)]
        self.assertEqual(expected, lasted)

    def test_forgiven(self):
        ejection = failed([0])
        ejection.sweep(now_ms=BASE_EJECTION_MS + EJECTION_RESET_MS - 1)
        self.assertEqual(1, len(ejection._histories))
        ejection.sweep(now_ms=BASE_EJECTION_MS + EJECTION_RESET_MS)
        self.assertEqual(0, len(ejection._histories))


class AnySchedule(testscenarios.TestWithScenarios, testtools.TestCase):
    """Whatever happens, the bound holds and the healthy stay in."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(10)]

    def test_bound(self):
        rng = random.Random(self.seed)
        ejection = Ejection(share=SHARE)
        count = rng.randint(1, 12)
        bad = set(rng.sample(range(count), rng.randint(0, count)))
        for now_ms in range(0, 120_000, 50):
            key = rng.randrange(count)
            if key in bad and rng.random() < 0.9:
                ejection.record_failure(key, now_ms=now_ms)
            else:
                ejection.record_success(key)
            usable = {u.key for u in ejection.usable(pool(count), now_ms=now_ms)}
            self.assertGreaterEqual(len(usable), count - int(count * SHARE))
            self.assertLessEqual(set(range(count)) - bad, usable)
