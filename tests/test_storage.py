"""tests.test_storage: Tests of the data folder under damage and torn writes."""

import os
import shutil
import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal import storage
from knapweeddeal.errors import BadSettingError, CorruptStorageError
from knapweeddeal.messages.control import LogRecord, Replica
from knapweeddeal.messages.replication import HardState, SnapshotFile
from knapweeddeal.storage import DataFolder

IDENTITY = 77


def record(index, term=1, command=b"\0abc"):
    """Return a record."""
    return LogRecord(index=index, term=term, command=command)


def snapshot(index):
    """Return a snapshot."""
    replica = Replica(name="a", identity=IDENTITY, host="127.0.0.1", port=1)
    return SnapshotFile(
        last_index=index, last_term=1, replicas=[replica], data=b"state"
    )


class FolderTest(testtools.TestCase):
    """Give each test a folder."""

    def setUp(self):
        super().setUp()
        self.path = Path(tempfile.mkdtemp(prefix="storage-"))
        self.addCleanup(shutil.rmtree, self.path)

    def open(self, path=None):
        """Open the folder; an empty one gets IDENTITY."""
        folder = DataFolder(path=path or self.path, new_identity=lambda: IDENTITY)
        self.addCleanup(folder.close)
        return folder

    def reopen(self, folder):
        """Close and open again."""
        folder.close()
        return self.open()


class Restart(FolderTest):
    """What was synced is there after a restart."""

    def test_all_kinds(self):
        folder = self.open()
        folder.set_cluster(5)
        folder.set_state(HardState(term=3, voted_for=9))
        folder.append([record(1), record(2)], commit_index=1)
        folder = self.reopen(folder)
        self.assertEqual((IDENTITY, 5), (folder.identity, folder.cluster))
        self.assertEqual(HardState(term=3, voted_for=9), folder.state)
        self.assertEqual([record(1), record(2)], folder.records)
        self.assertEqual(1, folder.commit_index)

    def test_later_record_replaces_from_its_index(self):
        folder = self.open()
        folder.append([record(1), record(2), record(3)])
        folder.append([record(2, term=2)])
        self.assertEqual([record(1), record(2, term=2)], self.reopen(folder).records)

    def test_snapshot_replaces_the_front(self):
        folder = self.open()
        folder.append([record(1), record(2), record(3)])
        folder.set_snapshot(snapshot(2), [record(3)])
        folder.append([record(4)])
        self.assertEqual(1, len(list(self.path.glob("log-*"))))
        folder = self.reopen(folder)
        self.assertEqual(snapshot(2), folder.snapshot)
        self.assertEqual([record(3), record(4)], folder.records)

    def test_crash_before_the_switch_keeps_the_old_log(self):
        folder = self.open()
        folder.append([record(1), record(2)])
        (self.path / "log-00000002").write_bytes(b"half")
        (self.path / "snapshot-0000000000000002").write_bytes(b"half")
        (self.path / "term.tmp").write_bytes(b"half")
        self.assertEqual([record(1), record(2)], self.reopen(folder).records)
        self.assertFalse((self.path / "log-00000002").exists())

    def test_one_process_at_a_time(self):
        self.open()
        self.assertRaises(BadSettingError, self.open)

    def test_empty_folder_gets_another_identity(self):
        folder = self.open()
        folder.close()
        shutil.rmtree(self.path)
        other = DataFolder(path=self.path, new_identity=lambda: 78)
        self.addCleanup(other.close)
        self.assertEqual((78, 0, []), (other.identity, other.cluster, other.records))


