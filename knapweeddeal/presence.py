"""knapweeddeal.presence: Who is there: members, and upstreams as registrar."""

from functools import singledispatchmethod

from knapweeddeal.announces import announce_digest
from knapweeddeal.events import (
    AnnounceCame,
    DirectoryCame,
    MemberLost,
    MembersCame,
    NoteTaken,
    VersionCame,
)
from knapweeddeal.membership import (
    MemberGone,
    MembersChanged,
    NoteCame,
    SendDatagram,
    VersionSeen,
)
from knapweeddeal.messages.peer import (
    Announced,
    AnnounceSeen,
    AnnounceWanted,
    DirectoryDelta,
    LeaseAnswer,
    LeaseAsk,
    LoadAsk,
    LoadReport,
)
from knapweeddeal.placement import Placement

__all__ = ["Presence"]

#: Announcements that are kept until a registrar asked for them.
MAX_RECENT = 1_000


class Presence:
    """Decide on the datagrams between entries; return datagrams and events.

    The events are for the deciding task of the entry. `counters` counts by name.
    """

    def __init__(self, *, membership, registrar, health, per_zone, counters):
        self.membership = membership
        self.registrar = registrar
        self.health = health
        #: Version of the registrar whose upstreams are polled.
        self._followed = 0
        self._per_zone = per_zone
        self._count = counters
        self._placement = None
        #: Announcements that came lately, by digest.
        self._recent = {}
        self._place()

    @property
    def _name(self):
        return self.membership.record.name

    def _place(self):
        self._placement = Placement(
            names_by_zone=self.membership.names_by_zone(), per_zone=self._per_zone
        )

    # Commands

    def tick(self, *, now_ms):
        """Do what time asks for."""
        self.registrar.sweep(now_ms=now_ms)
        if self.registrar.version != self._followed:
            self._followed = self.registrar.version
            self.health.follow(self.registrar.listed(), now_ms=now_ms)
        return [
            *self._translate(self.membership.tick(now_ms=now_ms)),
            *self.health.due(now_ms=now_ms),
        ]

    def members(self):
        """Return the event that tells the entry of the live members."""
        zones = self.membership.names_by_zone()
        addresses = {
            name: self.membership.address(name)
            for names in zones.values()
            for name in names
        }
        return MembersCame(names_by_zone=zones, addresses=addresses)

    def announce(self, announce, *, now_ms):
        """Hand an upstream's announcement to its registrars, and to this entry."""
        actions = [AnnounceCame(announce=announce)]
        digest = self._keep(announce)
        seen = AnnounceSeen(digest=digest, sequence=announce.sequence)
        for name in self._placement.of_upstream(announce):
            if name == self._name:
                self.registrar.hear(announce, now_ms=now_ms)
            else:
                actions += self._to(name, seen)
        return actions

    def _keep(self, announce):
        digest = announce_digest(announce)
        self._recent.pop(digest, None)
        self._recent[digest] = announce
        if len(self._recent) > MAX_RECENT:
            del self._recent[next(iter(self._recent))]
        return digest

    def ask(self, name, ask, *, now_ms):
        """Ask a registrar for its lease."""
        if name != self._name:
            return self._to(name, ask)
        answer = self._answer(ask, now_ms=now_ms)
        return [DirectoryCame(name=name, message=answer)]

    def set_version(self, version):
        """Show that a configuration is in force here."""
        return self._translate(self.membership.set_version(version))

    def leave(self, *, now_ms):
        """Tell that this entry leaves as planned."""
        return self._translate(self.membership.leave(now_ms=now_ms))

    @singledispatchmethod
    def receive(self, message, source, *, now_ms):
        """Take a message that came from an address."""
        actions = self.membership.receive(message, source, now_ms=now_ms)
        return self._translate(actions)

    @receive.register
    def _(self, message: Announced, source, *, now_ms):
        self.registrar.hear(message.announce, now_ms=now_ms)
        return []

    @receive.register
    def _(self, message: AnnounceSeen, source, *, now_ms):
        if self.registrar.see(message.digest, message.sequence, now_ms=now_ms):
            return []
        wanted = AnnounceWanted(digest=message.digest)
        return [SendDatagram(address=source, message=wanted)]

    @receive.register
    def _(self, message: AnnounceWanted, source, *, now_ms):
        announce = self._recent.get(message.digest)
        if announce is None:
            return []
        announced = Announced(announce=announce)
        return [SendDatagram(address=source, message=announced)]

    @receive.register(LeaseAsk)
    @receive.register(LoadAsk)
    def _(self, message, source, *, now_ms):
        answer = self._answer(message, now_ms=now_ms)
        return [SendDatagram(address=source, message=answer)]

    def _answer(self, ask, *, now_ms):
        if type(ask) is LoadAsk:
            return self.health.report(ask, now_ms=now_ms)
        return self.registrar.answer(ask, now_ms=now_ms)

    @receive.register(LeaseAnswer)
    @receive.register(DirectoryDelta)
    @receive.register(LoadReport)
    def _(self, message, source, *, now_ms):
        name = self.membership.records.at(source)
        if name is None:
            self._count("dropped_stranger")
            return []
        return [DirectoryCame(name=name, message=message)]

    def _to(self, name, message):
        address = self.membership.address(name)
        if address is None:
            return []
        return [SendDatagram(address=address, message=message)]

    # What the members' part asks for

    def _translate(self, actions):
        if any(type(action) is MembersChanged for action in actions):
            self._place()
            actions = [*actions, self.members()]
        return [translated for action in actions for translated in self._event(action)]

    @singledispatchmethod
    def _event(self, action):
        return [action]

    @_event.register
    def _(self, action: MembersChanged):
        return []

    @_event.register
    def _(self, action: MemberGone):
        record = action.record
        return [
            MemberLost(
                name=record.name,
                incarnation=record.incarnation,
                planned=action.planned,
            )
        ]

    @_event.register
    def _(self, action: VersionSeen):
        address = self.membership.address(action.name)
        if address is None:
            return []
        return [VersionCame(address=address, name=action.name, version=action.version)]

    @_event.register
    def _(self, action: NoteCame):
        return [NoteTaken(topic=action.note.topic, body=action.note.body)]
