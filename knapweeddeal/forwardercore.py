"""knapweeddeal.forwardercore: What a forwarder believes, and what changes that."""

from types import MappingProxyType

from knapweeddeal.logs import Log
from knapweeddeal.messages.packets import (
    ROUTE_KEY_BYTES,
    AnswerCounts,
    ControlState,
    RoutesPush,
    UpstreamsPush,
)
from knapweeddeal.packetforwarder import Forwarder
from knapweeddeal.packetroutes import RouteTable
from knapweeddeal.packetupstreams import UpstreamPool
from knapweeddeal.record import printed_name

__all__ = ["ForwarderCore", "Subscription"]

log = Log(prefix="forwarder")


class Subscription:
    """Hold what one replica told over one stream."""

    __slots__ = ("address", "current", "needs_full_routes", "stale_since_ms")

    def __init__(self, *, address, now_ms):
        self.address = address
        self.current = False
        #: Whether the last push was made on a revision that isn't held here.
        self.needs_full_routes = False
        #: Since when the replica hears no leader.
        self.stale_since_ms = now_ms


class ForwarderCore:
    """Own routes and upstreams; the tasks of the process call it between waits."""

    __slots__ = ("_choice", "_subscriptions", "forwarder", "metrics", "pool")
    __slots__ += ("routes", "stopping")

    def __init__(self, *, settings, choice, random, metrics):
        self._choice = choice
        self.metrics = metrics
        #: Streams from replicas, the oldest first.
        self._subscriptions = []
        self.routes = RouteTable()
        self.pool = UpstreamPool(zone=settings.zone, random=random)
        self.forwarder = Forwarder(
            routes=self.routes,
            pool=self.pool,
            random=random,
            metrics=metrics,
            log=log,
            caller_port=settings.packets[1],
            flow_idle_ms=settings.packet_flow_idle_ms,
        )
        self.stopping = False

    # Queries.

    @property
    def is_ready(self):
        """Tell whether new flows may come: routes and upstreams are known."""
        known = self.routes.revision > 0 and self.pool.has_upstreams
        return known and not self.stopping

    def dump(self):
        """Return the state by name, for the dump."""
        return {
            "ready": self.is_ready,
            "stopping": self.stopping,
            "revision": self.routes.revision,
            "routes": len(self.routes),
            "current": self.forwarder.current,
            "subscriptions": [s.address for s in self._subscriptions],
            "replicas": self._choice.addresses,
            "flows": self.forwarder.flow_count,
            "upstreams": [_upstream(upstream) for upstream in self.pool.all()],
            "metrics": self.metrics.summary(),
        }

    def has_other_subscription(self, subscription):
        """Tell whether another replica's stream is up."""
        return any(other is not subscription for other in self._subscriptions)

    def is_report_target(self, subscription):
        """Tell whether a replica is the one that gets what flows show."""
        return self._subscriptions[:1] == [subscription]

    # Commands.

    def add_subscription(self, subscription):
        """Use a stream from a replica."""
        self._subscriptions.append(subscription)

    def remove_subscription(self, subscription, why):
        """Stop using a stream; what it told stays."""
        if subscription not in self._subscriptions:
            return
        self._subscriptions.remove(subscription)
        self._update_current()
        log.warning(
            "loses a control replica",
            replica=subscription.address,
            why=why,
            left=len(self._subscriptions),
        )

    def pop_answer_counts(self, now_ms):
        """Return a message with what flows showed since the last call, or None."""
        counts = self.forwarder.pop_answer_counts(now_ms)
        return AnswerCounts.of(sender=0, counts=counts) if counts else None

    def stop(self):
        """Turn not ready; packets are still forwarded."""
        self.stopping = True

    def handle_message(self, message, subscription, now_ms):
        """Take what a replica sent; drop what it doesn't send."""
        take = self.TAKES.get(type(message))
        if take is None:
            log.warning("drops a message", kind=printed_name(message))
            return
        take(self, message, subscription, now_ms)

    def _take_state(self, message, subscription, now_ms):
        self._note_current(message, subscription, now_ms)
        self._choice.set_zone(subscription.address, message.zone)
        self._choice.add_addresses((r.host, r.port) for r in message.replicas)

    def _note_current(self, message, subscription, now_ms):
        if message.current == subscription.current:
            return
        subscription.stale_since_ms = now_ms
        subscription.current = message.current
        log.info(
            "hears whether a replica has a leader",
            replica=subscription.address,
            current=message.current,
            revision=message.revision,
        )
        self._update_current()

    def _update_current(self):
        self.forwarder.current = any(s.current for s in self._subscriptions)

    def _take_routes(self, message, subscription, now_ms):
        before = self.routes.revision
        if message.revision > before and not self.routes.can_apply(message):
            subscription.needs_full_routes = True
            log.info(
                "asks for all routes",
                revision=before,
                pushed=message.revision,
                base=message.base,
                replica=subscription.address,
            )
        if self.routes.apply(message):
            log.info(
                "applies routes",
                revision=message.revision,
                before=before,
                base=message.base,
                changed=sum(len(g.keys) for g in message.groups) // ROUTE_KEY_BYTES,
                dropped=len(message.dropped) // ROUTE_KEY_BYTES,
                replica=subscription.address,
            )
            self.metrics.count("route_changes")

    def _take_upstreams(self, message, subscription, now_ms):
        news = self.pool.apply_states(
            message.states, now_ms, current=subscription.current
        )
        for state in news:
            log.info(
                "learns of an upstream",
                upstream=state.upstream_id,
                service=state.service,
                status=state.status,
                silent=state.silent,
                failing=state.failing,
                hint=state.hint,
                born_ms=state.born_ms,
                sequence=state.sequence,
                replica=subscription.address,
            )

    #: What takes each message; `singledispatch` imports `typing`, which a start at a
    #: small share of a core has no time for.
    TAKES = MappingProxyType(
        {
            ControlState: _take_state,
            RoutesPush: _take_routes,
            UpstreamsPush: _take_upstreams,
        }
    )


def _upstream(upstream):
    state = upstream.state
    return {
        "upstream": state.upstream_id,
        "service": state.service,
        "address": upstream.address,
        "status": state.status,
        "silent": state.silent,
        "failing": state.failing,
        "open_flows": upstream.open_flows,
        "answered_ms": upstream.answered_ms,
        "suspect_until_ms": upstream.suspect_until_ms,
    }
