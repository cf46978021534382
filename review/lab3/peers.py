"""Clients and backends that follow the users' protocol, and what they saw."""

import contextlib
import http.server
import itertools
import random
import socket
import struct
import threading
import time

from review.lab3.system import DATA_PORT, call_one

__all__ = ["Backend", "Clients", "Record"]

HEADER = struct.Struct("<BBIHIIHIHII")
PREFIX_BYTES = 8
SYN, ACK, FIN, RST = 8, 2, 16, 64
#: Sum of packets of clients and backends; the key of the real one isn't known.
SUM = 0xA1B2C3D4
SYN_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
#: Times after which a packet without an acknowledgment is sent again.
FIRST_REPEAT_S, LONGEST_REPEAT_S = 0.2, 1.6
#: Largest distance of a reset's `seq` from the client's last `ack`.
RESET_WINDOW = 76_800
BEAT_S = 1.2
#: The routes' address in packets; nothing is sent there.
SERVICE_HOST = "127.9.9.9"


class Record:
    """Write what was sent, answered and run to a file, with the elapsed time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        with self._lock:
            elapsed_s = time.monotonic() - self._started_s
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


def number_of(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def _udp(address):
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind(address)
    result.settimeout(0.05)
    return result


class Health(http.server.BaseHTTPRequestHandler):
    """Answer health checks."""

    def do_GET(self):  # noqa: N802
        """Answer 200."""
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_arguments):
        """Write no log."""


class Backend:
    """Accept flows, answer requests and report its state as PROTOCOL.md says."""

    def __init__(
        self,
        *,
        system,
        record,
        backend_id,
        service,
        zone,
        ip,
        client_ip,
        daemon=None,
    ):
        self.id, self.service, self.zone, self.ip = backend_id, service, zone, ip
        self.port = 8_080
        self.ran = []
        self.opened = 0
        #: Ports of the clients whose handshake ended here.
        self.open_ports = set()
        self.resets_sent = set()
        self.state = "ready"
        self.alive = True
        self.confirmed_draining_s = None
        self._system, self._record, self._client_ip = system, record, client_ip
        self._number = int(backend_id.rpartition("-")[2], 16)
        self._born_ms = time.time_ns() // 1_000_000
        self._seq = 0
        self._flows = {}
        self._isn = random.Random(self._number)
        self._socket = _udp((ip, self.port))
        self._health = http.server.ThreadingHTTPServer((ip, self.port), Health)
        #: The core machine that confirmed the last report.
        self._daemon = daemon
        for loop in (self._serve, self._beat, self._health.serve_forever):
            threading.Thread(target=loop, daemon=True).start()

    @property
    def addr(self):
        """Return the address for packets and health checks."""
        return f"{self.ip}:{self.port}"

    def report(self):
        """Return the next status report."""
        self._seq += 1
        return {
            "service": self.service,
            "addr": self.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }

    def close(self):
        """Stop at once."""
        self.alive = False
        self._health.shutdown()

    def _beat(self):
        while self.alive:
            order = [m.ip for m in self._system.cores]
            random.shuffle(order)
            if self._daemon in order:
                order.remove(self._daemon)
                order.insert(0, self._daemon)
            for ip in order:
                # Each call has a `seq` of its own, also one that repeats another.
                body = self.report()
                status, _ = call_one(ip, "PUT", f"/-/instances/{self.id}", body)
                self._record.write(
                    f"{self.id}: report {body['seq']}, {body['state']}, "
                    f"got {status or 'no answer'} from {ip}"
                )
                if 200 <= status < 300:
                    self._daemon = ip
                    if body["state"] == "draining" and not self.confirmed_draining_s:
                        self.confirmed_draining_s = time.monotonic()
                        self._record.write(f"{self.id}: draining is confirmed by {ip}")
                    break
            time.sleep(BEAT_S)

    def _serve(self):
        while self.alive:
            try:
                data, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            except OSError:
                return
            intended = int.from_bytes(data[:PREFIX_BYTES], "big")
            if intended in (0, self._number):
                self._handle(data[PREFIX_BYTES:])
        self._socket.close()

    def _handle(self, data):
        flags, _, echo, _, seq, ack, dport, dst, sport, src, _ = HEADER.unpack_from(
            data
        )
        body = data[HEADER.size :]
        key = (src, sport, dst, dport)
        flow = self._flows.get(key)
        if flags & SYN:
            if flow is None:
                isn = self._isn.getrandbits(32)
                flow = self._flows[key] = {"seq": isn, "open": False, "next": seq + 1}
            flow["echo"] = echo
            self._send(SYN | ACK, key, echo, flow["seq"], seq + 1)
            return
        if flow is None:
            if not flags & RST:
                self.resets_sent.add(sport)
                self._send(RST, key, echo, ack, seq)
            return
        flow["echo"] = echo
        if flags & RST:
            del self._flows[key]
            return
        if not flow["open"]:
            if ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                return
            flow["open"], flow["seq"] = True, ack
            self.opened += 1
            self.open_ports.add(key[1])
            self._record.write(f"{self.id}: flow {sport} is open")
        if body:
            self._answer(key, flow, seq, body)
        elif flags & FIN:
            self._send(ACK, key, echo, flow["seq"], seq + 1)
            del self._flows[key]

    def _answer(self, key, flow, seq, body):
        """Run a request once, and answer it and its copies."""
        if seq == flow["next"]:
            flow["next"] = (seq + len(body)) & 0xFFFFFFFF
            request_id = body.decode(errors="replace").strip()
            self.ran.append((request_id, key[3]))
            self._record.write(f"{self.id}: ran {request_id} for port {key[3]}")
            flow["answer"] = f"200 {request_id} by {self.id} of {self.service}".encode()
            flow["answer_seq"] = flow["seq"]
            flow["seq"] = (flow["seq"] + len(flow["answer"])) & 0xFFFFFFFF
        elif "answer" not in flow:
            return
        self._send(
            ACK, key, flow["echo"], flow["answer_seq"], flow["next"], flow["answer"]
        )

    def _send(self, flags, key, echo, seq, ack, body=b""):
        src, sport, dst, dport = key
        head = HEADER.pack(
            flags, 0, echo, len(body), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, sport, src,
            dport, dst, SUM,
        )  # fmt: skip
        with contextlib.suppress(OSError):
            self._socket.sendto(head + body, (self._client_ip, DATA_PORT))


class Flow:
    """Hold a client's flow."""

    def __init__(self, *, sport, dport, isn, requests, pause_s):
        self.sport, self.dport, self.isn = sport, dport, isn
        self.requests_left, self.pause_s = requests, pause_s
        self.began_s = time.monotonic()
        self.copies = 0
        self.backend = None
        self.is_open = False
        self.seq = (isn + 1) & 0xFFFFFFFF
        self.ack = 0
        self.echo = 0
        self.request_id, self.body = None, b""
        self.sent_s, self.repeat_s = 0.0, FIRST_REPEAT_S
        self.next_request_s = 0.0
        self.outcome = None


