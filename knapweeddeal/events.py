"""knapweeddeal.events: What the tasks of an entry tell its deciding task."""

from knapweeddeal.record import Record

__all__ = [
    "AnnounceCame",
    "CallerDatagram",
    "ConfigurationCame",
    "PeerMessage",
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


class PeerMessage(Record):
    """Tell of a message of another entry or a control replica."""

    __slots__ = ("message",)


class Undeliverable(Record):
    """Tell that a message didn't reach another entry."""

    __slots__ = ("message",)


class AnnounceCame(Record):
    """Tell of an announcement; `direct` if the upstream itself sent it here."""

    __slots__ = ("announce", "direct")


class ConfigurationCame(Record):
    """Tell of a confirmed configuration."""

    __slots__ = ("configuration",)


class Tick(Record):
    """Tell that time passed."""

    __slots__ = ()
