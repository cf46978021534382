"""knapweeddeal.packetupstreams: The upstreams that a forwarder knows, and its choice.

A forwarder sees one direction of a flow. What it learns from it: a repeated SYN says
that the upstream didn't answer, a later packet says that it did.
"""

import math
import struct

from knapweeddeal.messages.packets import GONE, READY
from knapweeddeal.record import Record

__all__ = ["PacketUpstream", "UpstreamPool", "echo_from_number"]

#: Half of a request's weight in an upstream's load is gone after this time: a
#: request takes 5 to 40 ms at today's upstreams, and some wait for a slot.
LOAD_HALF_MS = 25.0
#: Weight of a flow that is open, beside that of a request that was just seen.
OPEN_WEIGHT = 0.05
#: Load per slot that a distant upstream must be below a near one to be chosen: its
#: flows end when availability zones lose each other, and its bytes cost more.
ZONE_MARGIN = 1.0
#: Load per slot that a cold upstream counts as having.
COLD_LOAD = 0.5
#: Time for which an upstream that didn't answer a SYN is chosen last.
SUSPECT_MS = 3_000

#: Time that an upstream may take to end after it said that it leaves for good.
EXIT_GRACE_MS = 1_000
#: Time after which a gone or silent upstream is forgotten: twice the longest life of a
#: flow that is remembered.
FORGET_MS = 120_000
#: Spread of what decides between upstreams of equal load.
TIE_SPREAD = 0.01
#: The upstreams of an unknown service.
NONE = ((), ())

ID_PREFIX = struct.Struct(">Q")
ECHO = struct.Struct("<I")
ECHO_MASK = 2**32 - 1


def echo_from_number(number):
    """Return the bytes by which packets name an upstream; never zero."""
    folded = (number ^ (number >> 32)) & ECHO_MASK
    return ECHO.pack(folded or 1)


class PacketUpstream:
    """Hold one upstream: what was told of it, and what its flows show."""

    __slots__ = (
        "absent_since_ms",
        "address",
        "address_is_taken",
        "answered_ms",
        "cold_until_ms",
        "echo",
        "is_same_zone",
        "load",
        "load_ms",
        "open_flows",
        "prefix",
        "state",
        "suspect_until_ms",
    )

    def __init__(self, *, state, number, zone):
        self.echo = echo_from_number(number)
        self.prefix = ID_PREFIX.pack(number)
        self.load = 0.0
        self.load_ms = 0
        self.open_flows = 0
        #: Whether an upstream that started later has its address.
        self.address_is_taken = False
        #: Since when it is known to be gone or silent, or None.
        self.absent_since_ms = None
        #: When a caller last showed that it had an answer to a SYN.
        self.answered_ms = 0
        self.suspect_until_ms = 0
        self.is_same_zone = state.zone == zone
        self.set_state(state, 0)

    def set_state(self, state, now_ms):
        """Take what was told."""
        self.state = state
        if state.status != GONE and not state.silent:
            self.absent_since_ms = None
        elif self.absent_since_ms is None:
            self.absent_since_ms = now_ms
        self.address = (state.host, state.port)
        self.cold_until_ms = now_ms + state.cold_ms

    def add_load(self, weight, now_ms):
        """Count work that a packet brings."""
        self.load = self._faded(now_ms) + weight
        self.load_ms = now_ms

    def _faded(self, now_ms):
        elapsed_ms = now_ms - self.load_ms
        return self.load * math.exp2(-elapsed_ms / LOAD_HALF_MS) if self.load else 0.0

    def note_answered(self, now_ms):
        """Note that a caller got an answer to a SYN."""
        self.answered_ms = now_ms
        self.suspect_until_ms = 0

    def note_unanswered(self, asked_ms, now_ms):
        """Note that a SYN got no answer, unless a later one did."""
        if self.answered_ms < asked_ms:
            self.suspect_until_ms = now_ms + SUSPECT_MS

    def has_ended(self, now_ms):
        """Tell whether its process is gone: it says so just before it ends."""
        if self.state.status != GONE:
            return False
        return self.address_is_taken or self.is_absent(now_ms, EXIT_GRACE_MS)

    def is_absent(self, now_ms, duration_ms):
        """Tell whether it has been gone or silent for some time."""
        since_ms = self.absent_since_ms
        return since_ms is not None and now_ms - since_ms >= duration_ms

    def is_suspect(self, now_ms):
        """Tell whether a SYN went unanswered lately."""
        return now_ms < self.suspect_until_ms

    def is_avoided(self, now_ms):
        """Tell whether it is chosen only if all others are avoided too."""
        return self.is_suspect(now_ms) or self.state.silent or self.state.failing

    def score(self, now_ms):
        """Return the load per slot, with what speaks against this upstream."""
        load = self._faded(now_ms) + OPEN_WEIGHT * self.open_flows
        score = load / self.state.slots
        if not self.is_same_zone:
            score += ZONE_MARGIN
        if now_ms < self.cold_until_ms:
            score += COLD_LOAD
        return score


class Ranked(Record):
    """Hold an upstream and how it compares; the lower rank is better."""

    __slots__ = ("rank", "upstream")


