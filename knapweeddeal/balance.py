"""knapweeddeal.balance: The choice of an upstream for a new flow."""

import math

__all__ = ["Balancer"]

#: Upstreams of one group that are compared for one choice.
SAMPLE_SIZE = 2
#: Weight of requests per slot against flows per connection limit.
REQUEST_WEIGHT = 0.05
#: Share of the connection limit by which the own zone may be fuller than others.
CROSS_ZONE_COST = 0.05
#: Cost of a group whose upstreams are all full, cold or shedding.
CLOSED_COST = 10.0
#: Time in which an upstream that joined comes to its full share of new flows.
SLOW_START_MS = 20_000
#: Time without new flows after an upstream turned one away.
SHED_BACKOFF_MS = 2_000
#: Time without a sight of an upstream after which it is forgotten.
LOAD_RETENTION_MS = 60_000


class Load:
    """Hold what an entry knows of one upstream's load beside its connections."""

    __slots__ = ("asked", "outstanding", "seen_ms", "shed_until_ms")

    def __init__(self, *, now_ms):
        #: Requests, as the upstream last reported.
        self.outstanding = 0
        #: Flows asked for here since that report.
        self.asked = 0
        self.shed_until_ms = now_ms
        self.seen_ms = now_ms


class Candidate:
    """Hold an upstream of one choice with its load and the own flows there."""

    __slots__ = ("load", "own", "upstream")

    def __init__(self, *, upstream, load, own):
        self.upstream = upstream
        self.load = load
        self.own = own


class Balancer:
    """Choose upstreams by reported load, zone and time since they joined.

    `own_flows(key)` returns how many flows this entry owns at an upstream.
    """

    __slots__ = (
        "_far_cost",
        "_guarded",
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
        far_cost=CROSS_ZONE_COST,
        slow_start_ms=SLOW_START_MS,
        shed_backoff_ms=SHED_BACKOFF_MS,
        guarded=True,
    ):
        self._zone = zone
        self._own_flows = own_flows
        self._sample_size = sample_size
        self._request_weight = request_weight
        self._far_cost = far_cost
        self._slow_start_ms = slow_start_ms
        self._shed_backoff_ms = shed_backoff_ms
        #: Whether own flows bound from below what upstreams report.
        self._guarded = guarded
        self._loads = {}
        self._swept_ms = 0

    # Commands

    def record_report(self, key, outstanding, *, now_ms):
        """Take the requests that an upstream reported on its stream."""
        load = self._load(key, now_ms)
        load.outstanding = outstanding
        load.asked = 0

    def record_flow_request(self, key, *, now_ms):
        """Note that an upstream is asked to take a flow."""
        self._load(key, now_ms).asked += 1

    def record_shed(self, key, *, now_ms):
        """Note that an upstream turned a flow away."""
        self._load(key, now_ms).shed_until_ms = now_ms + self._shed_backoff_ms

    def sweep(self, *, now_ms):
        """Forget the upstreams that weren't seen for long, if it is time again."""
        if now_ms < self._swept_ms + LOAD_RETENTION_MS:
            return
        self._swept_ms = now_ms
        for key, load in list(self._loads.items()):
            if load.seen_ms + LOAD_RETENTION_MS < now_ms:
                del self._loads[key]

    # Queries

    def choose(self, upstreams, *, rng, now_ms):
        """Return an upstream of a list for a new flow, or None if it is empty."""
        near, far = [], []
        for upstream in upstreams:
            group = near if upstream.announce.zone == self._zone else far
            group.append(self._candidate(upstream, now_ms))
        scale = _scale(near + far)
        near_cost, nearest = self._best(near, scale, rng, now_ms)
        far_cost, farther = self._best(far, scale, rng, now_ms)
        return nearest if near_cost <= far_cost + self._far_cost else farther

    def _candidate(self, upstream, now_ms):
        load = self._load(upstream.key, now_ms)
        own = self._own_flows(upstream.key) if self._guarded else 0
        return Candidate(upstream=upstream, load=load, own=own)

    def _best(self, group, scale, rng, now_ms):
        """Return cost and upstream of the better of a sample."""
        if not group:
            return math.inf, None
        scale = _scale(group) or scale
        pool = [one for one in group if self._is_open(one, rng, now_ms)]
        surcharge = 0.0 if pool else CLOSED_COST
        pool = pool or group
        sample = rng.sample(pool, min(self._sample_size, len(pool)))
        costs = [self._cost(candidate, scale) for candidate in sample]
        place = costs.index(min(costs))
        return costs[place] + surcharge, sample[place].upstream

    def _cost(self, candidate, scale):
        announce, load = candidate.upstream.announce, candidate.load
        flows = candidate.upstream.connections + load.asked
        flows = max(flows, scale * candidate.own)
        requests = load.outstanding / announce.slots
        return flows / announce.max_connections + self._request_weight * requests

    def _is_open(self, candidate, rng, now_ms):
        """Tell whether flows may go there; to a cold one they may at random."""
        upstream, load = candidate.upstream, candidate.load
        if upstream.connections + load.asked >= upstream.announce.max_connections:
            return False
        if load.shed_until_ms > now_ms:
            return False
        warm_ms = now_ms - upstream.slow_start_since_ms
        return warm_ms >= rng.random() * self._slow_start_ms

    def _load(self, key, now_ms):
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = Load(now_ms=now_ms)
        load.seen_ms = now_ms
        return load


def _scale(candidates):
    """Return how many flows stand for each own one, 0 if nothing tells.

    The upper median, without those that report fewer flows than this entry owns.
    """
    ratios = sorted(
        candidate.upstream.connections / candidate.own
        for candidate in candidates
        if 0 < candidate.own <= candidate.upstream.connections
    )
    return ratios[len(ratios) // 2] if ratios else 0.0
