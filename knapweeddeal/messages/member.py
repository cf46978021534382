"""knapweeddeal.messages.member: Datagrams by which entries know of each other."""

from knapweeddeal.messages.base import (
    Blob,
    Integer,
    ListOf,
    Message,
    Nested,
    OneOf,
    Text,
)
from knapweeddeal.messages.fields import HOST, NAME, PORT

__all__ = [
    "ALIVE",
    "DEAD",
    "LEFT",
    "SUSPECT",
    "MemberRecord",
    "Note",
    "Ping",
    "PingAnswer",
    "PingRequest",
    "SyncAnswer",
    "SyncRequest",
]

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

#: Highest counter of a record.
MAX_COUNTER = 2**48
#: Longest life of a note.
MAX_LIFE_MS = 86_400_000
#: Most records in one datagram.
MAX_RECORDS = 64


class Note(Message):
    """Carry a small item to every entry until `life_ms` have passed."""

    tag = 150
    schema = {
        "note_id": Integer(),
        "topic": Text(max_chars=32),
        "life_ms": Integer(maximum=MAX_LIFE_MS),
        "body": Blob(max_bytes=256),
    }
    __slots__ = tuple(schema)


class MemberRecord(Message):
    """Say what is known of a member; the higher counter is the later."""

    tag = 151
    schema = {
        "name": NAME,
        "incarnation": Integer(),
        "counter": Integer(maximum=MAX_COUNTER),
        "zone": NAME,
        "host": HOST,
        "port": PORT,
        "state": OneOf(ALIVE, SUSPECT, DEAD, LEFT),
    }
    __slots__ = tuple(schema)


RECORDS = ListOf(Nested(MemberRecord), max_items=MAX_RECORDS)
NOTES = ListOf(Nested(Note), max_items=MAX_RECORDS)


class Ping(Message):
    """Ask a member for an answer; show the applied configuration's version."""

    tag = 152
    schema = {
        "name": NAME,
        "incarnation": Integer(),
        "number": Integer(),
        "version": Integer(),
        "records": RECORDS,
        "notes": NOTES,
    }
    __slots__ = tuple(schema)


class PingAnswer(Message):
    """Answer a ping, or hand on the answer of a member that was asked for another."""

    tag = 153
    schema = Ping.schema
    __slots__ = tuple(schema)


class PingRequest(Message):
    """Ask a member to ping another one and to hand on the answer."""

    tag = 154
    schema = {"name": NAME, "number": Integer(), "host": HOST, "port": PORT}
    __slots__ = tuple(schema)


class SyncRequest(Message):
    """Ask for the records of one of `buckets`, if they differ from the digest."""

    tag = 155
    schema = {
        "name": NAME,
        "bucket": Integer(),
        "buckets": Integer(minimum=1, maximum=1_000_000),
        "digest": Integer(),
    }
    __slots__ = tuple(schema)


class SyncAnswer(Message):
    """Give the records of a bucket that differs, and the number of live members."""

    tag = 156
    schema = {"name": NAME, "members": Integer(), "records": RECORDS}
    __slots__ = tuple(schema)
