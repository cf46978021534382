"""soak.faultydaemon: Run the daemon with disk and clock faults read from a file.

`soak.launch` writes the file; while there is none, no fault is active.
"""

import _signal

if __name__ == "__main__":
    # As in deploy/knapweeddeald.py: SIGHUP during the imports must not end the process.
    # Not on import, as the processes that the importer starts would inherit it.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import errno  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

__all__ = ["FAULTS_VARIABLE", "main"]

#: Environment variable with the path of the file of faults.
FAULTS_VARIABLE = "KNAPWEEDDEAL_FAULTS"
#: Interval at which a blocked sync checks whether the fault has ended.
POLL_S = 0.01
NS_PER_MS = 1_000_000


class Faults:
    """Read the active faults from a file, again at each access."""

    __slots__ = ("_path",)

    def __init__(self, *, path):
        self._path = path

    def get(self, name):
        """Return the value of a fault, or 0 if it is inactive."""
        try:
            return json.loads(self._path.read_text(encoding="utf-8")).get(name, 0)
        except (OSError, ValueError):
            return 0


def _with_disk_faults(faults, sync):
    def faulty_sync(descriptor):
        while faults.get("stalled"):
            time.sleep(POLL_S)
        time.sleep(faults.get("sync_ms") / 1000)
        if faults.get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return sync(descriptor)

    return faulty_sync


def _with_clock_faults(faults, clock_ns):
    return lambda: clock_ns() + faults.get("wall_ms") * NS_PER_MS


def main():
    """Run the daemon with patched syncs and clock; return its exit status."""
    faults = Faults(path=Path(os.environ[FAULTS_VARIABLE]))
    os.fsync = _with_disk_faults(faults, os.fsync)
    os.fdatasync = _with_disk_faults(faults, os.fdatasync)
    time.time_ns = _with_clock_faults(faults, time.time_ns)
    from knapweeddeal.daemon import main as run_daemon

    return run_daemon()


if __name__ == "__main__":
    sys.exit(main())
