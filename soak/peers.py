"""soak.peers: Simulated upstreams, callers and an operator that check guarantees."""

import contextlib
import http.client
import json
import random
import socket
import struct
import threading
import time
import traceback

from knapweeddeal.packetheader import ACK, FIN, RST, SYN

__all__ = [
    "DRAIN_LIMIT_S",
    "EVACUATION_LIMIT_S",
    "FAULT_FREE_S",
    "Callers",
    "Operator",
    "Problems",
    "ReplicaClient",
    "Upstream",
]

HEADER = struct.Struct("<BBIHIIHIHII")
#: Interval between packets of an open flow.
PACKET_INTERVAL_S = 0.1
#: Time after which the caller ends a flow.
FLOW_LIFETIME_S = 5.0
#: Time after which a confirmed drain must keep new flows away, without faults.
DRAIN_LIMIT_S = 3.0
#: Time after which a confirmed evacuation must keep opening packets away.
EVACUATION_LIMIT_S = 5.0
#: Time after the last fault from which guarantees hold without exception.
FAULT_FREE_S = 4.0
CALL_TIMEOUT_S = 1.0
#: `sum` of packets from callers and upstreams; resets by forwarders hold 0.
PACKET_SUM = 7


class Problems:
    """Collect violated guarantees, at most 20."""

    def __init__(self):
        self.found = []

    def watch_threads(self):
        """Record a thread of a stand-in that ends by an error, from now on."""
        threading.excepthook = self._add_thread

    def _add_thread(self, hook):
        trace = traceback.format_exception(
            hook.exc_type, hook.exc_value, hook.exc_traceback
        )
        self.add("a thread ended by an error", thread=hook.thread.name, trace=trace)

    def add(self, kind, **details):
        """Record a violation with the present time, unless 20 are recorded."""
        line = f"{time.monotonic():.3f} {kind}: {details}"
        if len(self.found) < 20:
            self.found.append(line)


def udp_socket(address):
    """Return a UDP socket that is bound to an address and times out after 0.2 s."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind(address)
    result.settimeout(0.2)
    return result


def host_number(host):
    """Return an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


