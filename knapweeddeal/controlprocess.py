"""knapweeddeal.controlprocess: The tasks of a control replica process."""

import functools
import secrets
import signal
import sys
from pathlib import Path

import curio

from knapweeddeal.coldbound import ColdBound
from knapweeddeal.controlcore import ControlCore, local_replica
from knapweeddeal.controlevents import SeedsChanged, StopRequest
from knapweeddeal.controlstreams import ControlStreams
from knapweeddeal.directoryhints import HintFile
from knapweeddeal.disk import open_when_writable
from knapweeddeal.errors import BadSettingError, DiskFailedError, KnapweeddealError
from knapweeddeal.httpserver import serve_http
from knapweeddeal.journal import Journal
from knapweeddeal.journaltask import JournalTask
from knapweeddeal.logs import Log
from knapweeddeal.metricsserver import serve_metrics
from knapweeddeal.packethub import PacketHub
from knapweeddeal.platform.api import PlatformApi
from knapweeddeal.reload import reload_settings, watch_settings
from knapweeddeal.replicalink import LinkPool
from knapweeddeal.signals import SignalReader
from knapweeddeal.storage import DataFolder
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["run"]

log = Log(prefix="control")

#: Queue limit of the core and of the hub; streams block when a queue is full.
MAX_WAITING_EVENTS = 4_096
JOURNAL_NAME = "refusals"
#: Time after which a busy thread lets the event loop continue, which may have to wait
#: for it at each system call. By default it is five times as long.
THREAD_SWITCH_MS = 1


async def run(settings):
    """Run a control replica until SIGTERM.

    Raises CorruptStorageError, DiskFailedError or BadSettingError.
    """
    sys.setswitchinterval(THREAD_SWITCH_MS / 1000)
    folder, journal = await _open_files(settings)
    try:
        await _run_tasks(settings, folder, journal)
    finally:
        folder.close()
        journal.close()


async def _open_files(settings):
    try:
        folder = await open_when_writable(_open_folder, settings.data_folder)
        journal = await open_when_writable(_open_journal, settings.data_folder)
    except OSError as error:
        raise DiskFailedError(
            error.strerror or str(error), field="data_folder", value=error.filename
        ) from None
    if folder.truncated_bytes:
        log.warning(
            "truncated an incomplete write at the end of the log",
            bytes=folder.truncated_bytes,
        )
    return folder, journal


def _open_folder(path):
    return DataFolder(path=path, new_identity=_new_identity)


def _open_journal(path):
    return Journal(path=Path(path) / JOURNAL_NAME)


class _EventFanOut:
    """Put each event into several queues."""

    __slots__ = ("_queues",)

    def __init__(self, *, queues):
        self._queues = queues

    async def put(self, event):
        """Put an event into all queues."""
        for queue in self._queues:
            await queue.put(event)


async def _run_tasks(settings, folder, journal):
    events = curio.Queue(MAX_WAITING_EVENTS)
    hub_events = curio.Queue(MAX_WAITING_EVENTS)
    links = LinkPool(
        events=_EventFanOut(queues=(events, hub_events)),
        heartbeat_ms=settings.heartbeat_ms,
        timeout_ms=settings.stream_timeout_ms,
    )
    core = ControlCore(
        settings=settings,
        folder=folder,
        events=events,
        links=links,
        hub_events=hub_events,
    )
    hints = HintFile(folder=settings.data_folder)
    hub = PacketHub(
        own_replica=local_replica(settings, folder),
        zone=settings.zone,
        report_ms=settings.report_ms,
        events=hub_events,
        metrics=core.metrics,
        hints=hints,
        cold_bound=ColdBound(over=settings.cold_over, slack=settings.cold_slack),
    )
    core.add_dump_section("packets", hub.dump)
    links.hello = core.hello
    journal_task = JournalTask(journal=journal)
    streams = ControlStreams(
        core=core,
        events=events,
        hub_events=hub_events,
        journal=journal_task,
        timeout_ms=settings.stream_timeout_ms,
    )
    try:
        await run_until_first(
            core.run(),
            hub.run(),
            hints.run(hub.hints),
            journal_task.run(),
            _serve(settings.listen, streams, core.metrics),
            _watch_signals(events, settings),
            watch_settings(settings, functools.partial(_send_seeds, events, settings)),
            *_http_servers(settings, core, hub_events, streams),
        )
    except KnapweeddealError as error:
        log.warning("stopping after an error", error=error.describe())
        raise
    finally:
        await links.close()


async def _serve(address, streams, metrics):
    try:
        await serve(address, streams.serve_stream, metrics=metrics)
    except OSError as error:
        raise BadSettingError(
            error.strerror or str(error), field="[daemon] listen", value=address
        ) from None


def _http_servers(settings, core, hub_events, streams):
    servers = []
    if settings.api is not None:
        api = PlatformApi(
            send_request=streams.submit_to_core,
            replica=core,
            hub_events=hub_events,
            identity=core.identity,
            port=settings.api[1],
            metrics=core.metrics,
        )
        servers.append(
            serve_http(settings.api, api.handle_request, metrics=core.metrics)
        )
    if settings.metrics is not None:
        servers.append(serve_metrics(settings.metrics, core.metrics))
    return servers


async def _send_seeds(events, settings):
    await events.put(SeedsChanged(addresses=settings.seed_addresses))


async def _watch_signals(events, settings):
    """Request a planned stop on SIGTERM or SIGINT; reload settings on SIGHUP."""
    signals = SignalReader(numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    while True:
        if await signals.next() == signal.SIGHUP:
            if reload_settings(settings):
                await _send_seeds(events, settings)
        else:
            await events.put(StopRequest())


def _new_identity():
    return secrets.randbits(63) | 1
