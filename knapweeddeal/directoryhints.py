"""knapweeddeal.directoryhints: Routes and upstreams last sent, on a replica's disk.

Upstreams keep running when the replicas stop, and the log has no committed state
before an election: after all replicas were killed, the last routes and upstreams are
better than none.
"""

from pathlib import Path

import curio

from knapweeddeal.disk import run_blocking
from knapweeddeal.errors import (
    BadMessageError,
    CorruptStorageError,
    DiskFailedError,
)
from knapweeddeal.frames import encode_frame, read_message, write_atomically
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import PacketHints

__all__ = ["HintFile"]

log = Log(prefix="directory")

#: Minimum time between two writes.
WRITE_INTERVAL_MS = 500


class HintFile:
    """Store the last hints; only its own task waits for the disk."""

    __slots__ = ("_dirty", "_path")

    def __init__(self, *, folder):
        self._path = Path(folder) / "hints"
        self._dirty = curio.Event()

    def read(self):
        """Return the stored `PacketHints`, or None if they are missing or corrupt."""
        if not self._path.exists():
            return None
        try:
            return read_message(self._path, PacketHints)
        except (CorruptStorageError, OSError) as error:
            log.warning("failed to read hints", why=str(error))
            return None

    async def mark_dirty(self):
        """Schedule a write of the changed hints."""
        await self._dirty.set()

    async def run(self, collect):
        """Write the hints that `collect` returns after each change, for ever."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            try:
                # Many routes take long to encode; heartbeats must not wait for it.
                await run_blocking(_write, self._path, collect())
            except (BadMessageError, DiskFailedError) as error:
                log.warning("failed to write hints", error=error.describe())
            await curio.sleep(WRITE_INTERVAL_MS / 1000)


def _write(path, hints):
    write_atomically(path, encode_frame(encode(hints)))
