"""knapweeddeal.disk: Blocking file access in threads, outside the event loop."""

import errno

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import DiskFailedError, FolderLockedError
from knapweeddeal.logs import Log

__all__ = ["open_when_writable", "run_blocking", "retry_until_done"]

log = Log(prefix="disk")

#: Pause between a failed write and its retry.
RETRY_INTERVAL_MS = 200
#: Errors that end when somebody makes room.
FULL_DISK_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))
#: Errors that may end while the process waits: of the disk, or of a VM that lacks
#: descriptors or memory. Others, such as ENOENT, are of the setting.
PASSING_ERRORS = FULL_DISK_ERRORS | frozenset(
    (
        errno.EAGAIN,
        errno.EBUSY,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENODEV,
        errno.ENOMEM,
        errno.EROFS,
        errno.ETIMEDOUT,
    )
)
#: Longest wait for the lock of a data folder. The kernel releases the lock of a killed
#: process only after the process's last access to the disk.
LOCK_WAIT_MS = 10_000


async def open_when_writable(function, *arguments):
    """Run a function that opens files at the start; retry after passing errors.

    A process that ended instead would be started again and again, or need an operator
    after the disk has recovered, and with a majority in this state the log would stay
    without a leader. Any other OSError is raised, as is FolderLockedError if the lock
    isn't released in time.
    """
    waiting = _Waiting()
    while True:
        try:
            result = function(*arguments)
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                raise
            waiting.report(error)
        except FolderLockedError as error:
            if waiting.elapsed_ms >= LOCK_WAIT_MS:
                raise
            waiting.report(error)
        else:
            if waiting.has_failed:
                log.info("opened the files after retries")
            return result
        await curio.sleep(RETRY_INTERVAL_MS / 1000)


class _Waiting:
    """Log each reason once for which files can't be opened yet."""

    __slots__ = ("_reasons", "_started_ms")

    def __init__(self):
        self._reasons = set()
        self._started_ms = monotonic_ms()

    @property
    def elapsed_ms(self):
        """Return the time since the first attempt."""
        return monotonic_ms() - self._started_ms

    @property
    def has_failed(self):
        """Return whether an attempt failed."""
        return bool(self._reasons)

    def report(self, error):
        """Log an error unless an earlier attempt failed for the same reason."""
        why = getattr(error, "strerror", None) or str(error)
        if why in self._reasons:
            return
        self._reasons.add(why)
        if getattr(error, "errno", None) in FULL_DISK_ERRORS:
            log.warning("the disk is full at the start, will retry", why=why)
        else:
            log.warning("failed to open the files, will retry", why=why)


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
