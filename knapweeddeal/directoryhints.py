"""knapweeddeal.directoryhints: What a replica last told forwarders, on its disk.

Upstreams outlive the system's processes, and a log proves nothing before an election:
after all replicas were killed, the last routes and upstreams are a better guess than
none.
"""

from pathlib import Path

import curio

from knapweeddeal.disk import run_blocking
from knapweeddeal.errors import CorruptStorageError, DiskFailedError
from knapweeddeal.frames import encode_frame, read_message, write_atomically
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import PacketHints

__all__ = ["HintFile"]

log = Log(prefix="directory")

#: Least time between writes.
WRITE_MS = 500


class HintFile:
    """Keep the last hints; its task alone waits for the disk."""

    __slots__ = ("_event", "_path")

    def __init__(self, *, folder):
        self._path = Path(folder) / "hints"
        self._event = curio.Event()

    def read(self):
        """Return the `PacketHints` that were kept; None if there are no good ones."""
        if not self._path.exists():
            return None
        try:
            return read_message(self._path, PacketHints)
        except (CorruptStorageError, OSError) as error:
            log.warning("starts without hints", why=str(error))
            return None

    async def mark_dirty(self):
        """Note that the hints changed: they are written soon."""
        await self._event.set()

    async def run(self, collect):
        """Write the hints that `collect` returns after each change, for ever."""
        while True:
            await self._event.wait()
            self._event.clear()
            data = encode_frame(encode(collect()))
            try:
                await run_blocking(write_atomically, self._path, data)
            except DiskFailedError as error:
                log.warning("can't keep hints", error=error.describe())
            await curio.sleep(WRITE_MS / 1000)
