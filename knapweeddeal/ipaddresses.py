"""knapweeddeal.ipaddresses: Hosts that came in messages must be IP numbers."""

import ipaddress
from functools import lru_cache

__all__ = ["validated_ip"]


@lru_cache(maxsize=10_000)
def validated_ip(host):
    """Return an IP number, or raise ValueError: names are never looked up."""
    return str(ipaddress.ip_address(host))
