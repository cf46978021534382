"""knapweeddeal.controlprocess: A control replica as a process."""

import os
import secrets
import signal
from pathlib import Path

import curio
from curio import socket

from knapweeddeal.controlcore import Core
from knapweeddeal.controlevents import StopAsk
from knapweeddeal.controlstreams import ControlStreams
from knapweeddeal.errors import DiskFailedError, KnapweeddealError
from knapweeddeal.journal import Journal
from knapweeddeal.journaltask import JournalTask
from knapweeddeal.logs import Log
from knapweeddeal.replicalink import LinkPool
from knapweeddeal.storage import DataFolder
from knapweeddeal.stream import serve

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
    failures = []
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_guard, failures, core.run)
        await group.spawn(_guard, failures, keeper.run)
        await group.spawn(_guard, failures, serve, settings.listen, streams.take)
        await group.spawn(_watch_signals, events)
    await links.close()
    if failures:
        raise failures[0]


async def _guard(failures, work, *arguments):
    """Run a task; what fails in it ends the process with its code."""
    try:
        await work(*arguments)
    except KnapweeddealError as error:
        log.warning("stops", error=error.describe())
        failures.append(error)
    except OSError as error:
        failures.append(DiskFailedError(str(error), field="listen"))


async def _watch_signals(events):
    """Ask for a planned stop at SIGTERM or SIGINT."""
    reader, writer = socket.socketpair()
    os.set_blocking(writer.fileno(), False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    while True:
        await reader.recv(1)
        await events.put(StopAsk())


def _mint_identity():
    return secrets.randbits(63) | 1
