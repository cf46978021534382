"""knapweeddeal.admission: Whether a request can still be answered in time."""

__all__ = ["Admission"]

#: Answers over which times are averaged.
ANSWERS = 32


class Pace:
    """Hold what an entry knows of one upstream's pace and queue."""

    __slots__ = ("answers", "outstanding", "reported_ms", "rounds", "sent", "spent_ms")

    def __init__(self):
        self.answers = 0
        #: Mean time from a request to its answer.
        self.spent_ms = 0.0
        #: Mean of how often each slot turned over in that time.
        self.rounds = 1.0
        #: Requests at the upstream, as it last reported, and sent there since.
        self.outstanding = 0
        self.reported_ms = 0
        self.sent = 0

    @property
    def slot_ms(self):
        """Return the time of one request in a slot."""
        return self.spent_ms / self.rounds

    def queue(self, slots, now_ms):
        """Return how many requests the upstream probably holds now."""
        held = self.outstanding + self.sent
        if not self.answers:
            return held
        drained = (now_ms - self.reported_ms) * slots / max(1.0, self.slot_ms)
        return max(0.0, held - drained)


class Admission:
    """Estimate the time to an answer from earlier answers and reported queues."""

    __slots__ = ("_deadline_share", "_paces")

    def __init__(self, *, deadline_share=0.5):
        #: Share of a deadline that the expected time may take.
        self._deadline_share = deadline_share
        self._paces = {}

    # Commands

    def forwarded(self, key, *, slots, now_ms):
        """Note that a request goes out; return the queue that it probably meets."""
        pace = self._paces.setdefault(key, Pace())
        queue = pace.queue(slots, now_ms)
        pace.sent += 1
        return queue

    def answered(self, key, *, spent_ms, queue, slots):
        """Note how long an answer took behind the queue that was expected."""
        pace = self._paces.setdefault(key, Pace())
        pace.answers += 1
        weight = 1.0 / min(pace.answers, ANSWERS)
        pace.spent_ms += weight * (spent_ms - pace.spent_ms)
        pace.rounds += weight * (_rounds(queue, slots) - pace.rounds)

    def reported(self, key, outstanding, *, now_ms):
        """Note how many requests an upstream says that it holds."""
        pace = self._paces.setdefault(key, Pace())
        pace.outstanding = outstanding
        pace.reported_ms = now_ms
        pace.sent = 0

    def forget(self, key):
        """Drop what is known of an upstream."""
        self._paces.pop(key, None)

    # Queries

    def expected_ms(self, key, *, slots, now_ms):
        """Return the expected time to an answer, 0 if nothing is known."""
        pace = self._paces.get(key)
        if pace is None:
            return 0.0
        return pace.slot_ms * _rounds(pace.queue(slots, now_ms), slots)

    def admits(self, key, *, slots, deadline_ms, now_ms):
        """Tell whether an answer can be expected well within a deadline."""
        limit_ms = deadline_ms * self._deadline_share
        return self.expected_ms(key, slots=slots, now_ms=now_ms) <= limit_ms


def _rounds(queue, slots):
    return max(1.0, (queue + 1) / slots)
