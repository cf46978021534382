"""knapweeddeal.actions: Actions that an entry's core returns for the event loop."""

from knapweeddeal.record import Record

__all__ = [
    "Address",
    "Dial",
    "ToCaller",
    "ToControl",
    "ToPeer",
    "ToStream",
    "ToUpstream",
    "UpstreamKey",
]


class Address(Record):
    """Hold a host and a port."""

    __slots__ = ("host", "port")


class UpstreamKey(Record):
    """Identify one incarnation of an upstream of a service."""

    __slots__ = ("service", "upstream_id", "incarnation")


class ToCaller(Record):
    """Send a datagram from a service's address."""

    __slots__ = ("service", "caller", "message")


class ToUpstream(Record):
    """Send a message on an upstream's stream, or report it undeliverable."""

    __slots__ = ("key", "message")


class Dial(Record):
    """Open the stream to an upstream."""

    __slots__ = ("key", "address")


class ToPeer(Record):
    """Send a message to another entry, or report it undeliverable."""

    __slots__ = ("address", "message")


class ToStream(Record):
    """Send a message on a stream that a peer opened."""

    __slots__ = ("stream", "message")


class ToControl(Record):
    """Send a message to a control replica."""

    __slots__ = ("message",)
