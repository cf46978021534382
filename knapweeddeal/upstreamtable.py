"""knapweeddeal.upstreamtable: A control replica's table of upstreams for packets.

An upstream reports to one replica, its home, which replicates the changes. The table
does no I/O; callers pass the time.
"""

from knapweeddeal.messages.packets import DRAINING, GONE, READY, UpstreamHeartbeat
from knapweeddeal.record import Record
from knapweeddeal.timeconstants import NEVER_MS
from knapweeddeal.upstreamechoes import EchoTable, in_echo_order

__all__ = ["ACCEPTED", "DEFERRED", "IGNORED", "REFUSED", "SILENT_REPORTS"]
__all__ += ["UpstreamTable"]

#: Missed reports after which an upstream counts as silent: one may be lost, and one
#: may be delayed a second by a replica that is down.
SILENT_REPORTS = 3
#: Time since the last report after which a silent or removed upstream is deleted.
UPSTREAM_RETENTION_MS = 120_000
#: Factor on the silence timeout of upstreams whose home replica isn't connected.
LOST_HOME_FACTOR = 2


#: Increase of the remaining cold time from which it has started to count again;
#: smaller ones are due to different delays of reports.
COLD_RESTART_MS = 100

#: What becomes of a departure: the upstream is gone at once, or once it is silent, or
#: it stays as it is. A refused one isn't confirmed, as another replica may know more.
ACCEPTED, DEFERRED, IGNORED = "accepted", "deferred", "ignored"
REFUSED = "refused"


class UpstreamEntry(Record):
    """Hold an upstream's state and the time of its last report or heartbeat.

    `last_sent` is the last state of it that was sent to forwarders, or None;
    `sent_cold_until_ms` the end of its cold time that they know. `is_restarted`: an
    earlier process reported under its id. `is_departing`: a departure that may be of
    that one arrived after the last report.
    """

    __slots__ = ("cold_until_ms", "received_ms", "state", "last_sent")
    __slots__ += ("is_departing", "is_restarted", "sent_cold_until_ms")

    #: An entry is kept longer than any flow of its upstream.
    keeps_echo = True

    def lacks_cold_time(self, cold_until_ms, now_ms):
        """Return whether forwarders know a shorter cold time, or that it has ended."""
        sent_ms = self.sent_cold_until_ms
        return sent_ms <= now_ms or cold_until_ms >= sent_ms + COLD_RESTART_MS


