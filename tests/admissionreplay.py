"""tests.admissionreplay: Callers of three classes at a service that lacks capacity."""

import heapq
import itertools
import random

from knapweeddeal.messages.packets import RouteTerms
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetadmission import PacketAdmission
from knapweeddeal.record import Record
from tests.packetfakes import QuietLog

__all__ = ["DOWNLOAD", "LONG", "UNSAFE", "AdmissionReplay", "ServiceLoad", "terms"]

SERVICE = "records"
SLOTS, QUEUE_LENGTH = 2, 8
#: Time after which an upstream's 503 arrives, as observed, and a forwarder's reset.
REJECT_MS, RESET_MS = 98, 4
#: Time from a SYN until the request arrives at the upstream.
OPEN_MS = 6
#: Time until a caller tries again, varied by half of it.
RETRY_MS = 100
MAX_TRIES = 3
#: Requests of a long flow, and the time from an answer to the next request.
LONG_FLOW_REQUESTS, THINK_MS = 4, 200
#: Time between figures, their delay, and the age from which they count as missing.
FIGURE_MS, FIGURE_DELAY_MS, MAX_AGE_MS = 500, 200, 1_500
SAMPLE_MS = 20


class ServiceLoad(Record):
    """Hold the figures of a service, as `UpstreamPool.service_load` returns them."""

    __slots__ = ("age_ms", "load_per_slot", "rejected_share", "response_ms")


class Traffic(Record):
    """Describe a class of requests: terms, service time, rate and worth to callers.

    `bursts` are (start, end, factor of the rate).
    """

    __slots__ = ("bursts", "per_s", "requests", "service_ms", "terms", "worth")

    def factor(self, now_ms):
        """Return the factor of the rate at a time."""
        factors = [f for start, end, f in self.bursts if start <= now_ms < end]
        return factors[0] if factors else 1.0


def terms(kind, priority, objective_ms, timeout_ms):
    """Return the terms of a route."""
    return RouteTerms(
        kind=kind, priority=priority, objective_ms=objective_ms, timeout_ms=timeout_ms
    )


#: The classes of crashdesk: rates are those of all routes, worth is (in time, late).
LONG = Traffic(
    terms=terms("long", 2, 519, 3_200),
    service_ms=26,
    per_s=577,
    requests=LONG_FLOW_REQUESTS,
    worth=(1.0, 0.3),
    bursts=(),
)
UNSAFE = Traffic(
    terms=terms("single", 1, 612, 3_700),
    service_ms=33,
    per_s=165,
    requests=1,
    worth=(2.0, 0.6),
    bursts=(),
)
DOWNLOAD = Traffic(
    terms=terms("download", 2, 1_524, 10_000),
    service_ms=4.2,
    per_s=49.5,
    requests=1,
    worth=(1.0, 0.3),
    bursts=(),
)


class Upstream:
    """Run requests in slots and queue some; reject what doesn't fit."""

    def __init__(self, *, factor):
        self._factor = factor
        self._free_ms = [0.0] * SLOTS
        self._ends_ms = []

    def outstanding(self, now_ms):
        """Return the number of requests that run or wait."""
        while self._ends_ms and self._ends_ms[0] <= now_ms:
            heapq.heappop(self._ends_ms)
        return len(self._ends_ms)

    def run(self, now_ms, service_ms):
        """Return when a request has its answer, or None if it is rejected."""
        if self.outstanding(now_ms) >= SLOTS + QUEUE_LENGTH:
            return None
        start_ms = max(heapq.heappop(self._free_ms), now_ms)
        end_ms = start_ms + service_ms * self._factor(now_ms)
        heapq.heappush(self._free_ms, end_ms)
        heapq.heappush(self._ends_ms, end_ms)
        return end_ms


class Outcome:
    """Count what the callers of a class got."""

    def __init__(self):
        self.requests = self.in_time = self.late = self.refused = self.failed = 0
        #: Tries that a forwarder reset and an upstream rejected, retries included.
        self.resets = self.rejections = 0
        self.worth = 0.0

    @property
    def served_share(self):
        """Return the share of requests with an answer in time."""
        return self.in_time / max(self.requests, 1)


class Request:
    """Hold a caller's request, and the requests that follow on its flow."""

    __slots__ = ("born_ms", "left", "traffic", "tries", "upstream")

    def __init__(self, *, traffic, born_ms, left, upstream=None):
        self.traffic = traffic
        self.born_ms = born_ms
        self.left = left
        self.upstream = upstream
        self.tries = 0


