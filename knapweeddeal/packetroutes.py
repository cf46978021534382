"""knapweeddeal.packetroutes: The route table of a forwarder."""

from itertools import accumulate, pairwise

from knapweeddeal.messages.packets import ROUTE_KEY_BYTES, RouteGroup, RoutesPush
from knapweeddeal.packetheader import route_key

__all__ = [
    "RouteTable",
    "diff_routes",
    "group_routes",
    "pack_route_keys",
    "without_unreadable_routes",
]


class Route:
    """Hold the weighted services, former services and terms of a group of routes."""

    __slots__ = ("bounds", "services", "shares", "terms")

    def __init__(self, *, group):
        self.shares = [share.service for share in group.shares]
        #: Cumulative weights, in the order of `shares`.
        self.bounds = list(accumulate(share.weight for share in group.shares))
        self.services = frozenset([*self.shares, *group.former])
        self.terms = group.terms

    @property
    def weights(self):
        """Return the weights of the services, in the order of `shares`."""
        return [after - before for before, after in pairwise([0, *self.bounds])]

    def pick_service(self, number):
        """Return the service for a random number from 0 to 1, by weight."""
        if len(self.shares) == 1:
            return self.shares[0]
        point = number * self.bounds[-1]
        for service, bound in zip(self.shares, self.bounds, strict=True):
            if point < bound:
                return service
        return self.shares[-1]


class RouteTable:
    """Hold the routes of the highest revision that was pushed."""

    __slots__ = ("_routes", "dropped", "priorities", "revision", "services")

    def __init__(self):
        self._routes = {}
        #: Keys of routes that a push has removed since the start of the process.
        self.dropped = set()
        self.revision = 0
        #: The `ServiceTerms` by service.
        self.services = {}
        #: Priorities that routes state, the highest first.
        self.priorities = []

    def get(self, key):
        """Return the route for a packet's route key, or None."""
        return self._routes.get(key)

    def cold_rate_milli(self, service):
        """Return the stated rate of a cold upstream in thousandths, or 0."""
        terms = self.services.get(service)
        return terms.cold_per_s_milli if terms is not None else 0

    def __len__(self):
        """Return the number of routes."""
        return len(self._routes)

    def can_apply(self, push):
        """Return whether a push is newer, and is full or based on the held revision."""
        return push.revision > self.revision and push.base in (0, self.revision)

    def apply(self, push):
        """Apply a push of routes if possible; return whether it was applied."""
        if not self.can_apply(push):
            return False
        updated = {}
        for group in push.groups:
            updated.update(dict.fromkeys(_keys(group.keys), Route(group=group)))
        if not push.base:
            self.dropped |= set(self._routes) - set(updated)
            self._routes = updated
        else:
            dropped_keys = _keys(push.dropped)
            self.dropped.update(dropped_keys)
            for key in dropped_keys:
                self._routes.pop(key, None)
            self._routes.update(updated)
        self.dropped -= set(updated)
        self.services = {terms.name: terms for terms in push.services}
        all_terms = [route.terms for route in self._routes.values()]
        self.priorities = sorted({t.priority for t in all_terms if t.kind})
        self.revision = push.revision
        return True


def diff_routes(old, new):
    """Return the push from one configuration to another; full if `old` is None."""
    before = {_address(route): route for route in old.routes} if old else {}
    after = {_address(route): route for route in new.routes}
    changed = [
        route for address, route in after.items() if before.get(address) != route
    ]
    dropped = [route for address, route in before.items() if address not in after]
    return RoutesPush(
        revision=new.revision,
        base=old.revision if old else 0,
        groups=group_routes(changed),
        dropped=pack_route_keys(dropped),
        services=new.services,
    )


def _address(route):
    return (route.host, route.port)


def group_routes(routes):
    """Group routes that differ only in their address, as most have a few others."""
    by_destination = {}
    for route in routes:
        shares = tuple((share.service, share.weight) for share in route.shares)
        key = (shares, tuple(route.former), route.terms)
        by_destination.setdefault(key, []).append(route)
    return [
        RouteGroup(
            keys=pack_route_keys(group),
            shares=group[0].shares,
            former=list(former),
            terms=terms,
        )
        for (_, former, terms), group in by_destination.items()
    ]


def without_unreadable_routes(configuration):
    """Return a configuration without routes whose address no packet can carry.

    Earlier versions confirmed such routes, so a log may hold them.
    """
    routes = [route for route in configuration.routes if _has_key(route)]
    if len(routes) == len(configuration.routes):
        return configuration
    return configuration.replace(routes=routes)


def _has_key(route):
    try:
        route_key(route.host, route.port)
    except (OSError, ValueError):
        return False
    return True


def pack_route_keys(routes):
    """Return the concatenated keys of routes, as encoded in the packet header."""
    return b"".join(route_key(route.host, route.port) for route in routes)


def _keys(data):
    """Return the keys in concatenated form; a truncated last key is ignored."""
    whole_bytes = len(data) - len(data) % ROUTE_KEY_BYTES
    return [
        data[start : start + ROUTE_KEY_BYTES]
        for start in range(0, whole_bytes, ROUTE_KEY_BYTES)
    ]
