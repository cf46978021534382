"""tests.test_consensuslog: Tests of the in-memory replicated log."""

import testscenarios
import testtools

from knapweeddeal.consensuslog import ConsensusLog, pack_command, pack_membership
from knapweeddeal.messages.replication import MembershipRecord, SnapshotFile
from tests.consensussimulation import replica


def membership(*identities):
    """Return the bytes of a record with a membership."""
    replicas = [replica(identity) for identity in identities]
    return pack_membership(
        MembershipRecord(replicas=replicas, operator="", request_id="")
    )


def make_log():
    """Return a log of terms 1, 1, 2, 2, 3 with memberships at 1 and 4."""
    log = ConsensusLog()
    log.add(1, membership(1, 2, 3))
    log.add(1, pack_command(b"a"))
    log.add(2, pack_command(b"b"))
    log.add(2, membership(1, 2))
    log.add(3, pack_command(b"c"))
    return log


def identities(replicas):
    """Return the identities of replicas."""
    return [item.identity for item in replicas]


class Memberships(testtools.TestCase):
    """The last membership record in the log defines the membership.

    Truncation restores the one before; compaction keeps the one at the new base.
    """

    def test_truncation_restores_the_previous_membership(self):
        log = make_log()
        self.assertEqual([1, 2], identities(log.replicas))
        log.truncate_from(4)
        self.assertEqual([1, 2, 3], identities(log.replicas))
        self.assertEqual((3, 2), (log.last_index, log.last_term))

    def test_compaction_keeps_the_membership_at_the_base(self):
        log = make_log()
        log.compact_to(3)
        self.assertEqual([1, 2, 3], identities(log.replicas_at(3)))
        self.assertEqual([1, 2], identities(log.replicas))
        self.assertEqual((None, 2, 2), tuple(log.term_at(i) for i in (2, 3, 4)))


class Reset(testscenarios.TestWithScenarios, testtools.TestCase):
    """Records after a snapshot are kept only if the log matches the snapshot.

    Records of another history would otherwise follow the leader's snapshot.
    """

    scenarios = [
        ("same term", {"term": 2, "last": (5, 3), "members": [1, 2]}),
        ("different term", {"term": 9, "last": (3, 9), "members": [7]}),
    ]

    def test_reset(self):
        log = make_log()
        snapshot = SnapshotFile(
            last_index=3, last_term=self.term, replicas=[replica(7)], data=b""
        )
        log.reset(snapshot)
        self.assertEqual(self.last, (log.last_index, log.last_term))
        self.assertEqual(self.members, identities(log.replicas))


class Reading(testtools.TestCase):
    """Slices have no gaps, and the size limit never excludes the first record."""

    def test_slice(self):
        log = make_log()
        self.assertEqual([2, 3], [record.index for record in log.slice(2, 3)])
        self.assertEqual([2], [r.index for r in log.slice(2, 5, max_bytes=1)])
        self.assertEqual([], log.slice(6, 9))

    def test_first_index_of_term(self):
        self.assertEqual(
            [1, 1, 3, 3, 5], [make_log().first_index_of_term(i) for i in range(1, 6)]
        )