class UpstreamTable:
    """Apply reports in order, and return which upstreams changed."""

    __slots__ = (
        "_unsent_heartbeats",
        "_by_address",
        "_echoes",
        "_entries",
        "_own_identity",
        "_services",
        "_silence_timeout_ms",
    )

    def __init__(self, *, own_identity, report_ms):
        self._own_identity = own_identity
        self._silence_timeout_ms = report_ms * SILENT_REPORTS
        self._entries = {}
        #: The upstream of a configured service that started last at an address.
        self._by_address = {}
        self._echoes = EchoTable()
        #: Names of the services in the configuration.
        self._services = frozenset()
        self._unsent_heartbeats = {}

    # Queries.

    def states(self, now_ms):
        """Return the states of all upstreams, with `cold_ms` as of now."""
        return [
            _with_remaining_cold_ms(entry, entry.state, now_ms)
            for entry in self._entries.values()
        ]

    def peers_by_service(self, upstream_ids):
        """Return the ids of ready upstreams by service, for services of some ids."""
        entries = [self._entries[one] for one in upstream_ids if one in self._entries]
        services = {entry.state.service: [] for entry in entries}
        if not services:
            return services
        for entry in self._entries.values():
            state = entry.state
            is_ready = state.status == READY and not state.silent
            if is_ready and state.service in services:
                services[state.service].append(state.upstream_id)
        return services

    def with_remaining_cold(self, states, now_ms):
        """Return states with the `cold_ms` that remains of their upstreams."""
        return [
            _with_remaining_cold_ms(self._entries[state.upstream_id], state, now_ms)
            if state.upstream_id in self._entries
            else state
            for state in states
        ]

    def cold_ids(self, now_ms):
        """Return the ids of upstreams that are cold."""
        return [
            upstream_id
            for upstream_id, entry in self._entries.items()
            if now_ms < entry.cold_until_ms and entry.state.status != GONE
        ]

    def ready_states(self, services):
        """Return the states of ready, reporting upstreams by service, for services."""
        found = {service: [] for service in services}
        if not found:
            return found
        for entry in self._entries.values():
            state = entry.state
            if state.service in found and state.status == READY and not state.silent:
                found[state.service].append(state)
        return found

    def get(self, upstream_id):
        """Return the state of an upstream, or None."""
        entry = self._entries.get(upstream_id)
        return entry.state if entry else None

    def judge_departure(self, upstream_id, born_ms):
        """Return what becomes of a departure; `born_ms` is its start, or None.

        The network may have delayed a departure that an earlier process sent under the
        same id. One with a start counts only for that process. One without may be of
        the last process known if that is draining, as an upstream departs only after
        it has reported so. Where an earlier one is known, the next report shows which
        of them departed.
        """
        entry = self._entries.get(upstream_id)
        if entry is None or entry.state.status == GONE:
            return IGNORED
        known_born_ms = entry.state.born_ms
        if born_ms is not None and born_ms != known_born_ms:
            return IGNORED if born_ms < known_born_ms else REFUSED
        if born_ms is not None:
            return ACCEPTED
        if entry.state.status != DRAINING:
            return REFUSED
        return DEFERRED if entry.is_restarted else ACCEPTED

    def departed_state(self, upstream_id, sequence):
        """Return the state that a departure leaves; `sequence` is its own, or None."""
        last = self._entries[upstream_id].state
        if sequence is not None:
            last = last.replace(sequence=sequence)
        return self._gone(last)

    def _gone(self, state):
        return state.replace(status=GONE, home=self._own_identity, hint=False)

    # Commands.

    def apply_state(self, state, now_ms):
        """Apply a state; return the states that changed, the newest last.

        A state older than the present one, or after a removal, changes nothing but the
        echo, whose index only increases.
        """
        entry = self._entries.get(state.upstream_id)
        if entry is None:
            return self._apply(state, now_ms)
        moved = self._echoes.adopt_index(entry, state.echo_index)
        if state.echo_index < entry.state.echo_index:
            state = state.replace(echo_index=entry.state.echo_index)
        return [one.state for one in moved] + self._apply(state, now_ms)

    def apply_states(self, states, now_ms):
        """Apply states from another replica; return the states that changed."""
        changed = []
        for state in in_echo_order(states):
            changed += self.apply_state(state, now_ms)
        return changed

    def _apply(self, state, now_ms):
        entry = self._entries.get(state.upstream_id)
        if entry is not None and not _is_superseded(entry.state, state):
            return []
        if entry is not None and self._is_foreign(entry.state, state):
            return []
        if state.status != GONE and self._is_displaced(state):
            return []
        if entry is None and state.status == GONE and state.hint:
            return []
        if self._remains_failing(entry, state):
            state = state.replace(failing=True)
        if entry is None:
            return self._add(state, now_ms)
        cold_until_ms = now_ms + state.cold_ms
        is_changed = _differs(entry.state, state) or (
            state.cold_ms and entry.lacks_cold_time(cold_until_ms, now_ms)
        )
        entry.is_departing = _remains_departing(entry, state)
        entry.is_restarted |= entry.state.born_ms < state.born_ms
        entry.state = state
        entry.received_ms = now_ms
        entry.cold_until_ms = cold_until_ms
        self._note_heartbeat(state)
        return [*self._displace(state), state] if is_changed else self._displace(state)

    def _add(self, state, now_ms):
        """Add an upstream; return its state and those that changed with it."""
        entry = self._entries[state.upstream_id] = UpstreamEntry(
            state=state,
            is_departing=False,
            is_restarted=False,
            received_ms=now_ms,
            cold_until_ms=now_ms + state.cold_ms,
            last_sent=None,
            sent_cold_until_ms=NEVER_MS,
        )
        # One that this replica learns of by its report, as the first one, is new.
        is_new = state.home == self._own_identity and not state.hint
        moved = self._echoes.claim(entry, is_new=is_new)
        self._note_heartbeat(entry.state)
        others = [other.state for other in moved if other is not entry]
        return [*others, *self._displace(entry.state), entry.state]

    def _note_heartbeat(self, state):
        if state.home == self._own_identity:
            self._unsent_heartbeats[state.upstream_id] = state

    def defer_departure(self, upstream_id):
        """Count an upstream as gone once it is silent, unless it reports before."""
        self._entries[upstream_id].is_departing = True

    def set_services(self, names):
        """Set the names of the configured services; return the states that changed.

        Upstreams that reported before their service was configured displace others at
        their address now.
        """
        if self._services == names:
            return []
        self._services = frozenset(names)
        changed = []
        for entry in sorted(self._entries.values(), key=lambda e: e.state.born_ms):
            changed += self._displace(entry.state)
        return changed

    def mark_failing(self, failing, suspects):
        """Set the failing mark of suspects of this home; return the changed states."""
        changed = []
        for upstream_id in suspects:
            entry = self._entries.get(upstream_id)
            if entry is None or entry.state.home != self._own_identity:
                continue
            is_failing = upstream_id in failing
            if entry.state.failing != is_failing:
                entry.state = entry.state.replace(failing=is_failing)
                changed.append(entry.state)
        return changed

    def _remains_failing(self, entry, state):
        """Return whether a report is of an upstream marked here since its start."""
        if entry is None or not entry.state.failing:
            return False
        own = state.home == self._own_identity == entry.state.home
        return own and state.born_ms == entry.state.born_ms

    def pop_unsent(self, states):
        """Return the states that forwarders lack, and record them as sent.

        A change of only the home, or of a hint to a report, isn't sent to them, unless
        the cold time has started to count again.
        """
        unsent = []
        for state in states:
            entry = self._entries.get(state.upstream_id)
            last_sent = entry.last_sent if entry else None
            is_cold_again = (
                entry is not None
                and state.cold_ms
                and entry.lacks_cold_time(entry.cold_until_ms, entry.received_ms)
            )
            if (
                last_sent is None
                or is_cold_again
                or not state.has_same_routing(last_sent)
            ):
                unsent.append(state)
                if entry is not None:
                    entry.sent_cold_until_ms = entry.cold_until_ms
            if entry is not None:
                entry.last_sent = state
        return unsent

    def pop_echo_moves(self):
        """Return the `EchoMove` of each collision of echoes since the last call."""
        return self._echoes.pop_moves()

    def apply_heartbeat(self, heartbeat, home, now_ms):
        """Apply a heartbeat that another replica received; return what changed."""
        entry = self._entries.get(heartbeat.upstream_id)
        if entry is None or entry.state.status == GONE:
            return []
        if (heartbeat.born_ms, heartbeat.sequence) < entry.state.version_key:
            return []
        state = entry.state.replace(
            sequence=heartbeat.sequence,
            cold_ms=max(entry.cold_until_ms - now_ms, 0),
            silent=False,
            home=home,
            hint=False,
        )
        if heartbeat.born_ms != state.born_ms:
            return []
        return self.apply_state(state, now_ms)

    def pop_heartbeats(self):
        """Return and clear the heartbeats received here since the last call."""
        heartbeats = [
            UpstreamHeartbeat(
                upstream_id=state.upstream_id,
                born_ms=state.born_ms,
                sequence=state.sequence,
            )
            for state in self._unsent_heartbeats.values()
        ]
        self._unsent_heartbeats = {}
        return heartbeats

    def expire(self, *, now_ms, current, linked):
        """Mark and return the upstreams that became silent; delete old entries.

        Upstreams of another home count as silent only while the replicated state is
        `current`, that is, has a leader: a partitioned replica may lack their reports.
        `linked` holds the identities of connected replicas.

        One with a deferred departure is gone at the call after that: after a pause of
        this replica, reports may still wait to be applied.
        """
        changed = []
        for entry in list(self._entries.values()):
            age_ms = now_ms - entry.received_ms
            if age_ms >= UPSTREAM_RETENTION_MS:
                self._remove(entry.state)
            elif entry.is_departing and entry.state.silent:
                entry.state = self._gone(entry.state)
                entry.is_departing = False
                changed.append(entry.state)
            elif self._is_silent(entry.state, age_ms, current, linked):
                entry.state = entry.state.replace(silent=True)
                changed.append(entry.state)
        return changed

    def _remove(self, state):
        del self._entries[state.upstream_id]
        self._echoes.release(state)
        address = (state.host, state.port)
        if self._by_address.get(address) == state.upstream_id:
            del self._by_address[address]

    def _is_silent(self, state, age_ms, current, linked):
        if state.silent or state.status == GONE:
            return False
        if state.home == self._own_identity:
            return age_ms >= self._silence_timeout_ms
        factor = 1 if state.home in linked else LOST_HOME_FACTOR
        return current and age_ms >= self._silence_timeout_ms * factor

    def _is_foreign(self, current, state):
        """Return whether another writer sent a report under an upstream's id.

        Such a report names a service that isn't configured, and the upstream's is. It
        may be silent: after a pause of this replica, all are for a moment.
        """
        if current.status == GONE or state.service in self._services:
            return False
        return current.service in self._services

    def _is_displaced(self, state):
        """Return whether an upstream that started later reports from the address."""
        other = self._other_at_address(state)
        if other is None or not _reports_now(other.state):
            return False
        return other.state.born_ms > state.born_ms

    def _displace(self, state):
        """Mark the earlier upstream at the address as gone, and return its state.

        Reports of services that aren't configured may come from other writers, so they
        don't say who has an address.
        """
        if state.status == GONE or state.service not in self._services:
            return []
        other = self._other_at_address(state)
        if other is not None and not _reports_now(state):
            return []
        self._by_address[(state.host, state.port)] = state.upstream_id
        if other is None or other.state.born_ms >= state.born_ms:
            return []
        other.state = other.state.replace(status=GONE, home=self._own_identity)
        return [other.state]

    def _other_at_address(self, state):
        """Return the entry of another configured upstream at the address, or None."""
        address = (state.host, state.port)
        other = self._entries.get(self._by_address.get(address))
        if other is None or other.state.upstream_id == state.upstream_id:
            return None
        if other.state.service not in self._services:
            return None
        has_address = (other.state.host, other.state.port) == address
        return other if has_address and other.state.status != GONE else None


def _reports_now(state):
    """Return whether an upstream may take an address from others, or keep it.

    One that is silent, or only remembered from before the start, may never have run:
    earlier versions kept what other writers reported.
    """
    return not state.silent and not state.hint


def _remains_departing(entry, state):
    """Return whether a deferred departure arrived after the report of a state."""
    if state.status == GONE:
        return False
    return entry.is_departing and entry.state.version_key == state.version_key


def _is_superseded(current, state):
    if current.status == GONE and state.born_ms <= current.born_ms:
        return False
    if state.version_key == current.version_key:
        return _differs(current, state) and not state.hint
    return state.version_key > current.version_key


def _differs(current, state):
    """Return whether home, hint or routing differ."""
    if current.home != state.home or current.hint != state.hint:
        return True
    return not state.has_same_routing(current)


def _with_remaining_cold_ms(entry, state, now_ms):
    return state.replace(cold_ms=max(entry.cold_until_ms - now_ms, 0))
