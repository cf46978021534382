"""knapweeddeal.packetadmission: Admission of new flows to services that lack capacity.

This module does no I/O: it receives the terms of new flows, response times and the
time, and decides whether a new flow is admitted.

Load patterns:

- Demand exceeds the slots of a service, whose upstreams reject requests of all classes
  alike: new flows are refused instead, those of the lowest value per work first.
- A class of low value competes with others: a minimum share of it is admitted.
- Callers retry what was refused: the retries raise the demand, but not the work that
  is admitted, which follows the capacity that was observed.
- Capacity returns, or figures about it are missing: all flows are admitted again within
  a second.
"""

import zlib

from knapweeddeal.flowvalue import flow_rank, value_per_work
from knapweeddeal.record import Record

__all__ = ["PacketAdmission", "Refusal"]

#: Share of each class's new flows that is always admitted. Callers try three times, so
#: about a quarter of a class's requests open a flow even at the minimum.
MIN_CLASS_SHARE = 0.1
#: Rejected share of a service's requests at which flows begin to be refused. Callers
#: try three times, so with fewer rejections all but 1 % of requests are served.
START_REJECTED_SHARE = 0.2
#: Rejected share that is aimed at while flows are refused: it shows that no slot is
#: unused, and costs one of 1,000 callers that try three times.
TARGET_REJECTED_SHARE = 0.1
#: Rejected share below which the service has spare capacity.
FREE_REJECTED_SHARE = 0.02
#: Load per slot below which an upstream of the service has a free slot.
FREE_LOAD_PER_SLOT = 1.0
#: Age of a figure from which admission opens, and the time that it takes: two of the
#: figures, which arrive twice a second, are then missing or delayed.
STALE_LOAD_MS = 600
OPENING_MS = 400
#: Half the time for which a figure is an average, as forwarders report every 500 ms.
HALF_WINDOW_MS = 250
#: Minimum difference between the times of measurement of two figures.
MIN_FIGURE_INTERVAL_MS = 20
#: Largest ratio of the value of a class that is refused to the mean value of the work
#: that others get done. What upstreams reject by themselves costs less if the values
#: are closer, as figures are late and a retry takes time.
MAX_VALUE_RATIO = 0.9
#: Time between divisions of the admitted work among the classes: a division costs as
#: much as several packets.
DIVISION_INTERVAL_MS = 50
#: Half-life of demand and answers: some must arrive in it at one forwarder.
COUNT_HALF_LIFE_MS = 1_000.0
#: Mean ratio of this forwarder's response times to service times below which there is
#: spare capacity. A queue of eight requests at two slots gives 5; upstreams without a
#: queue give up to 2, as service times vary.
FREE_RESPONSE_RATIO = 3.0
#: Answers over which that ratio is averaged: 40 ms at 200 requests per second.
AVERAGED_ANSWERS = 8
#: Duration of a window of response times, the fewest and the most in it, and the number
#: of windows. The lowest median of the windows is the estimated service time: all
#: requests of a burst of a few seconds wait for a slot, so that the windows outlast it.
WINDOW_MS = 2_000
MIN_WINDOW_ANSWERS = 4
MAX_WINDOW_ANSWERS = 64
MAX_WINDOWS = 8
#: Service time of a class without answers: routes of the platform take 4 to 40 ms.
DEFAULT_SERVICE_MS = 20.0
#: Demand below which a class doesn't count: its last flow arrived several seconds ago.
MIN_DEMAND = 0.05
#: Previous shares that are kept: figures are at most 1.5 s old.
MAX_HISTORY = 16
#: Time without a flow or an answer after which a class is removed.
CLASS_IDLE_MS = 600_000
#: Number of values of the hash of a flow.
HASH_COUNT = 2**32


class Refusal(Record):
    """Hold why a new flow is refused: the figures of its service and class."""

    __slots__ = (
        "age_ms",
        "class_share",
        "load_per_slot",
        "rejected_share",
        "response_ms",
        "service_ms",
    )

    def fields(self):
        """Return the fields of the log line."""
        return {name: round(getattr(self, name), 3) for name in self.__slots__}


