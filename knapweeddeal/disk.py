"""knapweeddeal.disk: Blocking file access in threads, outside the event loop."""

import curio

from knapweeddeal.errors import DiskFailedError
from knapweeddeal.logs import Log

__all__ = ["run_blocking", "retry_until_done"]

log = Log(prefix="disk")

#: Pause between a failed write and its retry.
RETRY_INTERVAL_MS = 200


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
