"""knapweeddeal.clusterbootstrap: The first membership of a new cluster."""

import hashlib

from knapweeddeal.messages.replication import InitialMembership

__all__ = ["ClusterBootstrap", "cluster_id_for"]


def cluster_id_for(replicas):
    """Return the cluster id derived from the first membership."""
    identities = sorted(replica.identity for replica in replicas)
    text = ",".join(map(str, identities))
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") | 1


class ClusterBootstrap:
    """Decide when the first membership may be written.

    Only the replica with the first listed name writes it, and only while every listed
    replica is connected and reports an empty folder too. So a replica that loses its
    folder later can't start a second cluster: the others report that they belong to a
    cluster, or not all of them are connected.
    """

    __slots__ = ("_states", "_listed", "_own_replica")

    def __init__(self, *, own_replica, listed):
        self._own_replica = own_replica
        self._listed = sorted(listed)
        self._states = {}

    def record_state(self, state):
        """Record the state that a connected replica reported."""
        self._states[state.replica.identity] = state

    def remove_replica(self, identity):
        """Remove a replica whose stream ended."""
        self._states.pop(identity, None)

    def initial_membership(self):
        """Return the InitialMembership if this replica may write it now, else None."""
        if not self._listed or self._own_replica.name != self._listed[0]:
            return None
        replicas = [self._own_replica]
        for name in self._listed[1:]:
            states = [s for s in self._states.values() if s.replica.name == name]
            if len(states) != 1 or sorted(states[0].listed) != self._listed:
                return None
            replicas.append(states[0].replica)
        if any(state.cluster for state in self._states.values()):
            return None
        return InitialMembership(cluster=cluster_id_for(replicas), replicas=replicas)
