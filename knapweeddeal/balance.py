"""knapweeddeal.balance: The choice of an upstream for a new flow."""

import math

__all__ = ["Balancer"]

#: Upstreams sampled from a group for one choice.
SAMPLE_SIZE = 2
#: Weight of requests per slot relative to flows per connection limit.
REQUEST_WEIGHT = 0.05
#: Share of the connection limit by which the own zone may be fuller than others.
CROSS_ZONE_COST = 0.05
#: Extra cost of a group whose upstreams are all full, shedding or in slow start.
UNAVAILABLE_COST = 10.0
#: Time until an upstream that joined receives its full share of new flows.
SLOW_START_MS = 20_000
#: Time for which an upstream receives no new flows after it shed one.
SHED_BACKOFF_MS = 2_000
#: Time after the last use of an upstream for which its load is kept.
LOAD_RETENTION_MS = 60_000


class UpstreamLoad:
    """Hold the load of one upstream, except for its connection count."""

    __slots__ = ("requested_flows", "outstanding", "seen_ms", "shed_until_ms")

    def __init__(self, *, now_ms):
        #: Outstanding requests in the last report of the upstream.
        self.outstanding = 0
        #: Flows that this entry requested since that report.
        self.requested_flows = 0
        self.shed_until_ms = now_ms
        self.seen_ms = now_ms


class Candidate:
    """Pair an upstream with its load and the flows this entry owns there."""

    __slots__ = ("load", "owned_flows", "upstream")

    def __init__(self, *, upstream, load, owned_flows):
        self.upstream = upstream
        self.load = load
        self.owned_flows = owned_flows


class Balancer:
    """Choose upstreams by reported load, zone and slow start.

    `own_flows(key)` returns how many flows this entry owns at an upstream.
    """

    __slots__ = (
        "_cross_zone_cost",
        "_bound_by_own_flows",
        "_loads",
        "_own_flows",
        "_request_weight",
        "_sample_size",
        "_shed_backoff_ms",
        "_slow_start_ms",
        "_swept_ms",
        "_zone",
    )

    def __init__(
        self,
        *,
        zone,
        own_flows,
        sample_size=SAMPLE_SIZE,
        request_weight=REQUEST_WEIGHT,
        cross_zone_cost=CROSS_ZONE_COST,
        slow_start_ms=SLOW_START_MS,
        shed_backoff_ms=SHED_BACKOFF_MS,
        bound_by_own_flows=True,
    ):
        self._zone = zone
        self._own_flows = own_flows
        self._sample_size = sample_size
        self._request_weight = request_weight
        self._cross_zone_cost = cross_zone_cost
        self._slow_start_ms = slow_start_ms
        self._shed_backoff_ms = shed_backoff_ms
        #: Whether the flows this entry owns set a lower bound on reported connections.
        self._bound_by_own_flows = bound_by_own_flows
        self._loads = {}
        self._swept_ms = 0

    # Commands

    def record_report(self, key, outstanding, *, now_ms):
        """Record the outstanding requests that an upstream reported on its stream."""
        load = self._load(key, now_ms)
        load.outstanding = outstanding
        load.requested_flows = 0

    def record_flow_request(self, key, *, now_ms):
        """Record that a flow was requested from an upstream."""
        self._load(key, now_ms).requested_flows += 1

    def record_shed(self, key, *, now_ms):
        """Record that an upstream shed a flow, which starts its backoff."""
        self._load(key, now_ms).shed_until_ms = now_ms + self._shed_backoff_ms

    def sweep(self, *, now_ms):
        """Drop loads unused for the retention time, at most once in that time."""
        if now_ms < self._swept_ms + LOAD_RETENTION_MS:
            return
        self._swept_ms = now_ms
        for key, load in list(self._loads.items()):
            if load.seen_ms + LOAD_RETENTION_MS < now_ms:
                del self._loads[key]

    # Queries

    def choose(self, upstreams, *, rng, now_ms):
        """Return the upstream for a new flow, or None if the list is empty."""
        same_zone, other_zones = [], []
        for upstream in upstreams:
            group = same_zone if upstream.announce.zone == self._zone else other_zones
            group.append(self._candidate(upstream, now_ms))
        flows_per_own_flow = _flows_per_own_flow(same_zone + other_zones)
        same_zone_cost, same_zone_choice = self._choose_from(
            same_zone, flows_per_own_flow, rng, now_ms
        )
        other_zones_cost, other_zone_choice = self._choose_from(
            other_zones, flows_per_own_flow, rng, now_ms
        )
        return (
            same_zone_choice
            if same_zone_cost <= other_zones_cost + self._cross_zone_cost
            else other_zone_choice
        )

    def _candidate(self, upstream, now_ms):
        load = self._load(upstream.key, now_ms)
        owned_flows = self._own_flows(upstream.key) if self._bound_by_own_flows else 0
        return Candidate(upstream=upstream, load=load, owned_flows=owned_flows)

    def _choose_from(self, group, flows_per_own_flow, rng, now_ms):
        """Return cost and upstream of the cheapest candidate of a random sample."""
        if not group:
            return math.inf, None
        flows_per_own_flow = _flows_per_own_flow(group) or flows_per_own_flow
        available = [
            member for member in group if self._is_available(member, rng, now_ms)
        ]
        surcharge = 0.0 if available else UNAVAILABLE_COST
        available = available or group
        sample = rng.sample(available, min(self._sample_size, len(available)))
        costs = [self._cost(candidate, flows_per_own_flow) for candidate in sample]
        best_index = costs.index(min(costs))
        return costs[best_index] + surcharge, sample[best_index].upstream

    def _cost(self, candidate, flows_per_own_flow):
        announce, load = candidate.upstream.announce, candidate.load
        flows = candidate.upstream.connections + load.requested_flows
        flows = max(flows, flows_per_own_flow * candidate.owned_flows)
        requests = load.outstanding / announce.slots
        return flows / announce.max_connections + self._request_weight * requests

    def _is_available(self, candidate, rng, now_ms):
        """Return whether a candidate may get a flow; at random in slow start."""
        upstream, load = candidate.upstream, candidate.load
        if (
            upstream.connections + load.requested_flows
            >= upstream.announce.max_connections
        ):
            return False
        if load.shed_until_ms > now_ms:
            return False
        age_ms = now_ms - upstream.slow_start_since_ms
        return age_ms >= rng.random() * self._slow_start_ms

    def _load(self, key, now_ms):
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = UpstreamLoad(now_ms=now_ms)
        load.seen_ms = now_ms
        return load


def _flows_per_own_flow(candidates):
    """Return the median ratio of reported to owned flows, 0 without any ratio.

    Take the upper median and leave out upstreams that report fewer flows than this
    entry owns, as such a report must be wrong.
    """
    ratios = sorted(
        candidate.upstream.connections / candidate.owned_flows
        for candidate in candidates
        if 0 < candidate.owned_flows <= candidate.upstream.connections
    )
    return ratios[len(ratios) // 2] if ratios else 0.0
