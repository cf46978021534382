"""tests.test_packetprocess: Tests of forwarding by processes on loopback."""

import json
import socket
import struct
import time

import curio
import testscenarios
import testtools

from knapweeddeal.clock import boot_ms
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.forwarderlinks import SUBSCRIPTION_COUNT
from knapweeddeal.messages.packets import ForwarderHello, RoutesPush
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.packetheader import RST, SYN
from knapweeddeal.stream import connect
from tests.packetcluster import ROUTE_HOST, ROUTE_PORT, STREAMS, PacketCluster, document
from tests.processes import wait_until
from tests.test_cmdline import run as run_tool

#: 4 requests a second x 1.5 + 5.
COLD_BOUND = 11
#: Time in which a confirmed configuration must be in force at forwarders.
APPLY_S = 3.0
ID_PREFIX = bytes.fromhex("000000000000ab12")


class PacketCase(testtools.TestCase):
    """Base of tests with a cluster that forwards packets to an upstream."""

    LINK_MBPS = ""
    FAULT_INJECTION = False

    def setUp(self):
        super().setUp()
        self.cluster = PacketCluster(
            link_mbps=self.LINK_MBPS, fault_injection=self.FAULT_INJECTION
        )
        self.addCleanup(self.cluster.close)
        self.cluster.start()
        self.cluster.publish(5)
        wait_until(lambda: self.cluster.report() == 200, "a confirmed report")
        wait_until(lambda: self.cluster.readiness() == 200, "a ready forwarder")

    def packet(self, flags, *, echo=0, port=4_000, to=ROUTE_PORT, data=b"", sequence=7):
        """Return a caller's packet."""
        source = socket.inet_aton(self.cluster.host(21))
        target = socket.inet_aton(ROUTE_HOST)
        header = struct.pack("<BBIHII", flags, 0, echo, len(data), sequence, 0)
        header += struct.pack("<H", to) + target[::-1]
        return header + struct.pack("<H", port) + source[::-1] + bytes(4) + data

    def open(self, port):
        """Open a flow and return its echo."""
        self.cluster.send(self.packet(SYN, port=port))
        data = self.cluster.receive_at_upstream()
        self.assertIsNotNone(data, "no SYN at the upstream")
        self.assertEqual(ID_PREFIX, data[:8])
        return int.from_bytes(data[10:14], "little")

    def assert_forwarded(self, port, echo):
        """Check that a packet of an open flow arrives unchanged."""
        packet = self.packet(0, echo=echo, port=port, data=b"hello")
        self.cluster.send(packet)
        self.assertEqual(ID_PREFIX + packet, self.cluster.receive_at_upstream())


