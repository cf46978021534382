"""tests.packetcluster: Control replicas and a forwarder on loopback, for tests."""

import http.client
import json
import os
import shutil
import socket
import tempfile
from pathlib import Path

import curio

from demo.cluster import BASE_VARIABLE, default_base
from knapweeddeal.frames import read_message
from knapweeddeal.messages.operator import DumpRequest, ReplicasRequest
from knapweeddeal.messages.packets import PacketHints
from tests.processes import Daemon, request_leader, request_one, wait_until

__all__ = ["PacketCluster"]

STREAMS, API, PACKETS, READY, METRICS = 7_000, 7_001, 7_002, 7_003, 7_004
UPSTREAM_PORT = 7_005
#: Third byte of the loopback addresses, different from those of demo.cluster.
GROUP = 77
TIMEOUT_S = 2.0
SERVICE = "records"
ROUTE_HOST, ROUTE_PORT = "198.18.0.1", 443


def document(version, *, routes=1, cold_per_s=0):
    """Return an operator's document whose routes lead to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": ROUTE_HOST,
                "pathPrefix": f"/{ROUTE_PORT + number}/",
                "type": "safe",
                "timeoutMs": 1_000,
                "service": SERVICE,
            }
            for number in range(routes)
        ],
        "services": [
            {"name": SERVICE, "healthPath": "/health", "coldPerS": cold_per_s}
        ],
        "limits": {},
    }


class PacketCluster:
    """Run replicas and a forwarder; hold the sockets of a caller and an upstream."""

    def __init__(self, *, replicas=3, link_mbps="", fault_injection=False):
        self.folder = Path(tempfile.mkdtemp(prefix="packets-"))
        self.base = int(os.environ.get(BASE_VARIABLE, 0)) or default_base()
        self._fault_injection = fault_injection
        self.replicas = [self.host(n) for n in range(1, replicas + 1)]
        self.daemons = {host: self._replica(host) for host in self.replicas}
        self.forwarder = self._forwarder(self.host(11), link_mbps)
        self.daemons["forwarder"] = self.forwarder
        self.caller = self._udp(self.host(21), PACKETS)
        self.upstream = self._udp(self.host(31), UPSTREAM_PORT)
        self.sequence = 0

    def host(self, number):
        """Return a loopback address."""
        return f"127.{self.base}.{GROUP}.{number}"

    def _udp(self, host, port):
        result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        result.bind((host, port))
        result.settimeout(TIMEOUT_S)
        return result

    @property
    def seeds(self):
        """Return the seeds in the format of the settings."""
        return ", ".join(f"{host}:{API}" for host in self.replicas[:3])

    def _replica(self, host, *, may_found="true"):
        sections = {
            "daemon": {
                "name": host,
                "role": "control",
                "zone": "zone-a",
                "listen": f"{host}:{STREAMS}",
                "seeds": self.seeds,
            },
            "control": {
                "data_folder": self.folder / f"data-{host}",
                "api": f"{host}:{API}",
                "may_found": may_found,
                "heals_itself": "true",
            },
            "timing": {"election_ms": 300, "heartbeat_ms": 100, "report_ms": 1000},
        }
        return Daemon(
            folder=self.folder,
            name=f"control-{host}",
            sections=sections,
            fault_injection=self._fault_injection,
        )

    def _forwarder(self, host, link_mbps):
        sections = {
            "daemon": {
                "name": "forwarder",
                "role": "forwarder",
                "zone": "zone-a",
                "listen": f"{host}:{STREAMS}",
                "metrics": f"{host}:{METRICS}",
                "seeds": self.seeds,
            },
            "forwarder": {
                "packets": f"{host}:{PACKETS}",
                "ready": f"{host}:{READY}",
                "link_mbps": link_mbps,
            },
            "timing": {"heartbeat_ms": 100, "stop_ms": 600},
        }
        return Daemon(folder=self.folder, name="forwarder", sections=sections)

    def start(self):
        """Start all daemons."""
        for daemon in self.daemons.values():
            daemon.start()

    def restart(self, host, *, empty=False):
        """Kill a replica and restart it, with its data folder or an empty one."""
        self.daemons[host].kill()
        if empty:
            shutil.rmtree(self.folder / f"data-{host}")
            self.daemons[host] = self._replica(host, may_found="false")
        self.daemons[host].start()

    def kill_all(self):
        """Kill all processes."""
        for daemon in self.daemons.values():
            daemon.kill()

    def close(self):
        """Kill all processes, close the sockets and remove the folder."""
        self.kill_all()
        self.caller.close()
        self.upstream.close()
        shutil.rmtree(self.folder)

    # Calls.

    def call(self, method, target, body=None, *, host=None, port=API):
        """Return status and body of an HTTP request; follow one redirect."""
        for _ in range(2):
            status, location, data = self._call(method, target, body, host, port)
            if status != 307:
                break
            host = location.split("//")[1].split(":")[0]
        return status, data

    def _call(self, method, target, body, host, port):
        host = host or self.replicas[0]
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        try:
            data = json.dumps(body) if body is not None else None
            connection.request(method, target, data)
            response = connection.getresponse()
            return response.status, response.getheader("Location"), response.read()
        except OSError:
            return 0, None, b""
        finally:
            connection.close()

    def publish(self, version, **options):
        """Publish a document until a replica confirms it."""
        body = document(version, **options)
        wait_until(
            lambda: self.try_call(("PUT", "/-/config", body)), f"version {version}"
        )

    def try_call(self, call):
        """Return whether any replica answers a call with 200."""
        return any(self.call(*call, host=host)[0] == 200 for host in self.replicas)

    def published(self):
        """Return the version from the first replica that returns one, or 0."""
        for host in self.replicas:
            status, data = self.call("GET", "/-/config", host=host)
            if status == 200:
                return json.loads(data)["version"]
        return 0

    def report(self, state="ready", *, born=1_000, cold_ms=0):
        """Report the upstream; return the HTTP status."""
        self.sequence += 1
        body = {
            "service": SERVICE,
            "addr": f"{self.host(31)}:{UPSTREAM_PORT}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 2,
            "state": state,
            "coldLeftMs": cold_ms,
            "seq": self.sequence,
            "born": born,
        }
        return self.call("PUT", "/-/instances/i-ab12", body)[0]

    def readiness(self):
        """Return the HTTP status of the forwarder's readiness."""
        host = self.host(11)
        return self.call("GET", "/-/ready", host=host, port=READY)[0]

    def metrics(self):
        """Return the text of the forwarder's metrics."""
        return self.call("GET", "/", host=self.host(11), port=METRICS)[1].decode()

    def dump(self, host):
        """Return the state dump of a process."""
        answer = curio.run(
            request_one, (host, STREAMS), DumpRequest(max_bytes=1 << 20), 5_000
        )
        return json.loads(answer.text)

    def hinted(self):
        """Return whether every replica's hints on disk hold the upstream."""
        files = [self.folder / f"data-{host}" / "hints" for host in self.replicas]
        return all(
            file.exists() and read_message(file, PacketHints).states for file in files
        )

    def members(self):
        """Return the identities of the committed members."""
        addresses = [(host, STREAMS) for host in self.replicas]
        answer = curio.run(request_leader, addresses, ReplicasRequest(), 5_000)
        return {replica.identity for replica in answer.members}

    # Packets.

    def send(self, data):
        """Send a caller's packet to the forwarder."""
        self.caller.sendto(data, (self.host(11), PACKETS))

    def receive_at_upstream(self):
        """Return the next datagram at the upstream, or None."""
        return self._receive(self.upstream)

    def receive_at_caller(self):
        """Return the next packet at the caller, or None."""
        return self._receive(self.caller)

    @staticmethod
    def _receive(udp_socket):
        try:
            return udp_socket.recv(2_048)
        except TimeoutError:
            return None
