"""tests.test_plannedstop: Tests of when a control replica may end as planned."""

import testscenarios
import testtools

from knapweeddeal.plannedstop import NOTICE_INTERVAL_MS, PlannedStop

TIMEOUT_MS = 3_000


class FakeNode:
    """Stand in for the node of the replica that stops."""

    identity = 1
    leader = 2
    is_member = True
    is_committed = True

    def is_membership_committed(self):
        """Return the configured result."""
        return self.is_committed


class Completion(testscenarios.TestWithScenarios, testtools.TestCase):
    """Whether a replica may end, by its role and by the time since the request.

    Guards against a member that ends while it still counts in the quorum, and against
    one that waits for ever for a leader.
    """

    scenarios = [
        (name, {"node": node, "should_leave": leaves, "at_ms": at_ms, "expected": end})
        for name, node, leaves, at_ms, end in (
            ("a follower that is needed", {}, False, 0, True),
            ("a follower that leaves", {}, True, TIMEOUT_MS - 1, False),
            ("no leader to remove it", {"leader": 0}, True, TIMEOUT_MS - 1, False),
            ("the leader removed it", {"is_member": False}, True, 0, True),
            (
                "the removal isn't committed",
                {"is_member": False, "is_committed": False},
                True,
                0,
                False,
            ),
            ("nobody removes it", {}, True, TIMEOUT_MS, True),
            ("a leader", {"leader": 1}, False, TIMEOUT_MS - 1, False),
            ("a leader that leads on", {"leader": 1}, True, TIMEOUT_MS, True),
        )
    ]

    def test_is_complete(self):
        node = FakeNode()
        for name, value in self.node.items():
            setattr(node, name, value)
        stop = PlannedStop(
            node=node, should_leave=self.should_leave, timeout_ms=TIMEOUT_MS, now_ms=0
        )
        self.assertEqual(self.expected, stop.is_complete(self.at_ms))


class Notices(testscenarios.TestWithScenarios, testtools.TestCase):
    """The times at which a replica tells the others that it stops.

    Guards against a notice that is lost with a leader that ends, and against a leader
    that announces its own stop, which it can't act on.
    """

    scenarios = [
        ("a follower that leaves", {"leaves": True, "expected": [0, 200, 400]}),
        ("a follower that is needed", {"leaves": False, "expected": []}),
        ("a leader", {"leaves": True, "leader": 1, "expected": []}),
    ]
    leader = 2

    def test_times(self):
        node = FakeNode()
        node.leader = self.leader
        stop = PlannedStop(
            node=node, should_leave=self.leaves, timeout_ms=TIMEOUT_MS, now_ms=0
        )
        times_ms = range(0, 3 * NOTICE_INTERVAL_MS, NOTICE_INTERVAL_MS // 4)
        self.assertEqual(self.expected, [t for t in times_ms if stop.pop_notice_due(t)])
