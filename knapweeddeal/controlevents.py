"""knapweeddeal.controlevents: What the tasks of a control replica tell its core."""

from knapweeddeal.record import Record

__all__ = [
    "EntryRequest",
    "EntryFlows",
    "EntryGone",
    "OperatorRequest",
    "PeerMessage",
    "SeedsChanged",
    "StopRequest",
]


class PeerMessage(Record):
    """Carry a message from another replica, and the cluster that it belongs to."""

    __slots__ = ("cluster", "message", "sender")


class OperatorRequest(Record):
    """Carry an operator's ask and the queue for its answer."""

    __slots__ = ("message", "reply")


class EntryRequest(Record):
    """Carry what an entry applied, and the outbox for pushes to it."""

    __slots__ = ("message", "outbox")


class EntryFlows(Record):
    """Carry an entry's report of the flows that it owns."""

    __slots__ = ("message",)


class EntryGone(Record):
    """Tell that an entry's stream ended."""

    __slots__ = ("outbox",)


class StopRequest(Record):
    """Ask for a planned stop."""

    __slots__ = ()


class SeedsChanged(Record):
    """Tell where replicas may be found from now on."""

    __slots__ = ("addresses",)
