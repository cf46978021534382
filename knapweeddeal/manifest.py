"""knapweeddeal.manifest: The manifest file of a control replica's data folder."""

import os
import struct

from knapweeddeal.frames import (
    FRAME_HEADER,
    corruption_error,
    decode_frame,
    encode_frame,
    write_atomically,
)

__all__ = ["Manifest"]

#: Slot: sequence number, log number, synced bytes, snapshot index, commit index.
SLOT = struct.Struct(">QQQQQ")
SLOT_SPACING_BYTES = 512
SLOTS = 2


class Manifest:
    """Record the current log and snapshot, the log's synced size and the commit index.

    The two slots are written alternately, so that a torn write leaves the other one
    valid.
    """

    __slots__ = ("_file", "_path", "_sequence", "commit_index", "log_number")
    __slots__ += ("snapshot_index", "synced_bytes")

    def __init__(self, *, path):
        self._path = path
        self._file = open(path, "r+b", buffering=0)  # noqa: SIM115
        slots = [self._read_slot(number) for number in range(SLOTS)]
        latest = max(filter(None, slots), default=None)
        if latest is None:
            raise corruption_error(path, 0, "no slot has a valid checksum")
        self._sequence, self.log_number, self.synced_bytes = latest[:3]
        self.snapshot_index, self.commit_index = latest[3:]

    @classmethod
    def create(cls, path):
        """Write the manifest of an empty folder, all at once."""
        data = bytearray(SLOT_SPACING_BYTES * SLOTS)
        for sequence in range(1, SLOTS + 1):
            slot = encode_frame(SLOT.pack(sequence, 1, 0, 0, 0))
            offset = sequence % SLOTS * SLOT_SPACING_BYTES
            data[offset : offset + len(slot)] = slot
        write_atomically(path, bytes(data))

    def set_synced(self, synced_bytes, commit_index):
        """Persist the synced size of the log and the commit index."""
        previous = (self.synced_bytes, self.commit_index)
        self.synced_bytes = synced_bytes
        self.commit_index = max(commit_index, self.commit_index)
        try:
            self._write_slot()
            os.fdatasync(self._file.fileno())
        except OSError:
            self.synced_bytes, self.commit_index = previous
            raise

    def switch_files(self, *, log_number, synced_bytes, snapshot_index):
        """Persist the switch to another log file and snapshot, in both slots."""
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
            self._sequence,
            self.log_number,
            self.synced_bytes,
            self.snapshot_index,
            self.commit_index,
        )
        offset = self._sequence % SLOTS * SLOT_SPACING_BYTES
        os.pwrite(self._file.fileno(), encode_frame(payload), offset)

    def _read_slot(self, number):
        offset = number * SLOT_SPACING_BYTES
        data = os.pread(self._file.fileno(), FRAME_HEADER.size + SLOT.size, offset)
        payload = decode_frame(data, 0)
        if payload is None or len(payload) != SLOT.size:
            return None
        return SLOT.unpack(payload)
