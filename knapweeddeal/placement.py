"""knapweeddeal.placement: Choice of registrars by rendezvous hashing."""

import hashlib
from functools import lru_cache

__all__ = ["REGISTRARS_PER_UPSTREAM", "Placement", "rendezvous"]

#: Registrars that hold each upstream.
REGISTRARS_PER_UPSTREAM = 2
#: Hash values in the cache.
WEIGHT_CACHE_SIZE = 50_000


class Placement:
    """Assign upstreams to registrars, given the live entries of each zone.

    `registrars_per_zone` limits the registrars of a zone; 0 makes every entry a
    registrar.
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

        If the zone has no live entry, another zone holds the upstream.
        """
        if not self.registrars:
            return []
        zone = announce.zone
        if zone not in self.registrars:
            (zone,) = rendezvous(zone, self.registrars, 1)
        key = f"{announce.service} {announce.upstream_id}"
        return rendezvous(key, self.registrars[zone], REGISTRARS_PER_UPSTREAM)


def rendezvous(key, names, count):
    """Return the `count` names with the highest hash values for a key."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)[:count]


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key, name):
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
