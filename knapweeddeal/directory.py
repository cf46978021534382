"""knapweeddeal.directory: Upstreams that an entry knows, each under a lease."""

from functools import singledispatchmethod

from knapweeddeal.actions import Address, Dial
from knapweeddeal.announcements import announced_key, announced_name
from knapweeddeal.messages.peer import (
    DirectoryDelta,
    LeaseAnswer,
    LeaseRequest,
    LoadReport,
    LoadRequest,
)
from knapweeddeal.messages.upstream import READY
from knapweeddeal.placement import REGISTRARS_PER_UPSTREAM, Placement, rendezvous
from knapweeddeal.record import Record
from knapweeddeal.registrar import TOMBSTONE_TTL_MS
from knapweeddeal.timeconstants import NEVER_MS

__all__ = ["RequestFromRegistrar", "Directory", "Upstream"]

#: Asks of the preferred registrar for one ask of another that holds the same.
ASKS_FOR_BACKUP = 2
#: Time between tries to open the stream to an upstream.
DIAL_MS = 500
#: Time between sweeps over all upstreams.
SWEEP_MS = 1_000
#: Time between asks for load figures, and time for which such a figure counts.
LOAD_ASK_MS = 1_000
HINT_LIFE_MS = 10_000
#: Silence of the data path after which a polled figure stands in.
SILENT_MS = 2_000


class RequestFromRegistrar(Record):
    """Ask the shell to send a lease ask to an entry, by name."""

    __slots__ = ("name", "message")


class View:
    """Hold what one registrar lists, and when its bulk lease was asked for."""

    __slots__ = (
        "asked_ms",
        "epoch",
        "heard_ms",
        "keys",
        "leased_ms",
        "load_version",
        "name",
        "version",
    )

    def __init__(self, *, name):
        self.name = name
        self.epoch = 0
        self.version = 0
        #: Version of the load figures that came last.
        self.load_version = 0
        #: Listed incarnations by the upstream's name.
        self.keys = {}
        #: When the last ask was sent.
        self.asked_ms = NEVER_MS
        #: When the registrar's last answer was taken.
        self.heard_ms = NEVER_MS
        #: When the last ask that was answered by a lease was sent.
        self.leased_ms = NEVER_MS


class Upstream:
    """Hold an upstream's announcement, its lease and what is known of its load."""

    __slots__ = (
        "announce",
        "slow_start_since_ms",
        "connections",
        "heard_ms",
        "key",
        "lease_ms",
        "listed_ms",
        "outstanding",
        "polled_connections",
        "polled_healthy",
        "polled_ms",
        "polled_outstanding",
        "ready",
        "reported_ms",
        "views",
    )

    def __init__(self, *, announce, lease_ms):
        self.announce = announce
        self.key = announced_key(announce)
        self.lease_ms = lease_ms
        #: Views of registrars that list it.
        self.views = []
        #: Latest lease of a view that listed it and no longer does.
        self.listed_ms = NEVER_MS
        #: When its own announcement last came straight to this entry.
        self.heard_ms = NEVER_MS
        #: Requests that this entry has under way here.
        self.outstanding = 0
        #: Flows, as the upstream last reported on the data path, and when.
        self.connections = 0
        self.reported_ms = NEVER_MS
        #: Load as its health address last gave it, and when it was asked.
        self.polled_healthy = True
        self.polled_outstanding = 0
        self.polled_connections = 0
        self.polled_ms = NEVER_MS
        #: When it joined before this entry's eyes; NEVER_MS if it was there before.
        self.slow_start_since_ms = NEVER_MS
        #: Whether the stream to it stands.
        self.ready = False

    @property
    def address(self):
        """Return where its stream is opened."""
        return Address(host=self.announce.host, port=self.announce.port)

    def record_load(self, connections, *, now_ms):
        """Take the load that it reported on the data path."""
        self.connections = connections
        self.reported_ms = now_ms

    def record_polled_load(self, figure, *, now_ms):
        """Take polled figures; they stand in where the data path is silent."""
        polled_ms = now_ms - figure.age_ms
        if polled_ms <= self.polled_ms:
            return
        self.polled_ms = polled_ms
        self.polled_healthy = figure.healthy
        self.polled_outstanding = figure.outstanding
        self.polled_connections = figure.connections
        if polled_ms - self.reported_ms > SILENT_MS:
            self.connections = figure.connections

    def is_polled_unhealthy(self, *, now_ms):
        """Tell whether a late poll speaks against it and the data path is silent."""
        return (
            not self.polled_healthy
            and now_ms - self.polled_ms < HINT_LIFE_MS
            and self.polled_ms > self.reported_ms
        )

    @property
    def lease_until_ms(self):
        """Return until when it may get new flows."""
        leased_ms = max((view.leased_ms for view in self.views), default=NEVER_MS)
        return max(leased_ms, self.heard_ms) + self.lease_ms


