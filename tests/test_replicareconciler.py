"""tests.test_replicareconciler: Tests of automatic log membership changes."""

import testscenarios
import testtools

from knapweeddeal.messages.control import Replica
from knapweeddeal.replicareconciler import SILENT_MS, ReplicaReconciler


def member(identity, host=None):
    """Return a replica; its host is that of its identity."""
    host = host or f"10.0.0.{identity}"
    return Replica(name=host, identity=identity, host=host, port=1)


class FakeLog:
    """Hold a membership."""

    def __init__(self, replicas):
        self.replicas = replicas


class FakeNode:
    """Stand in for the leader's node."""

    def __init__(self, *, members, settled=True, caught_up=(), transferring=False):
        self.identity = members[0].identity
        self.log = FakeLog(members)
        self.members = {m.identity for m in members}
        self.transferring = transferring
        self.learners = set()
        self._settled = settled
        self._caught_up = set(caught_up)

    def is_membership_committed(self):
        """Tell whether the last change is committed."""
        return self._settled

    def is_learner(self, identity):
        """Tell whether a replica is replicated to."""
        return identity in self.learners

    def add_learner(self, identity):
        """Replicate to a replica."""
        self.learners.add(identity)

    def is_caught_up(self, identity):
        """Tell whether a replica holds all."""
        return identity in self._caught_up


THREE = [member(1), member(2), member(3)]
FOUR = [*THREE, member(4)]


class Steps(testscenarios.TestWithScenarios, testtools.TestCase):
    """What the leader proposes after two looks."""

    scenarios = [
        ("nothing to do", {"connected": [member(2), member(3)], "wanted": None}),
        (
            "a new one joins",
            {
                "connected": [member(2), member(3), member(4)],
                "node": {"caught_up": [4]},
                "wanted": {1, 2, 3, 4},
            },
        ),
        (
            "a new one that lags",
            {"connected": [member(2), member(3), member(4)], "wanted": None},
        ),
        (
            "a lost disk",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"caught_up": [9]},
                "wanted": {1, 2},
            },
        ),
        (
            "the last change isn't committed",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"settled": False},
                "wanted": None,
            },
        ),
        ("silent for a while", {"connected": [member(2), member(3)], "wanted": None}),
        (
            "gone for good",
            {
                "members": FOUR,
                "connected": [member(2), member(3)],
                "after_ms": SILENT_MS,
                "wanted": {1, 2, 3},
            },
        ),
        (
            "gone, and too few to spare",
            {"connected": [member(2)], "after_ms": SILENT_MS, "wanted": None},
        ),
        (
            "leadership is handed over",
            {
                "connected": [member(2), member(9, host="10.0.0.3")],
                "node": {"transferring": True},
                "wanted": None,
            },
        ),
    ]
    members = THREE
    node = {}
    after_ms = 100

    def test_step(self):
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=self.members, **self.node)
        connected = {replica.identity: replica for replica in self.connected}
        record = reconciler.step(node, connected, 0)
        record = reconciler.step(node, connected, self.after_ms) or record
        found = {replica.identity for replica in record.replicas} if record else None
        self.assertEqual(self.wanted, found)

    def test_back_in_time(self):
        """A member that is heard again starts anew."""
        reconciler = ReplicaReconciler(tolerated_losses=1)
        node = FakeNode(members=FOUR)
        some = {2: member(2), 3: member(3)}
        reconciler.step(node, some, 0)
        reconciler.step(node, {**some, 4: member(4)}, SILENT_MS - 1)
        self.assertIsNone(reconciler.step(node, some, SILENT_MS))
