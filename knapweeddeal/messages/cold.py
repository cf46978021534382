"""knapweeddeal.messages.cold: Messages on opening packets to cold upstreams."""

from knapweeddeal.messages.base import Integer, Message
from knapweeddeal.messages.fields import NAME

__all__ = [
    "ColdAllowance",
    "ColdAllowanceRelay",
    "ColdAllowanceRelayAnswer",
    "ColdAllowanceRequest",
    "ColdGrantsNotice",
]

COUNT = Integer(maximum=1_000_000)
TIME_MS = Integer(maximum=3_600_000)


class ColdAllowanceRequest(Message):
    """Request permits for opening packets to a cold upstream, as a forwarder."""

    tag = 200
    schema = {"request_id": Integer(), "upstream_id": NAME, "count": COUNT}
    __slots__ = tuple(schema)


class ColdAllowance(Message):
    """Grant permits to a forwarder; a `count` of 0 refuses.

    The permits are valid for `valid_ms` from the time when the request was sent.
    After a refusal no permit is available for about `retry_ms`.
    """

    tag = 201
    schema = {
        "request_id": Integer(),
        "upstream_id": NAME,
        "count": COUNT,
        "valid_ms": TIME_MS,
        "retry_ms": TIME_MS,
    }
    __slots__ = tuple(schema)


class ColdAllowanceRelay(Message):
    """Pass a forwarder's request on to the replica that is the upstream's home."""

    tag = 202
    schema = {
        "sender": Integer(),
        "relay_id": Integer(),
        "upstream_id": NAME,
        "count": COUNT,
    }
    __slots__ = tuple(schema)


class ColdAllowanceRelayAnswer(Message):
    """Return the home's answer to the replica that passed a request on."""

    tag = 203
    schema = {
        "relay_id": Integer(),
        "upstream_id": NAME,
        "count": COUNT,
        "valid_ms": TIME_MS,
        "retry_ms": TIME_MS,
    }
    __slots__ = tuple(schema)


class ColdGrantsNotice(Message):
    """Report earlier grants to a replica that becomes an upstream's home.

    `count`: permits of the sender that may still be in use. `wait_ms`: the time before
    which the new home must not grant. It is sent before the acknowledgement of the
    batch in which the new home replicated its report.
    """

    tag = 204
    schema = {"upstream_id": NAME, "count": COUNT, "wait_ms": TIME_MS}
    __slots__ = tuple(schema)
