"""knapweeddeal.egressqueue: Queue of packets in front of a VM's own link.

A link whose queue is full drops packets of all flows alike. This queue holds them
back instead, and decides in which order they leave. It does no I/O: it receives
packets and the time, and returns the packets to send.

Load patterns:

- One caller sends 16 packets at once over a narrow link: they leave at the link's rate.
- Uploads and short requests share a link: flows take turns (deficit round robin), and
  one that had nothing waiting goes first.
- A caller repeats packets that still wait: the copy takes the place of the first one.
- Callers give up on packets that wait: these are dropped once nobody repeats them.
- More work arrives than the link carries: new flows of routes with long requests are
  refused at once, while another forwarder may still serve them.
- Flows of several priorities share a backlog: a higher one goes first, the others keep
  a minimum share of the link, and new flows of the lowest one are refused first.
- Packets have waited beyond their deadline: they leave only when no others wait.
"""

import math
from collections import deque

from knapweeddeal.flowvalue import link_band
from knapweeddeal.messages.packets import NO_ROUTE_TERMS
from knapweeddeal.packetheader import (
    FLOW_SLICE,
    PACKET_HEADER_BYTES,
    ROUTE_SLICE,
    UPSTREAM_PREFIX_BYTES,
    describe_flow,
    packet_identity,
)
from knapweeddeal.record import Record
from knapweeddeal.tokenbucket import TokenBucket

__all__ = ["EgressQueue"]

#: Share of the link's rate for packets; the rest is for the process's own streams.
PACED_SHARE = 0.95
#: Bytes that IP and UDP add to each datagram.
DATAGRAM_OVERHEAD_BYTES = 28
#: Largest datagram on the link: overhead, prefix, header and 1,200 bytes of data.
MAX_DATAGRAM_BYTES = (
    DATAGRAM_OVERHEAD_BYTES + UPSTREAM_PREFIX_BYTES + PACKET_HEADER_BYTES + 1_200
)
#: Link time that may be sent at once, and its lower bound.
BURST_MS = 15
MIN_BURST_BYTES = 2 * MAX_DATAGRAM_BYTES
#: Bytes that a flow may send in its turn.
QUANTUM_BYTES = MAX_DATAGRAM_BYTES

#: Time after which a packet is dropped that its caller didn't repeat: callers repeat
#: packets at least every 1.6 s.
STALE_MS = 1_800
#: Backlog in link time at which SYNs of routes with long requests are refused: a
#: request that starts behind it takes several seconds.
REFUSAL_BACKLOG_MS = 2_000
#: Backlog in link time, and in bytes, at which packets are dropped.
MAX_BACKLOG_MS = 4_000
MAX_BACKLOG_BYTES = 4_000_000
#: Waiting packets of one flow that mark the requests of its route as long.
LONG_REQUEST_PACKETS = 4
#: Time for which that mark holds.
LONG_REQUEST_MS = 60_000
#: Share of the bytes that each band behind the first one sends at least: a packet of
#: 1.3 KB then leaves every 38 ms at 1.4 Mbit/s. Three of them leave 40 % to the first.
#: With 0.1, short requests beside 12 uploads waited 1.2 s, longer than their objective.
MIN_BAND_SHARE = 0.2
#: Band of flows whose deadline has passed; it has no minimum share.
EXPIRED_BAND = 1_000

BYTES_PER_MS_PER_MBPS = 125
US_PER_MS = 1_000


class QueuedPacket(Record):
    """Hold a packet that waits; `repeated_ms` is when its caller last sent it."""

    __slots__ = ("address", "payload", "queued_ms", "repeated_ms", "size_bytes")


