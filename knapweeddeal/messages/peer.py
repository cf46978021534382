"""knapweeddeal.messages.peer: Messages between entries."""

from knapweeddeal.messages.base import (
    Blob,
    Flag,
    Integer,
    ListOf,
    Message,
    Nested,
    OneOf,
    Text,
)
from knapweeddeal.messages.caller import (
    MAX_TICKET_BYTES,
    REASON,
    REQUEST_NUMBER,
    SERVICE,
)
from knapweeddeal.messages.fields import HOST, NAME, PORT
from knapweeddeal.messages.upstream import MAX_ANSWER_BYTES, Announce

__all__ = [
    "AnnounceDigest",
    "AnnounceRequest",
    "ForwardedAnnounce",
    "DirectoryDelta",
    "FlowRecord",
    "HandOver",
    "HandOverAck",
    "HandOverRequest",
    "HandOverOffer",
    "LeaseAnswer",
    "LeaseRequest",
    "LedgerRecord",
    "LoadRequest",
    "LoadSample",
    "LoadReport",
    "PeerHello",
    "RefusalAck",
    "RefusalBatch",
    "RefusalRecord",
    "Relay",
    "Succession",
    "Successions",
    "UpstreamName",
]

#: Largest datagram that a caller may send.
MAX_DATAGRAM_BYTES = 2048


class PeerHello(Message):
    """Open a stream between two of the system's processes."""

    tag = 40
    schema = {"name": NAME, "incarnation": Integer(), "zone": NAME}
    __slots__ = tuple(schema)


class Relay(Message):
    """Relay a caller's datagram to the owner of its flow.

    The sender has checked the ticket; the owner checks it again and answers the
    caller directly.
    """

    tag = 41
    schema = {
        "caller_host": HOST,
        "caller_port": PORT,
        "datagram": Blob(max_bytes=MAX_DATAGRAM_BYTES),
    }
    __slots__ = tuple(schema)


class LedgerRecord(Message):
    """Hold the state of one request in a flow's ledger."""

    tag = 42
    schema = {
        "number": REQUEST_NUMBER,
        "state": OneOf("forwarded", "answered", "not_run", "unknown"),
        "reason": REASON,
        "answer": Blob(max_bytes=MAX_ANSWER_BYTES),
    }
    __slots__ = tuple(schema)


class FlowRecord(Message):
    """Hold a flow's ledger under one owner incarnation."""

    tag = 43
    schema = {
        "service": SERVICE,
        "flow_id": Integer(),
        "owner_incarnation": Integer(),
        "ticket": Blob(max_bytes=MAX_TICKET_BYTES),
        "floor": Integer(),
        "requests": ListOf(Nested(LedgerRecord), max_items=4096),
    }
    __slots__ = tuple(schema)


class HandOver(Message):
    """Hand over ledgers to a successor on a planned stop; `last` ends the series."""

    tag = 44
    schema = {
        "owner_incarnation": Integer(),
        "batch": Integer(),
        "flows": ListOf(Nested(FlowRecord), max_items=4096),
        "last": Flag(),
    }
    __slots__ = tuple(schema)


class HandOverAck(Message):
    """Acknowledge a batch of handed-over ledgers."""

    tag = 45
    schema = {"owner_incarnation": Integer(), "batch": Integer()}
    __slots__ = tuple(schema)


class Succession(Message):
    """Name the successor of an owner incarnation that stopped as planned."""

    tag = 46
    schema = {
        "owner_incarnation": Integer(),
        "successor": NAME,
        "successor_incarnation": Integer(),
        "successor_host": HOST,
        "successor_port": PORT,
    }
    __slots__ = tuple(schema)


class HandOverRequest(Message):
    """Request that another entry take over the sender's ledgers on a planned stop."""

    tag = 47
    schema = {"name": NAME, "owner_incarnation": Integer(), "flows": Integer()}
    __slots__ = tuple(schema)


