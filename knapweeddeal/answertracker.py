"""knapweeddeal.answertracker: Detection of unanswered requests from callers' packets.

A forwarder sees only the packets from the caller. A caller retransmits a request after
200 ms without a packet from its upstream, and ends a flow of one request as soon as it
has the answer. So a request had no answer if it is retransmitted twice, or if no packet
follows it on a route with short flows.
"""

from collections import deque

__all__ = ["AnswerTracker"]

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
#: Requests that are tracked for `NO_ANSWER_MS` at the same time.
MAX_PENDING = 2_000


class RouteStats:
    """Count the flows of a route that were opened, and the short ones among them."""

    __slots__ = ("short_flows", "opened")

    def __init__(self):
        self.opened = 0
        self.short_flows = 0

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


class Request:
    """Hold the last request of a flow, which is pending until its outcome is set."""

    __slots__ = (
        "sent_ms",
        "retransmissions",
        "is_pending",
        "seen_ms",
        "sequence",
        "upstream_id",
    )

    def __init__(self, *, upstream_id, sequence, now_ms):
        self.upstream_id = upstream_id
        self.sequence = sequence
        self.sent_ms = now_ms
        self.seen_ms = now_ms
        self.retransmissions = 0
        self.is_pending = True


class AnswerTracker:
    """Count answered and unanswered requests by upstream."""

    __slots__ = ("_counts", "_route_stats", "_pending")

    def __init__(self):
        #: Answered and unanswered requests since the last `pop_counts`.
        self._counts = {}
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

    def record_data(self, request, *, route_key, upstream_id, sequence, now_ms):
        """Record a packet with data; return the flow's request to pass next time.

        `request` is the value of the last call for the flow, or None.
        """
        if request is not None and _is_retransmitted(request.sequence, sequence):
            self._count_retransmission(request, now_ms)
            return request
        if request is not None:
            self._resolve(request, now_ms)
        request = Request(upstream_id=upstream_id, sequence=sequence, now_ms=now_ms)
        stats = self._route_stats.get(route_key)
        if (
            stats is not None
            and stats.has_short_flows()
            and len(self._pending) < MAX_PENDING
        ):
            self._pending.append(request)
        return request

    def record_empty(self, request, now_ms):
        """Record a packet without data: the caller is alive and received a packet."""
        if request is not None:
            request.seen_ms = now_ms

    def record_fin(self, request, *, route_key, age_ms, now_ms):
        """Record that the caller ended the flow; an age of None is unknown."""
        stats = self._route_stats.get(route_key)
        if stats is not None and age_ms is not None and age_ms <= SHORT_FLOW_MS:
            stats.short_flows += 1
        if request is not None:
            self._resolve(request, now_ms)

    def expire(self, now_ms):
        """Count as unanswered the requests that no packet followed in time."""
        pending = self._pending
        while pending and now_ms - pending[0].sent_ms >= NO_ANSWER_MS:
            request = pending.popleft()
            if request.is_pending and request.seen_ms == request.sent_ms:
                self._count(request, answered=0, unanswered=1)

    def pop_counts(self):
        """Return (answered, unanswered) by upstream since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    # Outcomes.

    def _count_retransmission(self, request, now_ms):
        """Count a retransmission once, even if the request has several packets."""
        if now_ms - request.seen_ms < MIN_REPEAT_MS:
            return
        request.seen_ms = now_ms
        request.retransmissions += 1
        if request.retransmissions == MAX_RETRANSMISSIONS and request.is_pending:
            self._count(request, answered=0, unanswered=1)

    def _resolve(self, request, now_ms):
        """End a pending request; count it as answered unless it is too recent."""
        if request.is_pending and now_ms - request.sent_ms >= MIN_ANSWER_MS:
            self._count(request, answered=1, unanswered=0)
        request.is_pending = False

    def _count(self, request, *, answered, unanswered):
        request.is_pending = False
        before = self._counts.get(request.upstream_id, (0, 0))
        counts = (before[0] + answered, before[1] + unanswered)
        self._counts[request.upstream_id] = counts


def _is_retransmitted(last, sequence):
    """Return whether a sequence number isn't after the last one, modulo wraparound."""
    return (last - sequence) % SEQUENCE_COUNT < SEQUENCE_COUNT // 2
