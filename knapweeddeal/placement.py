"""knapweeddeal.placement: Which registrars hold an upstream, by rendezvous hash."""

import hashlib
from functools import lru_cache

__all__ = ["REGISTRARS_PER_UPSTREAM", "Placement", "rendezvous"]

#: Registrars that hold each upstream.
REGISTRARS_PER_UPSTREAM = 2
#: Hash values that are kept.
MAX_WEIGHTS = 50_000


class Placement:
    """Place upstreams on registrars, given the live entries of each zone.

    `registrars_per_zone` bounds the registrars of a zone; 0 makes every entry one.
    """

    __slots__ = ("registrars",)

    def __init__(self, *, names_by_zone, registrars_per_zone):
        #: Names of the registrars by zone.
        self.registrars = {
            zone: rendezvous(zone, names, registrars_per_zone or len(names))
            for zone, names in names_by_zone.items()
            if names
        }

    def registrars_for(self, announce):
        """Return the registrars that hold an upstream.

        Another zone stands in for one that has no live entry.
        """
        if not self.registrars:
            return []
        zone = announce.zone
        if zone not in self.registrars:
            (zone,) = rendezvous(zone, self.registrars, 1)
        subject = f"{announce.service} {announce.upstream_id}"
        return rendezvous(subject, self.registrars[zone], REGISTRARS_PER_UPSTREAM)


def rendezvous(subject, names, count):
    """Return the `count` names that rank highest for a subject."""
    return sorted(names, key=lambda name: _weight(subject, name), reverse=True)[:count]


@lru_cache(maxsize=MAX_WEIGHTS)
def _weight(subject, name):
    return hashlib.blake2b(f"{subject}|{name}".encode(), digest_size=8).digest()
