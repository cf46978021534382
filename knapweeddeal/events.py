"""knapweeddeal.events: Events that an entry's tasks put in its inboxes."""

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
    """Report a datagram that was received on a service's address."""

    __slots__ = ("service", "caller", "data")


class UpstreamUp(Record):
    """Report that the stream to an upstream is open."""

    __slots__ = ("key",)


class UpstreamDown(Record):
    """Report that the stream to an upstream broke or couldn't be opened."""

    __slots__ = ("key",)


class UpstreamMessage(Record):
    """Report a message received on an upstream's stream."""

    __slots__ = ("key", "message")


class Peer(Record):
    """Identify the process that sent a message, and the stream for an answer."""

    __slots__ = ("name", "incarnation", "stream")


class PeerMessage(Record):
    """Report a message from another entry or a control replica.

    `peer` is None if the message came on a stream that this entry opened.
    """

    __slots__ = ("message", "peer")


class Undeliverable(Record):
    """Report that a message wasn't delivered to another entry."""

    __slots__ = ("address", "message")


class PeerUp(Record):
    """Report that another entry answered on a new stream."""

    __slots__ = ("address",)


class PeerDown(Record):
    """Report that another entry couldn't be reached or stopped answering."""

    __slots__ = ("address",)


class ReloadRequested(Record):
    """Request that the settings are read again."""

    __slots__ = ()


class StopRequested(Record):
    """Request a planned stop of the process."""

    __slots__ = ()


class AnnounceReceived(Record):
    """Report an announcement received from an upstream."""

    __slots__ = ("announce",)


class HealthPolled(Record):
    """Report the result of polling an upstream: its health, or None on failure."""

    __slots__ = ("health", "name")


class MemberDatagram(Record):
    """Report a datagram from another entry."""

    __slots__ = ("source", "data")


class MembersUpdated(Record):
    """Report the live entries: their names by zone and their addresses."""

    __slots__ = ("addresses", "names_by_zone")


class MemberLost(Record):
    """Report that another entry left as planned or failed."""

    __slots__ = ("incarnation", "name", "planned")


class RegistrarAnswered(Record):
    """Report a registrar's lease or directory changes."""

    __slots__ = ("message", "name")


class NoteDelivered(Record):
    """Report an item that an entry broadcasts to all others."""

    __slots__ = ("body", "topic")


class VersionReceived(Record):
    """Report the configuration version that another entry applies."""

    __slots__ = ("address", "name", "version")


class VersionApplied(Record):
    """Report that this entry has applied a configuration version."""

    __slots__ = ("version",)


class ConfigurationReceived(Record):
    """Report a confirmed configuration."""

    __slots__ = ("configuration",)


class ControlMessage(Record):
    """Report a message from a control replica."""

    __slots__ = ("message",)


class ControlUp(Record):
    """Report that a stream to a control replica is open."""

    __slots__ = ()


class Tick(Record):
    """Report that the tick interval has passed."""

    __slots__ = ()
