"""knapweeddeal.directory: Upstreams of an entry and their leases."""

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

#: Lease request interval of the backup registrar, which holds the same upstreams as
#: the preferred one, in intervals of the preferred one.
BACKUP_INTERVAL_FACTOR = 2
#: Time between attempts to open the stream to an upstream.
DIAL_INTERVAL_MS = 500
#: Time between removals of expired views and upstreams.
SWEEP_INTERVAL_MS = 1_000
#: Time between requests for load figures, and maximum age of a usable figure.
LOAD_REQUEST_INTERVAL_MS = 1_000
POLL_MAX_AGE_MS = 10_000
#: Age of the last data path report above which a polled figure replaces it.
REPORT_MAX_AGE_MS = 2_000


class RequestFromRegistrar(Record):
    """Request that the shell sends a lease or load request to an entry, by name."""

    __slots__ = ("name", "message")


class RegistrarView:
    """Hold the upstreams that one registrar lists and the start of its bulk lease."""

    __slots__ = (
        "asked_ms",
        "epoch",
        "answered_ms",
        "keys",
        "lease_start_ms",
        "load_version",
        "name",
        "version",
    )

    def __init__(self, *, name):
        self.name = name
        self.epoch = 0
        self.version = 0
        #: Version of the load figures received last.
        self.load_version = 0
        #: Keys of the listed upstreams (with incarnation) by upstream name.
        self.keys = {}
        #: When the last lease request was sent.
        self.asked_ms = NEVER_MS
        #: When the registrar's last answer was applied.
        self.answered_ms = NEVER_MS
        #: When the last request that was answered by a lease was sent.
        self.lease_start_ms = NEVER_MS


