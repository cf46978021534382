"""tests.test_disk: Tests of blocking file access in threads."""

import curio
import testtools

from knapweeddeal.disk import open_when_writable, retry_until_done, run_blocking
from knapweeddeal.errors import DiskFailedError


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


class OpenWhenWritable(testtools.TestCase):
    """A full disk delays the start; any other error ends it, as waiting won't help."""

    def test_full(self):
        attempts = []

        def open_files():
            attempts.append(len(attempts))
            if len(attempts) < 3:
                fail()
            return "opened"

        self.assertEqual("opened", curio.run(open_when_writable, open_files))
        self.assertEqual(3, len(attempts))

    def test_other_error(self):
        self.assertRaises(
            FileNotFoundError, curio.run, open_when_writable, open, "/nowhere"
        )
