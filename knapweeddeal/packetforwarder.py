"""knapweeddeal.packetforwarder: What a forwarder does with each packet.

No input or output: a packet and the time go in, packets to send come out.
"""

from collections import deque

from knapweeddeal.answertracker import AnswerTracker
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

#: Time after which a SYN without an answer goes to a second upstream as well.
#: Callers are up to 3 ms away, availability zones 1.4 ms, and an upstream answers a
#: SYN in less than 1 ms: the caller's next packet comes within 11 ms.
HEDGE_DELAY_MS = 30

#: Upstreams that one flow is offered without waiting for its caller's next copy: of
#: two that ended in the same moment both may be met.
MAX_TRIED = 3
#: Weight of a SYN in an upstream's load: a request follows it.
SYN_LOAD = 1.0
#: Weight of a packet with data.
DATA_LOAD = 1.0
US_PER_MS = 1_000
#: Offset of the count of data bytes in a head.
LENGTH = slice(6, 8)
NO_DATA = b"\0\0"
#: Offset of the byte in which a SYN counts its copies.
COPY = 12
#: Offset of the sequence number in a head.
SEQUENCE = slice(8, 12)
#: Longest age of a flow that is remembered.
MAX_FLOW_AGE_MS = 60_000
#: Flows that are remembered at once; over it the oldest are forgotten.
MAX_FLOWS = 200_000


class Hedge(Record):
    """Hold a SYN that is sent to a second upstream if the first doesn't answer."""

    __slots__ = ("data", "due_ms", "key", "service")


class Flow:
    """Hold what a forwarder remembers of a flow; it could route without it."""

    __slots__ = ("is_open", "opened_ms", "request", "seen_ms", "tried", "upstream")

    def __init__(self, *, upstream, now_ms):
        self.upstream = upstream
        self.tried = []
        self.opened_ms = now_ms
        self.seen_ms = now_ms
        self.is_open = False
        #: The last request, as `AnswerTracker` keeps it.
        self.request = None