class FlowQueue:
    """Hold the waiting packets of one flow in order, by their identity."""

    __slots__ = ("band", "deficit_bytes", "key", "packets", "size_bytes", "timeout_ms")

    def __init__(self, *, key, band, timeout_ms):
        self.key = key
        self.band = band
        #: Time after which an answer is useless, or 0.
        self.timeout_ms = timeout_ms
        self.packets = {}
        self.size_bytes = 0
        self.deficit_bytes = QUANTUM_BYTES

    def pop_first(self):
        """Remove and return the packet that has waited longest."""
        return self._pop(next(iter(self.packets)))

    def pop_last(self):
        """Remove and return the packet that was queued last."""
        return self._pop(next(reversed(self.packets)))

    def _pop(self, identity):
        packet = self.packets.pop(identity)
        self.size_bytes -= packet.size_bytes
        self.band.backlog_bytes -= packet.size_bytes
        return packet

    def add(self, identity, packet):
        """Append a packet."""
        self.packets[identity] = packet
        self.size_bytes += packet.size_bytes
        self.band.backlog_bytes += packet.size_bytes

    def move(self, band):
        """Move to another band, as one of its old flows."""
        self.band.backlog_bytes -= self.size_bytes
        self.band = band
        band.backlog_bytes += self.size_bytes
        band.old_flows.append(self)

    def is_expired(self, now_ms):
        """Return whether its first packet has waited beyond the deadline."""
        if not self.timeout_ms:
            return False
        first = next(iter(self.packets.values()))
        return now_ms - first.queued_ms >= self.timeout_ms


class Band:
    """Hold the flows of one priority in the order of their turns."""

    __slots__ = ("backlog_bytes", "credit_bytes", "new_flows", "number", "old_flows")

    def __init__(self, *, number):
        self.number = number
        self.backlog_bytes = 0
        #: Bytes that it may send before a higher band.
        self.credit_bytes = 0.0
        #: Flows that just began to wait go first.
        self.new_flows = deque()
        self.old_flows = deque()


