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
MIN_HEARD = 2
#: Incarnations that are kept of one upstream.
MAX_INCARNATIONS = 4
#: Superseded items in the list of changes, beyond twice the number of listings.
MAX_OUTDATED = 1_000
#: Time for which a removed upstream is kept. An entry that got no answer for half
#: of it requests a snapshot.
TOMBSTONE_TTL_MS = 600_000

VERSION = operator.attrgetter("version")


class Heard(Record):
    """Hold the last announcement of an incarnation, its times and their number."""

    __slots__ = ("announce", "digest", "first_ms", "last_ms", "times")


class Listing(Record):
    """Hold an upstream's incarnations, the listed one and the last change's version."""

    __slots__ = ("heard", "listed", "name", "version")

    @property
    def current(self):
        """Return the record of the listed incarnation, or None."""
        return self.heard.get(self.listed)


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
        "_gone",
        "_listings",
        "_present",
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
        self._present = {}
        #: Times of removal of unlisted upstreams by name, the earliest first.
        self._gone = {}
        self._changes = []

    # Commands

    def record_announcement(self, announce, *, now_ms):
        """Record an announcement of an upstream."""
        listing = self._listing(announce)
        heard = listing.heard.get(announce.incarnation)
        if heard is not None and announce.sequence <= heard.announce.sequence:
            return
        if heard is None:
            heard = self._first_heard(listing, announce, now_ms)
        elif self._is_silent(heard, now_ms):
            heard.times = 0
        is_changed = announced_content(heard.announce) != announced_content(announce)
        heard.announce = announce
        if is_changed:
            self._set_digest(heard, announce_digest(announce))
        heard.last_ms = now_ms
        heard.times += 1
        if listing.listed != announce.incarnation:
            if self._takes_place(listing, heard, now_ms):
                listing.listed = announce.incarnation
                self._change(listing)
        elif is_changed:
            self._change(listing)
        if listing.listed == announce.incarnation:
            self._present.pop(listing.name, None)
            self._present[listing.name] = listing

    def renew_by_digest(self, digest, sequence, *, now_ms):
        """Renew an announcement by its digest; return False if the digest is unknown."""
        heard = self._by_digest.get(digest)
        if heard is None:
            return False
        self.record_announcement(
            heard.announce.replace(sequence=sequence), now_ms=now_ms
        )
        return True

    def sweep(self, *, now_ms):
        """Remove upstreams without an announcement for the silence time."""
        while self._present:
            listing = next(iter(self._present.values()))
            if not self._is_silent(listing.current, now_ms):
                break
            del self._present[listing.name]
            listing.listed = None
            self._gone[listing.name] = now_ms
            self._change(listing)
        self._forget(now_ms)

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
        return [listing.current.announce for listing in self._present.values()]

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

    def _takes_place(self, listing, heard, now_ms):
        """Return whether an incarnation replaces the listed one.

        Incarnation numbers are random. If this registrar was up for longer than the
        silence time before, the incarnation first announced later is the newer. A
        delayed announcement of the older one is ignored while the newer announces.
        """
        if len(listing.heard) == 1:
            return True
        current = listing.current
        if current is None and heard.first_ms == now_ms:
            return True
        if heard.times < MIN_HEARD:
            return False
        if current is None or 2 * (now_ms - current.last_ms) > self._silence_ms:
            return True
        was_up = heard.first_ms - self._started_ms > self._silence_ms
        return was_up and heard.first_ms > current.first_ms

    def _is_silent(self, heard, now_ms):
        return now_ms - heard.last_ms > self._silence_ms

    # The list of changes

    def _listing(self, announce):
        name = announced_name(announce)
        listing = self._listings.get(name)
        if listing is None:
            listing = Listing(name=name, heard={}, listed=None, version=0)
            self._listings[name] = listing
        return listing

    def _change(self, listing):
        if listing.listed is not None:
            self._gone.pop(listing.name, None)
        self.version += 1
        listing.version = self.version
        self._changes.append(Change(listing=listing, version=self.version))
        if len(self._changes) > 2 * len(self._listings) + MAX_OUTDATED:
            self._changes = [c for c in self._changes if c.listing.version == c.version]

    def _forget(self, now_ms):
        while self._gone:
            name, gone_ms = next(iter(self._gone.items()))
            if now_ms - gone_ms <= TOMBSTONE_TTL_MS:
                return
            del self._gone[name]
            listing = self._listings.pop(name)
            listing.version = 0
            for heard in listing.heard.values():
                self._by_digest.pop(heard.digest, None)

    # Incarnations

    def _first_heard(self, listing, announce, now_ms):
        while len(listing.heard) >= MAX_INCARNATIONS:
            spare = [i for i in listing.heard if i != listing.listed]
            oldest = min(spare, key=lambda i: listing.heard[i].last_ms)
            self._by_digest.pop(listing.heard.pop(oldest).digest, None)
        heard = Heard(
            announce=announce, digest=0, first_ms=now_ms, last_ms=now_ms, times=0
        )
        self._set_digest(heard, announce_digest(announce))
        listing.heard[announce.incarnation] = heard
        return heard

    def _set_digest(self, heard, digest):
        self._by_digest.pop(heard.digest, None)
        heard.digest = digest
        self._by_digest[digest] = heard
