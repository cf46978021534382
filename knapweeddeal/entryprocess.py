"""knapweeddeal.entryprocess: The process of an entry: its parts and tasks."""

import random
import secrets
import signal

import curio

from knapweeddeal.actions import Address
from knapweeddeal.clock import monotonic_ms, wall_ms
from knapweeddeal.configurationsync import ConfigurationSync
from knapweeddeal.controllink import ControlLink
from knapweeddeal.entryconfiguration import EntryConfiguration
from knapweeddeal.entrycore import EntryCore, Identity
from knapweeddeal.entryeventloop import EntryEventLoop
from knapweeddeal.entrylinks import EntryLinks
from knapweeddeal.entryqueries import EntryQueries
from knapweeddeal.entrystreams import EntryStreams
from knapweeddeal.events import ReloadRequested, StopRequested, Tick
from knapweeddeal.healthpoll import HealthPoll
from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.inbox import Inbox
from knapweeddeal.limits import Limits
from knapweeddeal.logs import Log
from knapweeddeal.membership import Membership
from knapweeddeal.messages.member import ALIVE, MemberRecord
from knapweeddeal.metrics import Metrics
from knapweeddeal.presence import Presence
from knapweeddeal.presencetask import PresenceTask
from knapweeddeal.registrar import Registrar
from knapweeddeal.servicesockets import receive_announcements
from knapweeddeal.signals import SignalReader
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first
from knapweeddeal.ticket import TicketSealer

__all__ = ["run"]

LOG = Log(prefix="entry")

#: Events that may wait for the event loop.
MAX_EVENTS = 20_000
TICK_MS = 100
#: Event class by the signal that triggers it.
EVENT_BY_SIGNAL = {signal.SIGTERM: StopRequested, signal.SIGHUP: ReloadRequested}


class EntryProcess:
    """Create the parts of an entry and run their tasks."""

    def __init__(self, *, settings):
        self._settings = settings
        self._inbox = Inbox(max_events=MAX_EVENTS)
        self._metrics = Metrics()
        self._tasks = curio.TaskGroup(wait=None)
        self._identity = _identity(settings)
        self._seeds = {
            name: Address(host=host, port=port)
            for name, (host, port) in settings.peers.items()
        }
        self._sealer = TicketSealer(
            keys=settings.ticket_keys, life_ms=settings.ticket_life_ms
        )
        self._core = self._new_core()
        self._configuration_sync = ConfigurationSync(
            seeds=len(settings.peers),
            wait_ms=settings.start_wait_ms,
            now_ms=monotonic_ms(),
        )
        self._control = ControlLink(
            identity=self._identity,
            settings=settings,
            inbox=self._inbox,
            version=lambda: self._configuration_sync.applied_version,
        )
        self._presence = PresenceTask(
            presence=self._new_presence(),
            address=self._identity.address,
            entry=self._inbox,
            count=self._metrics.count,
        )
        self._heartbeats = Heartbeats(settings=settings)
        self._links = self._new_links()
        self._event_loop = self._new_event_loop()
        self._streams = self._new_streams()

    async def run(self):
        """Serve until cancelled or until a planned stop is complete."""
        announce = Address(
            host=self._settings.announce[0], port=self._settings.announce[1]
        )
        LOG.info("started", name=self._settings.name)
        async with self._tasks:
            await run_until_first(
                serve(self._settings.listen, self._streams.serve_stream),
                receive_announcements(announce, self._presence.inbox),
                self._presence.run(),
                self._control.run(),
                self._heartbeats.run(),
                self._tick(),
                self._read_signals(),
                self._event_loop.run(),
            )
        LOG.info("stopped", name=self._settings.name)

    async def _tick(self):
        while True:
            await curio.sleep(TICK_MS / 1000)
            await self._inbox.put_unbounded(Tick())

    async def _read_signals(self):
        signals = SignalReader(numbers=EVENT_BY_SIGNAL)
        while True:
            event = EVENT_BY_SIGNAL[await signals.next()]
            await self._inbox.put_unbounded(event())

    def _state(self):
        return {
            "version": self._configuration_sync.applied_version,
            "links": self._links.state(),
            "events_waiting": self._inbox.qsize(),
            "members": dict(self._event_loop.members),
        }

    def _handle_unsent(self, message, key):
        return self._core.handle_unsent(message, key, now_ms=monotonic_ms())

    # Parts

    def _new_core(self):
        return EntryCore(
            identity=self._identity,
            sealer=self._sealer,
            limits=_limits(self._settings),
            rng=_rng(),
            wall_clock_ms=wall_ms,
            count=self._metrics.count,
            timers=self._metrics.record_us,
        )

    def _new_presence(self):
        settings, now_ms = self._settings, monotonic_ms()
        membership = Membership(
            record=_member_record(self._identity),
            seeds=self._seeds,
            rng=_rng(),
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
            registrars_per_zone=settings.registrars_per_zone,
            count=self._metrics.count,
        )

    def _new_links(self):
        return EntryLinks(
            identity=self._identity,
            settings=self._settings,
            inbox=self._inbox,
            tasks=self._tasks,
            heartbeats=self._heartbeats,
            control=self._control.outbox,
            presence=self._presence.inbox,
            handle_unsent=self._handle_unsent,
            count=self._metrics.count,
        )

    def _new_event_loop(self):
        configuration = EntryConfiguration(
            settings=self._settings,
            configuration_sync=self._configuration_sync,
            core=self._core,
            links=self._links,
            control=self._control,
            presence=self._presence.inbox,
        )
        return EntryEventLoop(
            core=self._core,
            links=self._links,
            configuration=configuration,
            presence=self._presence,
            inbox=self._inbox,
            identity=self._identity,
            settings=self._settings,
            seeds=self._seeds,
            sealer=self._sealer,
            count=self._metrics.count,
        )

    def _new_streams(self):
        queries = EntryQueries(
            core=self._core, metrics=self._metrics, state=self._state
        )
        return EntryStreams(
            settings=self._settings,
            inbox=self._inbox,
            links=self._links,
            queries=queries,
        )


async def run(settings):
    """Run an entry until cancelled."""
    await EntryProcess(settings=settings).run()


def _identity(settings):
    host, port = settings.listen
    return Identity(
        entry_id=settings.name,
        incarnation=secrets.randbits(64),
        zone=settings.zone,
        address=Address(host=host, port=port),
    )


def _limits(settings):
    return Limits(
        flow_idle_ms=settings.flow_idle_ms,
        max_flows=settings.max_flows,
        max_answer_bytes=settings.max_answer_bytes,
        lease_ms=settings.lease_ms,
        lease_ask_ms=settings.lease_ask_ms,
        max_ejected_percent=settings.max_ejected_percent,
        registrars_per_zone=settings.registrars_per_zone,
        stop_ms=settings.stop_ms,
    )


def _member_record(identity):
    return MemberRecord(
        name=identity.entry_id,
        incarnation=identity.incarnation,
        counter=0,
        zone=identity.zone,
        host=identity.address.host,
        port=identity.address.port,
        state=ALIVE,
    )


def _rng():
    return random.Random(secrets.randbits(64))
