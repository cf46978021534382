"""knapweeddeal.storage: The data folder of a control replica."""

import contextlib
import fcntl
import os
from pathlib import Path

from knapweeddeal.errors import FolderLockedError
from knapweeddeal.frames import (
    FRAME_HEADER,
    corruption_error,
    decode_as,
    encode_frame,
    read_frames,
    read_message,
    truncate_and_sync,
    write_all,
    write_atomically,
)
from knapweeddeal.manifest import Manifest
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.control import LogRecord
from knapweeddeal.messages.replication import HardState, IdentityFile, SnapshotFile

__all__ = ["DataFolder"]

IDENTITY_NAME = "identity"
STATE_NAME = "term"
MANIFEST_NAME = "manifest"
LOCK_NAME = "lock"
#: Empty file: a folder with it but without an identity is damaged, not new.
INITIALIZED_NAME = "initialized"


class DataFolder:
    """Keep the identity, term, vote, log and snapshot of one replica.

    All methods block; each returns after what it wrote was synced. After opening,
    `identity`, `cluster`, `state`, `snapshot` (or None) and `records` hold what was
    read; `records` continue from the snapshot.
    """

    __slots__ = ("_lock", "_log", "_manifest", "_path", "_log_may_be_torn", "cluster")
    __slots__ += ("truncated_bytes",)
    __slots__ += ("identity", "records", "snapshot", "state")

    def __init__(self, *, path, new_identity):
        self._path = Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = self._acquire_lock()
        #: Whether a write failed, so that the log file may end in a torn record.
        self._log_may_be_torn = False
        try:
            if not self._has_identity():
                self._create(new_identity())
            self._open()
        except OSError:
            self._lock.close()
            raise

    def close(self):
        """Close the files and release the lock on the folder."""
        self._log.close()
        self._manifest.close()
        self._lock.close()

    def set_cluster(self, cluster):
        """Bind the folder permanently to a cluster of replicas."""
        self.cluster = cluster
        self._write_identity()

    def set_state(self, state):
        """Persist a term and vote."""
        self.state = state
        write_atomically(self._path / STATE_NAME, encode_frame(encode(state)))

    @property
    def commit_index(self):
        """Return the highest persisted commit index.

        The cluster may have committed records beyond it.
        """
        return self._manifest.commit_index

    def append(self, records, *, commit_index=0):
        """Append records; one with an existing index replaces all from that index."""
        data = b"".join(encode_frame(encode(record)) for record in records)
        if self._log_may_be_torn:
            os.ftruncate(self._log.fileno(), self._manifest.synced_bytes)
        self._log_may_be_torn = True
        write_all(self._log, data)
        os.fdatasync(self._log.fileno())
        self._manifest.set_synced(self._manifest.synced_bytes + len(data), commit_index)
        self._log_may_be_torn = False

    def persist_commit_index(self, commit_index):
        """Persist a commit index."""
        self._manifest.set_synced(self._manifest.synced_bytes, commit_index)

    def set_snapshot(self, snapshot, records):
        """Replace the snapshot and the log by a snapshot and records."""
        if self._manifest.snapshot_index != snapshot.last_index:
            path = self._snapshot_path(snapshot.last_index)
            write_atomically(path, encode_frame(encode(snapshot)))
        number = self._manifest.log_number + 1
        data = b"".join(encode_frame(encode(record)) for record in records)
        write_atomically(self._log_path(number), data)
        self._manifest.switch_files(
            log_number=number,
            synced_bytes=len(data),
            snapshot_index=snapshot.last_index,
        )
        self._log.close()
        self._open_log()
        self._remove_stale_files()

    def log_size_bytes(self):
        """Return the size of the log file."""
        return self._manifest.synced_bytes

    def _acquire_lock(self):
        lock = open(self._path / LOCK_NAME, "wb")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            raise FolderLockedError(
                "the data folder is locked by another process",
                field="data_folder",
                value=self._path,
            ) from None
        return lock

    def _has_identity(self):
        names = {path.name for path in self._path.iterdir()}
        if IDENTITY_NAME in names:
            return True
        if INITIALIZED_NAME in names:
            raise corruption_error(self._path / IDENTITY_NAME, 0, "the file is missing")
        return False

    def _create(self, identity):
        """Initialize the folder.

        The identity is written after the other data, so that a crash before it leaves
        a folder that still counts as empty.
        """
        self.identity = identity
        self.cluster = 0
        self.set_state(HardState(term=0, voted_for=0))
        Manifest.create(self._path / MANIFEST_NAME)
        write_atomically(self._log_path(1), b"")
        self._write_identity()
        write_atomically(self._path / INITIALIZED_NAME, b"")

    def _write_identity(self):
        message = IdentityFile(identity=self.identity, cluster=self.cluster)
        write_atomically(self._path / IDENTITY_NAME, encode_frame(encode(message)))

    def _open(self):
        identity = read_message(self._path / IDENTITY_NAME, IdentityFile)
        self.identity = identity.identity
        self.cluster = identity.cluster
        self.state = read_message(self._path / STATE_NAME, HardState)
        manifest = self._path / MANIFEST_NAME
        if not manifest.exists():
            raise corruption_error(manifest, 0, "the file is missing")
        self._manifest = Manifest(path=manifest)
        self.snapshot = self._read_snapshot()
        self._read_log()
        self._open_log()
        self._remove_stale_files()

    def _read_snapshot(self):
        index = self._manifest.snapshot_index
        if not index:
            return None
        return read_message(self._snapshot_path(index), SnapshotFile)

    def _read_log(self):
        path = self._log_path(self._manifest.log_number)
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            raise corruption_error(path, 0, "the file is missing") from None
        payloads, end = read_frames(path, data, self._manifest.synced_bytes)
        self.truncated_bytes = len(data) - end
        truncate_and_sync(path, end)
        self._manifest.set_synced(end, 0)
        self.records = self._merge_records(path, payloads)

    def _merge_records(self, path, payloads):
        """Return the records in effect: a later one replaces all from its index."""
        records, offset = [], 0
        for payload in payloads:
            record = decode_as(path, offset, payload, LogRecord)
            while records and records[-1].index >= record.index:
                records.pop()
            if records and records[-1].index + 1 != record.index:
                raise corruption_error(
                    path, offset, "expected consecutive indices, found a gap"
                )
            records.append(record)
            offset += FRAME_HEADER.size + len(payload)
        base = self._manifest.snapshot_index
        if records and records[0].index > base + 1:
            raise corruption_error(path, 0, "a record is missing before the first one")
        last_index = records[-1].index if records else base
        if last_index < self._manifest.commit_index:
            raise corruption_error(path, offset, "a committed record is missing")
        return records

    def _open_log(self):
        path = self._log_path(self._manifest.log_number)
        self._log = open(path, "ab", buffering=0)  # noqa: SIM115

    def _remove_stale_files(self):
        keep = {
            self._log_path(self._manifest.log_number),
            self._snapshot_path(self._manifest.snapshot_index),
        }
        for pattern in ("log-*", "snapshot-*", "*.tmp"):
            for path in set(self._path.glob(pattern)) - keep:
                with contextlib.suppress(FileNotFoundError):
                    path.unlink()

    def _log_path(self, number):
        return self._path / f"log-{number:08d}"

    def _snapshot_path(self, index):
        return self._path / f"snapshot-{index:016d}"
