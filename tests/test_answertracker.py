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

    def data(self, now_ms, sequence=1_000, acknowledged=0):
        """Send data."""
        self.request = self.tracker.record_data(
            self.request,
            route_key=self.route,
            upstream_id=UPSTREAM,
            sequence=sequence,
            acknowledged=acknowledged,
            now_ms=now_ms,
        )

    def ack(self, now_ms, acknowledged=0):
        """Send a packet without data."""
        self.tracker.record_empty(
            self.request, acknowledged=acknowledged, now_ms=now_ms
        )

    def fin(self, now_ms, acknowledged=0):
        """End the flow."""
        self.tracker.record_fin(
            self.request,
            route_key=self.route,
            acknowledged=acknowledged,
            age_ms=now_ms,
            now_ms=now_ms,
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
    tracker.pop_totals()
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
        counts = {
            name: (total.answered, total.unanswered)
            for name, total in tracker.pop_totals().items()
        }
        self.assertEqual(expected, counts)
        self.assertEqual({}, tracker.pop_totals())


class ResponseTimes(testscenarios.TestWithScenarios, testtools.TestCase):
    """The first packet whose acknowledgement moved shows when an answer began.

    Otherwise a pause of the caller, or an acknowledgement of an earlier answer, would
    make a normal upstream look slow or a slow one look normal.
    """

    scenarios = [
        (
            "answer in two packets, then a pause",
            {
                "events": [
                    *((30, "ack", 1_400), (50, "ack", 2_000)),
                    (70, "fin", 2_000),
                ],
                "times": [30],
            },
        ),
        ("ended with the answer", {"events": [(45, "fin", 2_000)], "times": [45]}),
        (
            "acknowledgement of an earlier answer",
            {"events": [(2, "ack", 0), (50, "fin", 2_000)], "times": [50]},
        ),
        (
            "older packet that was delayed",
            {
                "first": 2_000,
                "events": [(2, "ack", 1_000), (50, "fin", 4_000)],
                "times": [50],
            },
        ),
        (
            "acknowledgement number wraps around",
            {"first": 2**32 - 100, "events": [(40, "fin", 1_900)], "times": [40]},
        ),
        (
            "next request after a pause",
            {
                "events": [(30, "ack", 2_000), (900, "data", 1_100, 2_000)],
                "times": [30],
            },
        ),
        (
            "no acknowledgement before the next request",
            {"events": [(900, "data", 1_100, 2_000)], "times": []},
        ),
        ("retransmitted", {"events": [(200, "data"), (310, "fin", 9)], "times": [310]}),
    ]
    first = 0

    def test_times(self):
        tracker = make_tracker(has_short_flows=False)
        FlowPlayer(tracker=tracker).play((0, "data", 1_000, self.first), *self.events)
        total = tracker.pop_totals()[UPSTREAM]
        self.assertEqual(
            (1, len(self.times), sum(self.times)),
            (total.answered, total.timed, total.response_ms),
        )


class Rejections(testtools.TestCase):
    """Answers much shorter than a route's usual ones are rejections.

    Neither a route whose answers are all short, nor an overload that rejects most
    requests for minutes, may change that.
    """

    def rejected(self, *lengths):
        """Return how many answers of some lengths count as rejections."""
        tracker = make_tracker(has_short_flows=False)
        for length in lengths:
            player = FlowPlayer(tracker=tracker)
            player.play((0, "data"), (30, "fin", length))
        return tracker.pop_totals()[UPSTREAM].rejected

    def test_short_answers(self):
        self.assertEqual(0, self.rejected(*[120] * 40))
        self.assertEqual(3, self.rejected(*[2_000] * 20, *[120] * 3, *[900] * 5))

    def test_many_rejections(self):
        self.assertEqual(100, self.rejected(*[2_000] * 20, *[120] * 100))
