"""knapweeddeal.packetupstreams: Upstreams of a forwarder, and the choice among them.

A forwarder sees only the packets from the caller. A retransmitted SYN indicates
that the upstream didn't answer; a later packet shows that it did.
"""

import math
import struct
from collections import deque

from knapweeddeal.messages.packets import GONE, READY
from knapweeddeal.record import Record
from knapweeddeal.sharedloads import SharedLoads
from knapweeddeal.timeconstants import NEVER_MS
from knapweeddeal.upstreamechoes import (
    EchoTable,
    id_number,
    in_echo_order,
    upstream_echo,
)

__all__ = [
    "COLD_MARGIN_MS",
    "OTHER_ZONE_PENALTY",
    "RANK_REASONS",
    "PacketUpstream",
    "UpstreamPool",
]

#: Half-life of the load that a request adds to an upstream: requests take 5 to 40 ms,
#: and some wait for a slot.
LOAD_HALF_LIFE_MS = 25.0
#: Load of an open flow; a request that just arrived adds 1.
OPEN_FLOW_LOAD = 0.05
#: Load per slot that is added for an upstream in another availability zone: its flows
#: break when the zones lose their connection, and its traffic costs more.
OTHER_ZONE_PENALTY = 1.0
#: Load per slot that is added for a cold upstream.
COLD_PENALTY = 0.5
#: Increase of the remaining cold time that replicas don't push, as reports are delayed
#: differently: opening packets need permits for this much longer.
COLD_MARGIN_MS = 100
#: Ranks of upstreams of a service that states a rate for cold ones.
WARM, COLD_PERMITTED, COLD, COLD_REFUSED = range(4)
#: Time for which an upstream that didn't answer a SYN is avoided.
SUSPECT_MS = 3_000

#: Time for which an upstream that reported its exit may still handle packets.
EXIT_GRACE_MS = 1_000
#: Time after which no flow of a gone or silent upstream is open: the maximum age of an
#: entry in the flow table.
FLOW_RETENTION_MS = 60_000
#: Time after which a gone or silent upstream is removed.
UPSTREAM_RETENTION_MS = 2 * FLOW_RETENTION_MS
#: Upper bound of the random number that breaks ties between equal loads.
TIE_BREAK_SPREAD = 0.01
#: Why an upstream precedes another, by the first position in which their ranks differ.
RANK_REASONS = (
    "the next one was tried for this flow",
    "the next one is avoided",
    "the next one is cold and needs a permit",
    "lowest load per slot with penalties",
)
#: Ready upstreams of a service that isn't known: none in either group.
NO_UPSTREAMS = ((), ())

ID_PREFIX = struct.Struct(">Q")


