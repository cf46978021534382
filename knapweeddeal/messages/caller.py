"""knapweeddeal.messages.caller: Datagrams between callers and entries."""

from knapweeddeal.messages.base import Blob, Flag, Integer, Message, OneOf, Text

__all__ = [
    "NOT_RUN",
    "RESEND",
    "UNKNOWN",
    "AnswerPart",
    "Cancel",
    "Close",
    "KeepAlive",
    "KeepAliveAck",
    "TicketUpdate",
    "Open",
    "OpenRefused",
    "Opened",
    "Outcome",
    "Push",
    "Renew",
    "Request",
]

#: The request did not run and never will.
NOT_RUN = "not_run"
#: The request may or may not have run.
UNKNOWN = "unknown"
#: The outcome is still open; the caller may send the same request again.
RESEND = "resend"

#: Largest body of one datagram.
MAX_BODY_BYTES = 1200
MAX_TICKET_BYTES = 512

SERVICE = Text(max_chars=64)
TICKET = Blob(max_bytes=MAX_TICKET_BYTES)
BODY = Blob(max_bytes=MAX_BODY_BYTES)
REASON = Text(max_chars=64)
#: Request numbers start at 1 and increase over a flow's life, also across tickets.
REQUEST_NUMBER = Integer(minimum=1)


class Open(Message):
    """Request a flow; safe to retry, as it carries no work."""

    tag = 1
    schema = {"service": SERVICE, "nonce": Integer(), "deadline_ms": Integer()}
    __slots__ = tuple(schema)


class Opened(Message):
    """Confirm an open to the caller, with its flow id and ticket."""

    tag = 2
    schema = {
        "service": SERVICE,
        "nonce": Integer(),
        "flow_id": Integer(),
        "ticket": TICKET,
    }
    __slots__ = tuple(schema)


class OpenRefused(Message):
    """Refuse to open a flow."""

    tag = 3
    schema = {"service": SERVICE, "nonce": Integer(), "reason": REASON}
    __slots__ = tuple(schema)


class Request(Message):
    """Carry one numbered request; all below `floor` have an outcome."""

    tag = 4
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "ticket": TICKET,
        "number": REQUEST_NUMBER,
        "floor": Integer(),
        "attempt": Integer(),
        "idempotent": Flag(),
        "deadline_ms": Integer(),
        "body": BODY,
    }
    __slots__ = tuple(schema)


class AnswerPart(Message):
    """Carry one part of an answer; parts count from 0."""

    tag = 5
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "number": REQUEST_NUMBER,
        "part": Integer(),
        "parts": Integer(minimum=1),
        "body": BODY,
    }
    __slots__ = tuple(schema)


class Outcome(Message):
    """Report the outcome of a request without an answer, or request a resend."""

    tag = 6
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "number": REQUEST_NUMBER,
        "kind": OneOf(NOT_RUN, UNKNOWN, RESEND),
        "reason": REASON,
    }
    __slots__ = tuple(schema)


class Cancel(Message):
    """Cancel a request, with the ticket that the request was sent with."""

    tag = 7
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "ticket": TICKET,
        "number": REQUEST_NUMBER,
    }
    __slots__ = tuple(schema)


class KeepAlive(Message):
    """Keep a flow alive and report its caller's current address."""

    tag = 8
    schema = {"service": SERVICE, "flow_id": Integer(), "ticket": TICKET}
    __slots__ = tuple(schema)


class KeepAliveAck(Message):
    """Acknowledge a keep-alive."""

    tag = 9
    schema = {"service": SERVICE, "flow_id": Integer()}
    __slots__ = tuple(schema)


class Push(Message):
    """Carry a message that an upstream sends without a request."""

    tag = 10
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "sequence": Integer(),
        "body": BODY,
    }
    __slots__ = tuple(schema)


class TicketUpdate(Message):
    """Give a flow a new ticket, for its next requests."""

    tag = 11
    schema = {"service": SERVICE, "flow_id": Integer(), "ticket": TICKET}
    __slots__ = tuple(schema)


class Renew(Message):
    """Request a new ticket because the owner does not answer."""

    tag = 12
    schema = {"service": SERVICE, "flow_id": Integer(), "ticket": TICKET}
    __slots__ = tuple(schema)


class Close(Message):
    """End a flow."""

    tag = 13
    schema = {"service": SERVICE, "flow_id": Integer(), "ticket": TICKET}
    __slots__ = tuple(schema)
