"""knapweeddeal.announcements: Keys, names and digests of upstream announcements."""

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

#: Returns the values of all fields but the sequence.
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
    """Return a 64-bit hash of all fields but the sequence."""
    text = repr(announced_content(announce)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())
