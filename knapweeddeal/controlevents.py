"""knapweeddeal.controlevents: What the tasks of a control replica tell its core."""

from knapweeddeal.record import Record

__all__ = [
    "EntryAsk",
    "EntryGone",
    "EntryImpact",
    "OperatorAsk",
    "PeerMessage",
    "StopAsk",
]


class PeerMessage(Record):
    """Carry a message from another replica, and the group that it belongs to."""

    __slots__ = ("cluster", "message", "sender")


class OperatorAsk(Record):
    """Carry an operator's ask and the queue for its answer."""

    __slots__ = ("message", "reply")


class EntryAsk(Record):
    """Carry what an entry applied, and the outbox for pushes to it."""

    __slots__ = ("message", "outbox")


class EntryImpact(Record):
    """Carry what an entry tells of a plan's effect."""

    __slots__ = ("message", "outbox")


class EntryGone(Record):
    """Tell that an entry's stream ended."""

    __slots__ = ("outbox",)


class StopAsk(Record):
    """Ask for a planned stop."""

    __slots__ = ()
