"""knapweeddeal.presence: Handling of membership and registrar datagrams."""

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

#: Announcements that are kept for registrars that request them by digest.
MAX_RECENT_ANNOUNCES = 1_000


class Presence:
    """Handle the datagrams between entries; return datagrams and events to send.

    The events are for the entry's event loop. `count` increments a counter by
    name.
    """

    def __init__(self, *, membership, registrar, health, registrars_per_zone, count):
        self.membership = membership
        self.registrar = registrar
        self.health = health
        #: Registrar version of the upstreams that are polled.
        self._polled_version = 0
        self._registrars_per_zone = registrars_per_zone
        self._count = count
        self._placement = None
        #: Recently received announcements by digest.
        self._recent_announces = {}
        self._update_placement()

    @property
    def _name(self):
        return self.membership.record.name

    def _update_placement(self):
        self._placement = Placement(
            names_by_zone=self.membership.names_by_zone(),
            registrars_per_zone=self._registrars_per_zone,
        )

    # Commands

    def tick(self, *, now_ms):
        """Return the datagrams, events and polls that are due."""
        self.registrar.sweep(now_ms=now_ms)
        if self.registrar.version != self._polled_version:
            self._polled_version = self.registrar.version
            self.health.set_upstreams(self.registrar.listed(), now_ms=now_ms)
        return [
            *self._translate(self.membership.tick(now_ms=now_ms)),
            *self.health.due_polls(now_ms=now_ms),
        ]

    def members_event(self):
        """Return the event that reports the live members to the entry."""
        zones = self.membership.names_by_zone()
        addresses = {
            name: self.membership.address(name)
            for names in zones.values()
            for name in names
        }
        return MembersUpdated(names_by_zone=zones, addresses=addresses)

    def handle_announcement(self, announce, *, now_ms):
        """Forward an upstream's announcement to its registrars and to this entry."""
        actions = [AnnounceReceived(announce=announce)]
        digest = self._remember(announce)
        renewal = AnnounceDigest(digest=digest, sequence=announce.sequence)
        for name in self._placement.registrars_for(announce):
            if name == self._name:
                self.registrar.record_announcement(announce, now_ms=now_ms)
            else:
                actions += self._send_to(name, renewal)
        return actions

    def _remember(self, announce):
        digest = announce_digest(announce)
        self._recent_announces.pop(digest, None)
        self._recent_announces[digest] = announce
        if len(self._recent_announces) > MAX_RECENT_ANNOUNCES:
            del self._recent_announces[next(iter(self._recent_announces))]
        return digest

    def request_from_registrar(self, name, request, *, now_ms):
        """Send a lease or load request to a registrar, which may be this entry."""
        if name != self._name:
            return self._send_to(name, request)
        answer = self._answer(request, now_ms=now_ms)
        return [RegistrarAnswered(name=name, message=answer)]

    def set_version(self, version):
        """Gossip the version of the configuration that this entry applied."""
        return self._translate(self.membership.set_version(version))

    def leave(self, *, now_ms):
        """Return the datagrams that announce a planned leave of this entry."""
        return self._translate(self.membership.leave(now_ms=now_ms))

    @singledispatchmethod
    def receive(self, message, source, *, now_ms):
        """Handle a message from an address."""
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
        request = AnnounceRequest(digest=message.digest)
        return [SendDatagram(address=source, message=request)]

    @receive.register
    def _(self, message: AnnounceRequest, source, *, now_ms):
        announce = self._recent_announces.get(message.digest)
        if announce is None:
            return []
        forwarded = ForwardedAnnounce(announce=announce)
        return [SendDatagram(address=source, message=forwarded)]

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

    def _send_to(self, name, message):
        address = self.membership.address(name)
        if address is None:
            return []
        return [SendDatagram(address=address, message=message)]

    # Actions of the membership

    def _translate(self, actions):
        if any(type(action) is MembersChanged for action in actions):
            self._update_placement()
            actions = [*actions, self.members_event()]
        return [
            translated
            for action in actions
            for translated in self._translate_action(action)
        ]

    @singledispatchmethod
    def _translate_action(self, action):
        return [action]

    @_translate_action.register
    def _(self, action: MembersChanged):
        return []

    @_translate_action.register
    def _(self, action: MemberGone):
        record = action.record
        return [
            MemberLost(
                name=record.name,
                incarnation=record.incarnation,
                planned=action.planned,
            )
        ]

    @_translate_action.register
    def _(self, action: VersionSeen):
        address = self.membership.address(action.name)
        if address is None:
            return []
        return [
            VersionReceived(address=address, name=action.name, version=action.version)
        ]

    @_translate_action.register
    def _(self, action: NoteReceived):
        return [NoteDelivered(topic=action.note.topic, body=action.note.body)]
