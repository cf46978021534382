"""tests.crashdisk: Crashes and losses of power between two accesses to files."""

import contextlib
import os
import shutil
import tempfile
from pathlib import Path

import testtools
from testtools.matchers import GreaterThan

from knapweeddeal import frames, journal, storage

__all__ = ["CrashTest"]

#: Functions of `os` that change files or make changes durable.
OS_FUNCTIONS = ("fsync", "fdatasync", "ftruncate", "pwrite", "rename", "truncate")
SYNCS = ("fsync", "fdatasync")
#: Modules that hold `write_all` under its name.
WRITERS = (frames, journal, storage)


class Crash(BaseException):
    """End the code under test, as a killed process ends: no handler runs on."""


class CrashDisk:
    """Track what a loss of power leaves of a folder; crash before the nth access.

    A sync makes the content and the name of a file durable, one of a folder its names.
    Everything else is lost with the power.
    """

    def __init__(self, *, test):
        self.path = Path(tempfile.mkdtemp(prefix="crashdisk-"))
        test.addCleanup(shutil.rmtree, self.path)
        self.accesses = 0
        self.crash_at = None
        #: Durable content by inode, and durable inodes by relative name.
        self._contents = {}
        self._names = {}
        for name in OS_FUNCTIONS:
            function = self._sync if name in SYNCS else getattr(os, name)
            test.patch(os, name, self._access(function))
        for module in WRITERS:
            test.patch(module, "write_all", self._access(module.write_all))

    def clear(self):
        """Start again with an empty folder."""
        shutil.rmtree(self.path)
        self.path.mkdir()
        self._names, self._contents = {}, {}

    def arm(self, crash_at):
        """Crash before an access, counted from now; None: never."""
        self.accesses = 0
        self.crash_at = crash_at

    def lose_power(self):
        """Leave only what is durable."""
        kept = {
            name: self._contents.get(inode, b"") for name, inode in self._names.items()
        }
        self.clear()
        for name, content in kept.items():
            path = self.path / name
            path.parent.mkdir(exist_ok=True)
            path.write_bytes(content)
            self._record(path, content)

    def _access(self, function):
        def call(*arguments):
            if self.accesses == self.crash_at:
                raise Crash
            self.accesses += 1
            return function(*arguments)

        return call

    def _sync(self, descriptor):
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            self._sync_names(path)
        else:
            self._record(path, path.read_bytes())

    def _sync_names(self, folder):
        present = {p for p in folder.iterdir() if p.is_file()}
        relative = {str(p.relative_to(self.path)): p for p in present}
        for name in list(self._names):
            if (self.path / name).parent == folder and name not in relative:
                del self._names[name]
        for name, path in relative.items():
            self._names[name] = path.stat().st_ino

    def _record(self, path, content):
        inode = path.stat().st_ino
        self._contents[inode] = content
        self._names[str(path.relative_to(self.path))] = inode


class CrashTest(testtools.TestCase):
    """Crash `work` and then `restart` before each access, and lose power.

    `work` sets `synced` to how many records were synced; `restart` returns how many
    there are.
    """

    def setUp(self):
        super().setUp()
        self.disk = CrashDisk(test=self)
        self.synced = 0

    def check_every_access(self):
        """Check each pair of crashes, with power lost after the second one or both."""
        for first in range(self._accesses_of(self.work) + 1):
            self.disk.clear()
            self._run_until(self.work, first)
            for second in range(self._accesses_of(self.restart) + 1):
                for losses in ((1,), (0, 1)):
                    self._check(first, second, losses)

    def _accesses_of(self, step):
        self._run_until(step, None)
        return self.disk.accesses

    def _check(self, first, second, losses):
        self.disk.clear()
        self.synced = 0
        steps = ((self.work, first), (self.restart, second))
        for number, (step, crash_at) in enumerate(steps):
            self._run_until(step, crash_at)
            if number in losses:
                self.disk.lose_power()
        self.disk.arm(None)
        self.assertThat(self.restart(), GreaterThan(self.synced - 1))

    def _run_until(self, step, crash_at):
        self.disk.arm(crash_at)
        with contextlib.suppress(Crash):
            step()