class UpstreamPool:
    """Keep upstreams by echo and by service; choose one for a new flow."""

    __slots__ = ("_by_address", "_by_echo", "_by_id", "_by_service", "_members")
    __slots__ += ("_random",)
    __slots__ += ("_zone", "collisions")

    def __init__(self, *, zone, random):
        self._zone = zone
        self._random = random
        self._by_id = {}
        self._by_echo = {}
        #: The upstream that started last at each address.
        self._by_address = {}
        #: All upstreams of each service by id.
        self._members = {}
        #: Ready upstreams of each service: near ones, distant ones.
        self._by_service = {}
        self.collisions = 0

    # Queries.

    def find_by_echo(self, echo):
        """Return the upstream that a packet names, or None."""
        return self._by_echo.get(echo)

    def __len__(self):
        """Return the number of upstreams that aren't gone."""
        return sum(u.state.status != GONE for u in self._by_id.values())

    @property
    def has_upstreams(self):
        """Tell whether any isn't gone; a forwarder's start asks with each packet."""
        return any(u.state.status != GONE for u in self._by_id.values())

    def all(self):
        """Return all upstreams."""
        return self._by_id.values()

    def choose(self, service, now_ms, tried=()):
        """Return the upstream for a new flow, or None.

        Avoided ones and those that were tried for this flow come last.
        Distant ones aren't looked at while a near one has little to do.
        """
        near, distant = self._by_service.get(service, NONE)
        best = self._best(near, now_ms, tried)
        if best is not None and best.rank < (False, False, ZONE_MARGIN):
            return best.upstream
        other = self._best(distant, now_ms, tried)
        if best is None or (other is not None and other.rank < best.rank):
            best = other
        return best.upstream if best is not None else None

    def _best(self, upstreams, now_ms, tried):
        best = None
        for upstream in upstreams:
            rank = (
                upstream in tried,
                upstream.is_avoided(now_ms),
                upstream.score(now_ms) + self._random() * TIE_SPREAD,
            )
            if best is None or rank < best.rank:
                best = Ranked(rank=rank, upstream=upstream)
        return best

    # Commands.

    def apply_states(self, states, now_ms, *, current):
        """Take what a replica told; return the states that were news.

        Silence counts only from a replica that hears a leader, or the home of the
        upstream, which the replica has sorted out; `current` tells the former.
        """
        news = [state for state in states if self._take_one(state, now_ms, current)]
        for service in {state.service for state in news}:
            self._rebuild(service)
        return news

    def _take_one(self, state, now_ms, current):
        """Take a state; return whether it changed what this forwarder does."""
        known = self._by_id.get(state.upstream_id)
        if known is None:
            self._add(state, now_ms)
            return True
        old = known.state
        if state.version_key < old.version_key:
            return False
        if old.status == GONE and state.born_ms <= old.born_ms:
            return False
        if state.hint and not old.hint:
            return False
        if state.silent and not old.silent and not current:
            return False
        known.set_state(state, now_ms)
        known.is_same_zone = state.zone == self._zone
        self._settle(known)
        if old.service != state.service:
            del self._members[old.service][state.upstream_id]
            self._rebuild(old.service)
            self._enrol(known)
        return not state.has_same_routing(old)

    def _add(self, state, now_ms):
        number = id_number(state.upstream_id)
        upstream = PacketUpstream(state=state, number=number, zone=self._zone)
        upstream.set_state(state, now_ms)
        if upstream.echo in self._by_echo:
            self.collisions += 1
        self._by_echo[upstream.echo] = upstream
        self._by_id[state.upstream_id] = upstream
        self._enrol(upstream)
        self._settle(upstream)

    def _settle(self, upstream):
        """Note who has an upstream's address: a process that has it ended the other."""
        holder = self._by_address.get(upstream.address)
        if holder in (None, upstream) or holder.address != upstream.address:
            self._by_address[upstream.address] = upstream
            return
        born_ms = upstream.state.born_ms
        later, earlier = upstream, holder
        if born_ms < holder.state.born_ms:
            later, earlier = holder, upstream
        self._by_address[upstream.address] = later
        later.address_is_taken = False
        earlier.address_is_taken = True

    def expire_upstreams(self, now_ms):
        """Forget upstreams that have been gone or silent for long."""
        for upstream in list(self._by_id.values()):
            if upstream.is_absent(now_ms, FORGET_MS):
                self._drop(upstream)

    def _drop(self, upstream):
        upstream_id, service = upstream.state.upstream_id, upstream.state.service
        del self._by_id[upstream_id]
        del self._members[service][upstream_id]
        if self._by_echo.get(upstream.echo) is upstream:
            del self._by_echo[upstream.echo]
        if self._by_address.get(upstream.address) is upstream:
            del self._by_address[upstream.address]
        self._rebuild(service)

    def _enrol(self, upstream):
        members = self._members.setdefault(upstream.state.service, {})
        members[upstream.state.upstream_id] = upstream

    def _rebuild(self, service):
        near, distant = [], []
        for upstream in self._members.get(service, {}).values():
            if upstream.state.status == READY:
                (near if upstream.is_same_zone else distant).append(upstream)
        self._by_service[service] = (near, distant)


def id_number(upstream_id):
    """Return the number in an upstream's id: its hexadecimal digits."""
    return int(upstream_id.rpartition("-")[2], 16)
