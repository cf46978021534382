"""knapweeddeal.entryprocess: The tasks of an entry around its decisions."""

import itertools
import random
import secrets
import signal
import traceback

import curio

from knapweeddeal.actions import (
    Address,
    Dial,
    ToCaller,
    ToControl,
    ToPeer,
    ToStream,
    ToUpstream,
)
from knapweeddeal.clock import monotonic_ms, wall_ms
from knapweeddeal.configurationspread import ConfigurationSpread
from knapweeddeal.controllink import ControlLink
from knapweeddeal.directory import AskRegistrar
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycore import Candidate, EntryCore, Identity
from knapweeddeal.entryqueries import EntryQueries
from knapweeddeal.errors import BadSettingError, KnapweeddealError
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
    Peer,
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
    VersionApplied,
    VersionCame,
)
from knapweeddeal.healthpoll import HealthPoll
from knapweeddeal.inbox import Inbox
from knapweeddeal.limits import Limits
from knapweeddeal.logs import Log
from knapweeddeal.membership import Membership
from knapweeddeal.messages.control import ConfigurationAsk, ConfigurationPush
from knapweeddeal.messages.member import ALIVE, MemberRecord
from knapweeddeal.messages.peer import PeerHello, Successions
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.metrics import Metrics
from knapweeddeal.outbox import Outbox
from knapweeddeal.peerlink import PeerLink
from knapweeddeal.presence import Presence
from knapweeddeal.presenceport import PresencePort
from knapweeddeal.registrar import Registrar
from knapweeddeal.reload import reload_settings
from knapweeddeal.serviceport import ServicePort, take_announcements
from knapweeddeal.signals import SignalReader
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first
from knapweeddeal.ticket import TicketSealer
from knapweeddeal.upstreamlink import UpstreamLink

__all__ = ["run"]

LOG = Log(prefix="entry")

#: Events that may wait for the deciding task.
MAX_EVENTS = 20_000
#: Events that are decided before other tasks get their turn.
MAX_IN_A_ROW = 128
TICK_MS = 50
#: Events by the signal that they stand for.
SIGNALS = {signal.SIGTERM: StopAsked, signal.SIGHUP: ReloadAsked}
#: Peers that are asked for their successions at one time, and how often at most.
MAX_ASKED = 3
ASK_SUCCESSIONS_MS = 1_000