class Upstream:
    """Accept flows, report its state, and check that received packets belong here."""

    def __init__(self, *, name, service, zone, address, callers, problems, client):
        self.name = name
        self.zone = zone
        #: Number of opening packets received.
        self.opening_packets = 0
        self.service = service
        self.callers = callers
        self.drain_confirmed_s = None
        self._id = int(name.rpartition("-")[2], 16)
        self._address = address
        self._problems = problems
        self._client = client
        self._flows = set()
        self._sequence = 0
        self.is_serving = True
        self._state = "ready"
        self._started_ms = time.time_ns() // 1_000_000
        self._socket = udp_socket(address)
        self.alive = True
        self._threads = [
            threading.Thread(target=loop, daemon=True)
            for loop in (self._serve, self._report)
        ]
        for thread in self._threads:
            thread.start()

    def drain(self):
        """Report the state draining from now on."""
        self.is_serving = False
        self._state = "draining"

    def crash(self):
        """Stop receiving and reporting without notice."""
        self.is_serving = False
        self.alive = False

    def start_again(self):
        """End this process, and return the next one under its id and address."""
        self.crash()
        for thread in self._threads:
            thread.join()
        return Upstream(
            name=self.name,
            service=self.service,
            zone=self.zone,
            address=self._address,
            callers=self.callers,
            problems=self._problems,
            client=self._client,
        )

    def call_over(self, connection, method):
        """Send a report or departure over an `HTTPConnection` that stays open."""
        body = json.dumps(self._next_report()) if method == "PUT" else None
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request(method, self._target, body)
            connection.getresponse().read()

    @property
    def _target(self):
        return f"/-/instances/{self.name}"

    def _next_report(self):
        self._sequence += 1
        host, port = self._address
        return {
            "service": self.service,
            "addr": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self._state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self._started_ms,
        }

    def _report(self):
        while self.alive:
            body = self._next_report()
            state = body["state"]
            status = self._client.request_any("PUT", self._target, body)
            if status == 200 and state == "draining" and self.drain_confirmed_s is None:
                self.drain_confirmed_s = time.monotonic()
            time.sleep(0.5)

    def _serve(self):
        while self.alive:
            try:
                data, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            self._handle_packet(data)
        self._socket.close()

    def _handle_packet(self, data):
        if int.from_bytes(data[:8], "big") != self._id:
            self._problems.add(
                "packet for another upstream", here=self.name, data=data[:8].hex()
            )
            return
        fields = HEADER.unpack_from(data, 8)
        flags, echo, sequence, port, sport = (fields[n] for n in (0, 2, 4, 6, 8))
        body = data[8 + HEADER.size :]
        flow = (sport, sequence if flags & SYN else None)
        if self.callers.service_of(port) != self.service:
            self._problems.add("flow for another service", here=self.name, port=port)
        if flags & SYN:
            self.opening_packets += 1
            self._check_drain(sport)
            self._check_evacuation(sport)
            self._flows.add(sport)
            self._send(SYN | ACK, echo, flow[0], port)
        elif sport not in self._flows:
            self._send(RST, echo, sport, port)
        else:
            self.callers.check_arrival(sport, self.name, body, ends=bool(flags & FIN))
            self._send(ACK, echo, sport, port, body)

    def _check_drain(self, sport):
        fault_free_s = self.callers.fault_free_since_s()
        grace_from_s = max(self.drain_confirmed_s or time.monotonic(), fault_free_s)
        if self.drain_confirmed_s and time.monotonic() - grace_from_s > DRAIN_LIMIT_S:
            self._problems.add(
                "new flow after a confirmed drain", here=self.name, flow=sport
            )

    def _check_evacuation(self, sport):
        confirmed_s = self.callers.evacuated_s.get(self.zone)
        if confirmed_s is None:
            return
        grace_from_s = max(confirmed_s, self.callers.fault_free_since_s())
        if time.monotonic() - grace_from_s > EVACUATION_LIMIT_S:
            self._problems.add(
                "new flow in an evacuated zone", here=self.name, flow=sport
            )

    def _send(self, flags, echo, sport, port, body=b""):
        header = HEADER.pack(
            flags, 0, echo, len(body), 1, 0, sport, host_number(self.callers.host),
            port, host_number(self.callers.service_host), PACKET_SUM,
        )  # fmt: skip
        self._socket.sendto(header + body, self.callers.address)


class Flow:
    """Hold the state of one flow at its caller."""

    def __init__(self, *, port, now_s):
        self.port = port
        self.began_s = now_s
        self.sent_s = now_s
        self.echo = None
        self.upstream = None
        self.retransmissions = 0
        self.answers = 0