class Directory:
    """Hold upstreams by key, as registrars list them.

    Times are milliseconds of this entry's own clock that never jumps: a lease runs
    from when it was asked for, so an answer that is late extends nothing.
    """

    __slots__ = (
        "_lease_request_ms",
        "_by_service",
        "_dials_ms",
        "_lease_ms",
        "_loads_ms",
        "_name",
        "_registrars_per_zone",
        "_streams",
        "_swept_ms",
        "_upstreams",
        "_views",
        "_zone",
        "_zones",
    )

    def __init__(
        self,
        *,
        lease_ms,
        name="",
        zone="",
        lease_request_ms=500,
        registrars_per_zone=REGISTRARS_PER_UPSTREAM,
    ):
        self._lease_ms = lease_ms
        self._name = name
        self._lease_request_ms = lease_request_ms
        self._registrars_per_zone = registrars_per_zone
        self._swept_ms = NEVER_MS
        self._dials_ms = NEVER_MS
        self._loads_ms = NEVER_MS
        self._zone = zone
        self._upstreams = {}
        #: Upstreams whose streams stand, also those that nobody announced here yet.
        self._streams = set()
        self._by_service = {}
        #: Views by the name of the registrar.
        self._views = {}
        #: Names of the registrars by zone, the preferred one first.
        self._zones = {}

    # Commands

    def set_members(self, names_by_zone):
        """Take the names of the live entries of each zone."""
        placement = Placement(
            names_by_zone=names_by_zone, registrars_per_zone=self._registrars_per_zone
        )
        self._zones = {
            zone: rendezvous(self._name, registrars, len(registrars))
            for zone, registrars in placement.registrars.items()
        }
        for name in self._registrars() - set(self._views):
            self._views[name] = View(name=name)

    def tick(self, *, now_ms):
        """Return the asks and dials that are due; call it several times a second."""
        if now_ms - self._swept_ms >= SWEEP_MS:
            self._swept_ms = now_ms
            self.sweep(now_ms=now_ms)
        actions = self.due_lease_requests(now_ms=now_ms)
        if now_ms - self._dials_ms >= DIAL_MS:
            self._dials_ms = now_ms
            actions += self.due_dials(now_ms=now_ms)
        if now_ms - self._loads_ms >= LOAD_ASK_MS:
            self._loads_ms = now_ms
            actions += self._load_asks(now_ms)
        return actions

    @singledispatchmethod
    def handle_answer(self, message, name, *, now_ms):
        """Take a registrar's answer; return asks and dials that follow."""
        return []

    @handle_answer.register
    def _(self, message: LeaseAnswer, name, *, now_ms):
        before = self._views.get(name)
        first = before is not None and before.leased_ms == NEVER_MS
        self.apply_lease(name, message, now_ms=now_ms)
        return self.due_dials(now_ms=now_ms) if first else []

    @handle_answer.register
    def _(self, message: DirectoryDelta, name, *, now_ms):
        asks = self.apply_delta(name, message, now_ms=now_ms)
        return [*asks, *self.dials_for(message.changed, now_ms=now_ms)]

    @handle_answer.register
    def _(self, message: LoadReport, name, *, now_ms):
        view = self._views.get(name)
        if view is None or message.asked_ms > now_ms:
            return []
        view.load_version = message.version
        for figure in message.figures:
            upstream = self._upstreams.get(view.keys.get(figure.name))
            if upstream is not None:
                upstream.record_polled_load(figure, now_ms=message.asked_ms)
        return []

    def due_lease_requests(self, *, now_ms):
        """Return the lease asks that are due."""
        due = []
        for names in self._zones.values():
            due += [self._ask(name, now_ms) for name in self._due(names, now_ms)]
        return due

    def apply_lease(self, name, answer, *, now_ms):
        """Take a registrar's bulk lease, if all its changes are known here."""
        view = self._views.get(name)
        if view is None or answer.asked_ms > now_ms:
            return
        if answer.epoch == view.epoch and answer.version == view.version:
            view.heard_ms = now_ms
            view.leased_ms = max(view.leased_ms, answer.asked_ms)

    def apply_delta(self, name, delta, *, now_ms):
        """Take a registrar's changes; return the ask for what comes next, if any."""
        view = self._views.get(name)
        if view is None or not _extends(view, delta):
            return []
        was_known = view.leased_ms != NEVER_MS
        if delta.whole:
            self._clear(view)
        view.heard_ms = now_ms
        view.epoch = delta.epoch
        view.version = delta.version
        for gone in delta.gone:
            self._unlist(view, gone)
        for announce in delta.changed:
            self._list(view, announce, now_ms if was_known else NEVER_MS)
        return [self._ask(name, now_ms)]

    def apply_announcement(self, announce, *, now_ms):
        """Take an announcement that came straight from the upstream."""
        rival = any(
            upstream.key.upstream_id == announce.upstream_id
            and upstream.key.incarnation != announce.incarnation
            and upstream.lease_until_ms > now_ms
            for upstream in self._by_service.get(announce.service, {}).values()
        )
        if rival:
            return
        is_known = announced_key(announce) in self._upstreams
        upstream = self._upstream(announce, now_ms)
        if not is_known or _is_later(announce, upstream):
            upstream.announce = announce
            upstream.heard_ms = now_ms

    def sweep(self, *, now_ms):
        """Forget views and upstreams that ended long ago."""
        wanted = self._registrars()
        for name, view in list(self._views.items()):
            if name not in wanted and view.leased_ms + self._lease_ms < now_ms:
                self._clear(view)
                del self._views[name]
        for upstream in list(self._upstreams.values()):
            if upstream.ready or upstream.outstanding or upstream.views:
                continue
            last_ms = max(upstream.listed_ms, upstream.heard_ms)
            if last_ms + TOMBSTONE_TTL_MS < now_ms:
                self._forget(upstream)

    def stream_up(self, key):
        """Note that the stream to an upstream stands."""
        self._streams.add(key)
        upstream = self._upstreams.get(key)
        if upstream is not None:
            upstream.ready = True

    def stream_down(self, key):
        """Note that the stream to an upstream broke, with all that was under way."""
        self._streams.discard(key)
        upstream = self._upstreams.get(key)
        if upstream is not None:
            upstream.ready = False
            upstream.outstanding = 0

    # Queries

    def has_stream(self, key):
        """Tell whether the stream to an upstream stands."""
        return key in self._streams

    def due_dials(self, *, now_ms):
        """Return the dials of upstreams under lease whose streams don't stand."""
        return _dials(self._upstreams.values(), now_ms)

    def dials_for(self, announces, *, now_ms):
        """Return the dials that some announcements ask for."""
        wanted = {announced_key(announce) for announce in announces}
        return _dials(filter(None, map(self._upstreams.get, wanted)), now_ms)

    def get(self, key):
        """Return an upstream, or None."""
        return self._upstreams.get(key)

    def all(self):
        """Return every upstream."""
        return list(self._upstreams.values())

    def eligible(self, service, *, now_ms):
        """Return the upstreams that may get new flows of a service."""
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.announce.state == READY and upstream.lease_until_ms > now_ms
        ]

    # Asking registrars

    def _registrars(self):
        return {name for names in self._zones.values() for name in names}

    def _due(self, names, now_ms):
        views = [self._views[name] for name in names]
        late_ms = now_ms - 2 * self._lease_request_ms
        backups_wait = (
            0 < len(names) <= REGISTRARS_PER_UPSTREAM and views[0].leased_ms > late_ms
        )
        for index, view in enumerate(views):
            times = ASKS_FOR_BACKUP if index and backups_wait else 1
            if now_ms - view.asked_ms >= times * self._lease_request_ms:
                yield view.name

    def _ask(self, name, now_ms):
        view = self._views[name]
        if now_ms - view.heard_ms > TOMBSTONE_TTL_MS // 2:
            self._clear(view)
        view.asked_ms = now_ms
        request = LeaseRequest(asked_ms=now_ms, epoch=view.epoch, version=view.version)
        return RequestFromRegistrar(name=name, message=request)

    def _load_asks(self, now_ms):
        names = self._zones.get(self._zone, [])
        asked = names if len(names) > REGISTRARS_PER_UPSTREAM else names[:1]
        return [
            RequestFromRegistrar(
                name=name,
                message=LoadRequest(
                    asked_ms=now_ms, version=self._views[name].load_version
                ),
            )
            for name in asked
        ]

    # What registrars list

    def _list(self, view, announce, joined_ms):
        name = announced_name(announce)
        upstream = self._upstream(announce, joined_ms)
        if view.keys.get(name) != upstream.key:
            self._unlist(view, name)
            view.keys[name] = upstream.key
            upstream.views.append(view)
        if _is_later(announce, upstream):
            upstream.announce = announce

    def _unlist(self, view, name):
        key = view.keys.pop(name, None)
        if key is None:
            return
        upstream = self._upstreams[key]
        upstream.views.remove(view)
        upstream.listed_ms = max(upstream.listed_ms, view.leased_ms)

    def _clear(self, view):
        for name in list(view.keys):
            self._unlist(view, name)
        view.epoch = 0
        view.version = 0

    def _upstream(self, announce, joined_ms):
        new = Upstream(announce=announce, lease_ms=self._lease_ms)
        held = self._upstreams.get(new.key)
        if held is not None:
            return held
        new.slow_start_since_ms = joined_ms
        new.ready = new.key in self._streams
        self._upstreams[new.key] = new
        self._by_service.setdefault(new.key.service, {})[new.key] = new
        return new

    def _forget(self, upstream):
        key = upstream.key
        del self._upstreams[key]
        del self._by_service[key.service][key]


def _dials(upstreams, now_ms):
    return [
        Dial(key=upstream.key, address=upstream.address)
        for upstream in upstreams
        if not upstream.ready and upstream.lease_until_ms > now_ms
    ]


def _is_later(announce, upstream):
    return announce.sequence > upstream.announce.sequence


def _extends(view, delta):
    if delta.whole:
        return delta.since == view.version
    return delta.epoch == view.epoch and delta.since <= view.version < delta.version