class EntryProcess:
    """Own the decisions of an entry and the table of its links."""

    def __init__(self, *, settings):
        self._settings = settings
        self._inbox = Inbox(max_events=MAX_EVENTS)
        self._metrics = Metrics()
        self._version = 0
        self._ports = {}
        self._upstream_links = {}
        self._peer_links = {}
        self._peer_streams = {}
        self._stream_numbers = itertools.count(1)
        self._touched = set()
        self._starting = []
        self._ask_successions_ms = 0
        self._tasks = curio.TaskGroup(wait=None)
        host, port = settings.listen
        self._identity = Identity(
            entry_id=settings.name,
            incarnation=secrets.randbits(64),
            zone=settings.zone,
            address=Address(host=host, port=port),
        )
        self._sealer = TicketSealer(
            keys=settings.ticket_keys, life_ms=settings.ticket_life_ms
        )
        self._core = EntryCore(
            identity=self._identity,
            sealer=self._sealer,
            limits=Limits(
                lease_ms=settings.lease_ms,
                lease_ask_ms=settings.lease_ask_ms,
                max_ejected_percent=settings.max_ejected_percent,
                registrars_per_zone=settings.registrars_per_zone,
                stop_ms=settings.stop_ms,
            ),
            rng=random.Random(secrets.randbits(64)),
            wall_clock_ms=wall_ms,
            counters=self._count,
        )
        self._queries = EntryQueries(
            core=self._core, metrics=self._metrics, state=self._state
        )
        self._control = ControlLink(
            identity=self._identity,
            settings=settings,
            inbox=self._inbox,
            version=lambda: self._version,
        )

        self._members = {}
        self._spread = ConfigurationSpread(
            seeds=len(settings.peers),
            wait_ms=settings.start_wait_ms,
            now_ms=monotonic_ms(),
        )
        self._presence = PresencePort(
            presence=self._new_presence(),
            address=self._identity.address,
            entry=self._inbox,
            counters=self._count,
        )

    def _new_presence(self):
        settings, now_ms = self._settings, monotonic_ms()
        record = MemberRecord(
            name=settings.name,
            incarnation=self._identity.incarnation,
            counter=0,
            zone=settings.zone,
            host=self._identity.address.host,
            port=self._identity.address.port,
            state=ALIVE,
        )
        seeds = {
            name: Address(host=host, port=port)
            for name, (host, port) in settings.peers.items()
        }
        membership = Membership(
            record=record,
            seeds=seeds,
            rng=random.Random(secrets.randbits(64)),
            probe_ms=settings.probe_ms,
            now_ms=now_ms,
        )
        registrar = Registrar(
            epoch=secrets.randbits(32), silence_ms=settings.silence_ms, now_ms=now_ms
        )
        return Presence(
            membership=membership,
            registrar=registrar,
            health=HealthPoll(poll_ms=settings.poll_ms),
            per_zone=settings.registrars_per_zone,
            counters=self._count,
        )

    def _state(self):
        return {
            "version": self._version,
            "links": {
                "ports": {name: port.address for name, port in self._ports.items()},
                "upstreams": list(self._upstream_links),
                "peers": list(self._peer_links),
                "peer_streams": len(self._peer_streams),
            },
            "events_waiting": self._inbox.qsize(),
            "members": dict(self._members),
        }

    def _count(self, name, number=1):
        self._metrics.count(name, number)

    async def run(self):
        """Serve until cancelled or stopped as planned."""
        announce = Address(
            host=self._settings.announce[0], port=self._settings.announce[1]
        )
        LOG.info("Started.", name=self._settings.name)
        async with self._tasks:
            await run_until_first(
                serve(self._settings.listen, self._take_stream),
                take_announcements(announce, self._presence.inbox),
                self._presence.run(),
                self._control.run(),
                self._tick(),
                self._take_signals(),
                self._decide(),
            )
        LOG.info("Stopped.", name=self._settings.name)

    async def _tick(self):
        while True:
            await curio.sleep(TICK_MS / 1000)
            await self._inbox.put_at_once(Tick())

    async def _take_signals(self):
        signals = SignalReader(numbers=SIGNALS)
        while True:
            event = SIGNALS[await signals.next()]
            await self._inbox.put_at_once(event())

    # Streams that others open

    async def _take_stream(self, stream):
        try:
            hello = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(hello) is not PeerHello:
                await stream.send(self._queries.answer(hello))
                return
            await self._take_peer(stream, hello)
        except KnapweeddealError as error:
            LOG.info("Peer stream ended.", why=str(error))

    async def _take_peer(self, stream, hello):
        peer = Peer(
            name=hello.name,
            incarnation=hello.incarnation,
            stream=next(self._stream_numbers),
        )
        outbox = Outbox()
        self._peer_streams[peer.stream] = outbox
        try:
            await run_until_first(
                self._receive_from(stream, peer, outbox), outbox.drain_to(stream)
            )
        finally:
            del self._peer_streams[peer.stream]

    async def _receive_from(self, stream, peer, outbox):
        while True:
            message = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(message) is Heartbeat:
                await outbox.offer(message)
            else:
                await self._inbox.put(PeerMessage(message=message, peer=peer))

    # The deciding task

    async def _decide(self):
        while not self._core.stopped:
            for event in await self._inbox.take(MAX_IN_A_ROW):
                await self._handle_safely(event)
            await self._go_on()
            await curio.sleep(0)

    def _ask_successions(self, *, but=None):
        """Return asks to a few other entries for the successions that they hold."""
        now_ms = monotonic_ms()
        if now_ms < self._ask_successions_ms:
            return []
        self._ask_successions_ms = now_ms + ASK_SUCCESSIONS_MS
        ask = Successions(ask=True, successions=[])
        others = [c.address for c in self._candidates() if c.address != but]
        return [ToPeer(address=address, message=ask) for address in others[:MAX_ASKED]]

    async def _handle_safely(self, event):
        """Decide on one event; an error in it is logged and ends nothing else."""
        try:
            for action in await self._handle(event):
                self._perform(action)
        except Exception:
            self._count("errors")
            LOG.warning(
                "Event failed.",
                event=type(event).__name__,
                trace=traceback.format_exc(),
            )

    async def _go_on(self):
        """Start new links, and let the tasks go on that have something to send."""
        starting, self._starting = self._starting, []
        for link in starting:
            await self._tasks.spawn(link.run, daemon=True)
        for sender in self._touched:
            await sender.wake()
        self._touched.clear()

    def _candidates(self):
        """Return the other entries, the one after this one by name first."""
        addresses = {
            name: Address(host=host, port=port)
            for name, (host, port) in self._settings.peers.items()
        }
        addresses = {**self._members} or addresses
        addresses.pop(self._settings.name, None)
        later = sorted(name for name in addresses if name > self._settings.name)
        earlier = sorted(name for name in addresses if name < self._settings.name)
        return [
            Candidate(name=name, address=addresses[name]) for name in later + earlier
        ]

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
        link = self._upstream_links.pop(event.key, None)
        actions = []
        for message in link.outbox.unsent() if link else ():
            actions += self._core.unsent(message, event.key, now_ms=now_ms)
        return [*actions, *self._core.stream_down(event.key, now_ms=now_ms)]

    @_handle.register
    async def _(self, event: PeerMessage):
        if type(event.message) is ConfigurationAsk and event.peer:
            push = self._spread.answer(event.message.applied_version)
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
        self._members = event.addresses
        self._core.directory.set_members(event.names_by_zone)
        self._core.set_neighbours(self._neighbours(event))
        asks = [] if self._ask_successions_ms else self._ask_successions()
        return [*self._core.directory.tick(now_ms=monotonic_ms()), *asks]

    def _neighbours(self, members):
        """Return the addresses of the zone's other entries, or of any if alone."""
        own = self._identity
        near = members.names_by_zone.get(own.zone, ())
        names = set(near) - {own.entry_id} or set(members.addresses) - {own.entry_id}
        return [members.addresses[name] for name in sorted(names)]

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
        asks = self._spread.saw(event.name, event.version, now_ms=monotonic_ms())
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
        await self._apply_due(now_ms)
        actions = self._core.tick(now_ms=now_ms)
        return [*actions, *self._core.directory.tick(now_ms=now_ms)]

    # Actions

    @methoddispatch
    def _perform(self, action):
        raise TypeError(f"no such action: {action!r}")

    @_perform.register
    def _(self, action: ToCaller):
        port = self._ports.get(action.service)
        if port is None or not port.put(action.caller, action.message):
            self._count("dropped_to_caller")
            return
        self._touched.add(port)

    @_perform.register
    def _(self, action: Dial):
        if action.key in self._upstream_links:
            return
        link = UpstreamLink(
            key=action.key,
            address=action.address,
            identity=self._identity,
            settings=self._settings,
            inbox=self._inbox,
        )
        self._upstream_links[action.key] = link
        self._starting.append(link)

    @_perform.register
    def _(self, action: ToUpstream):
        link = self._upstream_links.get(action.key)
        if link is not None and link.outbox.put(action.message):
            self._touched.add(link.outbox)
            return
        self._count("dropped_to_upstream")
        now_ms = monotonic_ms()
        for then in self._core.unsent(action.message, action.key, now_ms=now_ms):
            self._perform(then)

    @_perform.register
    def _(self, action: ToPeer):
        link = self._peer_links.get(action.address)
        if link is None:
            link = PeerLink(
                address=action.address,
                identity=self._identity,
                settings=self._settings,
                inbox=self._inbox,
                ended=self._end_peer_link,
            )
            self._peer_links[action.address] = link
            self._starting.append(link)
        if link.outbox.put(action.message):
            self._touched.add(link.outbox)
        else:
            self._count("dropped_to_peer")

    @_perform.register
    def _(self, action: ToStream):
        outbox = self._peer_streams.get(action.stream)
        if outbox is None or not outbox.put(action.message):
            self._count("dropped_to_stream")
            return
        self._touched.add(outbox)

    @_perform.register
    def _(self, action: AskRegistrar):
        self._presence.inbox.put_later(action)
        self._touched.add(self._presence.inbox)

    @_perform.register
    def _(self, action: ToControl):
        if not self._control.outbox.put(action.message):
            self._count("dropped_to_control")
        self._touched.add(self._control.outbox)

    def _end_peer_link(self, address):
        self._peer_links.pop(address, None)

    async def _offer(self, configuration):
        self._spread.offer(configuration)
        await self._apply_due(monotonic_ms())
        return []

    async def _apply_due(self, now_ms):
        configuration = self._spread.to_apply(now_ms=now_ms)
        if configuration is not None:
            await self._apply(configuration)

    async def _apply(self, configuration):
        wanted = {
            entry.name: Address(
                host=self._settings.service_host or entry.host, port=entry.port
            )
            for entry in configuration.services
        }
        for name, (port, task) in list(self._port_tasks().items()):
            if wanted.get(name) != port.address:
                await task.cancel()
                del self._ports[name]
        for name, address in wanted.items():
            if name not in self._ports:
                await self._open_port(name, address)
        self._core.apply_configuration(configuration)
        self._version = configuration.version
        self._spread.mark_applied(configuration.version)
        await self._presence.inbox.put_at_once(
            VersionApplied(version=configuration.version)
        )
        await self._control.report()
        LOG.info("Configuration applied.", version=configuration.version)

    async def _open_port(self, name, address):
        try:
            port = ServicePort(
                service=name,
                address=address,
                inbox=self._inbox,
                counters=self._count,
            )
        except BadSettingError as error:
            LOG.warning("Address can't be bound.", service=name, why=str(error))
            return
        port.task = await self._tasks.spawn(port.run, daemon=True)
        self._ports[name] = port

    def _port_tasks(self):
        return {name: (port, port.task) for name, port in self._ports.items()}


async def run(settings):
    """Run an entry until cancelled."""
    await EntryProcess(settings=settings).run()
