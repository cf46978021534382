"""knapweeddeal.messages.upstream: Announcements and streams of upstreams."""

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

#: Largest whole answer of an upstream.
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
    """Open an entry's stream: name whom it is for and whom it is from."""

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
    """Answer a stream hello with the upstream's own names."""

    tag = 22
    schema = {
        "service": SERVICE,
        "upstream_id": NAME,
        "upstream_incarnation": Integer(),
    }
    __slots__ = tuple(schema)


class FlowOpen(Message):
    """Ask an upstream to take a flow; may be repeated."""

    tag = 23
    schema = {"flow_id": Integer(), "caller_host": HOST, "caller_port": PORT}
    __slots__ = tuple(schema)


class FlowAccepted(Message):
    """Take a flow and report the load."""

    tag = 24
    schema = {"flow_id": Integer(), "outstanding": COUNT, "connections": COUNT}
    __slots__ = tuple(schema)


class FlowShed(Message):
    """Turn a flow away and report the load."""

    tag = 25
    schema = {
        "flow_id": Integer(),
        "reason": REASON,
        "outstanding": COUNT,
        "connections": COUNT,
    }
    __slots__ = tuple(schema)


class Work(Message):
    """Forward one request."""

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
    """Carry a whole answer and report the load."""

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
    """Say that a request didn't run and never will."""

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
    """Ask that a request doesn't run, now or later."""

    tag = 29
    schema = {
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "number": REQUEST_NUMBER,
    }
    __slots__ = tuple(schema)


class WorkCancelled(Message):
    """Answer a cancellation; it stands for good if `stands` is true."""

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
    """Tell an upstream that a flow lives and where its caller is."""

    tag = 33
    schema = {"flow_id": Integer(), "caller_host": HOST, "caller_port": PORT}
    __slots__ = tuple(schema)


class FlowClose(Message):
    """Tell an upstream that a flow ended or moved away."""

    tag = 34
    schema = {"flow_id": Integer()}
    __slots__ = tuple(schema)
