"""knapweeddeal.storage: The data folder of a control replica."""

import contextlib
import fcntl
import os
import struct
import zlib
from pathlib import Path

from knapweeddeal.errors import (
    BadMessageError,
    BadSettingError,
    CorruptStorageError,
)
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import LogRecord
from knapweeddeal.messages.replication import HardState, IdentityFile, SnapshotFile

__all__ = ["DataFolder", "frame", "read_frames", "sync_folder", "write_atomically"]

#: Length of the payload and checksum of length and payload, before each payload.
FRAME = struct.Struct(">II")
LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 29

#: One slot of the manifest: sequence, log number, synced bytes, snapshot index.
SLOT = struct.Struct(">QQQQ")
SLOT_SPACING_BYTES = 512
SLOTS = 2

IDENTITY_NAME = "identity"
STATE_NAME = "term"
MANIFEST_NAME = "manifest"
LOCK_NAME = "lock"
#: Empty file that shows that the folder once had an identity.
INITIALIZED_NAME = "initialized"


def frame(payload):
    """Return a payload behind its length and checksum."""
    length = LENGTH.pack(len(payload))
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return FRAME.pack(len(payload), checksum) + payload


def read_frames(path, data, synced_bytes):
    """Return the payloads in a file's bytes and the offset where the whole ones end.

    Damage before `synced_bytes` raises CorruptStorageError; what comes after the
    last whole frame beyond it is a torn tail.
    """
    if len(data) < synced_bytes:
        raise corrupt(path, len(data), "synced bytes are missing")
    payloads, offset = [], 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME.size + len(payload)
    if offset < synced_bytes:
        raise corrupt(path, offset, "a synced record doesn't match its checksum")
    return payloads, offset


def _frame_at(data, offset):
    body = offset + FRAME.size
    if body > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, offset)
    if length > MAX_FRAME_BYTES or body + length > len(data):
        return None
    payload = bytes(data[body : body + length])
    expected = zlib.crc32(payload, zlib.crc32(LENGTH.pack(length)))
    return payload if checksum == expected else None


def corrupt(path, offset, text):
    """Return the failure that names a file and the byte offset of its damage."""
    return CorruptStorageError(text, field=str(path), value=offset)


def sync_folder(path):
    """Sync the names in a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomically(path, data):
    """Replace a file by way of a synced temporary one."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(path.parent)


