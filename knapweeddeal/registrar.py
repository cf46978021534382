"""knapweeddeal.registrar: Announced upstreams of a zone, leased to entries."""

import operator
from bisect import bisect_right

from knapweeddeal.announcements import (
    announce_digest,
    announced_content,
    announced_name,
)
from knapweeddeal.messages.peer import DirectoryDelta, LeaseAnswer
from knapweeddeal.record import Record

__all__ = ["TOMBSTONE_TTL_MS", "MAX_DELTA_CHANGES", "Registrar"]

#: Changes in one delta; bounded so that it fits into a datagram.
MAX_DELTA_CHANGES = 8
#: Announcements after which an incarnation may replace the listed one.
MIN_ANNOUNCEMENTS = 2
#: Incarnations that are kept of one upstream.
MAX_INCARNATIONS = 4
#: Superseded items in the list of changes, beyond twice the number of listings.
MAX_SUPERSEDED_CHANGES = 1_000
#: Time for which a removed upstream is kept. An entry that got no answer for half
#: of it requests a snapshot.
TOMBSTONE_TTL_MS = 600_000

VERSION = operator.attrgetter("version")


class IncarnationRecord(Record):
    """Hold the last of an incarnation's announcements, and their times and count."""

    __slots__ = ("announce", "digest", "first_ms", "last_ms", "announce_count")


class Listing(Record):
    """Hold an upstream's incarnations, the listed one and the last change's version."""

    __slots__ = ("incarnations", "listed", "name", "version")

    @property
    def current(self):
        """Return the record of the listed incarnation, or None."""
        return self.incarnations.get(self.listed)


class Change(Record):
    """Record that a listing changed at a version."""

    __slots__ = ("listing", "version")


