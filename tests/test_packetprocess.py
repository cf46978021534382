"""tests.test_packetprocess: Packets through real processes on loopback."""

import socket
import struct

import testtools

from knapweeddeal.forwarderlinks import SUBSCRIPTION_COUNT
from knapweeddeal.packetheader import RST, SYN
from tests.packetcluster import ROUTE_HOST, ROUTE_PORT, PacketCluster, document
from tests.processes import wait_until

ID = bytes.fromhex("000000000000ab12")


class Packets(testtools.TestCase):
    """The whole path, and what it survives."""

    def setUp(self):
        super().setUp()
        self.cluster = PacketCluster()
        self.addCleanup(self.cluster.close)
        self.cluster.start()
        self.cluster.publish(5)
        wait_until(lambda: self.cluster.report() == 200, "a confirmed report")
        wait_until(lambda: self.cluster.readiness() == 200, "a ready forwarder")

    def packet(self, flags, *, echo=0, port=4_000, to=ROUTE_PORT, data=b""):
        """Return a caller's packet."""
        source = socket.inet_aton(self.cluster.host(21))
        target = socket.inet_aton(ROUTE_HOST)
        head = struct.pack("<BBIHII", flags, 0, echo, len(data), 7, 0)
        head += struct.pack("<H", to) + target[::-1]
        return head + struct.pack("<H", port) + source[::-1] + bytes(4) + data

    def open(self, port):
        """Open a flow and return its echo."""
        self.cluster.send(self.packet(SYN, port=port))
        data = self.cluster.receive_at_upstream()
        self.assertIsNotNone(data, "no SYN at the upstream")
        self.assertEqual(ID, data[:8])
        return int.from_bytes(data[10:14], "little")

    def assert_carried(self, port, echo):
        """Check that a packet of an open flow arrives as it is."""
        packet = self.packet(0, echo=echo, port=port, data=b"hello")
        self.cluster.send(packet)
        self.assertEqual(ID + packet, self.cluster.receive_at_upstream())

    def test_path(self):
        """A flow opens and is carried; routes come and go; the rest is reset."""
        cluster = self.cluster
        echo = self.open(4_001)
        self.assert_carried(4_001, echo)
        cluster.send(self.packet(SYN, to=ROUTE_PORT + 1))
        self.assertEqual(RST, cluster.receive_at_caller()[0])
        cluster.publish(6, routes=2)
        wait_until(lambda: self._reaches(ROUTE_PORT + 1), "the new route")
        self.assert_carried(4_001, echo)
        self.assertEqual(400, cluster.call("PUT", "/-/config", {"version": 9})[0])
        self.assertEqual(200, cluster.call("PUT", "/-/config", document(4))[0])
        self.assertEqual(6, cluster.published())
        self.assertIn("knapweeddeal_flows_offered_total", cluster.metrics())
        wait_until(
            lambda: len(self._subscriptions()) == SUBSCRIPTION_COUNT, "subscriptions"
        )
        self.assertEqual({"forwarder"}, set(self._subscriptions()))
        packets = cluster.dump(cluster.replicas[0])["packets"]
        self.assertEqual("i-ab12", packets["upstreams"][0]["upstream_id"])
        self.assertEqual(6, cluster.dump(cluster.host(11))["revision"])

    def _subscriptions(self):
        """Return the forwarders that replicas serve; each has two of the three."""
        dumps = [self.cluster.dump(host) for host in self.cluster.replicas]
        return [name for dump in dumps for name in dump["packets"]["forwarders"]]

    def _reaches(self, to):
        self.cluster.send(self.packet(SYN, to=to, port=4_100))
        return self.cluster.receive_at_upstream()

    def test_leaving(self):
        """A leaving upstream keeps its flows and gets no new ones."""
        echo = self.open(4_001)
        self.assertEqual(200, self.cluster.report("draining"))
        wait_until(self._is_refused, "a refused SYN")
        self.assert_carried(4_001, echo)

    def _is_refused(self):
        self.cluster.send(self.packet(SYN, port=4_200))
        self.cluster.upstream.settimeout(0.2)
        taken = self.cluster.receive_at_upstream()
        self.cluster.upstream.settimeout(2.0)
        return taken is None and self.cluster.receive_at_caller()[0] == RST

    def test_planned_stop(self):
        """A forwarder that stops turns not ready and goes on for a while."""
        echo = self.open(4_001)
        self.cluster.forwarder.signal(15)
        wait_until(lambda: self.cluster.readiness() == 503, "not ready")
        self.assert_carried(4_001, echo)
        self.assertEqual(0, self.cluster.forwarder.process.wait(10))

    def test_all_killed(self):
        """After all processes were killed, flows go on before any report comes."""
        echo = self.open(4_001)
        self.cluster.kill_all()
        self.cluster.start()
        wait_until(lambda: self.cluster.readiness() == 200, "a ready forwarder")
        self.assert_carried(4_001, echo)
        wait_until(lambda: self.cluster.published() == 5, "the configuration")

    def test_lost_disk(self):
        """A replica whose disk is lost is replaced without an operator."""
        before = wait_until(self.cluster.members, "members")
        self.cluster.restart(self.cluster.replicas[2], empty=True)
        after = wait_until(lambda: self._swapped(before), "new members")
        self.assertEqual(2, len(before & after))
        self.cluster.publish(6)

    def _swapped(self, before):
        members = self.cluster.members()
        return members if len(members) == 3 and members != before else None
