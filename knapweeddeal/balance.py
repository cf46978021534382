"""knapweeddeal.balance: The choice of an upstream for a new flow."""

import math

__all__ = ["Balancer", "choose"]

#: Upstreams that are compared for one choice.
SAMPLE_SIZE = 2


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
        "connections",
        "opened",
        "outstanding",
        "own",
        "reported_ms",
        "shed_until_ms",
    )

    def __init__(self, *, now_ms):
        #: Flows, as the upstream last reported, and those opened here since.
        self.connections = 0
        self.opened = 0
        #: Flows that this entry opened there and that didn't end.
        self.own = 0
        #: Smoothed requests outstanding, as the upstream reports them.
        self.outstanding = 0.0
        self.reported_ms = now_ms
        self.shed_until_ms = now_ms


class Balancer:
    """Choose upstreams for new flows by connections, requests and zone."""

    __slots__ = ("_loads", "_options", "_zone")

    def __init__(self, *, zone, **options):
        self._zone = zone
        self._loads = {}
        self._options = {
            "sample": 2,
            "far": 0.0,
            "weight": 0.0,
            "smoothing_ms": 2_000.0,
            "backoff_ms": 0.0,
            "guard": False,
            "near_first": False,
            **options,
        }

    # Commands

    def reported(self, key, outstanding, connections, *, now_ms):
        """Take the load that an upstream reported on the data path."""
        load = self._load(key, now_ms)
        age_ms = now_ms - load.reported_ms
        weight = 1.0 - math.exp(-age_ms / self._options["smoothing_ms"])
        load.outstanding += weight * (outstanding - load.outstanding)
        load.connections = connections
        load.opened = 0
        load.reported_ms = now_ms

    def opened(self, key, *, now_ms):
        """Note that a flow is asked for at an upstream."""
        load = self._load(key, now_ms)
        load.opened += 1

    def owned(self, key, change, *, now_ms):
        """Note that this entry's flows at an upstream grew or shrank."""
        self._load(key, now_ms).own += change

    def shed(self, key, *, now_ms):
        """Note that an upstream turned a flow away."""
        load = self._load(key, now_ms)
        load.shed_until_ms = now_ms + self._options["backoff_ms"]

    def forget(self, key):
        """Drop what is known of an upstream."""
        self._loads.pop(key, None)

    # Queries

    def choose(self, upstreams, *, rng, now_ms):
        """Return an upstream of a list, or None if it is empty."""
        if not upstreams:
            return None
        pool = [u for u in upstreams if not self._avoid(u, now_ms)] or upstreams
        if self._options["near_first"]:
            pool = [u for u in pool if u.announce.zone == self._zone] or pool
        sample = self._options["sample"]
        if sample and sample < len(pool):
            pool = rng.sample(pool, sample)
        scale = self._scale() if self._options["guard"] else 0.0
        scores = [(self._score(u, scale, now_ms), rng.random(), u) for u in pool]
        return min(scores)[2]

    def _avoid(self, upstream, now_ms):
        load = self._loads.get(upstream.key)
        if load is None:
            return False
        full = load.connections + load.opened >= upstream.announce.max_connections
        return full or load.shed_until_ms > now_ms

    def _score(self, upstream, scale, now_ms):
        announce = upstream.announce
        load = self._load(upstream.key, now_ms)
        connections = max(load.connections + load.opened, scale * load.own)
        score = connections / announce.max_connections
        score += self._options["weight"] * load.outstanding / announce.slots
        if announce.zone != self._zone:
            score += self._options["far"]
        return score

    def _scale(self):
        """Return how many flows stand in the pool for each one owned here."""
        ratios = sorted(
            load.connections / load.own for load in self._loads.values() if load.own
        )
        return ratios[len(ratios) // 2] if ratios else 0.0

    def _load(self, key, now_ms):
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = Load(now_ms=now_ms)
        return load
