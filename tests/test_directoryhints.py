"""tests.test_directoryhints: Tests of the hint file on a replica's disk."""

import tempfile
import threading
from pathlib import Path
from unittest import mock

import curio
import testscenarios
import testtools

from knapweeddeal.directoryhints import WRITE_INTERVAL_MS, HintFile
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import NO_EVACUATIONS, PacketHints
from tests.packetfakes import route, state


def hints(revision=3):
    """Return hints of one route and one upstream."""
    return PacketHints(
        revision=revision,
        routes=[route()],
        states=[state()],
        services=[],
        evacuations=NO_EVACUATIONS,
    )


class HintTest(testtools.TestCase):
    """Use a temporary folder for the hint file."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, *offered, pause_s=0.0):
        """Pass hints one after another to the task of a hint file."""

        async def run():
            file = HintFile(folder=self.folder)
            last = []
            task = await curio.spawn(file.run, last.pop, daemon=True)
            for one in offered:
                last[:] = [one]
                await file.mark_dirty()
                await curio.sleep(pause_s)
            await curio.sleep(0.1)
            await task.cancel()

        curio.run(run)


class Written(HintTest):
    """The last hints are read at the next start."""

    def test_read(self):
        self.write(hints())
        self.assertEqual(3, HintFile(folder=self.folder).read().revision)

    def test_last_change(self):
        """The last hints are kept, though not all of them are written."""
        self.write(hints(3), hints(4), hints(5), pause_s=WRITE_INTERVAL_MS / 1000)
        self.assertEqual(5, HintFile(folder=self.folder).read().revision)

    def test_after_unencodable_hints(self):
        """Guards against hints that end the process, and with it those that follow."""
        unencodable = hints(revision=2**64)
        self.write(unencodable, hints(5), pause_s=1.5 * WRITE_INTERVAL_MS / 1000)
        self.assertEqual(5, HintFile(folder=self.folder).read().revision)

    def test_encoded_in_a_thread(self):
        """Many routes take long to encode, and the event loop had to wait for it."""
        threads = []

        def encode_in_thread(message):
            threads.append(threading.current_thread())
            return encode(message)

        with mock.patch("knapweeddeal.directoryhints.encode", encode_in_thread):
            self.write(hints())
        self.assertEqual(1, len(threads))
        self.assertIsNot(threading.main_thread(), threads[0])

    def test_no_file(self):
        self.assertIsNone(HintFile(folder=self.folder).read())


class CorruptHints(testscenarios.TestWithScenarios, HintTest):
    """A corrupt hint file is ignored, so the replica starts without hints."""

    scenarios = [
        ("empty", {"damage": lambda data: b""}),
        ("truncated", {"damage": lambda data: data[:-3]}),
        ("changed byte", {"damage": lambda data: data[:20] + b"\xff" + data[21:]}),
        ("duplicated", {"damage": lambda data: data * 2}),
    ]

    def test_read(self):
        self.write(hints())
        path = self.folder / "hints"
        path.write_bytes(self.damage(path.read_bytes()))
        self.assertIsNone(HintFile(folder=self.folder).read())
