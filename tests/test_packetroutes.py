"""tests.test_packetroutes: Tests of a forwarder's route table."""

import testscenarios
import testtools
from testtools.matchers import LessThan

from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.packets import (
    NO_ROUTE_TERMS,
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


class AppliedPush(testscenarios.TestWithScenarios, testtools.TestCase):
    """A late push must not bring back old routes; removed routes are recorded."""

    scenarios = [
        (
            "lower revision",
            {"push": routes_push(revision=1), "is_held": True, "is_dropped": False},
        ),
        (
            "equal revision",
            {"push": routes_push(revision=2), "is_held": True, "is_dropped": False},
        ),
        (
            "full push",
            {"push": routes_push(revision=3), "is_held": False, "is_dropped": True},
        ),
        (
            "removed by a difference",
            {
                "push": routes_push(revision=3, base=2, dropped=[route()]),
                "is_held": False,
                "is_dropped": True,
            },
        ),
        (
            "not in a difference",
            {
                "push": routes_push(revision=3, base=2),
                "is_held": True,
                "is_dropped": False,
            },
        ),
    ]

    def test_apply(self):
        table = RouteTable()
        table.apply(routes_push(route(), revision=2))
        table.apply(self.push)
        self.assertEqual(self.is_held, table.get(KEY) is not None)
        self.assertEqual(self.is_dropped, KEY in table.dropped)

    def test_route_added_again(self):
        table = RouteTable()
        table.apply(routes_push(route(), revision=2))
        table.apply(routes_push(revision=3))
        table.apply(routes_push(route(), revision=4))
        self.assertNotIn(KEY, table.dropped)


class DifferenceOnOtherRevision(testscenarios.TestWithScenarios, testtools.TestCase):
    """A difference is applied only to the revision that it is based on.

    One replica pushes revision 2, which adds a route; another one, which skipped
    revision 2, pushes the difference from 1 to 3. Neither removes the route, which
    revision 3 doesn't have.
    """

    scenarios = [
        ("based on another revision", {"base": 1, "applied": False, "revision": 2}),
        ("based on this revision", {"base": 2, "applied": True, "revision": 3}),
    ]

    def test_apply(self):
        table = RouteTable()
        table.apply(routes_push(revision=1))
        table.apply(routes_push(route(), revision=2, base=1))
        push = routes_push(revision=3, base=self.base)
        self.assertEqual(self.applied, table.can_apply(push))
        self.assertEqual(self.applied, table.apply(push))
        self.assertEqual(self.revision, table.revision)


class WeightedShares(testscenarios.TestWithScenarios, testtools.TestCase):
    """Services are chosen by weight; one of weight zero gets no flow."""

    scenarios = [
        ("lowest number", {"number": 0.0, "service": "a"}),
        ("just below the bound", {"number": 0.899, "service": "a"}),
        ("at the bound", {"number": 0.9, "service": "c"}),
        ("highest number", {"number": 0.999999, "service": "c"}),
    ]

    def test_share(self):
        weights = {"a": 90, "b": 0, "c": 10}
        shares = [ServiceShare(service=s, weight=w) for s, w in weights.items()]
        group = RouteGroup(keys=KEY, shares=shares, former=["d"], terms=NO_ROUTE_TERMS)
        weighted_route = Route(group=group)
        self.assertEqual(self.service, weighted_route.pick_service(self.number))
        self.assertEqual({"a", "b", "c", "d"}, weighted_route.services)


def configuration(revision, *routes):
    """Return a configuration with some routes."""
    return PacketConfiguration(
        revision=revision, routes=list(routes), document=b"", services=[]
    )


class Differences(testtools.TestCase):
    """A push holds only the changed and removed routes."""

    def test_diff(self):
        kept, removed = route(), route(port=8_443)
        added = route(port=9_443)
        push = diff_routes(
            configuration(3, kept, removed), configuration(5, kept, added)
        )
        self.assertEqual((5, 3), (push.revision, push.base))
        self.assertEqual(
            [pack_route_keys([added])], [group.keys for group in push.groups]
        )
        self.assertEqual(pack_route_keys([removed]), push.dropped)

    def test_full_push(self):
        push = diff_routes(None, configuration(5, route()))
        self.assertEqual((5, 0, b""), (push.revision, push.base, push.dropped))


class GroupedRoutes(testtools.TestCase):
    """Routes to the same services are sent as one group, to keep pushes small."""

    def test_many(self):
        """1,200 routes to two services, one with a former one, take 6 bytes each."""
        routes = [route(f"s-{n % 2}", port=1_000 + n) for n in range(1_200)]
        routes.append(route("s-0", port=9_999, former=["old"]))
        self.assertEqual(3, len(group_routes(routes)))
        data = encode(diff_routes(None, configuration(5, *routes)))
        self.assertThat(len(data), LessThan(8_000))
        table = RouteTable()
        table.apply(decode(data))
        self.assertEqual(len(routes), len(table))
        for expected_route in routes:
            held = table.get(route_key(expected_route.host, expected_route.port))
            services = [
                share.service for share in expected_route.shares
            ] + expected_route.former
            self.assertEqual(set(services), held.services)

    def test_truncated_key(self):
        """A truncated key at the end is ignored."""
        cut = routes_push(route()).replace(
            groups=[
                RouteGroup(
                    keys=KEY + b"\0\0",
                    shares=[ServiceShare(service="a", weight=1)],
                    former=[],
                    terms=NO_ROUTE_TERMS,
                )
            ]
        )
        table = RouteTable()
        table.apply(cut)
        self.assertEqual(1, len(table))
