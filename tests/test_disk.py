"""tests.test_disk: Tests of blocking work on files."""

import curio
import testtools

from knapweeddeal.disk import retry_until_done, run_blocking
from knapweeddeal.errors import DiskFailedError


def fail():
    """Fail as a full disk does."""
    raise OSError(28, "No space left on device", "log-1")


class InThread(testtools.TestCase):
    """What fails on the disk has a code and names the file."""

    def test_result(self):
        self.assertEqual(3, curio.run(run_blocking, max, 1, 3))

    def test_failure(self):
        error = self.assertRaises(DiskFailedError, curio.run, run_blocking, fail)
        self.assertEqual(("file", "log-1"), (error.field, error.value))
        self.assertIn("No space left", error.text)


class UntilDone(testtools.TestCase):
    """A full disk delays what was to be written; it ends nothing."""

    def test_retries(self):
        tries = []

        def write():
            tries.append(len(tries))
            if len(tries) < 3:
                fail()
            return "written"

        self.assertEqual("written", curio.run(retry_until_done, write))
        self.assertEqual(3, len(tries))
