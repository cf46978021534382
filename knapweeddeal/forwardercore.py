"""knapweeddeal.forwardercore: State of a forwarder, and its updates."""

from types import MappingProxyType

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.egressqueue import EgressQueue
from knapweeddeal.logs import Log
from knapweeddeal.messages.cold import ColdAllowance
from knapweeddeal.messages.loads import RequestCounts, UpstreamLoads
from knapweeddeal.messages.packets import (
    ROUTE_KEY_BYTES,
    ControlState,
    RoutesPush,
    UpstreamsPush,
    ZonesPush,
)
from knapweeddeal.packetadmission import PacketAdmission
from knapweeddeal.packetforwarder import Forwarder
from knapweeddeal.packetroutes import RouteTable
from knapweeddeal.packetupstreams import UpstreamPool
from knapweeddeal.record import printed_name
from knapweeddeal.upstreamechoes import log_echo_move

__all__ = ["ForwarderCore", "Subscription"]

log = Log(prefix="forwarder")


class Subscription:
    """Hold the state of the stream from one control replica."""

    __slots__ = ("address", "has_leader", "identity", "needs_full_routes", "outbox")
    __slots__ += ("stale_since_ms",)

    def __init__(self, *, address, now_ms):
        self.address = address
        #: Identity of the replica, once it is known, and the queue of its stream.
        self.identity = None
        self.outbox = None
        self.has_leader = False
        #: Whether the last push was based on a revision that isn't held here.
        self.needs_full_routes = False
        #: Since when the replica has had no leader, if it has none.
        self.stale_since_ms = now_ms