class Registrar:
    """Hold the recently announced upstreams and the order of their changes.

    `epoch` is random for each process: an entry with another epoch gets a
    snapshot. Times are milliseconds of a monotonic clock.
    """

    __slots__ = (
        "_by_digest",
        "_changes",
        "_removed_ms",
        "_listings",
        "_listed_by_name",
        "_silence_ms",
        "_started_ms",
        "epoch",
        "version",
    )

    def __init__(self, *, epoch, silence_ms, now_ms):
        self.epoch = epoch
        self.version = 0
        self._silence_ms = silence_ms
        self._started_ms = now_ms
        self._listings = {}
        #: Incarnations by the digest of the announced content.
        self._by_digest = {}
        #: Listed upstreams by name, the least recently announced first.
        self._listed_by_name = {}
        #: Times of removal of unlisted upstreams by name, the earliest first.
        self._removed_ms = {}
        self._changes = []

    # Commands

    def record_announcement(self, announce, *, now_ms):
        """Record an announcement of an upstream."""
        listing = self._get_or_add_listing(announce)
        record = listing.incarnations.get(announce.incarnation)
        if record is not None and announce.sequence <= record.announce.sequence:
            return
        if record is None:
            record = self._add_incarnation(listing, announce, now_ms)
        elif self._is_silent(record, now_ms):
            record.announce_count = 0
        is_changed = announced_content(record.announce) != announced_content(announce)
        record.announce = announce
        if is_changed:
            self._set_digest(record, announce_digest(announce))
        record.last_ms = now_ms
        record.announce_count += 1
        if listing.listed != announce.incarnation:
            if self._replaces_listed(listing, record, now_ms):
                listing.listed = announce.incarnation
                self._record_change(listing)
        elif is_changed:
            self._record_change(listing)
        if listing.listed == announce.incarnation:
            self._listed_by_name.pop(listing.name, None)
            self._listed_by_name[listing.name] = listing

    def renew_by_digest(self, digest, sequence, *, now_ms):
        """Renew an announcement by its digest; return False for an unknown one."""
        record = self._by_digest.get(digest)
        if record is None:
            return False
        self.record_announcement(
            record.announce.replace(sequence=sequence), now_ms=now_ms
        )
        return True

    def sweep(self, *, now_ms):
        """Unlist upstreams that fell silent; forget those unlisted long ago."""
        while self._listed_by_name:
            listing = next(iter(self._listed_by_name.values()))
            if not self._is_silent(listing.current, now_ms):
                break
            del self._listed_by_name[listing.name]
            listing.listed = None
            self._removed_ms[listing.name] = now_ms
            self._record_change(listing)
        self._drop_tombstones(now_ms)

    # Queries

    def answer(self, request, *, now_ms):
        """Return the answer to a lease request.

        A requester that has every change gets the bulk lease. Any other gets the
        next changes and has to request the lease again.
        """
        self.sweep(now_ms=now_ms)
        if request.epoch == self.epoch and request.version == self.version:
            return LeaseAnswer(
                asked_ms=request.asked_ms, epoch=self.epoch, version=self.version
            )
        return self._delta(request)

    def listed(self):
        """Return the announcements of the listed upstreams."""
        return [listing.current.announce for listing in self._listed_by_name.values()]

    def _delta(self, request):
        whole = request.epoch != self.epoch or request.version > self.version
        delta = DirectoryDelta(
            epoch=self.epoch,
            since=request.version,
            version=self.version,
            whole=whole,
            changed=[],
            gone=[],
        )
        start = bisect_right(
            self._changes, 0 if whole else request.version, key=VERSION
        )
        for index in range(start, len(self._changes)):
            change = self._changes[index]
            if change.listing.version != change.version:
                continue
            if len(delta.changed) + len(delta.gone) == MAX_DELTA_CHANGES:
                delta.version = change.version - 1
                break
            if change.listing.listed is not None:
                delta.changed.append(change.listing.current.announce)
            else:
                delta.gone.append(change.listing.name)
        return delta

    # Which incarnation is listed

    def _replaces_listed(self, listing, record, now_ms):
        """Return whether an incarnation replaces the listed one.

        Incarnation numbers are random. The incarnation first announced later is the
        newer one if this registrar had run for longer than the silence time by then.
        Delayed announcements of the older one are ignored while the newer one is
        announced.
        """
        if len(listing.incarnations) == 1:
            return True
        current = listing.current
        if current is None and record.first_ms == now_ms:
            return True
        if record.announce_count < MIN_ANNOUNCEMENTS:
            return False
        if current is None or 2 * (now_ms - current.last_ms) > self._silence_ms:
            return True
        is_observed_start = record.first_ms - self._started_ms > self._silence_ms
        return is_observed_start and record.first_ms > current.first_ms

    def _is_silent(self, record, now_ms):
        return now_ms - record.last_ms > self._silence_ms

    # The list of changes

    def _get_or_add_listing(self, announce):
        name = announced_name(announce)
        listing = self._listings.get(name)
        if listing is None:
            listing = Listing(name=name, incarnations={}, listed=None, version=0)
            self._listings[name] = listing
        return listing

    def _record_change(self, listing):
        if listing.listed is not None:
            self._removed_ms.pop(listing.name, None)
        self.version += 1
        listing.version = self.version
        self._changes.append(Change(listing=listing, version=self.version))
        if len(self._changes) > 2 * len(self._listings) + MAX_SUPERSEDED_CHANGES:
            self._changes = [c for c in self._changes if c.listing.version == c.version]

    def _drop_tombstones(self, now_ms):
        while self._removed_ms:
            name, removed_ms = next(iter(self._removed_ms.items()))
            if now_ms - removed_ms <= TOMBSTONE_TTL_MS:
                return
            del self._removed_ms[name]
            listing = self._listings.pop(name)
            listing.version = 0
            for record in listing.incarnations.values():
                self._by_digest.pop(record.digest, None)

    # Incarnations

    def _add_incarnation(self, listing, announce, now_ms):
        while len(listing.incarnations) >= MAX_INCARNATIONS:
            unlisted = [i for i in listing.incarnations if i != listing.listed]
            oldest = min(unlisted, key=lambda i: listing.incarnations[i].last_ms)
            self._by_digest.pop(listing.incarnations.pop(oldest).digest, None)
        record = IncarnationRecord(
            announce=announce,
            digest=0,
            first_ms=now_ms,
            last_ms=now_ms,
            announce_count=0,
        )
        self._set_digest(record, announce_digest(announce))
        listing.incarnations[announce.incarnation] = record
        return record

    def _set_digest(self, record, digest):
        self._by_digest.pop(record.digest, None)
        record.digest = digest
        self._by_digest[digest] = record
