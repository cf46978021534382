"""knapweeddeal.disk: Blocking work on files, away from the event loop."""

import curio

from knapweeddeal.errors import DiskFailedError
from knapweeddeal.logs import Log

__all__ = ["run_blocking", "retry_until_done"]

log = Log(prefix="disk")

#: Pause before a write that failed is tried again.
RETRY_MS = 200


async def run_blocking(work, *arguments):
    """Run blocking work in a thread; raise DiskFailedError if the disk fails."""
    try:
        return await curio.run_in_thread(work, *arguments)
    except OSError as error:
        raise DiskFailedError(
            error.strerror or str(error), field="file", value=error.filename or ""
        ) from error


async def retry_until_done(work, *arguments):
    """Run blocking work in a thread, again and again while the disk fails.

    Whoever waits promises nothing meanwhile; a replica that stopped instead could
    not tell a full disk from a lost one.
    """
    failed = False
    while True:
        try:
            result = await run_blocking(work, *arguments)
        except DiskFailedError as error:
            failed = True
            log.warning("can't write, tries again", error=error.describe())
            await curio.sleep(RETRY_MS / 1000)
        else:
            if failed:
                log.info("writes again")
            return result
