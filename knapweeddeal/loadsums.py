"""knapweeddeal.loadsums: Load of upstreams and services as sums over all forwarders.

Load patterns that this answers, each of which one forwarder can't see:

- A crowded zone beside idle ones: its forwarders together send more than the slots of
  its upstreams bear, while each sees an idle service.
- A zone with a single upstream.
- An upstream that is several times slower than its service's median.
- A burst in all zones: no zone has room for another one's flows, so none cross.

Load per slot is rate x mean response time / slots (Little's law). The rate of requests
that come from a zone's forwarders is known apart from the upstreams that they went to,
so the share that has to leave a zone follows from demand and slots alone. It doesn't
react to what earlier shares did, hence doesn't oscillate, although the figures are up
to a second old.
"""

from collections import deque

from knapweeddeal.messages.loads import (
    MAX_MILLI,
    ServiceLoadPush,
    ServiceSum,
    ServiceSums,
    UpstreamLoad,
    UpstreamLoads,
    UpstreamSum,
    ZoneDemand,
    ZoneRoom,
)

__all__ = ["LoadSums"]

#: Interval at which sums are sent and figures pushed.
TICK_INTERVAL_MS = 500
#: Number of intervals over which requests are summed: with 50 requests a second the
#: rate varies by 12 %.
WINDOW_TICKS = 3
#: Number of intervals over which one replica looks for slow upstreams: with 8 replicas,
#: each sees one request a second to an upstream.
SLOW_WINDOW_TICKS = 8
#: Maximum age of another replica's sums, which it sends twice a second.
REPLICA_SUMS_LIFE_MS = 1_500
#: Time for which a service stays under load after its figures became normal.
HOLD_MS = 2_000
#: Load per slot of a busy upstream.
BUSY_LOAD = 1.0
#: Load per slot that one replica's forwarders put on an upstream, from which its sums
#: are sent. With two replicas in a zone, either sees half of a full upstream's load of
#: 3; a calm zone with one replica stays below it.
LOCAL_BUSY_LOAD = 0.75
#: Ratio of a slow upstream's mean response time to its service's median.
SLOW_FACTOR = 2.0
#: The same ratio at which one replica's sums are sent: by chance, the mean of 30
#: requests reaches twice that of a neighbour.
LOCAL_SLOW_FACTOR = 2.5
#: Number of requests from which a mean response time is judged.
MIN_TIMED = 3
#: Least number of requests x (ratio - 1) squared of a slow upstream. A mean of few
#: requests exceeds twice the median by chance, or because one packet was lost.
MIN_SLOW_EVIDENCE = 16.0
#: Time for which an upstream without late answers counts as slow; then it is tried
#: again. It still gets some flows meanwhile.
SLOW_MEMORY_MS = 10_000
#: Weight of a lower median in a service's usual time, from one replica's few upstreams
#: and from all; and of a higher median, as queues of an overloaded service must not
#: become usual.
LOWER_LOCAL_WEIGHT, LOWER_WEIGHT, HIGHER_WEIGHT = 0.05, 0.3, 0.005
#: Most services, and most upstreams of all services, in a push, so that a forwarder's
#: cost stays bounded when the whole installation is overloaded: 3 and 3 KB.
MAX_PUSHED_SERVICES = 100
MAX_PUSHED_UPSTREAMS = 100
#: Steps of the bisection that finds a utilization: to a thousandth.
BISECTION_STEPS = 10
#: Utilization of slots at which a zone is full, and at which flows begin, and cease, to
#: leave it.
FULL_UTILIZATION = 0.62
LEAVE_UTILIZATION = 0.75
STAY_UTILIZATION = 0.55
#: Share of a service's slots that must be taken for it to have no room.
FULL_SERVICE_SHARE = 0.9
MILLI = 1_000
PERCENT = 100


class Total:
    """Sum rate, occupied slots and rejections of requests; rates per second."""

    __slots__ = ("occupied", "rate", "rejected", "timed_rate")

    def __init__(self):
        self.rate = 0.0
        #: Rate of the requests that have a response time.
        self.timed_rate = 0.0
        #: Requests in progress or queued, by Little's law.
        self.occupied = 0.0
        self.rejected = 0.0

    def add(self, *, rate, response_ms, rejected):
        """Add requests with a mean response time, 0 if it is unknown."""
        self.rate += rate
        self.rejected += rejected
        if response_ms:
            self.timed_rate += rate
            self.occupied += rate * response_ms / MILLI

    @property
    def response_ms(self):
        """Return the mean response time, or 0 if it is unknown."""
        return MILLI * self.occupied / self.timed_rate if self.timed_rate else 0.0


