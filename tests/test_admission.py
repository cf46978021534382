"""tests.test_admission: Tests of admission by expected latency."""

import testscenarios
import testtools

from knapweeddeal.admission import AVERAGED_ANSWERS, Admission
from tests.test_balance import upstreams

SLOT_MS = 100
DEADLINE_MS = 2_000


def trained_admission():
    """Return an admission with latency samples of an upstream, and the upstream."""
    admission = Admission()
    upstream = upstreams("n")[0]
    for number in range(2 * AVERAGED_ANSWERS):
        now_ms = number * 1_000
        sent = admission.record_sent(upstream, now_ms=now_ms)
        admission.record_answer(upstream, sent, now_ms=now_ms + SLOT_MS)
        admission.record_report(upstream, 0, now_ms=now_ms + SLOT_MS)
    return admission, upstream


class Admitted(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request is admitted if its expected latency is within half of its deadline."""

    scenarios = [
        ("idle", {"queue": 0, "admitted": True}),
        ("short queue", {"queue": 19, "admitted": True}),
        ("long queue", {"queue": 21, "admitted": False}),
        ("queue drains in time", {"queue": 21, "after_ms": 200, "admitted": True}),
        ("queue drains too slowly", {"queue": 41, "after_ms": 200, "admitted": False}),
        ("short deadline", {"queue": 2, "deadline_ms": 250, "admitted": False}),
        ("slot is free", {"queue": 1, "deadline_ms": 1, "admitted": True}),
        (
            "slot is free again",
            {"queue": 9, "deadline_ms": 1, "after_ms": 500, "admitted": True},
        ),
        ("sent since the report", {"queue": 10, "sent": 11, "admitted": False}),
    ]
    after_ms = 0
    deadline_ms = DEADLINE_MS
    sent = 0

    def test_admits(self):
        admission, upstream = trained_admission()
        now_ms = 10**6
        admission.record_report(upstream, self.queue, now_ms=now_ms)
        for _ in range(self.sent):
            admission.record_sent(upstream, now_ms=now_ms)
        admitted = admission.admits(
            upstream, deadline_ms=self.deadline_ms, now_ms=now_ms + self.after_ms
        )
        self.assertEqual(self.admitted, admitted)


class Estimates(testtools.TestCase):
    """The time per request is estimated independently of the queue length.

    Otherwise time spent in a long queue would count as slow work, and requests would
    be rejected after the queue is gone.
    """

    def test_admitted_without_samples(self):
        upstream = upstreams("n")[0]
        admission = Admission()
        self.assertTrue(admission.admits(upstream, deadline_ms=1, now_ms=0))

    def test_queueing_time_is_not_work_time(self):
        admission, upstream = trained_admission()
        for number in range(4 * AVERAGED_ANSWERS):
            now_ms = 10**6 + number * 10_000
            admission.record_report(upstream, 9, now_ms=now_ms)
            sent = admission.record_sent(upstream, now_ms=now_ms)
            admission.record_answer(upstream, sent, now_ms=now_ms + 5 * SLOT_MS)
        admission.record_report(upstream, 17, now_ms=now_ms)
        self.assertTrue(
            admission.admits(upstream, deadline_ms=DEADLINE_MS, now_ms=now_ms)
        )

    def test_removed_upstream(self):
        admission, upstream = trained_admission()
        admission.record_report(upstream, 1_000, now_ms=10**6)
        admission.remove_upstream(upstream.key)
        self.assertTrue(admission.admits(upstream, deadline_ms=1, now_ms=10**6))
