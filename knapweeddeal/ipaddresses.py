"""knapweeddeal.ipaddresses: Validation of IP addresses in received messages."""

import ipaddress
from functools import lru_cache

__all__ = ["validated_ip"]


@lru_cache(maxsize=10_000)
def validated_ip(host):
    """Return a normalized IP address; raise ValueError for anything else.

    Host names are never resolved.
    """
    return str(ipaddress.ip_address(host))