class RecentCount:
    """Count events; earlier ones weigh less."""

    __slots__ = ("_count", "_counted_ms")

    def __init__(self):
        self._count = 0.0
        self._counted_ms = 0

    def add(self, now_ms):
        """Count an event."""
        self._count = self.value(now_ms) + 1.0
        self._counted_ms = now_ms

    def value(self, now_ms):
        """Return the weighted number of events."""
        if not self._count:
            return 0.0
        elapsed_ms = now_ms - self._counted_ms
        return self._count * 2.0 ** (-elapsed_ms / COUNT_HALF_LIFE_MS)


class FlowClass:
    """Hold the demand and the service time of the flows with the same terms."""

    __slots__ = ("_medians_ms", "_service_ms", "_window", "_window_ms")
    __slots__ += ("answers", "flows", "seen_ms", "share")

    def __init__(self, *, now_ms):
        #: New flows, refused ones too, and answers to requests.
        self.flows = RecentCount()
        self.answers = RecentCount()
        self._service_ms = None
        #: Response times of this window, its start, and the medians of earlier ones.
        self._window = []
        self._window_ms = now_ms
        self._medians_ms = []
        #: When a flow or an answer was last recorded.
        self.seen_ms = now_ms
        #: Admitted share of new flows.
        self.share = 1.0

    @property
    def service_ms(self):
        """Return the estimated service time."""
        return DEFAULT_SERVICE_MS if self._service_ms is None else self._service_ms

    @property
    def has_estimate(self):
        """Return whether the service time was estimated from answers."""
        return self._service_ms is not None

    def record_flow(self, now_ms):
        """Count a new flow."""
        self.flows.add(now_ms)
        self.seen_ms = now_ms

    def record_answer(self, now_ms):
        """Count an answer."""
        self.answers.add(now_ms)
        self.seen_ms = now_ms

    def record_response(self, response_ms, now_ms):
        """Add a response time to the estimate of the service time."""
        window = self._window
        if len(window) < MAX_WINDOW_ANSWERS:
            window.append(response_ms)
        if len(window) < MIN_WINDOW_ANSWERS:
            return
        is_complete = now_ms - self._window_ms >= WINDOW_MS
        if is_complete or not self._medians_ms:
            median_ms = float(sorted(window)[len(window) // 2])
            self._service_ms = max(min([*self._medians_ms, median_ms]), 1.0)
        if is_complete:
            self._medians_ms = [*self._medians_ms[1 - MAX_WINDOWS :], median_ms]
            self._window = []
            self._window_ms = now_ms

    def admits(self, flow_key):
        """Return whether a flow is among the admitted share.

        The decision depends on the flow's hash, so that a duplicate of its SYN gets the
        same answer, here and at forwarders with similar figures.
        """
        return zlib.crc32(flow_key) < self.share * HASH_COUNT


class ServiceAdmission:
    """Hold which share of the work for one service is admitted, and of which class."""

    __slots__ = ("_divided_ms", "_history", "_measured_ms")
    __slots__ += ("classes", "response_ratio", "share")

    def __init__(self):
        #: Classes by their terms.
        self.classes = {}
        #: Admitted share of the work of all classes.
        self.share = 1.0
        #: Times and values of the share, the newest last.
        self._history = []
        self._measured_ms = None
        self._divided_ms = 0
        #: Mean ratio of response times to service times; None without an answer.
        self.response_ratio = None

    def flow_class(self, terms, now_ms):
        """Return the class of some terms."""
        flow_class = self.classes.get(terms)
        if flow_class is None:
            flow_class = self.classes[terms] = FlowClass(now_ms=now_ms)
        return flow_class

    @property
    def is_refusing(self):
        """Return whether a part of the work is refused."""
        return self.share < 1.0

    def record_ratio(self, ratio):
        """Record the ratio of a response time to the service time of its class."""
        mean = self.response_ratio
        if mean is None:
            self.response_ratio = ratio
        else:
            self.response_ratio = mean + (ratio - mean) / AVERAGED_ANSWERS

    def update(self, load, now_ms):
        """Set the admitted shares from a `ServiceLoad`, or None if it is missing."""
        if load is None or self._has_capacity(load):
            self._open()
            return
        measured_ms = now_ms - load.age_ms
        if (
            self._measured_ms is None
            or measured_ms - self._measured_ms >= MIN_FIGURE_INTERVAL_MS
        ):
            self._measured_ms = measured_ms
            self._set_share(self._target_share(load, now_ms), now_ms)
        if self.is_refusing and now_ms - self._divided_ms >= DIVISION_INTERVAL_MS:
            self._divided_ms = now_ms
            share = _opened_share(self.share, load.age_ms)
            self._divide(share, load.response_ms, now_ms)

    def _has_capacity(self, load):
        """Return whether an upstream has a free slot, by the figures or by answers."""
        if load.load_per_slot < FREE_LOAD_PER_SLOT:
            return True
        ratio = self.response_ratio
        return ratio is not None and ratio < FREE_RESPONSE_RATIO

    def _open(self):
        if not self.is_refusing and not self._history:
            return
        self.share = 1.0
        self._divided_ms = 0
        self._history.clear()
        for flow_class in self.classes.values():
            flow_class.share = 1.0

    def _target_share(self, load, now_ms):
        """Return the share of the work that the service was able to serve.

        It refers to the share that was admitted when the load was measured: a later one
        has had no effect on the figures.
        """
        served = 1.0 - load.rejected_share
        objective_ms = self._protected_objective_ms(load, now_ms)
        if objective_ms and load.response_ms > objective_ms:
            served = min(served, objective_ms / load.response_ms)
        start_share = FREE_REJECTED_SHARE if self.is_refusing else START_REJECTED_SHARE
        if served > 1.0 - start_share:
            return 1.0
        measured_share = self._share_at(now_ms - load.age_ms - HALF_WINDOW_MS)
        return measured_share * served / (1.0 - TARGET_REJECTED_SHARE)

    def _protected_objective_ms(self, load, now_ms):
        """Return the objective of the class of the highest value; 0 if it has none."""
        ranked = self._ranked(load.response_ms, now_ms)
        return ranked[0][1].objective_ms if ranked else 0

    def _share_at(self, time_ms):
        """Return the share that was in force at a time."""
        share = 1.0
        for set_ms, value in self._history:
            if set_ms > time_ms:
                break
            share = value
        return share

    def _set_share(self, share, now_ms):
        if share >= 1.0:
            self._open()
            return
        self.share = share
        self._history.append((now_ms, share))
        del self._history[:-MAX_HISTORY]

    def _ranked(self, response_ms, now_ms):
        """Return rank, terms and class of each class with demand, the best first."""
        ranked = []
        for terms, flow_class in self.classes.items():
            if flow_class.flows.value(now_ms) < MIN_DEMAND:
                continue
            service_ms = flow_class.service_ms
            waited_ms = max(response_ms - service_ms, 0)
            ranked.append((flow_rank(terms, service_ms, waited_ms), terms, flow_class))
        ranked.sort(key=lambda entry: entry[0])
        return ranked

    def _divide(self, share, response_ms, now_ms):
        """Divide the admitted work among the classes: the lowest value loses first.

        A class is only refused in favour of a higher priority, and not if the others
        have about the same value: upstreams reject requests of any class, which is as
        good then, and more exact.
        """
        ranked = self._ranked(response_ms, now_ms)
        demand = {c: c.flows.value(now_ms) * c.service_ms for _, _, c in ranked}
        surplus = (1.0 - share) * sum(demand.values())
        for rank, terms, flow_class in reversed(ranked):
            refused = 0.0
            if self._is_below_others(rank, terms, flow_class, now_ms):
                refused = min(surplus, (1.0 - MIN_CLASS_SHARE) * demand[flow_class])
            flow_class.share = 1.0 - refused / demand[flow_class]
            surplus -= refused

    def _is_below_others(self, rank, terms, flow_class, now_ms):
        """Return whether a class has less value than the work that others get done."""
        work = worth = 0.0
        has_higher_priority = False
        for other_terms, other in self.classes.items():
            work_ms = other.answers.value(now_ms) * other.service_ms
            if other is flow_class or work_ms < MIN_DEMAND:
                continue
            has_higher_priority |= other_terms.priority < terms.priority
            work += work_ms
            worth += work_ms * value_per_work(other_terms, other.service_ms)
        is_expired = rank[0]
        if is_expired:
            return work > 0
        value = value_per_work(terms, flow_class.service_ms)
        return has_higher_priority and value * work < MAX_VALUE_RATIO * worth


def _opened_share(share, age_ms):
    """Return an admitted share after a figure has become stale."""
    stale_ms = min(max(age_ms - STALE_LOAD_MS, 0), OPENING_MS)
    return share + (1.0 - share) * stale_ms / OPENING_MS


class _Discarding:
    """Discard counts and log lines."""

    __slots__ = ()

    def count(self, *_args):
        """Discard a count."""

    def info(self, *_args, **_fields):
        """Discard a log line."""

    warning = info


class PacketAdmission:
    """Decide for each service whether new flows are admitted.

    `service_load(service, now_ms)` returns the service's `ServiceLoad`, or None.
    """

    __slots__ = ("_log", "_metrics", "_service_load", "_services")

    def __init__(self, *, service_load, metrics, log):
        self._service_load = service_load
        self._metrics = metrics
        self._log = log
        self._services = {}

    # Queries.

    def service_ms(self, service, terms):
        """Return the estimated service time of requests with some terms, or None."""
        admission = self._services.get(service)
        flow_class = admission.classes.get(terms) if admission is not None else None
        if flow_class is None or not flow_class.has_estimate:
            return None
        return flow_class.service_ms

    def dump(self, now_ms):
        """Return the state for the dump: the classes of each service."""
        return [
            {
                "service": service,
                "admitted_share": round(admission.share, 3),
                "response_ratio": admission.response_ratio,
                "kind": terms.kind,
                "priority": terms.priority,
                "class_share": round(flow_class.share, 3),
                "service_ms": round(flow_class.service_ms, 1),
                "demand": round(flow_class.flows.value(now_ms), 2),
                "answers": round(flow_class.answers.value(now_ms), 2),
            }
            for service, admission in self._services.items()
            for terms, flow_class in admission.classes.items()
        ]

    def copy(self):
        """Return a copy that decides alike, without metrics and log, for a dry run."""
        # Imported late, as it isn't needed before the first packets.
        from copy import deepcopy

        copied = PacketAdmission(
            service_load=self._service_load, metrics=_Discarding(), log=_Discarding()
        )
        copied._services = deepcopy(self._services)
        return copied

    # Commands.

    def refuse(self, service, terms, flow_key, now_ms):
        """Count a new flow; return the `Refusal` if it isn't admitted, else None."""
        admission = self._service(service)
        flow_class = admission.flow_class(terms, now_ms)
        flow_class.record_flow(now_ms)
        load = self._service_load(service, now_ms)
        was_refusing = admission.is_refusing
        admission.update(load, now_ms)
        if admission.is_refusing != was_refusing:
            self._log_change(service, admission, load)
        if flow_class.admits(flow_key):
            return None
        self._metrics.count("flows_refused")
        self._metrics.count(f"flows_refused_priority_{min(terms.priority, 9)}")
        return Refusal(
            age_ms=load.age_ms,
            class_share=flow_class.share,
            load_per_slot=load.load_per_slot,
            rejected_share=load.rejected_share,
            response_ms=load.response_ms,
            service_ms=flow_class.service_ms,
        )

    def record_response(self, service, terms, response_ms, now_ms):
        """Record the time from a request to its answer.

        While flows are refused, requests wait for a slot, so the time is only used if
        the class has no estimate.
        """
        admission = self._service(service)
        flow_class = admission.flow_class(terms, now_ms)
        flow_class.record_answer(now_ms)
        if not admission.is_refusing or not flow_class.has_estimate:
            flow_class.record_response(response_ms, now_ms)
        if flow_class.has_estimate:
            admission.record_ratio(response_ms / flow_class.service_ms)

    def expire(self, now_ms):
        """Remove classes that were idle for `CLASS_IDLE_MS`."""
        for service, admission in list(self._services.items()):
            for terms, flow_class in list(admission.classes.items()):
                if now_ms - flow_class.seen_ms >= CLASS_IDLE_MS:
                    del admission.classes[terms]
            if not admission.classes:
                del self._services[service]

    def _service(self, service):
        admission = self._services.get(service)
        if admission is None:
            admission = self._services[service] = ServiceAdmission()
        return admission

    def _log_change(self, service, admission, load):
        if admission.is_refusing:
            self._log.warning(
                "began to refuse new flows",
                service=service,
                admitted_share=round(admission.share, 3),
                load_per_slot=round(load.load_per_slot, 2),
                rejected_share=round(load.rejected_share, 3),
                response_ms=round(load.response_ms),
                age_ms=load.age_ms,
            )
        else:
            self._log.info("stopped refusing new flows", service=service)
