"""tests.test_outlierdetector: Tests of verdicts on upstreams, replayed from load."""

import random

import testscenarios
import testtools
from testtools.matchers import LessThan

from knapweeddeal.outlierdetector import BASE_EJECTION_MS, AnswerTotal, OutlierDetector

SERVICE = "records"
UPSTREAMS = [f"i-{number}" for number in range(20)]
SERVICES = {SERVICE: UPSTREAMS}


class Verdicts(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream fails by number and share, compared with its service."""

    scenarios = [
        ("all fail there", {"bad": (0, 3), "failing": True}),
        ("too few", {"bad": (0, 2), "failing": False}),
        ("half fail there", {"bad": (5, 5), "failing": True}),
        ("few fail there", {"bad": (20, 4), "failing": False}),
        ("as many as everywhere", {"bad": (5, 5), "rest": (5, 4), "failing": False}),
        ("more than everywhere", {"bad": (1, 9), "rest": (9, 2), "failing": True}),
        ("by another replica's", {"bad": (0, 1), "others": (0, 2), "failing": True}),
        (
            "by another replica's that is old",
            {"bad": (0, 1), "others": (0, 2), "others_ms": -2_000, "failing": False},
        ),
    ]
    rest = (10, 0)
    others = None
    others_ms = 0

    def test_verdict(self):
        judge = OutlierDetector()
        counts = dict.fromkeys(UPSTREAMS, self.rest)
        counts[UPSTREAMS[0]] = self.bad
        judge.add_counts(counts, 0)
        if self.others is not None:
            answered, unanswered = self.others
            told = AnswerTotal(answered=answered, unanswered=unanswered)
            judge.set_replica_totals(2, {UPSTREAMS[0]: told}, self.others_ms)
        expected = {UPSTREAMS[0]} if self.failing else set()
        self.assertEqual(expected, judge.detect_failing(SERVICES, 100))


class Bounds(testtools.TestCase):
    """Few are held back at once, and not for ever."""

    def test_share(self):
        """Of twenty, nine fail: five are held back, the worst ones."""
        judge = OutlierDetector()
        counts = dict.fromkeys(UPSTREAMS, (100, 0))
        counts.update({name: (0, 10 + n) for n, name in enumerate(UPSTREAMS[:9])})
        judge.add_counts(counts, 0)
        self.assertEqual(set(UPSTREAMS[4:9]), judge.detect_failing(SERVICES, 0))

    def test_small_service(self):
        """The only two upstreams of a service are never held back."""
        judge = OutlierDetector()
        judge.add_counts({"a": (0, 10), "b": (10, 0)}, 0)
        self.assertEqual(set(), judge.detect_failing({SERVICE: ["a", "b"]}, 0))

    def test_back(self):
        judge = OutlierDetector()
        bad = {UPSTREAMS[0]: (0, 5)}
        judge.add_counts(bad, 0)
        self.assertEqual(set(bad), judge.detect_failing(SERVICES, 0))
        self.assertEqual(set(bad), judge.detect_failing(SERVICES, BASE_EJECTION_MS - 1))
        self.assertEqual(set(), judge.detect_failing(SERVICES, BASE_EJECTION_MS))
        judge.add_counts({UPSTREAMS[0]: (0, 1)}, BASE_EJECTION_MS + 500)
        self.assertEqual(
            set(bad), judge.detect_failing(SERVICES, BASE_EJECTION_MS + 500)
        )
        until_ms = BASE_EJECTION_MS + 500 + 2 * BASE_EJECTION_MS
        self.assertEqual(set(bad), judge.detect_failing(SERVICES, until_ms - 1))
        self.assertEqual(set(), judge.detect_failing(SERVICES, until_ms))

    def test_old_counts(self):
        judge = OutlierDetector()
        judge.add_counts({UPSTREAMS[0]: (0, 2)}, 0)
        judge.add_counts({UPSTREAMS[0]: (0, 2)}, 4_000)
        self.assertEqual(set(), judge.detect_failing(SERVICES, 4_000))


class Load(testtools.TestCase):
    """Play flows of one request: 200 a second from 100 forwarders to 50 upstreams.

    Five upstreams reset all flows from 0 ms on.
    """

    PER_S = 200
    FORWARDERS = 100
    STEP_MS = 500
    #: Time until a reset shows at a forwarder, and until it reports.
    DELAY_MS = 900

    def failed(self, *, judged, seconds=6):
        """Return how many requests failed."""
        rng = random.Random(7)
        names = [f"i-{number}" for number in range(50)]
        bad = set(names[:5])
        judge, held, failed, told = OutlierDetector(), set(), 0, []
        for step in range(seconds * 1_000 // self.STEP_MS):
            now_ms = step * self.STEP_MS
            for _ in range(self.PER_S * self.STEP_MS // 1_000):
                name = rng.choice([one for one in names if one not in held])
                failed += name in bad
                told.append((now_ms + self.DELAY_MS, name))
            due = [one for at_ms, one in told if at_ms <= now_ms]
            told = [(at_ms, one) for at_ms, one in told if at_ms > now_ms]
            for name in due:
                if name not in held:
                    judge.add_counts({name: (0, 1) if name in bad else (1, 0)}, now_ms)
            if judged:
                held = judge.detect_failing({SERVICE: names}, now_ms)
                self.assertEqual(set(), held - bad)
        return failed

    def test_sums(self):
        alone = self.failed(judged=False)
        self.assertThat(self.failed(judged=True), LessThan(alone / 2))
