"""knapweeddeal.answertracker: Detection of unanswered requests from callers' packets.

A forwarder sees only the packets from the caller. A caller retransmits a request after
200 ms without a packet from its upstream, and ends a flow of one request as soon as it
has the answer. So a request had no answer if it is retransmitted twice, or if no packet
follows it on a route with short flows.

The acknowledgement number of the caller's packets shows how many bytes its upstream has
sent: the first packet in which it moved tells when the answer began, and its last value
tells how long the answer was. A rejection is much shorter than a route's usual answers.
"""

from collections import deque

from knapweeddeal.record import Record

__all__ = ["AnswerTracker", "RequestTotal"]

#: Retransmissions after which a request counts as unanswered: 600 ms have passed.
MAX_RETRANSMISSIONS = 2
#: Minimum time between retransmissions: callers wait 200 ms, then twice as long each
#: time.
MIN_REPEAT_MS = 100
#: Time without a packet after which a request on a route with short flows counts as
#: unanswered: a caller that still waited would have retransmitted it after 200 ms.
NO_ANSWER_MS = 400
#: Minimum time for an answer: data that follows sooner belongs to the same request.
MIN_ANSWER_MS = 4
#: Maximum duration of a short flow, i.e. of one request, without an outage.
SHORT_FLOW_MS = 2_000
#: Minimum of opened flows to classify a route, and the share that must be short.
MIN_FLOWS = 4
SHORT_FLOW_SHARE = 0.7
#: Opened flows at which both counts of a route are halved.
DECAY_FLOWS = 64
#: Number of sequence numbers; they wrap around.
SEQUENCE_COUNT = 2**32
#: Answers of a route after which its usual length is known.
MIN_SIZED_ANSWERS = 8
#: Largest length of a rejection, relative to the usual answers of its route.
REJECTION_SIZE_SHARE = 0.25
#: Weight of a longer, and of a shorter answer in the usual length: rejections of an
#: overloaded service mustn't become the usual answer.
LONGER_WEIGHT, SHORTER_WEIGHT = 1 / 8, 1 / 256
#: Requests that are tracked for `NO_ANSWER_MS` at the same time.
MAX_PENDING = 2_000


class RouteStats:
    """Count the flows of a route that were opened, and the short ones among them.

    `usual_bytes` estimates the length of the route's answers.
    """

    __slots__ = ("opened", "short_flows", "sized_answers", "usual_bytes")

    def __init__(self):
        self.opened = 0
        self.short_flows = 0
        self.sized_answers = 0
        self.usual_bytes = 0.0

    def has_short_flows(self):
        """Return whether flows of the route carry one request each."""
        if self.opened < MIN_FLOWS:
            return False
        return self.short_flows >= SHORT_FLOW_SHARE * self.opened

    def record_opened(self):
        """Count an opened flow; older flows lose weight over time."""
        self.opened += 1
        if self.opened >= DECAY_FLOWS:
            self.opened /= 2
            self.short_flows /= 2

    def record_answer(self, length):
        """Record the length of an answer; return whether it is a rejection."""
        difference = length - self.usual_bytes
        if self.sized_answers < MIN_SIZED_ANSWERS:
            self.sized_answers += 1
            self.usual_bytes += difference / self.sized_answers
            return False
        is_rejection = length <= REJECTION_SIZE_SHARE * self.usual_bytes
        self.usual_bytes += difference * (
            LONGER_WEIGHT if difference > 0 else SHORTER_WEIGHT
        )
        return is_rejection


class RequestTotal(Record):
    """Sum the requests to one upstream; `timed` of them have a response time."""

    __slots__ = ("answered", "rejected", "response_ms", "timed", "unanswered")

    @property
    def mean_response_ms(self):
        """Return the mean time until an answer began, at least 1; 0 if unknown."""
        return max(round(self.response_ms / self.timed), 1) if self.timed else 0


class Request:
    """Hold the last request of a flow, which is pending until its outcome is set."""

    __slots__ = (
        "acknowledged",
        "is_pending",
        "response_ms",
        "retransmissions",
        "seen_ms",
        "sent_ms",
        "sequence",
        "upstream_id",
    )

    def __init__(self, *, upstream_id, sequence, acknowledged, now_ms):
        self.upstream_id = upstream_id
        self.sequence = sequence
        #: The acknowledgement number of the request.
        self.acknowledged = acknowledged
        #: Time until a packet showed that the answer had begun, or None.
        self.response_ms = None
        self.sent_ms = now_ms
        self.seen_ms = now_ms
        self.retransmissions = 0
        self.is_pending = True