class Window:
    """Sum the requests of the last intervals, as one is added and another expires."""

    __slots__ = ("_buckets", "_ticks", "requests")

    def __init__(self, *, ticks):
        self._ticks = ticks
        self._buckets = deque()
        #: [answered, unanswered, response time, rejected] by zone and upstream.
        self.requests = {}

    @property
    def duration_s(self):
        """Return the time over which requests are summed."""
        return max(len(self._buckets), 1) * TICK_INTERVAL_MS / MILLI

    def add(self, bucket):
        """Add the requests of an interval."""
        self._buckets.append(bucket)
        self._count(bucket, 1)
        if len(self._buckets) > self._ticks:
            self._count(self._buckets.popleft(), -1)

    def _count(self, bucket, sign):
        requests = self.requests
        for key, added in bucket.items():
            total = requests.get(key)
            if total is None:
                requests[key] = list(added)
                continue
            for index, number in enumerate(added):
                total[index] += sign * number
            if not any(total):
                del requests[key]


class ServiceMemory:
    """Hold what is remembered of a service between two evaluations."""

    __slots__ = (
        "leaving_zones",
        "service_ms",
        "slowness",
        "under_load_ms",
        "usual_ms",
    )

    def __init__(self):
        #: Usual response time at own forwarders, or None until a median is known.
        self.usual_ms = None
        #: Usual response time without waiting in queues, of all replicas, or None.
        self.service_ms = None
        #: When its figures last showed load here, or None.
        self.under_load_ms = None
        #: Zones that flows leave.
        self.leaving_zones = set()
        #: (factor, time of the last figures) of slow upstreams, by id.
        self.slowness = {}


