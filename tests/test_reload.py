"""tests.test_reload: Tests of settings that change while a process runs."""

import tempfile
from pathlib import Path

import curio
import testtools

from knapweeddeal import reload
from knapweeddeal.settings import read_settings

TEXT = """[daemon]
name = front-1
role = forwarder
zone = zone-a
listen = 127.0.0.1:7000
seeds = {seeds}
[forwarder]
packets = 127.0.0.1:7002
ready = 127.0.0.1:7003
"""


class Watched(testtools.TestCase):
    """A settings file may change without a signal."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "daemon.ini"
        self.write("127.0.0.1:1")
        self.settings = read_settings(str(self.path))
        self.addCleanup(
            setattr, reload, "FILE_CHECK_INTERVAL_MS", reload.FILE_CHECK_INTERVAL_MS
        )
        reload.FILE_CHECK_INTERVAL_MS = 5

    def write(self, seeds):
        """Write the settings."""
        self.path.write_text(TEXT.format(seeds=seeds))

    def seen_after(self, change):
        """Return the seeds at each reload after a change."""
        seen = []

        async def reloaded():
            seen.append(self.settings.seed_addresses)

        async def run():
            task = await curio.spawn(reload.watch_settings, self.settings, reloaded)
            await curio.sleep(0.02)
            change()
            await curio.sleep(0.05)
            await task.cancel()

        curio.run(run)
        return seen

    def test_changed(self):
        seen = self.seen_after(lambda: self.write("127.0.0.9:1, 127.0.0.10:1"))
        self.assertEqual([("127.0.0.9", 7000), ("127.0.0.10", 7000)], seen[-1])

    def test_before(self):
        """A change between the first reading and the watch is seen too."""
        self.write("127.0.0.7:1")
        seen = self.seen_after(lambda: None)
        self.assertEqual([[("127.0.0.7", 7000)]], seen)

    def test_nonsense(self):
        """A file that can't be used changes nothing."""
        self.assertEqual([], self.seen_after(lambda: self.write("nobody")))
        self.assertEqual([("127.0.0.1", 7000)], self.settings.seed_addresses)

    def test_missing(self):
        self.assertEqual([], self.seen_after(self.path.unlink))
