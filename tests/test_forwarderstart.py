"""tests.test_forwarderstart: Tests of a forwarder's first moments."""

import os
import random
import socket
import threading

import testtools
from testtools.matchers import LessThan

from demo.cluster import BASE_VARIABLE, default_base
from knapweeddeal import forwarderstart
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.forwardercore import ForwarderCore
from knapweeddeal.forwarderstart import (
    QUIET_MS,
    RETRY_MS,
    SeedConnection,
    SeedConnections,
    _forward_first,
)
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import ControlState, UpstreamsPush
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetsocket import bind_packet_socket
from knapweeddeal.replicaselector import ReplicaSelector
from tests.packetfakes import ZONE, packet, route, routes_push, state
from tests.processes import wait_until

PORT = 7_000
BASE = int(os.environ.get(BASE_VARIABLE, 0)) or default_base()
FIRST, SECOND = f"127.{BASE}.91.1", f"127.{BASE}.91.2"
PACKETS = (f"127.{BASE}.91.9", 7_002)
ROUTES = routes_push(route(), revision=4)
TOLD = UpstreamsPush(whole=True, states=[state(1, host=f"127.{BASE}.91.8", port=7_005)])
HEARD = ControlState(zone=ZONE, current=True, revision=4, replicas=[])


class FakeSettings:
    """Hold the settings that the start reads."""

    name = "front-1"
    zone = ZONE
    packets = PACKETS
    packet_flow_idle_ms = 15_000
    seed_addresses = ((FIRST, PORT), (SECOND, PORT))


def make_core():
    """Return a core that knows nothing."""
    choice = ReplicaSelector(
        seeds=FakeSettings.seed_addresses, zone=ZONE, random=random.random
    )
    return ForwarderCore(
        settings=FakeSettings(), choice=choice, random=random.random, metrics=Metrics()
    )


class FakeReplica:
    """Answer one connection with some messages."""

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
        """Wait for the end of the connection."""
        self._thread.join(5)
        self._listener.close()


class CountedConnects:
    """Count the connections that seeds are asked for."""

    def __init__(self, case):
        self.count = 0
        case.patch(forwarderstart, "SeedConnection", self._ask)

    def _ask(self, **fields):
        self.count += 1
        return SeedConnection(**fields)


class FirstBeliefs(testtools.TestCase):
    """The seeds are asked without waiting, again while they refuse."""

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
        """Poll once; tell whether enough is known."""
        self.seeds.poll()
        return self.core.is_ready

    def test_nobody(self):
        for _ in range(10):
            self.assertFalse(self.is_ready())

    def test_late_replica(self):
        self.assertFalse(self.is_ready())
        self.replica(SECOND, HEARD, ROUTES, TOLD)
        wait_until(self.is_ready, "beliefs")
        self.assertEqual(4, self.core.routes.revision)

    def test_empty_replica(self):
        """One that lost its disk knows upstreams and no routes: others are asked on."""
        self.replica(FIRST, HEARD, TOLD)
        wait_until(lambda: self.is_ready() or len(self.core.pool), "upstreams")
        self.assertFalse(self.core.is_ready)
        self.replica(SECOND, HEARD, ROUTES, TOLD)
        wait_until(self.is_ready, "routes")

    def test_refused(self):
        """A seed that refuses isn't asked again at once: that would take the core."""
        began_ms, polls = monotonic_ms(), 0
        refused = CountedConnects(self)
        while monotonic_ms() - began_ms < 10 * RETRY_MS:
            self.is_ready()
            polls += 1
        self.assertGreater(polls, 40)
        self.assertThat(refused.count, LessThan(2 * 11))

    def test_silent_seeds(self):
        """A VM without power drops what opens connections: they are opened anew."""
        for host in (FIRST, SECOND):
            self.fill_backlog(host)
        opened = CountedConnects(self)
        wait_until(lambda: self.is_ready() or opened.count >= 6, "new connections")

    def fill_backlog(self, host):
        """Listen at a host in a way that lets no connection through."""
        listener = socket.create_server((host, PORT), backlog=0)
        self.addCleanup(listener.close)
        for _ in range(2):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex((host, PORT))

    def test_later_routes(self):
        """Routes that come after a remembered revision are taken from the same seed."""
        listener = socket.create_server((FIRST, PORT))
        self.addCleanup(listener.close)
        self.is_ready()
        connection, _ = listener.accept()
        self.addCleanup(connection.close)
        for message in (ROUTES, TOLD):
            connection.sendall(encode(message))
        wait_until(self.is_ready, "beliefs")
        connection.sendall(encode(routes_push(route(), revision=5)))
        wait_until(lambda: self.is_ready() and self.revision() == 5, "later routes")

    def revision(self):
        """Return the revision of the routes that are held."""
        return self.core.routes.revision

    def test_nonsense(self):
        """A seed that sends something else is asked again later."""
        listener = socket.create_server((FIRST, PORT))
        self.addCleanup(listener.close)
        self.is_ready()
        connection, _ = listener.accept()
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        connection.close()
        self.replica(SECOND, HEARD, ROUTES, TOLD)
        wait_until(self.is_ready, "beliefs")


class Rush(testtools.TestCase):
    """Packets that wait are forwarded before the event loop is loaded."""

    def test_late_seed(self):
        """After a power loss the seeds may start later than this forwarder."""
        port = bind_packet_socket(PACKETS)
        self.addCleanup(port.close)
        core = make_core()
        seeds = SeedConnections(settings=FakeSettings(), core=core)
        self.addCleanup(seeds.close)
        late = threading.Timer(3 * QUIET_MS / 1000, self.start_replica)
        late.start()
        _forward_first(port, core, seeds)
        late.join()
        seeds.close()
        self.assertTrue(core.is_ready)

    def start_replica(self):
        """Start a replica that answers."""
        replica = FakeReplica(host=FIRST, messages=(HEARD, ROUTES, TOLD))
        self.addCleanup(replica.close)

    def test_forwarded(self):
        upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(upstream.close)
        upstream.bind((f"127.{BASE}.91.8", 7_005))
        upstream.settimeout(2)
        port = bind_packet_socket(PACKETS)
        self.addCleanup(port.close)
        waiting = packet(echo=(1).to_bytes(4, "little"), data=b"x")
        upstream.sendto(waiting, PACKETS)
        core = make_core()
        replica = FakeReplica(host=FIRST, messages=(HEARD, ROUTES, TOLD))
        self.addCleanup(replica.close)
        seeds = SeedConnections(settings=FakeSettings(), core=core)
        self.addCleanup(seeds.close)
        wait_until(lambda: seeds.poll() or core.is_ready, "beliefs")
        _forward_first(port, core, seeds)
        self.assertEqual((1).to_bytes(8, "big") + waiting, upstream.recv(2_048))