class PacketPath(PacketCase):
    """Flows open and continue through restarts, kills and a lost disk."""

    def test_path(self):
        """Flows are forwarded while routes change; SYNs without a route are reset."""
        cluster = self.cluster
        echo = self.open(4_001)
        self.assert_forwarded(4_001, echo)
        cluster.send(self.packet(SYN, to=ROUTE_PORT + 1))
        self.assertEqual(RST, cluster.receive_at_caller()[0])
        cluster.publish(6, routes=2)
        wait_until(lambda: self._is_syn_forwarded(ROUTE_PORT + 1), "the new route")
        self.assert_forwarded(4_001, echo)
        self.assertEqual(400, cluster.call("PUT", "/-/config", {"version": 9})[0])
        self.assertEqual(200, cluster.call("PUT", "/-/config", document(4))[0])
        self.assertEqual(6, cluster.published())
        self.assertIn("knapweeddeal_flows_offered_total", cluster.metrics())
        wait_until(
            lambda: len(self._subscribers()) == SUBSCRIPTION_COUNT, "subscriptions"
        )
        self.assertEqual({"forwarder"}, set(self._subscribers()))
        packets = cluster.dump(cluster.replicas[0])["packets"]
        self.assertEqual("i-ab12", packets["upstreams"][0]["upstream_id"])
        self.assertEqual(6, cluster.dump(cluster.host(11))["revision"])

    def test_where(self):
        """One forwarder answers unchanged, one is missing; the status tells so."""
        before = self.cluster.dump(self.cluster.host(11))
        forwarder = f"{self.cluster.host(11)}:{STREAMS}"
        question = ["--json", "where", "100.64.0.7:1105", "--route"]
        status, output, _ = run_tool(
            *question, f"{ROUTE_HOST}:{ROUTE_PORT}", "--at", f"{forwarder},127.0.0.1:1"
        )
        answer, failure = json.loads(output)
        self.assertEqual((8, "unreachable"), (status, failure["error"]["code"]))
        self.assertEqual(("sent", "i-ab12"), (answer["outcome"], answer["upstream"]))
        after = self.cluster.dump(self.cluster.host(11))
        for part in ("flows", "upstreams", "egress"):
            self.assertEqual(before[part], after[part])
        status, output, _ = run_tool(*question, "198.18.0.9:1", "--at", forwarder)
        expected = (4, "no_route", "198.18.0.9:1")
        error = json.loads(output)
        self.assertEqual(expected, (status, error["code"], error["value"]))

    def _subscribers(self):
        """Return the subscribers of all replicas; a forwarder has two of the three."""
        dumps = [self.cluster.dump(host) for host in self.cluster.replicas]
        return [name for dump in dumps for name in dump["packets"]["forwarders"]]

    def _is_syn_forwarded(self, to):
        self.cluster.send(self.packet(SYN, to=to, port=4_100))
        return self.cluster.receive_at_upstream()

    def test_draining_upstream(self):
        """A draining upstream keeps its flows and gets no new ones."""
        echo = self.open(4_001)
        self.assertEqual(200, self.cluster.report("draining"))
        wait_until(self._is_syn_refused, "a refused SYN")
        self.assert_forwarded(4_001, echo)

    def _is_syn_refused(self):
        self.cluster.send(self.packet(SYN, port=4_200))
        self.cluster.upstream.settimeout(0.2)
        received = self.cluster.receive_at_upstream()
        self.cluster.upstream.settimeout(2.0)
        answer = self.cluster.receive_at_caller() if received is None else None
        return answer is not None and answer[0] == RST

    def test_planned_stop(self):
        """A stopping forwarder becomes not ready and still forwards for `stop_ms`."""
        echo = self.open(4_001)
        self.cluster.forwarder.signal(15)
        wait_until(lambda: self.cluster.readiness() == 503, "not ready")
        self.assert_forwarded(4_001, echo)
        self.assertEqual(0, self.cluster.forwarder.process.wait(10))

    def test_all_killed(self):
        """After all processes are killed, flows continue before an upstream reports.

        Replicas write hints twice a second, and this upstream never reports again.
        """
        echo = self.open(4_001)
        wait_until(self.cluster.hinted, "hints on all disks")
        self.cluster.kill_all()
        self.cluster.start()
        wait_until(lambda: self.cluster.readiness() == 200, "a ready forwarder")
        self.assert_forwarded(4_001, echo)
        wait_until(lambda: self.cluster.published() == 5, "the configuration")

    def test_lost_disk(self):
        """A replica that lost its disk is replaced in the membership automatically."""
        before = wait_until(self.cluster.members, "members")
        self.cluster.restart(self.cluster.replicas[2], empty=True)
        after = wait_until(lambda: self._replaced_members(before), "new members")
        self.assertEqual(2, len(before & after))
        self.cluster.publish(6)

    def _replaced_members(self, before):
        members = self.cluster.members()
        return members if len(members) == 3 and members != before else None


class ZoneEvacuation(PacketCase):
    """A confirmed evacuation holds at the forwarder, also after all were killed."""

    def order(self, method, zone="zone-a"):
        """Send an order on a zone until a replica confirms it."""
        call = (method, f"/-/evacuate/{zone}")
        wait_until(lambda: self.cluster.try_call(call), f"a confirmed {method}")

    def test_evacuated_and_readmitted(self):
        cluster = self.cluster
        echo = self.open(4_001)
        self.order("POST")
        self.order("POST")
        wait_until(self._is_syn_reset, "a reset SYN")
        self.assert_forwarded(4_001, echo)
        cluster.kill_all()
        cluster.start()
        # The hints on disk may be from before the first report.
        wait_until(lambda: cluster.report() == 200, "a confirmed report")
        wait_until(lambda: cluster.readiness() == 200, "a ready forwarder")
        self.assertTrue(self._is_syn_reset())
        self._wait_for_dumps("evacuated_zones", ["zone-a"])
        self.order("DELETE")
        wait_until(lambda: not self._is_syn_reset(), "a SYN at the upstream")
        self._wait_for_dumps("evacuation_version", 2)

    def _wait_for_dumps(self, name, value):
        """Wait until all replicas dump a value.

        A majority confirms an order, so one replica may still start or lag behind.
        """
        for host in self.cluster.replicas:
            wait_until(lambda host=host: self._dump(host).get(name) == value, name)

    def _dump(self, host):
        try:
            return self.cluster.dump(host)
        except KnapweeddealError:
            return {}

    def _is_syn_reset(self):
        """Send a SYN; return whether it is reset and none reaches the upstream."""
        self.cluster.send(self.packet(SYN, port=4_300))
        self.cluster.upstream.settimeout(0.2)
        received = self.cluster.receive_at_upstream()
        self.cluster.upstream.settimeout(2.0)
        return received is None and self.cluster.receive_at_caller()[0] == RST