class AdmissionReplay:
    """Play traffic through forwarders, each with a policy, to one service's upstreams.

    `make_policy(service_load, rng)` returns an object with the methods of
    `PacketAdmission`. `slowness(number, now_ms)` returns the factor of an upstream's
    service times.
    """

    def __init__(
        self,
        *,
        traffic,
        make_policy=None,
        upstreams=60,
        forwarders=6,
        seed=1,
        slowness=lambda number, now_ms: 1.0,
        has_figures=True,
    ):
        self._rng = random.Random(seed)
        self._traffic = traffic
        self._has_figures = has_figures
        self._upstreams = [
            Upstream(factor=lambda now_ms, n=n: slowness(n, now_ms))
            for n in range(upstreams)
        ]
        self._slots = SLOTS * upstreams
        self.log, self.metrics = QuietLog(), Metrics()
        make_policy = make_policy or self._make_admission
        self.policies = [
            make_policy(self._service_load, self._rng) for _ in range(forwarders)
        ]
        self._events, self._numbers = [], itertools.count()
        self._figure = None
        self._window = [0, 0, 0.0]
        self._samples = []
        self.outcomes = {t.terms.kind: Outcome() for t in traffic}
        #: Times of resets by a forwarder.
        self.reset_ms = []

    def _make_admission(self, service_load, _rng):
        return PacketAdmission(
            service_load=service_load, metrics=self.metrics, log=self.log
        )

    @property
    def worth(self):
        """Return what all callers got, in units of their worth."""
        return sum(outcome.worth for outcome in self.outcomes.values())

    def play(self, duration_ms):
        """Play arrivals until a time, and all of their requests; return this."""
        for traffic in self._traffic:
            for now_ms in self._arrivals(traffic, duration_ms):
                request = Request(
                    traffic=traffic, born_ms=now_ms, left=traffic.requests - 1
                )
                self._at(now_ms, self._send_syn, request)
        for now_ms in range(0, duration_ms + 10_000, SAMPLE_MS):
            self._at(now_ms, self._sample, None)
        for now_ms in range(FIGURE_MS, duration_ms + 10_000, FIGURE_MS):
            self._at(now_ms, self._measure, None)
        while self._events:
            now_ms, _, handle, argument = heapq.heappop(self._events)
            handle(argument, now_ms)
        return self

    def _at(self, now_ms, handle, argument):
        entry = (now_ms, next(self._numbers), handle, argument)
        heapq.heappush(self._events, entry)

    def _arrivals(self, traffic, duration_ms):
        now_ms = 0.0
        while True:
            flows_per_s = traffic.per_s / traffic.requests * traffic.factor(now_ms)
            now_ms += self._rng.expovariate(flows_per_s / 1_000)
            if now_ms >= duration_ms:
                return
            yield int(now_ms)

    # Figures about the service.

    def _sample(self, _, now_ms):
        load = sum(upstream.outstanding(now_ms) for upstream in self._upstreams)
        self._samples.append(load / self._slots)

    def _measure(self, _, now_ms):
        served, rejected, response_ms = self._window
        load = sum(self._samples) / len(self._samples)
        self._window, self._samples = [0, 0, 0.0], []
        if load < 1.0 and not rejected:
            return
        figure = (
            now_ms,
            load,
            rejected / max(served + rejected, 1),
            response_ms / max(served, 1),
        )
        self._at(now_ms + FIGURE_DELAY_MS, self._set_figure, figure)

    def _set_figure(self, figure, now_ms):
        self._figure = figure

    def _service_load(self, _service, now_ms):
        if self._figure is None or not self._has_figures:
            return None
        measured_ms, load, rejected_share, response_ms = self._figure
        if now_ms - measured_ms > MAX_AGE_MS:
            return None
        return ServiceLoad(
            load_per_slot=load,
            rejected_share=rejected_share,
            response_ms=response_ms,
            age_ms=now_ms - measured_ms,
        )

    # Callers.

    def _send_syn(self, request, now_ms):
        policy = self._rng.choice(self.policies)
        key = self._rng.randbytes(12)
        refusal = policy.refuse(SERVICE, request.traffic.terms, key, now_ms)
        if refusal is not None:
            self.outcomes[request.traffic.terms.kind].resets += 1
            self.reset_ms.append(now_ms)
            self._retry(request, now_ms + RESET_MS)
            return
        first, second = self._rng.sample(self._upstreams, 2)
        request.upstream = min(
            first, second, key=lambda upstream: upstream.outstanding(now_ms)
        )
        self._at(now_ms + OPEN_MS, self._send_request, request)

    def _send_request(self, request, now_ms):
        traffic, outcome = request.traffic, self.outcomes[request.traffic.terms.kind]
        service_ms = traffic.service_ms * self._rng.lognormvariate(-0.125, 0.5)
        end_ms = request.upstream.run(now_ms, service_ms)
        if end_ms is None:
            outcome.rejections += 1
            self._window[1] += 1
            self._at(now_ms + REJECT_MS, lambda r, t: self._retry(r, t), request)
            return
        self._window[0] += 1
        self._window[2] += end_ms - now_ms
        end_ms = int(end_ms) + 1
        policy = self._rng.choice(self.policies)
        self._at(
            end_ms,
            lambda ms, t: policy.record_response(SERVICE, traffic.terms, ms, t),
            end_ms - now_ms,
        )
        self._finish(request, end_ms - request.born_ms)
        self._follow(request, end_ms + THINK_MS, request.upstream)

    def _finish(self, request, took_ms):
        """Count an answer, or a refusal if it took no time."""
        traffic, outcome = request.traffic, self.outcomes[request.traffic.terms.kind]
        outcome.requests += 1
        if took_ms is None:
            outcome.refused += 1
        elif took_ms > traffic.terms.timeout_ms:
            outcome.failed += 1
        elif took_ms > traffic.terms.objective_ms:
            outcome.late += 1
            outcome.worth += traffic.worth[1]
        else:
            outcome.in_time += 1
            outcome.worth += traffic.worth[0]

    def _retry(self, request, now_ms):
        request.tries += 1
        if request.tries < MAX_TRIES:
            wait_ms = int(RETRY_MS * self._rng.uniform(0.5, 1.5))
            self._at(now_ms + wait_ms, self._send_syn, request)
            return
        self._finish(request, None)
        self._follow(request, now_ms + THINK_MS, None)

    def _follow(self, request, now_ms, upstream):
        """Send the next request of a flow, on a new one if the last one failed."""
        if not request.left:
            return
        following = Request(
            traffic=request.traffic,
            born_ms=now_ms,
            left=request.left - 1,
            upstream=upstream,
        )
        handle = self._send_syn if upstream is None else self._send_request
        self._at(now_ms, handle, following)
