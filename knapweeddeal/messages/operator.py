"""knapweeddeal.messages.operator: Commands and queries of operators."""

from knapweeddeal.messages.base import (
    Flag,
    Integer,
    ListOf,
    Message,
    Nested,
    OneOf,
    Text,
)
from knapweeddeal.messages.control import Replica, ServiceEntry
from knapweeddeal.messages.fields import HOST, NAME, PORT, REQUEST_ID
from knapweeddeal.messages.packets import RouteTerms, ServiceShare
from knapweeddeal.messages.peer import RefusalRecord

__all__ = [
    "ConfirmRequest",
    "ConfirmAnswer",
    "DumpAnswer",
    "DumpRequest",
    "EntryStatus",
    "FailureAnswer",
    "IntentStep",
    "MetricsRequest",
    "PlanAnswer",
    "PlanRequest",
    "RefusalsAnswer",
    "RefusalsRequest",
    "ReplicaSwapRequest",
    "ReplicasAnswer",
    "ReplicasRequest",
    "ServicesAnswer",
    "ServicesRequest",
    "StatusAnswer",
    "StatusRequest",
    "UpstreamsRequest",
    "UpstreamsAnswer",
    "WhereAnswer",
    "WhereCandidate",
    "WhereFigure",
    "WhereRequest",
]

LINE = Text(max_chars=1024)


class FailureAnswer(Message):
    """Report the failure of a command or query."""

    tag = 100
    schema = {
        "code": Text(max_chars=64),
        "text": LINE,
        "field": Text(max_chars=64),
        "value": Text(max_chars=256),
    }
    __slots__ = tuple(schema)


class IntentStep(Message):
    """Describe one step of an intent; unused fields are empty."""

    tag = 101
    schema = {
        "action": OneOf(
            "create-service",
            "change-service",
            "remove-service",
            "drain-upstream",
            "undrain-upstream",
        ),
        "service": Text(max_chars=64),
        "host": HOST,
        "port": PORT,
        "upstream_id": NAME,
    }
    __slots__ = tuple(schema)


class PlanRequest(Message):
    """Request a plan of what an intent would change."""

    tag = 102
    schema = {
        "request_id": REQUEST_ID,
        "operator": NAME,
        "steps": ListOf(Nested(IntentStep), max_items=256),
    }
    __slots__ = tuple(schema)


class PlanAnswer(Message):
    """Return a plan: its changes, what they affect, and when the plan expires."""

    tag = 103
    schema = {
        "plan_id": Text(max_chars=64),
        "base_version": Integer(),
        "differences": ListOf(LINE),
        "services": ListOf(NAME),
        "upstreams": ListOf(NAME),
        "zones": ListOf(NAME),
        "flows": Integer(),
        "expires_ms": Integer(),
    }
    __slots__ = tuple(schema)


class ConfirmRequest(Message):
    """Confirm a plan."""

    tag = 104
    schema = {
        "request_id": REQUEST_ID,
        "operator": NAME,
        "plan_id": Text(max_chars=64),
    }
    __slots__ = tuple(schema)


class ConfirmAnswer(Message):
    """Return the version that a confirmation put in force."""

    tag = 105
    schema = {"plan_id": Text(max_chars=64), "version": Integer()}
    __slots__ = tuple(schema)


class StatusRequest(Message):
    """Request the leader, the version in force and what each entry applied."""

    tag = 106
    schema = {}
    __slots__ = ()


class EntryStatus(Message):
    """Report an entry's applied version and the age of its report."""

    tag = 107
    schema = {
        "name": NAME,
        "zone": NAME,
        "applied_version": Integer(),
        "age_ms": Integer(),
    }
    __slots__ = tuple(schema)


class StatusAnswer(Message):
    """Return the leader, the version in force and what each entry applied."""

    tag = 108
    schema = {
        "leader": NAME,
        "term": Integer(),
        "version": Integer(),
        "commit_index": Integer(),
        "entries": ListOf(Nested(EntryStatus)),
    }
    __slots__ = tuple(schema)


class ServicesRequest(Message):
    """Request the confirmed services."""

    tag = 109
    schema = {}
    __slots__ = ()


class ServicesAnswer(Message):
    """List the confirmed services."""

    tag = 110
    schema = {"version": Integer(), "services": ListOf(Nested(ServiceEntry))}
    __slots__ = tuple(schema)


