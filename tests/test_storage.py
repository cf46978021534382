"""tests.test_storage: Tests of the data folder with damage and torn writes."""

import fcntl
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
from tests.crashdisk import CrashTest

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
    """Create a temporary folder for each test."""

    def setUp(self):
        super().setUp()
        self.path = Path(tempfile.mkdtemp(prefix="storage-"))
        self.addCleanup(shutil.rmtree, self.path)

    def open(self, path=None):
        """Open the folder; a new one gets IDENTITY."""
        folder = DataFolder(path=path or self.path, new_identity=lambda: IDENTITY)
        self.addCleanup(folder.close)
        return folder

    def reopen(self, folder):
        """Close the folder and open it again."""
        folder.close()
        return self.open()


class Restart(FolderTest):
    """Synced data is read back after a restart."""

    def test_identity_cluster_state_and_records(self):
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

    def test_snapshot_replaces_earlier_records(self):
        folder = self.open()
        folder.append([record(1), record(2), record(3)])
        folder.set_snapshot(snapshot(2), [record(3)])
        folder.append([record(4)])
        self.assertEqual(1, len(list(self.path.glob("log-*"))))
        folder = self.reopen(folder)
        self.assertEqual(snapshot(2), folder.snapshot)
        self.assertEqual([record(3), record(4)], folder.records)

    def test_crash_before_manifest_switch_keeps_the_old_log(self):
        folder = self.open()
        folder.append([record(1), record(2)])
        (self.path / "log-00000002").write_bytes(b"half")
        (self.path / "snapshot-0000000000000002").write_bytes(b"half")
        (self.path / "term.tmp").write_bytes(b"half")
        self.assertEqual([record(1), record(2)], self.reopen(folder).records)
        self.assertFalse((self.path / "log-00000002").exists())

    def test_folder_is_locked_while_open(self):
        self.open()
        self.assertRaises(BadSettingError, self.open)

    def test_emptied_folder_gets_a_new_identity(self):
        folder = self.open()
        folder.close()
        shutil.rmtree(self.path)
        other = DataFolder(path=self.path, new_identity=lambda: 78)
        self.addCleanup(other.close)
        self.assertEqual((78, 0, []), (other.identity, other.cluster, other.records))


