"""soak.peers: Upstreams, callers and an operator that check what they see."""

import http.client
import json
import random
import socket
import struct
import threading
import time

from knapweeddeal.packetheader import ACK, FIN, RST, SYN

__all__ = ["CALM_S", "DRAIN_S", "Callers", "Calls", "Operator", "Problems", "Upstream"]

HEAD = struct.Struct("<BBIHIIHIHII")
#: Time between packets of an open flow.
GAP_S = 0.1
#: Longest life of a flow.
FLOW_S = 5.0
#: Time in which a confirmed departure must be in force, without faults.
DRAIN_S = 3.0
#: Time without faults after which the system has no excuse.
CALM_S = 4.0
CALL_S = 1.0
#: What an upstream writes into `sum`; the system's own resets hold 0.
SUM = 7


class Problems:
    """Collect breaches of promises, each once."""

    def __init__(self):
        self.found = []

    def add(self, kind, **details):
        """Note a breach."""
        line = f"{time.monotonic():.3f} {kind}: {details}"
        if len(self.found) < 20:
            self.found.append(line)


def udp(address):
    """Return a bound UDP socket."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind(address)
    result.settimeout(0.2)
    return result


def number(host):
    """Return an IP address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


class Upstream:
    """Take flows, report, drain and check that only its own packets come."""

    def __init__(self, *, name, service, address, caller, problems, calls):
        self.name = name
        self.service = service
        self.caller = caller
        self.drained_s = None
        self._id = int(name.rpartition("-")[2], 16)
        self._address = address
        self._problems = problems
        self._calls = calls
        self._flows = set()
        self._sequence = 0
        self.is_staying = True
        self._state = "ready"
        self._born_ms = time.time_ns() // 1_000_000
        self._port = udp(address)
        self.alive = True
        for work in (self._serve, self._report):
            threading.Thread(target=work, daemon=True).start()

    def drain(self):
        """Leave: report until it is confirmed."""
        self.is_staying = False
        self._state = "draining"

    def crash(self):
        """Fall silent for good."""
        self.is_staying = False
        self.alive = False

    def _report(self):
        while self.alive:
            self._sequence += 1
            state = self._state
            host, port = self._address
            body = {
                "service": self.service,
                "addr": f"{host}:{port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 2,
                "state": state,
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born_ms,
            }
            status = self._calls.any("PUT", f"/-/instances/{self.name}", body)
            if status == 200 and state == "draining" and self.drained_s is None:
                self.drained_s = time.monotonic()
            time.sleep(0.5)

    def _serve(self):
        while self.alive:
            try:
                data, _ = self._port.recvfrom(4_096)
            except TimeoutError:
                continue
            self._take(data)
        self._port.close()

    def _take(self, data):
        if int.from_bytes(data[:8], "big") != self._id:
            self._problems.add("foreign upstream", here=self.name, data=data[:8].hex())
            return
        fields = HEAD.unpack_from(data, 8)
        flags, echo, sequence, port, sport = (fields[n] for n in (0, 2, 4, 6, 8))
        body = data[8 + HEAD.size :]
        flow = (sport, sequence if flags & SYN else None)
        if self.caller.service_of(port) != self.service:
            self._problems.add("foreign service", here=self.name, port=port)
        if flags & SYN:
            self._check_drained(sport)
            self._flows.add(sport)
            self._send(SYN | ACK, echo, flow[0], port)
        elif sport not in self._flows:
            self._send(RST, echo, sport, port)
        else:
            self.caller.arrived(sport, self.name, body, ends=bool(flags & FIN))
            self._send(ACK, echo, sport, port, body)

    def _check_drained(self, sport):
        calm_s = self.caller.calm_since_s()
        left_s = max(self.drained_s or time.monotonic(), calm_s)
        if self.drained_s and time.monotonic() - left_s > DRAIN_S:
            self._problems.add("new flow after a departure", here=self.name, flow=sport)

    def _send(self, flags, echo, sport, port, body=b""):
        head = HEAD.pack(
            flags, 0, echo, len(body), 1, 0, sport, number(self.caller.host), port,
            number(self.caller.service_host), SUM,
        )  # fmt: skip
        self._port.sendto(head + body, self.caller.address)


class Flow:
    """Hold a flow of a caller."""

    def __init__(self, *, port, now_s):
        self.port = port
        self.began_s = now_s
        self.sent_s = now_s
        self.echo = None
        self.upstream = None
        self.copies = 0
        self.answered = 0


