"""knapweeddeal.messages.control: Messages on the replicated log and configuration."""

from knapweeddeal.messages.base import (
    Blob,
    Flag,
    Integer,
    ListOf,
    Message,
    Nested,
    Text,
)
from knapweeddeal.messages.fields import HOST, NAME, PORT

__all__ = [
    "AppendAnswer",
    "AppendRequest",
    "Configuration",
    "ConfigurationRequest",
    "ConfigurationPush",
    "FlowCount",
    "FlowCounts",
    "LogRecord",
    "MAX_COMMAND_BYTES",
    "Replica",
    "ReplicaHello",
    "ServiceEntry",
    "SnapshotAnswer",
    "InstallSnapshotRequest",
    "VoteAnswer",
    "VoteRequest",
]

#: Largest command of a log record.
MAX_COMMAND_BYTES = 1 << 24


class ServiceEntry(Message):
    """Describe a service of the confirmed configuration.

    `draining` lists the upstreams that an operator is draining.
    """

    tag = 70
    schema = {
        "name": Text(max_chars=64),
        "host": HOST,
        "port": PORT,
        "draining": ListOf(NAME),
    }
    __slots__ = tuple(schema)


class Configuration(Message):
    """Hold a confirmed configuration; the highest version is in force."""

    tag = 71
    schema = {"version": Integer(), "services": ListOf(Nested(ServiceEntry))}
    __slots__ = tuple(schema)


class ConfigurationPush(Message):
    """Send a confirmed configuration to a subscriber."""

    tag = 72
    schema = {"configuration": Nested(Configuration)}
    __slots__ = tuple(schema)


class ConfigurationRequest(Message):
    """Report the sender's applied version and request a higher one."""

    tag = 73
    schema = {
        "name": NAME,
        "incarnation": Integer(),
        "zone": NAME,
        "applied_version": Integer(),
    }
    __slots__ = tuple(schema)


class Replica(Message):
    """Identify a control replica by name, data folder identity and address."""

    tag = 74
    schema = {"name": NAME, "identity": Integer(), "host": HOST, "port": PORT}
    __slots__ = tuple(schema)


class LogRecord(Message):
    """Hold one record of the replicated log."""

    tag = 75
    schema = {
        "index": Integer(),
        "term": Integer(),
        "command": Blob(max_bytes=MAX_COMMAND_BYTES),
    }
    __slots__ = tuple(schema)


class ReplicaHello(Message):
    """Open a stream between control replicas."""

    tag = 76
    schema = {"name": NAME, "identity": Integer()}
    __slots__ = tuple(schema)


class VoteRequest(Message):
    """Request a vote, or with `pre` a pre-vote."""

    tag = 77
    schema = {
        "term": Integer(),
        "candidate": Integer(),
        "last_index": Integer(),
        "last_term": Integer(),
        "pre": Flag(),
    }
    __slots__ = tuple(schema)


class VoteAnswer(Message):
    """Grant or deny a vote or pre-vote."""

    tag = 78
    schema = {"term": Integer(), "voter": Integer(), "granted": Flag(), "pre": Flag()}
    __slots__ = tuple(schema)


class AppendRequest(Message):
    """Replicate log records, or none as a heartbeat; `round` serves the read index."""

    tag = 79
    schema = {
        "term": Integer(),
        "leader": Integer(),
        "previous_index": Integer(),
        "previous_term": Integer(),
        "records": ListOf(Nested(LogRecord)),
        "commit_index": Integer(),
        "round": Integer(),
    }
    __slots__ = tuple(schema)


class AppendAnswer(Message):
    """Acknowledge records synced to disk, or report where the logs diverge."""

    tag = 80
    schema = {
        "term": Integer(),
        "follower": Integer(),
        "success": Flag(),
        "match_index": Integer(),
        "round": Integer(),
    }
    __slots__ = tuple(schema)


class InstallSnapshotRequest(Message):
    """Carry one chunk of a snapshot to a replica that lags too far behind."""

    tag = 81
    schema = {
        "term": Integer(),
        "leader": Integer(),
        "last_index": Integer(),
        "last_term": Integer(),
        "replicas": ListOf(Nested(Replica)),
        "offset_bytes": Integer(),
        "data": Blob(max_bytes=1 << 20),
        "done": Flag(),
        "round": Integer(),
    }
    __slots__ = tuple(schema)


class SnapshotAnswer(Message):
    """Acknowledge all of a snapshot before `offset_bytes`."""

    tag = 82
    schema = {
        "term": Integer(),
        "follower": Integer(),
        "last_index": Integer(),
        "offset_bytes": Integer(),
        "round": Integer(),
    }
    __slots__ = tuple(schema)


class FlowCount(Message):
    """Count the flows that one entry owns on an upstream."""

    tag = 83
    schema = {
        "service": Text(max_chars=64),
        "upstream_id": NAME,
        "zone": NAME,
        "flows": Integer(),
    }
    __slots__ = tuple(schema)


class FlowCounts(Message):
    """Report an entry's significantly changed counts, or all of them if `whole`."""

    tag = 84
    schema = {
        "name": NAME,
        "whole": Flag(),
        "counts": ListOf(Nested(FlowCount), max_items=10_000),
    }
    __slots__ = tuple(schema)
