"""knapweeddeal.presence: Who is there: members, and upstreams as registrar."""

from functools import singledispatchmethod

from knapweeddeal.announcements import announce_digest
from knapweeddeal.events import (
    AnnounceReceived,
    MemberLost,
    MembersUpdated,
    NoteDelivered,
    RegistrarAnswered,
    VersionReceived,
)
from knapweeddeal.membership import (
    MemberGone,
    MembersChanged,
    NoteReceived,
    SendDatagram,
    VersionSeen,
)
from knapweeddeal.messages.peer import (
    AnnounceDigest,
    AnnounceRequest,
    DirectoryDelta,
    ForwardedAnnounce,
    LeaseAnswer,
    LeaseRequest,
    LoadReport,
    LoadRequest,
)
from knapweeddeal.placement import Placement

__all__ = ["Presence"]

#: Announcements that are kept until a registrar asked for them.
MAX_RECENT = 1_000


class Presence:
    """Decide on the datagrams between entries; return datagrams and events.

    The events are for the deciding task of the entry. `counters` counts by name.
    """

    def __init__(self, *, membership, registrar, health, registrars_per_zone, counters):
        self.membership = membership
        self.registrar = registrar
        self.health = health
        #: Version of the registrar whose upstreams are polled.
        self._followed = 0
        self._registrars_per_zone = registrars_per_zone
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
            names_by_zone=self.membership.names_by_zone(),
            registrars_per_zone=self._registrars_per_zone,
        )

    # Commands

    def tick(self, *, now_ms):
        """Do what time asks for."""
        self.registrar.sweep(now_ms=now_ms)
        if self.registrar.version != self._followed:
            self._followed = self.registrar.version
            self.health.set_upstreams(self.registrar.listed(), now_ms=now_ms)
        return [
            *self._translate(self.membership.tick(now_ms=now_ms)),
            *self.health.due_polls(now_ms=now_ms),
        ]

    def members_event(self):
        """Return the event that tells the entry of the live members."""
        zones = self.membership.names_by_zone()
        addresses = {
            name: self.membership.address(name)
            for names in zones.values()
            for name in names
        }
        return MembersUpdated(names_by_zone=zones, addresses=addresses)

    def handle_announcement(self, announce, *, now_ms):
        """Hand an upstream's announcement to its registrars, and to this entry."""
        actions = [AnnounceReceived(announce=announce)]
        digest = self._keep(announce)
        seen = AnnounceDigest(digest=digest, sequence=announce.sequence)
        for name in self._placement.registrars_for(announce):
            if name == self._name:
                self.registrar.record_announcement(announce, now_ms=now_ms)
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

    def request_from_registrar(self, name, request, *, now_ms):
        """Ask a registrar for its lease."""
        if name != self._name:
            return self._to(name, request)
        answer = self._answer(request, now_ms=now_ms)
        return [RegistrarAnswered(name=name, message=answer)]

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
    def _(self, message: ForwardedAnnounce, source, *, now_ms):
        self.registrar.record_announcement(message.announce, now_ms=now_ms)
        return []

    @receive.register
    def _(self, message: AnnounceDigest, source, *, now_ms):
        if self.registrar.renew_by_digest(
            message.digest, message.sequence, now_ms=now_ms
        ):
            return []
        wanted = AnnounceRequest(digest=message.digest)
        return [SendDatagram(address=source, message=wanted)]

    @receive.register
    def _(self, message: AnnounceRequest, source, *, now_ms):
        announce = self._recent.get(message.digest)
        if announce is None:
            return []
        announced = ForwardedAnnounce(announce=announce)
        return [SendDatagram(address=source, message=announced)]

    @receive.register(LeaseRequest)
    @receive.register(LoadRequest)
    def _(self, message, source, *, now_ms):
        answer = self._answer(message, now_ms=now_ms)
        return [SendDatagram(address=source, message=answer)]

    def _answer(self, request, *, now_ms):
        if type(request) is LoadRequest:
            return self.health.report(request, now_ms=now_ms)
        return self.registrar.answer(request, now_ms=now_ms)

    @receive.register(LeaseAnswer)
    @receive.register(DirectoryDelta)
    @receive.register(LoadReport)
    def _(self, message, source, *, now_ms):
        name = self.membership.records.name_at(source)
        if name is None:
            self._count("dropped_stranger")
            return []
        return [RegistrarAnswered(name=name, message=message)]

    def _to(self, name, message):
        address = self.membership.address(name)
        if address is None:
            return []
        return [SendDatagram(address=address, message=message)]

    # What the members' part asks for

    def _translate(self, actions):
        if any(type(action) is MembersChanged for action in actions):
            self._place()
            actions = [*actions, self.members_event()]
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
        return [
            VersionReceived(address=address, name=action.name, version=action.version)
        ]

    @_event.register
    def _(self, action: NoteReceived):
        return [NoteDelivered(topic=action.note.topic, body=action.note.body)]