def read_message(path, kind):
    """Return the one message in a file; raise CorruptStorageError."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        raise corrupt(path, 0, "the file is missing") from None
    payloads, end = read_frames(path, data, len(data))
    if len(payloads) != 1:
        raise corrupt(path, end, "not one record")
    return decode_as(path, 0, payloads[0], kind)


def decode_as(path, offset, payload, kind):
    """Return the message in a payload; raise CorruptStorageError."""
    try:
        message = decode(payload)
    except BadMessageError as error:
        raise corrupt(path, offset, error.describe()) from None
    if not isinstance(message, kind):
        raise corrupt(path, offset, "holds another message")
    return message


class Manifest:
    """Tell which files of a folder count, and how much of the log was synced.

    Two slots are written in turn, so that a torn write leaves the other one.
    """

    __slots__ = ("_file", "_path", "_sequence", "log_number", "snapshot_index")
    __slots__ += ("synced_bytes",)

    def __init__(self, *, path):
        self._path = path
        self._file = open(path, "r+b", buffering=0)  # noqa: SIM115
        slots = [self._read_slot(number) for number in range(SLOTS)]
        found = max(filter(None, slots), default=None)
        if found is None:
            raise corrupt(path, 0, "no slot matches its checksum")
        self._sequence, self.log_number, self.synced_bytes, self.snapshot_index = found

    @classmethod
    def create(cls, path):
        """Write the manifest of an empty folder."""
        write_atomically(path, bytes(SLOT_SPACING_BYTES * SLOTS))
        manifest = cls.__new__(cls)
        manifest._path = path
        manifest._file = open(path, "r+b", buffering=0)  # noqa: SIM115
        manifest._sequence = 0
        manifest.set_all(log_number=1, synced_bytes=0, snapshot_index=0)
        manifest.close()

    def set_synced(self, synced_bytes):
        """Note durably how much of the log was synced."""
        self.synced_bytes = synced_bytes
        self._write_slot()
        os.fdatasync(self._file.fileno())

    def set_all(self, *, log_number, synced_bytes, snapshot_index):
        """Switch durably to another log file and snapshot, in both slots."""
        self.log_number = log_number
        self.synced_bytes = synced_bytes
        self.snapshot_index = snapshot_index
        for _ in range(SLOTS):
            self._write_slot()
            os.fdatasync(self._file.fileno())

    def close(self):
        """Close the file."""
        self._file.close()

    def _write_slot(self):
        self._sequence += 1
        payload = SLOT.pack(
            self._sequence, self.log_number, self.synced_bytes, self.snapshot_index
        )
        offset = self._sequence % SLOTS * SLOT_SPACING_BYTES
        os.pwrite(self._file.fileno(), frame(payload), offset)

    def _read_slot(self, number):
        offset = number * SLOT_SPACING_BYTES
        data = os.pread(self._file.fileno(), FRAME.size + SLOT.size, offset)
        payload = _frame_at(data, 0)
        if payload is None or len(payload) != SLOT.size:
            return None
        return SLOT.unpack(payload)


class DataFolder:
    """Keep the identity, term, vote, log and snapshot of one replica.

    All methods block; each returns after what it wrote was synced. After opening,
    `identity`, `cluster`, `state`, `snapshot` (or None) and `records` tell what was
    found; `records` go on from the snapshot.
    """

    __slots__ = ("_lock", "_log", "_manifest", "_path", "cluster", "cut_bytes")
    __slots__ += ("identity", "records", "snapshot", "state")

    def __init__(self, *, path, mint):
        self._path = Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = self._take_lock()
        if not self._has_identity():
            self._create(mint())
        self._open()

    def close(self):
        """Close the files and free the folder."""
        self._log.close()
        self._manifest.close()
        self._lock.close()

    def set_cluster(self, cluster):
        """Bind the folder to a group of replicas for good."""
        self.cluster = cluster
        self._write_identity()

    def set_state(self, state):
        """Keep a term and vote."""
        self.state = state
        write_atomically(self._path / STATE_NAME, frame(encode(state)))

    def append(self, records):
        """Add records; one with an index that is taken replaces all from there."""
        data = b"".join(frame(encode(record)) for record in records)
        self._log.write(data)
        os.fdatasync(self._log.fileno())
        self._manifest.set_synced(self._manifest.synced_bytes + len(data))

    def set_snapshot(self, snapshot, records):
        """Replace snapshot and log by a snapshot and the records that stay."""
        if self._manifest.snapshot_index != snapshot.last_index:
            path = self._snapshot_path(snapshot.last_index)
            write_atomically(path, frame(encode(snapshot)))
        number = self._manifest.log_number + 1
        data = b"".join(frame(encode(record)) for record in records)
        write_atomically(self._log_path(number), data)
        self._manifest.set_all(
            log_number=number,
            synced_bytes=len(data),
            snapshot_index=snapshot.last_index,
        )
        self._log.close()
        self._open_log()
        self._remove_old()

    def size_bytes(self):
        """Return the size of the log file."""
        return self._manifest.synced_bytes

    def _take_lock(self):
        lock = open(self._path / LOCK_NAME, "wb")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            raise BadSettingError(
                "another process uses the folder", field="data_folder", value=self._path
            ) from None
        return lock

    def _has_identity(self):
        names = {path.name for path in self._path.iterdir()}
        if IDENTITY_NAME in names:
            return True
        if INITIALIZED_NAME in names:
            raise corrupt(self._path / IDENTITY_NAME, 0, "the file is missing")
        return False

    def _create(self, identity):
        """Write the identity last: without it the folder counts as empty."""
        self.identity = identity
        self.cluster = 0
        self.set_state(HardState(term=0, voted_for=0))
        Manifest.create(self._path / MANIFEST_NAME)
        write_atomically(self._log_path(1), b"")
        self._write_identity()
        write_atomically(self._path / INITIALIZED_NAME, b"")

    def _write_identity(self):
        message = IdentityFile(identity=self.identity, cluster=self.cluster)
        write_atomically(self._path / IDENTITY_NAME, frame(encode(message)))

    def _open(self):
        identity = read_message(self._path / IDENTITY_NAME, IdentityFile)
        self.identity = identity.identity
        self.cluster = identity.cluster
        self.state = read_message(self._path / STATE_NAME, HardState)
        manifest = self._path / MANIFEST_NAME
        if not manifest.exists():
            raise corrupt(manifest, 0, "the file is missing")
        self._manifest = Manifest(path=manifest)
        self.snapshot = self._read_snapshot()
        self._read_log()
        self._open_log()
        self._remove_old()

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
            raise corrupt(path, 0, "the file is missing") from None
        payloads, end = read_frames(path, data, self._manifest.synced_bytes)
        self.cut_bytes = len(data) - end
        if self.cut_bytes:
            os.truncate(path, end)
        self._manifest.set_synced(end)
        self.records = self._join(path, payloads)

    def _join(self, path, payloads):
        """Return the records that stand: a later one replaces all from its index."""
        records, offset = [], 0
        for payload in payloads:
            record = decode_as(path, offset, payload, LogRecord)
            while records and records[-1].index >= record.index:
                records.pop()
            if records and records[-1].index + 1 != record.index:
                raise corrupt(path, offset, "a record is missing before this one")
            records.append(record)
            offset += FRAME.size + len(payload)
        base = self._manifest.snapshot_index
        if records and records[0].index > base + 1:
            raise corrupt(path, 0, "a record is missing before this one")
        return records

    def _open_log(self):
        path = self._log_path(self._manifest.log_number)
        self._log = open(path, "ab", buffering=0)  # noqa: SIM115

    def _remove_old(self):
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
