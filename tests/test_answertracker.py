"""tests.test_answertracker: Tests of what callers' packets show of answers."""

import testscenarios
import testtools

from knapweeddeal.answertracker import AnswerTracker

ROUTE = b"route"
UPSTREAM = "i-1"
#: Times of a request and of the caller's copies of it.
COPIES = (0, 200, 600, 1_400)


class Player:
    """Play the packets of one flow to a watch, `(time, what, sequence)` each."""

    def __init__(self, *, watch, route=ROUTE):
        self.watch = watch
        self.route = route
        self.request = None

    def play(self, *events):
        """Play packets."""
        for now_ms, what, *sequence in events:
            getattr(self, what)(now_ms, *sequence)

    def open(self, _now_ms):
        """Open the flow."""
        self.watch.record_opened(self.route)

    def data(self, now_ms, sequence=1_000):
        """Send data."""
        self.request = self.watch.record_data(
            self.request,
            route_key=self.route,
            upstream_id=UPSTREAM,
            sequence=sequence,
            now_ms=now_ms,
        )

    def ack(self, now_ms):
        """Acknowledge something."""
        self.watch.record_empty(self.request, now_ms)

    def fin(self, now_ms):
        """End the flow."""
        self.watch.record_fin(
            self.request, route_key=self.route, age_ms=now_ms, now_ms=now_ms
        )

    def expire(self, now_ms):
        """Let time pass."""
        self.watch.expire(now_ms)


def trained(*, ends_soon):
    """Return a watch that saw some flows of a route."""
    watch = AnswerTracker()
    for _ in range(10):
        player = Player(watch=watch)
        player.play((0, "open"), (0, "data"))
        if ends_soon:
            player.play((40, "fin"))
    watch.pop_counts()
    return watch


class Outcomes(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request is answered, unanswered, or not known to be either."""

    RESET = [(0, "data"), (400, "expire")]
    scenarios = [
        ("ended", {"events": [(0, "data"), (30, "fin")], "counts": (1, 0)}),
        (
            "next request",
            {"events": [(0, "data"), (500, "data", 1_100)], "counts": (1, 0)},
        ),
        (
            "rest of the request",
            {"events": [(0, "data"), (1, "data", 1_900)], "counts": None},
        ),
        ("waits", {"events": [(0, "data"), (300, "expire")], "counts": None}),
        ("vanished", {"events": RESET, "counts": (0, 1)}),
        ("vanished on a long flow", {"events": RESET, "soon": False, "counts": None}),
        (
            "got a long answer",
            {
                "events": [(0, "data"), (20, "ack"), (400, "expire")],
                "counts": None,
            },
        ),
        (
            "one copy lost",
            {
                "events": [(0, "data"), (200, "data"), (230, "fin")],
                "counts": (1, 0),
            },
        ),
        (
            "hangs",
            {"events": [(at_ms, "data") for at_ms in COPIES], "counts": (0, 1)},
        ),
        (
            "hangs on a long flow",
            {
                "events": [(at_ms, "data") for at_ms in COPIES],
                "soon": False,
                "counts": (0, 1),
            },
        ),
        (
            "two packets, both again",
            {
                "events": [
                    *((0, "data", 1_000), (0, "data", 2_200)),
                    *((200, "data", 1_000), (200, "data", 2_200), (240, "fin")),
                ],
                "counts": (1, 0),
            },
        ),
        (
            "sequence wraps",
            {
                "events": [(0, "data", 2**32 - 5), (500, "data", 40)],
                "counts": (1, 0),
            },
        ),
        (
            "given up by the caller after it hung",
            {
                "events": [*[(at_ms, "data") for at_ms in COPIES], (2_500, "fin")],
                "counts": (0, 1),
            },
        ),
    ]
    soon = True

    def test_counts(self):
        watch = trained(ends_soon=self.soon)
        Player(watch=watch).play(*self.events)
        expected = {} if self.counts is None else {UPSTREAM: self.counts}
        self.assertEqual(expected, watch.pop_counts())
        self.assertEqual({}, watch.pop_counts())
