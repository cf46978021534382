"""knapweeddeal.entryprocess: The tasks of an entry around its decisions."""

import random
import secrets
from functools import singledispatchmethod

import curio

from knapweeddeal.actions import (
    Address,
    CloseStream,
    Dial,
    ToCaller,
    ToControl,
    ToPeer,
    ToUpstream,
)
from knapweeddeal.clock import monotonic_ms, wall_ms
from knapweeddeal.controllink import ControlLink
from knapweeddeal.entrycore import EntryCore, Identity
from knapweeddeal.entryqueries import EntryQueries
from knapweeddeal.errors import BadSettingError, KnapweeddealError
from knapweeddeal.events import (
    AnnounceCame,
    CallerDatagram,
    ConfigurationCame,
    PeerMessage,
    Tick,
    Undeliverable,
    UpstreamDown,
    UpstreamMessage,
    UpstreamUp,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.peer import Announced, PeerHello
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.metrics import Metrics
from knapweeddeal.peerlink import PeerLink
from knapweeddeal.serviceport import ServicePort, take_announcements
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first
from knapweeddeal.ticket import TicketSealer
from knapweeddeal.upstreamlink import UpstreamLink

__all__ = ["run"]

LOG = Log(prefix="entry")

#: Events that may wait for the deciding task.
MAX_EVENTS = 20_000
TICK_MS = 50


class EntryProcess:
    """Own the decisions of an entry and the table of its links."""

    def __init__(self, *, settings):
        self._settings = settings
        self._inbox = curio.Queue(maxsize=MAX_EVENTS)
        self._metrics = Metrics()
        self._version = 0
        self._ports = {}
        self._upstream_links = {}
        self._peer_links = {}
        self._tasks = curio.TaskGroup(wait=None)
        host, port = settings.listen
        self._identity = Identity(
            entry_id=settings.name,
            incarnation=secrets.randbits(64),
            zone=settings.zone,
            address=Address(host=host, port=port),
        )
        self._core = EntryCore(
            identity=self._identity,
            sealer=TicketSealer(
                keys=settings.ticket_keys, life_ms=settings.ticket_life_ms
            ),
            lease_ms=settings.lease_ms,
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

    def _state(self):
        return {
            "version": self._version,
            "links": {
                "ports": {name: port.address for name, port in self._ports.items()},
                "upstreams": list(self._upstream_links),
                "peers": list(self._peer_links),
            },
            "events_waiting": self._inbox.qsize(),
        }

    def _count(self, name):
        self._metrics.count(name)

    async def run(self):
        """Serve until cancelled."""
        announce = Address(
            host=self._settings.announce[0], port=self._settings.announce[1]
        )
        LOG.info("Started.", name=self._settings.name)
        async with self._tasks:
            await run_until_first(
                serve(self._settings.listen, self._take_stream),
                take_announcements(announce, self._inbox),
                self._control.run(),
                self._tick(),
                self._decide(),
            )

    async def _tick(self):
        while True:
            await curio.sleep(TICK_MS / 1000)
            await self._inbox.put(Tick())

    async def _take_stream(self, stream):
        try:
            hello = await stream.receive_within(self._settings.stream_timeout_ms)
            if type(hello) is not PeerHello:
                await stream.send(self._queries.answer(hello))
                return
            await self._take_peer(stream)
        except KnapweeddealError as error:
            LOG.info("Peer stream ended.", why=str(error))

    async def _take_peer(self, stream):
        while True:
            message = await stream.receive()
            if type(message) is Heartbeat:
                await stream.send(message)
            elif type(message) is Announced:
                event = AnnounceCame(announce=message.announce, direct=False)
                await self._inbox.put(event)
            else:
                await self._inbox.put(PeerMessage(message=message))

    # The deciding task

    async def _decide(self):
        while True:
            event = await self._inbox.get()
            for action in await self._handle(event):
                await self._perform(action)

    @singledispatchmethod
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
        self._upstream_links.pop(event.key, None)
        return self._core.stream_down(event.key, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: PeerMessage):
        return self._core.from_peer(event.message, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: Undeliverable):
        return self._core.undeliverable(event.message)

    @_handle.register
    async def _(self, event: AnnounceCame):
        if event.direct:
            for host, port in self._settings.peers.values():
                address = Address(host=host, port=port)
                message = Announced(announce=event.announce)
                await self._perform(ToPeer(address=address, message=message))
        return self._core.apply_announce(event.announce, now_ms=monotonic_ms())

    @_handle.register
    async def _(self, event: ConfigurationCame):
        await self._apply(event.configuration)
        return []

    @_handle.register
    async def _(self, _event: Tick):
        return self._core.tick(now_ms=monotonic_ms())

    # Actions

    @singledispatchmethod
    async def _perform(self, action):
        raise TypeError(f"no such action: {action!r}")

    @_perform.register
    async def _(self, action: ToCaller):
        port = self._ports.get(action.service)
        if port is None or not await port.offer(action.caller, action.message):
            self._count("dropped_to_caller")

    @_perform.register
    async def _(self, action: Dial):
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
        await self._tasks.spawn(link.run)

    @_perform.register
    async def _(self, action: CloseStream):
        self._upstream_links.pop(action.key, None)

    @_perform.register
    async def _(self, action: ToUpstream):
        link = self._upstream_links.get(action.key)
        if link is None or not await link.offer(action.message):
            self._count("dropped_to_upstream")

    @_perform.register
    async def _(self, action: ToPeer):
        link = self._peer_links.get(action.address)
        if link is None:
            link = PeerLink(
                address=action.address,
                identity=self._identity,
                settings=self._settings,
                inbox=self._inbox,
            )
            self._peer_links[action.address] = link
            await self._tasks.spawn(self._run_peer_link, action.address, link)
        if not await link.offer(action.message):
            self._count("dropped_to_peer")

    @_perform.register
    async def _(self, action: ToControl):
        await self._control.offer(action.message)

    async def _run_peer_link(self, address, link):
        try:
            await link.run()
        finally:
            self._peer_links.pop(address, None)

    async def _apply(self, configuration):
        if configuration.version <= self._version:
            return
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
        await self._control.report()
        LOG.info("Configuration applied.", version=configuration.version)

    async def _open_port(self, name, address):
        try:
            port = ServicePort(service=name, address=address, inbox=self._inbox)
        except BadSettingError as error:
            LOG.warning("Address can't be bound.", service=name, why=str(error))
            return
        port.task = await self._tasks.spawn(port.run)
        self._ports[name] = port

    def _port_tasks(self):
        return {name: (port, port.task) for name, port in self._ports.items()}


async def run(settings):
    """Run an entry until cancelled."""
    await EntryProcess(settings=settings).run()
