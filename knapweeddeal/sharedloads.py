"""knapweeddeal.sharedloads: Load that all forwarders together put on upstreams.

A forwarder sees only its own flows: with 23 or 133 of them, each sees an idle service
while its zone is crowded or an upstream is slow. Control replicas push the sums
(`loadsums`). All forwarders get the same figures, half a second late, so a rule such as
"least load" would send them all to the same upstream. Figures therefore state shares of
flows, and each flow draws numbers to find out whether it belongs to the share.
"""

from knapweeddeal.record import Record

__all__ = ["FIGURES_LIFE_MS", "ServiceLoad", "SharedLoads"]

#: Age from which a figure counts as missing; replicas push twice a second.
FIGURES_LIFE_MS = 1_500
#: Added to the score of upstreams in the own zone for a flow that is to leave it: more
#: than the penalty of other zones (1.0), less than that of one without room.
LEAVE_PENALTY = 1.5
#: Added to the score of upstreams in another zone that has less room than others.
AVOID_PENALTY = 1.0
#: Least load that is assumed of an upstream from which flows are diverted.
MIN_DIVERTED_LOAD = 0.25
MILLI = 1_000
PERCENT = 100


class ServiceLoad(Record):
    """Hold the load of a service as the sums of all forwarders show it.

    `load_per_slot`: requests in progress or queued, per slot. `rejected_share`: share
    of requests that were rejected. `response_ms`: mean time until an answer began.
    `age_ms`: time since the figures arrived.
    """

    __slots__ = ("age_ms", "load_per_slot", "rejected_share", "response_ms")


class PushedLoad:
    """Hold the figures that were pushed of one service."""

    __slots__ = ("message", "received_ms", "upstreams", "zones")

    def __init__(self, *, message, now_ms):
        self.message = message
        self.received_ms = now_ms
        self.upstreams = {one.upstream_id: one for one in message.upstreams}
        self.zones = {one.zone: one for one in message.zones}


class FlowShares:
    """Apply to one flow the shares that it belongs to by the numbers it drew."""

    __slots__ = ("_diverting", "_zone_penalties")

    def __init__(self, *, diverting, zone_penalties):
        #: The `UpstreamLoad` of upstreams from which the flow is diverted, by id.
        self._diverting = diverting
        #: Penalties of zones for the flow, by name.
        self._zone_penalties = zone_penalties

    def adjusted_score(self, score, state):
        """Return an upstream's score with the load of other forwarders.

        `score` holds the forwarder's own load per slot.
        """
        load = self._diverting.get(state.upstream_id)
        if load is not None:
            others = max(load.load_milli / MILLI, MIN_DIVERTED_LOAD)
            score = (score + others) * max(load.slowness_percent / PERCENT, 1.0)
        return score + self._zone_penalties.get(state.zone, 0.0)


class SharedLoads:
    """Hold the pushed loads by service; they count as missing when too old."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def apply(self, push, now_ms):
        """Apply a push; return the names of services that had no figures before."""
        added = [
            message.service
            for message in push.services
            if self._get(message.service, now_ms) is None
        ]
        for message in push.services:
            pushed = PushedLoad(message=message, now_ms=now_ms)
            self._by_service[message.service] = pushed
        return added

    def expire(self, now_ms):
        """Remove figures that are too old; return the names of their services."""
        expired = [
            service
            for service in self._by_service
            if self._get(service, now_ms) is None
        ]
        for service in expired:
            del self._by_service[service]
        return expired

    def draw(self, service, zone, random, now_ms):
        """Return the shares that a new flow from a zone belongs to, or None."""
        pushed = self._get(service, now_ms)
        if pushed is None:
            return None
        divert_draw, leave_draw = random() * MILLI, random() * MILLI
        avoid_draw = random() * MILLI
        diverting = {
            name: load
            for name, load in pushed.upstreams.items()
            if divert_draw < load.divert_milli
        }
        zone_penalties = {}
        for name, room in pushed.zones.items():
            if name == zone:
                if leave_draw < room.leave_milli:
                    zone_penalties[name] = LEAVE_PENALTY
            elif avoid_draw < room.avoid_milli:
                zone_penalties[name] = AVOID_PENALTY
        if not diverting and not zone_penalties:
            return None
        return FlowShares(diverting=diverting, zone_penalties=zone_penalties)

    def service_load(self, service, now_ms):
        """Return the `ServiceLoad` of a service, or None if it is missing."""
        pushed = self._get(service, now_ms)
        if pushed is None:
            return None
        message = pushed.message
        return ServiceLoad(
            load_per_slot=message.load_milli / MILLI,
            rejected_share=message.rejected_milli / MILLI,
            response_ms=message.response_ms,
            age_ms=now_ms - pushed.received_ms,
        )

    def upstream_figures(self, state, now_ms):
        """Return (figures by name, time of receipt) of a listed upstream, or None."""
        pushed = self._get(state.service, now_ms)
        load = pushed.upstreams.get(state.upstream_id) if pushed is not None else None
        if load is None:
            return None
        figures = {
            "shared_load": load.load_milli / MILLI,
            "slowness": load.slowness_percent / PERCENT,
            "diverted_share": load.divert_milli / MILLI,
        }
        return figures, pushed.received_ms

    def dump(self, now_ms):
        """Return the figures for the state dump, by service."""
        return {
            service: {
                "age_ms": now_ms - pushed.received_ms,
                "load_milli": pushed.message.load_milli,
                "rejected_milli": pushed.message.rejected_milli,
                "response_ms": pushed.message.response_ms,
                "upstreams": {
                    name: [load.load_milli, load.slowness_percent, load.divert_milli]
                    for name, load in pushed.upstreams.items()
                },
                "zones": {
                    name: [room.leave_milli, room.avoid_milli]
                    for name, room in pushed.zones.items()
                },
            }
            for service, pushed in self._by_service.items()
        }

    def _get(self, service, now_ms):
        pushed = self._by_service.get(service)
        if pushed is None or now_ms - pushed.received_ms >= FIGURES_LIFE_MS:
            return None
        return pushed
