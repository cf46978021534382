"""knapweeddeal.clusterbootstrap: How empty replicas agree on a first membership."""

import hashlib

from knapweeddeal.messages.replication import InitialMembership

__all__ = ["ClusterBootstrap", "cluster_id_for"]


def cluster_id_for(replicas):
    """Return the id of the group that a first membership founds."""
    identities = sorted(replica.identity for replica in replicas)
    text = ",".join(map(str, identities))
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") | 1


class ClusterBootstrap:
    """Decide when the first membership may be written.

    Only the first listed name founds, and only while it hears from every listed
    replica that its folder is empty too. One that lost its folder later hears from
    the others that they belong to a group, or doesn't hear from all.
    """

    __slots__ = ("_heard", "_listed", "_own")

    def __init__(self, *, own, listed):
        self._own = own
        self._listed = sorted(listed)
        self._heard = {}

    def record_state(self, state):
        """Note what a replica said over a stream that is open."""
        self._heard[state.replica.identity] = state

    def remove_replica(self, identity):
        """Forget a replica whose stream ended."""
        self._heard.pop(identity, None)

    def initial_membership(self):
        """Return the InitialMembership if this replica may write it now, else None."""
        if not self._listed or self._own.name != self._listed[0]:
            return None
        replicas = [self._own]
        for name in self._listed[1:]:
            states = [s for s in self._heard.values() if s.replica.name == name]
            if len(states) != 1 or sorted(states[0].listed) != self._listed:
                return None
            replicas.append(states[0].replica)
        if any(state.cluster for state in self._heard.values()):
            return None
        return InitialMembership(cluster=cluster_id_for(replicas), replicas=replicas)
