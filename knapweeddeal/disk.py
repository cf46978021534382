"""knapweeddeal.disk: Blocking file access in threads, outside the event loop."""

import errno

import curio

from knapweeddeal.errors import DiskFailedError
from knapweeddeal.logs import Log

__all__ = ["open_when_writable", "run_blocking", "retry_until_done"]

log = Log(prefix="disk")

#: Pause between a failed write and its retry.
RETRY_INTERVAL_MS = 200
#: Errors of a full disk, which ends when an operator or another process makes room.
FULL_DISK_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))


async def open_when_writable(function, *arguments):
    """Run a function that opens files at the start; retry while the disk is full.

    A process that ended instead would need an operator's restart after room was made,
    and with a majority in this state the log would stay without a leader. Any other
    OSError is raised.
    """
    failed = False
    while True:
        try:
            result = function(*arguments)
        except OSError as error:
            if error.errno not in FULL_DISK_ERRORS:
                raise
            if not failed:
                log.warning("the disk is full at the start, will retry")
            failed = True
        else:
            if failed:
                log.info("opened the files after retries")
            return result
        await curio.sleep(RETRY_INTERVAL_MS / 1000)


async def run_blocking(function, *arguments):
    """Run a blocking function in a thread; raise DiskFailedError on an OSError."""
    try:
        return await curio.run_in_thread(function, *arguments)
    except OSError as error:
        raise DiskFailedError(
            error.strerror or str(error), field="file", value=error.filename or ""
        ) from error


async def retry_until_done(function, *arguments):
    """Run a blocking function in a thread; retry while it raises DiskFailedError.

    The awaiting task acknowledges nothing until this returns. Stopping the replica
    instead would treat a full disk like a lost one.
    """
    failed = False
    while True:
        try:
            result = await run_blocking(function, *arguments)
        except DiskFailedError as error:
            failed = True
            log.warning("failed to write, will retry", error=error.describe())
            await curio.sleep(RETRY_INTERVAL_MS / 1000)
        else:
            if failed:
                log.info("write succeeded after retries")
            return result
