"""knapweeddeal.upstreamtable: What a control replica knows of upstreams for packets.

Upstreams report to any one replica, their home, which hands on what changed. Nothing
here does input or output; the time comes with each call.
"""

from knapweeddeal.messages.packets import GONE, READY, UpstreamHeartbeat
from knapweeddeal.record import Record

__all__ = ["SILENT_REPORTS", "UpstreamTable"]

#: Missing reports after which an upstream counts as silent; one may be lost, and
#: one may wait a second for a replica that is down.
SILENT_REPORTS = 3
#: Time after which a silent or removed upstream is forgotten.
FORGET_MS = 120_000
#: Silence on behalf of a home that is gone is told after so many silent times.
ORPHAN_FACTOR = 2


class Known(Record):
    """Hold an upstream's state and when it was heard, or heard of.

    `told` is the last state of it that forwarders were told, or None.
    """

    __slots__ = ("cold_until_ms", "heard_ms", "state", "told")


class UpstreamTable:
    """Order reports, and tell which upstreams changed."""

    __slots__ = ("_beats", "_by_address", "_known", "_own", "_silent_ms")

    def __init__(self, *, own, report_ms):
        self._own = own
        self._silent_ms = report_ms * SILENT_REPORTS
        self._known = {}
        #: The upstream that started last at an address, by address.
        self._by_address = {}
        self._beats = {}

    # Queries.

    def states(self, now_ms):
        """Return all that is known, as it stands now."""
        return [_aged(known, now_ms) for known in self._known.values()]

    def peers_by_service(self, upstream_ids):
        """Return the ids of ready upstreams by service, for services of some."""
        known = [self._known[one] for one in upstream_ids if one in self._known]
        services = {one.state.service: [] for one in known}
        if not services:
            return services
        for known in self._known.values():
            state = known.state
            is_ready = state.status == READY and not state.silent
            if is_ready and state.service in services:
                services[state.service].append(state.upstream_id)
        return services

    def get(self, upstream_id):
        """Return the state of an upstream, or None."""
        known = self._known.get(upstream_id)
        return known.state if known else None

    # Commands.

    def apply_state(self, state, now_ms):
        """Take a state; return the states that changed, the newest last.

        What is older than what is known, or comes after a removal, changes nothing.
        """
        known = self._known.get(state.upstream_id)
        if known is not None and not _is_news(known.state, state):
            return []
        if state.status != GONE and self._is_displaced(state):
            return []
        if known is None and state.status == GONE and state.hint:
            return []
        if self._keeps_failing(known, state):
            state = state.replace(failing=True)
        self._known[state.upstream_id] = Known(
            state=state,
            heard_ms=now_ms,
            cold_until_ms=now_ms + state.cold_ms,
            told=known.told if known else None,
        )
        if state.home == self._own:
            self._beats[state.upstream_id] = state
        changed = self._displace(state)
        if known is None or _differs(known.state, state):
            changed.append(state)
        return changed

    def mark_failing(self, failing, suspects):
        """Mark those suspects whose home this is, given the ids of those that fail."""
        changed = []
        for upstream_id in suspects:
            known = self._known.get(upstream_id)
            if known is None or known.state.home != self._own:
                continue
            is_failing = upstream_id in failing
            if known.state.failing != is_failing:
                known.state = known.state.replace(failing=is_failing)
                changed.append(known.state)
        return changed

    def _keeps_failing(self, known, state):
        """Tell whether a report came from an upstream that was marked here."""
        if known is None or not known.state.failing:
            return False
        own = state.home == self._own == known.state.home
        return own and state.born_ms == known.state.born_ms

    def pop_unsent(self, states):
        """Return those states that are news to forwarders, which are told now.

        Which replica heard an upstream, and that a hint was right, is no news to them.
        """
        untold = []
        for state in states:
            known = self._known.get(state.upstream_id)
            told = known.told if known else None
            if told is None or not state.has_same_routing(told):
                untold.append(state)
            if known is not None:
                known.told = state
        return untold

    def apply_heartbeat(self, beat, home, now_ms):
        """Note that another replica heard an upstream; return what changed."""
        known = self._known.get(beat.upstream_id)
        if known is None or known.state.status == GONE:
            return []
        if (beat.born_ms, beat.sequence) < known.state.version_key:
            return []
        state = known.state.replace(
            sequence=beat.sequence, silent=False, home=home, hint=False
        )
        if beat.born_ms != state.born_ms:
            return []
        return self.apply_state(state, now_ms)

    def pop_heartbeats(self):
        """Return beats heard here since the last call, and forget them."""
        beats = [
            UpstreamHeartbeat(
                upstream_id=state.upstream_id,
                born_ms=state.born_ms,
                sequence=state.sequence,
            )
            for state in self._beats.values()
        ]
        self._beats = {}
        return beats

    def expire(self, *, now_ms, current, linked):
        """Return the upstreams that became silent.

        Another replica's upstreams count as silent only while a leader is heard: a
        replica that is cut off may lack their reports. `linked` holds the replicas
        that can be heard.
        """
        changed = []
        for known in list(self._known.values()):
            age_ms = now_ms - known.heard_ms
            if age_ms >= FORGET_MS:
                self._forget(known.state)
            elif self._is_silent(known.state, age_ms, current, linked):
                known.state = known.state.replace(silent=True)
                changed.append(known.state)
        return changed

    def _forget(self, state):
        del self._known[state.upstream_id]
        address = (state.host, state.port)
        if self._by_address.get(address) == state.upstream_id:
            del self._by_address[address]

    def _is_silent(self, state, age_ms, current, linked):
        if state.silent or state.status == GONE:
            return False
        if state.home == self._own:
            return age_ms >= self._silent_ms
        patience = 1 if state.home in linked else ORPHAN_FACTOR
        return current and age_ms >= self._silent_ms * patience

    def _is_displaced(self, state):
        """Tell whether a later upstream has the address."""
        holder = self._holder(state)
        return holder is not None and holder.state.born_ms > state.born_ms

    def _displace(self, state):
        """Remove the earlier upstream at an address, and return it."""
        if state.status == GONE:
            return []
        holder = self._holder(state)
        self._by_address[(state.host, state.port)] = state.upstream_id
        if holder is None or holder.state.born_ms >= state.born_ms:
            return []
        holder.state = holder.state.replace(status=GONE, home=self._own)
        return [holder.state]

    def _holder(self, state):
        """Return the other upstream that is known at an address, or None."""
        address = (state.host, state.port)
        holder = self._known.get(self._by_address.get(address))
        if holder is None or holder.state.upstream_id == state.upstream_id:
            return None
        is_there = (holder.state.host, holder.state.port) == address
        return holder if is_there and holder.state.status != GONE else None


def _is_news(known, state):
    if known.status == GONE and state.born_ms <= known.born_ms:
        return False
    if state.version_key == known.version_key:
        return _differs(known, state) and not state.hint
    return state.version_key > known.version_key


def _differs(known, state):
    """Tell whether anything but the times and the sequence differs."""
    if known.home != state.home or known.hint != state.hint:
        return True
    return not state.has_same_routing(known)


def _aged(known, now_ms):
    cold_ms = max(known.cold_until_ms - now_ms, 0)
    return known.state.replace(cold_ms=cold_ms)
