"""knapweeddeal.packetconfigurations: Packet routes in force, and what led to them."""

from knapweeddeal.errors import InvalidIntentError

__all__ = ["check_routes", "with_former_services"]

#: Earlier services that a route remembers.
MAX_FORMER = 64


def with_former_services(old, new):
    """Return a configuration whose routes remember the services they had before."""
    before = {(route.host, route.port): route for route in old.routes}
    routes = [_remember(before.get((r.host, r.port)), r) for r in new.routes]
    return new.replace(routes=routes)


def check_routes(routes):
    """Raise InvalidIntentError if two routes share an address or one leads nowhere."""
    seen = set()
    for route in routes:
        place = f"{route.host}:{route.port}"
        if place in seen:
            raise InvalidIntentError(
                "two routes have this address", field="routes", value=place
            )
        seen.add(place)
        if not any(share.weight for share in route.shares):
            raise InvalidIntentError("no share", field="weight", value=place)


def _remember(earlier, route):
    if earlier is None:
        return route
    current = {share.service for share in route.shares}
    known = [share.service for share in earlier.shares] + earlier.former
    former = [name for name in dict.fromkeys(known) if name not in current]
    return route.replace(former=former[:MAX_FORMER])
