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
    """Return upstreams with the keys from 0 to count - 1."""
    return [types.SimpleNamespace(key=number) for number in range(count)]


def eject(keys, *, times=MAX_FAILURES, now_ms=0):
    """Return an ejection after `times` failures of each key."""
    ejection = Ejection(share=SHARE)
    for key in keys:
        for _ in range(times):
            ejection.record_failure(key, now_ms=now_ms)
    return ejection


class MaxShare(testscenarios.TestWithScenarios, testtools.TestCase):
    """No more than the share of a pool is ejected."""

    scenarios = [
        ("one of seven", {"count": 7, "bad": 1, "usable": 6}),
        ("three of seven", {"count": 7, "bad": 3, "usable": 5}),
        ("all of seven", {"count": 7, "bad": 7, "usable": 5}),
        ("one of four", {"count": 4, "bad": 1, "usable": 3}),
        ("one of two", {"count": 2, "bad": 1, "usable": 2}),
        ("the only one", {"count": 1, "bad": 1, "usable": 1}),
        ("none of seven", {"count": 7, "bad": 0, "usable": 7}),
    ]

    def test_usable_count(self):
        ejection = eject(range(self.bad))
        self.assertEqual(self.usable, len(ejection.usable(pool(self.count), now_ms=1)))

    def test_pool_shrinks_after_ejections(self):
        ejection = eject(range(self.bad))
        for count in range(self.count + 1):
            usable = len(ejection.usable(pool(count), now_ms=1))
            self.assertGreaterEqual(usable, count - int(count * SHARE))


class Suspect(testtools.TestCase):
    """Upstreams failing only health polls are excluded last, within the same share."""

    def usable_keys(self, ejected, suspect):
        usable = eject(ejected).usable(pool(7), suspect, now_ms=1)
        return {upstream.key for upstream in usable}

    def test_excluded(self):
        self.assertEqual({0, 1, 2, 3, 4, 6}, self.usable_keys([], [5]))

    def test_ejected_are_excluded_first(self):
        self.assertEqual({2, 3, 4, 5, 6}, self.usable_keys([0, 1], [5, 6]))

    def test_all_suspect(self):
        self.assertEqual(5, len(self.usable_keys([], list(range(7)))))

    def test_ejected_and_suspect(self):
        self.assertEqual({1, 2, 3, 4, 5}, self.usable_keys([0], [0, 6]))


class Duration(testtools.TestCase):
    """An ejection ends by itself, and lasts longer if it soon follows another."""

    def test_too_few_failures(self):
        ejection = eject([0], times=MAX_FAILURES - 1)
        self.assertEqual([], ejection.ejected(now_ms=1))

    def test_success_resets_failures(self):
        ejection = eject([0], times=MAX_FAILURES - 1)
        ejection.record_success(0)
        ejection.record_failure(0, now_ms=1)
        self.assertEqual([], ejection.ejected(now_ms=2))

    def test_duration_doubles(self):
        ejection = Ejection(share=SHARE)
        now_ms, durations = 0, []
        for _ in range(6):
            for _ in range(MAX_FAILURES):
                ejection.record_failure(0, now_ms=now_ms)
            start_ms = now_ms
            while ejection.ejected(now_ms=now_ms):
                now_ms += 100
            durations.append(now_ms - start_ms)
        expected = [min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**n) for n in range(6)]
        self.assertEqual(expected, durations)

    def test_history_expires(self):
        ejection = eject([0])
        ejection.sweep(now_ms=BASE_EJECTION_MS + EJECTION_RESET_MS - 1)
        self.assertEqual(1, len(ejection._histories))
        ejection.sweep(now_ms=BASE_EJECTION_MS + EJECTION_RESET_MS)
        self.assertEqual(0, len(ejection._histories))


class RandomSchedule(testscenarios.TestWithScenarios, testtools.TestCase):
    """In any order of failures, the share holds and healthy upstreams stay usable."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(10)]

    def test_share_holds(self):
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
