"""tests.test_answertracker: Tests of the detection of unanswered requests."""

import testscenarios
import testtools

from knapweeddeal.answertracker import AnswerTracker

ROUTE = b"route"
UPSTREAM = "i-1"
#: Times of a request and of its retransmissions.
RETRANSMIT_TIMES_MS = (0, 200, 600, 1_400)


class FlowPlayer:
    """Feed the packets of one flow to a tracker, as `(time, event, sequence)`."""

    def __init__(self, *, tracker, route=ROUTE):
        self.tracker = tracker
        self.route = route
        self.request = None

    def play(self, *events):
        """Feed packets."""
        for now_ms, event, *sequence in events:
            getattr(self, event)(now_ms, *sequence)

    def open(self, _now_ms):
        """Open the flow."""
        self.tracker.record_opened(self.route)

    def data(self, now_ms, sequence=1_000):
        """Send data."""
        self.request = self.tracker.record_data(
            self.request,
            route_key=self.route,
            upstream_id=UPSTREAM,
            sequence=sequence,
            now_ms=now_ms,
        )

    def ack(self, now_ms):
        """Send a packet without data."""
        self.tracker.record_empty(self.request, now_ms)

    def fin(self, now_ms):
        """End the flow."""
        self.tracker.record_fin(
            self.request, route_key=self.route, age_ms=now_ms, now_ms=now_ms
        )

    def expire(self, now_ms):
        """Advance the time."""
        self.tracker.expire(now_ms)


def make_tracker(*, has_short_flows):
    """Return a tracker that has recorded flows of a route."""
    tracker = AnswerTracker()
    for _ in range(10):
        player = FlowPlayer(tracker=tracker)
        player.play((0, "open"), (0, "data"))
        if has_short_flows:
            player.play((40, "fin"))
    tracker.pop_counts()
    return tracker


class RequestOutcomes(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request counts as answered, as unanswered, or not at all if unknown."""

    UNANSWERED = [(0, "data"), (400, "expire")]
    scenarios = [
        (
            "flow ended by the caller",
            {"events": [(0, "data"), (30, "fin")], "counts": (1, 0)},
        ),
        (
            "next request",
            {"events": [(0, "data"), (500, "data", 1_100)], "counts": (1, 0)},
        ),
        (
            "rest of the request",
            {"events": [(0, "data"), (1, "data", 1_900)], "counts": None},
        ),
        ("no packet yet", {"events": [(0, "data"), (300, "expire")], "counts": None}),
        ("no packet after the request", {"events": UNANSWERED, "counts": (0, 1)}),
        (
            "no packet after the request, long flows",
            {"events": UNANSWERED, "has_short_flows": False, "counts": None},
        ),
        (
            "answer still being received",
            {
                "events": [(0, "data"), (20, "ack"), (400, "expire")],
                "counts": None,
            },
        ),
        (
            "answered after one retransmission",
            {
                "events": [(0, "data"), (200, "data"), (230, "fin")],
                "counts": (1, 0),
            },
        ),
        (
            "retransmitted, no answer",
            {
                "events": [(at_ms, "data") for at_ms in RETRANSMIT_TIMES_MS],
                "counts": (0, 1),
            },
        ),
        (
            "retransmitted, no answer, long flows",
            {
                "events": [(at_ms, "data") for at_ms in RETRANSMIT_TIMES_MS],
                "has_short_flows": False,
                "counts": (0, 1),
            },
        ),
        (
            "request of two packets, both retransmitted",
            {
                "events": [
                    *((0, "data", 1_000), (0, "data", 2_200)),
                    *((200, "data", 1_000), (200, "data", 2_200), (240, "fin")),
                ],
                "counts": (1, 0),
            },
        ),
        (
            "sequence number wraps around",
            {
                "events": [(0, "data", 2**32 - 5), (500, "data", 40)],
                "counts": (1, 0),
            },
        ),
        (
            "retransmitted, then ended by the caller",
            {
                "events": [
                    *[(at_ms, "data") for at_ms in RETRANSMIT_TIMES_MS],
                    (2_500, "fin"),
                ],
                "counts": (0, 1),
            },
        ),
    ]
    has_short_flows = True

    def test_counts(self):
        tracker = make_tracker(has_short_flows=self.has_short_flows)
        FlowPlayer(tracker=tracker).play(*self.events)
        expected = {} if self.counts is None else {UPSTREAM: self.counts}
        self.assertEqual(expected, tracker.pop_counts())
        self.assertEqual({}, tracker.pop_counts())
