"""knapweeddeal.entrydecider: The deciding task of an entry."""

import traceback

import curio

from knapweeddeal.actions import ToPeer, ToStream
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycore import Candidate
from knapweeddeal.events import (
    AnnounceCame,
    CallerDatagram,
    ConfigurationCame,
    ControlMessage,
    ControlUp,
    DirectoryCame,
    MemberLost,
    MembersCame,
    NoteTaken,
    PeerDown,
    PeerMessage,
    PeerUp,
    ReloadAsked,
    StopAsked,
    Tick,
    Undeliverable,
    UpstreamDown,
    UpstreamMessage,
    UpstreamUp,
    VersionCame,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import ConfigurationAsk, ConfigurationPush
from knapweeddeal.messages.peer import Successions
from knapweeddeal.reload import reload_settings

__all__ = ["EntryDecider"]

LOG = Log(prefix="entry")

#: Events that are decided before other tasks get their turn.
MAX_IN_A_ROW = 128
#: Peers that are asked for their successions at one time, and how often at most.
MAX_ASKED = 3
ASK_SUCCESSIONS_MS = 1_000


class EntryDecider:
    """Take events one by one, ask the core, and have its actions performed."""

    __slots__ = (
        "_ask_successions_ms",
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
        counters,
    ):
        self._core = core
        self._links = links
        self._configuration = configuration
        self._presence = presence
        self._inbox = inbox
        self._identity = identity
        self._settings = settings
        #: Addresses by name that stand in until members are known.
        self._seeds = seeds
        self._sealer = sealer
        self._count = counters
        self._ask_successions_ms = 0
        #: Addresses of the entries that live, by name.
        self.members = {}

    async def run(self):
        """Decide until the core has stopped as planned."""
        while not self._core.stopped:
            for event in await self._inbox.take(MAX_IN_A_ROW):
                await self._handle_safely(event)
            await self._links.go_on()
            await curio.sleep(0)

    async def _handle_safely(self, event):
        """Decide on one event; an error in it is logged and ends nothing else."""
        try:
            for action in await self._handle(event):
                self._links.perform(action)
        except Exception:
            self._count("errors")
            LOG.warning(
                "Event failed.",
                event=type(event).__name__,
                trace=traceback.format_exc(),
            )

    # What actions are made of

    def _ask_successions(self, *, but=None):
        """Return asks to a few other entries for the successions that they hold."""
        now_ms = monotonic_ms()
        if now_ms < self._ask_successions_ms:
            return []
        self._ask_successions_ms = now_ms + ASK_SUCCESSIONS_MS
        ask = Successions(ask=True, successions=[])
        others = [c.address for c in self._candidates() if c.address != but]
        return [ToPeer(address=address, message=ask) for address in others[:MAX_ASKED]]

    def _candidates(self):
        """Return the other entries, the one after this one by name first."""
        addresses = dict(self.members or self._seeds)
        own = self._identity.entry_id
        addresses.pop(own, None)
        later = sorted(name for name in addresses if name > own)
        earlier = sorted(name for name in addresses if name < own)
        return [
            Candidate(name=name, address=addresses[name]) for name in later + earlier
        ]

    def _neighbours(self, members):
        """Return the addresses of the zone's other entries, or of any if alone."""
        own = self._identity
        near = members.names_by_zone.get(own.zone, ())
        names = set(near) - {own.entry_id} or set(members.addresses) - {own.entry_id}
        return [members.addresses[name] for name in sorted(names)]

    # Events

    @methoddispatch
    async def _handle(self, event):
        raise TypeError(f"no such event: {event!r}")

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
            actions += self._core.unsent(message, event.key, now_ms=now_ms)
        return [*actions, *self._core.stream_down(event.key, now_ms=now_ms)]

    @_handle.register
    async def _(self, event: PeerMessage):
        if type(event.message) is ConfigurationAsk and event.peer:
            push = self._configuration.spread.answer(event.message.applied_version)
            return [ToStream(stream=event.peer.stream, message=push)] if push else []
        if type(event.message) is ConfigurationPush:
            return await self._offer(event.message.configuration)
        return self._core.from_peer(event.message, event.peer, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: Undeliverable):
        return self._core.undeliverable(event.message, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: PeerUp):
        self._core.peer_up(event.address)
        return []

    @_handle.register
    async def _(self, event: PeerDown):
        # It may have stopped as planned, and its word on that may be lost.
        return [
            *self._core.peer_down(event.address, now_ms=monotonic_ms()),
            *self._ask_successions(but=event.address),
        ]

    @_handle.register
    async def _(self, event: AnnounceCame):
        return self._core.apply_announce(event.announce, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: ConfigurationCame):
        return await self._offer(event.configuration)

    @_handle.register
    async def _(self, event: MembersCame):
        self.members = event.addresses
        self._core.directory.set_members(event.names_by_zone)
        self._core.set_neighbours(self._neighbours(event))
        asks = [] if self._ask_successions_ms else self._ask_successions()
        return [*self._core.directory.tick(now_ms=monotonic_ms()), *asks]

    @_handle.register
    async def _(self, event: MemberLost):
        LOG.info("Entry is gone.", entry=event.name, planned=event.planned)
        return []

    @_handle.register
    async def _(self, event: DirectoryCame):
        directory = self._core.directory
        return directory.take(event.message, event.name, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: VersionCame):
        asks = self._configuration.spread.saw(
            event.name, event.version, now_ms=monotonic_ms()
        )
        message = [
            ConfigurationAsk(
                name=self._identity.entry_id,
                incarnation=self._identity.incarnation,
                zone=self._identity.zone,
                applied_version=ask.applied_version,
            )
            for ask in asks
        ]
        return [ToPeer(address=event.address, message=m) for m in message]

    @_handle.register
    async def _(self, _event: NoteTaken):
        return []

    @_handle.register
    async def _(self, event: ControlMessage):
        return self._core.from_control(event.message)

    @_handle.register
    async def _(self, _event: ControlUp):
        self._core.control_up()
        return []

    @_handle.register
    async def _(self, _event: StopAsked):
        LOG.info("Stop asked.", flows=len(self._core.flows))
        await self._presence.leave()
        return self._core.begin_stop(self._candidates(), now_ms=monotonic_ms())

    @_handle.register
    async def _(self, _event: ReloadAsked):
        if reload_settings(self._settings):
            self._sealer.set_keys(self._settings.ticket_keys)
        return []

    @_handle.register
    async def _(self, _event: Tick):
        now_ms = monotonic_ms()
        await self._configuration.apply_due(now_ms=now_ms)
        actions = self._core.tick(now_ms=now_ms)
        return [*actions, *self._core.directory.tick(now_ms=now_ms)]

    async def _offer(self, configuration):
        await self._configuration.offer(configuration, now_ms=monotonic_ms())
        return []
