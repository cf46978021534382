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
"""

import math
from collections import deque

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

BYTES_PER_MS_PER_MBPS = 125
US_PER_MS = 1_000


class QueuedPacket(Record):
    """Hold a packet that waits; `repeated_ms` is when its caller last sent it."""

    __slots__ = ("address", "payload", "queued_ms", "repeated_ms", "size_bytes")


class FlowQueue:
    """Hold the waiting packets of one flow in order, by their identity."""

    __slots__ = ("deficit_bytes", "key", "packets", "size_bytes")

    def __init__(self, *, key):
        self.key = key
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
        return packet


class EgressQueue:
    """Decide when and in which order packets leave; without a rate, all at once."""

    __slots__ = (
        "_bucket",
        "_flows",
        "_log",
        "_long_routes",
        "_max_backlog_bytes",
        "_metrics",
        "_new_flows",
        "_old_flows",
        "_refusal_backlog_bytes",
        "backlog_bytes",
    )

    def __init__(self, *, metrics, log, link_mbps=None):
        self._metrics = metrics
        self._log = log
        self.backlog_bytes = 0
        #: Flows with waiting packets, by key.
        self._flows = {}
        #: Flows in the order of their turns; those that just began to wait go first.
        self._new_flows = deque()
        self._old_flows = deque()
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
        """Return whether a new flow of a route would wait too long."""
        if self.backlog_bytes < self._refusal_backlog_bytes:
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
        flow = self._flow(header[FLOW_SLICE])
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
        flow.packets[identity] = QueuedPacket(
            payload=payload,
            address=address,
            queued_ms=now_ms,
            repeated_ms=now_ms,
            size_bytes=size_bytes,
        )
        flow.size_bytes += size_bytes
        self.backlog_bytes += size_bytes
        if len(flow.packets) == LONG_REQUEST_PACKETS:
            self._long_routes[header[ROUTE_SLICE]] = now_ms

    def _flow(self, key):
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = FlowQueue(key=key)
            self._new_flows.append(flow)
        return flow

    def _has_room(self, size_bytes, flow, now_ms):
        """Return whether a packet fits; the longest flow makes room for a new one."""
        if self.backlog_bytes + size_bytes <= self._max_backlog_bytes:
            return True
        if flow.packets:
            return False
        longest = max(self._flows.values(), key=lambda flow: flow.size_bytes)
        victim = longest.pop_last()
        self.backlog_bytes -= victim.size_bytes
        self._drop(victim.payload, "egress queue full", victim.queued_ms, now_ms)
        return True

    # Packets that leave.

    def _dequeue(self, now_ms):
        packets = []
        while self.backlog_bytes and self._bucket.has_tokens(now_ms):
            flow = self._next_flow()
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
            self._bucket.take(packet.size_bytes)
            wait_us = (now_ms - packet.queued_ms) * US_PER_MS
            self._metrics.record_us("egress_wait", wait_us)
            packets.append((packet.payload, packet.address))
        if not self.backlog_bytes:
            self._flows.clear()
            self._new_flows.clear()
            self._old_flows.clear()
        return packets

    def _next_flow(self):
        """Return the flow whose turn it is; some flow must have a packet.

        A new flow that has sent all it had waits for a turn like the old ones before
        it counts as new again, or it could keep the others from their turns.
        """
        while True:
            flows = self._new_flows or self._old_flows
            flow = flows[0]
            if flow.packets and flow.deficit_bytes > 0:
                return flow
            flows.popleft()
            if flow.packets:
                flow.deficit_bytes += QUANTUM_BYTES
                self._old_flows.append(flow)
            elif flows is self._new_flows:
                self._old_flows.append(flow)
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
