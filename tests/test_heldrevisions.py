"""tests.test_heldrevisions: Tests of when a replica requests routes from others."""

import testscenarios
import testtools

from knapweeddeal.heldrevisions import (
    LOG_DELAY_MS,
    REQUEST_INTERVAL_MS,
    HeldRevisions,
)


class Requests(testscenarios.TestWithScenarios, testtools.TestCase):
    """Routes are requested from a linked replica, once the log had time for them.

    Guards against forwarders that keep old routes as their replicas' disks are slow.
    """

    #: Revisions by replica, that all state at time 0; the revision held here, the
    #: linked replicas, and the replica to request routes from.
    scenarios = [
        ("none known", {"held": {}, "own": 0, "linked": {2}, "expected": None}),
        ("same", {"held": {2: 5}, "own": 5, "linked": {2}, "expected": None}),
        ("lower", {"held": {2: 4}, "own": 5, "linked": {2}, "expected": None}),
        ("higher", {"held": {2: 5}, "own": 4, "linked": {2}, "expected": 2}),
        ("nothing here", {"held": {2: 5}, "own": 0, "linked": {2}, "expected": 2}),
        ("highest", {"held": {2: 5, 3: 6}, "own": 4, "linked": {2, 3}, "expected": 3}),
        ("not linked", {"held": {2: 5}, "own": 4, "linked": {3}, "expected": None}),
        ("one linked", {"held": {2: 5, 3: 6}, "own": 4, "linked": {2}, "expected": 2}),
    ]

    def test_due(self):
        revisions = HeldRevisions()
        for identity, revision in self.held.items():
            revisions.record(identity, revision, 0)
        early_ms = LOG_DELAY_MS - 1
        self.assertIsNone(revisions.due_request(self.own, self.linked, early_ms))
        due = revisions.due_request(self.own, self.linked, LOG_DELAY_MS)
        self.assertEqual(self.expected, due)


class Repetition(testtools.TestCase):
    """A request that isn't answered is repeated, at another replica if possible."""

    def setUp(self):
        super().setUp()
        self.revisions = HeldRevisions()
        for identity in (2, 3):
            self.revisions.record(identity, 5, 0)

    def due(self, now_ms, own_revision=4):
        """Return the replica to request routes from."""
        return self.revisions.due_request(own_revision, {2, 3}, now_ms)

    def test_in_turn(self):
        start_ms = LOG_DELAY_MS
        self.assertEqual(2, self.due(start_ms))
        self.assertIsNone(self.due(start_ms + REQUEST_INTERVAL_MS - 1))
        self.assertEqual(3, self.due(start_ms + REQUEST_INTERVAL_MS))
        self.assertEqual(2, self.due(start_ms + 2 * REQUEST_INTERVAL_MS))

    def test_lower_revision(self):
        """One that holds a lower revision is next, as the first may be frozen."""
        self.revisions.record(2, 6, 0)
        times_ms = [LOG_DELAY_MS + n * REQUEST_INTERVAL_MS for n in range(3)]
        self.assertEqual([2, 3, 2], [self.due(now_ms) for now_ms in times_ms])

    def test_answered(self):
        self.assertEqual(2, self.due(LOG_DELAY_MS))
        later_ms = LOG_DELAY_MS + REQUEST_INTERVAL_MS
        self.assertIsNone(self.due(later_ms, own_revision=5))

    def test_later_revision(self):
        """A revision that was heard of later has its own time in the log."""
        heard_ms = 10 * LOG_DELAY_MS
        self.assertIsNone(self.due(heard_ms, own_revision=5))
        self.revisions.record(2, 6, heard_ms)
        self.assertIsNone(self.due(heard_ms + LOG_DELAY_MS - 1, own_revision=5))
        self.assertEqual(2, self.due(heard_ms + LOG_DELAY_MS, own_revision=5))

    def test_always_behind(self):
        """A log that applies revisions too late is noticed while it applies others."""
        for revision, now_ms in ((6, 300), (7, 600)):
            self.revisions.record(2, revision, now_ms)
        self.assertIsNone(self.due(LOG_DELAY_MS, own_revision=5))
        self.assertEqual(2, self.due(300 + LOG_DELAY_MS, own_revision=5))
