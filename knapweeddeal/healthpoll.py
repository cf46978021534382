"""knapweeddeal.healthpoll: Schedule and results of health polls of upstreams."""

import heapq
import operator

from knapweeddeal.announcements import announced_name
from knapweeddeal.messages.peer import LoadReport, LoadSample
from knapweeddeal.record import Record

__all__ = ["HealthPoll", "Poll"]

#: Polls that one call may start, for any number of upstreams.
MAX_POLLS_PER_CALL = 4
#: Limit of the backoff for an upstream that doesn't answer, in poll intervals.
MAX_BACKOFF = 16
#: Load samples in one report.
MAX_FIGURES = 12
#: Steps of a capacity; a figure that moves to another step is reported at once.
CAPACITY_STEPS = 8
#: Time after which figures that stayed in their step are reported again.
REPEAT_MS = 4_000

VERSION = operator.attrgetter("version")


class Poll(Record):
    """Request that the shell reads an upstream's health."""

    __slots__ = ("host", "name", "port")


class PollState(Record):
    """Hold the schedule, last result and last report of one upstream's polls."""

    __slots__ = (
        "announce",
        "due_ms",
        "failures",
        "health",
        "load_steps",
        "taken_ms",
        "reported_ms",
        "version",
    )


class HealthPoll:
    """Schedule the polls of the upstreams that a registrar lists.

    Figures are hints with an age. A report holds a few: those that moved by a step
    (an eighth of the upstream's capacity), and others every REPEAT_MS.
    """

    __slots__ = ("_poll_ms", "_poll_states", "_queue", "version")

    def __init__(self, *, poll_ms):
        self._poll_ms = poll_ms
        #: Poll states of upstreams by name.
        self._poll_states = {}
        #: Heap of the times and names of coming polls; some are outdated.
        self._queue = []
        self.version = 0

    # Commands

    def set_upstreams(self, announces, *, now_ms):
        """Set the upstreams to poll; those without a health port are not polled."""
        wanted = {announced_name(a): a for a in announces if a.health_port}
        self._poll_states = {n: p for n, p in self._poll_states.items() if n in wanted}
        for name, announce in wanted.items():
            state = self._poll_states.get(name)
            if state is not None:
                state.announce = announce
                continue
            self._poll_states[name] = PollState(
                announce=announce,
                due_ms=now_ms,
                failures=0,
                health=None,
                load_steps=None,
                taken_ms=now_ms,
                reported_ms=now_ms,
                version=0,
            )
            self._schedule(now_ms, name)

    def due_polls(self, *, now_ms):
        """Return the polls to start now."""
        polls = []
        while (
            self._queue
            and self._queue[0][0] <= now_ms
            and len(polls) < MAX_POLLS_PER_CALL
        ):
            due_ms, *_, name = heapq.heappop(self._queue)
            state = self._poll_states.get(name)
            if state is None or state.due_ms != due_ms:
                continue
            state.due_ms = now_ms + self._interval_ms(state)
            self._schedule(state.due_ms, name)
            announce = state.announce
            poll = Poll(name=name, host=announce.host, port=announce.health_port)
            polls.append(poll)
        return polls

    def record_result(self, name, health, *, now_ms):
        """Record the result of a poll: the health, or None after a failure."""
        state = self._poll_states.get(name)
        if state is None:
            return
        if health is None:
            state.failures += 1
            return
        state.failures = 0
        state.health = health
        state.taken_ms = now_ms
        load_steps = _load_steps(state.announce, health)
        if load_steps != state.load_steps or now_ms - state.reported_ms >= REPEAT_MS:
            state.load_steps = load_steps
            state.reported_ms = now_ms
            self.version += 1
            state.version = self.version

    # Queries

    def report(self, request, *, now_ms):
        """Return the next figures after the requester's version."""
        since = request.version if request.version <= self.version else 0
        updated = [p for p in self._poll_states.values() if p.version > since]
        reported = heapq.nsmallest(MAX_FIGURES, updated, key=VERSION)
        version = reported[-1].version if len(updated) > len(reported) else self.version
        figures = [_load_sample(state, now_ms) for state in reported]
        return LoadReport(asked_ms=request.asked_ms, version=version, figures=figures)

    def _schedule(self, due_ms, name):
        item = (due_ms, name.service, name.upstream_id, name)
        heapq.heappush(self._queue, item)

    def _interval_ms(self, state):
        return self._poll_ms * min(MAX_BACKOFF, 1 << state.failures)


def _load_steps(announce, health):
    return (
        health.healthy,
        CAPACITY_STEPS * health.outstanding // announce.slots,
        CAPACITY_STEPS * health.connections // announce.max_connections,
    )


def _load_sample(state, now_ms):
    return LoadSample(
        name=announced_name(state.announce),
        healthy=state.health.healthy,
        outstanding=state.health.outstanding,
        connections=state.health.connections,
        age_ms=now_ms - state.taken_ms,
    )
