"""knapweeddeal.balance: The choice of an upstream for a new flow."""

import math

__all__ = ["Balancer", "choose"]

#: Upstreams that are compared for one choice.
SAMPLE_SIZE = 2
#: Weight of requests per slot against connections per limit.
REQUEST_WEIGHT = 0.05
#: Share of the connection limit by which the own zone may be fuller than others.
FAR_COST = 0.05
#: Cost of a group whose upstreams are all full, cold or shedding.
CLOSED_COST = 10.0
#: Time in which an upstream that joined comes to its full share of new flows.
SLOW_START_MS = 20_000
#: Time from the first choice in which upstreams count as there from the start.
SETTLE_MS = 5_000
#: Time without new flows after an upstream turned one away.
SHED_PAUSE_MS = 2_000
#: Time without a sight of an upstream after which it is forgotten.
FORGET_MS = 60_000


def choose(upstreams, *, zone, rng):
    """Return an upstream of a list, or None if it is empty."""
    near = [upstream for upstream in upstreams if upstream.announce.zone == zone]
    pool = near or upstreams
    if not pool:
        return None
    sample = rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
    return min(sample, key=_load)


def _load(upstream):
    announce = upstream.announce
    return (
        upstream.outstanding / announce.slots,
        upstream.connections / announce.max_connections,
    )


class Load:
    """Hold what an entry knows of one upstream's load."""

    __slots__ = (
        "asked",
        "cold_until_ms",
        "connections",
        "outstanding",
        "own",
        "seen_ms",
        "shed_until_ms",
    )

    def __init__(self, *, now_ms, cold_until_ms):
        #: Flows and requests, as the upstream last reported them.
        self.connections = 0
        self.outstanding = 0
        #: Flows asked for here since that report.
        self.asked = 0
        #: Flows there that this entry owns.
        self.own = 0
        self.cold_until_ms = cold_until_ms
        self.shed_until_ms = now_ms
        self.seen_ms = now_ms


class Balancer:
    """Choose upstreams by reported connections and requests, zone and warmth."""

    __slots__ = (
        "_far_cost",
        "_guarded",
        "_loads",
        "_request_weight",
        "_sample_size",
        "_shed_pause_ms",
        "_slow_start_ms",
        "_started_ms",
        "_zone",
    )

    def __init__(
        self,
        *,
        zone,
        sample_size=SAMPLE_SIZE,
        request_weight=REQUEST_WEIGHT,
        far_cost=FAR_COST,
        slow_start_ms=SLOW_START_MS,
        shed_pause_ms=SHED_PAUSE_MS,
        guarded=True,
    ):
        self._zone = zone
        self._sample_size = sample_size
        self._request_weight = request_weight
        self._far_cost = far_cost
        self._slow_start_ms = slow_start_ms
        self._shed_pause_ms = shed_pause_ms
        #: Whether own flows bound from below what upstreams report.
        self._guarded = guarded
        self._loads = {}
        self._started_ms = None

    # Commands

    def reported(self, key, *, outstanding, connections, now_ms):
        """Take the load that came with an upstream's word on its stream."""
        load = self._known(key, now_ms)
        load.outstanding = outstanding
        load.connections = connections
        load.asked = 0

    def asked(self, key, *, now_ms):
        """Note that an upstream is asked to take a flow."""
        self._known(key, now_ms).asked += 1

    def shed(self, key, *, now_ms):
        """Note that an upstream turned a flow away."""
        self._known(key, now_ms).shed_until_ms = now_ms + self._shed_pause_ms

    def own(self, key, *, now_ms):
        """Note that this entry owns one flow more at an upstream."""
        self._known(key, now_ms).own += 1

    def disown(self, key):
        """Note that this entry owns one flow less at an upstream."""
        load = self._loads.get(key)
        if load is not None and load.own:
            load.own -= 1

    def sweep(self, *, now_ms):
        """Forget the upstreams that weren't seen for long and hold no flow."""
        for key, load in list(self._loads.items()):
            if not load.own and load.seen_ms + FORGET_MS < now_ms:
                del self._loads[key]

    # Queries

    def choose(self, upstreams, *, rng, now_ms):
        """Return an upstream of a list for a new flow, or None if it is empty."""
        near, far = [], []
        for upstream in upstreams:
            item = (upstream, self._see(upstream, now_ms))
            (near if upstream.announce.zone == self._zone else far).append(item)
        scale = _scale(near + far)
        near_cost, nearest = self._best(near, scale, rng, now_ms)
        far_cost, farther = self._best(far, scale, rng, now_ms)
        return nearest if near_cost <= far_cost + self._far_cost else farther

    def _best(self, group, scale, rng, now_ms):
        """Return cost and upstream of the better of a sample."""
        if not group:
            return math.inf, None
        scale = _scale(group) or scale
        pool = [item for item in group if self._is_open(*item, rng, now_ms)]
        surcharge = 0.0 if pool else CLOSED_COST
        pool = pool or group
        sample = rng.sample(pool, min(self._sample_size, len(pool)))
        costs = [self._cost(*item, scale) for item in sample]
        place = costs.index(min(costs))
        return costs[place] + surcharge, sample[place][0]

    def _cost(self, upstream, load, scale):
        announce = upstream.announce
        flows = load.connections + load.asked
        if self._guarded:
            flows = max(flows, scale * load.own)
        requests = load.outstanding / announce.slots
        return flows / announce.max_connections + self._request_weight * requests

    def _see(self, upstream, now_ms):
        load = self._known(upstream.key, now_ms)
        load.seen_ms = now_ms
        return load

    def _is_open(self, upstream, load, rng, now_ms):
        """Tell whether flows may go there; to a cold one they may at random."""
        if load.connections + load.asked >= upstream.announce.max_connections:
            return False
        if load.shed_until_ms > now_ms:
            return False
        cold_ms = load.cold_until_ms - now_ms
        return cold_ms <= 0 or rng.random() * self._slow_start_ms >= cold_ms

    def _known(self, key, now_ms):
        load = self._loads.get(key)
        if load is None:
            load = Load(now_ms=now_ms, cold_until_ms=self._cold_until_ms(now_ms))
            self._loads[key] = load
        return load

    def _cold_until_ms(self, now_ms):
        if self._started_ms is None:
            self._started_ms = now_ms
        if now_ms < self._started_ms + SETTLE_MS:
            return now_ms
        return now_ms + self._slow_start_ms


def _scale(known):
    """Return how many flows stand for each own one, 0 if nothing tells.

    The upper median, without those that report fewer flows than this entry owns.
    """
    ratios = sorted(
        load.connections / load.own
        for _, load in known
        if 0 < load.own <= load.connections
    )
    return ratios[len(ratios) // 2] if ratios else 0.0
