"""review.common.peers: Backends, clients and an operator that follow PROTOCOL.md."""

import contextlib
import http.client
import json
import queue
import random
import socket
import struct
import threading
import time

from common.system import HEARTBEAT_MS, PORTS

__all__ = ["ROUTE_HOST", "Backend", "Flow", "Operator", "call", "config"]

HEADER = struct.Struct("<BBIHIIHIHII")
SYN, ACK, FIN, RST = 8, 2, 16, 64
#: `sum` of packets of clients and backends; a reset by the system holds 0.
PACKET_SUM = 7
CALL_TIMEOUT_S = 1.0
#: Address of the first route. It stands in packets only; nothing is sent there.
ROUTE_HOST, ROUTE_PORT = "127.0.9.1", 443
BACKEND_PORT = 8_080
#: Requests that a backend works on at the same time.
SLOTS = 2
REQUEST = b"GET / HTTP/1.1\r\nHost: service\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#: Times at which a client repeats a SYN, and at which it gives up.
SYN_TIMES_S = (0.2, 0.6, 1.4)
#: Times at which a client repeats a packet with data, and at which it gives up.
DATA_TIMES_S = (0.2, 0.6, 1.4, 3.0)


def config(version, service, hosts=(ROUTE_HOST,)):
    """Return a config with one route for each host, all to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": host,
                "pathPrefix": f"/{ROUTE_PORT}/",
                "type": "safe",
                "timeoutMs": 2_506,
                "sloMs": 150,
                "priority": 2,
                "service": service,
                "attempts": 2,
            }
            for number, host in enumerate(hosts)
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": 4_222,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def call(method, host, path, body=None):
    """Return status and body of a call, after up to two redirects; status 0: none."""
    for _ in range(3):
        connection = http.client.HTTPConnection(
            host, PORTS["control"], timeout=CALL_TIMEOUT_S
        )
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()
        if answer.status != 307:
            return answer.status, data
        host = answer.getheader("Location").split("//")[1].split(":")[0]
    return 0, b""


def ip_number(host):
    """Return an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


def udp_socket(address):
    """Return a bound UDP socket that times out after 0.1 s."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind(address)
    result.settimeout(0.1)
    return result


class Operator:
    """Send configs and read them back, at any control daemon."""

    def __init__(self, *, system, seed=1):
        self._system = system
        self._record = system.record
        self._random = random.Random(seed)

    def _hosts(self):
        hosts = [machine.host for machine in self._system.core]
        return self._random.sample(hosts, len(hosts))

    def put(self, document, *, timeout_s):
        """Send a config until it has a final answer; return its status, or 0."""
        body, version = json.dumps(document), document["version"]
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for host in self._hosts():
                status, _ = call("PUT", host, "/-/config", body)
                self._record.write(f"operator: PUT config {version}, {host}: {status}")
                if status in (200, 400, 409, 412, 413, 422):
                    return status
            time.sleep(0.2)
        return 0

    def read(self, *, timeout_s):
        """Read the config until an answer comes; return the document, or None."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for host in self._hosts():
                status, data = call("GET", host, "/-/config")
                self._record.write(f"operator: GET config, {host}: {status}")
                if status == 200:
                    return json.loads(data)
            time.sleep(0.2)
        return None


