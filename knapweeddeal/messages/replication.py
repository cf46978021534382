"""knapweeddeal.messages.replication: Log records, and the files of a replica."""

from knapweeddeal.messages.base import Blob, Integer, ListOf, Message, Nested, Text
from knapweeddeal.messages.control import Configuration, Replica
from knapweeddeal.messages.fields import NAME, REQUEST_ID
from knapweeddeal.messages.operator import EntryStatus, IntentStep
from knapweeddeal.messages.packets import (
    NO_EVACUATIONS,
    Evacuations,
    PacketConfiguration,
)

__all__ = [
    "ConfirmRecord",
    "EntryReports",
    "InitialMembership",
    "HardState",
    "IdentityFile",
    "LeadershipTransfer",
    "MemberCountRecord",
    "MembershipRecord",
    "NonvoterRecord",
    "PlanRecord",
    "ReplicaState",
    "SnapshotFile",
    "StateImage",
    "StopNotice",
    "StoredPlan",
    "StoredResult",
]

MAX_SNAPSHOT_BYTES = 1 << 28


class ReplicaState(Message):
    """Report a replica's state to another; `cluster` 0 if it has joined none yet."""

    tag = 130
    schema = {
        "replica": Nested(Replica),
        "cluster": Integer(),
        "listed": ListOf(NAME, max_items=64),
    }
    __slots__ = tuple(schema)


class InitialMembership(Message):
    """Give the first membership to a replica that has none."""

    tag = 131
    schema = {"cluster": Integer(), "replicas": ListOf(Nested(Replica), max_items=64)}
    __slots__ = tuple(schema)


class MembershipRecord(Message):
    """Change the membership, in force from this log index on."""

    tag = 132
    schema = {
        "replicas": ListOf(Nested(Replica), max_items=64),
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
    }
    __slots__ = tuple(schema)


class MemberCountRecord(Message):
    """Record how many members there are when no VM is replaced.

    Earlier versions write and use it.
    """

    tag = 194
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "members": Integer(minimum=1),
    }
    __slots__ = tuple(schema)


class NonvoterRecord(Message):
    """List the replicas that left the quorum while out of reach, all of them."""

    tag = 234
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "replicas": ListOf(Nested(Replica), max_items=64),
    }
    __slots__ = tuple(schema)


class StopNotice(Message):
    """Report that the sender stops as planned and is about to leave the quorum."""

    tag = 235
    schema = {}
    __slots__ = ()


class LeadershipTransfer(Message):
    """Request that a caught-up replica starts an election at once."""

    tag = 133
    schema = {"term": Integer(), "leader": Integer()}
    __slots__ = tuple(schema)


class EntryReports(Message):
    """Report to the leader what the entries connected to this replica applied."""

    tag = 134
    schema = {"entries": ListOf(Nested(EntryStatus))}
    __slots__ = tuple(schema)


class PlanRecord(Message):
    """Make a plan; `planned_ms` is the leader's wall clock."""

    tag = 135
    schema = {
        "operator": NAME,
        "request_id": REQUEST_ID,
        "steps": ListOf(Nested(IntentStep), max_items=256),
        "upstreams": ListOf(NAME),
        "zones": ListOf(NAME),
        "flows": Integer(),
        "planned_ms": Integer(),
        "life_ms": Integer(),
    }
    __slots__ = tuple(schema)


class ConfirmRecord(Message):
    """Confirm a plan; `confirmed_ms` is the leader's wall clock."""

    tag = 136
    schema = {
        "operator": NAME,
        "request_id": REQUEST_ID,
        "plan_id": Text(max_chars=64),
        "confirmed_ms": Integer(),
    }
    __slots__ = tuple(schema)


class StoredPlan(Message):
    """Hold an open plan, or a confirmed one with its version."""

    tag = 137
    schema = {
        "plan_id": Text(max_chars=64),
        "base_version": Integer(),
        "steps": ListOf(Nested(IntentStep), max_items=256),
        "expires_ms": Integer(),
        "confirmed_version": Integer(),
        "confirmed_by": Text(max_chars=64),
    }
    __slots__ = tuple(schema)


class StoredResult(Message):
    """Hold the answer to an operator's request id, and a digest of the command."""

    tag = 138
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "digest": Blob(max_bytes=32),
        "answer": Blob(max_bytes=1 << 24),
    }
    __slots__ = tuple(schema)


class StateImage(Message):
    """Hold the whole replicated state; `settled_members` 0 if none is recorded."""

    tag = 139
    schema = {
        "configuration": Nested(Configuration),
        "clock_ms": Integer(),
        "plans": ListOf(Nested(StoredPlan)),
        "results": ListOf(Nested(StoredResult)),
        "packets": Nested(PacketConfiguration),
        "evacuations": Nested(Evacuations),
        "settled_members": Integer(),
        "nonvoters": ListOf(Nested(Replica), max_items=64),
    }
    __slots__ = tuple(schema)
    defaults = (NO_EVACUATIONS.to_wire(), 0, [])


class IdentityFile(Message):
    """Hold the identity of a data folder and of its cluster."""

    tag = 140
    schema = {"identity": Integer(minimum=1), "cluster": Integer()}
    __slots__ = tuple(schema)


class HardState(Message):
    """Hold the current term and the vote cast in it; 0 for none."""

    tag = 141
    schema = {"term": Integer(), "voted_for": Integer()}
    __slots__ = tuple(schema)


class SnapshotFile(Message):
    """Hold a snapshot: state and membership as of a log index."""

    tag = 142
    schema = {
        "last_index": Integer(),
        "last_term": Integer(),
        "replicas": ListOf(Nested(Replica), max_items=64),
        "data": Blob(max_bytes=MAX_SNAPSHOT_BYTES),
    }
    __slots__ = tuple(schema)
