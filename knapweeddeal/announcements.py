"""knapweeddeal.announcements: What an upstream's announcement says of itself."""

import hashlib
import operator

from knapweeddeal.actions import UpstreamKey
from knapweeddeal.messages.peer import UpstreamName
from knapweeddeal.messages.upstream import Announce

__all__ = [
    "announce_digest",
    "announced_content",
    "announced_key",
    "announced_name",
]

#: Returns every field but the sequence.
announced_content = operator.attrgetter(
    *(name for name in Announce.schema if name != "sequence")
)


def announced_name(announce):
    """Return the name of the upstream, the same for all its incarnations."""
    return UpstreamName(service=announce.service, upstream_id=announce.upstream_id)


def announced_key(announce):
    """Return the key of the upstream's incarnation."""
    return UpstreamKey(
        service=announce.service,
        upstream_id=announce.upstream_id,
        incarnation=announce.incarnation,
    )


def announce_digest(announce):
    """Return a whole number that stands for all of it but its sequence."""
    text = repr(announced_content(announce)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())
