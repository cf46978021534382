"""knapweeddeal.ipaddresses: Validation of IP addresses in received messages."""

import socket
from functools import lru_cache

__all__ = ["is_ip", "is_ipv4", "validated_ip"]


@lru_cache(maxsize=10_000)
def validated_ip(host):
    """Return a normalized IP address; raise ValueError for anything else.

    Host names are never resolved.
    """
    # Imported late: the import slows the start of processes that don't need it.
    import ipaddress

    return str(ipaddress.ip_address(host))


def is_ip(text):
    """Return whether a text is an IPv4 or IPv6 address."""
    return is_ipv4(text) or _has_family(text, socket.AF_INET6)


def is_ipv4(text):
    """Return whether a text is an IPv4 address of four decimal numbers.

    Padded numbers are refused: some functions read them as octal ones.
    """
    return _has_family(text, socket.AF_INET)


def _has_family(text, family):
    try:
        socket.inet_pton(family, text)
    except (OSError, ValueError):
        return False
    return True