class PacketUpstream:
    """Hold the reported state of one upstream, and its load and answers to SYNs."""

    __slots__ = (
        "absent_since_ms",
        "address",
        "is_address_reused",
        "answered_ms",
        "cold_until_ms",
        "echo",
        "is_same_zone",
        "keeps_echo",
        "load",
        "load_ms",
        "open_flows",
        "permits",
        "prefix",
        "readmitted_until_ms",
        "refused_until_ms",
        "state",
        "state_ms",
        "suspect_until_ms",
    )

    def __init__(self, *, state, zone):
        self.echo = upstream_echo(state.upstream_id, state.echo_index)
        #: Whether flows with its echo may still be open.
        self.keeps_echo = True
        self.prefix = ID_PREFIX.pack(id_number(state.upstream_id))
        self.load = 0.0
        self.load_ms = 0
        self.open_flows = 0
        #: Whether an upstream that started later uses the same address.
        self.is_address_reused = False
        #: Since when it has been gone or silent, or None.
        self.absent_since_ms = None
        #: When a caller's packet last showed that it had answered a SYN.
        self.answered_ms = 0
        self.suspect_until_ms = 0
        #: Until when it counts as cold because its zone was readmitted.
        self.readmitted_until_ms = NEVER_MS
        #: Expiry times of permits for opening packets while it is cold.
        self.permits = deque()
        #: Time until which its home has refused permits.
        self.refused_until_ms = 0
        self.is_same_zone = state.zone == zone
        self.set_state(state, 0)

    def set_state(self, state, now_ms):
        """Set the state that was reported for the upstream."""
        self.state = state
        #: When the state was received.
        self.state_ms = now_ms
        if state.status != GONE and not state.silent:
            self.absent_since_ms = None
            self.keeps_echo = True
        elif self.absent_since_ms is None:
            self.absent_since_ms = now_ms
        self.address = (state.host, state.port)
        cold_until_ms = now_ms + state.cold_ms if state.cold_ms else NEVER_MS
        self.cold_until_ms = max(cold_until_ms, self.readmitted_until_ms)

    def note_readmitted(self, until_ms):
        """Count as cold until a time: it got no flows and may have become cold."""
        self.readmitted_until_ms = until_ms
        self.cold_until_ms = max(self.cold_until_ms, until_ms)

    def add_load(self, weight, now_ms):
        """Add the load of a packet."""
        self.load = self._decayed_load(now_ms) + weight
        self.load_ms = now_ms

    def _decayed_load(self, now_ms):
        elapsed_ms = now_ms - self.load_ms
        return (
            self.load * math.exp2(-elapsed_ms / LOAD_HALF_LIFE_MS) if self.load else 0.0
        )

    def note_answered(self, now_ms):
        """Record that the upstream answered a SYN."""
        self.answered_ms = now_ms
        self.suspect_until_ms = 0

    def note_unanswered(self, sent_ms, now_ms):
        """Suspect the upstream of a SYN without an answer, unless it answered since."""
        if self.answered_ms < sent_ms:
            self.suspect_until_ms = now_ms + SUSPECT_MS

    def assume_restart(self, cold_start_ms, now_ms):
        """Count it as cold after it was suspect, as it may have restarted meanwhile."""
        until_ms = now_ms + SUSPECT_MS + cold_start_ms
        self.cold_until_ms = max(self.cold_until_ms, until_ms)

    def needs_permit(self, now_ms):
        """Return whether it may be cold, so that a stated rate holds for it."""
        return now_ms < self.cold_until_ms + COLD_MARGIN_MS

    def has_permit(self, now_ms):
        """Return whether a permit is valid."""
        return any(expires_ms > now_ms for expires_ms in self.permits)

    def cold_rank(self, now_ms):
        """Return the rank among upstreams of a service that states a rate."""
        if not self.needs_permit(now_ms):
            return WARM
        if self.has_permit(now_ms):
            return COLD_PERMITTED
        return COLD_REFUSED if now_ms < self.refused_until_ms else COLD

    def has_ended(self, now_ms):
        """Return whether its process has ended; GONE is reported just before that."""
        if self.state.status != GONE:
            return False
        return self.is_address_reused or self.is_absent(now_ms, EXIT_GRACE_MS)

    def is_absent(self, now_ms, duration_ms):
        """Return whether it has been gone or silent for a duration."""
        since_ms = self.absent_since_ms
        return since_ms is not None and now_ms - since_ms >= duration_ms

    def is_suspect(self, now_ms):
        """Return whether it left a SYN unanswered in the last `SUSPECT_MS`."""
        return now_ms < self.suspect_until_ms

    def is_cold(self, now_ms):
        """Return whether it started so recently that it bears less load."""
        return now_ms < self.cold_until_ms

    def is_avoided(self, now_ms):
        """Return whether it is chosen only if all others are avoided too."""
        return self.is_suspect(now_ms) or self.state.silent or self.state.failing

    def load_per_slot(self, now_ms):
        """Return the load that this forwarder's flows add, per slot."""
        load = self._decayed_load(now_ms) + OPEN_FLOW_LOAD * self.open_flows
        return load / self.state.slots

    def score(self, now_ms, shares=None):
        """Return the load per slot plus penalties; lower is better.

        `shares` holds the load of other forwarders, or is None if it isn't known.
        """
        score = self.load_per_slot(now_ms)
        if shares is not None:
            score = shares.adjusted_score(score, self.state)
        if not self.is_same_zone:
            score += OTHER_ZONE_PENALTY
        if now_ms < self.cold_until_ms:
            score += COLD_PENALTY
        return score


class RankedUpstream(Record):
    """Hold an upstream and its rank; the lowest rank is chosen."""

    __slots__ = ("rank", "upstream")


