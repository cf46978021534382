"""tests.test_reload: Tests of reloading settings while a process runs."""

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


class WatchedFile(testtools.TestCase):
    """A changed settings file is reloaded without a signal."""

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
        """Write the settings file."""
        self.path.write_text(TEXT.format(seeds=seeds))

    def reloads_after(self, change):
        """Return the seeds at each reload that follows a change."""
        reloads = []

        async def reloaded():
            reloads.append(self.settings.seed_addresses)

        async def run():
            task = await curio.spawn(reload.watch_settings, self.settings, reloaded)
            await curio.sleep(0.02)
            change()
            await curio.sleep(0.05)
            await task.cancel()

        curio.run(run)
        return reloads

    def test_changed_file(self):
        reloads = self.reloads_after(lambda: self.write("127.0.0.9:1, 127.0.0.10:1"))
        self.assertEqual([("127.0.0.9", 7000), ("127.0.0.10", 7000)], reloads[-1])

    def test_change_before_the_watch_starts(self):
        """A change between the first reading and the watch is not missed."""
        self.write("127.0.0.7:1")
        reloads = self.reloads_after(lambda: None)
        self.assertEqual([[("127.0.0.7", 7000)]], reloads)

    def test_invalid_file(self):
        """An invalid file changes no setting."""
        self.assertEqual([], self.reloads_after(lambda: self.write("nobody")))
        self.assertEqual([("127.0.0.1", 7000)], self.settings.seed_addresses)

    def test_removed_file(self):
        self.assertEqual([], self.reloads_after(self.path.unlink))
