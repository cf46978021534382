"""tests.test_journal: Tests of the refusal journal."""

import os
import shutil
import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal.errors import CorruptStorageError
from knapweeddeal.frames import encode_frame
from knapweeddeal.journal import Journal
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.operator import RefusalsRequest
from knapweeddeal.messages.peer import RefusalRecord
from tests.crashdisk import CrashTest

SEGMENT_BYTES = 400
MAX_SEGMENTS = 4


def refusal(number, **changes):
    """Return a refusal."""
    values = {
        "record_id": number,
        "caller": f"127.0.0.1:{1000 + number}",
        "service": "web",
        "flow_id": number,
        "number": 1,
        "refused_ms": 10 * number,
        "entry_id": "e1",
        "reason": "no_upstream",
    }
    return RefusalRecord(**{**values, **changes})


def query(**changes):
    """Return a query."""
    values = {
        "service": "",
        "caller": "",
        "reason": "",
        "since_ms": 0,
        "until_ms": 0,
        "limit": 0,
    }
    return RefusalsRequest(**{**values, **changes})


class JournalTest(testtools.TestCase):
    """Create a journal with small segments for each test."""

    def setUp(self):
        super().setUp()
        self.path = Path(tempfile.mkdtemp(prefix="journal-"))
        self.addCleanup(shutil.rmtree, self.path)

    def open(self):
        """Open the journal."""
        journal = Journal(
            path=self.path, segment_bytes=SEGMENT_BYTES, max_segments=MAX_SEGMENTS
        )
        self.addCleanup(journal.close)
        return journal

    def reopen(self, journal):
        """Close the journal and open it again."""
        journal.close()
        return self.open()

    def ids(self, journal, **changes):
        """Return the ids that a query finds."""
        return [record.record_id for record in journal.find(query(**changes))]


class DurableRefusals(JournalTest):
    """Appended records are stored once, and found after a restart."""

    def test_restart(self):
        journal = self.open()
        journal.append([refusal(1), refusal(2)])
        journal = self.reopen(journal)
        self.assertEqual([refusal(1), refusal(2)], journal.find(query()))

    def test_resent_batch(self):
        journal = self.open()
        self.assertEqual(2, journal.append([refusal(1), refusal(2), refusal(2)]))
        self.assertEqual(1, journal.append([refusal(2), refusal(3)]))
        journal = self.reopen(journal)
        self.assertEqual(0, journal.append([refusal(1)]))
        self.assertEqual([1, 2, 3], self.ids(journal))

    def test_syncs_before_manifest_update(self):
        journal = self.open()
        synced = []
        self.patch(
            os,
            "fdatasync",
            lambda descriptor: synced.append(os.fstat(descriptor).st_size),
        )
        journal.append([refusal(1)])
        log = next(self.path.glob("refusals-*"))
        self.assertEqual(log.stat().st_size, synced[0])
        self.assertEqual(2, len(synced))

    def test_segments_are_bounded(self):
        journal = self.open()
        for number in range(1, 101):
            journal.append([refusal(number)])
        self.assertEqual(MAX_SEGMENTS, len(list(self.path.glob("refusals-*"))))
        found = self.ids(journal)
        self.assertEqual(list(range(found[0], 101)), found)
        self.assertTrue(10 < len(found) < 50)
        journal = self.reopen(journal)
        self.assertEqual(found, self.ids(journal))
        self.assertEqual(len(found), journal.count())


class Queries(testscenarios.TestWithScenarios, JournalTest):
    """A query filters by service, caller, time or reason."""

    scenarios = [
        ("all", {"changes": {}, "expected": [1, 2, 3, 4]}),
        ("service", {"changes": {"service": "dns"}, "expected": [2]}),
        ("caller", {"changes": {"caller": "127.0.0.1:1003"}, "expected": [3]}),
        (
            "host of callers",
            {"changes": {"caller": "127.0.0.1"}, "expected": [1, 2, 3]},
        ),
        ("reason", {"changes": {"reason": "deadline"}, "expected": [3]}),
        ("since", {"changes": {"since_ms": 20}, "expected": [2, 3, 4]}),
        ("until", {"changes": {"until_ms": 20}, "expected": [1, 2]}),
        ("limit", {"changes": {"limit": 2}, "expected": [1, 2]}),
        ("none", {"changes": {"service": "web", "reason": "x"}, "expected": []}),
    ]

    def test_find(self):
        journal = self.open()
        journal.append(
            [refusal(4, caller="127.0.0.2:1"), refusal(3, reason="deadline")]
        )
        journal.append([refusal(2, service="dns"), refusal(1)])
        self.assertEqual(self.expected, self.ids(journal, **self.changes))


