"""knapweeddeal.packetroutes: The packet routes that a forwarder holds."""

from itertools import accumulate

from knapweeddeal.packethead import route_key

__all__ = ["RouteTable", "diff_routes"]


class Route:
    """Hold a route as packets need it: services by share, and all it ever led to."""

    __slots__ = ("bounds", "services", "shares")

    def __init__(self, *, route):
        self.shares = [share.service for share in route.shares]
        #: Upper bounds of the shares, in the order of `shares`.
        self.bounds = list(accumulate(share.weight for share in route.shares))
        self.services = frozenset([*self.shares, *route.former])

    def service_for(self, number):
        """Return the service that a random number from 0 to 1 falls on."""
        if len(self.shares) == 1:
            return self.shares[0]
        point = number * self.bounds[-1]
        for service, bound in zip(self.shares, self.bounds, strict=True):
            if point < bound:
                return service
        return self.shares[-1]


class RouteTable:
    """Keep the routes of the highest revision that was pushed."""

    __slots__ = ("_routes", "dropped", "revision")

    def __init__(self):
        self._routes = {}
        #: Keys of routes that a push dropped while this process ran.
        self.dropped = set()
        self.revision = 0

    def get(self, key):
        """Return the route of a packet's key, or None."""
        return self._routes.get(key)

    def __len__(self):
        """Return the number of routes."""
        return len(self._routes)

    def can_apply(self, push):
        """Tell whether a push is newer, and whole or made on what is held."""
        return push.revision > self.revision and push.base in (0, self.revision)

    def apply(self, push):
        """Take a push; return whether it raised the revision."""
        if not self.can_apply(push):
            return False
        fresh = {route_key(r.host, r.port): Route(route=r) for r in push.routes}
        if not push.base:
            self.dropped |= set(self._routes) - set(fresh)
            self._routes = fresh
        else:
            gone = {route_key(r.host, r.port) for r in push.dropped}
            self.dropped |= gone
            for key in gone:
                self._routes.pop(key, None)
            self._routes.update(fresh)
        self.dropped -= set(fresh)
        self.revision = push.revision
        return True


def diff_routes(old, new):
    """Return the routes of `new` that `old` lacks, and those that only `old` has."""
    before = {(route.host, route.port): route for route in old}
    after = {(route.host, route.port): route for route in new}
    changed = [route for place, route in after.items() if before.get(place) != route]
    dropped = [route for place, route in before.items() if place not in after]
    return changed, dropped
