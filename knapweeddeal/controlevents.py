"""knapweeddeal.controlevents: Events sent to the core of a control replica."""

from knapweeddeal.record import Record

__all__ = [
    "CommandsExecuted",
    "EntryRequest",
    "EntryFlows",
    "EntryGone",
    "OperatorRequest",
    "PeerMessage",
    "SeedsChanged",
    "StopRequest",
]


class PeerMessage(Record):
    """Carry a message from another replica, with the sender's cluster."""

    __slots__ = ("cluster", "message", "sender")


class OperatorRequest(Record):
    """Carry an operator's request and the queue for its answer."""

    __slots__ = ("message", "reply")


class EntryRequest(Record):
    """Carry an entry's configuration request and the outbox for pushes to it."""

    __slots__ = ("message", "outbox")


class EntryFlows(Record):
    """Carry an entry's flow counts."""

    __slots__ = ("message",)


class EntryGone(Record):
    """Report that an entry's stream ended."""

    __slots__ = ("outbox",)


class StopRequest(Record):
    """Request a planned stop."""

    __slots__ = ()


class CommandsExecuted(Record):
    """Report the answers to the commands of a Ready, or what `error` was raised."""

    __slots__ = ("answers", "error", "ready")


class SeedsChanged(Record):
    """Report the new seed addresses of the control replicas."""

    __slots__ = ("addresses",)
