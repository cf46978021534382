"""knapweeddeal.responsetimes: Response times of upstreams, seen from callers' packets.

Load pattern: one upstream answers slowly, or those of one availability zone get more
requests than they have slots for, while others of the service are idle. Each forwarder
sees only a part of the requests, so the load that it adds itself doesn't tell.
"""

import math

__all__ = ["ResponseTimes"]

#: Weight of a new response time in the mean of an upstream.
UPSTREAM_WEIGHT = 0.3
#: Weights in the baseline of a service, of a longer and of a shorter response time: if
#: all upstreams that a forwarder chooses turn slow, the baseline stays for a while.
RISE_WEIGHT = 0.01
FALL_WEIGHT = 0.05
#: Ratio to the service's baseline up to which an upstream isn't slow.
NORMAL_RATIO = 1.5
#: Largest slowness: load per slot that is added for a slow upstream.
MAX_SLOWNESS = 3.0
#: Half-life of the slowness of an upstream without requests, until it is tried again.
SLOWNESS_HALF_LIFE_MS = 1_000.0


class UpstreamTimes:
    """Hold the mean response time of an upstream, and its slowness when it was seen."""

    __slots__ = ("mean_ms", "seen_ms", "slowness")

    def __init__(self, *, mean_ms):
        self.mean_ms = mean_ms
        self.slowness = 0.0
        self.seen_ms = 0


class ResponseTimes:
    """Compare the response times of each upstream with its service's baseline."""

    __slots__ = ("_baselines_ms", "_upstreams")

    def __init__(self):
        #: Usual response time by service.
        self._baselines_ms = {}
        self._upstreams = {}

    def slowness(self, upstream_id, now_ms):
        """Return the load per slot to add for an upstream; 0 if it isn't slow."""
        times = self._upstreams.get(upstream_id)
        if times is None or not times.slowness:
            return 0.0
        elapsed_ms = now_ms - times.seen_ms
        return times.slowness * math.exp2(-elapsed_ms / SLOWNESS_HALF_LIFE_MS)

    def record(self, service, upstream_id, response_ms, now_ms):
        """Add a response time."""
        baseline_ms = self._update_baseline(service, response_ms)
        times = self._upstreams.get(upstream_id)
        if times is None:
            times = UpstreamTimes(mean_ms=baseline_ms)
            self._upstreams[upstream_id] = times
        times.mean_ms += UPSTREAM_WEIGHT * (response_ms - times.mean_ms)
        times.seen_ms = now_ms
        ratio = times.mean_ms / baseline_ms
        times.slowness = min(max(ratio - NORMAL_RATIO, 0.0), MAX_SLOWNESS)

    def _update_baseline(self, service, response_ms):
        baseline_ms = self._baselines_ms.get(service, response_ms)
        excess_ms = response_ms - baseline_ms
        baseline_ms += (RISE_WEIGHT if excess_ms > 0 else FALL_WEIGHT) * excess_ms
        self._baselines_ms[service] = baseline_ms
        return baseline_ms

    def forget(self, upstream_id):
        """Remove an upstream."""
        self._upstreams.pop(upstream_id, None)
