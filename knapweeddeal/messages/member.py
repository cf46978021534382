"""knapweeddeal.messages.member: Datagrams by which entries know of each other."""

from knapweeddeal.messages.base import Blob, ListOf, Message, Nested, OneOf, Text, Whole
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
    "PingAsk",
    "SyncAnswer",
    "SyncAsk",
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
        "note_id": Whole(),
        "topic": Text(max_chars=32),
        "life_ms": Whole(maximum=MAX_LIFE_MS),
        "body": Blob(max_bytes=256),
    }
    __slots__ = tuple(schema)


class MemberRecord(Message):
    """Say what is known of a member; the higher counter is the later."""

    tag = 151
    schema = {
        "name": NAME,
        "incarnation": Whole(),
        "counter": Whole(maximum=MAX_COUNTER),
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
        "incarnation": Whole(),
        "number": Whole(),
        "version": Whole(),
        "records": RECORDS,
        "notes": NOTES,
    }
    __slots__ = tuple(schema)


class PingAnswer(Message):
    """Answer a ping, or hand on the answer of a member that was asked for another."""

    tag = 153
    schema = Ping.schema
    __slots__ = tuple(schema)


class PingAsk(Message):
    """Ask a member to ping another one and to hand on the answer."""

    tag = 154
    schema = {"name": NAME, "number": Whole(), "host": HOST, "port": PORT}
    __slots__ = tuple(schema)


class SyncAsk(Message):
    """Ask for the records of one of `buckets`, if they differ from the digest."""

    tag = 155
    schema = {
        "name": NAME,
        "bucket": Whole(),
        "buckets": Whole(minimum=1, maximum=1_000_000),
        "digest": Whole(),
    }
    __slots__ = tuple(schema)


class SyncAnswer(Message):
    """Give the records of a bucket that differs, and the number of live members."""

    tag = 156
    schema = {"name": NAME, "members": Whole(), "records": RECORDS}
    __slots__ = tuple(schema)
