"""tests.test_clusterbootstrap: Tests of how a first membership comes about."""

import testscenarios
import testtools

from knapweeddeal.clusterbootstrap import ClusterBootstrap, cluster_id_for
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.replication import ReplicaState

NAMES = ["a", "b", "c"]


def replica(name, identity):
    """Return a replica."""
    return Replica(name=name, identity=identity, host="127.0.0.1", port=1)


def state(name, identity, *, cluster=0, listed=NAMES):
    """Return what a replica tells of itself."""
    return ReplicaState(
        replica=replica(name, identity), cluster=cluster, listed=list(listed)
    )


class Founding(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only the first name founds, and only when all others are empty."""

    scenarios = [
        (name, {"own": own, "heard": heard, "gone": gone, "founds": founds})
        for name, own, heard, gone, founds in (
            ("all empty", "a", [state("b", 2), state("c", 3)], [], True),
            ("not the first", "b", [state("a", 2), state("c", 3)], [], False),
            ("one unheard", "a", [state("b", 2)], [], False),
            ("one went", "a", [state("b", 2), state("c", 3)], [3], False),
            (
                "one belongs to a group",
                "a",
                [state("b", 2), state("c", 3, cluster=9)],
                [],
                False,
            ),
            (
                "a stranger belongs to a group",
                "a",
                [state("b", 2), state("c", 3), state("d", 4, cluster=9)],
                [],
                False,
            ),
            (
                "other list",
                "a",
                [state("b", 2), state("c", 3, listed=["a", "c"])],
                [],
                False,
            ),
            (
                "two of one name",
                "a",
                [state("b", 2), state("c", 3), state("c", 4)],
                [],
                False,
            ),
            ("not listed", "0", [state(n, i) for i, n in enumerate(NAMES)], [], False),
        )
    ]

    def test_founding(self):
        bootstrap = ClusterBootstrap(own=replica(self.own, 1), listed=NAMES)
        for heard in self.heard:
            bootstrap.record_state(heard)
        for identity in self.gone:
            bootstrap.remove_replica(identity)
        initial = bootstrap.initial_membership()
        self.assertEqual(self.founds, initial is not None)
        if initial:
            self.assertEqual(NAMES, [found.name for found in initial.replicas])


class Cluster(testtools.TestCase):
    """The group's id belongs to its founders' identities."""

    def test_id(self):
        one = cluster_id_for([replica("a", 1), replica("b", 2)])
        self.assertEqual(one, cluster_id_for([replica("b", 2), replica("a", 1)]))
        self.assertNotEqual(one, cluster_id_for([replica("a", 1), replica("b", 3)]))
        self.assertNotEqual(0, one)
