"""tests.test_sharedloads: Tests of the use of pushed loads in a forwarder."""

import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from knapweeddeal.messages.loads import (
    ServiceLoadPush,
    UpstreamLoad,
    UpstreamLoads,
    ZoneRoom,
)
from knapweeddeal.packetupstreams import UpstreamPool
from knapweeddeal.sharedloads import FIGURES_LIFE_MS, ServiceLoad
from tests.packetfakes import SERVICE, ZONE, state

OTHER_ZONES = ("zone-b", "zone-c")


def loads_push(*, upstreams=(), rooms=()):
    """Return a push of (number, load, slowness, share) and (zone, leave, avoid)."""
    service = ServiceLoadPush(
        service=SERVICE,
        load_milli=1_500,
        rejected_milli=250,
        response_ms=90,
        upstreams=[
            UpstreamLoad(
                upstream_id=f"i-{number}",
                load_milli=load,
                slowness_percent=slowness,
                divert_milli=divert,
            )
            for number, load, slowness, divert in upstreams
        ],
        zones=[
            ZoneRoom(zone=zone, leave_milli=leave, avoid_milli=avoid)
            for zone, leave, avoid in rooms
        ],
    )
    return UpstreamLoads(services=[service])


class FlowSharesTest(testtools.TestCase):
    """Flows of many forwarders follow the pushed shares, not all at once."""

    FLOWS = 4_000

    def shares(self, push, *, age_ms=0):
        """Return the share of flows that each upstream gets, by number."""
        rng = random.Random(5)
        zones = (ZONE, ZONE, *OTHER_ZONES)
        states = [state(n, zone=zone) for n, zone in enumerate(zones, start=1)]
        pool = UpstreamPool(zone=ZONE, random=rng.random)
        pool.apply_states(states, 0, current=True)
        if push is not None:
            pool.shared_loads.apply(push, 0)
        chosen = [pool.choose(SERVICE, age_ms) for _ in range(self.FLOWS)]
        return [
            sum(one.state.upstream_id == f"i-{n}" for one in chosen) / self.FLOWS
            for n in (1, 2, 3, 4)
        ]

    def assert_shares(self, expected, shares):
        """Check that shares are the expected ones but for chance."""
        for one, share in zip(expected, shares, strict=True):
            self.assertThat(abs(one - share), LessThan(0.03), shares)

    def test_leaving(self):
        """40 % leave a crowded zone and are spread evenly over the others."""
        push = loads_push(rooms=[(ZONE, 400, 1_000), *((z, 0, 0) for z in OTHER_ZONES)])
        self.assert_shares([0.3, 0.3, 0.2, 0.2], self.shares(push))

    def test_avoiding(self):
        """Of the flows that leave, a zone with half the room gets a third."""
        rooms = [(ZONE, 400, 1_000), (OTHER_ZONES[0], 0, 500), (OTHER_ZONES[1], 0, 0)]
        shares = self.shares(loads_push(rooms=rooms))
        self.assert_shares([0.3, 0.3, 0.1, 0.3], shares)

    def test_slow_upstream(self):
        """A slow upstream gets the share that isn't diverted; no flow crosses."""
        push = loads_push(upstreams=[(1, 300, 200, 700)])
        self.assert_shares([0.15, 0.85, 0, 0], self.shares(push))

    def test_no_room_elsewhere(self):
        """Flows stay if all other zones are to be avoided."""
        push = loads_push(rooms=[(ZONE, 500, 0), *((z, 0, 1_000) for z in OTHER_ZONES)])
        self.assert_shares([0.5, 0.5, 0, 0], self.shares(push))

    def test_too_old(self):
        """Figures that are missing or too old leave today's choice as it is."""
        push = loads_push(upstreams=[(1, 300, 500, 960)], rooms=[(ZONE, 500, 1_000)])
        without = self.shares(None)
        self.assertEqual(without, self.shares(push, age_ms=FIGURES_LIFE_MS))
        shares = self.shares(push, age_ms=FIGURES_LIFE_MS - 1)
        self.assertThat(without[0], GreaterThan(shares[0]))


class ServiceLoads(testtools.TestCase):
    """Admission control gets the load of a service, and None when it is too old."""

    def test_service_load(self):
        pool = UpstreamPool(zone=ZONE, random=random.random)
        pool.shared_loads.apply(loads_push(), 1_000)
        load = ServiceLoad(
            load_per_slot=1.5, rejected_share=0.25, response_ms=90, age_ms=1_499
        )
        self.assertEqual(load, pool.service_load(SERVICE, 2_499))
        self.assertIsNone(pool.service_load(SERVICE, 2_500))
        self.assertIsNone(pool.service_load("other", 1_000))
        self.assertEqual([SERVICE], pool.shared_loads.expire(2_500))
