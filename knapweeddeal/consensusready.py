"""knapweeddeal.consensusready: What a consensus node asks its embedder to do."""

from knapweeddeal.record import Record

__all__ = ["Envelope", "ReadReady", "Ready"]


class Envelope(Record):
    """Address a message to a replica by its identity."""

    __slots__ = ("message", "to")


class ReadReady(Record):
    """Tell that a read may be answered, or, with `index` 0, that it failed."""

    __slots__ = ("index", "read_id")


class Ready:
    """Hold what the embedder has to do after a step.

    `records` and `state` and `snapshot` are to be synced before `after_sync` is sent
    and before `committed` is applied; `before_sync` may be sent at once. A snapshot was
    received from the leader and replaces the whole replicated state.
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
        """Tell whether there is anything to do."""
        return any(getattr(self, name) for name in self.__slots__)

    def must_persist(self):
        """Tell whether there is anything to sync."""
        return bool(self.state or self.snapshot or self.records)
