"""knapweeddeal.events: What the tasks of an entry tell its deciding task."""

from knapweeddeal.record import Record

__all__ = [
    "RegistrarAnswered",
    "HealthPolled",
    "MemberDatagram",
    "MemberLost",
    "MembersUpdated",
    "NoteDelivered",
    "VersionApplied",
    "VersionReceived",
    "AnnounceReceived",
    "CallerDatagram",
    "ConfigurationReceived",
    "ControlMessage",
    "ControlUp",
    "Peer",
    "PeerDown",
    "PeerMessage",
    "PeerUp",
    "ReloadRequested",
    "StopRequested",
    "Tick",
    "Undeliverable",
    "UpstreamDown",
    "UpstreamMessage",
    "UpstreamUp",
]


class CallerDatagram(Record):
    """Tell of a datagram that came to a service's address."""

    __slots__ = ("service", "caller", "data")


class UpstreamUp(Record):
    """Tell that the stream to an upstream stands."""

    __slots__ = ("key",)


class UpstreamDown(Record):
    """Tell that the stream to an upstream broke or wasn't opened."""

    __slots__ = ("key",)


class UpstreamMessage(Record):
    """Tell of a message on an upstream's stream."""

    __slots__ = ("key", "message")


class Peer(Record):
    """Name the process that sent a message, and the stream for an answer."""

    __slots__ = ("name", "incarnation", "stream")


class PeerMessage(Record):
    """Tell of a message of another entry or a control replica.

    `peer` is None where the sender is known by the stream that was dialled.
    """

    __slots__ = ("message", "peer")


class Undeliverable(Record):
    """Tell that a message didn't reach another entry."""

    __slots__ = ("address", "message")


class PeerUp(Record):
    """Tell that another entry answered on a new stream."""

    __slots__ = ("address",)


class PeerDown(Record):
    """Tell that another entry couldn't be reached or fell silent."""

    __slots__ = ("address",)


class ReloadRequested(Record):
    """Tell that the settings are to be read again."""

    __slots__ = ()


class StopRequested(Record):
    """Tell that the process is to stop as planned."""

    __slots__ = ()


class AnnounceReceived(Record):
    """Tell of an announcement that an upstream sent here."""

    __slots__ = ("announce",)


class HealthPolled(Record):
    """Tell what a poll of an upstream gave: its health, or None."""

    __slots__ = ("health", "name")


class MemberDatagram(Record):
    """Tell of a datagram of another entry."""

    __slots__ = ("source", "data")


class MembersUpdated(Record):
    """Tell which entries live, by zone, and their addresses."""

    __slots__ = ("addresses", "names_by_zone")


class MemberLost(Record):
    """Tell that another entry left as planned, or died."""

    __slots__ = ("incarnation", "name", "planned")


class RegistrarAnswered(Record):
    """Tell of a registrar's lease or changes."""

    __slots__ = ("message", "name")


class NoteDelivered(Record):
    """Tell of an item that another entry passes to all."""

    __slots__ = ("body", "topic")


class VersionReceived(Record):
    """Tell which version another entry has in force."""

    __slots__ = ("address", "name", "version")


class VersionApplied(Record):
    """Tell that a version is in force here."""

    __slots__ = ("version",)


class ConfigurationReceived(Record):
    """Tell of a confirmed configuration."""

    __slots__ = ("configuration",)


class ControlMessage(Record):
    """Tell of a message of a control replica."""

    __slots__ = ("message",)


class ControlUp(Record):
    """Tell that a stream to a control replica stands."""

    __slots__ = ()


class Tick(Record):
    """Tell that time passed."""

    __slots__ = ()
