"""knapweeddeal.packetforwarder: Routing of each packet in a forwarder.

This module does no I/O: it receives packets and the time, and returns the packets
to send.
"""

from collections import deque

from knapweeddeal.answertracker import AnswerTracker
from knapweeddeal.clock import earliest
from knapweeddeal.coldpermits import MAX_SYN_HOLD_MS, ColdPermits, ExpiringPayload
from knapweeddeal.flowvalue import WaitingFlow, pick_waiting
from knapweeddeal.heldpackets import HeldPackets
from knapweeddeal.messages.packets import NO_ROUTE_TERMS, ROUTE_KEY_BYTES
from knapweeddeal.packetheader import (
    ECHO_SLICE,
    FIN,
    FLOW_SLICE,
    PACKET_HEADER_BYTES,
    ROUTE_SLICE,
    RST,
    SYN,
    UPSTREAM_PREFIX_BYTES,
    build_reset,
    describe_flow,
    flow_caller_host,
)
from knapweeddeal.record import Record

__all__ = [
    "BACKLOG",
    "HEDGE_DELAY_MS",
    "NO_PERMIT",
    "NO_UPSTREAM",
    "SELECTION_REFUSALS",
    "UNKNOWN_UPSTREAMS",
    "ZONE_EVACUATED",
    "Forwarder",
    "SynDecision",
]

#: Time after which an unanswered SYN is also sent to a second upstream. Callers are
#: up to 3 ms away, availability zones 1.4 ms apart, and an upstream answers a SYN in
#: less than 1 ms: the caller's next packet arrives within 11 ms.
HEDGE_DELAY_MS = 30

#: Upstreams that one SYN is sent to before the caller retransmits it. Two upstreams
#: that end at the same moment may both be chosen, so two aren't enough.
MAX_UPSTREAMS_TRIED = 3
#: Load that a SYN adds to an upstream, as a request follows it.
SYN_LOAD = 1.0
#: Load that a packet with data adds to an upstream.
DATA_LOAD = 1.0
US_PER_MS = 1_000
#: Retransmissions of a SYN after which no further one follows.
LAST_SYN_COPY = 2
#: Position of the data length in the header.
LENGTH_SLICE = slice(6, 8)
NO_DATA = b"\0\0"
#: Offset of the byte that holds how often a SYN was retransmitted.
COPY_OFFSET = 12
#: Position of the sequence number in the header.
SEQUENCE_SLICE = slice(8, 12)
#: Position of the acknowledgement number in the header.
ACKNOWLEDGED_SLICE = slice(12, 16)
#: Position of the echo in the bytes for an upstream.
PAYLOAD_ECHO_START = UPSTREAM_PREFIX_BYTES + ECHO_SLICE.start
PAYLOAD_ECHO_STOP = UPSTREAM_PREFIX_BYTES + ECHO_SLICE.stop
#: Longest age of an entry in the flow table.
MAX_FLOW_AGE_MS = 60_000
#: Size limit of the flow table; beyond it the oldest flows are removed.
MAX_FLOWS = 200_000


#: Why a SYN gets no upstream. It is reset, except for `UNKNOWN_UPSTREAMS`: then it is
#: dropped, as a retransmission may meet a forwarder that knows some.
BACKLOG = "egress backlog"
NO_PERMIT = "no permit"
NO_UPSTREAM = "no upstream"
OVERLOADED = "service overloaded"
UNKNOWN_UPSTREAMS = "upstreams unknown"
ZONE_EVACUATED = "zone evacuated"
#: Refusals for want of an upstream; admission gives all others.
SELECTION_REFUSALS = (NO_PERMIT, NO_UPSTREAM, UNKNOWN_UPSTREAMS, ZONE_EVACUATED)


class SynDecision(Record):
    """Hold the service and upstream of a SYN, or why it is refused.

    `is_duplicate`: the first SYN of the flow was sent to this upstream already.
    `overload`: the figures for which admission control refused it, or None.
    `waits_for_permit`: the upstream is cold, and its home must permit the SYN first.
    """

    __slots__ = (
        "is_duplicate",
        "overload",
        "refusal",
        "service",
        "upstream",
        "waits_for_permit",
    )


