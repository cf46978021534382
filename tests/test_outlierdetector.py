"""tests.test_outlierdetector: Tests of outlier detection, also with simulated load."""

import random

import testscenarios
import testtools
from testtools.matchers import LessThan

from knapweeddeal.outlierdetector import BASE_EJECTION_MS, AnswerTotal, OutlierDetector

SERVICE = "records"
UPSTREAMS = [f"i-{number}" for number in range(20)]
SERVICES = {SERVICE: UPSTREAMS}


class Detection(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream is failing by the number and share of its unanswered requests.

    The share is compared with that of the rest of its service, as all upstreams of
    an overloaded service answer late.
    """

    scenarios = [
        ("no answers", {"bad": (0, 3), "failing": True}),
        ("below the minimum number", {"bad": (0, 2), "failing": False}),
        ("half unanswered", {"bad": (5, 5), "failing": True}),
        ("small share unanswered", {"bad": (20, 4), "failing": False}),
        (
            "near the share of its service",
            {"bad": (5, 5), "rest": (5, 4), "failing": False},
        ),
        (
            "far above the share of its service",
            {"bad": (1, 9), "rest": (9, 2), "failing": True},
        ),
        (
            "with another replica's totals",
            {"bad": (0, 1), "others": (0, 2), "failing": True},
        ),
        (
            "with another replica's expired totals",
            {"bad": (0, 1), "others": (0, 2), "others_ms": -2_000, "failing": False},
        ),
    ]
    rest = (10, 0)
    others = None
    others_ms = 0

    def test_detect_failing(self):
        detector = OutlierDetector()
        counts = dict.fromkeys(UPSTREAMS, self.rest)
        counts[UPSTREAMS[0]] = self.bad
        detector.add_counts(counts, 0)
        if self.others is not None:
            answered, unanswered = self.others
            total = AnswerTotal(answered=answered, unanswered=unanswered)
            detector.set_replica_totals(2, {UPSTREAMS[0]: total}, self.others_ms)
        expected = {UPSTREAMS[0]} if self.failing else set()
        self.assertEqual(expected, detector.detect_failing(SERVICES, 100))


class EjectionLimits(testtools.TestCase):
    """Ejections are limited in time and to a share of a service's upstreams."""

    def test_max_ejected_share(self):
        """If nine of twenty fail, the worst five are ejected."""
        detector = OutlierDetector()
        counts = dict.fromkeys(UPSTREAMS, (100, 0))
        counts.update({name: (0, 10 + n) for n, name in enumerate(UPSTREAMS[:9])})
        detector.add_counts(counts, 0)
        self.assertEqual(set(UPSTREAMS[4:9]), detector.detect_failing(SERVICES, 0))

    def test_small_service(self):
        """Neither of a service's only two upstreams is ejected."""
        detector = OutlierDetector()
        detector.add_counts({"a": (0, 10), "b": (10, 0)}, 0)
        self.assertEqual(set(), detector.detect_failing({SERVICE: ["a", "b"]}, 0))

    def test_ejection_ends(self):
        detector = OutlierDetector()
        bad = {UPSTREAMS[0]: (0, 5)}
        detector.add_counts(bad, 0)
        self.assertEqual(set(bad), detector.detect_failing(SERVICES, 0))
        self.assertEqual(
            set(bad), detector.detect_failing(SERVICES, BASE_EJECTION_MS - 1)
        )
        self.assertEqual(set(), detector.detect_failing(SERVICES, BASE_EJECTION_MS))
        detector.add_counts({UPSTREAMS[0]: (0, 1)}, BASE_EJECTION_MS + 500)
        self.assertEqual(
            set(bad), detector.detect_failing(SERVICES, BASE_EJECTION_MS + 500)
        )
        until_ms = BASE_EJECTION_MS + 500 + 2 * BASE_EJECTION_MS
        self.assertEqual(set(bad), detector.detect_failing(SERVICES, until_ms - 1))
        self.assertEqual(set(), detector.detect_failing(SERVICES, until_ms))

    def test_expired_counts(self):
        detector = OutlierDetector()
        detector.add_counts({UPSTREAMS[0]: (0, 2)}, 0)
        detector.add_counts({UPSTREAMS[0]: (0, 2)}, 4_000)
        self.assertEqual(set(), detector.detect_failing(SERVICES, 4_000))


class SimulatedLoad(testtools.TestCase):
    """Simulate 200 one-request flows a second from 100 forwarders to 50 upstreams.

    Five upstreams reset all flows from 0 ms on.
    """

    PER_S = 200
    FORWARDERS = 100
    STEP_MS = 500
    #: Time from a request until its forwarder has reported the outcome.
    DELAY_MS = 900

    def failed_requests(self, *, detecting, seconds=6):
        """Return how many requests failed."""
        rng = random.Random(7)
        names = [f"i-{number}" for number in range(50)]
        bad = set(names[:5])
        detector, ejected, failed_requests, pending = OutlierDetector(), set(), 0, []
        for step in range(seconds * 1_000 // self.STEP_MS):
            now_ms = step * self.STEP_MS
            for _ in range(self.PER_S * self.STEP_MS // 1_000):
                name = rng.choice([one for one in names if one not in ejected])
                failed_requests += name in bad
                pending.append((now_ms + self.DELAY_MS, name))
            due = [one for at_ms, one in pending if at_ms <= now_ms]
            pending = [(at_ms, one) for at_ms, one in pending if at_ms > now_ms]
            for name in due:
                if name not in ejected:
                    detector.add_counts(
                        {name: (0, 1) if name in bad else (1, 0)}, now_ms
                    )
            if detecting:
                ejected = detector.detect_failing({SERVICE: names}, now_ms)
                self.assertEqual(set(), ejected - bad)
        return failed_requests

    def test_halves_failed_requests(self):
        without_detection = self.failed_requests(detecting=False)
        self.assertThat(
            self.failed_requests(detecting=True), LessThan(without_detection / 2)
        )
