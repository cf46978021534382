"""tests.test_snapshotschedule: Tests of when a member writes a snapshot."""

import testscenarios
import testtools

from knapweeddeal.consensuslog import ConsensusLog, pack_command
from knapweeddeal.snapshotschedule import is_due_by_count, records_to_keep

SNAPSHOT_RECORDS = 10


class Turns(testtools.TestCase):
    """Members write their snapshots at different indices."""

    def test_members_take_turns(self):
        turns = []
        for place in range(3):
            indices = range(1, 2 * SNAPSHOT_RECORDS)
            due = [
                index
                for index in indices
                if is_due_by_count(
                    index=index,
                    last_index=index - 1,
                    every=SNAPSHOT_RECORDS,
                    place=place,
                    members=3,
                )
            ]
            turns.append(due[0])
        self.assertEqual([10, 7, 4], turns)


class Kept(testscenarios.TestWithScenarios, testtools.TestCase):
    """Records stay for followers that lag, within counts and bytes."""

    scenarios = [
        ("few", {"sizes": [10] * 3, "most": 5, "max_bytes": 100, "kept": 3}),
        ("by count", {"sizes": [10] * 9, "most": 5, "max_bytes": 100, "kept": 5}),
        ("by bytes", {"sizes": [10] * 9, "most": 5, "max_bytes": 30, "kept": 3}),
        ("a large one", {"sizes": [10, 99, 10], "most": 5, "max_bytes": 30, "kept": 1}),
        ("too large", {"sizes": [99], "most": 5, "max_bytes": 30, "kept": 0}),
        ("none", {"sizes": [], "most": 5, "max_bytes": 30, "kept": 0}),
    ]

    def test_kept(self):
        log = ConsensusLog()
        for size in self.sizes:
            log.add(1, pack_command(b"x" * (size - 1)))
        kept = records_to_keep(
            log, log.last_index, most=self.most, max_bytes=self.max_bytes
        )
        self.assertEqual(self.kept, kept)