class Hedge(Record):
    """Hold a SYN to send to another upstream if the first one doesn't answer."""

    __slots__ = ("data", "due_ms", "key", "service")


class Flow:
    """Hold an entry of the flow table; packets are routed correctly without it."""

    __slots__ = ("echo", "is_open", "opened_ms", "request", "seen_ms", "tried")
    __slots__ += ("request_ack", "timed_request", "upstream")

    def __init__(self, *, upstream, now_ms):
        self.set_upstream(upstream, upstream.echo)
        self.tried = []
        self.opened_ms = now_ms
        self.seen_ms = now_ms
        self.is_open = False
        #: The last request, as returned by `AnswerTracker`.
        self.request = None
        #: The request whose answer is timed, and its acknowledgment number.
        self.timed_request = None
        self.request_ack = b""

    def set_upstream(self, upstream, echo):
        """Set the upstream, and the echo that its packets had at that time."""
        self.upstream = upstream
        self.echo = echo


class Forwarder:
    """Choose an upstream at the SYN, then route by the echo; reset unroutable flows."""

    __slots__ = (
        "_admission",
        "_caller_port",
        "_egress",
        "_flow_idle_ms",
        "_flows",
        "_hedges",
        "_held",
        "_is_informed",
        "_log",
        "_metrics",
        "_pool",
        "_random",
        "_routes",
        "_answer_tracker",
        "cold_permits",
        "has_leader",
        "is_connected",
    )

    def __init__(
        self,
        *,
        routes,
        pool,
        egress,
        random,
        metrics,
        log,
        caller_port,
        flow_idle_ms,
        admission=None,
    ):
        self._routes = routes
        #: The `PacketAdmission`, or None to admit all new flows.
        self.set_admission(admission)
        self._pool = pool
        self._egress = egress
        self._random = random
        self._metrics = metrics
        self._log = log
        self._caller_port = caller_port
        self._flow_idle_ms = flow_idle_ms
        self._flows = {}
        self._answer_tracker = AnswerTracker()
        #: SYNs without an answer, the oldest first.
        self._hedges = deque()
        #: Packets that arrived before routes and upstreams; None once all went on.
        self._held = HeldPackets()
        self._is_informed = False
        #: Permits for opening packets to cold upstreams of services that state a rate.
        self.cold_permits = ColdPermits(metrics=metrics)
        #: Whether a replica pushes states of upstreams.
        self.is_connected = True
        #: Whether a replica that has a leader supplies the routes and upstreams.
        self.has_leader = False

    def set_admission(self, admission):
        """Decide on new flows by a `PacketAdmission`, or admit all if it is None."""
        self._admission = admission

    @property
    def flow_count(self):
        """Return the number of flows in the flow table."""
        return len(self._flows)

    def handle_packet(self, data, now_ms, out):
        """Append the packets to send, as (bytes, address) pairs, to `out`."""
        if len(data) < PACKET_HEADER_BYTES:
            self._metrics.count("packets_short")
            return
        if self._held is not None and self._hold(data, now_ms):
            return
        route = self._routes.get(data[ROUTE_SLICE])
        if route is None:
            self._handle_unrouted(data, out)
        elif data[0] & SYN:
            self._handle_syn(data, route, now_ms, out)
        else:
            self._handle_later_packet(data, route, now_ms, out)

    # Packets before the first routes and upstreams.

    def _hold(self, data, now_ms):
        """Hold a packet that can't be routed yet; return whether it is held."""
        if self._is_informed or self._has_state():
            self._held.discard_copy(data)
            return False
        self._held.hold(data, now_ms)
        self._metrics.count("packets_held")
        return True

    @property
    def is_holding(self):
        """Return whether new packets are held, as routes or upstreams are unknown."""
        if self._held is None or self._is_informed:
            return False
        return not self._has_state()

    def _has_state(self):
        """Return whether routes are known, and upstreams or that there are none."""
        if not self._routes.revision:
            return False
        is_empty = self.has_leader and self._pool.is_pushed
        return is_empty or self._pool.has_upstreams

    def release_held(self, now_ms, out):
        """Forward held packets that are due, once routes and upstreams are known."""
        if self._held is None:
            return
        if not self._is_informed:
            if not self._has_state():
                return
            self._is_informed = True
            if self._held:
                self._log.info("releases held packets", packets=len(self._held))
            self._held.start_release(now_ms)
        for data in self._held.pop_due(now_ms):
            self.handle_packet(data, now_ms, out)
        if self._held.next_due_ms is None:
            self._held = None

    # Packets without a route.

    def _handle_unrouted(self, data, out):
        """Reset a flow whose route was removed, or a new one if routes are current.

        Otherwise the route may only be missing here, and an open flow must survive.
        """
        if data[0] & RST:
            return
        is_dropped = data[ROUTE_SLICE] in self._routes.dropped
        if is_dropped or (data[0] & SYN and self.has_leader):
            self._reset(data, out, "no route", revision=self._routes.revision)
        else:
            self._metrics.count("packets_unrouted")

    def _reset(self, data, out, reason, **inputs):
        self._metrics.count("resets")
        self._log.info(
            "reset a flow", flow=describe_flow(data), reason=reason, **inputs
        )
        out.append((build_reset(data), (flow_caller_host(data), self._caller_port)))

    # SYNs.

    def decide_syn(self, key, copy, route, now_ms, *, random, admission, ranked=None):
        """Return the decision on a SYN; change nothing but `admission`.

        `key` is the flow's key, `copy` how often the SYN was retransmitted. `random`
        and `ranked` are as for `UpstreamPool.choose`. `admission` counts the flow; a
        dry run passes a copy, from `copy_admission`.
        """
        flow = self._flows.get(key)
        if self._is_duplicate(flow, copy):
            return SynDecision(
                service=flow.upstream.state.service,
                upstream=flow.upstream,
                refusal="",
                is_duplicate=True,
                overload=None,
                waits_for_permit=False,
            )
        service, upstream, waits, overload = "", None, False, None
        is_new = flow is None and not copy
        refusal = self._refusal(key, now_ms) if is_new else ""
        if not refusal:
            service = route.pick_service(random())
            if is_new and admission is not None and route.terms.kind:
                overload = admission.refuse(service, route.terms, key, now_ms)
                refusal = OVERLOADED if overload is not None else ""
        if not refusal:
            upstream = self._choose(service, flow, now_ms, random=random, ranked=ranked)
            if upstream is None:
                refusal = self._selection_refusal(service)
            elif not self._may_offer(upstream, now_ms):
                waits = now_ms >= upstream.refused_until_ms
                refusal = "" if waits else NO_PERMIT
        return SynDecision(
            service=service,
            upstream=upstream,
            refusal=refusal,
            is_duplicate=False,
            overload=overload,
            waits_for_permit=waits,
        )

    def copy_admission(self):
        """Return a copy of the admission control for a dry run, or None."""
        return self._admission.copy() if self._admission is not None else None

    def _selection_refusal(self, service):
        """Return why no upstream of a service can be selected."""
        if self._pool.has_only_evacuated(service):
            return ZONE_EVACUATED
        return NO_UPSTREAM if self.has_leader else UNKNOWN_UPSTREAMS

    def _refusal(self, key, now_ms):
        """Return why the first SYN of a new flow is reset at once, or "".

        A retransmitted SYN isn't refused: the flow may have opened through another
        forwarder.
        """
        return BACKLOG if self._egress.refuses(key[:ROUTE_KEY_BYTES], now_ms) else ""

    def _handle_syn(self, data, route, now_ms, out):
        key = data[FLOW_SLICE]
        decision = self.decide_syn(
            key,
            data[COPY_OFFSET],
            route,
            now_ms,
            random=self._random,
            admission=self._admission,
        )
        upstream, service = decision.upstream, decision.service
        if decision.is_duplicate:
            if not self._needs_permit(upstream, now_ms):
                self._send_syn(data, upstream, out)
        elif upstream is None:
            self._refuse_syn(data, route, decision, out)
        elif decision.refusal == NO_PERMIT:
            self._refuse_cold(data, upstream, NO_PERMIT, out)
        elif not decision.waits_for_permit:
            self.cold_permits.held.pop(key, None)
            self._offer_syn(data, service, upstream, now_ms, out)
        elif not self.cold_permits.hold(key, data, service, upstream, now_ms):
            self._refuse_cold(data, upstream, "too many held SYNs", out)

    def _choose(self, service, flow, now_ms, **sources):
        """Return the upstream for an opening packet, or None.

        `sources` are `random` and `ranked` as for `UpstreamPool.choose`.
        """
        tried = flow.tried if flow is not None else ()
        rated = self._routes.cold_rate_milli(service) > 0
        return self._pool.choose(service, now_ms, tried, rated=rated, **sources)

    def _offer_syn(self, data, service, upstream, now_ms, out):
        """Send a SYN to an upstream, with a permit if it needs one."""
        key = data[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = Flow(upstream=upstream, now_ms=now_ms)
        flow.set_upstream(upstream, upstream.echo)
        flow.seen_ms = now_ms
        flow.tried.append(upstream)
        upstream.add_load(SYN_LOAD, now_ms)
        self._metrics.count("flows_offered")
        self._log.info(
            "sent a SYN to an upstream",
            flow=describe_flow(data),
            copy=data[COPY_OFFSET],
            service=service,
            upstream=upstream.state.upstream_id,
            sequence=upstream.state.sequence,
            load=round(upstream.score(now_ms), 2),
            revision=self._routes.revision,
        )
        self._send_permitted(data, upstream, now_ms, out)
        hedge = Hedge(
            due_ms=now_ms + HEDGE_DELAY_MS, key=key, data=data, service=service
        )
        self._hedges.append(hedge)

    def _is_duplicate(self, flow, copy):
        """Return whether the network duplicated the first SYN of a flow.

        A flow whose upstream was evacuated meanwhile needs another one.
        """
        if flow is None or copy or flow.is_open:
            return False
        return not self._pool.is_evacuated(flow.upstream)

    def _refuse_syn(self, data, route, decision, out):
        """Reset a SYN without an upstream; drop it if a retransmission may get one."""
        if decision.refusal == UNKNOWN_UPSTREAMS:
            self._metrics.count("syns_unserved")
            self._log.info(
                "dropped a SYN", flow=describe_flow(data), reason=UNKNOWN_UPSTREAMS
            )
        elif decision.refusal == ZONE_EVACUATED:
            self._metrics.count("syns_evacuated")
            self._reset(data, out, ZONE_EVACUATED, service=decision.service)
        elif decision.refusal == OVERLOADED:
            self._reset(
                data,
                out,
                OVERLOADED,
                service=decision.service,
                kind=route.terms.kind,
                priority=route.terms.priority,
                **decision.overload.fields(),
            )
        elif decision.refusal == BACKLOG:
            backlog_ms = round(self._egress.backlog_ms)
            self._reset(data, out, BACKLOG, backlog_ms=backlog_ms)
        else:
            self._reset(data, out, decision.refusal, service=decision.service)

    def _send_syn(self, data, upstream, out):
        payload = _with_echo(upstream.prefix + data, upstream.echo)
        out.append((payload, upstream.address))

    # SYNs to cold upstreams of services that state a rate for them.

    def _may_offer(self, upstream, now_ms):
        """Return whether an opening packet may go to an upstream now."""
        return not self._needs_permit(upstream, now_ms) or upstream.has_permit(now_ms)

    def _needs_permit(self, upstream, now_ms):
        rate_milli = self._routes.cold_rate_milli(upstream.state.service)
        return rate_milli > 0 and upstream.needs_permit(now_ms)

    def _send_permitted(self, data, upstream, now_ms, out):
        """Send a SYN; one to a cold upstream uses a permit and expires with it."""
        if not self._needs_permit(upstream, now_ms):
            self._send_syn(data, upstream, out)
            return
        expires_ms = self.cold_permits.take(upstream, now_ms)
        payload = ExpiringPayload(_with_echo(upstream.prefix + data, upstream.echo))
        payload.expires_ms = expires_ms
        out.append((payload, upstream.address))

    def _refuse_cold(self, data, upstream, reason, out):
        """Reset a SYN that has no permit: only cold upstreams are left."""
        self._metrics.count("cold_syns_refused")
        state = upstream.state
        self._reset(
            data, out, reason, service=state.service, upstream=state.upstream_id
        )

    def apply_cold_allowance(self, answer, now_ms):
        """Apply the answer of a home to a request for permits; return the upstream."""
        return self.cold_permits.apply_answer(answer, now_ms)

    def release_permitted(self, now_ms, out):
        """Send or refuse held SYNs whose answer arrived, and drop late ones."""
        permits = self.cold_permits
        if not permits.held:
            return
        if permits.pop_answered():
            for key in self._held_by_value(now_ms):
                self._release_syn(key, permits.held[key], now_ms, out)
        for held in permits.pop_late(now_ms):
            self._drop_late_syn(held, out)

    def _held_by_value(self, now_ms):
        """Return the keys of held SYNs in the order in which they get permits.

        Fewer permits than SYNs may arrive: flows of a higher value go first.
        """
        held_syns = self.cold_permits.held
        if self._admission is None:
            return list(held_syns)
        flows = []
        for key, held in held_syns.items():
            route = self._routes.get(held.data[ROUTE_SLICE])
            terms = route.terms if route is not None else NO_ROUTE_TERMS
            flows.append(
                WaitingFlow(
                    arrived_ms=held.deadline_ms - MAX_SYN_HOLD_MS,
                    key=key,
                    service_ms=self._admission.service_ms(held.service, terms),
                    terms=terms,
                )
            )
        return [flow.key for flow in pick_waiting(flows, len(flows), now_ms)]

    def _release_syn(self, key, held, now_ms, out):
        """Send a held SYN if it may be sent now, or refuse it; else keep holding it."""
        permits, flow = self.cold_permits, self._flows.get(key)
        if flow is not None and flow.is_open:
            del permits.held[key]
            return
        upstream = self._choose(held.service, flow, now_ms)
        if upstream is None:
            del permits.held[key]
            refused = SynDecision(
                service=held.service,
                upstream=None,
                refusal=self._selection_refusal(held.service),
                is_duplicate=False,
                overload=None,
                waits_for_permit=False,
            )
            route = self._routes.get(held.data[ROUTE_SLICE])
            self._refuse_syn(held.data, route, refused, out)
        elif self._may_offer(upstream, now_ms):
            del permits.held[key]
            self._offer_syn(held.data, held.service, upstream, now_ms, out)
        elif now_ms < upstream.refused_until_ms:
            del permits.held[key]
            self._refuse_cold(held.data, upstream, NO_PERMIT, out)
        elif now_ms < held.upstream.refused_until_ms:
            # Its home refused; another cold upstream may have a permit left.
            held.upstream, held.requested_ms = upstream, now_ms
            permits.request(upstream, now_ms)

    def _drop_late_syn(self, held, out):
        """Drop a SYN whose retransmission follows; refuse the last one."""
        self._metrics.count("cold_syns_late")
        if held.data[COPY_OFFSET] >= LAST_SYN_COPY and self.has_leader:
            self._refuse_cold(held.data, held.upstream, "no answer of the home", out)
            return
        self._log.info(
            "dropped a SYN",
            flow=describe_flow(held.data),
            reason="no permit arrived in time",
            upstream=held.upstream.state.upstream_id,
        )

    # Packets after the SYN.

    def _handle_later_packet(self, data, route, now_ms, out):
        upstream = self._find_upstream(data, route)
        if upstream is None:
            self._metrics.count("packets_unknown_upstream")
            self._log.info(
                "dropped a packet",
                flow=describe_flow(data),
                reason="unknown upstream",
                echo=data[ECHO_SLICE].hex(),
            )
            return
        if upstream.state.service not in route.services:
            self._metrics.count("packets_foreign_service")
            self._log.warning(
                "dropped a packet",
                flow=describe_flow(data),
                reason="the upstream serves another service",
                upstream=upstream.state.upstream_id,
            )
            return
        if upstream.has_ended(now_ms) and not data[0] & RST:
            self._reset(
                data,
                out,
                "upstream gone",
                upstream=upstream.state.upstream_id,
                sequence=upstream.state.sequence,
            )
            return
        self._track_flow(data, route, upstream, now_ms)
        payload = upstream.prefix + data
        if data[ECHO_SLICE] != upstream.echo:
            # Both ends place the last echo that they got in their next packets.
            payload = _with_echo(payload, upstream.echo)
        out.append((payload, upstream.address))

    def _find_upstream(self, data, route):
        """Return the upstream that a packet's echo means, or None.

        Flows that an upstream had before its echo moved are known by the flow table, or
        if the holder of the echo serves other services.
        """
        echo = data[ECHO_SLICE]
        holder, former = self._pool.find_by_echo(echo), self._pool.former_holders(echo)
        if not former:
            return holder
        flow = self._flows.get(data[FLOW_SLICE])
        if flow is not None and flow.echo == echo and flow.upstream in former:
            return flow.upstream
        candidates = [
            upstream
            for upstream in (holder, *former)
            if upstream is not None and upstream.state.service in route.services
        ]
        return candidates[0] if candidates else holder

    def _track_flow(self, data, route, upstream, now_ms):
        """Update the flow table, and the load and answers of the upstream."""
        key = data[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is None:
            if data[0] & (FIN | RST):
                return
            flow = self._flows[key] = Flow(upstream=upstream, now_ms=now_ms)
        if flow.upstream is not upstream:
            if flow.is_open:
                self._close(flow)
            flow.set_upstream(upstream, data[ECHO_SLICE])
        flow.seen_ms = now_ms
        if not flow.is_open:
            flow.is_open = True
            upstream.open_flows += 1
            if flow.tried:
                # Flows opened by another forwarder may be sending to a dead upstream.
                upstream.note_answered(now_ms)
                self._answer_tracker.record_opened(data[ROUTE_SLICE])
                wait_us = (now_ms - flow.opened_ms) * US_PER_MS
                self._metrics.record_us("flow_open", wait_us)
        if data[LENGTH_SLICE] != NO_DATA:
            upstream.add_load(DATA_LOAD, now_ms)
        self._track_request(data, flow, now_ms)
        if self._admission is not None and route.terms.kind:
            self._time_request(data, flow, route, now_ms)
        if data[0] & (FIN | RST):
            self._close(flow)
            del self._flows[key]

    def _track_request(self, data, flow, now_ms):
        """Record a packet in the answer tracker, unless the upstream lacks others."""
        if self._egress.holds_flow(data[FLOW_SLICE]):
            return
        acknowledged = int.from_bytes(data[ACKNOWLEDGED_SLICE], "little")
        if data[0] & FIN:
            age_ms = now_ms - flow.opened_ms if flow.tried else None
            self._answer_tracker.record_fin(
                flow.request,
                route_key=data[ROUTE_SLICE],
                acknowledged=acknowledged,
                age_ms=age_ms,
                now_ms=now_ms,
            )
        elif data[LENGTH_SLICE] != NO_DATA:
            flow.request = self._answer_tracker.record_data(
                flow.request,
                route_key=data[ROUTE_SLICE],
                upstream_id=flow.upstream.state.upstream_id,
                sequence=int.from_bytes(data[SEQUENCE_SLICE], "little"),
                acknowledged=acknowledged,
                now_ms=now_ms,
            )
        else:
            self._answer_tracker.record_empty(
                flow.request, acknowledged=acknowledged, now_ms=now_ms
            )

    def _time_request(self, data, flow, route, now_ms):
        """Pass the time until the upstream has sent data to the admission control.

        A caller's acknowledgment number increases with the upstream's data. A request
        that was retransmitted isn't timed, as either copy may have been answered.
        """
        ack, request = data[ACKNOWLEDGED_SLICE], flow.timed_request
        if request is not None and ack != flow.request_ack:
            if not request.retransmissions and not data[0] & RST:
                service = flow.upstream.state.service
                response_ms = now_ms - request.sent_ms
                self._admission.record_response(
                    service, route.terms, response_ms, now_ms
                )
            flow.timed_request = None
        request = flow.request
        if request is not None and request.sent_ms == now_ms:
            flow.timed_request, flow.request_ack = request, ack

    def _close(self, flow):
        flow.is_open = False
        flow.upstream.open_flows -= 1

    # Timers.

    @property
    def next_due_ms(self):
        """Return when packets must be sent next, or None."""
        while self._hedges and self._is_resolved(self._hedges[0]):
            self._hedges.popleft()
        hedge_ms = self._hedges[0].due_ms if self._hedges else None
        held_ms = self._held.next_due_ms if self._held is not None else None
        return earliest(hedge_ms, held_ms, self.cold_permits.next_due_ms)

    def send_due_hedges(self, now_ms, out):
        """Send SYNs unanswered for `HEDGE_DELAY_MS` to further upstreams."""
        while self._hedges and self._hedges[0].due_ms <= now_ms:
            hedge = self._hedges.popleft()
            if not self._is_resolved(hedge):
                self._hedge(hedge, now_ms, out)

    def _is_resolved(self, hedge):
        flow = self._flows.get(hedge.key)
        return flow is None or flow.is_open

    def _hedge(self, hedge, now_ms, out):
        if self._egress.holds_flow(hedge.key):
            # The SYN hasn't left yet.
            self._hedges.append(hedge.replace(due_ms=now_ms + HEDGE_DELAY_MS))
            return
        flow = self._flows[hedge.key]
        self._note_unanswered(flow.upstream, hedge.due_ms - HEDGE_DELAY_MS, now_ms)
        next_upstream = self._choose(hedge.service, flow, now_ms)
        if next_upstream is None or next_upstream in flow.tried:
            return
        if not self._may_offer(next_upstream, now_ms):
            return
        self._metrics.count("flows_offered_again")
        self._log.info(
            "sent an unanswered SYN to another upstream",
            flow=describe_flow(hedge.data),
            first=flow.upstream.state.upstream_id,
            suspect=flow.upstream.is_suspect(now_ms),
            upstream=next_upstream.state.upstream_id,
        )
        flow.set_upstream(next_upstream, next_upstream.echo)
        flow.tried.append(next_upstream)
        self._send_permitted(hedge.data, next_upstream, now_ms, out)
        if len(flow.tried) < MAX_UPSTREAMS_TRIED:
            self._hedges.append(hedge.replace(due_ms=now_ms + HEDGE_DELAY_MS))

    def _note_unanswered(self, upstream, sent_ms, now_ms):
        """Suspect an upstream; without replicas, it may also have restarted."""
        upstream.note_unanswered(sent_ms, now_ms)
        if self.is_connected or not upstream.is_suspect(now_ms):
            return
        terms = self._routes.services.get(upstream.state.service)
        if terms is not None and terms.cold_per_s_milli:
            upstream.assume_restart(terms.cold_start_ms, now_ms)

    def pop_request_totals(self, now_ms):
        """Return the `RequestTotal` by upstream since the last call."""
        self._answer_tracker.expire(now_ms)
        return self._answer_tracker.pop_totals()

    def expire_flows(self, now_ms):
        """Remove flows that are idle, too old, or beyond `MAX_FLOWS`."""
        idle_ms = now_ms - self._flow_idle_ms
        old_ms = now_ms - MAX_FLOW_AGE_MS
        if self._admission is not None:
            self._admission.expire(now_ms)
        surplus = len(self._flows) - MAX_FLOWS
        for key, flow in list(self._flows.items()):
            if flow.seen_ms < idle_ms or flow.opened_ms < old_ms or surplus > 0:
                surplus -= 1
                if flow.is_open:
                    self._close(flow)
                del self._flows[key]


def _with_echo(payload, echo):
    """Return the bytes for an upstream with another echo in the packet's header."""
    return payload[:PAYLOAD_ECHO_START] + echo + payload[PAYLOAD_ECHO_STOP:]