class Clients:
    """Open flows through the forwarders in rotation, and keep what they saw."""

    def __init__(self, *, system, record, ip, zone):
        self.ip, self._zone = ip, zone
        self.flows = {}
        self.ended = []
        self.answers = []
        self.sent = []
        self.resets = []
        self.backends = {}
        self._system, self._record = system, record
        self._socket = _udp((ip, DATA_PORT))
        self._lock = threading.Lock()
        self._ports = itertools.count(20_000)
        self._ids = itertools.count(1)
        self._random = random.Random(1)
        self._rotation = [f for f in system.fronts if f.zone == zone]
        self._misses = dict.fromkeys(system.fronts, 0)
        self._running = True
        for loop in (self._run, self._receive, self._probe):
            threading.Thread(target=loop, daemon=True).start()

    def close(self):
        """Stop."""
        self._running = False

    def open(self, dport, *, requests=1, pause_s=0.0):
        """Open a flow to a port, for a number of requests with pauses between them."""
        flow = Flow(
            sport=next(self._ports),
            dport=dport,
            isn=self._random.getrandbits(32),
            requests=requests,
            pause_s=pause_s,
        )
        with self._lock:
            self.flows[flow.sport] = flow
        self._record.write(f"client: SYN of flow {flow.sport} to port {dport}")
        self._send(flow, SYN, flow.isn, 0, echo=0)
        return flow

    def _probe(self):
        """Keep the rotation as the platform's routers do."""
        while self._running:
            for front in self._system.fronts:
                self._misses[front] = 0 if front.is_ready() else self._misses[front] + 1
            self._rotation = self._in_rotation()
            time.sleep(0.5)

    def _in_rotation(self):
        """Return the machines that the routers choose among for the clients' zone."""
        ready = [f for f in self._system.fronts if self._misses[f] < 2]
        own = [f for f in self._system.fronts if f.zone == self._zone]
        own_ready = [f for f in ready if f.zone == self._zone]
        if not own_ready:
            return ready or own
        return own_ready if 2 * len(own_ready) >= len(own) else own

    def _send(self, flow, flags, seq, ack, *, echo, body=b""):
        rotation = self._rotation
        front = rotation[hash((flow.sport, flow.dport)) % len(rotation)]
        head = HEADER.pack(
            flags, 0, echo, len(body), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flow.dport,
            number_of(SERVICE_HOST), flow.sport, number_of(self.ip), SUM,
        )  # fmt: skip
        with contextlib.suppress(OSError):
            self._socket.sendto(head + body, (front.ip, DATA_PORT))

    def _run(self):
        while self._running:
            with self._lock:
                flows = list(self.flows.values())
            for flow in flows:
                self._advance(flow, time.monotonic())
            time.sleep(0.005)

    def _advance(self, flow, now_s):
        if not flow.is_open:
            age_s = now_s - flow.began_s
            if age_s >= OPENING_TIMEOUT_S:
                self._end(flow, "not opened")
            elif flow.copies < 2 and age_s >= SYN_COPIES_S[flow.copies]:
                flow.copies += 1
                self._send(flow, SYN, flow.isn, flow.copies, echo=0)
        elif flow.request_id is not None:
            if now_s - flow.sent_s >= flow.repeat_s:
                flow.repeat_s = min(2 * flow.repeat_s, LONGEST_REPEAT_S)
                self._send_request(flow, now_s)
        elif not flow.requests_left:
            self._send(flow, FIN | ACK, flow.seq, flow.ack, echo=flow.echo)
            self._end(flow, "done")
        elif now_s >= flow.next_request_s:
            flow.requests_left -= 1
            flow.request_id = f"q-{next(self._ids)}"
            flow.body = f"{flow.request_id}\n".encode()
            flow.repeat_s = FIRST_REPEAT_S
            self.sent.append((flow.request_id, flow.dport, now_s))
            self._record.write(
                f"client: request {flow.request_id} on flow {flow.sport}"
            )
            self._send_request(flow, now_s)

    def _send_request(self, flow, now_s):
        flow.sent_s = now_s
        self._send(flow, ACK, flow.seq, flow.ack, echo=flow.echo, body=flow.body)

    def _end(self, flow, outcome):
        flow.outcome = outcome
        with self._lock:
            self.flows.pop(flow.sport, None)
        self.ended.append(flow)
        self._record.write(f"client: flow {flow.sport} ended: {outcome}")

    def _receive(self):
        while self._running:
            try:
                data, source = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            fields = HEADER.unpack_from(data)
            with self._lock:
                flow = self.flows.get(fields[6])
            if flow is not None:
                self._handle(flow, fields, data[HEADER.size :], source)

    def _handle(self, flow, fields, body, source):
        flags, echo, seq = fields[0], fields[2], fields[4]
        if flags & RST:
            self._handle_reset(flow, seq, is_system=fields[10] == 0)
        elif flags & SYN:
            if not flow.is_open:
                flow.echo, flow.ack = echo, (seq + 1) & 0xFFFFFFFF
                flow.backend = self.backends.get(source[0])
                flow.is_open = True
                flow.next_request_s = time.monotonic()
                self._send(flow, ACK, flow.seq, flow.ack, echo=flow.echo)
        elif flow.is_open and flow.request_id is not None and body and seq == flow.ack:
            flow.echo = echo
            flow.ack = (seq + len(body)) & 0xFFFFFFFF
            flow.seq = (flow.seq + len(flow.body)) & 0xFFFFFFFF
            self.answers.append((flow.request_id, body.decode(errors="replace")))
            self._record.write(f"client: flow {flow.sport} got {body.decode()}")
            flow.request_id = None
            flow.next_request_s = time.monotonic() + flow.pause_s
            self._send(flow, ACK, flow.seq, flow.ack, echo=flow.echo)

    def _handle_reset(self, flow, seq, *, is_system):
        """End a flow, unless it is open and the reset is out of its window."""
        distance = (seq - flow.ack) & 0xFFFFFFFF
        distance = min(distance, 2**32 - distance)
        if flow.is_open and distance > RESET_WINDOW:
            return
        sender = "the system" if is_system else "a backend"
        where = f"open at {flow.backend.id}" if flow.is_open else "not open"
        self._record.write(f"client: flow {flow.sport}, {where}, was reset by {sender}")
        self.resets.append((flow, is_system, time.monotonic()))
        self._end(flow, "reset")
