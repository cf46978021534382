"""knapweeddeal.packetevents: Events for the task that serves forwarders."""

from knapweeddeal.record import Record

__all__ = [
    "ForwarderDisconnected",
    "ForwarderMessageReceived",
    "ForwarderSubscribed",
    "ReplicaMessageReceived",
    "ReplicatedStateChanged",
    "UpstreamDeparted",
    "UpstreamReported",
]


class UpstreamReported(Record):
    """Carry an upstream's report; `reply` receives True once it may be confirmed."""

    __slots__ = ("reply", "state")


class UpstreamDeparted(Record):
    """Carry an upstream's departure; `reply` receives whether to confirm it.

    `born_ms` and `sequence` are None if they aren't known. `born_ms` is named by the
    departure or by the last report of the upstream over its connection.
    """

    __slots__ = ("born_ms", "reply", "sequence", "upstream_id")


class ForwarderSubscribed(Record):
    """Signal that a forwarder subscribed."""

    __slots__ = ("hello", "outbox")


class ForwarderMessageReceived(Record):
    """Carry a forwarder's message: heartbeat, request counts or request for routes."""

    __slots__ = ("message", "outbox")


class ForwarderDisconnected(Record):
    """Signal that a forwarder's stream ended."""

    __slots__ = ("outbox",)


class ReplicaMessageReceived(Record):
    """Carry the state of a replica, its request for routes, or routes for this one."""

    __slots__ = ("message", "sender")


class ReplicatedStateChanged(Record):
    """Carry routes, evacuations and members of the log; `current`: it has a leader."""

    __slots__ = ("configuration", "current", "evacuations", "replicas")
