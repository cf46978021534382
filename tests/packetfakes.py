"""tests.packetfakes: Packets, upstreams and forwarders for tests."""

import struct

from knapweeddeal.egressqueue import EgressQueue
from knapweeddeal.messages.packets import (
    NO_ROUTE_TERMS,
    READY,
    PacketRoute,
    RoutesPush,
    ServiceShare,
    UpstreamState,
)
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetforwarder import Forwarder
from knapweeddeal.packetheader import FIN, SYN
from knapweeddeal.packetroutes import RouteTable, group_routes, pack_route_keys
from knapweeddeal.packetupstreams import UpstreamPool

ZONE = "zone-a"
CALLER_PORT = 9_000
SERVICE = "records"
HOST, PORT = "198.18.0.1", 443


class QuietLog:
    """Record log lines instead of writing them."""

    def __init__(self):
        self.lines = []

    def info(self, text, **fields):
        """Record a line."""
        self.lines.append((text, fields))

    warning = info


def packet(
    *,
    flags=0,
    echo=b"\0\0\0\0",
    copy=0,
    port=40_001,
    data=b"",
    to=PORT,
    sequence=7,
):
    """Return a packet of a caller; `copy` counts a SYN's retransmissions."""
    header = struct.pack("<BB", flags, 0) + echo
    header += struct.pack(
        "<HIIHIHI", len(data), sequence, copy, to, 0xC6120001, port, 0x64400007
    )
    return header + b"\xd5\xc3\xb2\xa1" + data


def syn(**fields):
    """Return a SYN."""
    return packet(flags=SYN, **fields)


def fin(**fields):
    """Return a FIN."""
    return packet(flags=FIN, **fields)


def state(number=1, **changes):
    """Return the state that an upstream reports."""
    values = {
        "upstream_id": f"i-{number:x}",
        "born_ms": 1_000,
        "sequence": 1,
        "service": SERVICE,
        "zone": ZONE,
        "host": f"10.0.0.{number}",
        "port": 80,
        "slots": 2,
        "status": READY,
        "cold_ms": 0,
        "silent": False,
        "failing": False,
        "home": 1,
        "hint": False,
        "echo_index": 0,
    }
    return UpstreamState(**{**values, **changes})


def route(*services, host=HOST, port=PORT, former=(), terms=NO_ROUTE_TERMS):
    """Return a route with equal shares."""
    shares = [ServiceShare(service=name, weight=1) for name in services or (SERVICE,)]
    return PacketRoute(
        host=host, port=port, shares=shares, former=list(former), terms=terms
    )


def routes_push(*routes, revision=1, base=0, dropped=(), services=()):
    """Return a push of routes: a difference from `base`, or all if it is 0."""
    return RoutesPush(
        revision=revision,
        base=base,
        groups=group_routes(routes),
        dropped=pack_route_keys(dropped),
        services=list(services),
    )


class ForwarderHarness:
    """Hold a forwarder with some routes and upstreams."""

    def __init__(
        self,
        *,
        routes=None,
        states=(),
        current=True,
        number=lambda: 0.0,
        link_mbps=None,
        zone=ZONE,
        admission=None,
    ):
        self.log = QuietLog()
        self.metrics = Metrics()
        self.routes = RouteTable()
        if routes is not None:
            self.routes.apply(routes_push(*routes))
        self.pool = UpstreamPool(zone=zone, random=number)
        self.pool.apply_states(list(states), 0, current=True)
        self.egress = EgressQueue(
            metrics=self.metrics, log=self.log, link_mbps=link_mbps
        )
        self.forwarder = Forwarder(
            routes=self.routes,
            pool=self.pool,
            egress=self.egress,
            random=number,
            metrics=self.metrics,
            log=self.log,
            caller_port=CALLER_PORT,
            flow_idle_ms=15_000,
        )
        self.forwarder.set_admission(admission)
        self.forwarder.has_leader = current

    def handle_packet(self, data, now_ms=0):
        """Return the packets that are sent for a packet."""
        out = []
        self.forwarder.handle_packet(data, now_ms, out)
        return out

    def open(self, *, port, now_ms=0, to=PORT):
        """Open a flow; return the address and the echo of its upstream."""
        (data, address), *_ = self.handle_packet(syn(port=port, to=to), now_ms)
        echo = data[8 + 2 : 8 + 6]
        self.handle_packet(packet(port=port, echo=echo, data=b"x", to=to), now_ms)
        return address, echo
