"""knapweeddeal.directoryhints: The directory of upstreams on a replica's disk.

Upstreams outlive the system's processes, so after all of them were killed the last
known ones are a better guess than none until all have reported again.
"""

from pathlib import Path

import curio

from knapweeddeal.disk import in_thread
from knapweeddeal.errors import CorruptStorageError, DiskFailedError
from knapweeddeal.frames import frame, read_message, write_atomically
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import GONE, DirectoryBatch

__all__ = ["HintFile"]

log = Log(prefix="directory")

#: Least time between writes.
WRITE_MS = 500


class HintFile:
    """Keep the last states; its task alone waits for the disk."""

    __slots__ = ("_event", "_path", "_states")

    def __init__(self, *, folder):
        self._path = Path(folder) / "upstreams"
        self._states = []
        self._event = curio.Event()

    def read(self):
        """Return what was kept, marked as hints; nothing if it is damaged."""
        if not self._path.exists():
            return []
        try:
            batch = read_message(self._path, DirectoryBatch)
        except (CorruptStorageError, OSError) as error:
            log.warning("starts without the last directory", why=str(error))
            return []
        return [state.replace(hint=True, silent=False) for state in batch.states]

    async def offer(self, states):
        """Let states be written soon."""
        self._states = [state for state in states if state.status != GONE]
        await self._event.set()

    async def run(self):
        """Write whatever was offered last, for ever."""
        while True:
            await self._event.wait()
            self._event.clear()
            batch = DirectoryBatch(sender=0, batch_id=0, states=self._states, beats=[])
            try:
                await in_thread(write_atomically, self._path, frame(encode(batch)))
            except DiskFailedError as error:
                log.warning("can't keep the directory", error=error.describe())
            await curio.sleep(WRITE_MS / 1000)
