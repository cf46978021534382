"""tests.test_forwarderstart: Tests of a forwarder's start before its event loop."""

import errno
import os
import random
import socket
import threading
from itertools import pairwise
from unittest import mock

import testtools
from testtools.matchers import GreaterThan, LessThan, Not

from demo.cluster import BASE_VARIABLE, default_base
from knapweeddeal import forwarderstart
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.forwardercore import ForwarderCore
from knapweeddeal.forwarderstart import (
    IDLE_MS,
    RETRY_MS,
    SeedConnection,
    SeedConnections,
    _forward_until_idle,
)
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import ControlState, UpstreamsPush
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetsocket import PacketSocket, bind_packet_socket
from knapweeddeal.replicaselector import ReplicaSelector
from tests.packetfakes import ZONE, packet, route, routes_push, state
from tests.processes import wait_until

PORT = 7_000
BASE = int(os.environ.get(BASE_VARIABLE, 0)) or default_base()
FIRST, SECOND = f"127.{BASE}.91.1", f"127.{BASE}.91.2"
PACKETS = (f"127.{BASE}.91.9", 7_002)
ROUTES = routes_push(route(), revision=4)
UPSTREAMS = UpstreamsPush(
    whole=True, states=[state(1, host=f"127.{BASE}.91.8", port=7_005)]
)
CONTROL_STATE = ControlState(zone=ZONE, current=True, revision=4, replicas=[])


class FakeSettings:
    """Hold the settings that the start reads."""

    name = "front-1"
    zone = ZONE
    packets = PACKETS
    link_mbps = None
    admission = "on"
    packet_flow_idle_ms = 15_000
    admission = "on"
    seed_addresses = ((FIRST, PORT), (SECOND, PORT))


def make_core():
    """Return a core without routes and upstreams."""
    selector = ReplicaSelector(
        seeds=FakeSettings.seed_addresses, zone=ZONE, random=random.random
    )
    return ForwarderCore(
        settings=FakeSettings(),
        selector=selector,
        random=random.random,
        metrics=Metrics(),
    )


def open_socket(case, core):
    """Return the packet socket of a core."""
    packet_socket = PacketSocket(
        udp_socket=bind_packet_socket(PACKETS),
        forwarder=core.forwarder,
        egress=core.egress,
        metrics=core.metrics,
    )
    case.addCleanup(packet_socket.close)
    return packet_socket


class FakeReplica:
    """Answer the first data of one connection with some messages."""

    def __init__(self, *, host, messages):
        self._listener = socket.create_server((host, PORT))
        self._data = b"".join(map(encode, messages))
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(1_024)
            connection.sendall(self._data)
            connection.recv(1_024)

    def close(self):
        """Wait for the end of the connection, and stop listening."""
        self._thread.join(5)
        self._listener.close()


class RecordedConnections:
    """Record when connections are opened to each seed."""

    def __init__(self, case):
        self.opened_ms = {}
        case.patch(forwarderstart, "SeedConnection", self._open)

    @property
    def count(self):
        """Return the number of connections to all seeds."""
        return sum(map(len, self.opened_ms.values()))

    def _open(self, *, address, core):
        self.opened_ms.setdefault(address, []).append(monotonic_ms())
        return SeedConnection(address=address, core=core)


