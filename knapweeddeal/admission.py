"""knapweeddeal.admission: Whether a request can still be answered in time."""

from knapweeddeal.record import Record

__all__ = ["Admission"]

#: Share of a deadline that the expected time to an answer may take.
DEADLINE_SHARE = 0.5
#: Answers over which times are averaged.
ANSWERS = 32


class Sent(Record):
    """Hold when a request went out, and the queue that it was expected to meet."""

    __slots__ = ("sent_ms", "queue")


class Pace:
    """Hold what an entry knows of one upstream's pace and queue."""

    __slots__ = (
        "answers",
        "outstanding",
        "reported_ms",
        "sent_since",
        "slots",
        "spent_ms",
        "turns",
    )

    def __init__(self, *, slots):
        self.slots = slots
        self.answers = 0
        #: Mean time from a request to its answer.
        self.spent_ms = 0.0
        #: Mean of how often a slot turned over in that time.
        self.turns = 1.0
        #: Requests at the upstream, as it last reported, and sent there since.
        self.outstanding = 0
        self.reported_ms = 0
        self.sent_since = 0

    def queue(self, now_ms):
        """Return how many requests the upstream probably holds now."""
        held = self.outstanding + self.sent_since
        if not self.answers:
            return held
        slot_ms = max(1.0, self.spent_ms / self.turns)
        drained = (now_ms - self.reported_ms) * self.slots / slot_ms
        return max(0.0, held - drained)

    def expected_ms(self, now_ms):
        """Return the expected time to the answer to one request more."""
        return self.spent_ms / self.turns * self.turns_behind(self.queue(now_ms))

    def turns_behind(self, queue):
        """Return how often a slot turns over for a request behind a queue."""
        return max(1.0, (queue + 1) / self.slots)


class Admission:
    """Estimate the time to an answer from earlier answers and reported queues."""

    __slots__ = ("_deadline_share", "_paces")

    def __init__(self, *, deadline_share=DEADLINE_SHARE):
        self._deadline_share = deadline_share
        self._paces = {}

    # Commands

    def record_sent(self, upstream, *, now_ms):
        """Note that a request goes out; return what its answer is measured by."""
        pace = self._pace(upstream)
        sent = Sent(sent_ms=now_ms, queue=pace.queue(now_ms))
        pace.sent_since += 1
        return sent

    def record_answer(self, upstream, sent, *, now_ms):
        """Note the answer to a request."""
        pace = self._pace(upstream)
        pace.answers += 1
        weight = 1.0 / min(pace.answers, ANSWERS)
        pace.spent_ms += weight * (now_ms - sent.sent_ms - pace.spent_ms)
        pace.turns += weight * (pace.turns_behind(sent.queue) - pace.turns)

    def record_report(self, upstream, outstanding, *, now_ms):
        """Note how many requests an upstream says that it holds."""
        pace = self._pace(upstream)
        pace.outstanding = outstanding
        pace.reported_ms = now_ms
        pace.sent_since = 0

    def remove_upstream(self, key):
        """Drop what is known of an upstream, as when its stream broke."""
        self._paces.pop(key, None)

    # Queries

    def admits(self, upstream, *, deadline_ms, now_ms):
        """Tell whether a slot is free or an answer can be expected well in time."""
        pace = self._paces.get(upstream.key)
        if pace is None or pace.queue(now_ms) < pace.slots:
            # A free slot is always used: without answers no estimate improves.
            return True
        return pace.expected_ms(now_ms) <= deadline_ms * self._deadline_share

    def _pace(self, upstream):
        pace = self._paces.get(upstream.key)
        if pace is None:
            pace = Pace(slots=upstream.announce.slots)
            self._paces[upstream.key] = pace
        return pace
