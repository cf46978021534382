"""tests.test_snapshotturns: Tests of when a member writes a snapshot."""

import testtools

from knapweeddeal.snapshotturns import is_snapshot_turn

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
                if is_snapshot_turn(
                    index=index,
                    last_index=index - 1,
                    every=SNAPSHOT_RECORDS,
                    place=place,
                    members=3,
                )
            ]
            turns.append(due[0])
        self.assertEqual([10, 7, 4], turns)
