"""knapweeddeal.messages.evacuation: Orders that evacuate or readmit a zone."""

from knapweeddeal.messages.base import Flag, Integer, Message, Nested, Text
from knapweeddeal.messages.fields import NAME, REQUEST_ID
from knapweeddeal.messages.packets import Evacuations

__all__ = [
    "EvacuateAnswer",
    "EvacuateRequest",
    "EvacuationRecord",
    "ZonesAnswer",
    "ZonesRequest",
]


class EvacuateRequest(Message):
    """Evacuate a zone, or readmit it if `evacuated` is false; needs no plan."""

    tag = 188
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "zone": NAME,
        "evacuated": Flag(),
    }
    __slots__ = tuple(schema)


class EvacuateAnswer(Message):
    """Return the version of the evacuations after an order."""

    tag = 189
    schema = {"version": Integer()}
    __slots__ = tuple(schema)


class EvacuationRecord(Message):
    """Record an order in the log; `ordered_ms` is the leader's wall clock."""

    tag = 190
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "zone": NAME,
        "evacuated": Flag(),
        "ordered_ms": Integer(),
    }
    __slots__ = tuple(schema)


class ZonesRequest(Message):
    """Request the evacuated zones."""

    tag = 191
    schema = {}
    __slots__ = ()


class ZonesAnswer(Message):
    """List the evacuated zones."""

    tag = 192
    schema = {"evacuations": Nested(Evacuations)}
    __slots__ = tuple(schema)
