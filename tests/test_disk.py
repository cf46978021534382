"""tests.test_disk: Tests of blocking file access in threads."""

import errno
import os
import tempfile
import threading
from pathlib import Path

import curio
import testscenarios
import testtools

from knapweeddeal import disk
from knapweeddeal.disk import open_when_writable, retry_until_done, run_blocking
from knapweeddeal.errors import BadSettingError, DiskFailedError
from knapweeddeal.storage import DataFolder


def fail():
    """Raise the error of a write to a full disk."""
    raise OSError(28, "No space left on device", "log-1")


class RunBlocking(testtools.TestCase):
    """An OSError becomes a DiskFailedError that names the file."""

    def test_result(self):
        self.assertEqual(3, curio.run(run_blocking, max, 1, 3))

    def test_failure(self):
        error = self.assertRaises(DiskFailedError, curio.run, run_blocking, fail)
        self.assertEqual(("file", "log-1"), (error.field, error.value))
        self.assertIn("No space left", error.text)


class RetryUntilDone(testtools.TestCase):
    """A full disk delays a write; the replica keeps running."""

    def test_retries(self):
        attempts = []

        def write():
            attempts.append(len(attempts))
            if len(attempts) < 3:
                fail()
            return "written"

        self.assertEqual("written", curio.run(retry_until_done, write))
        self.assertEqual(3, len(attempts))


class OpenWhenWritable(testscenarios.TestWithScenarios, testtools.TestCase):
    """An error that may pass delays the start and doesn't end the process."""

    scenarios = [
        (errno.errorcode[number], {"number": number})
        for number in (
            errno.ENOSPC,
            errno.EDQUOT,
            errno.EIO,
            errno.EROFS,
            errno.EMFILE,
            errno.ENFILE,
            errno.ENOMEM,
        )
    ]

    def test_opened_later(self):
        attempts = []

        def open_files():
            attempts.append(len(attempts))
            if len(attempts) < 3:
                raise OSError(self.number, os.strerror(self.number), "log-1")
            return "opened"

        self.assertEqual("opened", curio.run(open_when_writable, open_files))
        self.assertEqual(3, len(attempts))


class UnusableFolder(testscenarios.TestWithScenarios, testtools.TestCase):
    """An error of the setting ends the start, as waiting won't help."""

    scenarios = [
        (errno.errorcode[number], {"number": number})
        for number in (errno.ENOENT, errno.ENOTDIR, errno.EACCES, errno.ENAMETOOLONG)
    ]

    def test_raised(self):
        def open_files():
            raise OSError(self.number, os.strerror(self.number), "log-1")

        error = self.assertRaises(OSError, curio.run, open_when_writable, open_files)
        self.assertEqual(self.number, error.errno)


class LockedFolder(testtools.TestCase):
    """A killed process may hold its lock until the disk has answered."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)

    def open(self):
        """Open the data folder."""
        return DataFolder(path=self.path, new_identity=lambda: 7)

    def test_released(self):
        threading.Timer(0.5, self.open().close).start()
        curio.run(open_when_writable, self.open).close()

    def test_not_released(self):
        """A folder that another process uses ends the start with a clear error."""
        self.patch(disk, "LOCK_WAIT_MS", 300)
        self.addCleanup(self.open().close)
        self.assertRaises(BadSettingError, curio.run, open_when_writable, self.open)
