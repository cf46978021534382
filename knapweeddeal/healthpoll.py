"""knapweeddeal.healthpoll: Schedule and results of health polls of upstreams."""

import heapq
import operator

from knapweeddeal.announcements import announced_name
from knapweeddeal.messages.peer import LoadReport, LoadSample
from knapweeddeal.record import Record

__all__ = ["HealthPoll", "Poll"]

#: Polls that one call may start, for any number of upstreams.
MAX_STARTS = 4
#: Limit of the backoff for an upstream that doesn't answer, in poll intervals.
MAX_BACKOFF = 16
#: Load samples in one report.
MAX_FIGURES = 12
#: Steps in a capacity; a figure that moves to another step is reported at once.
STEPS = 8
#: Time after which figures that stayed in their step are reported again.
REPEAT_MS = 4_000

VERSION = operator.attrgetter("version")


class Poll(Record):
    """Request that the shell reads an upstream's health."""

    __slots__ = ("host", "name", "port")


class Polled(Record):
    """Hold the schedule, last result and last report of one upstream's polls."""

    __slots__ = (
        "announce",
        "due_ms",
        "failures",
        "health",
        "steps",
        "taken_ms",
        "told_ms",
        "version",
    )


class HealthPoll:
    """Schedule the polls of the upstreams that a registrar lists.

    Figures are hints with an age. A report holds a few: those that moved by a step
    (an eighth of the upstream's capacity), and others every REPEAT_MS.
    """

    __slots__ = ("_poll_ms", "_polled", "_queue", "version")

    def __init__(self, *, poll_ms):
        self._poll_ms = poll_ms
        #: Poll states of upstreams by name.
        self._polled = {}
        #: Heap of the times and names of coming polls; some are outdated.
        self._queue = []
        self.version = 0

    # Commands

    def set_upstreams(self, announces, *, now_ms):
        """Set the upstreams to poll; those without a health port are not polled."""
        wanted = {announced_name(a): a for a in announces if a.health_port}
        self._polled = {n: p for n, p in self._polled.items() if n in wanted}
        for name, announce in wanted.items():
            polled = self._polled.get(name)
            if polled is not None:
                polled.announce = announce
                continue
            self._polled[name] = Polled(
                announce=announce,
                due_ms=now_ms,
                failures=0,
                health=None,
                steps=None,
                taken_ms=now_ms,
                told_ms=now_ms,
                version=0,
            )
            self._push(now_ms, name)

    def due_polls(self, *, now_ms):
        """Return the polls to start now."""
        polls = []
        while self._queue and self._queue[0][0] <= now_ms and len(polls) < MAX_STARTS:
            due_ms, *_, name = heapq.heappop(self._queue)
            polled = self._polled.get(name)
            if polled is None or polled.due_ms != due_ms:
                continue
            polled.due_ms = now_ms + self._wait_ms(polled)
            self._push(polled.due_ms, name)
            announce = polled.announce
            poll = Poll(name=name, host=announce.host, port=announce.health_port)
            polls.append(poll)
        return polls

    def record_result(self, name, health, *, now_ms):
        """Record the result of a poll: the health, or None after a failure."""
        polled = self._polled.get(name)
        if polled is None:
            return
        if health is None:
            polled.failures += 1
            return
        polled.failures = 0
        polled.health = health
        polled.taken_ms = now_ms
        steps = _steps(polled.announce, health)
        if steps != polled.steps or now_ms - polled.told_ms >= REPEAT_MS:
            polled.steps = steps
            polled.told_ms = now_ms
            self.version += 1
            polled.version = self.version

    # Queries

    def report(self, request, *, now_ms):
        """Return the next figures after the requester's version."""
        since = request.version if request.version <= self.version else 0
        moved = [p for p in self._polled.values() if p.version > since]
        told = heapq.nsmallest(MAX_FIGURES, moved, key=VERSION)
        version = told[-1].version if len(moved) > len(told) else self.version
        figures = [_figure(polled, now_ms) for polled in told]
        return LoadReport(asked_ms=request.asked_ms, version=version, figures=figures)

    def _push(self, due_ms, name):
        item = (due_ms, name.service, name.upstream_id, name)
        heapq.heappush(self._queue, item)

    def _wait_ms(self, polled):
        return self._poll_ms * min(MAX_BACKOFF, 1 << polled.failures)


def _steps(announce, health):
    return (
        health.healthy,
        STEPS * health.outstanding // announce.slots,
        STEPS * health.connections // announce.max_connections,
    )


def _figure(polled, now_ms):
    return LoadSample(
        name=announced_name(polled.announce),
        healthy=polled.health.healthy,
        outstanding=polled.health.outstanding,
        connections=polled.health.connections,
        age_ms=now_ms - polled.taken_ms,
    )