class Backend:
    """Hold flows, answer requests, and report about every `heartbeatMs`."""

    def __init__(self, *, system, number, service, zone, paths=None, work_s=0.0):
        self.number = 0x7F3A9000 + number
        self.id = f"i-{self.number:08x}"
        self.service = service
        self.zone = zone
        self.address = (system.host(3, number), BACKEND_PORT)
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        #: Whether a report with the present state was confirmed.
        self.confirmed = False
        self.alive = self.reporting = True
        #: What it reaches the control daemons through: their machines, or proxies.
        self._paths = paths or system.core
        self._last_path = None
        self._connection = None
        self._lock = threading.Lock()
        self._record = system.record
        self._sequence = 0
        self._random = random.Random(number)
        self._flows = set()
        #: Flows whose request waits or runs: copies of it aren't run again.
        self._running = set()
        self._socket = udp_socket(self.address)
        self._work_s = work_s
        self._requests = queue.Queue()
        self._threads = [
            threading.Thread(target=loop, daemon=True)
            for loop in (self._serve, self._report, *[self._work] * SLOTS)
        ]
        for thread in self._threads:
            thread.start()

    def report(self, **changes):
        """Return the body of the next status report, with some fields changed."""
        self._sequence += 1
        host, port = self.address
        body = {
            "service": self.service,
            "addr": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }
        return json.dumps({**body, **changes})

    def send(self, method, body=None):
        """Call one daemon after another until one confirms; return whether one did.

        The one that confirmed last goes first, over the connection to it that is open.
        """
        paths = self._random.sample(self._paths, len(self._paths))
        paths.sort(key=lambda path: path is not self._last_path)
        return any(self.send_to(path, method, body) for path in paths)

    def send_to(self, path, method, body=None):
        """Call one daemon; return whether it confirmed."""
        status = self._call(path, method, body)
        if method != "PUT" or not self.confirmed:
            self._record.write(
                f"{self.id} born {self.born_ms}: {method} {self.state}, "
                f"{path.host}: {status}"
            )
        is_confirmed = 200 <= status < 300
        if is_confirmed:
            self._last_path = path
        return is_confirmed

    def _call(self, path, method, body):
        with self._lock:
            if path is not self._last_path or self._connection is None:
                self._disconnect()
                self._connection = http.client.HTTPConnection(
                    path.host, PORTS["control"], timeout=CALL_TIMEOUT_S
                )
            headers = {"Content-Type": "application/json"} if body else {}
            target = f"/-/instances/{self.id}"
            try:
                self._connection.request(method, target, body, headers)
                answer = self._connection.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self._disconnect()
                return 0
            return answer.status

    def _disconnect(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def depart(self, *, timeout_s):
        """Report no more, and send a departure until it is confirmed or time is up."""
        self.reporting = False
        until_s = time.monotonic() + timeout_s
        paths = sorted(self._paths, key=lambda path: path is not self._last_path)
        while time.monotonic() < until_s:
            for path in paths:
                if time.monotonic() >= until_s or self.send_to(path, "DELETE"):
                    return
            time.sleep(0.2)

    def drain(self):
        """Report `draining` from now on."""
        self.state, self.confirmed = "draining", False

    def stop(self):
        """End: serve and report no more."""
        self.alive = False
        for thread in self._threads:
            thread.join()
        self._disconnect()
        self._socket.close()
        self._record.write(f"{self.id} born {self.born_ms}: ended")

    def _report(self):
        while self.alive and self.reporting:
            state = self.state
            if self.send("PUT", self.report()) and state == self.state:
                self.confirmed = True
            for _ in range(HEARTBEAT_MS // 50):
                if not self.alive or state != self.state:
                    break
                time.sleep(0.05)

    def _serve(self):
        while self.alive:
            try:
                data, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            if int.from_bytes(data[:8], "big") in (0, self.number):
                self._handle(HEADER.unpack_from(data, 8), len(data) - 8 - HEADER.size)

    def _handle(self, fields, data_bytes):
        flags, echo, sequence, client = (fields[n] for n in (0, 2, 4, 9))
        flow = (client, fields[8])
        if flags & RST:
            self._flows.discard(flow)
        elif flags & SYN:
            self._flows.add(flow)
            if not self._work_s:
                self._record.write(f"{self.id}: SYN of client port {flow[1]} arrived")
            self._send(SYN | ACK, echo, fields, 1, sequence + 1)
        elif flow not in self._flows:
            if not self._work_s:
                self._record.write(f"{self.id}: reset unknown flow {flow[1]}")
            self._send(RST, echo, fields, fields[5], 0)
        elif data_bytes and flow not in self._running:
            self._running.add(flow)
            self._requests.put((fields, data_bytes))

    def _work(self):
        """Run one request after another; while leaving, close the flow with it."""
        while self.alive:
            with contextlib.suppress(queue.Empty):
                fields, data_bytes = self._requests.get(timeout=0.1)
                time.sleep(self._work_s)
                flow = (fields[9], fields[8])
                self._running.discard(flow)
                if not self._work_s:
                    self._record.write(f"{self.id}: ran a request of {flow[1]}")
                flags = ACK if self.state == "ready" else ACK | FIN
                acknowledged = fields[4] + data_bytes
                self._send(flags, fields[2], fields, fields[5], acknowledged, RESPONSE)
                if flags & FIN:
                    self._flows.discard(flow)

    def _send(self, flags, echo, fields, sequence, acknowledged, data=b""):
        port, host, sport, client = fields[6:10]
        header = HEADER.pack(
            flags, 0, echo, len(data), sequence, acknowledged, sport, client, port,
            host, PACKET_SUM,
        )  # fmt: skip
        address = (socket.inet_ntoa(client.to_bytes(4, "big")), PORTS["data"])
        self._socket.sendto(header + data, address)


class Flow:
    """Hold one flow of a client, with a socket at an address of its own."""

    def __init__(self, *, system, number, is_quiet=False):
        self.port = 40_000 + number
        self._is_quiet = is_quiet
        #: Address of the backend that the flow is open at.
        self.backend = None
        self._record = system.record
        self._host = system.host(4, number)
        front = system.front[number % len(system.front)]
        self._target = (front.host, PORTS["data"])
        self._socket = udp_socket((self._host, PORTS["data"]))
        self._echo = 0
        self._sequence, self._acknowledged = 1_000, 0

    def open(self):
        """Open the flow; return whether it opened."""
        for copy, outcome in self._exchange(SYN, b"", SYN_TIMES_S):
            if outcome == "answer":
                self._sequence += 1
                self._send(ACK, self._acknowledged)
                self._note(f"flow open at {self.backend}, copy {copy}")
                return True
            if outcome != "silence":
                break
        self._note(f"SYN ended with {outcome}")
        return False

    def request(self):
        """Send a request; return `answer`, `silence`, or who reset the flow."""
        last = "silence"
        for _, last in self._exchange(ACK, REQUEST, DATA_TIMES_S):
            if last != "silence":
                break
        self._note(f"request ended with {last}")
        if last == "answer":
            self._sequence += len(REQUEST)
            self._send(ACK, self._acknowledged)
        return last

    def _note(self, text):
        if not self._is_quiet:
            self._record.write(f"client {self.port}: {text}")

    def close(self):
        """Close the socket, without a FIN."""
        self._socket.close()

    def _exchange(self, flags, data, times_s):
        """Send a packet and its copies; yield each copy's number and outcome."""
        began_s = time.monotonic()
        for copy, until_s in enumerate(times_s):
            ack = copy if flags & SYN else self._acknowledged
            self._send(flags, ack, data)
            yield copy, self._await(began_s + until_s, flags)

    def _await(self, until_s, flags):
        while time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                packet, source = self._socket.recvfrom(4_096)
                fields = HEADER.unpack_from(packet)
                if fields[0] & RST:
                    by_system = fields[10] == 0
                    return "reset by the system" if by_system else "reset by a backend"
                if flags & SYN and fields[0] & SYN:
                    self.backend, self._echo = source[0], fields[2]
                    self._acknowledged = fields[4] + 1
                    return "answer"
                if not flags & SYN and len(packet) > HEADER.size:
                    self._acknowledged = fields[4] + fields[3]
                    return "answer"
        return "silence"

    def _send(self, flags, ack, data=b""):
        header = HEADER.pack(
            flags, 0, self._echo, len(data), self._sequence, ack, ROUTE_PORT,
            ip_number(ROUTE_HOST), self.port, ip_number(self._host), PACKET_SUM,
        )  # fmt: skip
        self._socket.sendto(header + data, self._target)