class FaultyDisk(testscenarios.TestWithScenarios, PacketCase):
    """A replica pushes confirmed routes while its own disk stalls, fails or is slow.

    Guards against forwarders that keep old routes, as all replicas that they are
    subscribed to have such disks.
    """

    FAULT_INJECTION = True
    scenarios = [
        ("stalled", {"faults": {"stalled": True}}),
        ("full", {"faults": {"full": True}}),
        ("slow", {"faults": {"sync_ms": 2_000}}),
    ]

    def test_pushed_in_time(self):
        cluster = self.cluster
        roles = {host: cluster.dump(host)["role"] for host in cluster.replicas}
        host = next(host for host, role in roles.items() if role == "follower")
        cluster.daemons[host].set_faults(**self.faults)
        for version in (6, 7, 8):
            cluster.publish(version)
        self.assertTrue(curio.run(self._is_pushed, host, 8))

    def test_pushed_by_a_replaced_replica(self):
        """Guard against replicas that ignore one which joined without a folder."""
        cluster = self.cluster
        roles = {host: cluster.dump(host)["role"] for host in cluster.replicas}
        host = next(host for host, role in roles.items() if role == "follower")
        cluster.restart(host, empty=True)
        cluster.publish(6)
        wait_until(lambda: self._has_applied(host, 6), "a replica that joined")
        cluster.daemons[host].set_faults(**self.faults)
        for version in (7, 8):
            cluster.publish(version)
        self.assertTrue(curio.run(self._is_pushed, host, 8))

    def _has_applied(self, host, revision):
        try:
            return self.cluster.dump(host)["packet_revision"] == revision
        except KnapweeddealError:
            return False

    async def _is_pushed(self, host, revision):
        """Return whether a replica pushes a revision in the time that it has."""
        stream = await connect((host, STREAMS), timeout_ms=1_000)
        await stream.send(ForwarderHello(name="other", zone="zone-a", revision=0))
        pushed, until_s = 0, time.monotonic() + APPLY_S
        while pushed < revision and time.monotonic() < until_s:
            await stream.send(Heartbeat())
            message = await stream.receive()
            if isinstance(message, RoutesPush):
                pushed = message.revision
            await curio.sleep(0.05)
        await stream.close()
        return pushed == revision


class NarrowLink(PacketCase):
    """Packets wait for a narrow link; a stop and a reload lose none of them."""

    #: 20 packets take 1.2 s, twice the forwarder's `stop_ms`.
    LINK_MBPS = "0.16"
    PACKETS = 20

    def send_burst(self):
        """Send an upload's packets at once."""
        echo = self.open(4_001)
        self.sent = [
            self.packet(0, echo=echo, port=4_001, data=b"x" * 1_200, sequence=number)
            for number in range(self.PACKETS)
        ]
        for packet in self.sent:
            self.cluster.send(packet)

    def receive_burst(self):
        """Return the upload's packets as they arrive."""
        return [self.cluster.receive_at_upstream() for _ in self.sent]

    def expected(self):
        """Return the upload's packets as they should arrive."""
        return [ID_PREFIX + packet for packet in self.sent]

    def test_stop(self):
        self.send_burst()
        self.cluster.forwarder.signal(15)
        self.assertEqual(self.expected(), self.receive_burst())
        self.assertEqual(0, self.cluster.forwarder.process.wait(10))

    def test_reload(self):
        self.send_burst()
        path = self.cluster.forwarder.settings_path
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace("link_mbps = 0.16", "link_mbps = "))
        self.cluster.forwarder.signal(1)
        self.assertEqual(self.expected(), self.receive_burst())
        egress = self.cluster.dump(self.cluster.host(11))["egress"]
        self.assertEqual((None, 0), (egress["rate_bytes_per_ms"], egress["flows"]))


class ColdUpstream(PacketCase):
    """A cold upstream gets no more opening packets than its service states.

    The forwarder may be subscribed to replicas that aren't its home.
    """

    def test_bound(self):
        cluster = self.cluster
        cluster.publish(6, cold_per_s=4)
        # The replicas don't grant within a window of their start.
        time.sleep(1.5)
        self.assertEqual(200, cluster.report(cold_ms=60_000))
        wait_until(self._is_cold, "the cold upstream at the forwarder")
        wait_until(self._may_grant, "acknowledgements of the home")
        for port in range(40):
            cluster.send(self.packet(SYN, port=5_000 + port))
        self.assertEqual(COLD_BOUND, self._count_syns())
        resets = sum(cluster.receive_at_caller() is not None for _ in range(29))
        self.assertEqual(29, resets)
        (cold,) = self._homes()
        self.assertEqual(COLD_BOUND, cold["bound"])

    def _homes(self):
        """Return the allowance of the upstream at each replica that is its home."""
        return [
            one
            for host in self.cluster.replicas
            for one in self.cluster.dump(host)["packets"]["cold"]
            if one["home"]
        ]

    def _may_grant(self):
        """Report the upstream again, as under load an earlier tenure may have ended."""
        self.cluster.report(cold_ms=60_000)
        return [one for one in self._homes() if one["grants_from_ms"] <= boot_ms()]

    def _is_cold(self):
        dump = self.cluster.dump(self.cluster.host(11))
        known = dump["upstreams"] and dump["upstreams"][0]["cold_until_ms"] > boot_ms()
        return known and dump["revision"] == 6

    def _count_syns(self):
        """Return the number of SYNs until 0.5 s pass without one."""
        count = 0
        self.cluster.upstream.settimeout(0.5)
        while self.cluster.receive_at_upstream() is not None:
            count += 1
        return count
