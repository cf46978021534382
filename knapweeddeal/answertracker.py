"""knapweeddeal.answertracker: What callers' packets show of upstreams' answers.

A forwarder sees one direction of a flow. A caller sends a request again after 200 ms
without a sign of its upstream, and ends a flow of one request as soon as it has the
answer. So a request that is repeated twice, or is followed by nothing on a route
whose flows end soon, had no answer.
"""

from collections import deque

__all__ = ["AnswerTracker"]

#: Copies of a request after which it counts as unanswered: 600 ms have passed.
MAX_COPIES = 2
#: Least time between copies: callers wait 200 ms, and twice as long each time.
LEAST_REPEAT_MS = 100
#: Time without a packet after which a request has failed where flows end at once:
#: a caller that still waited would have repeated it after 200 ms.
VANISHED_MS = 400
#: Least time for an answer: what follows sooner is the rest of the request.
LEAST_ANSWER_MS = 4
#: Longest life of a flow of one request, on a calm day.
SOON_MS = 2_000
#: Flows that a route is judged by, and the share of them that must end soon.
LEAST_FLOWS = 4
SOON_SHARE = 0.7
#: Flows after which older ones count half.
HALVED_FLOWS = 64
#: Sequence numbers of packets.
SEQUENCES = 2**32
#: Requests that are watched at once.
MAX_WAITING = 2_000


class RouteHabit:
    """Hold how many flows of a route were opened, and how many ended soon."""

    __slots__ = ("ended_soon", "opened")

    def __init__(self):
        self.opened = 0
        self.ended_soon = 0

    def ends_soon(self):
        """Tell whether flows of the route carry one request each."""
        if self.opened < LEAST_FLOWS:
            return False
        return self.ended_soon >= SOON_SHARE * self.opened

    def record_opened(self):
        """Count a flow; let old ones fade."""
        self.opened += 1
        if self.opened >= HALVED_FLOWS:
            self.opened /= 2
            self.ended_soon /= 2


class Request:
    """Hold the last request on a flow, until its outcome shows."""

    __slots__ = ("asked_ms", "copies", "is_open", "seen_ms", "sequence", "upstream_id")

    def __init__(self, *, upstream_id, sequence, now_ms):
        self.upstream_id = upstream_id
        self.sequence = sequence
        self.asked_ms = now_ms
        self.seen_ms = now_ms
        self.copies = 0
        self.is_open = True


class AnswerTracker:
    """Count answered and unanswered requests by upstream."""

    __slots__ = ("_counts", "_habits", "_waiting")

    def __init__(self):
        #: Answered and unanswered requests since the last `pop_counts`.
        self._counts = {}
        self._habits = {}
        #: Requests that may vanish, the oldest first.
        self._waiting = deque()

    # Commands.

    def record_opened(self, route_key):
        """Note that a flow was opened here."""
        habit = self._habits.get(route_key)
        if habit is None:
            habit = self._habits[route_key] = RouteHabit()
        habit.record_opened()

    def record_data(self, request, *, route_key, upstream_id, sequence, now_ms):
        """Note a packet with data after the last request; return the request now."""
        if request is not None and _is_repeated(request.sequence, sequence):
            self._repeat(request, now_ms)
            return request
        if request is not None:
            self._settle(request, now_ms)
        request = Request(upstream_id=upstream_id, sequence=sequence, now_ms=now_ms)
        habit = self._habits.get(route_key)
        if habit is not None and habit.ends_soon() and len(self._waiting) < MAX_WAITING:
            self._waiting.append(request)
        return request

    def record_empty(self, request, now_ms):
        """Note a packet without data: the caller is there and got something."""
        if request is not None:
            request.seen_ms = now_ms

    def record_fin(self, request, *, route_key, age_ms, now_ms):
        """Note that the caller ended the flow; an age of None isn't known."""
        habit = self._habits.get(route_key)
        if habit is not None and age_ms is not None and age_ms <= SOON_MS:
            habit.ended_soon += 1
        if request is not None:
            self._settle(request, now_ms)

    def expire(self, now_ms):
        """Count the requests after which their callers fell silent."""
        waiting = self._waiting
        while waiting and now_ms - waiting[0].asked_ms >= VANISHED_MS:
            request = waiting.popleft()
            if request.is_open and request.seen_ms == request.asked_ms:
                self._count(request, answered=0, unanswered=1)

    def pop_counts(self):
        """Return (answered, unanswered) by upstream since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    # Outcomes.

    def _repeat(self, request, now_ms):
        """Count a copy; a request of several packets is repeated as a whole."""
        if now_ms - request.seen_ms < LEAST_REPEAT_MS:
            return
        request.seen_ms = now_ms
        request.copies += 1
        if request.copies == MAX_COPIES and request.is_open:
            self._count(request, answered=0, unanswered=1)

    def _settle(self, request, now_ms):
        """Count a request as answered, unless that is known or can't be yet."""
        if request.is_open and now_ms - request.asked_ms >= LEAST_ANSWER_MS:
            self._count(request, answered=1, unanswered=0)
        request.is_open = False

    def _count(self, request, *, answered, unanswered):
        request.is_open = False
        before = self._counts.get(request.upstream_id, (0, 0))
        counts = (before[0] + answered, before[1] + unanswered)
        self._counts[request.upstream_id] = counts


def _is_repeated(last, sequence):
    """Tell whether a sequence number isn't above the last one; they wrap around."""
    return (last - sequence) % SEQUENCES < SEQUENCES // 2