class Upstream:
    """Hold an upstream's announcement, lease and reported or polled load."""

    __slots__ = (
        "announce",
        "slow_start_since_ms",
        "connections",
        "announced_ms",
        "key",
        "lease_ms",
        "unlisted_lease_ms",
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
        #: Views of the registrars that list it.
        self.views = []
        #: Latest lease start of the views that no longer list it.
        self.unlisted_lease_ms = NEVER_MS
        #: When this entry last received an announcement from the upstream directly.
        self.announced_ms = NEVER_MS
        #: Requests of this entry that the upstream has not answered yet.
        self.outstanding = 0
        #: Flows that the upstream last reported on the data path, and the time of it.
        self.connections = 0
        self.reported_ms = NEVER_MS
        #: Load last read from its health address, and the time of the reading.
        self.polled_healthy = True
        self.polled_outstanding = 0
        self.polled_connections = 0
        self.polled_ms = NEVER_MS
        #: When it joined, as observed by this entry; NEVER_MS if it was there before.
        self.slow_start_since_ms = NEVER_MS
        #: Whether the stream to it is open.
        self.ready = False

    @property
    def address(self):
        """Return the address to open its stream to."""
        return Address(host=self.announce.host, port=self.announce.port)

    def record_load(self, connections, *, now_ms):
        """Record the load that it reported on the data path."""
        self.connections = connections
        self.reported_ms = now_ms

    def record_polled_load(self, figure, *, now_ms):
        """Record polled figures; use them if the last data path report is too old."""
        polled_ms = now_ms - figure.age_ms
        if polled_ms <= self.polled_ms:
            return
        self.polled_ms = polled_ms
        self.polled_healthy = figure.healthy
        self.polled_outstanding = figure.outstanding
        self.polled_connections = figure.connections
        if polled_ms - self.reported_ms > REPORT_MAX_AGE_MS:
            self.connections = figure.connections

    def is_polled_unhealthy(self, *, now_ms):
        """Return whether a recent poll, newer than any report, found it unhealthy."""
        return (
            not self.polled_healthy
            and now_ms - self.polled_ms < POLL_MAX_AGE_MS
            and self.polled_ms > self.reported_ms
        )

    @property
    def lease_until_ms(self):
        """Return the time until which it may get new flows."""
        lease_start_ms = max(
            (view.lease_start_ms for view in self.views), default=NEVER_MS
        )
        return max(lease_start_ms, self.announced_ms) + self.lease_ms


class Directory:
    """Hold upstreams by key, as registrars list them.

    Times are milliseconds of this entry's monotonic clock. A lease runs from the
    time of the request, so a delayed answer doesn't extend it.
    """

    __slots__ = (
        "_lease_request_ms",
        "_by_service",
        "_dialed_ms",
        "_lease_ms",
        "_load_requested_ms",
        "_name",
        "_registrars_per_zone",
        "_open_streams",
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
        self._dialed_ms = NEVER_MS
        self._load_requested_ms = NEVER_MS
        self._zone = zone
        self._upstreams = {}
        #: Keys of upstreams with an open stream, including unlisted upstreams.
        self._open_streams = set()
        self._by_service = {}
        #: Views by the name of the registrar.
        self._views = {}
        #: Names of the registrars by zone, the preferred one first.
        self._zones = {}

    # Commands

    def set_members(self, names_by_zone):
        """Set the names of the live entries of each zone."""
        placement = Placement(
            names_by_zone=names_by_zone, registrars_per_zone=self._registrars_per_zone
        )
        self._zones = {
            zone: rendezvous(self._name, registrars, len(registrars))
            for zone, registrars in placement.registrars.items()
        }
        for name in self._registrars() - set(self._views):
            self._views[name] = RegistrarView(name=name)

    def tick(self, *, now_ms):
        """Return the due requests and dials; call it several times a second."""
        if now_ms - self._swept_ms >= SWEEP_INTERVAL_MS:
            self._swept_ms = now_ms
            self.sweep(now_ms=now_ms)
        actions = self.due_lease_requests(now_ms=now_ms)
        if now_ms - self._dialed_ms >= DIAL_INTERVAL_MS:
            self._dialed_ms = now_ms
            actions += self.due_dials(now_ms=now_ms)
        if now_ms - self._load_requested_ms >= LOAD_REQUEST_INTERVAL_MS:
            self._load_requested_ms = now_ms
            actions += self._load_requests(now_ms)
        return actions

    @singledispatchmethod
    def handle_answer(self, message, name, *, now_ms):
        """Apply a registrar's answer; return the next requests and dials."""
        return []

    @handle_answer.register
    def _(self, message: LeaseAnswer, name, *, now_ms):
        view = self._views.get(name)
        is_first_lease = view is not None and view.lease_start_ms == NEVER_MS
        self.apply_lease(name, message, now_ms=now_ms)
        return self.due_dials(now_ms=now_ms) if is_first_lease else []

    @handle_answer.register
    def _(self, message: DirectoryDelta, name, *, now_ms):
        requests = self.apply_delta(name, message, now_ms=now_ms)
        return [*requests, *self.dials_for(message.changed, now_ms=now_ms)]

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
        """Return the lease requests that are due."""
        due = []
        for names in self._zones.values():
            due += [
                self._lease_request(name, now_ms)
                for name in self._due_registrars(names, now_ms)
            ]
        return due

    def apply_lease(self, name, answer, *, now_ms):
        """Apply a registrar's bulk lease if its view here has all changes."""
        view = self._views.get(name)
        if view is None or answer.asked_ms > now_ms:
            return
        if answer.epoch == view.epoch and answer.version == view.version:
            view.answered_ms = now_ms
            view.lease_start_ms = max(view.lease_start_ms, answer.asked_ms)

    def apply_delta(self, name, delta, *, now_ms):
        """Apply a registrar's changes; return the request for the next ones, if any."""
        view = self._views.get(name)
        if view is None or not _is_next_delta(view, delta):
            return []
        had_lease = view.lease_start_ms != NEVER_MS
        if delta.whole:
            self._clear_view(view)
        view.answered_ms = now_ms
        view.epoch = delta.epoch
        view.version = delta.version
        for upstream_name in delta.gone:
            self._remove_from_view(view, upstream_name)
        for announce in delta.changed:
            self._add_to_view(view, announce, now_ms if had_lease else NEVER_MS)
        return [self._lease_request(name, now_ms)]

    def apply_announcement(self, announce, *, now_ms):
        """Apply an announcement received directly from the upstream."""
        has_other_leased_incarnation = any(
            upstream.key.upstream_id == announce.upstream_id
            and upstream.key.incarnation != announce.incarnation
            and upstream.lease_until_ms > now_ms
            for upstream in self._by_service.get(announce.service, {}).values()
        )
        if has_other_leased_incarnation:
            return
        is_known = announced_key(announce) in self._upstreams
        upstream = self._get_or_add(announce, now_ms)
        if not is_known or _is_later(announce, upstream):
            upstream.announce = announce
            upstream.announced_ms = now_ms

    def sweep(self, *, now_ms):
        """Remove expired views of former registrars and long unlisted upstreams."""
        wanted = self._registrars()
        for name, view in list(self._views.items()):
            if name not in wanted and view.lease_start_ms + self._lease_ms < now_ms:
                self._clear_view(view)
                del self._views[name]
        for upstream in list(self._upstreams.values()):
            if upstream.ready or upstream.outstanding or upstream.views:
                continue
            last_listed_ms = max(upstream.unlisted_lease_ms, upstream.announced_ms)
            if last_listed_ms + TOMBSTONE_TTL_MS < now_ms:
                self._remove(upstream)

    def stream_up(self, key):
        """Record that the stream to an upstream is open."""
        self._open_streams.add(key)
        upstream = self._upstreams.get(key)
        if upstream is not None:
            upstream.ready = True

    def stream_down(self, key):
        """Record that the stream to an upstream broke and its requests are lost."""
        self._open_streams.discard(key)
        upstream = self._upstreams.get(key)
        if upstream is not None:
            upstream.ready = False
            upstream.outstanding = 0

    # Queries

    def has_stream(self, key):
        """Return whether the stream to an upstream is open."""
        return key in self._open_streams

    def due_dials(self, *, now_ms):
        """Return the dials of leased upstreams without an open stream."""
        return _dials_to(self._upstreams.values(), now_ms)

    def dials_for(self, announces, *, now_ms):
        """Return the dials of leased, announced upstreams without an open stream."""
        wanted = {announced_key(announce) for announce in announces}
        return _dials_to(filter(None, map(self._upstreams.get, wanted)), now_ms)

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

    # Requests to registrars

    def _registrars(self):
        return {name for names in self._zones.values() for name in names}

    def _due_registrars(self, names, now_ms):
        views = [self._views[name] for name in names]
        current_since_ms = now_ms - 2 * self._lease_request_ms
        is_preferred_current = (
            0 < len(names) <= REGISTRARS_PER_UPSTREAM
            and views[0].lease_start_ms > current_since_ms
        )
        for index, view in enumerate(views):
            intervals = BACKUP_INTERVAL_FACTOR if index and is_preferred_current else 1
            if now_ms - view.asked_ms >= intervals * self._lease_request_ms:
                yield view.name

    def _lease_request(self, name, now_ms):
        view = self._views[name]
        if now_ms - view.answered_ms > TOMBSTONE_TTL_MS // 2:
            self._clear_view(view)
        view.asked_ms = now_ms
        request = LeaseRequest(asked_ms=now_ms, epoch=view.epoch, version=view.version)
        return RequestFromRegistrar(name=name, message=request)

    def _load_requests(self, now_ms):
        names = self._zones.get(self._zone, [])
        registrars = names if len(names) > REGISTRARS_PER_UPSTREAM else names[:1]
        return [
            RequestFromRegistrar(
                name=name,
                message=LoadRequest(
                    asked_ms=now_ms, version=self._views[name].load_version
                ),
            )
            for name in registrars
        ]

    # Views of registrars

    def _add_to_view(self, view, announce, joined_ms):
        name = announced_name(announce)
        upstream = self._get_or_add(announce, joined_ms)
        if view.keys.get(name) != upstream.key:
            self._remove_from_view(view, name)
            view.keys[name] = upstream.key
            upstream.views.append(view)
        if _is_later(announce, upstream):
            upstream.announce = announce

    def _remove_from_view(self, view, name):
        key = view.keys.pop(name, None)
        if key is None:
            return
        upstream = self._upstreams[key]
        upstream.views.remove(view)
        upstream.unlisted_lease_ms = max(
            upstream.unlisted_lease_ms, view.lease_start_ms
        )

    def _clear_view(self, view):
        for name in list(view.keys):
            self._remove_from_view(view, name)
        view.epoch = 0
        view.version = 0

    def _get_or_add(self, announce, joined_ms):
        added = Upstream(announce=announce, lease_ms=self._lease_ms)
        known = self._upstreams.get(added.key)
        if known is not None:
            return known
        added.slow_start_since_ms = joined_ms
        added.ready = added.key in self._open_streams
        self._upstreams[added.key] = added
        self._by_service.setdefault(added.key.service, {})[added.key] = added
        return added

    def _remove(self, upstream):
        key = upstream.key
        del self._upstreams[key]
        del self._by_service[key.service][key]


def _dials_to(upstreams, now_ms):
    return [
        Dial(key=upstream.key, address=upstream.address)
        for upstream in upstreams
        if not upstream.ready and upstream.lease_until_ms > now_ms
    ]


def _is_later(announce, upstream):
    return announce.sequence > upstream.announce.sequence


def _is_next_delta(view, delta):
    if delta.whole:
        return delta.since == view.version
    return delta.epoch == view.epoch and delta.since <= view.version < delta.version
