"""knapweeddeal.packetconfigurations: Checks and former services of packet routes."""

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.ipaddresses import is_ipv4

__all__ = ["check_routes", "configured_services", "with_former_services"]

#: Maximum number of former services of a route.
MAX_FORMER_SERVICES = 64


def with_former_services(old, new):
    """Return a configuration whose routes list the services they had before."""
    old_routes = {(route.host, route.port): route for route in old.routes}
    routes = [_add_former(old_routes.get((r.host, r.port)), r) for r in new.routes]
    return new.replace(routes=routes)


def configured_services(configuration):
    """Return the names of all services that a configuration mentions."""
    names = {service.name for service in configuration.services}
    for route in configuration.routes:
        names.update(share.service for share in route.shares)
        names.update(route.former)
    return names


def check_routes(routes):
    """Raise InvalidIntentError for routes that no forwarder could use.

    Each needs an IPv4 address of its own, as packets carry it, and a service with a
    weight above 0.
    """
    seen = set()
    for route in routes:
        address = f"{route.host}:{route.port}"
        if not is_ipv4(route.host):
            raise InvalidIntentError(
                "expected an IPv4 address", field="host", value=address
            )
        if address in seen:
            raise InvalidIntentError(
                "expected one route for an address, got two",
                field="routes",
                value=address,
            )
        seen.add(address)
        if not any(share.weight for share in route.shares):
            raise InvalidIntentError(
                "expected a service with a weight above 0",
                field="weight",
                value=address,
            )


def _add_former(previous, route):
    if previous is None:
        return route
    current = {share.service for share in route.shares}
    candidates = [share.service for share in previous.shares] + previous.former
    former = [name for name in dict.fromkeys(candidates) if name not in current]
    return route.replace(former=former[:MAX_FORMER_SERVICES])