class SeedPolling(testtools.TestCase):
    """Seeds are queried without blocking, and again while they refuse.

    A forwarder that waits for one seed, or gives up on one that starts late, drops
    packets for longer than necessary.
    """

    def setUp(self):
        super().setUp()
        self.core = make_core()
        self.seeds = SeedConnections(settings=FakeSettings(), core=self.core)
        self.addCleanup(self.seeds.close)

    def replica(self, host, *messages):
        """Start a replica."""
        replica = FakeReplica(host=host, messages=messages)
        self.addCleanup(replica.close)
        self.addCleanup(self.seeds.close)
        return replica

    def is_ready(self):
        """Poll once; return whether the core is ready."""
        self.seeds.poll()
        return self.core.is_ready

    def test_no_seed(self):
        for _ in range(10):
            self.assertFalse(self.is_ready())

    def test_late_replica(self):
        self.assertFalse(self.is_ready())
        self.replica(SECOND, CONTROL_STATE, ROUTES, UPSTREAMS)
        wait_until(self.is_ready, "routes and upstreams")
        self.assertEqual(4, self.core.routes.revision)

    def test_empty_replica(self):
        """A replica that lost its disk has no routes: further seeds are queried."""
        self.replica(FIRST, CONTROL_STATE, UPSTREAMS)
        wait_until(lambda: self.is_ready() or len(self.core.pool), "upstreams")
        self.assertFalse(self.core.is_ready)
        self.replica(SECOND, CONTROL_STATE, ROUTES, UPSTREAMS)
        wait_until(self.is_ready, "routes")

    def test_refused(self):
        """A seed that refuses isn't retried at once, which would use up the CPU."""
        began_ms, polls = monotonic_ms(), 0
        opened = RecordedConnections(self)
        while monotonic_ms() - began_ms < 10 * RETRY_MS:
            self.is_ready()
            polls += 1
        self.assertGreater(polls, 40)
        self.assertEqual({(FIRST, PORT), (SECOND, PORT)}, set(opened.opened_ms))
        for times_ms in opened.opened_ms.values():
            gaps_ms = [after - before for before, after in pairwise(times_ms)]
            self.assertThat(len(gaps_ms), GreaterThan(2))
            self.assertThat(min(gaps_ms), Not(LessThan(RETRY_MS)))

    def test_silent_seeds(self):
        """Connections to VMs without power, which drop each SYN, are opened anew."""
        for host in (FIRST, SECOND):
            self.fill_backlog(host)
        opened = RecordedConnections(self)
        wait_until(lambda: self.is_ready() or opened.count >= 6, "new connections")

    def fill_backlog(self, host):
        """Listen at a host with a full backlog, so that nothing can connect."""
        listener = socket.create_server((host, PORT), backlog=0)
        self.addCleanup(listener.close)
        for _ in range(2):
            pending = socket.socket()
            self.addCleanup(pending.close)
            pending.setblocking(False)
            pending.connect_ex((host, PORT))

    def test_later_routes(self):
        """Later routes are received from a seed that first sent an older revision."""
        listener = socket.create_server((FIRST, PORT))
        self.addCleanup(listener.close)
        self.is_ready()
        connection, _ = listener.accept()
        self.addCleanup(connection.close)
        for message in (ROUTES, UPSTREAMS):
            connection.sendall(encode(message))
        wait_until(self.is_ready, "routes and upstreams")
        connection.sendall(encode(routes_push(route(), revision=5)))
        wait_until(lambda: self.is_ready() and self.revision() == 5, "later routes")

    def revision(self):
        """Return the revision of the routes."""
        return self.core.routes.revision

    def test_malformed_answer(self):
        """After malformed messages from a seed, another seed is used."""
        listener = socket.create_server((FIRST, PORT))
        self.addCleanup(listener.close)
        self.is_ready()
        connection, _ = listener.accept()
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        connection.close()
        self.replica(SECOND, CONTROL_STATE, ROUTES, UPSTREAMS)
        wait_until(self.is_ready, "routes and upstreams")

    def test_no_descriptor(self):
        """A lack of descriptors at the start delays the query and ends nothing."""
        with mock.patch.object(
            forwarderstart.socket, "socket", fail_without_descriptor
        ):
            self.assertFalse(self.is_ready())
        self.replica(FIRST, CONTROL_STATE, ROUTES, UPSTREAMS)
        wait_until(self.is_ready, "routes and upstreams")


def fail_without_descriptor(*_arguments):
    """Raise the error of a process without free descriptors."""
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


class EarlyForwarding(testtools.TestCase):
    """Pending packets are forwarded before the slow import of the event loop."""

    def test_late_seed(self):
        """A seed may start later than the forwarder, as after a power loss."""
        core = make_core()
        packet_socket = open_socket(self, core)
        seeds = SeedConnections(settings=FakeSettings(), core=core)
        self.addCleanup(seeds.close)
        timer = threading.Timer(3 * IDLE_MS / 1000, self.start_replica)
        timer.start()
        _forward_until_idle(packet_socket, core, seeds)
        timer.join()
        seeds.close()
        self.assertTrue(core.is_ready)

    def start_replica(self):
        """Start a replica that sends all state."""
        replica = FakeReplica(host=FIRST, messages=(CONTROL_STATE, ROUTES, UPSTREAMS))
        self.addCleanup(replica.close)

    def test_forwarded(self):
        upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(upstream.close)
        upstream.bind((f"127.{BASE}.91.8", 7_005))
        upstream.settimeout(2)
        core = make_core()
        packet_socket = open_socket(self, core)
        pending = packet(echo=(1).to_bytes(4, "little"), data=b"x")
        upstream.sendto(pending, PACKETS)
        replica = FakeReplica(host=FIRST, messages=(CONTROL_STATE, ROUTES, UPSTREAMS))
        self.addCleanup(replica.close)
        seeds = SeedConnections(settings=FakeSettings(), core=core)
        self.addCleanup(seeds.close)
        wait_until(lambda: seeds.poll() or core.is_ready, "routes and upstreams")
        _forward_until_idle(packet_socket, core, seeds)
        self.assertEqual((1).to_bytes(8, "big") + pending, upstream.recv(2_048))