class Callers:
    """Open flows, send on them, and check what comes back."""

    def __init__(self, *, address, forwarders, routes, service_host, problems, seed):
        self.host = address[0]
        self.address = address
        self.service_host = service_host
        self.served = 0
        self.reset = 0
        self.opened = 0
        self.pace_s = 0.04
        self.upstreams = {}
        self.faults_until_s = 0.0
        self._routes = routes
        self._forwarders = forwarders
        self._problems = problems
        self._random = random.Random(seed)
        self._port = udp(address)
        self._flows = {}
        self._next = 10_000
        self._lock = threading.Lock()
        self._running = True
        for work in (self._receive, self._run):
            threading.Thread(target=work, daemon=True).start()

    def service_of(self, port):
        """Return the service behind a port, or None."""
        return self._routes.get(port)

    def calm_since_s(self):
        """Return since when no fault has been in force for some time."""
        return self.faults_until_s + CALM_S

    def close(self):
        """Stop."""
        self._running = False

    def arrived(self, sport, name, body, *, ends):
        """Check at which upstream a packet came, and that it is what was sent."""
        with self._lock:
            flow = self._flows.get(sport)
        if flow is None or flow.upstream is None:
            return
        if flow.upstream != name:
            self._problems.add("moved flow", at=name, opened=flow.upstream, flow=sport)
        if body != (b"" if ends else b"%d" % sport):
            self._problems.add("changed packet", at=name, body=body[:40])

    def _run(self):
        opened_s = 0.0
        while self._running:
            now_s = time.monotonic()
            if now_s - opened_s >= self.pace_s:
                opened_s = now_s
                self._open(now_s)
            with self._lock:
                flows = list(self._flows.values())
            for flow in flows:
                self._go_on(flow, now_s)
            time.sleep(0.01)

    def _open(self, now_s):
        self._next += 1
        flow = Flow(port=self._next, now_s=now_s)
        flow.to = self._random.choice(list(self._routes))
        with self._lock:
            self._flows[flow.port] = flow
        self._send(flow, SYN, 0)

    def _go_on(self, flow, now_s):
        age_s = now_s - flow.began_s
        if flow.echo is None:
            due = (0.2, 0.6, 1.4)[flow.copies]
            if age_s >= due:
                flow.copies += 1
                if flow.copies == 3:
                    self._end(flow)
                else:
                    self._send(flow, SYN, 0, copy=flow.copies)
        elif age_s > FLOW_S:
            self._send(flow, FIN, flow.echo)
            self._end(flow)
        elif now_s - flow.sent_s >= GAP_S:
            flow.sent_s = now_s
            self._send(flow, ACK, flow.echo, body=b"%d" % flow.port)

    def _end(self, flow):
        with self._lock:
            self._flows.pop(flow.port, None)

    def _send(self, flow, flags, echo, *, copy=0, body=b""):
        head = HEAD.pack(
            flags, 0, echo, len(body), flow.port, copy, flow.to,
            number(self.service_host), flow.port, number(self.host), SUM,
        )  # fmt: skip
        self._port.sendto(head + body, self._random.choice(self._forwarders))

    def _receive(self):
        while self._running:
            try:
                data, source = self._port.recvfrom(4_096)
            except TimeoutError:
                continue
            fields = HEAD.unpack_from(data)
            with self._lock:
                flow = self._flows.get(fields[6])
            if flow is not None:
                self._take(flow, fields, source)
        self._port.close()

    def _take(self, flow, fields, source):
        flags, echo = fields[0], fields[2]
        if flags & RST:
            self._take_reset(flow, own=fields[10] == 0)
        elif flags & SYN and flow.echo is None:
            flow.echo = echo
            flow.upstream = self.upstreams[source[0]].name
            self.opened += 1
        elif flags & ACK and not flags & SYN:
            flow.answered += 1
            self.served += 1

    def _take_reset(self, flow, *, own):
        self.reset += 1
        self._end(flow)
        if own and flow.upstream is not None:
            held = [u for u in self.upstreams.values() if u.name == flow.upstream]
            if held and held[0].alive and self._routes.get(flow.to):
                self._problems.add("reset of an open flow", flow=flow.port)


class Calls:
    """Make HTTP calls to replicas, as upstreams and operators do."""

    def __init__(self, *, hosts, port, seed):
        self._hosts = hosts
        self._port = port
        self._random = random.Random(seed)

    def one(self, method, target, body, host=None):
        """Return status and body of a call; 0 for no response."""
        host = host or self._random.choice(self._hosts)
        for _ in range(3):
            status, location, data = self._call(method, target, body, host)
            if status != 307:
                return status, data
            host = location.split("//")[1].split(":")[0]
        return 0, b""

    def any(self, method, target, body):
        """Return the first status below 500 of the replicas in some order, or 0."""
        for host in self._random.sample(self._hosts, len(self._hosts)):
            status, _ = self.one(method, target, body, host)
            if 0 < status < 500:
                return status
        return 0

    def _call(self, method, target, body, host):
        connection = http.client.HTTPConnection(host, self._port, timeout=CALL_S)
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
    """Publish revisions, some invalid, read them back, and check the answers."""

    def __init__(self, *, calls, make, problems, seed):
        self.confirmed = 0
        self.reads = 0
        self._calls = calls
        self._make = make
        self._problems = problems
        self._random = random.Random(seed)
        self._revision = 0
        self._sent = {}
        self._running = True
        for work in (self._publish, self._read):
            threading.Thread(target=work, daemon=True).start()

    def close(self):
        """Stop."""
        self._running = False

    def _publish(self):
        while self._running:
            self.publish_once()
            if self._random.random() < 0.2:
                self._send_invalid()
            time.sleep(self._random.uniform(0.05, 0.6))

    def publish_once(self):
        """Send the next revision until it is confirmed or that takes too long."""
        self._revision += self._random.randint(1, 4)
        body = self._make(self._revision)
        self._sent[self._revision] = body
        self._confirm(body)

    def _confirm(self, body):
        for _ in range(30):
            status, _ = self._calls.one("PUT", "/-/config", body)
            if status == 200:
                self.confirmed = max(self.confirmed, body["version"])
                return
            if 400 <= status < 500:
                self._problems.add("refused", version=body["version"], status=status)
                return
            time.sleep(0.05)

    def _send_invalid(self):
        body = {**self._make(self._revision + 1_000_000), "routes": None}
        status, _ = self._calls.one("PUT", "/-/config", body)
        if status == 200:
            self._problems.add("confirmed what is invalid")

    def _read(self):
        while self._running:
            self.read_once()
            time.sleep(0.1)

    def read_once(self):
        """Read, check that nothing confirmed before is missing; return the version."""
        before = self.confirmed
        status, data = self._calls.one("GET", "/-/config", None)
        if status != 200:
            return 0
        self.reads += 1
        document = json.loads(data)
        if document["version"] < before:
            self._problems.add("old read", read=document["version"], confirmed=before)
        if document != self._sent.get(document["version"]):
            self._problems.add("read what was never sent", read=document["version"])
        return document["version"]
