"""knapweeddeal.messages: The families of typed messages and their one codec."""

from knapweeddeal.messages import (
    caller,
    control,
    member,
    operator,
    packets,
    peer,
    replication,
    upstream,
)
from knapweeddeal.messages.base import REGISTRY, Message, decode, encode

__all__ = ["FAMILIES", "REGISTRY", "Message", "decode", "encode"]

#: Families of messages by name.
FAMILIES = {
    "caller": caller,
    "control": control,
    "member": member,
    "operator": operator,
    "packets": packets,
    "peer": peer,
    "replication": replication,
    "upstream": upstream,
}
