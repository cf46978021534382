"""tests.test_packetroutes: Tests of a forwarder's routes."""

import testscenarios
import testtools
from testtools.matchers import LessThan

from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    RouteGroup,
    ServiceShare,
)
from knapweeddeal.packetheader import route_key
from knapweeddeal.packetroutes import (
    Route,
    RouteTable,
    diff_routes,
    group_routes,
    pack_route_keys,
)
from tests.packetfakes import HOST, PORT, route, routes_push

KEY = route_key(HOST, PORT)


class Applied(testscenarios.TestWithScenarios, testtools.TestCase):
    """The highest revision stands; what it drops is remembered."""

    scenarios = [
        ("lower", {"push": routes_push(revision=1), "held": True, "dropped": False}),
        ("equal", {"push": routes_push(revision=2), "held": True, "dropped": False}),
        ("whole", {"push": routes_push(revision=3), "held": False, "dropped": True}),
        (
            "part",
            {
                "push": routes_push(revision=3, base=2, dropped=[route()]),
                "held": False,
                "dropped": True,
            },
        ),
        (
            "unchanged",
            {
                "push": routes_push(revision=3, base=2),
                "held": True,
                "dropped": False,
            },
        ),
    ]

    def test_apply(self):
        table = RouteTable()
        table.apply(routes_push(route(), revision=2))
        table.apply(self.push)
        self.assertEqual(self.held, table.get(KEY) is not None)
        self.assertEqual(self.dropped, KEY in table.dropped)

    def test_back(self):
        table = RouteTable()
        table.apply(routes_push(route(), revision=2))
        table.apply(routes_push(revision=3))
        table.apply(routes_push(route(), revision=4))
        self.assertNotIn(KEY, table.dropped)


class Coalesced(testscenarios.TestWithScenarios, testtools.TestCase):
    """A difference counts only on the revision that it was made on.

    One replica pushed revision 2, which has the route; another one, which hadn't,
    pushes the way from 1 to 3. The route is in neither.
    """

    scenarios = [
        ("made on another revision", {"base": 1, "applied": False, "revision": 2}),
        ("made on this revision", {"base": 2, "applied": True, "revision": 3}),
    ]

    def test_apply(self):
        table = RouteTable()
        table.apply(routes_push(revision=1))
        table.apply(routes_push(route(), revision=2, base=1))
        push = routes_push(revision=3, base=self.base)
        self.assertEqual(self.applied, table.can_apply(push))
        self.assertEqual(self.applied, table.apply(push))
        self.assertEqual(self.revision, table.revision)


class Split(testscenarios.TestWithScenarios, testtools.TestCase):
    """Shares go by weight; a share of zero gets nothing."""

    scenarios = [
        ("first", {"number": 0.0, "service": "a"}),
        ("just below", {"number": 0.899, "service": "a"}),
        ("second", {"number": 0.9, "service": "c"}),
        ("last", {"number": 0.999999, "service": "c"}),
    ]

    def test_share(self):
        weights = {"a": 90, "b": 0, "c": 10}
        shares = [ServiceShare(service=s, weight=w) for s, w in weights.items()]
        split = Route(group=RouteGroup(keys=KEY, shares=shares, former=["d"]))
        self.assertEqual(self.service, split.pick_service(self.number))
        self.assertEqual({"a", "b", "c", "d"}, split.services)


def configuration(revision, *routes):
    """Return some routes in force."""
    return PacketConfiguration(revision=revision, routes=list(routes), document=b"")


class Differences(testtools.TestCase):
    """A push holds only what changed."""

    def test_diff(self):
        stays, goes = route(), route(port=8_443)
        comes = route(port=9_443)
        push = diff_routes(
            configuration(3, stays, goes), configuration(5, stays, comes)
        )
        self.assertEqual((5, 3), (push.revision, push.base))
        self.assertEqual(
            [pack_route_keys([comes])], [group.keys for group in push.groups]
        )
        self.assertEqual(pack_route_keys([goes]), push.dropped)

    def test_whole(self):
        push = diff_routes(None, configuration(5, route()))
        self.assertEqual((5, 0, b""), (push.revision, push.base, push.dropped))


class Grouped(testtools.TestCase):
    """Routes that lead to the same services travel as one group."""

    def test_many(self):
        """1,200 routes to two services, one with a past, take 6 bytes each."""
        routes = [route(f"s-{n % 2}", port=1_000 + n) for n in range(1_200)]
        routes.append(route("s-0", port=9_999, former=["old"]))
        self.assertEqual(3, len(group_routes(routes)))
        data = encode(diff_routes(None, configuration(5, *routes)))
        self.assertThat(len(data), LessThan(8_000))
        table = RouteTable()
        table.apply(decode(data))
        self.assertEqual(len(routes), len(table))
        for one in routes:
            held = table.get(route_key(one.host, one.port))
            services = [share.service for share in one.shares] + one.former
            self.assertEqual(set(services), held.services)

    def test_cut(self):
        """A cut key names no route."""
        cut = routes_push(route()).replace(
            groups=[
                RouteGroup(
                    keys=KEY + b"\0\0",
                    shares=[ServiceShare(service="a", weight=1)],
                    former=[],
                )
            ]
        )
        table = RouteTable()
        table.apply(cut)
        self.assertEqual(1, len(table))
