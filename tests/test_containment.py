"""tests.test_containment: Unexpected errors end no process and no link."""

import random
import socket

import curio
import testtools

from knapweeddeal import forwardercore, forwarderlinks, packetforwarder, replicalink
from knapweeddeal.forwardercore import ForwarderCore
from knapweeddeal.forwarderlinks import maintain_subscription
from knapweeddeal.forwarderstart import SeedConnection
from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import ControlState
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetsocket import PacketSocket, bind_packet_socket
from knapweeddeal.replicalink import ReplicaLink
from knapweeddeal.replicaselector import ReplicaSelector
from knapweeddeal.stream import serve
from tests.packetfakes import ZONE
from tests.processes import free_port, wait_until

HOST = "127.0.0.1"
CONTROL_STATE = ControlState(zone=ZONE, current=True, revision=0, replicas=[])
#: Time in which a link is connected again after an error.
RECONNECT_S = 2


class FailsOnce:
    """Raise an error at the first call, and record the others."""

    def __init__(self):
        self.calls = []
        self._failed = False

    def __call__(self, *arguments):
        """Raise an error, or record the arguments."""
        if not self._failed:
            self._failed = True
            raise KeyError("unexpected")
        self.calls.append(arguments)
        return []


class Settings:
    """Hold the settings that a forwarder reads."""

    name = "front-1"
    zone = ZONE
    link_mbps = None
    admission = "on"
    packet_flow_idle_ms = 15_000
    heartbeat_ms = 100
    stream_timeout_ms = 1_000

    def __init__(self, address):
        self.seed_addresses = (address,)
        self.packets = address


class ReplicaStub:
    """Accept streams, send one message on each, and count the streams."""

    def __init__(self):
        self.address = (HOST, free_port())
        self.streams = 0

    async def run(self):
        """Serve until cancelled."""
        await serve(self.address, self._serve_stream)

    async def _serve_stream(self, stream):
        self.streams += 1
        await stream.send(CONTROL_STATE)
        await curio.sleep(RECONNECT_S)


def make_core(settings):
    """Return the core and the selector of a forwarder."""
    selector = ReplicaSelector(
        seeds=settings.seed_addresses, zone=ZONE, random=random.random
    )
    core = ForwarderCore(
        settings=settings, selector=selector, random=random.random, metrics=Metrics()
    )
    return core, selector


class OnePacket(testtools.TestCase):
    """A packet that can't be handled is dropped, and the next one is forwarded."""

    def test_next_handled(self):
        fails_once = FailsOnce()
        self.patch(packetforwarder.Forwarder, "handle_packet", fails_once)
        address = (HOST, free_port())
        core, _ = make_core(Settings(address))
        packet_socket = PacketSocket(
            udp_socket=bind_packet_socket(address),
            forwarder=core.forwarder,
            egress=core.egress,
            metrics=core.metrics,
        )
        self.addCleanup(packet_socket.close)
        caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(caller.close)
        for data in (b"first", b"second"):
            caller.sendto(data, address)
        self.assertEqual(2, packet_socket.forward_pending())
        self.assertEqual([b"second"], [call[0] for call in fails_once.calls])
        self.assertEqual(1, core.metrics.get("packet_errors"))


class OneMessage(testtools.TestCase):
    """A message that can't be handled ends its stream, and the next one is opened."""

    def setUp(self):
        super().setUp()
        self.fails_once = FailsOnce()
        self.replica = ReplicaStub()

    def test_subscription(self):
        self.patch(forwardercore.ForwarderCore, "handle_message", self.fails_once)
        self.patch(forwarderlinks, "RETRY_MS", 10)
        settings = Settings(self.replica.address)
        core, selector = make_core(settings)
        selector.add_addresses([self.replica.address])
        curio.run(self.run_beside, maintain_subscription(core, selector, settings))
        self.assertEqual(2, self.replica.streams)
        self.assertEqual(1, core.metrics.get("subscription_errors"))

    def test_link(self):
        link = ReplicaLink(
            address=self.replica.address,
            hello=self.fails_once,
            events=None,
            heartbeat_ms=100,
            timeout_ms=1_000,
        )
        self.patch(replicalink, "RECONNECT_DELAY_MS", 10)
        curio.run(self.run_beside, link.run())
        self.assertGreaterEqual(self.replica.streams, 2)

    async def run_beside(self, coroutine):
        """Run a task beside the replica until two streams were opened."""
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(self.replica.run)
            await curio.sleep(0.01)
            await group.spawn(coroutine)
            async with curio.ignore_after(RECONNECT_S):
                while self.replica.streams < 2:
                    await curio.sleep(0.01)

    def test_seed(self):
        """At the start, the connection fails, and another seed is queried."""
        listener = socket.create_server(self.replica.address)
        self.addCleanup(listener.close)
        core, _ = make_core(Settings(self.replica.address))
        self.patch(forwardercore.ForwarderCore, "handle_message", self.fails_once)
        connection = SeedConnection(address=self.replica.address, core=core)
        self.addCleanup(connection.close)
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        accepted.sendall(encode(CONTROL_STATE))
        wait_until(lambda: connection.receive() or connection.failure, "a failure")
        self.assertIn("unexpected", connection.failure)
