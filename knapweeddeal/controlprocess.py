"""knapweeddeal.controlprocess: A control replica as a process."""

import secrets
import signal
from pathlib import Path

import curio

from knapweeddeal.controlcore import Core
from knapweeddeal.controlevents import StopAsk
from knapweeddeal.controlstreams import ControlStreams
from knapweeddeal.errors import BadSettingError, DiskFailedError, KnapweeddealError
from knapweeddeal.journal import Journal
from knapweeddeal.journaltask import JournalTask
from knapweeddeal.logs import Log
from knapweeddeal.reload import reload_settings
from knapweeddeal.replicalink import LinkPool
from knapweeddeal.signals import SignalReader
from knapweeddeal.storage import DataFolder
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["run"]

log = Log(prefix="control")

#: Events that wait for the core; streams that bring more wait themselves.
MAX_WAITING_EVENTS = 4_096
JOURNAL_NAME = "refusals"


async def run(settings):
    """Run a control replica until SIGTERM.

    Raises CorruptStorageError, DiskFailedError or BadSettingError.
    """
    folder, journal = _open_files(settings)
    try:
        await _run_tasks(settings, folder, journal)
    finally:
        folder.close()
        journal.close()


def _open_files(settings):
    try:
        folder = DataFolder(path=settings.data_folder, mint=_mint_identity)
        journal = Journal(path=Path(settings.data_folder) / JOURNAL_NAME)
    except OSError as error:
        raise DiskFailedError(
            error.strerror or str(error), field="data_folder", value=error.filename
        ) from None
    if folder.cut_bytes:
        log.warning("cut a torn tail", bytes=folder.cut_bytes)
    return folder, journal


async def _run_tasks(settings, folder, journal):
    events = curio.Queue(MAX_WAITING_EVENTS)
    links = LinkPool(
        events=events,
        heartbeat_ms=settings.heartbeat_ms,
        timeout_ms=settings.stream_timeout_ms,
    )
    core = Core(settings=settings, folder=folder, events=events, links=links)
    links.hello = core.hello
    keeper = JournalTask(journal=journal)
    streams = ControlStreams(
        core=core,
        events=events,
        journal=keeper,
        timeout_ms=settings.stream_timeout_ms,
    )
    try:
        await run_until_first(
            core.run(),
            keeper.run(),
            _serve(settings.listen, streams),
            _watch_signals(events, settings),
        )
    except KnapweeddealError as error:
        log.warning("stops", error=error.describe())
        raise
    finally:
        await links.close()


async def _serve(address, streams):
    try:
        await serve(address, streams.take)
    except OSError as error:
        raise BadSettingError(
            error.strerror or str(error), field="[daemon] listen", value=address
        ) from None


async def _watch_signals(events, settings):
    """Ask for a planned stop at SIGTERM or SIGINT; read settings at SIGHUP."""
    signals = SignalReader(numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    while True:
        if await signals.next() == signal.SIGHUP:
            reload_settings(settings)
        else:
            await events.put(StopAsk())


def _mint_identity():
    return secrets.randbits(63) | 1