class HandOverOffer(Message):
    """Accept or decline the takeover of an entry's ledgers."""

    tag = 48
    schema = {
        "owner_incarnation": Integer(),
        "accepted": Flag(),
        "succession": Nested(Succession),
    }
    __slots__ = tuple(schema)


class Successions(Message):
    """List the sender's successions; `ask` requests those of the receiver."""

    tag = 49
    schema = {"ask": Flag(), "successions": ListOf(Nested(Succession), max_items=4096)}
    __slots__ = tuple(schema)


class ForwardedAnnounce(Message):
    """Forward an upstream's announcement to a registrar of its zone."""

    tag = 50
    schema = {"announce": Nested(Announce)}
    __slots__ = tuple(schema)


class AnnounceDigest(Message):
    """Forward a repeated announcement as a digest of all but its sequence."""

    tag = 55
    schema = {"digest": Integer(), "sequence": Integer()}
    __slots__ = tuple(schema)


class AnnounceRequest(Message):
    """Request the announcement that a digest stands for."""

    tag = 56
    schema = {"digest": Integer()}
    __slots__ = tuple(schema)


class LeaseRequest(Message):
    """Request a registrar's bulk lease and the changes since `version`.

    `asked_ms` is the requester's clock and is returned unchanged.
    """

    tag = 51
    schema = {"asked_ms": Integer(), "epoch": Integer(), "version": Integer()}
    __slots__ = tuple(schema)


class LeaseAnswer(Message):
    """Renew the bulk lease of a registrar's shard as of `asked_ms`."""

    tag = 52
    schema = {"asked_ms": Integer(), "epoch": Integer(), "version": Integer()}
    __slots__ = tuple(schema)


class UpstreamName(Message):
    """Identify an upstream across its incarnations."""

    tag = 54
    schema = {"service": SERVICE, "upstream_id": NAME}
    __slots__ = tuple(schema)


class DirectoryDelta(Message):
    """Carry upstreams changed or removed after `since`, up to `version`.

    `since` is the requester's version. The first part of a snapshot (`whole`)
    replaces all that the requester holds from this registrar.
    """

    tag = 53
    schema = {
        "epoch": Integer(),
        "since": Integer(),
        "version": Integer(),
        "whole": Flag(),
        "changed": ListOf(Nested(Announce)),
        "gone": ListOf(Nested(UpstreamName)),
    }
    __slots__ = tuple(schema)


class LoadRequest(Message):
    """Request a registrar's health poll results since `version`."""

    tag = 57
    schema = {"asked_ms": Integer(), "version": Integer()}
    __slots__ = tuple(schema)


class LoadSample(Message):
    """Hold the health and load that an upstream reported `age_ms` ago."""

    tag = 58
    schema = {
        "name": Nested(UpstreamName),
        "healthy": Flag(),
        "outstanding": Integer(maximum=1_000_000),
        "connections": Integer(maximum=1_000_000),
        "age_ms": Integer(),
    }
    __slots__ = tuple(schema)


class LoadReport(Message):
    """Answer a load request; `asked_ms` is returned unchanged from it."""

    tag = 59
    schema = {
        "asked_ms": Integer(),
        "version": Integer(),
        "figures": ListOf(Nested(LoadSample), max_items=64),
    }
    __slots__ = tuple(schema)


class RefusalRecord(Message):
    """Record one refusal."""

    tag = 60
    schema = {
        "record_id": Integer(),
        "caller": Text(max_chars=80),
        "service": SERVICE,
        "flow_id": Integer(),
        "number": Integer(),
        "refused_ms": Integer(),
        "entry_id": NAME,
        "reason": REASON,
    }
    __slots__ = tuple(schema)


class RefusalBatch(Message):
    """Replicate refusals to a second process."""

    tag = 61
    schema = {"batch": Integer(), "records": ListOf(Nested(RefusalRecord))}
    __slots__ = tuple(schema)


class RefusalAck(Message):
    """Acknowledge a batch of refusals as held."""

    tag = 62
    schema = {"batch": Integer()}
    __slots__ = tuple(schema)