class TornTail(FolderTest):
    """The rest of an unacknowledged write is truncated at the next start.

    A crash during a write leaves any prefix of the new records at the end of the log;
    it must neither stop the start nor damage later records.
    """

    def test_torn_tail_of_every_length(self):
        folder = self.open()
        folder.append([record(1), record(2)])
        folder.close()
        log = next(self.path.glob("log-*"))
        intact = log.read_bytes()
        tail = intact[: len(intact) // 2]
        for length in range(len(tail)):
            log.write_bytes(intact + tail[:length])
            folder = self.open()
            self.assertEqual([record(1), record(2)], folder.records)
            self.assertEqual(length, folder.truncated_bytes)
            folder.append([record(3)])
            folder.close()
            self.assertEqual(3, len(self.reopen(folder).records))
            folder.close()
            self.restore_log(log, intact)

    def restore_log(self, log, intact):
        """Replace the folder by a new one with the two records."""
        shutil.rmtree(self.path)
        folder = self.open()
        folder.append([record(1), record(2)])
        folder.close()
        assert log.read_bytes() == intact


class Damage(testscenarios.TestWithScenarios, FolderTest):
    """Damage to a file is detected at start, or all acknowledged data is still there.

    A replica that silently lost acknowledged data could vote for a leader without it.
    """

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
        self.intact = self.acknowledged_state(folder)

    def acknowledged_state(self, folder):
        """Return the acknowledged data."""
        return (
            folder.identity,
            folder.cluster,
            HardState(term=3, voted_for=9),
            snapshot(1),
            [record(2), record(3), record(4), record(5)],
        )

    def state_after_restart(self, path):
        """Return the data read when a folder is opened."""
        folder = DataFolder(path=path, new_identity=lambda: 78)
        folder.close()
        return (
            folder.identity,
            folder.cluster,
            folder.state,
            folder.snapshot,
            folder.records,
        )

    def damage_offsets(self, data):
        """Return the offsets to damage; only a few in the manifest's padding."""
        if self.name != "manifest":
            return range(len(data))
        return [offset for offset in range(len(data)) if offset % 512 < 64]

    def test_damage_at_every_offset(self):
        target = next(self.path.glob(self.name))
        data = target.read_bytes()
        scratch = self.path.with_name(self.path.name + "-scratch")
        self.patch(os, "fsync", lambda _: None)
        self.patch(os, "fdatasync", lambda _: None)
        self.addCleanup(shutil.rmtree, scratch, ignore_errors=True)
        detected = 0
        for offset in self.damage_offsets(data):
            shutil.rmtree(scratch, ignore_errors=True)
            shutil.copytree(self.path, scratch)
            damaged = bytearray(data)
            if self.damage == "flip":
                damaged[offset] ^= 0x41
            else:
                del damaged[offset:]
            (scratch / target.name).write_bytes(damaged)
            try:
                self.assertEqual(self.intact, self.state_after_restart(scratch))
            except CorruptStorageError as error:
                self.assertIn(str(scratch), error.field)
                int(error.value)
                detected += 1
        if self.name != "manifest":
            self.assertEqual(len(data), detected)


class Missing(testscenarios.TestWithScenarios, FolderTest):
    """A missing file is reported as damage; the folder isn't treated as new.

    A replica that started empty could vote twice in a term or lose records.
    """

    scenarios = [
        (name, {"name": name})
        for name in ("log-*", "manifest", "term", "identity", "snapshot-*")
    ]

    def test_missing_file_raises(self):
        folder = self.open()
        folder.append([record(1)])
        folder.set_snapshot(snapshot(1), [])
        folder.close()
        next(self.path.glob(self.name)).unlink()
        self.assertRaises(CorruptStorageError, self.open)


class Syncing(FolderTest):
    """Each method syncs before it returns, in an order that is safe in a crash.

    A file is synced before its rename and the folder after it; the manifest comes last.
    """

    def setUp(self):
        super().setUp()
        self.folder = self.open()
        self.events = []
        for name in ("fsync", "fdatasync"):
            self.patch(os, name, self.record_sync)
        self.patch(os, "rename", self.record_rename)

    def record_sync(self, descriptor):
        """Record which file or folder is synced."""
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        name = "folder" if path == self.path else path.name.partition("-")[0]
        self.events.append(f"sync {name}")

    def record_rename(self, source, target):
        """Record a rename and perform it."""
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


class Crashes(CrashTest):
    """A kill or a loss of power before any access to a file loses nothing synced.

    Guards against a folder that doesn't open again, as after a restart records count as
    synced that were only written.
    """

    def setUp(self):
        super().setUp()
        # The lock of a killed process has ended with it.
        self.patch(fcntl, "flock", lambda *_: None)

    def work(self):
        """Open a new folder and append two records, then a snapshot and one more."""
        folder = self.open()
        for index in (1, 2):
            folder.append([record(index)], commit_index=index - 1)
            self.synced = index
        folder.set_snapshot(snapshot(2), [])
        folder.append([record(3)])
        self.synced = 3

    def restart(self):
        """Open the folder and return its last index."""
        folder = self.open()
        base = folder.snapshot.last_index if folder.snapshot else 0
        return folder.records[-1].index if folder.records else base

    def open(self):
        """Open the folder on the disk."""
        folder = DataFolder(path=self.disk.path, new_identity=lambda: IDENTITY)
        self.addCleanup(folder.close)
        return folder

    def test_every_access(self):
        self.check_every_access()


class FullDisk(testscenarios.TestWithScenarios, FolderTest):
    """A failed write leaves no trace, and the next write succeeds.

    Part of a record left by a full disk would make later records unreadable.
    """

    scenarios = [
        ("nothing written", {"name": "write_all", "bytes": 0}),
        ("half a record", {"name": "write_all", "bytes": 20}),
        ("not synced", {"name": "fdatasync", "bytes": None}),
    ]

    def fail_once(self):
        """Make the next write or sync of the log fail."""

        def fail_write(file, data=b""):
            self.restore()
            if self.bytes:
                file.write(data[: self.bytes])
            raise OSError(28, "No space left on device")

        if self.name == "write_all":
            self.restore = self.patch_name(storage, "write_all", fail_write)
        else:
            self.restore = self.patch_name(os, "fdatasync", fail_write)

    def patch_name(self, module, name, value):
        """Replace a name in a module; return a function that restores it."""
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
        """A commit index that wasn't written isn't reported."""
        folder = self.open()
        folder.append([record(1)], commit_index=1)
        self.restore = self.patch_name(os, "pwrite", _fail_write)
        self.assertRaises(OSError, folder.persist_commit_index, 2)
        self.assertEqual(1, folder.commit_index)
        self.restore()
        folder.append([record(2)], commit_index=2)
        self.assertEqual(2, len(self.reopen(folder).records))


class FullDiskAtStart(FolderTest):
    """Opening that failed on a full disk releases the lock and can be repeated.

    The start is retried in the same process, which a lock that stays would prevent.
    """

    def test_retry(self):
        folder = self.open()
        folder.append([record(1)], commit_index=1)
        folder.close()
        real = os.fdatasync
        os.fdatasync = _fail_write
        self.addCleanup(setattr, os, "fdatasync", real)
        try:
            self.open()
        except OSError as error:
            # The error refers to the folder, as one that is being handled does.
            failure = error
            os.fdatasync = real
            self.assertEqual(1, self.open().commit_index)
        self.assertEqual(28, failure.errno)


def _fail_write(*_arguments):
    raise OSError(28, "No space left on device")
