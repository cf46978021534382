"""knapweeddeal.journal: The refusals that a control replica holds, on its disk."""

import heapq
import os
from pathlib import Path

import msgpack

from knapweeddeal.frames import (
    corruption_error,
    decode_as,
    encode_frame,
    read_frames,
    write_all,
    write_atomically,
)
from knapweeddeal.manifest import Manifest
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.peer import RefusalRecord
from knapweeddeal.refusals import matches_query

__all__ = ["Journal"]

#: Size after which a new segment is started.
SEGMENT_BYTES = 4 * 1024 * 1024
#: Segments that are kept; the oldest is removed.
MAX_SEGMENTS = 16
#: Records of an answer if the ask sets no limit.
DEFAULT_LIMIT = 1_000

MANIFEST_NAME = "manifest"
#: Last payload of a segment that is full.
SEAL = b"end"


class Segment:
    """Know one file: its ids, and the time that its records span."""

    __slots__ = ("first_ms", "last_ms", "number", "record_ids")

    def __init__(self, *, number):
        self.number = number
        self.record_ids = set()
        self.first_ms = 1 << 64
        self.last_ms = 0

    def note(self, record_id, refused_ms):
        """Note a record that the file holds."""
        self.record_ids.add(record_id)
        self.first_ms = min(self.first_ms, refused_ms)
        self.last_ms = max(self.last_ms, refused_ms)

    def may_match(self, query):
        """Tell whether the file may hold records of the asked time."""
        return self.first_ms <= (query.until_ms or 1 << 64) and (
            self.last_ms >= query.since_ms
        )


class Journal:
    """Keep refusals in segments; all methods block.

    One thread calls `append`; others may call `find` meanwhile.

    A record is held once, whatever number of batches bring it. Damage that isn't a
    torn tail raises CorruptStorageError.
    """

    __slots__ = ("_file", "_manifest", "_max_segments", "_path", "_segment_bytes")
    __slots__ += ("_segments",)

    def __init__(self, *, path, segment_bytes=SEGMENT_BYTES, max_segments=MAX_SEGMENTS):
        self._path = Path(path)
        self._segment_bytes = segment_bytes
        self._max_segments = max_segments
        self._path.mkdir(exist_ok=True)
        manifest = self._path / MANIFEST_NAME
        if not manifest.exists():
            self._create(manifest)
        self._manifest = Manifest(path=manifest)
        self._segments = self._read_segments()
        self._file = self._open_last()

    # Commands.

    def append(self, records):
        """Sync the records that aren't held yet, and return their number."""
        fresh = self._fresh(records)
        if not fresh:
            return 0
        data = b"".join(encode_frame(encode(record)) for record in fresh)
        write_all(self._file, data)
        os.fdatasync(self._file.fileno())
        synced_bytes = self._manifest.synced_bytes + len(data)
        self._manifest.set_synced(synced_bytes, 0)
        for record in fresh:
            self._segments[-1].note(record.record_id, record.refused_ms)
        if synced_bytes >= self._segment_bytes:
            self._roll()
        return len(fresh)

    def close(self):
        """Close the files."""
        self._file.close()
        self._manifest.close()

    # Queries.

    def count(self):
        """Return the number of records that are held."""
        return sum(len(segment.record_ids) for segment in self._segments)

    def find(self, query):
        """Return the records that match, the oldest first, up to the limit."""
        limit = query.limit or DEFAULT_LIMIT
        return heapq.nsmallest(
            limit, self._matches(query), key=lambda record: record.refused_ms
        )

    def _matches(self, query):
        wanted = [segment for segment in self._segments if segment.may_match(query)]
        for segment in wanted:
            for record in self._records(segment.number):
                if matches_query(record, query):
                    yield record

    def _records(self, number):
        """Yield what a segment holds; it may be written or removed meanwhile."""
        path = self._segment_path(number)
        is_last = number == self._manifest.log_number
        synced_bytes = self._manifest.synced_bytes
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return
        if not is_last:
            synced_bytes = len(data)
        payloads, _ = read_frames(path, data, synced_bytes)
        for payload in payloads:
            if payload != SEAL:
                yield decode_as(path, 0, payload, RefusalRecord)

    # Files.

    def _fresh(self, records):
        by_id = {record.record_id: record for record in records}
        for segment in self._segments:
            for record_id in by_id.keys() & segment.record_ids:
                del by_id[record_id]
        return list(by_id.values())

    def _create(self, manifest):
        write_atomically(self._segment_path(1), b"")
        Manifest.create(manifest)

    def _roll(self):
        """Seal the segment, start the next, remove what is too old."""
        write_all(self._file, encode_frame(SEAL))
        os.fdatasync(self._file.fileno())
        self._file.close()
        number = self._manifest.log_number + 1
        write_atomically(self._segment_path(number), b"")
        first = max(self._segments[0].number, number + 1 - self._max_segments)
        self._manifest.switch_files(
            log_number=number, synced_bytes=0, snapshot_index=first
        )
        self._segments.append(Segment(number=number))
        while self._segments[0].number < first:
            self._segment_path(self._segments.pop(0).number).unlink()
        self._file = self._open_last()

    def _read_segments(self):
        last = self._manifest.log_number
        first = max(self._manifest.snapshot_index, 1)
        for path in self._path.glob("*.tmp"):
            path.unlink()
        for path in self._path.glob("refusals-*"):
            if not first <= int(path.name.partition("-")[2]) <= last:
                path.unlink()
        return [self._read_segment(number) for number in range(first, last + 1)]

    def _read_segment(self, number):
        path = self._segment_path(number)
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            raise corruption_error(path, 0, "the file is missing") from None
        is_last = number == self._manifest.log_number
        synced_bytes = self._manifest.synced_bytes if is_last else len(data)
        payloads, end = read_frames(path, data, synced_bytes)
        if is_last:
            self._cut(path, payloads, end)
        elif not payloads or payloads.pop() != SEAL:
            raise corruption_error(path, end, "the end of the segment is missing")
        segment = Segment(number=number)
        for payload in payloads:
            wire = msgpack.unpackb(payload)
            segment.note(wire[RECORD_ID_PLACE], wire[REFUSED_MS_PLACE])
        return segment

    def _cut(self, path, payloads, end):
        """Cut a torn tail, and a seal whose next segment never came."""
        if payloads and payloads[-1] == SEAL:
            payloads.pop()
            end -= len(encode_frame(SEAL))
        os.truncate(path, end)
        self._manifest.set_synced(end, 0)

    def _open_last(self):
        path = self._segment_path(self._manifest.log_number)
        return open(path, "ab", buffering=0)

    def _segment_path(self, number):
        return self._path / f"refusals-{number:08d}"


#: Places of fields in the wire form, for reading ids without the whole decoding.
RECORD_ID_PLACE = 1 + list(RefusalRecord.schema).index("record_id")
REFUSED_MS_PLACE = 1 + list(RefusalRecord.schema).index("refused_ms")
