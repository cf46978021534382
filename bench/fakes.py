"""bench.fakes: A simulated clock with events, and a fake upstream."""

import heapq
from collections import deque
from itertools import count

from knapweeddeal.messages.upstream import READY, Announce

__all__ = ["EventQueue", "FakeUpstream", "Job"]


class EventQueue:
    """Run calls at their simulated times; the clock of a trial."""

    __slots__ = ("_heap", "_order", "now_ms")

    def __init__(self):
        self._heap = []
        self._order = count()
        self.now_ms = 0.0

    def after(self, delay_ms, call, *args):
        """Run a call after a delay."""
        item = (self.now_ms + delay_ms, next(self._order), call, args)
        heapq.heappush(self._heap, item)

    def run_until(self, end_ms):
        """Run all calls that are due up to a time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now_ms = end_ms


class Job:
    """Hold a request that is queued or running at an upstream."""

    __slots__ = (
        "attempt",
        "deadline_at_ms",
        "flow",
        "owner",
        "requested_ms",
        "sent",
        "service_ms",
    )

    def __init__(self, *, flow, requested_ms, deadline_at_ms, service_ms, attempt):
        self.flow = flow
        self.requested_ms = requested_ms
        self.deadline_at_ms = deadline_at_ms
        self.service_ms = service_ms
        self.attempt = attempt
        self.owner = None
        self.sent = None


class FakeUpstream:
    """Queue and run requests in slots; can shed, start cold and misreport load."""

    def __init__(self, *, number, zone, slots, max_connections, event_queue):
        self.announce = Announce(
            upstream_id=f"upstream-{number}",
            incarnation=number + 1,
            sequence=1,
            zone=zone,
            service="service",
            host="10.0.0.1",
            port=1000 + number,
            health_port=0,
            slots=slots,
            max_connections=max_connections,
            state=READY,
            drain_ms=0,
        )
        self.number = number
        self.zone = zone
        self.slots = slots
        self.max_connections = max_connections
        self.alive = True
        self.connections = 0
        #: Opens in flight, which only choosers with perfect knowledge read.
        self.pending_opens = 0
        self.running = 0
        self.queue = deque()
        #: Requests that may be queued, in proportion to the slots.
        self.max_queued = 64 * slots
        #: Probability, from 0 to 1, that an open or a request is shed.
        self.shed_opens = 0.0
        self.shed_requests = 0.0
        #: Factor on the time of a request, falling linearly to 1 until cold_until_ms.
        self.cold_until_ms = 0.0
        self.cold_ms = 1.0
        self.cold_factor = 1.0
        self.report_lag_ms = 0.0
        #: Share of the true load that is reported.
        self.reported_share = 1.0
        self._event_queue = event_queue
        self._history = deque()

    @property
    def outstanding(self):
        """Return how many requests are queued or running."""
        return self.running + len(self.queue)

    def slowdown(self):
        """Return the current factor on a request's time."""
        remaining_ms = self.cold_until_ms - self._event_queue.now_ms
        if remaining_ms <= 0:
            return 1.0
        return 1.0 + (self.cold_factor - 1.0) * remaining_ms / self.cold_ms

    def report(self):
        """Return outstanding requests and connections as the upstream reports them."""
        if self.reported_share < 1.0:
            outstanding = int(self.outstanding * self.reported_share)
            return outstanding, int(self.connections * self.reported_share)
        if not self.report_lag_ms:
            return self.outstanding, self.connections
        now_ms = self._event_queue.now_ms
        self._history.append((now_ms, self.outstanding, self.connections))
        while (
            len(self._history) > 1
            and self._history[1][0] <= now_ms - self.report_lag_ms
        ):
            self._history.popleft()
        return self._history[0][1:]

    def enqueue(self, job):
        """Queue a job; return False if it is shed."""
        if len(self.queue) >= self.max_queued:
            return False
        self.queue.append(job)
        return True
