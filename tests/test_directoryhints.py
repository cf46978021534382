"""tests.test_directoryhints: Tests of hints on a replica's disk."""

import tempfile
from pathlib import Path

import curio
import testscenarios
import testtools

from knapweeddeal.directoryhints import WRITE_MS, HintFile
from knapweeddeal.messages.packets import PacketHints
from tests.packetfakes import route, state


def hints(revision=3):
    """Return hints of one route and one upstream."""
    return PacketHints(revision=revision, routes=[route()], states=[state()])


class HintTest(testtools.TestCase):
    """Use a folder of its own."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, *offered, pause_s=0.0):
        """Offer hints one after another to a file's task."""

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


class Kept(HintTest):
    """What was offered is there at the next start."""

    def test_read(self):
        self.write(hints())
        self.assertEqual(3, HintFile(folder=self.folder).read().revision)

    def test_last(self):
        """The last one counts, though not each is written."""
        self.write(hints(3), hints(4), hints(5), pause_s=WRITE_MS / 1000)
        self.assertEqual(5, HintFile(folder=self.folder).read().revision)

    def test_nothing(self):
        self.assertIsNone(HintFile(folder=self.folder).read())


class Damaged(testscenarios.TestWithScenarios, HintTest):
    """Bad hints are no hints."""

    scenarios = [
        ("empty", {"damage": lambda data: b""}),
        ("torn", {"damage": lambda data: data[:-3]}),
        ("flipped", {"damage": lambda data: data[:20] + b"\xff" + data[21:]}),
        ("twice", {"damage": lambda data: data * 2}),
    ]

    def test_read(self):
        self.write(hints())
        path = self.folder / "hints"
        path.write_bytes(self.damage(path.read_bytes()))
        self.assertIsNone(HintFile(folder=self.folder).read())