class LoadSums:
    """Sum the requests of forwarders, and derive the load that is pushed to them."""

    __slots__ = (
        "_current",
        "_local",
        "_memories",
        "_own_identity",
        "_replica_sums",
        "_slow_window",
        "_table",
        "_window",
        "evacuated",
        "last_push",
    )

    def __init__(self, *, table, own_identity):
        self._table = table
        #: Names of evacuated zones.
        self.evacuated = frozenset()
        self._own_identity = own_identity
        #: Requests of the present interval: [answered, unanswered, response time,
        #: rejected] by zone of the forwarder and upstream.
        self._current = {}
        self._window = Window(ticks=WINDOW_TICKS)
        self._slow_window = Window(ticks=SLOW_WINDOW_TICKS)
        #: Sums of own forwarders at the end of the last interval, by service.
        self._local = {}
        #: (time of receipt, `ServiceSum` by service) by replica.
        self._replica_sums = {}
        self._memories = {}
        #: The last push, or None if no service is under load.
        self.last_push = None

    # Queries.

    def dump(self):
        """Return the state for the dump: the last push, and what is remembered."""
        return {
            "pushed": self.last_push,
            "replicas": [f"{identity:016x}" for identity in self._replica_sums],
            "usual_ms": {
                service: [memory.usual_ms, memory.service_ms]
                for service, memory in self._memories.items()
            },
        }

    # Commands.

    def add_counts(self, zone, counts):
        """Add the counts of a forwarder in a zone."""
        for count in counts:
            key = (zone, count.upstream_id)
            requests = self._current.get(key)
            if requests is None:
                requests = self._current[key] = [0, 0, 0, 0]
            requests[0] += count.answered
            requests[1] += count.unanswered
            requests[2] += count.answered * count.response_ms
            requests[3] += count.rejected

    def set_replica_sums(self, message, now_ms):
        """Replace the sums of another replica."""
        sums = {one.service: one for one in message.services}
        self._replica_sums[message.sender] = (now_ms, sums)

    def advance(self, now_ms):
        """End an interval; return the sums for the other replicas, or None."""
        self._window.add(self._current)
        self._slow_window.add(self._current)
        self._current = {}
        for replica, (received_ms, _) in list(self._replica_sums.items()):
            if now_ms - received_ms >= REPLICA_SUMS_LIFE_MS:
                del self._replica_sums[replica]
        local = self._local = self._local_sums(self._window)
        longer = self._local_sums(self._slow_window)
        services = []
        requested = self._requested_services()
        for service in requested | set(longer):
            totals, demands = local.get(service, ({}, {}))
            slow_totals = longer.get(service, ({}, {}))[0]
            under_load = self._update_under_load(service, totals, slow_totals, now_ms)
            if under_load or service in requested:
                services.append(_service_sum(service, under_load, totals, demands))
        if not services:
            return None
        return ServiceSums(sender=self._own_identity, services=services)

    def push(self, now_ms):
        """Return the loads for forwarders, or None if no service is under load."""
        local = self._local
        names = self._requested_services() | {
            name
            for name, memory in self._memories.items()
            if memory.under_load_ms is not None
        }
        if not names:
            self.last_push = None
            return None
        states = self._usable_states(names)
        services = [
            load
            for name in sorted(names)
            if (load := self._evaluate(name, states[name], local, now_ms)) is not None
        ]
        self.last_push = _bounded_push(services) if services else None
        return self.last_push

    def _usable_states(self, services):
        """Return the states of upstreams that new flows may go to, by service.

        Upstreams of evacuated zones have no room for the demand of others.
        """
        found = self._table.ready_states(services)
        return {
            service: [state for state in states if state.zone not in self.evacuated]
            for service, states in found.items()
        }

    # Local sums.

    def _local_sums(self, window):
        """Return ({upstream: Total}, {zone: rate}) by service, of own forwarders."""
        duration_s = window.duration_s
        sums = {}
        for (zone, upstream_id), requests in window.requests.items():
            state = self._table.get(upstream_id)
            if state is None:
                continue
            answered, unanswered, response_ms, rejected = requests
            totals, demands = sums.setdefault(state.service, ({}, {}))
            total = totals.get(upstream_id)
            if total is None:
                total = totals[upstream_id] = Total()
            total.add(
                rate=answered / duration_s,
                response_ms=response_ms / answered if answered else 0,
                rejected=rejected / duration_s,
            )
            total.rate += unanswered / duration_s
            rate = (answered + unanswered) / duration_s
            demands[zone] = demands.get(zone, 0.0) + rate
        return sums

    def _requested_services(self):
        """Return the services that another replica found under load."""
        return {
            name
            for _, sums in self._replica_sums.values()
            for name, one in sums.items()
            if one.under_load
        }

    def _update_under_load(self, service, totals, slow_totals, now_ms):
        """Return whether own figures show load, or did within `HOLD_MS`."""
        memory = self._memories.setdefault(service, ServiceMemory())
        if self._shows_load(totals, slow_totals, memory):
            memory.under_load_ms = now_ms
        elif (
            memory.under_load_ms is not None
            and now_ms - memory.under_load_ms >= HOLD_MS
        ):
            memory.under_load_ms = None
        return memory.under_load_ms is not None

    def _shows_load(self, totals, slow_totals, memory):
        means = _means(slow_totals, SLOW_WINDOW_TICKS)
        median_ms = _median(means.values())
        if median_ms:
            memory.usual_ms = _usual(memory.usual_ms, median_ms, LOWER_LOCAL_WEIGHT)
        for upstream_id, mean_ms in means.items():
            factor = mean_ms / max(memory.usual_ms, median_ms)
            total = slow_totals[upstream_id]
            if factor >= LOCAL_SLOW_FACTOR and _is_slow(
                factor, total, SLOW_WINDOW_TICKS
            ):
                return True
        return any(
            total.occupied >= LOCAL_BUSY_LOAD * self._table.get(upstream_id).slots
            for upstream_id, total in totals.items()
        )

    # Evaluation of a service over all replicas.

    def _evaluate(self, service, states, local, now_ms):
        """Return the push of a service, or None if nothing is busy, slow or crowded.

        Without an upstream that new flows may go to, there is no load per slot.
        """
        if not states:
            return None
        memory = self._memories.setdefault(service, ServiceMemory())
        totals, demands = self._merge(service, local)
        times = _service_times(states, totals)
        means = _means(totals, WINDOW_TICKS)
        median_ms = _median(times[name] for name in means if name in times)
        if median_ms:
            memory.service_ms = _usual(memory.service_ms, median_ms, LOWER_WEIGHT)
        if memory.service_ms is None:
            return None
        slowness = _update_slowness(memory, totals, times, median_ms, now_ms)
        loads = {
            state.upstream_id: _total_of(totals, state).occupied / state.slots
            for state in states
        }
        # Without a free slot, shares from figures that are a second old only move
        # rejections to other upstreams, which got 9 to 12 % more of them.
        is_full = _is_full(states, loads)
        zones = [] if is_full else self._zone_rooms(memory, states, demands, slowness)
        upstreams = _upstream_loads(states, loads, slowness, is_full)
        if zones or slowness:
            # Shares that work make the load look normal, and must last all the same.
            memory.under_load_ms = now_ms
        whole = Total()
        for state in states:
            total = _total_of(totals, state)
            is_busy = loads[state.upstream_id] >= BUSY_LOAD
            whole.rate += total.rate
            whole.timed_rate += total.timed_rate
            whole.occupied += total.occupied
            # Short answers of an upstream with free slots aren't rejections.
            whole.rejected += total.rejected if is_busy else 0.0
        slots = sum(state.slots for state in states)
        if not zones and not upstreams and whole.occupied < BUSY_LOAD * slots:
            return None
        return ServiceLoadPush(
            service=service,
            load_milli=round(MILLI * whole.occupied / slots),
            rejected_milli=min(round(MILLI * whole.rejected / whole.rate), MILLI)
            if whole.rate
            else 0,
            response_ms=round(whole.response_ms),
            upstreams=upstreams,
            zones=zones,
        )

    def _merge(self, service, local):
        """Return the sums of all replicas: totals by upstream, rates by zone."""
        own_totals, own_demands = local.get(service, ({}, {}))
        totals, demands = {}, dict(own_demands)
        for upstream_id, own in own_totals.items():
            total = totals[upstream_id] = Total()
            total.rate, total.timed_rate = own.rate, own.timed_rate
            total.occupied, total.rejected = own.occupied, own.rejected
        for _, sums in self._replica_sums.values():
            if service not in sums:
                continue
            for one in sums[service].upstreams:
                totals.setdefault(one.upstream_id, Total()).add(
                    rate=one.rate_milli / MILLI,
                    response_ms=one.response_ms,
                    rejected=one.rejected_milli / MILLI,
                )
            for one in sums[service].demands:
                rate = one.rate_milli / MILLI
                demands[one.zone] = demands.get(one.zone, 0.0) + rate
        return totals, demands

    def _zone_rooms(self, memory, states, demands, slowness):
        """Return the zones that flows leave, and those that they should avoid.

        Demand and room are counted in slots. A zone has room for others only if the
        replicas that its upstreams report to sent their sums: behind a partition their
        slots look idle.
        """
        slots, reachable = {}, {}
        for state in states:
            factor = slowness.get(state.upstream_id, 1.0)
            usable = state.slots / factor
            slots[state.zone] = slots.get(state.zone, 0.0) + usable
            if state.home == self._own_identity or state.home in self._replica_sums:
                reachable[state.zone] = reachable.get(state.zone, 0.0) + usable
        needed = {
            zone: rate * memory.service_ms / MILLI for zone, rate in demands.items()
        }
        excess = self._excess(memory, slots, needed)
        room = {
            zone: max(
                FULL_UTILIZATION * reachable.get(zone, 0.0) - needed.get(zone, 0.0), 0.0
            )
            for zone in slots
        }
        total_excess, total_room = sum(excess.values()), sum(room.values())
        if not total_excess or not total_room:
            return []
        share = min(total_room / total_excess, 1.0)
        relative = {zone: room[zone] / slots[zone] for zone in slots}
        most = max(relative.values())
        rooms = []
        for zone in sorted(set(slots) | set(excess)):
            leave = share * excess.get(zone, 0.0) / max(needed.get(zone, 0.0), 1e-9)
            avoid = 1 - relative.get(zone, 0.0) / most
            rooms.append(
                ZoneRoom(
                    zone=zone, leave_milli=_milli(leave), avoid_milli=_milli(avoid)
                )
            )
        return rooms

    def _excess(self, memory, slots, needed):
        """Return the demand beyond a full zone, by zone, in slots."""
        excess = {}
        for zone, need in needed.items():
            bound = slots.get(zone, 0.0)
            if not bound:
                continue
            is_leaving = zone in memory.leaving_zones
            limit = STAY_UTILIZATION if is_leaving else LEAVE_UTILIZATION
            if need >= limit * bound:
                excess[zone] = max(need - FULL_UTILIZATION * bound, 0.0)
        memory.leaving_zones = set(excess)
        return {zone: amount for zone, amount in excess.items() if amount}