class TornTail(FolderTest):
    """A write that wasn't acknowledged may be cut, whatever it left."""

    def test_every_length(self):
        folder = self.open()
        folder.append([record(1), record(2)])
        folder.close()
        log = next(self.path.glob("log-*"))
        whole = log.read_bytes()
        tail = whole[: len(whole) // 2]
        for length in range(len(tail)):
            log.write_bytes(whole + tail[:length])
            folder = self.open()
            self.assertEqual([record(1), record(2)], folder.records)
            self.assertEqual(length, folder.truncated_bytes)
            folder.append([record(3)])
            folder.close()
            self.assertEqual(3, len(self.reopen(folder).records))
            folder.close()
            self.tearDownLog(log, whole)

    def tearDownLog(self, log, whole):  # noqa: N802
        """Start again from the two records."""
        shutil.rmtree(self.path)
        folder = self.open()
        folder.append([record(1), record(2)])
        folder.close()
        assert log.read_bytes() == whole


class Damage(testscenarios.TestWithScenarios, FolderTest):
    """Any single damage leaves all that was acknowledged, or stops the process."""

    scenarios = [
        (f"{damage} {name}", {"damage": damage, "name": name})
        for damage in ("flip", "truncate")
        for name in ("log-*", "manifest", "term", "identity", "snapshot-*")
    ]

    def setUp(self):
        super().setUp()
        folder = self.open()
        folder.set_cluster(5)
        folder.set_state(HardState(term=3, voted_for=9))
        folder.append([record(1), record(2)], commit_index=1)
        folder.set_snapshot(snapshot(1), [record(2)])
        folder.append([record(3), record(4)], commit_index=3)
        folder.append([record(5)], commit_index=4)
        folder.close()
        self.whole = self.facts(folder)

    def facts(self, folder):
        """Return what was acknowledged."""
        return (
            folder.identity,
            folder.cluster,
            HardState(term=3, voted_for=9),
            snapshot(1),
            [record(2), record(3), record(4), record(5)],
        )

    def found(self, path):
        """Return what a start finds."""
        folder = DataFolder(path=path, new_identity=lambda: 78)
        folder.close()
        return (
            folder.identity,
            folder.cluster,
            folder.state,
            folder.snapshot,
            folder.records,
        )

    def places(self, data):
        """Return the places to damage; of the manifest's padding, a few."""
        if self.name != "manifest":
            return range(len(data))
        return [place for place in range(len(data)) if place % 512 < 64]

    def test_every_byte(self):
        target = next(self.path.glob(self.name))
        data = target.read_bytes()
        scratch = self.path.with_name(self.path.name + "-scratch")
        self.patch(os, "fsync", lambda _: None)
        self.patch(os, "fdatasync", lambda _: None)
        self.addCleanup(shutil.rmtree, scratch, ignore_errors=True)
        stopped = 0
        for place in self.places(data):
            shutil.rmtree(scratch, ignore_errors=True)
            shutil.copytree(self.path, scratch)
            damaged = bytearray(data)
            if self.damage == "flip":
                damaged[place] ^= 0x41
            else:
                del damaged[place:]
            (scratch / target.name).write_bytes(damaged)
            try:
                self.assertEqual(self.whole, self.found(scratch))
            except CorruptStorageError as error:
                self.assertIn(str(scratch), error.field)
                int(error.value)
                stopped += 1
        if self.name != "manifest":
            self.assertEqual(len(data), stopped)


class Missing(testscenarios.TestWithScenarios, FolderTest):
    """A file that is gone stops the process; it isn't taken for an empty folder."""

    scenarios = [
        (name, {"name": name})
        for name in ("log-*", "manifest", "term", "identity", "snapshot-*")
    ]

    def test_stops(self):
        folder = self.open()
        folder.append([record(1)])
        folder.set_snapshot(snapshot(1), [])
        folder.close()
        next(self.path.glob(self.name)).unlink()
        self.assertRaises(CorruptStorageError, self.open)


class Syncing(FolderTest):
    """Nothing is acknowledged before it is synced, in an order that a crash bears."""

    def setUp(self):
        super().setUp()
        self.folder = self.open()
        self.events = []
        for name in ("fsync", "fdatasync"):
            self.patch(os, name, self.note_sync)
        self.patch(os, "rename", self.note_rename)

    def note_sync(self, descriptor):
        """Note which file is synced, and its size."""
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        name = "folder" if path == self.path else path.name.partition("-")[0]
        self.events.append(f"sync {name}")

    def note_rename(self, source, target):
        """Note a rename."""
        self.events.append(f"rename {Path(target).name.partition('-')[0]}")
        os.replace(source, target)

    def test_append(self):
        self.folder.append([record(1)])
        self.assertEqual(["sync log", "sync manifest"], self.events)

    def test_state(self):
        self.folder.set_state(HardState(term=1, voted_for=1))
        self.assertEqual(["sync term.tmp", "rename term", "sync folder"], self.events)

    def test_snapshot(self):
        self.folder.set_snapshot(snapshot(1), [])
        expected = ["sync snapshot", "rename snapshot", "sync folder"]
        expected += ["sync log", "rename log", "sync folder"]
        expected += ["sync manifest", "sync manifest"]
        self.assertEqual(expected, self.events)


class FullDisk(testscenarios.TestWithScenarios, FolderTest):
    """A write that fails leaves nothing behind; the next one stands."""

    scenarios = [
        ("nothing written", {"name": "write_all", "bytes": 0}),
        ("half a record", {"name": "write_all", "bytes": 20}),
        ("not synced", {"name": "fdatasync", "bytes": None}),
    ]

    def fail_once(self):
        """Let the next write of the log fail."""

        def refuse(file, data=b""):
            self.restore()
            if self.bytes:
                file.write(data[: self.bytes])
            raise OSError(28, "No space left on device")

        if self.name == "write_all":
            self.restore = self.patch_name(storage, "write_all", refuse)
        else:
            self.restore = self.patch_name(os, "fdatasync", refuse)

    def patch_name(self, module, name, value):
        """Replace a name; return what puts it back."""
        real = getattr(module, name)
        setattr(module, name, value)
        self.addCleanup(setattr, module, name, real)
        return lambda: setattr(module, name, real)

    def test_append(self):
        folder = self.open()
        folder.append([record(1)])
        self.fail_once()
        self.assertRaises(OSError, folder.append, [record(2)])
        folder.append([record(2), record(3)], commit_index=3)
        folder = self.reopen(folder)
        self.assertEqual([1, 2, 3], [r.index for r in folder.records])
        self.assertEqual(0, folder.truncated_bytes)

    def test_manifest(self):
        """A mark that wasn't written isn't claimed either."""
        folder = self.open()
        folder.append([record(1)], commit_index=1)
        self.restore = self.patch_name(os, "pwrite", _refuse)
        self.assertRaises(OSError, folder.persist_commit_index, 2)
        self.assertEqual(1, folder.commit_index)
        self.restore()
        folder.append([record(2)], commit_index=2)
        self.assertEqual(2, len(self.reopen(folder).records))


def _refuse(*_arguments):
    raise OSError(28, "No space left on device")