class UpstreamPool:
    """Index upstreams by echo and by service; choose one for a new flow."""

    __slots__ = (
        "_by_address",
        "_by_id",
        "_echoes",
        "_former_holders",
        "_ready_by_service",
        "_all_by_service",
    )
    __slots__ += ("_random",)
    __slots__ += ("_zone", "evacuated", "evacuation_version")
    __slots__ += ("is_pushed", "shared_loads")

    def __init__(self, *, zone, random):
        self._zone = zone
        self._random = random
        self._by_id = {}
        self._echoes = EchoTable()
        #: Upstreams that had an echo before they moved to the next one, by echo.
        self._former_holders = {}
        #: The latest-started upstream at each address.
        self._by_address = {}
        #: Upstreams of each service in any status, by id.
        self._all_by_service = {}
        #: Ready upstreams of each service outside of evacuated zones: in this zone, in
        #: other zones.
        self._ready_by_service = {}
        #: Names of evacuated zones, and their version.
        self.evacuated = frozenset()
        self.evacuation_version = 0
        #: Loads of services that replicas pushed.
        self.shared_loads = SharedLoads()
        #: Whether a replica has sent states, or that it has none.
        self.is_pushed = False

    # Queries.

    @property
    def zone(self):
        """Return the availability zone of this forwarder."""
        return self._zone

    def find_by_echo(self, echo):
        """Return the upstream with the echo of a packet, or None."""
        return self._echoes.get(echo)

    def former_holders(self, echo):
        """Return the upstreams that had an echo before, the last to move first."""
        return self._former_holders.get(echo, ())

    def __len__(self):
        """Return the number of upstreams that aren't gone."""
        return sum(u.state.status != GONE for u in self._by_id.values())

    @property
    def has_upstreams(self):
        """Return whether any isn't gone; faster than `len`; polled at the start."""
        return any(u.state.status != GONE for u in self._by_id.values())

    def all(self):
        """Return all upstreams."""
        return self._by_id.values()

    def is_evacuated(self, upstream):
        """Return whether the zone of an upstream is evacuated."""
        return upstream.state.zone in self.evacuated

    def has_only_evacuated(self, service):
        """Return whether all ready upstreams of a service are in evacuated zones."""
        ready = self.candidates(service)
        return bool(ready) and all(self.is_evacuated(u) for u in ready)

    def candidates(self, service):
        """Return the ready upstreams of a service, also those of evacuated zones."""
        members = self._all_by_service.get(service, {}).values()
        return [upstream for upstream in members if upstream.state.status == READY]

    def choose(
        self, service, now_ms, tried=(), *, rated=False, random=None, ranked=None
    ):
        """Return the upstream for a new flow, or None; change nothing.

        `random` gives the random numbers instead of the pool's own source. Each
        upstream that is considered is appended to the list `ranked`, if given.

        Upstreams of evacuated zones are never chosen.
        Upstreams that were tried for this flow come last, after the avoided ones.
        Other zones are considered only if the best upstream in this zone was tried, is
        avoided, or has a load per slot of `OTHER_ZONE_PENALTY` or more. If the service
        states a rate for cold upstreams (`rated`), these come after all warm ones.
        """
        same_zone, other_zone = self._ready_by_service.get(service, NO_UPSTREAMS)
        random = random or self._random
        shares = self.shared_loads.draw(service, self._zone, random, now_ms)
        rules = (tried, rated, shares, random, ranked)
        best = self._lowest_ranked(same_zone, now_ms, *rules)
        if best is not None and best.rank < (False, False, WARM, OTHER_ZONE_PENALTY):
            return best.upstream
        other_best = self._lowest_ranked(other_zone, now_ms, *rules)
        if best is None or (other_best is not None and other_best.rank < best.rank):
            best = other_best
        return best.upstream if best is not None else None

    def service_load(self, service, now_ms):
        """Return the `ServiceLoad` that all forwarders put on a service, or None."""
        return self.shared_loads.service_load(service, now_ms)

    def _lowest_ranked(self, upstreams, now_ms, tried, rated, shares, random, ranked):
        best = None
        for upstream in upstreams:
            # The positions have their reasons in `RANK_REASONS`.
            rank = (
                upstream in tried,
                upstream.is_avoided(now_ms),
                upstream.cold_rank(now_ms) if rated else WARM,
                upstream.score(now_ms, shares) + random() * TIE_BREAK_SPREAD,
            )
            if ranked is not None:
                ranked.append(RankedUpstream(rank=rank, upstream=upstream))
            if best is None or rank < best.rank:
                best = RankedUpstream(rank=rank, upstream=upstream)
        return best

    # Commands.

    def apply_states(self, states, now_ms, *, current, whole=False):
        """Apply states from a replica; return those that changed the routing.

        A new silent mark is ignored unless the sending replica has a leader
        (`current`), as a partitioned one may lack reports; the rest of the state is
        applied. Replicas apply the same rule, except to upstreams whose home they are.
        `whole`: these are all upstreams that the replica knows.
        """
        self.is_pushed = True
        if whole and current:
            self._note_unlisted({state.upstream_id for state in states})
        changed = []
        for state in in_echo_order(states):
            changed += self._apply_state(state, now_ms, current)
        for service in {state.service for state in changed}:
            self._rebuild_ready(service)
        return changed

    def _note_unlisted(self, listed_ids):
        """Let others have the echoes of upstreams that the replicas have removed.

        A forwarder that was frozen missed that they left.
        """
        for upstream_id, upstream in self._by_id.items():
            if upstream_id not in listed_ids:
                upstream.keeps_echo = False

    def pop_echo_moves(self):
        """Return the `EchoMove` of each collision of echoes since the last call."""
        return self._echoes.pop_moves()

    def set_evacuated(self, push, services, now_ms):
        """Apply a push of evacuated zones; return whether its version is higher.

        `services` holds the `ServiceTerms` by service: an upstream of a readmitted
        zone is cold for `cold_start_ms` from now on.
        """
        if push.version <= self.evacuation_version:
            return False
        readmitted = self.evacuated.difference(push.zones)
        self.evacuation_version = push.version
        self.evacuated = frozenset(push.zones)
        for upstream in self._by_id.values():
            terms = services.get(upstream.state.service)
            if upstream.state.zone in readmitted and terms is not None:
                upstream.note_readmitted(now_ms + terms.cold_start_ms)
        for service in self._all_by_service:
            self._rebuild_ready(service)
        return True

    def _apply_state(self, state, now_ms, current):
        """Apply a state unless it is outdated; return the states that changed routing.

        The index of the echo is applied in any case, as it only increases.
        """
        upstream = self._by_id.get(state.upstream_id)
        if upstream is None:
            return self._add(state, now_ms)
        if upstream.absent_since_ms is None:
            upstream.keeps_echo = True
        moved = self._set_echoes(self._echoes.adopt_index(upstream, state.echo_index))
        old = upstream.state
        if _is_outdated(old, state):
            return moved
        if state.silent and not old.silent and not current:
            state = state.replace(silent=False)
        if state.echo_index < old.echo_index:
            state = state.replace(echo_index=old.echo_index)
        upstream.set_state(state, now_ms)
        upstream.is_same_zone = state.zone == self._zone
        self._resolve_address(upstream)
        if old.service != state.service:
            del self._all_by_service[old.service][state.upstream_id]
            self._rebuild_ready(old.service)
            self._add_to_service(upstream)
        return moved if state.has_same_routing(old) else [*moved, state]

    def _add(self, state, now_ms):
        upstream = PacketUpstream(state=state, zone=self._zone)
        upstream.set_state(state, now_ms)
        others = [one for one in self._echoes.claim(upstream) if one is not upstream]
        moved = self._set_echoes(others)
        if upstream.state.echo_index:
            self._set_echoes([upstream])
        self._by_id[state.upstream_id] = upstream
        self._add_to_service(upstream)
        self._resolve_address(upstream)
        return [upstream.state, *moved]

    def _set_echoes(self, moved):
        """Set the echoes of upstreams whose index rose; return their states."""
        for upstream in moved:
            state = upstream.state
            upstream.echo = upstream_echo(state.upstream_id, state.echo_index)
            for index in range(state.echo_index):
                former = upstream_echo(state.upstream_id, index)
                holders = self._former_holders.setdefault(former, [])
                if upstream not in holders:
                    holders.insert(0, upstream)
        return [upstream.state for upstream in moved]

    def _resolve_address(self, upstream):
        """Mark the older of two upstreams at an address; its process has ended."""
        holder = self._by_address.get(upstream.address)
        if holder in (None, upstream) or holder.address != upstream.address:
            self._by_address[upstream.address] = upstream
            upstream.is_address_reused = False
            return
        born_ms = upstream.state.born_ms
        newer, older = upstream, holder
        if born_ms < holder.state.born_ms:
            newer, older = holder, upstream
        self._by_address[upstream.address] = newer
        newer.is_address_reused = False
        older.is_address_reused = True

    def expire_upstreams(self, now_ms):
        """Remove upstreams gone or silent for `UPSTREAM_RETENTION_MS`."""
        for upstream in list(self._by_id.values()):
            if upstream.is_absent(now_ms, UPSTREAM_RETENTION_MS):
                self._remove(upstream)
            elif upstream.is_absent(now_ms, FLOW_RETENTION_MS):
                upstream.keeps_echo = False

    def _remove(self, upstream):
        upstream_id, service = upstream.state.upstream_id, upstream.state.service
        del self._by_id[upstream_id]
        del self._all_by_service[service][upstream_id]
        self._echoes.release(upstream.state)
        for index in range(upstream.state.echo_index):
            former = upstream_echo(upstream_id, index)
            self._former_holders[former].remove(upstream)
            if not self._former_holders[former]:
                del self._former_holders[former]
        if self._by_address.get(upstream.address) is upstream:
            del self._by_address[upstream.address]
        self._rebuild_ready(service)

    def _add_to_service(self, upstream):
        members = self._all_by_service.setdefault(upstream.state.service, {})
        members[upstream.state.upstream_id] = upstream

    def _rebuild_ready(self, service):
        same_zone, other_zone = [], []
        for upstream in self._all_by_service.get(service, {}).values():
            if upstream.state.status == READY and not self.is_evacuated(upstream):
                (same_zone if upstream.is_same_zone else other_zone).append(upstream)
        self._ready_by_service[service] = (same_zone, other_zone)


def _is_outdated(old, state):
    """Return whether a state is older than the last one, or of an ended process."""
    if state.version_key < old.version_key:
        return True
    if old.status == GONE and state.born_ms <= old.born_ms:
        return True
    return state.hint and not old.hint