NO_REQUESTS = Total()


def _total_of(totals, state):
    return totals.get(state.upstream_id, NO_REQUESTS)


def _request_count(total, ticks):
    """Return how many requests of a window have a response time."""
    return total.timed_rate * ticks * TICK_INTERVAL_MS / MILLI


def _means(totals, ticks):
    """Return the mean response times of upstreams with enough requests."""
    return {
        upstream_id: total.response_ms
        for upstream_id, total in totals.items()
        if _request_count(total, ticks) >= MIN_TIMED
    }


def _is_slow(factor, total, ticks):
    """Return whether requests enough show that an upstream is slow."""
    evidence = _request_count(total, ticks) * (factor - 1) ** 2
    return factor >= SLOW_FACTOR and evidence >= MIN_SLOW_EVIDENCE


def _median(values):
    """Return the lower median, or None of no values."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else None


def _usual(before, median_ms, lower_weight):
    """Return the usual time after another median."""
    if before is None:
        return median_ms
    weight = lower_weight if median_ms < before else HIGHER_WEIGHT
    return before + weight * (median_ms - before)


def _service_times(states, totals):
    """Return response times without waiting in queues, of upstreams with requests.

    In a queue with c slots, the response time is about the service time divided by
    1 - utilization^c. Without this, each upstream of a crowded zone would look slow.
    """
    times = {}
    for state in states:
        total = _total_of(totals, state)
        if total.occupied:
            load = total.occupied / state.slots
            utilization = _utilization(load, state.slots)
            times[state.upstream_id] = total.response_ms * utilization / load
    return times


def _utilization(load, slots):
    """Return the utilization u at which load per slot is u / (1 - u^slots)."""
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if middle < load * (1 - middle**slots):
            low = middle
        else:
            high = middle
    return (low + high) / 2


def _update_slowness(memory, totals, times, median_ms, now_ms):
    """Return the factors of slow upstreams, by id."""
    means = _means(totals, WINDOW_TICKS)
    normal_ms = max(memory.service_ms, median_ms or 0)
    for upstream_id, service_ms in times.items():
        total = totals[upstream_id]
        factor = service_ms / normal_ms
        known = memory.slowness.get(upstream_id)
        if upstream_id in means and _is_slow(factor, total, WINDOW_TICKS):
            memory.slowness[upstream_id] = (factor, now_ms)
        elif known is not None and factor >= SLOW_FACTOR:
            memory.slowness[upstream_id] = (known[0], now_ms)
        elif upstream_id in means:
            memory.slowness.pop(upstream_id, None)
    for upstream_id, (_, seen_ms) in list(memory.slowness.items()):
        if now_ms - seen_ms >= SLOW_MEMORY_MS:
            del memory.slowness[upstream_id]
    return {name: factor for name, (factor, _) in memory.slowness.items()}


def _is_full(states, loads):
    """Return whether hardly any upstream of a service has a free slot."""
    slots = sum(state.slots for state in states)
    taken = sum(min(loads[state.upstream_id], 1.0) * state.slots for state in states)
    return taken >= FULL_SERVICE_SHARE * slots


def _upstream_loads(states, loads, slowness, is_full):
    """Return the `UpstreamLoad` of busy and slow upstreams."""
    listed = []
    for state in states:
        load = loads[state.upstream_id]
        factor = slowness.get(state.upstream_id, 1.0)
        if load < BUSY_LOAD and factor < SLOW_FACTOR:
            continue
        # A slow upstream that gets its share of slots still answers late, so its share
        # is the square of that: enough to notice that it has recovered.
        divert = 0 if is_full else 1 - 1 / factor**2
        listed.append(
            UpstreamLoad(
                upstream_id=state.upstream_id,
                load_milli=round(MILLI * load),
                slowness_percent=round(PERCENT * factor),
                divert_milli=_milli(divert),
            )
        )
    return listed


def _bounded_push(services):
    """Return a push of the services whose flows go elsewhere, then the most loaded.

    Upstreams from which most flows are diverted come first, then the most loaded.
    """
    services = sorted(services, key=_push_order, reverse=True)[:MAX_PUSHED_SERVICES]
    listed = [
        (one.divert_milli, one.load_milli, one)
        for service in services
        for one in service.upstreams
    ]
    if len(listed) > MAX_PUSHED_UPSTREAMS:
        listed.sort(key=lambda entry: entry[:2], reverse=True)
        kept = {one.upstream_id for *_, one in listed[:MAX_PUSHED_UPSTREAMS]}
        services = [
            service.replace(
                upstreams=[one for one in service.upstreams if one.upstream_id in kept]
            )
            for service in services
        ]
    return UpstreamLoads(services=services)


def _push_order(service):
    is_diverted = any(one.divert_milli for one in service.upstreams)
    return bool(service.zones) or is_diverted, service.load_milli


def _service_sum(service, under_load, totals, demands):
    return ServiceSum(
        service=service,
        under_load=under_load,
        upstreams=[
            UpstreamSum(
                upstream_id=upstream_id,
                rate_milli=round(MILLI * total.rate),
                response_ms=round(total.response_ms),
                rejected_milli=round(MILLI * total.rejected),
            )
            for upstream_id, total in totals.items()
        ],
        demands=[
            ZoneDemand(zone=zone, rate_milli=round(MILLI * rate))
            for zone, rate in demands.items()
        ],
    )


def _milli(share):
    return min(max(round(MILLI * share), 0), MAX_MILLI)