class ReplicasRequest(Message):
    """Request the committed membership of the replicated log."""

    tag = 111
    schema = {}
    __slots__ = ()


class ReplicasAnswer(Message):
    """List the committed members, their leader and the candidates for membership."""

    tag = 112
    schema = {
        "leader": NAME,
        "members": ListOf(Nested(Replica)),
        "candidates": ListOf(Nested(Replica)),
    }
    __slots__ = tuple(schema)


class ReplicaSwapRequest(Message):
    """Change one member: add `add` if its name is set, remove `remove` if not 0."""

    tag = 113
    schema = {
        "request_id": REQUEST_ID,
        "operator": NAME,
        "add": Nested(Replica),
        "remove": Integer(),
    }
    __slots__ = tuple(schema)


class RefusalsRequest(Message):
    """Request recorded refusals; empty texts and zeros match everything."""

    tag = 114
    schema = {
        "service": Text(max_chars=64),
        "caller": Text(max_chars=80),
        "reason": Text(max_chars=64),
        "since_ms": Integer(),
        "until_ms": Integer(),
        "limit": Integer(maximum=10_000),
    }
    __slots__ = tuple(schema)


class RefusalsAnswer(Message):
    """List refusals, oldest first."""

    tag = 115
    schema = {"records": ListOf(Nested(RefusalRecord))}
    __slots__ = tuple(schema)


class UpstreamsRequest(Message):
    """Request the upstreams in an entry's directory."""

    tag = 116
    schema = {"service": Text(max_chars=64)}
    __slots__ = tuple(schema)


class UpstreamsAnswer(Message):
    """List upstreams, one JSON object each."""

    tag = 117
    schema = {"lines": ListOf(LINE)}
    __slots__ = tuple(schema)


class DumpRequest(Message):
    """Request a process's state dump of at most `max_bytes`."""

    tag = 118
    schema = {"max_bytes": Integer(maximum=1 << 22)}
    __slots__ = tuple(schema)


class DumpAnswer(Message):
    """Carry a state dump or metrics as JSON text."""

    tag = 119
    schema = {"text": Text(max_chars=1 << 22)}
    __slots__ = tuple(schema)


class MetricsRequest(Message):
    """Request a process's counters and latencies."""

    tag = 120
    schema = {}
    __slots__ = ()


class WhereRequest(Message):
    """Request where a forwarder would send a new flow of a caller, and why."""

    tag = 230
    schema = {
        "caller_host": HOST,
        "caller_port": PORT,
        "route_host": HOST,
        "route_port": PORT,
        "max_candidates": Integer(maximum=1_000),
    }
    __slots__ = tuple(schema)


class WhereFigure(Message):
    """Hold one figure of a candidate, in thousandths, and its age."""

    tag = 231
    schema = {"name": NAME, "value_milli": Integer(), "age_ms": Integer()}
    __slots__ = tuple(schema)


class WhereCandidate(Message):
    """Describe an upstream that a new flow may be sent to.

    `considered`: the choice ranked it; it ranks other zones only if the best upstream
    of its own zone is loaded, avoided or tried. `marks` lists what counts against it.
    """

    tag = 232
    schema = {
        "upstream": NAME,
        "zone": NAME,
        "host": HOST,
        "port": PORT,
        "considered": Flag(),
        "marks": ListOf(Text(max_chars=64), max_items=64),
        "figures": ListOf(Nested(WhereFigure), max_items=64),
    }
    __slots__ = tuple(schema)


class WhereAnswer(Message):
    """Return what a forwarder would do with the first SYN of a new flow, and why.

    `candidates` are in the order of choice; `more` is the number of further ones.
    `reason` is why the first one comes first, or why the SYN gets no upstream.
    """

    tag = 233
    schema = {
        "flow": LINE,
        "zone": NAME,
        "revision": Integer(),
        "current": Flag(),
        "terms": Nested(RouteTerms),
        "shares": ListOf(Nested(ServiceShare), max_items=64),
        "admission": LINE,
        "outcome": OneOf("sent", "duplicate", "reset", "dropped", "held"),
        "reason": LINE,
        "service": NAME,
        "upstream": NAME,
        "backlog_ms": Integer(),
        "candidates": ListOf(Nested(WhereCandidate), max_items=1_000),
        "more": Integer(),
    }
    __slots__ = tuple(schema)
