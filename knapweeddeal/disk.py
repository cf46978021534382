"""knapweeddeal.disk: Blocking work on files, away from the event loop."""

import curio

from knapweeddeal.errors import DiskFailedError

__all__ = ["in_thread"]


async def in_thread(work, *arguments):
    """Run blocking work in a thread; raise DiskFailedError if the disk fails."""
    try:
        return await curio.run_in_thread(work, *arguments)
    except OSError as error:
        raise DiskFailedError(
            error.strerror or str(error), field="file", value=error.filename or ""
        ) from error
