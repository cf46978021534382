"""bench.fakes: Small stand-ins for a clock with events and for an upstream."""

import heapq
from collections import deque
from itertools import count

from knapweeddeal.messages.upstream import READY, Announce

__all__ = ["FakeUpstream", "Heap", "Job"]


class Heap:
    """Run calls at their times; the clock of a trial."""

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
        """Run all calls up to a time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now_ms = end_ms


class Job:
    """Hold a request that waits or runs at an upstream."""

    __slots__ = (
        "asked_ms",
        "flow",
        "owner",
        "sent",
        "service_ms",
        "tries",
        "until_ms",
    )

    def __init__(self, *, flow, asked_ms, until_ms, service_ms, tries):
        self.flow = flow
        self.asked_ms = asked_ms
        self.until_ms = until_ms
        self.service_ms = service_ms
        self.tries = tries
        self.owner = None
        self.sent = None


class FakeUpstream:
    """Queue and run requests in some slots; shed, start cold, lag and lie."""

    def __init__(self, *, number, zone, slots, max_connections, heap):
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
        #: Opens on their way, which only a chooser with perfect knowledge sees.
        self.coming = 0
        self.running = 0
        self.queue = deque()
        #: Requests that may wait for each slot.
        self.max_queued = 64 * slots
        #: How often opens are shed, from 0 to 1, and requests.
        self.shed_opens = 0.0
        self.shed_requests = 0.0
        #: Factor on the time of a request, by time.
        self.cold_until_ms = 0.0
        self.cold_ms = 1.0
        self.cold_factor = 1.0
        self.lag_ms = 0.0
        #: Share of its true load that it reports.
        self.honesty = 1.0
        self._heap = heap
        self._history = deque()

    @property
    def outstanding(self):
        """Return how many requests wait or run."""
        return self.running + len(self.queue)

    def slowness(self):
        """Return the factor on a request's time now."""
        remaining_ms = self.cold_until_ms - self._heap.now_ms
        if remaining_ms <= 0:
            return 1.0
        return 1.0 + (self.cold_factor - 1.0) * remaining_ms / self.cold_ms

    def report(self):
        """Return outstanding and connections as the upstream gives them."""
        if self.honesty < 1.0:
            outstanding = int(self.outstanding * self.honesty)
            return outstanding, int(self.connections * self.honesty)
        if not self.lag_ms:
            return self.outstanding, self.connections
        now_ms = self._heap.now_ms
        self._history.append((now_ms, self.outstanding, self.connections))
        while len(self._history) > 1 and self._history[1][0] <= now_ms - self.lag_ms:
            self._history.popleft()
        return self._history[0][1:]

    def take(self, job):
        """Queue a job; return False if it is shed."""
        if len(self.queue) >= self.max_queued:
            return False
        self.queue.append(job)
        return True
