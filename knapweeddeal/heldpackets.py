"""knapweeddeal.heldpackets: Packets that a starting forwarder can't route yet.

Load pattern: all VMs lose power, and forwarders start before the control replicas that
know routes and upstreams. A caller repeats a packet after 0.2 s at first and after
1.6 s at last, so one that is dropped is often too late when it comes again.
"""

from knapweeddeal.packetheader import FLOW_SLICE, packet_identity

__all__ = ["HeldPackets"]

#: Time after which a packet isn't sent on: callers have given up a SYN by then, and
#: repeated other packets.
MAX_HOLD_MS = 1_400
#: Packets held at most, over 1 MB; the oldest ones give way.
MAX_HELD = 1_000


class HeldPackets:
    """Hold packets in the order in which they arrived, and only the last of copies."""

    __slots__ = ("_packets",)

    def __init__(self):
        #: Packet and arrival time by flow and identity.
        self._packets = {}

    def __len__(self):
        """Return the number of packets."""
        return len(self._packets)

    def hold(self, data, now_ms):
        """Add a packet; one that repeats another takes its place."""
        key = (data[FLOW_SLICE], packet_identity(data))
        if key not in self._packets and len(self._packets) >= MAX_HELD:
            del self._packets[next(iter(self._packets))]
        self._packets[key] = (data, now_ms)

    def pop_all(self, now_ms):
        """Remove all packets; return those that their callers still wait for."""
        packets, self._packets = self._packets.values(), {}
        return [data for data, held_ms in packets if now_ms - held_ms < MAX_HOLD_MS]
