"""tests.egressreplay: Callers that send through an egress queue over a narrow link."""

import heapq
import itertools
from collections import deque

from knapweeddeal.packetheader import FLOW_SLICE
from tests.packetfakes import PORT, packet, syn

__all__ = ["Caller", "FifoQueue", "Link", "Replay", "UnpacedQueue"]

ADDRESS = ("10.0.0.1", 80)
PREFIX = (1).to_bytes(8, "big")
MAX_DATA_BYTES = 1_200
#: Packets that a caller sends before it waits for an acknowledgment.
WINDOW = 16
#: Time until a caller repeats a packet; it doubles up to the maximum.
FIRST_REPEAT_MS, MAX_REPEAT_MS = 200, 1_600
#: Time from the link to an upstream and back to the caller.
ROUND_TRIP_MS = 4
#: Bytes that IP and UDP add to a datagram.
OVERHEAD_BYTES = 28


class UnpacedQueue:
    """Hand on each packet at once, as a forwarder without an egress queue does."""

    def release(self, packets, now_ms):
        """Return the packets."""
        return packets


class FifoQueue:
    """Pace packets in the order of their arrival, copies too."""

    def __init__(self, *, bucket):
        self._bucket = bucket
        self._packets = deque()

    def release(self, packets, now_ms):
        """Return the packets to send now."""
        self._packets.extend(packets)
        sent = []
        while self._packets and self._bucket.has_tokens(now_ms):
            sent.append(self._packets.popleft())
            self._bucket.take(len(sent[-1][0]) + OVERHEAD_BYTES)
        return sent


class Link:
    """Carry datagrams at a rate; drop those that its queue has no room for."""

    def __init__(self, *, mbps, queue_bytes):
        self._bytes_per_ms = mbps * 125
        self._queue_bytes = queue_bytes
        self._free_ms = 0.0
        self.dropped = 0

    def carry(self, payload, now_ms):
        """Return when a datagram is through, or None if it is dropped."""
        start_ms = max(self._free_ms, now_ms)
        if (start_ms - now_ms) * self._bytes_per_ms > self._queue_bytes:
            self.dropped += 1
            return None
        size_bytes = len(payload) + OVERHEAD_BYTES
        self._free_ms = start_ms + size_bytes / self._bytes_per_ms
        return self._free_ms


class Transmission:
    """Hold a packet in flight and when it is repeated."""

    def __init__(self, *, payload, now_ms):
        self.payload = payload
        self._interval_ms = FIRST_REPEAT_MS
        self._repeat_ms = now_ms + FIRST_REPEAT_MS

    def is_due(self, now_ms):
        """Return whether the packet is repeated now; then wait twice as long."""
        if now_ms < self._repeat_ms:
            return False
        self._interval_ms = min(2 * self._interval_ms, MAX_REPEAT_MS)
        self._repeat_ms = now_ms + self._interval_ms
        return True


class Caller:
    """Open a flow, send data in packets, and repeat what isn't acknowledged."""

    def __init__(self, *, port, size_bytes, start_ms=0, to=PORT):
        self.key = syn(port=port, to=to)[FLOW_SLICE]
        self.start_ms = start_ms
        #: When the SYN and when the last packet was acknowledged.
        self.opened_ms = self.done_ms = None
        self._unsent = deque([PREFIX + syn(port=port, to=to)])
        for start in range(0, size_bytes, MAX_DATA_BYTES):
            data = b"x" * min(MAX_DATA_BYTES, size_bytes - start)
            self._unsent.append(
                PREFIX + packet(port=port, sequence=8 + start, data=data, to=to)
            )
        #: Packets in flight by payload, which differs in the sequence number.
        self._in_flight = {}

    def send(self, now_ms):
        """Return the payloads that the caller sends now."""
        if now_ms < self.start_ms or self.done_ms is not None:
            return []
        sent = [t.payload for t in self._in_flight.values() if t.is_due(now_ms)]
        window = WINDOW if self.opened_ms is not None else 1
        while self._unsent and len(self._in_flight) < window:
            payload = self._unsent.popleft()
            self._in_flight[payload] = Transmission(payload=payload, now_ms=now_ms)
            sent.append(payload)
        return sent

    def acknowledge(self, payload, now_ms):
        """Take the acknowledgment of a packet."""
        self._in_flight.pop(payload, None)
        if self.opened_ms is None:
            self.opened_ms = now_ms
        if not self._unsent and not self._in_flight and self.done_ms is None:
            self.done_ms = now_ms

    @property
    def open_wait_ms(self):
        """Return how long the flow took to open."""
        return self.opened_ms - self.start_ms

    @property
    def wait_ms(self):
        """Return how long all packets took; None if some aren't through."""
        return None if self.done_ms is None else self.done_ms - self.start_ms


class Replay:
    """Play callers, a queue and a link by the millisecond."""

    def __init__(self, *, queue, link, callers):
        self._queue = queue
        self._link = link
        self._callers = {caller.key: caller for caller in callers}
        self._acknowledgments = []
        self._numbers = itertools.count()

    def run(self, until_ms):
        """Play until a time."""
        for now_ms in range(until_ms):
            self._deliver(now_ms)
            packets = [
                (payload, ADDRESS)
                for caller in self._callers.values()
                for payload in caller.send(now_ms)
            ]
            for payload, _ in self._queue.release(packets, now_ms):
                self._carry(payload, now_ms)

    def _carry(self, payload, now_ms):
        through_ms = self._link.carry(payload, now_ms)
        if through_ms is not None:
            entry = (through_ms + ROUND_TRIP_MS, next(self._numbers), payload)
            heapq.heappush(self._acknowledgments, entry)

    def _deliver(self, now_ms):
        while self._acknowledgments and self._acknowledgments[0][0] <= now_ms:
            _, _, payload = heapq.heappop(self._acknowledgments)
            caller = self._callers[payload[len(PREFIX) :][FLOW_SLICE]]
            caller.acknowledge(payload, now_ms)
