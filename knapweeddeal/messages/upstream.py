"""knapweeddeal.messages.upstream: Announcements of upstreams, and their streams."""

from knapweeddeal.messages.base import Blob, Flag, Integer, Message, OneOf
from knapweeddeal.messages.caller import BODY, REASON, REQUEST_NUMBER, SERVICE
from knapweeddeal.messages.fields import HOST, NAME, PORT

__all__ = [
    "JOINING",
    "LEAVING",
    "READY",
    "Announce",
    "FlowAccepted",
    "FlowClose",
    "FlowOpen",
    "FlowShed",
    "FlowTouch",
    "Heartbeat",
    "StreamHello",
    "StreamWelcome",
    "UpstreamPush",
    "Work",
    "WorkAnswer",
    "WorkCancel",
    "WorkCancelled",
    "WorkShed",
]

JOINING = "joining"
READY = "ready"
LEAVING = "leaving"

#: Largest complete answer of an upstream.
MAX_ANSWER_BYTES = 256 * 1024

COUNT = Integer(maximum=1_000_000)


class Announce(Message):
    """Announce an upstream; the higher sequence of one incarnation wins."""

    tag = 20
    schema = {
        "upstream_id": NAME,
        "incarnation": Integer(),
        "sequence": Integer(),
        "zone": NAME,
        "service": SERVICE,
        "host": HOST,
        "port": PORT,
        "health_port": PORT,
        "slots": Integer(minimum=1, maximum=100_000),
        "max_connections": Integer(minimum=1, maximum=10_000_000),
        "state": OneOf(JOINING, READY, LEAVING),
        "drain_ms": Integer(),
    }
    __slots__ = tuple(schema)


class StreamHello(Message):
    """Open an entry's stream to an upstream; identify both ends."""

    tag = 21
    schema = {
        "service": SERVICE,
        "upstream_id": NAME,
        "upstream_incarnation": Integer(),
        "entry_id": NAME,
        "entry_incarnation": Integer(),
    }
    __slots__ = tuple(schema)


class StreamWelcome(Message):
    """Answer a stream hello with the upstream's own identity."""

    tag = 22
    schema = {
        "service": SERVICE,
        "upstream_id": NAME,
        "upstream_incarnation": Integer(),
    }
    __slots__ = tuple(schema)


class FlowOpen(Message):
    """Offer a flow to an upstream; safe to retry."""

    tag = 23
    schema = {"flow_id": Integer(), "caller_host": HOST, "caller_port": PORT}
    __slots__ = tuple(schema)


class FlowAccepted(Message):
    """Accept a flow and report the upstream's load."""

    tag = 24
    schema = {"flow_id": Integer(), "outstanding": COUNT, "connections": COUNT}
    __slots__ = tuple(schema)


class FlowShed(Message):
    """Reject a flow and report the upstream's load."""

    tag = 25
    schema = {
        "flow_id": Integer(),
        "reason": REASON,
        "outstanding": COUNT,
        "connections": COUNT,
    }
    __slots__ = tuple(schema)


class Work(Message):
    """Forward one request to an upstream."""

    tag = 26
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
        "idempotent": Flag(),
        "deadline_ms": Integer(),
        "caller_host": HOST,
        "caller_port": PORT,
        "body": BODY,
    }
    __slots__ = tuple(schema)


class WorkAnswer(Message):
    """Carry a complete answer and report the upstream's load."""

    tag = 27
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
        "body": Blob(max_bytes=MAX_ANSWER_BYTES),
        "outstanding": COUNT,
        "connections": COUNT,
    }
    __slots__ = tuple(schema)


class WorkShed(Message):
    """Report that a request did not run and never will."""

    tag = 28
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
        "reason": REASON,
        "outstanding": COUNT,
        "connections": COUNT,
    }
    __slots__ = tuple(schema)


class WorkCancel(Message):
    """Cancel a request that has not started, also one that has not arrived yet."""

    tag = 29
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
    }
    __slots__ = tuple(schema)


class WorkCancelled(Message):
    """Answer a cancellation; if `stands`, the request did not run and never will."""

    tag = 30
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
        "stands": Flag(),
    }
    __slots__ = tuple(schema)


class UpstreamPush(Message):
    """Carry a push to the caller's last known address."""

    tag = 31
    schema = {
        "flow_id": Integer(),
        "sequence": Integer(),
        "caller_host": HOST,
        "caller_port": PORT,
        "body": BODY,
    }
    __slots__ = tuple(schema)


class Heartbeat(Message):
    """Show that the sender of a stream is alive."""

    tag = 32
    schema = {}
    __slots__ = ()


class FlowTouch(Message):
    """Keep a flow alive at an upstream and report the caller's address."""

    tag = 33
    schema = {"flow_id": Integer(), "caller_host": HOST, "caller_port": PORT}
    __slots__ = tuple(schema)


class FlowClose(Message):
    """Notify an upstream that a flow ended or moved away."""

    tag = 34
    schema = {"flow_id": Integer()}
    __slots__ = tuple(schema)
