"""tests.test_clusterbootstrap: Tests of the first membership of a cluster."""

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
    """Return the state that a replica reports."""
    return ReplicaState(
        replica=replica(name, identity), cluster=cluster, listed=list(listed)
    )


class Bootstrap(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only the first listed replica bootstraps, and only if all listed ones are empty.

    Otherwise a replica that lost its folder could start a second cluster.
    """

    scenarios = [
        (
            name,
            {
                "own": own,
                "states": states,
                "disconnected": disconnected,
                "bootstraps": bootstraps,
            },
        )
        for name, own, states, disconnected, bootstraps in (
            ("all empty", "a", [state("b", 2), state("c", 3)], [], True),
            ("not the first listed", "b", [state("a", 2), state("c", 3)], [], False),
            ("one never connected", "a", [state("b", 2)], [], False),
            ("one disconnected", "a", [state("b", 2), state("c", 3)], [3], False),
            (
                "one belongs to a cluster",
                "a",
                [state("b", 2), state("c", 3, cluster=9)],
                [],
                False,
            ),
            (
                "an unlisted replica belongs to a cluster",
                "a",
                [state("b", 2), state("c", 3), state("d", 4, cluster=9)],
                [],
                False,
            ),
            (
                "one has a different list",
                "a",
                [state("b", 2), state("c", 3, listed=["a", "c"])],
                [],
                False,
            ),
            (
                "two replicas with one name",
                "a",
                [state("b", 2), state("c", 3), state("c", 4)],
                [],
                False,
            ),
            ("not listed", "0", [state(n, i) for i, n in enumerate(NAMES)], [], False),
        )
    ]

    def test_initial_membership(self):
        bootstrap = ClusterBootstrap(own_replica=replica(self.own, 1), listed=NAMES)
        for reported in self.states:
            bootstrap.record_state(reported)
        for identity in self.disconnected:
            bootstrap.remove_replica(identity)
        initial = bootstrap.initial_membership()
        self.assertEqual(self.bootstraps, initial is not None)
        if initial:
            self.assertEqual(NAMES, [member.name for member in initial.replicas])


class ClusterId(testtools.TestCase):
    """The cluster id depends on the identities of the members, not on their order."""

    def test_id(self):
        one = cluster_id_for([replica("a", 1), replica("b", 2)])
        self.assertEqual(one, cluster_id_for([replica("b", 2), replica("a", 1)]))
        self.assertNotEqual(one, cluster_id_for([replica("a", 1), replica("b", 3)]))
        self.assertNotEqual(0, one)
