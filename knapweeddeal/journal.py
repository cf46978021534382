"""knapweeddeal.journal: A control replica's journal of refusals on disk."""

import heapq
import os
from pathlib import Path

import msgpack

from knapweeddeal.frames import (
    corruption_error,
    decode_as,
    encode_frame,
    read_frames,
    sync_folder,
    truncate_and_sync,
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
#: Maximum number of segments; the oldest is removed.
MAX_SEGMENTS = 16
#: Maximum number of records returned by a query without a limit.
DEFAULT_QUERY_LIMIT = 1_000

MANIFEST_NAME = "manifest"
#: Last payload of a full segment.
SEAL = b"end"


class Segment:
    """Index one segment file: its record ids and the time range of its records."""

    __slots__ = ("first_ms", "last_ms", "number", "record_ids")

    def __init__(self, *, number):
        self.number = number
        self.record_ids = set()
        self.first_ms = 1 << 64
        self.last_ms = 0

    def add_record(self, record_id, refused_ms):
        """Add a record to the index."""
        self.record_ids.add(record_id)
        self.first_ms = min(self.first_ms, refused_ms)
        self.last_ms = max(self.last_ms, refused_ms)

    def may_match(self, query):
        """Return whether the time range of the query overlaps that of the file."""
        return self.first_ms <= (query.until_ms or 1 << 64) and (
            self.last_ms >= query.since_ms
        )


class Journal:
    """Store refusals in segment files; all methods block.

    Only one thread may call `append`; others may call `find` at the same time.

    A record is stored once, even if several batches contain it. Corruption other than
    an incomplete write at the end of the last segment raises CorruptStorageError.
    """

    __slots__ = ("_file", "_manifest", "_max_segments", "_path", "_segment_bytes")
    __slots__ += ("_segments",)

    def __init__(self, *, path, segment_bytes=SEGMENT_BYTES, max_segments=MAX_SEGMENTS):
        self._path = Path(path)
        self._segment_bytes = segment_bytes
        self._max_segments = max_segments
        if not self._path.exists():
            self._path.mkdir()
            sync_folder(self._path.parent)
        manifest = self._path / MANIFEST_NAME
        if not manifest.exists() or self._is_unfinished(manifest):
            self._create(manifest)
        self._manifest = Manifest(path=manifest)
        self._segments = self._read_segments()
        self._file = self._open_last()

    # Commands.

    def append(self, records):
        """Write and sync the records that are not stored yet; return their number."""
        new_records = self._new_records(records)
        if not new_records:
            return 0
        data = b"".join(encode_frame(encode(record)) for record in new_records)
        write_all(self._file, data)
        os.fdatasync(self._file.fileno())
        synced_bytes = self._manifest.synced_bytes + len(data)
        self._manifest.set_synced(synced_bytes, 0)
        for record in new_records:
            self._segments[-1].add_record(record.record_id, record.refused_ms)
        if synced_bytes >= self._segment_bytes:
            self._start_next_segment()
        return len(new_records)

    def close(self):
        """Close the files."""
        self._file.close()
        self._manifest.close()

    # Queries.

    def count(self):
        """Return the number of stored records."""
        return sum(len(segment.record_ids) for segment in self._segments)

    def find(self, query):
        """Return the matching records, oldest first, up to the limit."""
        limit = query.limit or DEFAULT_QUERY_LIMIT
        return heapq.nsmallest(
            limit, self._matches(query), key=lambda record: record.refused_ms
        )

    def _matches(self, query):
        candidates = [segment for segment in self._segments if segment.may_match(query)]
        for segment in candidates:
            for record in self._records(segment.number):
                if matches_query(record, query):
                    yield record

    def _records(self, number):
        """Yield a segment's records; it may be appended to or removed meanwhile."""
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

    def _new_records(self, records):
        by_id = {record.record_id: record for record in records}
        for segment in self._segments:
            for record_id in by_id.keys() & segment.record_ids:
                del by_id[record_id]
        return list(by_id.values())

    def _is_unfinished(self, manifest):
        """Return whether a crash interrupted the creation by an earlier version.

        It wrote an empty manifest and then its slots, before the first record.
        """
        segments = self._path.glob("refusals-*")
        return not any(manifest.read_bytes()) and not any(
            path.stat().st_size for path in segments
        )

    def _create(self, manifest):
        write_atomically(self._segment_path(1), b"")
        Manifest.create(manifest)

    def _start_next_segment(self):
        """Seal the segment, start the next one, and remove those over the limit."""
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
        # The journal has no snapshots; this field holds the first segment's number.
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
            self._truncate_tail(path, payloads, end)
        elif not payloads or payloads.pop() != SEAL:
            raise corruption_error(path, end, "the end of the segment is missing")
        segment = Segment(number=number)
        for payload in payloads:
            fields = msgpack.unpackb(payload)
            segment.add_record(fields[RECORD_ID_INDEX], fields[REFUSED_MS_INDEX])
        return segment

    def _truncate_tail(self, path, payloads, end):
        """Truncate an incomplete write, and a seal without a following segment."""
        if payloads and payloads[-1] == SEAL:
            payloads.pop()
            end -= len(encode_frame(SEAL))
        truncate_and_sync(path, end)
        self._manifest.set_synced(end, 0)

    def _open_last(self):
        path = self._segment_path(self._manifest.log_number)
        return open(path, "ab", buffering=0)

    def _segment_path(self, number):
        return self._path / f"refusals-{number:08d}"


#: Positions of fields in an encoded record, to read them without decoding it all.
RECORD_ID_INDEX = 1 + list(RefusalRecord.schema).index("record_id")
REFUSED_MS_INDEX = 1 + list(RefusalRecord.schema).index("refused_ms")