class Callers:
    """Open flows, send on them, and check the answers."""

    def __init__(self, *, address, forwarders, routes, service_host, problems, seed):
        self.host = address[0]
        self.address = address
        self.service_host = service_host
        self.served = 0
        self.reset = 0
        self.opened = 0
        self.open_interval_s = 0.04
        self.upstreams = {}
        #: Times of the confirmations by evacuated zone; None where an order was sent
        #: whose outcome isn't known.
        self.evacuated_s = {}
        self.faults_until_s = 0.0
        self._routes = routes
        self._forwarders = forwarders
        self._problems = problems
        self._random = random.Random(seed)
        self._socket = udp_socket(address)
        self._flows = {}
        self._next_port = 10_000
        self._lock = threading.Lock()
        self._running = True
        self._threads = [
            threading.Thread(target=loop, daemon=True)
            for loop in (self._receive, self._run)
        ]
        for thread in self._threads:
            thread.start()

    def service_of(self, port):
        """Return the service behind a port, or None."""
        return self._routes.get(port)

    def fault_free_since_s(self):
        """Return the time from which guarantees hold without exception."""
        return self.faults_until_s + FAULT_FREE_S

    def close(self):
        """Stop opening flows and sending on them."""
        self._running = False
        # Both use the socket.
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def check_arrival(self, sport, name, body, *, ends):
        """Check that a packet reached the upstream of its flow, with the sent body."""
        with self._lock:
            flow = self._flows.get(sport)
        if flow is None or flow.upstream is None:
            return
        if flow.upstream != name:
            self._problems.add(
                "flow moved to another upstream",
                at=name,
                opened=flow.upstream,
                flow=sport,
            )
        if body != (b"" if ends else b"%d" % sport):
            self._problems.add("packet body changed", at=name, body=body[:40])

    def _run(self):
        opened_s = 0.0
        while self._running:
            now_s = time.monotonic()
            if now_s - opened_s >= self.open_interval_s:
                opened_s = now_s
                self._open(now_s)
            with self._lock:
                flows = list(self._flows.values())
            for flow in flows:
                self._advance(flow, now_s)
            time.sleep(0.01)

    def _open(self, now_s):
        self._next_port += 1
        flow = Flow(port=self._next_port, now_s=now_s)
        flow.service_port = self._random.choice(list(self._routes))
        with self._lock:
            self._flows[flow.port] = flow
        self._send(flow, SYN, 0)

    def _advance(self, flow, now_s):
        age_s = now_s - flow.began_s
        if flow.echo is None:
            due_s = (0.2, 0.6, 1.4)[flow.retransmissions]
            if age_s >= due_s:
                flow.retransmissions += 1
                if flow.retransmissions == 3:
                    self._end(flow)
                else:
                    self._send(flow, SYN, 0, copy=flow.retransmissions)
        elif age_s > FLOW_LIFETIME_S:
            self._send(flow, FIN, flow.echo)
            self._end(flow)
        elif now_s - flow.sent_s >= PACKET_INTERVAL_S:
            flow.sent_s = now_s
            self._send(flow, ACK, flow.echo, body=b"%d" % flow.port)

    def _end(self, flow):
        with self._lock:
            self._flows.pop(flow.port, None)

    def _send(self, flow, flags, echo, *, copy=0, body=b""):
        header = HEADER.pack(
            flags, 0, echo, len(body), flow.port, copy, flow.service_port,
            host_number(self.service_host), flow.port, host_number(self.host),
            PACKET_SUM,
        )  # fmt: skip
        self._socket.sendto(header + body, self._random.choice(self._forwarders))

    def _receive(self):
        while self._running:
            try:
                data, source = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            fields = HEADER.unpack_from(data)
            with self._lock:
                flow = self._flows.get(fields[6])
            if flow is not None:
                self._handle_packet(flow, fields, source)

    def _handle_packet(self, flow, fields, source):
        flags, echo = fields[0], fields[2]
        if flags & RST:
            self._handle_reset(flow, from_system=fields[10] == 0)
        elif flags & SYN and flow.echo is None:
            flow.echo = echo
            flow.upstream = self.upstreams[source[0]].name
            self.opened += 1
        elif flags & ACK and not flags & SYN:
            flow.answers += 1
            self.served += 1

    def _handle_reset(self, flow, *, from_system):
        self.reset += 1
        self._end(flow)
        if from_system and flow.upstream is not None:
            matching = [u for u in self.upstreams.values() if u.name == flow.upstream]
            if matching and matching[0].alive and self._routes.get(flow.service_port):
                self._problems.add("open flow was reset", flow=flow.port)


