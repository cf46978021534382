"""knapweeddeal.entryeventloop: The event loop of an entry."""

import traceback

import curio

from knapweeddeal.actions import ToPeer, ToStream
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycore import Candidate
from knapweeddeal.events import (
    AnnounceReceived,
    CallerDatagram,
    ConfigurationReceived,
    ControlMessage,
    ControlUp,
    MemberLost,
    MembersUpdated,
    NoteDelivered,
    PeerDown,
    PeerMessage,
    PeerUp,
    RegistrarAnswered,
    ReloadRequested,
    StopRequested,
    Tick,
    Undeliverable,
    UpstreamDown,
    UpstreamMessage,
    UpstreamUp,
    VersionReceived,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import ConfigurationPush, ConfigurationRequest
from knapweeddeal.messages.peer import Successions
from knapweeddeal.record import printed_name
from knapweeddeal.reload import reload_settings

__all__ = ["EntryEventLoop"]

LOG = Log(prefix="entry")

#: Events that are handled before the loop yields to other tasks.
MAX_EVENTS_PER_TURN = 128
#: Peers that receive a request for their successions in one round.
MAX_SUCCESSION_PEERS = 3
#: Shortest time between two such rounds.
SUCCESSION_REQUEST_INTERVAL_MS = 1_000


class EntryEventLoop:
    """Pass each event to the core and perform the actions that it returns."""

    __slots__ = (
        "_next_succession_request_ms",
        "_configuration",
        "_core",
        "_count",
        "_identity",
        "_inbox",
        "_links",
        "_presence",
        "_sealer",
        "_seeds",
        "_settings",
        "members",
    )

    def __init__(
        self,
        *,
        core,
        links,
        configuration,
        presence,
        inbox,
        identity,
        settings,
        seeds,
        sealer,
        count,
    ):
        self._core = core
        self._links = links
        self._configuration = configuration
        self._presence = presence
        self._inbox = inbox
        self._identity = identity
        self._settings = settings
        #: Addresses by name, used until the membership is known.
        self._seeds = seeds
        self._sealer = sealer
        self._count = count
        self._next_succession_request_ms = 0
        #: Addresses of the live entries by name.
        self.members = {}

    async def run(self):
        """Handle events until the core has completed a planned stop."""
        while not self._core.stopped:
            for event in await self._inbox.get_batch(MAX_EVENTS_PER_TURN):
                await self._handle_safely(event)
            await self._links.flush_pending()
            await curio.sleep(0)

    async def _handle_safely(self, event):
        """Handle one event; an error in it is logged and doesn't end the loop."""
        try:
            for action in await self._handle(event):
                self._links.perform(action)
        except Exception:
            self._count("errors")
            LOG.warning(
                "event handling failed",
                event=printed_name(event),
                trace=traceback.format_exc(),
            )

    # Helpers of the handlers

    def _request_successions(self, *, excluding=None):
        """Return requests to a few other entries for the successions that they hold."""
        now_ms = monotonic_ms()
        if now_ms < self._next_succession_request_ms:
            return []
        self._next_succession_request_ms = now_ms + SUCCESSION_REQUEST_INTERVAL_MS
        request = Successions(ask=True, successions=[])
        others = [c.address for c in self._candidates() if c.address != excluding]
        return [
            ToPeer(address=address, message=request)
            for address in others[:MAX_SUCCESSION_PEERS]
        ]

    def _candidates(self):
        """Return the other entries by name, those after this one's name first."""
        addresses = dict(self.members or self._seeds)
        own_name = self._identity.entry_id
        addresses.pop(own_name, None)
        following = sorted(name for name in addresses if name > own_name)
        preceding = sorted(name for name in addresses if name < own_name)
        return [
            Candidate(name=name, address=addresses[name])
            for name in following + preceding
        ]

    def _zone_peers(self, members):
        """Return the addresses of the zone's other entries, or of all others."""
        own = self._identity
        zone_names = members.names_by_zone.get(own.zone, ())
        names = set(zone_names) - {own.entry_id} or set(members.addresses) - {
            own.entry_id
        }
        return [members.addresses[name] for name in sorted(names)]

    # Events

    @methoddispatch
    async def _handle(self, event):
        raise TypeError(f"no handler for event {event!r}")

    @_handle.register
    async def _(self, event: CallerDatagram):
        return self._core.from_caller(
            event.service, event.caller, event.data, now_ms=monotonic_ms()
        )

    @_handle.register
    async def _(self, event: UpstreamMessage):
        return self._core.from_upstream(event.message, event.key, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: UpstreamUp):
        self._core.stream_up(event.key)
        return []

    @_handle.register
    async def _(self, event: UpstreamDown):
        now_ms = monotonic_ms()
        actions = []
        for message in self._links.remove_upstream(event.key):
            actions += self._core.handle_unsent(message, event.key, now_ms=now_ms)
        return [*actions, *self._core.stream_down(event.key, now_ms=now_ms)]

    @_handle.register
    async def _(self, event: PeerMessage):
        if type(event.message) is ConfigurationRequest and event.peer:
            push = self._configuration.configuration_sync.answer(
                event.message.applied_version
            )
            return [ToStream(stream=event.peer.stream, message=push)] if push else []
        if type(event.message) is ConfigurationPush:
            return await self._offer_configuration(event.message.configuration)
        return self._core.from_peer(event.message, event.peer, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: Undeliverable):
        return self._core.handle_undeliverable(event.message, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: PeerUp):
        self._core.peer_up(event.address)
        return []

    @_handle.register
    async def _(self, event: PeerDown):
        # The peer may have completed a planned stop, and its succession message
        # may be lost.
        return [
            *self._core.peer_down(event.address, now_ms=monotonic_ms()),
            *self._request_successions(excluding=event.address),
        ]

    @_handle.register
    async def _(self, event: AnnounceReceived):
        return self._core.apply_announce(event.announce, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: ConfigurationReceived):
        return await self._offer_configuration(event.configuration)

    @_handle.register
    async def _(self, event: MembersUpdated):
        self.members = event.addresses
        self._core.directory.set_members(event.names_by_zone)
        self._core.set_zone_peers(self._zone_peers(event))
        requests = (
            [] if self._next_succession_request_ms else self._request_successions()
        )
        return [*self._core.directory.tick(now_ms=monotonic_ms()), *requests]

    @_handle.register
    async def _(self, event: MemberLost):
        LOG.info("entry left or failed", entry=event.name, planned=event.planned)
        return []

    @_handle.register
    async def _(self, event: RegistrarAnswered):
        directory = self._core.directory
        return directory.handle_answer(event.message, event.name, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: VersionReceived):
        requests = self._configuration.configuration_sync.observe_version(
            event.name, event.version, now_ms=monotonic_ms()
        )
        messages = [
            ConfigurationRequest(
                name=self._identity.entry_id,
                incarnation=self._identity.incarnation,
                zone=self._identity.zone,
                applied_version=request.applied_version,
            )
            for request in requests
        ]
        return [ToPeer(address=event.address, message=m) for m in messages]

    @_handle.register
    async def _(self, _event: NoteDelivered):
        return []

    @_handle.register
    async def _(self, event: ControlMessage):
        return self._core.from_control(event.message)

    @_handle.register
    async def _(self, _event: ControlUp):
        self._core.control_up()
        return []

    @_handle.register
    async def _(self, _event: StopRequested):
        LOG.info("planned stop requested", flows=len(self._core.flows))
        await self._presence.leave()
        return self._core.begin_stop(self._candidates(), now_ms=monotonic_ms())

    @_handle.register
    async def _(self, _event: ReloadRequested):
        if reload_settings(self._settings):
            self._sealer.set_keys(self._settings.ticket_keys)
        return []

    @_handle.register
    async def _(self, _event: Tick):
        now_ms = monotonic_ms()
        await self._configuration.apply_due(now_ms=now_ms)
        actions = self._core.tick(now_ms=now_ms)
        return [*actions, *self._core.directory.tick(now_ms=now_ms)]

    async def _offer_configuration(self, configuration):
        await self._configuration.offer(configuration, now_ms=monotonic_ms())
        return []
