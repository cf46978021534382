"""tests.test_snapshotschedule: Tests of the schedule of snapshots."""

import testscenarios
import testtools

from knapweeddeal.consensuslog import ConsensusLog, pack_command
from knapweeddeal.snapshotschedule import is_due_by_count, records_to_keep

SNAPSHOT_RECORDS = 10


class Staggering(testtools.TestCase):
    """Members write their snapshots at different indices, not all at once."""

    def test_members_are_due_at_different_indices(self):
        first_due = []
        for position in range(3):
            indices = range(1, 2 * SNAPSHOT_RECORDS)
            due = [
                index
                for index in indices
                if is_due_by_count(
                    index=index,
                    last_index=index - 1,
                    interval_records=SNAPSHOT_RECORDS,
                    position=position,
                    members=3,
                )
            ]
            first_due.append(due[0])
        self.assertEqual([10, 7, 4], first_due)


class RecordsToKeep(testscenarios.TestWithScenarios, testtools.TestCase):
    """Records kept for lagging followers are limited by count and by size."""

    scenarios = [
        (
            "fewer than both limits",
            {"sizes": [10] * 3, "max_records": 5, "max_bytes": 100, "kept": 3},
        ),
        (
            "limited by count",
            {"sizes": [10] * 9, "max_records": 5, "max_bytes": 100, "kept": 5},
        ),
        (
            "limited by bytes",
            {"sizes": [10] * 9, "max_records": 5, "max_bytes": 30, "kept": 3},
        ),
        (
            "large record before the last",
            {"sizes": [10, 99, 10], "max_records": 5, "max_bytes": 30, "kept": 1},
        ),
        (
            "last record too large",
            {"sizes": [99], "max_records": 5, "max_bytes": 30, "kept": 0},
        ),
        ("empty log", {"sizes": [], "max_records": 5, "max_bytes": 30, "kept": 0}),
    ]

    def test_kept(self):
        log = ConsensusLog()
        for size in self.sizes:
            log.add(1, pack_command(b"x" * (size - 1)))
        kept = records_to_keep(
            log, log.last_index, max_records=self.max_records, max_bytes=self.max_bytes
        )
        self.assertEqual(self.kept, kept)
