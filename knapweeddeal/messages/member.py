"""knapweeddeal.messages.member: Datagrams of the membership protocol of entries."""

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

#: Highest counter of a member record.
MAX_COUNTER = 2**48
#: Longest lifetime of a note.
MAX_LIFE_MS = 86_400_000
#: Most records, and most notes, in one datagram.
MAX_RECORDS = 64


class Note(Message):
    """Carry a small item, gossiped to every entry for `life_ms`."""

    tag = 150
    schema = {
        "note_id": Integer(),
        "topic": Text(max_chars=32),
        "life_ms": Integer(maximum=MAX_LIFE_MS),
        "body": Blob(max_bytes=256),
    }
    __slots__ = tuple(schema)


class MemberRecord(Message):
    """Describe a member's state; the record with the highest counter is the latest."""

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
    """Probe a member and report the sender's applied configuration version."""

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
    """Answer a ping, or relay the answer of an indirect ping's target."""

    tag = 153
    schema = Ping.schema
    __slots__ = tuple(schema)


class PingRequest(Message):
    """Request an indirect ping: ping the given member and relay its answer."""

    tag = 154
    schema = {"name": NAME, "number": Integer(), "host": HOST, "port": PORT}
    __slots__ = tuple(schema)


class SyncRequest(Message):
    """Request the records of one of `buckets` buckets, if their digest differs."""

    tag = 155
    schema = {
        "name": NAME,
        "bucket": Integer(),
        "buckets": Integer(minimum=1, maximum=1_000_000),
        "digest": Integer(),
    }
    __slots__ = tuple(schema)


class SyncAnswer(Message):
    """Return the records of a differing bucket, and the number of live members."""

    tag = 156
    schema = {"name": NAME, "members": Integer(), "records": RECORDS}
    __slots__ = tuple(schema)
