"""knapweeddeal.controlcluster: The cluster of replicas a folder belongs to."""

from knapweeddeal.clusterbootstrap import ClusterBootstrap, cluster_id_for
from knapweeddeal.consensuslog import unpack_membership
from knapweeddeal.disk import retry_until_done
from knapweeddeal.logs import Log
from knapweeddeal.messages.replication import InitialMembership, ReplicaState

__all__ = ["ControlCluster"]

log = Log(prefix="control")


class ControlCluster:
    """Bind a folder permanently to one cluster; keep the links to its replicas."""

    __slots__ = (
        "_folder",
        "_bootstrap",
        "_listed",
        "_node",
        "_outboxes",
        "_own_replica",
        "_states",
    )

    def __init__(self, *, own_replica, node, folder, listed):
        self._own_replica = own_replica
        self._node = node
        self._folder = folder
        self._listed = sorted(listed)
        self._bootstrap = ClusterBootstrap(own_replica=own_replica, listed=listed)
        #: Outboxes and last reported states of the linked replicas, by identity.
        self._outboxes = {}
        self._states = {}

    # Queries.

    @property
    def cluster(self):
        """Return the id of the folder's cluster, or 0 if it has none."""
        return self._folder.cluster

    def state_message(self):
        """Return the ReplicaState that this replica sends to others."""
        return ReplicaState(
            replica=self._own_replica, cluster=self.cluster, listed=self._listed
        )

    def is_foreign(self, cluster):
        """Return whether both cluster ids are set and differ."""
        own = self.cluster
        return bool(own and cluster and own != cluster)

    def outbox(self, identity):
        """Return the outbox to a replica, or None."""
        return self._outboxes.get(identity)

    def outboxes(self):
        """Return the outboxes to all linked replicas."""
        return self._outboxes.values()

    # Commands.

    def link_up(self, event):
        """Add the link to a replica that connected."""
        identity = event.state.replica.identity
        self._outboxes[identity] = event.outbox
        self._states[identity] = event.state
        self._bootstrap.record_state(event.state)

    def link_down(self, identity):
        """Remove the link to a replica."""
        del self._outboxes[identity]
        del self._states[identity]
        self._bootstrap.remove_replica(identity)

    def bind(self):
        """Bind the folder after a crash between its first record and its cluster id."""
        if not self.cluster and self._folder.records:
            membership = unpack_membership(self._folder.records[0])
            self._folder.set_cluster(cluster_id_for(membership.replicas))

    def bootstrap_if_ready(self):
        """Write the first membership if this replica may do so now."""
        if not self._is_uninitialized():
            return
        initial = self._bootstrap.initial_membership()
        if initial is not None:
            log.info("bootstrapped a new cluster", cluster=f"{initial.cluster:016x}")
            self._node.bootstrap(initial.replicas)

    def accept_initial_membership(self, initial):
        """Write a received first membership if it names this empty replica."""
        if self._is_uninitialized() and self._own_replica in initial.replicas:
            self._node.bootstrap(initial.replicas)

    async def join(self, cluster):
        """Bind an unbound folder to the cluster whose leader sends it records."""
        if cluster and not self.cluster:
            await retry_until_done(self._folder.set_cluster, cluster)
            await self._send_state()

    async def bind_after_bootstrap(self):
        """Bind the folder to its cluster after the first record was synced."""
        node = self._node
        if self.cluster or not node.log.last_index or node.log.base_index:
            return
        initial_members = node.log.replicas_at(1)
        await retry_until_done(
            self._folder.set_cluster, cluster_id_for(initial_members)
        )
        await self._send_state()
        for state in list(self._states.values()):
            await self.send_initial_membership(state)

    async def send_initial_membership(self, state):
        """Send the first membership to an initial member that has none yet."""
        node = self._node
        if state.cluster or not self.cluster or node.log.base_index:
            return
        initial_members = list(node.log.replicas_at(1))
        outbox = self.outbox(state.replica.identity)
        if outbox is not None and state.replica in initial_members:
            initial = InitialMembership(cluster=self.cluster, replicas=initial_members)
            await outbox.offer(initial)

    async def _send_state(self):
        """Send the cluster id on the streams that were opened without one.

        The others would go on to ignore what only replicas of their cluster may send.
        """
        for outbox in self._outboxes.values():
            await outbox.offer(self.state_message())

    def _is_uninitialized(self):
        return not self.cluster and not self._node.log.last_index