class AnswerTracker:
    """Count answered and unanswered requests by upstream."""

    __slots__ = ("_pending", "_route_stats", "_totals")

    def __init__(self):
        #: The `RequestTotal` by upstream since the last `pop_totals`.
        self._totals = {}
        self._route_stats = {}
        #: Requests on routes with short flows, the oldest first.
        self._pending = deque()

    # Commands.

    def record_opened(self, route_key):
        """Record that this forwarder opened a flow."""
        stats = self._route_stats.get(route_key)
        if stats is None:
            stats = self._route_stats[route_key] = RouteStats()
        stats.record_opened()

    def record_data(
        self, request, *, route_key, upstream_id, sequence, acknowledged, now_ms
    ):
        """Record a packet with data; return the flow's request to pass next time.

        `request` is the value of the last call for the flow, or None.
        """
        if request is not None and _is_retransmitted(request.sequence, sequence):
            self._count_retransmission(request, now_ms)
            return request
        stats = self._route_stats.get(route_key)
        if request is not None:
            self._resolve(request, stats, acknowledged, now_ms)
        request = Request(
            upstream_id=upstream_id,
            sequence=sequence,
            acknowledged=acknowledged,
            now_ms=now_ms,
        )
        if (
            stats is not None
            and stats.has_short_flows()
            and len(self._pending) < MAX_PENDING
        ):
            self._pending.append(request)
        return request

    def record_empty(self, request, *, acknowledged, now_ms):
        """Record a packet without data: the caller is alive and received a packet."""
        if request is not None:
            request.seen_ms = now_ms
            if request.response_ms is None:
                _time_answer(request, acknowledged, now_ms)

    def record_fin(self, request, *, route_key, acknowledged, age_ms, now_ms):
        """Record that the caller ended the flow; an age of None is unknown."""
        stats = self._route_stats.get(route_key)
        if stats is not None and age_ms is not None and age_ms <= SHORT_FLOW_MS:
            stats.short_flows += 1
        if request is not None:
            if request.response_ms is None:
                _time_answer(request, acknowledged, now_ms)
            self._resolve(request, stats, acknowledged, now_ms)

    def expire(self, now_ms):
        """Count as unanswered the requests that no packet followed in time."""
        pending = self._pending
        while pending and now_ms - pending[0].sent_ms >= NO_ANSWER_MS:
            request = pending.popleft()
            if request.is_pending and request.seen_ms == request.sent_ms:
                self._count_unanswered(request)

    def pop_totals(self):
        """Return the `RequestTotal` by upstream since the last call."""
        totals, self._totals = self._totals, {}
        return totals

    # Outcomes.

    def _count_retransmission(self, request, now_ms):
        """Count a retransmission once, even if the request has several packets."""
        if now_ms - request.seen_ms < MIN_REPEAT_MS:
            return
        request.seen_ms = now_ms
        request.retransmissions += 1
        if request.retransmissions == MAX_RETRANSMISSIONS and request.is_pending:
            self._count_unanswered(request)

    def _resolve(self, request, stats, acknowledged, now_ms):
        """End a pending request; count it as answered unless it is too recent."""
        if request.is_pending and now_ms - request.sent_ms >= MIN_ANSWER_MS:
            total = self._total(request.upstream_id)
            total.answered += 1
            if request.response_ms is not None:
                total.timed += 1
                total.response_ms += request.response_ms
            length = (acknowledged - request.acknowledged) % SEQUENCE_COUNT
            if stats is not None and 0 < length < SEQUENCE_COUNT // 2:
                total.rejected += stats.record_answer(length)
        request.is_pending = False

    def _count_unanswered(self, request):
        request.is_pending = False
        self._total(request.upstream_id).unanswered += 1

    def _total(self, upstream_id):
        total = self._totals.get(upstream_id)
        if total is None:
            total = self._totals[upstream_id] = RequestTotal(
                answered=0, rejected=0, response_ms=0, timed=0, unanswered=0
            )
        return total


def _time_answer(request, acknowledged, now_ms):
    """Set the response time if a packet is the first that acknowledges an answer.

    A retransmitted request counts from its first packet: an upstream that needs longer
    than 200 ms meets retransmissions of every request.
    """
    if _is_after(acknowledged, request.acknowledged):
        request.response_ms = now_ms - request.sent_ms


def _is_retransmitted(last, sequence):
    """Return whether a sequence number isn't after the last one, modulo wraparound."""
    return (last - sequence) % SEQUENCE_COUNT < SEQUENCE_COUNT // 2


def _is_after(number, last):
    """Return whether a sequence number is after another one, modulo wraparound."""
    return 0 < (number - last) % SEQUENCE_COUNT < SEQUENCE_COUNT // 2
