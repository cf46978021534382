"""knapweeddeal.packetroutes: The packet routes that a forwarder holds."""

from itertools import accumulate

from knapweeddeal.messages.packets import ROUTE_KEY_BYTES, RouteGroup, RoutesPush
from knapweeddeal.packetheader import route_key

__all__ = ["RouteTable", "group_routes", "pack_route_keys", "diff_routes"]


class Route:
    """Hold what the routes of a group share: services by weight, and earlier ones."""

    __slots__ = ("bounds", "services", "shares")

    def __init__(self, *, group):
        self.shares = [share.service for share in group.shares]
        #: Upper bounds of the shares, in the order of `shares`.
        self.bounds = list(accumulate(share.weight for share in group.shares))
        self.services = frozenset([*self.shares, *group.former])

    def pick_service(self, number):
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
        fresh = {}
        for group in push.groups:
            fresh.update(dict.fromkeys(_keys(group.keys), Route(group=group)))
        if not push.base:
            self.dropped |= set(self._routes) - set(fresh)
            self._routes = fresh
        else:
            gone = _keys(push.dropped)
            self.dropped.update(gone)
            for key in gone:
                self._routes.pop(key, None)
            self._routes.update(fresh)
        self.dropped -= set(fresh)
        self.revision = push.revision
        return True


def diff_routes(old, new):
    """Return what leads from a configuration, or None for none, to another one."""
    before = {_place(route): route for route in old.routes} if old else {}
    after = {_place(route): route for route in new.routes}
    changed = [route for place, route in after.items() if before.get(place) != route]
    dropped = [route for place, route in before.items() if place not in after]
    return RoutesPush(
        revision=new.revision,
        base=old.revision if old else 0,
        groups=group_routes(changed),
        dropped=pack_route_keys(dropped),
    )


def _place(route):
    return (route.host, route.port)


def group_routes(routes):
    """Return routes by what they share: most lead to one of a few services."""
    members = {}
    for route in routes:
        shares = tuple((share.service, share.weight) for share in route.shares)
        members.setdefault((shares, tuple(route.former)), []).append(route)
    return [
        RouteGroup(
            keys=pack_route_keys(alike), shares=alike[0].shares, former=list(former)
        )
        for (_, former), alike in members.items()
    ]


def pack_route_keys(routes):
    """Return the addresses of routes, one after another, as packets name them."""
    return b"".join(route_key(route.host, route.port) for route in routes)


def _keys(data):
    """Return the keys in some bytes; a cut one at the end names no route."""
    whole = len(data) - len(data) % ROUTE_KEY_BYTES
    return [
        data[start : start + ROUTE_KEY_BYTES]
        for start in range(0, whole, ROUTE_KEY_BYTES)
    ]
