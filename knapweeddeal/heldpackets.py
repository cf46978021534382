"""knapweeddeal.heldpackets: Packets that a starting forwarder can't route yet.

Load patterns:

- All VMs lose power, and forwarders start before the control replicas that know routes
  and upstreams. A caller repeats a packet after 0.2 s at first and after 1.6 s at last,
  so one that is dropped is often too late when it comes again.
- All forwarders get their routes in the same moment. What they held would fill the
  queues of all upstreams at once, so only fresh packets go on at once, and the others
  over some time.
"""

from collections import deque

from knapweeddeal.packetheader import FLOW_SLICE, packet_identity

__all__ = ["HeldPackets"]

#: Time after which a packet isn't sent on: callers have given up a SYN by then, and
#: repeated other packets.
MAX_HOLD_MS = 1_400
#: Age up to which a packet goes on at once, as its answer may still be in time.
FRESH_MS = 50
#: Time over which older packets go on.
SPREAD_MS = 1_000
#: Packets held at most, over 1 MB; the oldest ones give way.
MAX_HELD = 1_000


class HeldPackets:
    """Hold packets in the order of their arrival, the last of copies; then release."""

    __slots__ = ("_due", "_packets")

    def __init__(self):
        #: Packet and arrival time by flow and identity.
        self._packets = {}
        #: Due time and key of packets that go on, in order; None while all are held.
        self._due = None

    def __len__(self):
        """Return the number of packets."""
        return len(self._packets)

    @property
    def next_due_ms(self):
        """Return when `pop_due` must be called next, or None."""
        return self._due[0][0] if self._due else None

    def hold(self, data, now_ms):
        """Add a packet; one that repeats another takes its place."""
        key = _key(data)
        if key not in self._packets and len(self._packets) >= MAX_HELD:
            del self._packets[next(iter(self._packets))]
        self._packets[key] = (data, now_ms)

    def discard_copy(self, data):
        """Remove the packet that another one repeats, as that one goes on."""
        self._packets.pop(_key(data), None)

    def start_release(self, now_ms):
        """Schedule all packets that their callers still wait for."""
        fresh, older = [], []
        for key, (_, held_ms) in self._packets.items():
            age_ms = now_ms - held_ms
            if age_ms <= FRESH_MS:
                fresh.append((now_ms, key))
            elif age_ms < MAX_HOLD_MS:
                older.append(key)
        self._due = deque(fresh)
        for number, key in enumerate(older):
            due_ms = now_ms + SPREAD_MS * number // len(older)
            self._due.append((due_ms, key))

    def pop_due(self, now_ms):
        """Remove the packets that are due; return those that callers wait for."""
        packets = []
        while self._due and self._due[0][0] <= now_ms:
            _, key = self._due.popleft()
            data, held_ms = self._packets.pop(key, (None, now_ms - MAX_HOLD_MS))
            if now_ms - held_ms < MAX_HOLD_MS:
                packets.append(data)
        return packets


def _key(data):
    return data[FLOW_SLICE], packet_identity(data)
