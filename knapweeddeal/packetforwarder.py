"""knapweeddeal.packetforwarder: Routing of each packet in a forwarder.

This module does no I/O: it receives packets and the time, and returns the packets
to send.
"""

from collections import deque

from knapweeddeal.answertracker import AnswerTracker
from knapweeddeal.clock import earliest
from knapweeddeal.heldpackets import HeldPackets
from knapweeddeal.packetheader import (
    ECHO_SLICE,
    FIN,
    FLOW_SLICE,
    PACKET_HEADER_BYTES,
    ROUTE_SLICE,
    RST,
    SYN,
    build_reset,
    describe_flow,
    flow_caller_host,
)
from knapweeddeal.record import Record

__all__ = ["HEDGE_DELAY_MS", "Forwarder"]

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
#: Position of the data length in the header.
LENGTH_SLICE = slice(6, 8)
NO_DATA = b"\0\0"
#: Offset of the byte that holds how often a SYN was retransmitted.
COPY_OFFSET = 12
#: Position of the sequence number in the header.
SEQUENCE_SLICE = slice(8, 12)
#: Position of the acknowledgment number in the header.
ACK_SLICE = slice(12, 16)
#: Longest age of an entry in the flow table.
MAX_FLOW_AGE_MS = 60_000
#: Size limit of the flow table; beyond it the oldest flows are removed.
MAX_FLOWS = 200_000


class Hedge(Record):
    """Hold a SYN to send to another upstream if the first one doesn't answer."""

    __slots__ = ("data", "due_ms", "key", "service")


class Flow:
    """Hold an entry of the flow table; packets are routed correctly without it."""

    __slots__ = ("is_open", "opened_ms", "request", "seen_ms", "tried", "upstream")
    __slots__ += ("request_ack", "timed_request")

    def __init__(self, *, upstream, now_ms):
        self.upstream = upstream
        self.tried = []
        self.opened_ms = now_ms
        self.seen_ms = now_ms
        self.is_open = False
        #: The last request, as returned by `AnswerTracker`.
        self.request = None
        #: The request whose answer is timed, and its acknowledgment number.
        self.timed_request = None
        self.request_ack = b""


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
        "has_leader",
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

    def _handle_syn(self, data, route, now_ms, out):
        key = data[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is not None and not data[COPY_OFFSET] and not flow.is_open:
            # The network duplicated the first SYN.
            self._send_syn(data, flow.upstream, out)
            return
        if flow is None and self._is_behind_backlog(data, now_ms):
            backlog_ms = round(self._egress.backlog_ms)
            self._reset(data, out, "egress backlog", backlog_ms=backlog_ms)
            return
        tried = flow.tried if flow is not None else ()
        service = route.pick_service(self._random())
        if flow is None and self._is_refused(data, route, service, now_ms, out):
            return
        upstream = self._pool.choose(service, now_ms, tried)
        if upstream is None:
            self._refuse_syn(data, service, out)
            return
        if flow is None:
            flow = self._flows[key] = Flow(upstream=upstream, now_ms=now_ms)
        flow.upstream = upstream
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
        self._send_syn(data, upstream, out)
        hedge = Hedge(
            due_ms=now_ms + HEDGE_DELAY_MS, key=key, data=data, service=service
        )
        self._hedges.append(hedge)

    def _is_behind_backlog(self, data, now_ms):
        """Return whether a new flow would wait too long for the link.

        The first SYN of a copy may have opened the flow through another forwarder.
        """
        is_first = not data[COPY_OFFSET]
        return is_first and self._egress.refuses(data[ROUTE_SLICE], now_ms)

    def _is_refused(self, data, route, service, now_ms, out):
        """Reset a new flow that isn't admitted; return whether it was reset.

        The first SYN of a copy may have opened the flow through another forwarder.
        """
        if self._admission is None or not route.terms.kind or data[COPY_OFFSET]:
            return False
        terms = route.terms
        refusal = self._admission.refuse(service, terms, data[FLOW_SLICE], now_ms)
        if refusal is None:
            return False
        self._reset(
            data,
            out,
            "service overloaded",
            service=service,
            kind=terms.kind,
            priority=terms.priority,
            **refusal.fields(),
        )
        return True

    def _refuse_syn(self, data, service, out):
        """Reset a SYN without an upstream; drop it if a retransmission may get one."""
        if self.has_leader:
            self._reset(data, out, "no upstream", service=service)
        else:
            self._metrics.count("syns_unserved")
            self._log.info(
                "dropped a SYN", flow=describe_flow(data), reason="upstreams unknown"
            )

    def _send_syn(self, data, upstream, out):
        payload = upstream.prefix + data[:2] + upstream.echo + data[6:]
        out.append((payload, upstream.address))

    # Packets after the SYN.

    def _handle_later_packet(self, data, route, now_ms, out):
        upstream = self._pool.find_by_echo(data[ECHO_SLICE])
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
        out.append((upstream.prefix + data, upstream.address))

    def _track_flow(self, data, route, upstream, now_ms):
        """Update the flow table, and the load and answers of the upstream."""
        key = data[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is None:
            if data[0] & (FIN | RST):
                return
            flow = self._flows[key] = Flow(upstream=upstream, now_ms=now_ms)
        if flow.upstream is not upstream and flow.is_open:
            self._close(flow)
        flow.upstream = upstream
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
        if data[0] & FIN:
            age_ms = now_ms - flow.opened_ms if flow.tried else None
            self._answer_tracker.record_fin(
                flow.request, route_key=data[ROUTE_SLICE], age_ms=age_ms, now_ms=now_ms
            )
        elif data[LENGTH_SLICE] != NO_DATA:
            flow.request = self._answer_tracker.record_data(
                flow.request,
                route_key=data[ROUTE_SLICE],
                upstream_id=flow.upstream.state.upstream_id,
                sequence=int.from_bytes(data[SEQUENCE_SLICE], "little"),
                now_ms=now_ms,
            )
        else:
            self._answer_tracker.record_empty(flow.request, now_ms)

    def _time_request(self, data, flow, route, now_ms):
        """Pass the time until the upstream has sent data to the admission control.

        A caller's acknowledgment number increases with the upstream's data. A request
        that was retransmitted isn't timed, as either copy may have been answered.
        """
        ack, request = data[ACK_SLICE], flow.timed_request
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
        return earliest(hedge_ms, held_ms)

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
        flow.upstream.note_unanswered(hedge.due_ms - HEDGE_DELAY_MS, now_ms)
        next_upstream = self._pool.choose(hedge.service, now_ms, flow.tried)
        if next_upstream is None or next_upstream in flow.tried:
            return
        self._metrics.count("flows_offered_again")
        self._log.info(
            "sent an unanswered SYN to another upstream",
            flow=describe_flow(hedge.data),
            first=flow.upstream.state.upstream_id,
            suspect=flow.upstream.is_suspect(now_ms),
            upstream=next_upstream.state.upstream_id,
        )
        flow.upstream = next_upstream
        flow.tried.append(next_upstream)
        self._send_syn(hedge.data, next_upstream, out)
        if len(flow.tried) < MAX_UPSTREAMS_TRIED:
            self._hedges.append(hedge.replace(due_ms=now_ms + HEDGE_DELAY_MS))

    def pop_answer_counts(self, now_ms):
        """Return (answered, unanswered) by upstream since the last call."""
        self._answer_tracker.expire(now_ms)
        return self._answer_tracker.pop_counts()

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
