"""knapweeddeal.consensusready: The output of one step of a consensus node."""

from knapweeddeal.record import Record

__all__ = ["Envelope", "ReadReady", "Ready"]


class Envelope(Record):
    """Address a message to a replica by its identity."""

    __slots__ = ("message", "to")


class ReadReady(Record):
    """Report that a read is confirmed at `index`, or failed if `index` is 0."""

    __slots__ = ("index", "read_id")


class Ready:
    """Hold what the embedder has to do after a step.

    The embedder may send `before_sync` at once. It syncs `records`, `state` and
    `snapshot` before it sends `after_sync` and applies `committed`. `snapshot` came
    from the leader and replaces the whole replicated state.
    """

    __slots__ = (
        "committed",
        "before_sync",
        "after_sync",
        "reads",
        "records",
        "snapshot",
        "state",
    )

    def __init__(self):
        self.state = None
        self.snapshot = None
        self.records = []
        self.before_sync = []
        self.after_sync = []
        self.committed = []
        self.reads = []

    def __bool__(self):
        """Return whether there is anything to do."""
        return any(getattr(self, name) for name in self.__slots__)

    def size_to_apply_bytes(self):
        """Return the size of the snapshot and of the commands to apply."""
        snapshot_bytes = len(self.snapshot.data) if self.snapshot else 0
        return snapshot_bytes + sum(len(record.command) for record in self.committed)

    def must_persist(self):
        """Return whether there is anything to sync."""
        return bool(self.state or self.snapshot or self.records)