class Forwarder:
    """Choose at the SYN, route by the echo, reset what can't be served."""

    __slots__ = (
        "_caller_port",
        "_flow_idle_ms",
        "_flows",
        "_hedges",
        "_log",
        "_metrics",
        "_pool",
        "_random",
        "_routes",
        "_watch",
        "current",
    )

    def __init__(
        self, *, routes, pool, random, metrics, log, caller_port, flow_idle_ms
    ):
        self._routes = routes
        self._pool = pool
        self._random = random
        self._metrics = metrics
        self._log = log
        self._caller_port = caller_port
        self._flow_idle_ms = flow_idle_ms
        self._flows = {}
        self._watch = AnswerTracker()
        #: SYNs that wait for an answer, the oldest first.
        self._hedges = deque()
        #: Whether the routes and upstreams come from a replica that hears a leader.
        self.current = False

    @property
    def flow_count(self):
        """Return how many flows are remembered."""
        return len(self._flows)

    def handle_packet(self, data, now_ms, out):
        """Add what a packet leads to, as (bytes, address) pairs, to a list."""
        if len(data) < PACKET_HEADER_BYTES:
            self._metrics.count("packets_short")
            return
        route = self._routes.get(data[ROUTE_SLICE])
        if route is None:
            self._take_unrouted(data, out)
        elif data[0] & SYN:
            self._take_syn(data, route, now_ms, out)
        else:
            self._take_later(data, route, now_ms, out)

    # A packet without a route.

    def _take_unrouted(self, data, out):
        """Reset a new flow if the routes are known; never an open flow by mistake."""
        if data[0] & RST:
            return
        is_dropped = data[ROUTE_SLICE] in self._routes.dropped
        if is_dropped or (data[0] & SYN and self.current):
            self._reset(data, out, "no route", revision=self._routes.revision)
        else:
            self._metrics.count("packets_unrouted")

    def _reset(self, data, out, reason, **inputs):
        self._metrics.count("resets")
        self._log.info(
            "resets a flow", flow=describe_flow(data), reason=reason, **inputs
        )
        out.append((build_reset(data), (flow_caller_host(data), self._caller_port)))

    # A SYN.

    def _take_syn(self, data, route, now_ms, out):
        key = data[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is not None and not data[COPY] and not flow.is_open:
            # The network doubled the first SYN.
            self._send_syn(data, flow.upstream, out)
            return
        tried = flow.tried if flow is not None else ()
        service = route.pick_service(self._random())
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
            "offers a flow",
            flow=describe_flow(data),
            copy=data[COPY],
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

    def _refuse_syn(self, data, service, out):
        """Reset if it is known that nobody serves; a copy may find somebody else."""
        if self.current:
            self._reset(data, out, "no upstream", service=service)
        else:
            self._metrics.count("syns_unserved")
            self._log.info(
                "drops a SYN", flow=describe_flow(data), reason="upstreams unknown"
            )

    def _send_syn(self, data, upstream, out):
        payload = upstream.prefix + data[:2] + upstream.echo + data[6:]
        out.append((payload, upstream.address))

    # A later packet.

    def _take_later(self, data, route, now_ms, out):
        upstream = self._pool.find_by_echo(data[ECHO_SLICE])
        if upstream is None:
            self._metrics.count("packets_unknown_upstream")
            self._log.info(
                "drops a packet",
                flow=describe_flow(data),
                reason="unknown upstream",
                echo=data[ECHO_SLICE].hex(),
            )
            return
        if upstream.state.service not in route.services:
            self._metrics.count("packets_foreign_service")
            self._log.warning(
                "drops a packet",
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
        self._note_later(data, upstream, now_ms)
        out.append((upstream.prefix + data, upstream.address))

    def _note_later(self, data, upstream, now_ms):
        """Learn from a packet: its upstream answered, and has work if it holds data."""
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
                # A flow whose SYN went elsewhere may be sending to a dead upstream.
                upstream.note_answered(now_ms)
                self._watch.record_opened(data[ROUTE_SLICE])
                wait_us = (now_ms - flow.opened_ms) * US_PER_MS
                self._metrics.record_us("flow_open", wait_us)
        if data[LENGTH] != NO_DATA:
            upstream.add_load(DATA_LOAD, now_ms)
        self._note_request(data, flow, now_ms)
        if data[0] & (FIN | RST):
            self._close(flow)
            del self._flows[key]

    def _note_request(self, data, flow, now_ms):
        """Watch whether the upstream of a flow answers."""
        if data[0] & FIN:
            age_ms = now_ms - flow.opened_ms if flow.tried else None
            self._watch.record_fin(
                flow.request, route_key=data[ROUTE_SLICE], age_ms=age_ms, now_ms=now_ms
            )
        elif data[LENGTH] != NO_DATA:
            flow.request = self._watch.record_data(
                flow.request,
                route_key=data[ROUTE_SLICE],
                upstream_id=flow.upstream.state.upstream_id,
                sequence=int.from_bytes(data[SEQUENCE], "little"),
                now_ms=now_ms,
            )
        else:
            self._watch.record_empty(flow.request, now_ms)

    def _close(self, flow):
        flow.is_open = False
        flow.upstream.open_flows -= 1

    # Time.

    @property
    def next_due_ms(self):
        """Return when `send_due_hedges` has to be called, or None."""
        while self._hedges and self._is_settled(self._hedges[0]):
            self._hedges.popleft()
        return self._hedges[0].due_ms if self._hedges else None

    def send_due_hedges(self, now_ms, out):
        """Send the SYNs that weren't answered in time to other upstreams."""
        while self._hedges and self._hedges[0].due_ms <= now_ms:
            hedge = self._hedges.popleft()
            if not self._is_settled(hedge):
                self._hedge(hedge, now_ms, out)

    def _is_settled(self, hedge):
        flow = self._flows.get(hedge.key)
        return flow is None or flow.is_open

    def _hedge(self, hedge, now_ms, out):
        flow = self._flows[hedge.key]
        flow.upstream.note_unanswered(hedge.due_ms - HEDGE_DELAY_MS, now_ms)
        second = self._pool.choose(hedge.service, now_ms, flow.tried)
        if second is None or second in flow.tried:
            return
        self._metrics.count("flows_offered_again")
        self._log.info(
            "offers a flow again",
            flow=describe_flow(hedge.data),
            first=flow.upstream.state.upstream_id,
            suspect=flow.upstream.is_suspect(now_ms),
            upstream=second.state.upstream_id,
        )
        flow.upstream = second
        flow.tried.append(second)
        self._send_syn(hedge.data, second, out)
        if len(flow.tried) < MAX_TRIED:
            self._hedges.append(hedge.replace(due_ms=now_ms + HEDGE_DELAY_MS))

    def pop_answer_counts(self, now_ms):
        """Return (answered, unanswered) by upstream since the last call."""
        self._watch.expire(now_ms)
        return self._watch.pop_counts()

    def expire_flows(self, now_ms):
        """Forget flows that are idle or too old."""
        idle_ms = now_ms - self._flow_idle_ms
        old_ms = now_ms - MAX_FLOW_AGE_MS
        surplus = len(self._flows) - MAX_FLOWS
        for key, flow in list(self._flows.items()):
            if flow.seen_ms < idle_ms or flow.opened_ms < old_ms or surplus > 0:
                surplus -= 1
                if flow.is_open:
                    self._close(flow)
                del self._flows[key]