class ForwarderCore:
    """Own routes and upstreams; its methods don't block."""

    __slots__ = (
        "_random",
        "_selector",
        "_subscriptions",
        "admission",
        "egress",
        "forwarder",
        "metrics",
        "pool",
    )
    __slots__ += ("routes", "stopping")

    def __init__(self, *, settings, selector, random, metrics):
        self._selector = selector
        self._random = random
        self.metrics = metrics
        #: Streams from replicas, the oldest first.
        self._subscriptions = []
        self.routes = RouteTable()
        self.pool = UpstreamPool(zone=settings.zone, random=random)
        self.egress = EgressQueue(
            metrics=metrics, log=log, link_mbps=settings.link_mbps
        )
        self.admission = PacketAdmission(
            service_load=self.pool.service_load, metrics=metrics, log=log
        )
        self.forwarder = Forwarder(
            routes=self.routes,
            pool=self.pool,
            egress=self.egress,
            random=random,
            metrics=metrics,
            log=log,
            caller_port=settings.packets[1],
            flow_idle_ms=settings.packet_flow_idle_ms,
        )
        self.set_admission(settings.admission)
        self.stopping = False

    # Queries.

    @property
    def is_ready(self):
        """Return whether routes and upstreams are known, and no stop has begun."""
        is_informed = self.routes.revision > 0 and self.pool.has_upstreams
        return is_informed and not self.stopping

    def dump(self):
        """Return the state for the dump, by key."""
        return {
            "ready": self.is_ready,
            "stopping": self.stopping,
            "revision": self.routes.revision,
            "routes": len(self.routes),
            "evacuation_version": self.pool.evacuation_version,
            "evacuated_zones": sorted(self.pool.evacuated),
            "current": self.forwarder.has_leader,
            "subscriptions": [s.address for s in self._subscriptions],
            "replicas": self._selector.addresses,
            "flows": self.forwarder.flow_count,
            "egress": self.egress.dump(),
            "cold_syns_held": len(self.forwarder.cold_permits.held),
            "loads": self.pool.shared_loads.dump(monotonic_ms()),
            "admission": self.admission.dump(monotonic_ms()),
            "upstreams": [_dump_upstream(upstream) for upstream in self.pool.all()],
            "metrics": self.metrics.summary(),
        }

    def where(self, request, now_ms):
        """Return where a new flow would go now, from a `WhereRequest`.

        Raise NoRouteError, or BadMessageError for an address that isn't IPv4.
        """
        # Imported when an operator asks, as it isn't needed for packets.
        from knapweeddeal.dryrun import copy_of_source, where

        return where(
            request,
            forwarder=self.forwarder,
            routes=self.routes,
            pool=self.pool,
            backlog_ms=self.egress.backlog_ms,
            random=copy_of_source(self._random),
            now_ms=now_ms,
        )

    def has_other_subscription(self, subscription):
        """Return whether a stream from another replica is up."""
        return any(other is not subscription for other in self._subscriptions)

    def is_report_target(self, subscription):
        """Return whether this replica is the one that receives the answer counts."""
        return self._subscriptions[:1] == [subscription]

    def subscription_for(self, home):
        """Return the stream for requests to a replica, else the oldest, or None."""
        streams = [s for s in self._subscriptions if s.outbox is not None]
        homes = [stream for stream in streams if stream.identity == home]
        return next(iter([*homes, *streams]), None)

    # Commands.

    def add_subscription(self, subscription):
        """Add a stream from a replica."""
        self._subscriptions.append(subscription)
        self.forwarder.is_connected = True

    def remove_subscription(self, subscription, why):
        """Remove a stream; the routes and upstreams received over it are kept."""
        if subscription not in self._subscriptions:
            return
        self._subscriptions.remove(subscription)
        self.forwarder.is_connected = bool(self._subscriptions)
        self._update_current()
        log.warning(
            "lost the stream from a control replica",
            replica=subscription.address,
            why=why,
            left=len(self._subscriptions),
        )

    def pop_request_counts(self, now_ms):
        """Return a message with the requests counted since the last call, or None."""
        totals = self.forwarder.pop_request_totals(now_ms)
        return RequestCounts.of(totals) if totals else None

    def pop_cold_requests(self, now_ms):
        """Return requests for permits, each with the stream to send it on."""
        permits = self.forwarder.cold_permits
        if self.subscription_for(0) is None:
            permits.drop_late_requests(now_ms)
            return []
        return [
            (message, self.subscription_for(home))
            for message, home in permits.pop_requests(now_ms)
        ]

    def set_admission(self, choice):
        """Refuse and delay flows by their value if the setting is `on`."""
        is_on = choice == "on"
        self.forwarder.set_admission(self.admission if is_on else None)
        self.egress.set_routes(self.routes if is_on else None)

    def stop(self):
        """Become not ready; packets are still forwarded."""
        self.stopping = True

    def handle_message(self, message, subscription, now_ms):
        """Handle a message from a replica; drop one of another type."""
        handler = self.HANDLERS.get(type(message))
        if handler is None:
            log.warning(
                "dropped a message of an unexpected type", kind=printed_name(message)
            )
            return
        handler(self, message, subscription, now_ms)

    def _handle_control_state(self, message, subscription, now_ms):
        self._update_subscription(message, subscription, now_ms)
        self._selector.set_zone(subscription.address, message.zone)
        addresses = [(replica.host, replica.port) for replica in message.replicas]
        if message.current and addresses:
            self._selector.set_members(addresses, now_ms)
        else:
            self._selector.add_addresses(addresses)
        for replica in message.replicas:
            if (replica.host, replica.port) == subscription.address:
                subscription.identity = replica.identity

    def _update_subscription(self, message, subscription, now_ms):
        if message.current == subscription.has_leader:
            return
        subscription.stale_since_ms = now_ms
        subscription.has_leader = message.current
        log.info(
            "replica gained or lost its leader",
            replica=subscription.address,
            current=message.current,
            revision=message.revision,
        )
        self._update_current()

    def _update_current(self):
        self.forwarder.has_leader = any(s.has_leader for s in self._subscriptions)

    def _handle_routes(self, message, subscription, now_ms):
        before = self.routes.revision
        if message.revision > before and not self.routes.can_apply(message):
            subscription.needs_full_routes = True
            log.info(
                "requested all routes",
                revision=before,
                pushed=message.revision,
                base=message.base,
                replica=subscription.address,
            )
        if self.routes.apply(message):
            log.info(
                "applied a push of routes",
                revision=message.revision,
                before=before,
                base=message.base,
                changed=sum(len(g.keys) for g in message.groups) // ROUTE_KEY_BYTES,
                dropped=len(message.dropped) // ROUTE_KEY_BYTES,
                replica=subscription.address,
            )
            self.metrics.count("route_changes")

    def _handle_zones(self, message, subscription, now_ms):
        before = self.pool.evacuated
        if not self.pool.set_evacuated(message, self.routes.services, now_ms):
            return
        log.info(
            "applied a push of evacuated zones",
            version=message.version,
            evacuated=sorted(message.zones),
            readmitted=sorted(before.difference(message.zones)),
            replica=subscription.address,
        )
        self.metrics.count("evacuation_changes")

    def _handle_upstreams(self, message, subscription, now_ms):
        changed_states = self.pool.apply_states(
            message.states,
            now_ms,
            current=subscription.has_leader,
            whole=message.whole,
        )
        for move in self.pool.pop_echo_moves():
            log_echo_move(move, log=log, metrics=self.metrics)
        for state in changed_states:
            log.info(
                "received a new state of an upstream",
                upstream=state.upstream_id,
                service=state.service,
                zone=state.zone,
                status=state.status,
                silent=state.silent,
                failing=state.failing,
                hint=state.hint,
                born_ms=state.born_ms,
                sequence=state.sequence,
                replica=subscription.address,
            )

    def _handle_cold_allowance(self, message, subscription, now_ms):
        upstream = self.forwarder.apply_cold_allowance(message, now_ms)
        if upstream is not None and not message.count:
            log.info(
                "was refused a permit for a cold upstream",
                upstream=message.upstream_id,
                retry_ms=message.retry_ms,
                replica=subscription.address,
            )

    def _handle_loads(self, message, subscription, now_ms):
        self.metrics.count("load_pushes")
        self.expire_loads(now_ms)
        added = self.pool.shared_loads.apply(message, now_ms)
        for service in added:
            load = self.pool.service_load(service, now_ms)
            log.info(
                "received the load of a service",
                service=service,
                load=load.load_per_slot,
                rejected=load.rejected_share,
                response_ms=load.response_ms,
                replica=subscription.address,
            )

    def expire_loads(self, now_ms):
        """Remove loads that are too old: selection goes by own counts again."""
        for service in self.pool.shared_loads.expire(now_ms):
            self.metrics.count("loads_expired")
            log.info("the load of a service expired", service=service)

    #: Handlers by message type, as importing `singledispatch` also imports `typing`,
    #: which delays the start too much at a small share of a core.
    HANDLERS = MappingProxyType(
        {
            ColdAllowance: _handle_cold_allowance,
            ControlState: _handle_control_state,
            RoutesPush: _handle_routes,
            UpstreamLoads: _handle_loads,
            UpstreamsPush: _handle_upstreams,
            ZonesPush: _handle_zones,
        }
    )


def _dump_upstream(upstream):
    state = upstream.state
    return {
        "upstream": state.upstream_id,
        "service": state.service,
        "address": upstream.address,
        "status": state.status,
        "silent": state.silent,
        "failing": state.failing,
        "echo": upstream.echo.hex(),
        "echo_index": state.echo_index,
        "open_flows": upstream.open_flows,
        "answered_ms": upstream.answered_ms,
        "suspect_until_ms": upstream.suspect_until_ms,
        "cold_until_ms": upstream.cold_until_ms,
        "permits": len(upstream.permits),
        "refused_until_ms": upstream.refused_until_ms,
    }
