"""knapweeddeal.controlevents: What the tasks of a control replica tell its core."""

__all__ = ["EntryAsk", "EntryGone", "OperatorAsk", "PeerMessage", "StopAsk"]


class PeerMessage:
    """Carry a message from another replica, and the group that it belongs to."""

    __slots__ = ("cluster", "message", "sender")

    def __init__(self, *, sender, cluster, message):
        self.sender = sender
        self.cluster = cluster
        self.message = message


class OperatorAsk:
    """Carry an operator's ask and the queue for its answer."""

    __slots__ = ("message", "reply")

    def __init__(self, *, message, reply):
        self.message = message
        self.reply = reply


class EntryAsk:
    """Carry what an entry applied, and the outbox for pushes to it."""

    __slots__ = ("message", "outbox")

    def __init__(self, *, message, outbox):
        self.message = message
        self.outbox = outbox


class EntryGone:
    """Tell that an entry's stream ended."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox):
        self.outbox = outbox


class StopAsk:
    """Ask for a planned stop."""

    __slots__ = ()