class EgressQueue:
    """Decide when and in which order packets leave; without a rate, all at once."""

    __slots__ = (
        "_bands",
        "_bucket",
        "_flows",
        "_log",
        "_long_routes",
        "_max_backlog_bytes",
        "_metrics",
        "_refusal_backlog_bytes",
        "_routes",
        "backlog_bytes",
    )

    def __init__(self, *, metrics, log, link_mbps=None, routes=None):
        self._metrics = metrics
        self._log = log
        self.backlog_bytes = 0
        #: Flows with waiting packets, by key.
        self._flows = {}
        #: Bands that have flows, the first to be served first.
        self._bands = []
        #: The `RouteTable` with the terms of flows, or None for a single band.
        self._routes = routes
        #: When flows of routes were last found to carry long requests.
        self._long_routes = {}
        self.set_rate(link_mbps)

    # Queries.

    @property
    def _is_paced(self):
        return self._bucket.rate != math.inf

    @property
    def backlog_ms(self):
        """Return how long the link takes for what waits."""
        return self.backlog_bytes / self._bucket.rate if self.backlog_bytes else 0

    def next_due_ms(self, now_ms):
        """Return when `release` must be called next, or None."""
        return self._bucket.ready_ms(now_ms) if self.backlog_bytes else None

    def holds_flow(self, flow_key):
        """Return whether packets of a caller's flow wait."""
        flow = self._flows.get(flow_key)
        return flow is not None and bool(flow.packets)

    def refuses(self, route_key, now_ms):
        """Return whether a new flow of a route would wait too long.

        What waits in lower bands doesn't count, as the flow goes before it.
        """
        if self.backlog_bytes < self._refusal_backlog_bytes:
            return False
        if len(self._bands) > 1:
            number, _ = self._terms(route_key)
            ahead = [b.backlog_bytes for b in self._bands if b.number <= number]
            if sum(ahead) < self._refusal_backlog_bytes:
                return False
        marked_ms = self._long_routes.get(route_key)
        return marked_ms is not None and now_ms - marked_ms < LONG_REQUEST_MS

    def dump(self):
        """Return the state for the dump, by key."""
        return {
            "rate_bytes_per_ms": self._bucket.rate if self._is_paced else None,
            "backlog_bytes": self.backlog_bytes,
            "backlog_ms": round(self.backlog_ms),
            "flows": len(self._flows),
            "bands": {band.number: band.backlog_bytes for band in self._bands},
        }

    # Commands.

    def set_rate(self, link_mbps):
        """Pace at the rate of a link, or not at all if it is None."""
        if link_mbps is None:
            # What waits leaves with the next packets.
            self._bucket = TokenBucket(rate=math.inf, burst_bytes=math.inf)
            self._refusal_backlog_bytes = self._max_backlog_bytes = math.inf
            return
        rate = link_mbps * BYTES_PER_MS_PER_MBPS * PACED_SHARE
        burst_bytes = max(BURST_MS * rate, MIN_BURST_BYTES)
        self._bucket = TokenBucket(rate=rate, burst_bytes=burst_bytes)
        self._refusal_backlog_bytes = min(REFUSAL_BACKLOG_MS * rate, MAX_BACKLOG_BYTES)
        self._max_backlog_bytes = min(MAX_BACKLOG_MS * rate, MAX_BACKLOG_BYTES)

    def set_routes(self, routes):
        """Order packets by the terms of a `RouteTable`, or regardless if it is None."""
        self._routes = routes

    def release(self, packets, now_ms):
        """Return the packets to send now, of some new ones and those that wait.

        Packets are pairs of payload and address.
        """
        size_bytes = DATAGRAM_OVERHEAD_BYTES * len(packets)
        for payload, _ in packets:
            size_bytes += len(payload)
        if not self.backlog_bytes and self._bucket.take_all(size_bytes, now_ms):
            return packets
        for payload, address in packets:
            self._enqueue(payload, address, now_ms)
        return self._dequeue(now_ms)

    # Packets that begin to wait.

    def _enqueue(self, payload, address, now_ms):
        header = _header(payload)
        flow = self._flow(header)
        identity = packet_identity(header)
        waiting = flow.packets.get(identity)
        if waiting is not None:
            waiting.payload, waiting.address = payload, address
            waiting.repeated_ms = now_ms
            self._metrics.count("egress_copies")
            return
        size_bytes = len(payload) + DATAGRAM_OVERHEAD_BYTES
        if not self._has_room(size_bytes, flow, now_ms):
            self._drop(payload, "egress queue full", now_ms, now_ms)
            return
        packet = QueuedPacket(
            payload=payload,
            address=address,
            queued_ms=now_ms,
            repeated_ms=now_ms,
            size_bytes=size_bytes,
        )
        flow.add(identity, packet)
        self.backlog_bytes += size_bytes
        if len(flow.packets) == LONG_REQUEST_PACKETS:
            self._long_routes[header[ROUTE_SLICE]] = now_ms

    def _flow(self, header):
        key = header[FLOW_SLICE]
        flow = self._flows.get(key)
        if flow is None:
            number, timeout_ms = self._terms(header[ROUTE_SLICE])
            band = self._band(number)
            flow = FlowQueue(key=key, band=band, timeout_ms=timeout_ms)
            self._flows[key] = flow
            band.new_flows.append(flow)
        return flow

    def _terms(self, route_key):
        """Return the number of the band and the deadline of a route's flows."""
        if self._routes is None or len(self._routes.priorities) < 2:
            return 0, 0
        route = self._routes.get(route_key)
        terms = route.terms if route is not None else NO_ROUTE_TERMS
        timeout_ms = terms.timeout_ms if terms.kind else 0
        return link_band(terms, self._routes.priorities), timeout_ms

    def _band(self, number):
        for band in self._bands:
            if band.number == number:
                return band
        band = Band(number=number)
        self._bands.append(band)
        self._bands.sort(key=lambda band: band.number)
        return band

    def _has_room(self, size_bytes, flow, now_ms):
        """Return whether a packet fits.

        The longest flow of the last band makes room for a packet of a higher one, and
        for a new flow of the same one.
        """
        if self.backlog_bytes + size_bytes <= self._max_backlog_bytes:
            return True
        last = [band for band in self._bands if band.backlog_bytes][-1]
        if last.number < flow.band.number or (last is flow.band and flow.packets):
            return False
        longest = max(
            (other for other in self._flows.values() if other.band is last),
            key=lambda flow: flow.size_bytes,
        )
        victim = longest.pop_last()
        self.backlog_bytes -= victim.size_bytes
        self._drop(victim.payload, "egress queue full", victim.queued_ms, now_ms)
        return True

    # Packets that leave.

    def _dequeue(self, now_ms):
        packets = []
        while self.backlog_bytes and self._bucket.has_tokens(now_ms):
            band = self._next_band()
            flow = self._next_flow(band, now_ms)
            if flow is None:
                continue
            packet = flow.pop_first()
            self.backlog_bytes -= packet.size_bytes
            if now_ms - packet.repeated_ms >= STALE_MS:
                self._drop(packet.payload, "stale", packet.queued_ms, now_ms)
                continue
            if now_ms >= getattr(packet.payload, "expires_ms", math.inf):
                # An opening packet to a cold upstream, whose permit has expired.
                self._drop(packet.payload, "permit expired", packet.queued_ms, now_ms)
                continue
            flow.deficit_bytes -= packet.size_bytes
            if len(self._bands) > 1:
                self._share_credit(band, packet.size_bytes)
            self._bucket.take(packet.size_bytes)
            wait_us = (now_ms - packet.queued_ms) * US_PER_MS
            self._metrics.record_us("egress_wait", wait_us)
            packets.append((packet.payload, packet.address))
        if not self.backlog_bytes:
            self._flows.clear()
            self._bands.clear()
        return packets

    def _next_band(self):
        """Return the first band, or another one that its minimum share is due to."""
        if len(self._bands) == 1:
            return self._bands[0]
        waiting = [band for band in self._bands if band.backlog_bytes]
        for band in waiting[1:]:
            if band.credit_bytes >= QUANTUM_BYTES:
                return band
        return waiting[0]

    def _share_credit(self, served, size_bytes):
        """Give the bands that wait their share of bytes that one has sent."""
        is_first = True
        for band in self._bands:
            if band.number == EXPIRED_BAND or not band.backlog_bytes:
                band.credit_bytes = 0.0
            elif is_first:
                is_first = False
                band.credit_bytes = 0.0
            else:
                band.credit_bytes += MIN_BAND_SHARE * size_bytes
        served.credit_bytes = max(served.credit_bytes - size_bytes, 0.0)

    def _next_flow(self, band, now_ms):
        """Return the flow of a band whose turn it is.

        Returns None if the flow's deadline has passed; it then has another band.

        A new flow that has sent all it had waits for a turn like the old ones before
        it counts as new again, or it could keep the others from their turns.
        """
        while True:
            flows = band.new_flows or band.old_flows
            flow = flows[0]
            if flow.packets and flow.deficit_bytes > 0:
                if band.number == EXPIRED_BAND or not flow.is_expired(now_ms):
                    return flow
                flows.popleft()
                flow.move(self._band(EXPIRED_BAND))
                return None
            flows.popleft()
            if flow.packets:
                flow.deficit_bytes += QUANTUM_BYTES
                band.old_flows.append(flow)
            elif flows is band.new_flows:
                band.old_flows.append(flow)
            else:
                del self._flows[flow.key]

    def _drop(self, payload, reason, queued_ms, now_ms):
        self._metrics.count("egress_dropped")
        self._log.info(
            "dropped a packet",
            flow=describe_flow(_header(payload)),
            reason=reason,
            waited_ms=now_ms - queued_ms,
            backlog_ms=round(self.backlog_ms),
        )


def _header(payload):
    """Return the caller's packet in a payload; resets have no prefix."""
    if len(payload) == PACKET_HEADER_BYTES:
        return payload
    return payload[UPSTREAM_PREFIX_BYTES:]
