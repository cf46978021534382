"""soak.strangers: Input of other writers and clients that break the protocol."""

import socket
import time

from knapweeddeal.packetheader import SYN
from soak.cluster import API_PORT, PACKET_PORT
from soak.peers import CALL_TIMEOUT_S, HEADER, PACKET_SUM, host_number
from soak.traffic import UPSTREAM_PORT

__all__ = ["Strangers"]

#: Pause between two calls.
INTERVAL_S = 0.02
#: First port of a stranger's flows, above those of the callers.
FIRST_PORT = 50_000
PORTS = 10_000
MAX_GARBAGE_BYTES = 64

#: Values that no field of a report or configuration may have.
BAD_VALUES = ("\ud800", "", "x" * 65, None, [], {}, -1, 2**70, 1.5, True)
#: Addresses that programs read in different ways.
BAD_ADDRESSES = ("127.0.0.08:1", "127.0.0.010:1", "::1:1", "127.0.0.1:01", "a:1")
BAD_HOSTS = tuple(address.rpartition(":")[0] for address in BAD_ADDRESSES[:3])


class Strangers:
    """Send calls that must be refused or change nothing, and malformed packets."""

    def __init__(self, *, cluster, traffic, make_document, problems, random):
        self._cluster = cluster
        self._client = traffic.client
        self._callers = traffic.callers
        self._make_document = make_document
        self._problems = problems
        self._random = random

    def send(self, duration_s):
        """Send random input for some time."""
        until_s = time.monotonic() + duration_s
        kinds = (self._bad_report, self._bad_configuration, self._bad_order)
        kinds += (self._foreign_report, self._garbage, self._packets)
        while time.monotonic() < until_s:
            self._random.choice(kinds)()
            time.sleep(INTERVAL_S)

    # Calls.

    def _bad_report(self):
        """Report as a running upstream, with a field missing or of another type."""
        upstream_id, report = self._report()
        name = self._random.choice(list(report))
        if self._random.random() < 0.5:
            del report[name]
        elif name == "addr":
            report[name] = self._random.choice(BAD_ADDRESSES)
        else:
            report[name] = self._random.choice(BAD_VALUES)
        upstream_id = self._random.choice((upstream_id, "i-ffff"))
        self._expect_refusal("PUT", f"/-/instances/{upstream_id}", report)

    def _foreign_report(self):
        """Report an unknown service at the address of a running upstream."""
        body = {**self._report()[1], "service": "elsewhere", "zone": "elsewhere"}
        name = f"i-{self._random.randrange(1, 16):x}"
        self._client.request("PUT", f"/-/instances/{name}", body)

    def _report(self):
        """Return id and report of a running upstream, with a later start."""
        host, upstream = self._random.choice(list(self._callers.upstreams.items()))
        return upstream.name, {
            "service": upstream.service,
            "addr": f"{host}:{UPSTREAM_PORT}",
            "zone": upstream.zone,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": time.time_ns() // 1_000_000 + 1_000,
        }

    def _bad_configuration(self):
        document = self._make_document(2**40)
        route = document["routes"][0]
        share = {"service": route["service"], "weight": 1}
        changes = [
            {"host": self._random.choice(BAD_HOSTS)},
            {"pathPrefix": self._random.choice(("/0443/", "/x/", "//", "/70000/"))},
            {"service": None, "split": [share] * 65},
            {"timeoutMs": self._random.choice((0, "1", None, float("nan")))},
            {"name": self._random.choice(("\ud800", "", None))},
        ]
        route.update(self._random.choice(changes))
        self._expect_refusal("PUT", "/-/config", document)

    def _bad_order(self):
        zone = self._random.choice(("z" * 65, "%00", "nowhere", "zone-a/x"))
        self._expect_refusal("POST", f"/-/evacuate/{zone}", None)

    def _expect_refusal(self, method, target, body):
        if self._client.request(method, target, body)[0] == 200:
            self._problems.add("invalid call was confirmed", target=target, body=body)

    def _garbage(self):
        """Send bytes that are no request to a replica, and none of the protocol."""
        host = self._random.choice(self._cluster.hosts)
        data = self._random.randbytes(self._random.randrange(MAX_GARBAGE_BYTES))
        try:
            with socket.create_connection((host, API_PORT), CALL_TIMEOUT_S) as one:
                one.sendall(data + b"\r\n\r\n")
        except OSError:
            return

    # Packets.

    def _packets(self):
        """Send malformed packets, and packets of flows that nobody opened."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for forwarder in self._cluster.forwarders:
                for data in (self._packet(), self._packet(), self._short_packet()):
                    sender.sendto(data, (forwarder, PACKET_PORT))

    def _short_packet(self):
        return self._random.randbytes(self._random.randrange(HEADER.size))

    def _packet(self):
        flags = self._random.choice((SYN, self._random.randrange(256)))
        route_port = self._random.choice((443, self._random.randrange(65_536)))
        return HEADER.pack(
            flags, self._random.randrange(256), self._random.getrandbits(32),
            self._random.randrange(1_201), self._random.getrandbits(32),
            self._random.randrange(4), route_port,
            host_number(self._callers.service_host),
            FIRST_PORT + self._random.randrange(PORTS),
            host_number(self._callers.host), PACKET_SUM,
        )  # fmt: skip