class CorruptFiles(testscenarios.TestWithScenarios, JournalTest):
    """A corrupt byte or a truncation is detected, or loses no record.

    Each byte of each file is flipped, and each file is cut at each offset.
    """

    scenarios = [
        (f"{damage} {name}", {"damage": damage, "name": name})
        for damage in ("flip", "truncate")
        for name in ("refusals-00000001", "refusals-00000002", "manifest")
    ]

    def test_every_byte(self):
        self.patch(os, "fsync", lambda _: None)
        self.patch(os, "fdatasync", lambda _: None)
        journal = self.open()
        for number in range(1, 11):
            journal.append([refusal(number)])
        journal.close()
        target = self.path / self.name
        originals = {path: path.read_bytes() for path in self.path.iterdir()}
        self.assertEqual(3, len(originals))
        detected = 0
        for offset in range(len(originals[target])):
            for path, data in originals.items():
                path.write_bytes(data)
            damaged = bytearray(originals[target])
            if self.damage == "flip":
                damaged[offset] ^= 0x41
            else:
                del damaged[offset:]
            target.write_bytes(damaged)
            try:
                journal = self.open()
                self.assertEqual(list(range(1, 11)), self.ids(journal))
                journal.close()
            except CorruptStorageError:
                detected += 1
        if self.name != "manifest":
            self.assertEqual(len(originals[target]), detected)


class TornTail(JournalTest):
    """An incomplete write, which was not acknowledged, is truncated on opening.

    A crash during a write or between a seal and its next segment leaves one.
    """

    def test_every_length(self):
        journal = self.open()
        journal.append([refusal(1)])
        journal.close()
        path = next(self.path.glob("refusals-*"))
        intact = path.read_bytes()
        for length in range(len(intact)):
            path.write_bytes(intact + intact[:length])
            journal = self.open()
            self.assertEqual([1], self.ids(journal))
            journal.close()
            self.assertEqual(intact, path.read_bytes())

    def test_seal_without_a_next_segment(self):
        journal = self.open()
        for number in range(1, 5):
            journal.append([refusal(number)])
        self.patch(os, "rename", self.fail_rename)
        for number in range(5, 12):
            try:
                journal.append([refusal(number)])
            except OSError:
                break
        self.patch(os, "rename", os.replace)
        journal = self.reopen(journal)
        journal.append([refusal(99)])
        found = self.ids(self.reopen(journal))
        self.assertEqual([1, 2, 3, 4], found[:4])
        self.assertEqual(99, found[-1])

    def fail_rename(self, *_):
        """Raise the error of a full disk."""
        raise OSError("no space left on device")


class Crashes(CrashTest):
    """A kill or a loss of power before any access to a file loses nothing synced.

    Guards against a journal that doesn't open again, as a crash at its first start left
    an empty manifest, or as records count as synced that were only written.
    """

    def work(self):
        """Open a new journal and append records until the second segment has one."""
        journal = self.open()
        for number in range(1, 4):
            journal.append([refusal(number)])
            self.synced = number

    def restart(self):
        """Open the journal and return its number of records."""
        return self.open().count()

    def open(self):
        """Open the journal on the disk, with two records in a segment."""
        size_bytes = 2 * len(encode_frame(encode(refusal(1))))
        journal = Journal(path=self.disk.path / "refusals", segment_bytes=size_bytes)
        self.addCleanup(journal.close)
        return journal

    def test_every_access(self):
        self.check_every_access()

    def test_manifest_of_an_earlier_version(self):
        """It was created empty, and its slots were written after it."""
        path = self.disk.path / "refusals"
        path.mkdir()
        (path / "refusals-00000001").write_bytes(b"")
        (path / "manifest").write_bytes(bytes(1_024))
        self.assertEqual(0, self.restart())