class ReplicaClient:
    """Send HTTP requests to replicas, as upstreams and operators do."""

    def __init__(self, *, hosts, port, seed):
        self._hosts = hosts
        self._port = port
        self._random = random.Random(seed)

    def request(self, method, target, body, host=None):
        """Follow redirects; return status and body of a response, status 0 for none."""
        host = host or self._random.choice(self._hosts)
        for _ in range(3):
            status, location, data = self._send_request(method, target, body, host)
            if status != 307:
                return status, data
            host = location.split("//")[1].split(":")[0]
        return 0, b""

    def connect(self):
        """Return an `HTTPConnection` to a random replica."""
        host = self._random.choice(self._hosts)
        return http.client.HTTPConnection(host, self._port, timeout=CALL_TIMEOUT_S)

    def request_any(self, method, target, body):
        """Try the replicas in random order; return the first status below 500, or 0."""
        for host in self._random.sample(self._hosts, len(self._hosts)):
            status, _ = self.request(method, target, body, host)
            if 0 < status < 500:
                return status
        return 0

    def _send_request(self, method, target, body, host):
        connection = http.client.HTTPConnection(
            host, self._port, timeout=CALL_TIMEOUT_S
        )
        try:
            data = json.dumps(body) if body is not None else None
            connection.request(method, target, data)
            answer = connection.getresponse()
            return answer.status, answer.getheader("Location"), answer.read()
        except (OSError, http.client.HTTPException):
            return 0, None, b""
        finally:
            connection.close()


class Operator:
    """Publish revisions, some of them invalid, read them and check the answers."""

    def __init__(self, *, client, make_document, problems, seed):
        self.confirmed = 0
        self.reads = 0
        self.orders = 0
        self._client = client
        self._make_document = make_document
        self._problems = problems
        self._random = random.Random(seed)
        self._revision = 0
        self._documents = {}
        self._running = True
        for loop in (self._publish, self._read):
            threading.Thread(target=loop, daemon=True).start()

    def close(self):
        """Stop publishing and reading."""
        self._running = False

    def _publish(self):
        while self._running:
            self.publish_once()
            if self._random.random() < 0.2:
                self._send_invalid()
            time.sleep(self._random.uniform(0.05, 0.6))

    def publish_once(self):
        """Send the next revision until it is confirmed, at most 30 times."""
        self._revision += self._random.randint(1, 4)
        body = self._make_document(self._revision)
        self._documents[self._revision] = body
        self._put_until_confirmed(body)

    def _put_until_confirmed(self, body):
        for _ in range(30):
            status, _ = self._client.request("PUT", "/-/config", body)
            if status == 200:
                self.confirmed = max(self.confirmed, body["version"])
                return
            if 400 <= status < 500:
                self._problems.add(
                    "valid revision was refused", version=body["version"], status=status
                )
                return
            time.sleep(0.05)

    def _send_invalid(self):
        body = {**self._make_document(self._revision + 1_000_000), "routes": None}
        status, _ = self._client.request("PUT", "/-/config", body)
        if status == 200:
            self._problems.add("invalid revision was confirmed")

    def evacuate(self, zone, callers):
        """Evacuate a zone; return whether that was confirmed."""
        callers.evacuated_s[zone] = None
        if not self._order("POST", zone):
            return False
        callers.evacuated_s[zone] = time.monotonic()
        return True

    def readmit(self, zone, callers):
        """Readmit a zone; return whether that was confirmed."""
        callers.evacuated_s[zone] = None
        if not self._order("DELETE", zone):
            return False
        del callers.evacuated_s[zone]
        return True

    def _order(self, method, zone):
        """Send an order twice, as a lost answer does; return whether it succeeded."""
        for _ in range(30):
            target = f"/-/evacuate/{zone}"
            statuses = {self._client.request(method, target, None)[0] for _ in range(2)}
            if statuses == {200}:
                self.orders += 1
                return True
            if any(400 <= status < 500 for status in statuses):
                self._problems.add("valid order was refused", method=method, zone=zone)
                return False
            time.sleep(0.05)
        return False

    def _read(self):
        while self._running:
            self.read_once()
            time.sleep(0.1)

    def read_once(self):
        """Read the configuration, check it; return its version, or 0 for no answer."""
        before = self.confirmed
        status, data = self._client.request("GET", "/-/config", None)
        if status != 200:
            return 0
        self.reads += 1
        document = json.loads(data)
        if document["version"] < before:
            self._problems.add(
                "read is older than a confirmed revision",
                read=document["version"],
                confirmed=before,
            )
        if document != self._documents.get(document["version"]):
            self._problems.add(
                "read a document that was never sent", read=document["version"]
            )
        return document["version"]
