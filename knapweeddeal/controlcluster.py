"""knapweeddeal.controlcluster: The cluster of replicas that a folder belongs to."""

from knapweeddeal.clusterbootstrap import ClusterBootstrap, cluster_id_for
from knapweeddeal.consensuslog import unpack_membership
from knapweeddeal.disk import retry_until_done
from knapweeddeal.logs import Log
from knapweeddeal.messages.replication import InitialMembership, ReplicaState

__all__ = ["ControlCluster"]

log = Log(prefix="control")


class ControlCluster:
    """Bind a folder to one cluster for good, and keep the links to its replicas."""

    __slots__ = (
        "_folder",
        "_bootstrap",
        "_listed",
        "_node",
        "_outboxes",
        "_own",
        "_states",
    )

    def __init__(self, *, own, node, folder, listed):
        self._own = own
        self._node = node
        self._folder = folder
        self._listed = sorted(listed)
        self._bootstrap = ClusterBootstrap(own=own, listed=listed)
        #: Outboxes and last states of the linked replicas, by identity.
        self._outboxes = {}
        self._states = {}

    # Queries.

    @property
    def cluster(self):
        """Return the cluster that the folder belongs to, or 0."""
        return self._folder.cluster

    def state_message(self):
        """Return what this replica tells others of itself."""
        return ReplicaState(
            replica=self._own, cluster=self.cluster, listed=self._listed
        )

    def is_foreign(self, cluster):
        """Tell whether a replica's cluster is another one than this."""
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
        """Use a link to a replica."""
        identity = event.state.replica.identity
        self._outboxes[identity] = event.outbox
        self._states[identity] = event.state
        self._bootstrap.record_state(event.state)

    def link_down(self, identity):
        """Stop using the link to a replica."""
        del self._outboxes[identity]
        del self._states[identity]
        self._bootstrap.remove_replica(identity)

    def bind(self):
        """Derive the cluster's id if a crash came between record and id."""
        if not self.cluster and self._folder.records:
            membership = unpack_membership(self._folder.records[0])
            self._folder.set_cluster(cluster_id_for(membership.replicas))

    def bootstrap_if_ready(self):
        """Write the first membership if it is this replica's turn."""
        if not self._is_empty():
            return
        initial = self._bootstrap.initial_membership()
        if initial is not None:
            log.info("founds a group", cluster=f"{initial.cluster:016x}")
            self._node.bootstrap(initial.replicas)

    def accept_initial_membership(self, initial):
        """Take the first membership if this folder is empty and named in it."""
        if self._is_empty() and self._own in initial.replicas:
            self._node.bootstrap(initial.replicas)

    async def join(self, cluster):
        """Bind an empty folder to the cluster whose leader sends it records."""
        if cluster and not self.cluster:
            await retry_until_done(self._folder.set_cluster, cluster)

    async def bind_after_bootstrap(self):
        """Bind the folder to its cluster after the first record was synced."""
        node = self._node
        if self.cluster or not node.log.last_index or node.log.base_index:
            return
        founders = node.log.replicas_at(1)
        await retry_until_done(self._folder.set_cluster, cluster_id_for(founders))
        for outbox in self._outboxes.values():
            await outbox.offer(self.state_message())
        for state in list(self._states.values()):
            await self.send_initial_membership(state)

    async def send_initial_membership(self, state):
        """Send the first membership to a founder that has none yet."""
        node = self._node
        if state.cluster or not self.cluster or node.log.base_index:
            return
        founders = list(node.log.replicas_at(1))
        outbox = self.outbox(state.replica.identity)
        if outbox is not None and state.replica in founders:
            initial = InitialMembership(cluster=self.cluster, replicas=founders)
            await outbox.offer(initial)

    def _is_empty(self):
        return not self.cluster and not self._node.log.last_index
