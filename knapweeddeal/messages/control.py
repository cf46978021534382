"""knapweeddeal.messages.control: The replicated log and the configuration."""

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
    "Replica",
    "ReplicaHello",
    "ServiceEntry",
    "SnapshotAnswer",
    "InstallSnapshotRequest",
    "VoteAnswer",
    "VoteRequest",
]


class ServiceEntry(Message):
    """Describe a service as it was confirmed.

    `draining` lists the upstreams that an operator takes out of service.
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
    """Hold a confirmed configuration; the higher version is in force."""

    tag = 71
    schema = {"version": Integer(), "services": ListOf(Nested(ServiceEntry))}
    __slots__ = tuple(schema)


class ConfigurationPush(Message):
    """Hand on a confirmed configuration."""

    tag = 72
    schema = {"configuration": Nested(Configuration)}
    __slots__ = tuple(schema)


class ConfigurationRequest(Message):
    """Report the version applied here and ask for a higher one."""

    tag = 73
    schema = {
        "name": NAME,
        "incarnation": Integer(),
        "zone": NAME,
        "applied_version": Integer(),
    }
    __slots__ = tuple(schema)


class Replica(Message):
    """Name a control replica: where it is, and the identity of its data folder."""

    tag = 74
    schema = {"name": NAME, "identity": Integer(), "host": HOST, "port": PORT}
    __slots__ = tuple(schema)


class LogRecord(Message):
    """Hold one record of the replicated log."""

    tag = 75
    schema = {"index": Integer(), "term": Integer(), "command": Blob(max_bytes=1 << 24)}
    __slots__ = tuple(schema)


class ReplicaHello(Message):
    """Open a stream between control replicas."""

    tag = 76
    schema = {"name": NAME, "identity": Integer()}
    __slots__ = tuple(schema)


class VoteRequest(Message):
    """Ask for a vote, or, with `pre`, whether one would be given."""

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
    """Give or withhold a vote."""

    tag = 78
    schema = {"term": Integer(), "voter": Integer(), "granted": Flag(), "pre": Flag()}
    __slots__ = tuple(schema)


class AppendRequest(Message):
    """Replicate records; empty as heartbeat. `round` serves the read index."""

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
    """Acknowledge synced records, or tell where the logs part."""

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
    """Carry a part of a snapshot to a replica that is far behind."""

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
    """Acknowledge the part of a snapshot that ends before `offset_bytes`."""

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
    """Tell how many flows one entry owns on an upstream."""

    tag = 83
    schema = {
        "service": Text(max_chars=64),
        "upstream_id": NAME,
        "zone": NAME,
        "flows": Integer(),
    }
    __slots__ = tuple(schema)


class FlowCounts(Message):
    """Report the counts of an entry that changed noticeably; `whole` replaces all."""

    tag = 84
    schema = {
        "name": NAME,
        "whole": Flag(),
        "counts": ListOf(Nested(FlowCount), max_items=10_000),
    }
    __slots__ = tuple(schema)
