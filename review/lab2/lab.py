"""Stand-ins for the review's scripts: processes, a proxy, backends and an operator.

The daemons run with the commands and the templates of `deploy/system.toml`. Every
address is a loopback address of one random network, every port is free there.
"""

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
CONTROL_PORT, DATA_PORT, READY_PORT, INNER_PORT = 8166, 8172, 8167, 7720
SERVER_PORT = 8080
HEADER = struct.Struct("<BBIHIIHIHII")
ACK, BOUNCED, SYN, FIN, RST = 2, 4, 8, 16, 64
#: Packets of clients and backends have a sum; the system doesn't know its key.
PACKET_SUM = 0x5A5A5A5A
BOUNDS = {
    "contactMs": 4_000,
    "ackMs": 5_000,
    "drainMs": 3_000,
    "applyMs": 3_000,
    "revertMs": 250,
    "recoverS": 12,
    "flowMs": 2_000,
    "flowMaxS": 60,
    "graceS": 6,
    "catchupS": 4,
}


class Record:
    """Write lines with the time since the start to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    def write(self, text, **fields):
        """Write a line."""
        with self._lock:
            details = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{self.now_s():8.3f} {text} {details}".rstrip() + "\n")
            self._file.flush()


def render(template, fields):
    """Fill in a template of settings as DEPLOY.md describes."""

    def section(match):
        value = fields.get(match[1])
        items = list(value) if value else []
        parts = []
        for number, item in enumerate(items):
            part = match[2].replace("{{@}}", str(item))
            parts.append(part.replace("{{,}}", "," if number + 1 < len(items) else ""))
        return "".join(parts)

    def placeholder(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
            if value is None:
                return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


class Daemon:
    """Run one role on one address."""

    def __init__(self, *, folder, role, host, name, fields):
        self.host, self.name, self.role = host, name, role
        self._fields = fields
        self._settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._process = None

    def write_settings(self, **changes):
        """Write the settings file, with some fields changed for good."""
        self._fields.update(changes)
        template = ROOT / DEPLOY["roles"][self.role]["template"]
        text = render(template.read_text(encoding="utf-8"), self._fields)
        temporary = self._settings.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self._settings)

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        command = DEPLOY["roles"][self.role]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "KNAPWEEDDEAL_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(10)

    def terminate(self):
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        self.signal(signal.SIGTERM)
        try:
            self._process.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            self.kill()

    @property
    def has_ended(self):
        """Return whether the process has ended."""
        return self._process is not None and self._process.poll() is not None

    def log_lines(self, text):
        """Return the log lines that contain a text."""
        lines = self._log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if text in line]


class Cluster:
    """Run control replicas and forwarders in some zones."""

    def __init__(self, *, record, cores, fronts, zones, tolerate=1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base = _free_network()
        self.zones = zones
        self.cores, self.fronts = [], []
        seeds = [f"{self.address(1, n)}:{CONTROL_PORT}" for n in range(1, cores + 1)]
        self._common = {
            "seeds": seeds[:3],
            "zones": dict.fromkeys(zones, "region-1"),
            "portRange": [INNER_PORT, INNER_PORT + 15],
            "heartbeatMs": 1_200,
            "bootstrap": True,
            "tolerate": {"machines": tolerate, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "limits": {"linkMbps": 350.0},
        }
        for number in range(1, cores + 1):
            self.cores.append(self._daemon("control", 1, number))
        for number in range(1, fronts + 1):
            self.fronts.append(self._daemon("forwarder", 2, number))

    def address(self, group, number):
        """Return a loopback address."""
        return f"127.{self.base}.{group}.{number}"

    def _daemon(self, role, group, number):
        host = self.address(group, number)
        name = f"{'core' if role == 'control' else 'front'}-{number}"
        fields = {
            **self._common,
            "node": name,
            "ip": host,
            "zone": self.zones[(number - 1) % len(self.zones)],
            "listen": {
                "control": f"{host}:{CONTROL_PORT}",
                "dataAddr": f"{host}:{DATA_PORT}",
                "ready": f"{host}:{READY_PORT}",
            },
        }
        if role == "control":
            data = self.folder / f"data-{name}"
            data.mkdir()
            fields["dataDir"] = str(data)
        return Daemon(
            folder=self.folder, role=role, host=host, name=name, fields=fields
        )

    def start(self):
        """Start all processes; they restart without `bootstrap`."""
        for daemon in [*self.cores, *self.fronts]:
            daemon.start()
        for daemon in self.cores:
            daemon._fields["bootstrap"] = False

    def wait_ready(self, timeout_s=20.0):
        """Wait until every forwarder answers 200 at its `ready` address."""
        until_s = time.monotonic() + timeout_s
        waiting = list(self.fronts)
        while waiting and time.monotonic() < until_s:
            waiting = [one for one in waiting if not is_ready(one.host)]
            time.sleep(0.1)
        return not waiting

    def close(self):
        """End all processes and remove the folder."""
        for daemon in [*self.cores, *self.fronts]:
            daemon.signal(signal.SIGCONT)
            daemon.kill()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder)


def _free_network():
    """Return a second octet whose addresses nobody uses."""
    for _ in range(50):
        base = random.randrange(60, 250)
        try:
            for host, port in (
                (f"127.{base}.1.1", CONTROL_PORT),
                (f"127.{base}.1.1", INNER_PORT),
                (f"127.{base}.2.1", READY_PORT),
            ):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return base
    raise OSError("found no free loopback network")


def is_ready(host):
    """Return whether a forwarder is ready."""
    return call(host, READY_PORT, "GET", "/-/ready")[0] == 200


def call(host, port, method, path, body=None, timeout_s=1.0):
    """Return status, location and body of a call; status 0 for none in time."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"}
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        return answer.status, answer.getheader("Location"), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, None, b""
    finally:
        connection.close()


def call_following(host, method, path, body=None):
    """Return status and body of a call to `control`; follow a 307 twice."""
    for _ in range(3):
        status, location, data = call(host, CONTROL_PORT, method, path, body)
        if status != 307 or not location:
            break
        host = location.split("//")[1].split(":")[0]
    return status, data, host


class Loss:
    """Count the answers that are still to be lost, whichever proxy passes them."""

    def __init__(self):
        self._left = 0
        self._lock = threading.Lock()

    def lose(self, count):
        """Lose the next answers."""
        with self._lock:
            self._left = count

    def takes_next(self):
        """Return whether the next answer is lost."""
        with self._lock:
            self._left -= 1
            return self._left >= 0


class Proxy:
    """Pass connections on to one control replica; lose answers on request."""

    def __init__(self, *, record, host, target, loss):
        self.host = host
        self._record = record
        self._target = target
        self._loss = loss
        self._listener = socket.create_server((host, CONTROL_PORT), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        """Pass on one request and its answer; both end with the connection."""
        target = (self._target, CONTROL_PORT)
        with (
            connection,
            contextlib.suppress(OSError),
            socket.create_connection(target, 1.0) as other,
        ):
            back = threading.Thread(
                target=self._pass_back, args=(other, connection), daemon=True
            )
            back.start()
            while data := connection.recv(65_536):
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
            back.join()

    def _pass_back(self, other, connection):
        is_first = True
        with contextlib.suppress(OSError):
            while data := other.recv(65_536):
                if is_first and self._loss.takes_next():
                    self._record.write(
                        "an answer was lost on its way",
                        of=self._target,
                        status=data.split(b"\r\n", 1)[0].decode("latin-1"),
                    )
                    # The caller hears nothing more on this connection.
                    while other.recv(65_536):
                        pass
                    return
                is_first = False
                connection.sendall(data)


class Operator:
    """Send orders as PROTOCOL.md describes."""

    def __init__(self, *, record, hosts):
        self._record = record
        self._hosts = hosts

    def order(self, method, path, body=None, *, first=None, timeout_s=30.0):
        """Send an order until it is acknowledged or refused; return the status."""
        until_s = time.monotonic() + timeout_s
        pause_s, hosts = 0.05, list(self._hosts)
        random.shuffle(hosts)
        if first is not None:
            hosts.insert(0, first)
        number = 0
        while time.monotonic() < until_s:
            host = hosts[number % len(hosts)]
            number += 1
            status, _, answered = call_following(host, method, path, body)
            self._record.write(
                "operator sent an order",
                order=f"{method} {path}",
                at=host,
                answered_by=answered,
                status=status,
            )
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            time.sleep(pause_s)
            pause_s = min(pause_s * 2, 1.0)
        return 0


def document(version, routes, services, **extra):
    """Return a config; `routes` maps (host, port) to a service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}-{port}",
                "host": host,
                "pathPrefix": f"/{port}/",
                "type": "safe",
                "timeoutMs": 2_500,
                "sloMs": 150,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for (host, port), service in routes.items()
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 4_000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        **extra,
    }


def number_of(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def host_of(number):
    """Return the IPv4 address of a number."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """Hold the fields of a packet."""

    __slots__ = ("ack", "data", "dport", "dst", "echo", "flags", "seq", "sport", "src")
    __slots__ += ("sum",)

    def __init__(self, raw):
        fields = HEADER.unpack_from(raw)
        self.flags, self.echo, length = fields[0], fields[2], fields[3]
        self.seq, self.ack, self.dport = fields[4], fields[5], fields[6]
        self.dst, self.sport, self.src, self.sum = fields[7:11]
        self.data = raw[HEADER.size : HEADER.size + length]


def pack(flags, echo, seq, ack, dst, src, data=b"", sum_=PACKET_SUM):
    """Return a packet; `dst` and `src` are pairs of host and port."""
    return HEADER.pack(
        flags, 0, echo, len(data), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
        dst[1], number_of(dst[0]), src[1], number_of(src[0]), sum_,
    ) + data  # fmt: skip


class Backend:
    """Take flows over UDP and report as PROTOCOL.md describes.

    A request is one data packet `ID`, its answer one data packet `ran ID at NAME`.
    """

    def __init__(
        self,
        *,
        record,
        name,
        service,
        zone,
        host,
        cores,
        client_port,
        port=SERVER_PORT,
        clock_shift_ms=0,
    ):
        self.name, self.service, self.zone, self.host = name, service, zone, host
        self.port = port
        self._record = record
        self._cores = list(cores)
        self._client_port = client_port
        self._number = int(name.rpartition("-")[2], 16)
        self._seq = 0
        self._state = "ready"
        self.born_ms = time.time_ns() // 1_000_000 + clock_shift_ms
        #: When a status report with `draining` was first confirmed.
        self.drain_confirmed_s = None
        #: When it began to exit, or None.
        self.exited_s = None
        #: Opening packets taken, as (time, client port).
        self.opened = []
        self.ran = []
        self._flows = {}
        self._paused = threading.Event()
        self.is_alive = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.settimeout(0.1)
        self._wake = threading.Event()
        self._threads = [
            threading.Thread(target=loop, daemon=True)
            for loop in (self._serve, self._report)
        ]
        for thread in self._threads:
            thread.start()
        record.write("backend started", id=name, born=self.born_ms, service=service)

    def drain(self):
        """Report `draining` from now on, at once."""
        self._state = "draining"
        self._wake.set()

    def crash(self):
        """End without a word."""
        self.is_alive = False
        self._wake.set()
        for thread in self._threads:
            thread.join()
        self._record.write("backend crashed", id=self.name)

    def leave(self, *, exits_anyway_s=5.0):
        """Send DELETE until it is confirmed, and exit.

        Without a confirmation it exits anyway, some seconds later. Until then it
        serves.
        """
        status, pause_s = 0, 0.1
        self._state = "left"
        until_s = time.monotonic() + exits_anyway_s
        hosts = random.sample(self._cores, len(self._cores))
        while not 200 <= status < 300 and time.monotonic() < until_s:
            hosts.append(hosts.pop(0))
            path = f"/-/instances/{self.name}"
            self._record.write("backend sends DELETE", id=self.name, to=hosts[-1])
            status, _, _ = call(hosts[-1], CONTROL_PORT, "DELETE", path)
            self._record.write("backend's DELETE ended", id=self.name, status=status)
            if not 200 <= status < 300:
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, 1.0)
        self.exited_s = self._record.now_s()
        self.crash()

    def body(self):
        """Return the next status report."""
        self._seq += 1
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self._state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born_ms,
        }

    def _report(self):
        current = random.choice(self._cores)
        while self.is_alive:
            self._wake.clear()
            if self._state == "left":
                self._wake.wait(0.1)
                continue
            order = [current] + [one for one in self._cores if one != current]
            for host in order:
                body = self.body()
                path = f"/-/instances/{self.name}"
                status, _, _ = call(host, CONTROL_PORT, "PUT", path, body)
                if 200 <= status < 300:
                    current = host
                    break
                if not self.is_alive:
                    return
            else:
                # Nobody confirmed it.
                body = None
            is_draining = body is not None and body["state"] == "draining"
            if is_draining and self.drain_confirmed_s is None:
                self.drain_confirmed_s = self._record.now_s()
                self._record.write(
                    "backend got its draining confirmed", id=self.name, at=current
                )
            self._wake.wait(1.2 * random.uniform(0.95, 1.05))

    def _serve(self):
        while self.is_alive:
            try:
                raw, _ = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            except OSError:
                break
            intended = int.from_bytes(raw[:8], "big")
            if intended not in (0, self._number):
                continue
            self._handle(Packet(raw[8:]))
        self._socket.close()

    def _handle(self, packet):
        key = (packet.src, packet.sport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self._flows[key] = {
                    "mine": random.getrandbits(31),
                    "theirs": packet.seq + 1,
                    "open": False,
                    "sent": {},
                }
                now_s = self._record.now_s()
                self.opened.append((now_s, packet.sport))
                self._record.write(
                    "backend took an opening packet", id=self.name, client=packet.sport
                )
            flow["echo"] = packet.echo
            self._send(SYN | ACK, flow["mine"], flow["theirs"], packet, packet.echo)
            return
        if flow is None:
            self._send(RST, packet.ack, 0, packet, packet.echo)
            return
        flow["echo"] = packet.echo
        if packet.flags & (RST | FIN):
            if packet.flags & FIN:
                self._send(ACK, packet.ack, packet.seq + 1, packet, packet.echo)
            self._flows.pop(key, None)
            return
        if not flow["open"]:
            flow["open"] = True
            self._record.write("flow open", id=self.name, client=packet.sport)
        if packet.data:
            first = packet.seq not in flow["sent"]
            if first:
                self.ran.append(packet.data)
                self._record.write(
                    "backend ran a request", id=self.name, request=packet.data.decode()
                )
                flow["sent"][packet.seq] = b"ran %s at %s" % (
                    packet.data,
                    self.name.encode(),
                )
            answer = flow["sent"][packet.seq]
            flow["theirs"] = packet.seq + len(packet.data)
            self._send(ACK, packet.ack, flow["theirs"], packet, packet.echo, answer)
            if self._state != "ready":
                # One that is leaving closes each flow after its next response.
                end = packet.ack + len(answer)
                self._send(FIN | ACK, end, flow["theirs"], packet, packet.echo)

    def _send(self, flags, seq, ack, packet, echo, data=b""):
        dst = (host_of(packet.src), packet.sport)
        src = (host_of(packet.dst), packet.dport)
        with contextlib.suppress(OSError):
            self._socket.sendto(
                pack(flags, echo, seq, ack, dst, src, data),
                (dst[0], self._client_port),
            )


class Flow:
    """Hold a client's flow."""

    def __init__(self, port, route, front):
        self.port, self.route, self.front = port, route, front
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        #: Why the flow has ended, or "".
        self.ended = ""
        self.ended_s = None
        self.answers = []
        self.event = threading.Event()


class Client:
    """Open flows through the ready forwarders and send requests on them."""

    def __init__(self, *, record, host, fronts, port=DATA_PORT):
        self.host = host
        self._record = record
        self._port = port
        self.fronts = list(fronts)
        self._next_port = 40_000
        self.flows = {}
        self._is_running = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.settimeout(0.1)
        threading.Thread(target=self._receive, daemon=True).start()

    def close(self):
        """Stop receiving."""
        self._is_running = False

    def _front(self, port):
        return self.fronts[port % len(self.fronts)]

    def open(self, route):
        """Open a flow with a SYN and two copies; return it, open or ended."""
        self._next_port += 1
        flow = Flow(self._next_port, route, None)
        self.flows[flow.port] = flow
        began_s = time.monotonic()
        for copy, due_s in enumerate((0.0, 0.2, 0.6)):
            flow.event.wait(max(began_s + due_s - time.monotonic(), 0))
            if flow.event.is_set():
                break
            self._send(flow, SYN, flow.seq, copy, 0)
        flow.event.wait(max(began_s + 1.4 - time.monotonic(), 0))
        if not flow.is_open and not flow.ended:
            flow.ended = "no answer to the SYN"
        self._record.write(
            "client opened a flow" if flow.is_open else "client's flow failed",
            client=flow.port,
            why=flow.ended or "-",
        )
        return flow

    def request(self, flow, text, timeout_s=2.0):
        """Send a request on an open flow; return the answer, or None."""
        flow.event.clear()
        before = len(flow.answers)
        data, began_s, wait_s = text.encode(), time.monotonic(), 0.2
        self._record.write("client sent a request", client=flow.port, request=text)
        while time.monotonic() - began_s < timeout_s and not flow.ended:
            self._send(flow, ACK, flow.seq, flow.ack, flow.echo, data)
            flow.event.wait(wait_s)
            if len(flow.answers) > before:
                flow.seq += len(data)
                answer = flow.answers[-1]
                self._record.write("client got an answer", answer=answer.decode())
                return answer
            wait_s = min(wait_s * 2, 1.6)
        self._record.write(
            "client got no answer", client=flow.port, request=text, why=flow.ended
        )
        return None

    def _send(self, flow, flags, seq, ack, echo, data=b""):
        raw = pack(flags, echo, seq, ack, flow.route, (self.host, flow.port), data)
        with contextlib.suppress(OSError):
            self._socket.sendto(raw, (self._front(flow.port), DATA_PORT))

    def _receive(self):
        while self._is_running:
            try:
                raw, source = self._socket.recvfrom(4_096)
            except TimeoutError:
                continue
            except OSError:
                return
            packet = Packet(raw)
            flow = self.flows.get(packet.dport)
            if flow is not None and not flow.ended:
                self._handle(flow, packet, source[0])

    def _handle(self, flow, packet, source):
        if packet.flags & RST:
            by = "the system" if packet.sum == 0 else source
            flow.ended, flow.ended_s = f"reset by {by}", self._record.now_s()
            self._record.write(
                "client got a reset", client=flow.port, by=by, was_open=flow.is_open
            )
            flow.event.set()
        elif packet.flags & SYN:
            if flow.is_open:
                return
            flow.is_open, flow.echo = True, packet.echo
            flow.seq, flow.ack = flow.seq + 1, packet.seq + 1
            self._send(flow, ACK, flow.seq, flow.ack, flow.echo)
            flow.event.set()
        else:
            flow.echo = packet.echo
            if packet.data and packet.seq == flow.ack & 0xFFFFFFFF:
                flow.ack += len(packet.data)
                flow.answers.append(packet.data)
                flow.event.set()
            if packet.flags & FIN and packet.seq == flow.ack & 0xFFFFFFFF:
                flow.ended = "closed by its backend"
                self._send(flow, FIN | ACK, flow.seq, flow.ack + 1, flow.echo)


class CannotRunError(Exception):
    """Say that a case couldn't run."""


class Lab:
    """Run a cluster with its stand-ins, and end them all."""

    def __init__(self, *, record, zones, cores=4, fronts=2):
        self.record = record
        self.zones = zones
        self.cluster = Cluster(record=record, cores=cores, fronts=fronts, zones=zones)
        self.cores = [daemon.host for daemon in self.cluster.cores]
        self.operator = Operator(record=record, hosts=self.cores)
        self.backends = []
        self._closing = []

    def __enter__(self):
        """Return the lab."""
        return self

    def __exit__(self, *_error):
        """End all processes and stand-ins."""
        for one in self._closing:
            one.close()
        for backend in self.backends:
            backend.crash()
        self.cluster.close()

    def start(self, config):
        """Start all processes, and put a config in force."""
        self.cluster.start()
        if self.operator.order("PUT", "/-/config", config) != 200:
            raise CannotRunError("the first config wasn't acknowledged")

    def backend(self, **fields):
        """Start a backend."""
        fields = {"cores": self.cores, "client_port": DATA_PORT, **fields}
        backend = Backend(record=self.record, **fields)
        self.backends.append(backend)
        return backend

    def client(self):
        """Return a client, once all forwarders are ready."""
        if not self.cluster.wait_ready():
            raise CannotRunError("the forwarders aren't ready")
        time.sleep(1.0)
        client = Client(
            record=self.record,
            host=self.cluster.address(3, 1),
            fronts=[daemon.host for daemon in self.cluster.fronts],
        )
        self._closing.append(client)
        return client

    def proxies(self, loss):
        """Return the addresses of proxies, one before each control replica."""
        proxies = [
            Proxy(
                record=self.record,
                host=self.cluster.address(5, number),
                target=core,
                loss=loss,
            )
            for number, core in enumerate(self.cores, 1)
        ]
        self._closing.extend(proxies)
        return [proxy.host for proxy in proxies]


def wait_until(condition, why, timeout_s=20.0):
    """Wait for a condition; raise CannotRunError if it isn't met in time."""
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= until_s:
            raise CannotRunError(why)
        time.sleep(0.02)


def run_case(case, here):
    """Run `case(record)`, which returns the broken rules as texts; exit."""
    record = Record(Path(here) / "record.txt")
    try:
        broken = case(record)
    except Exception as error:
        record.write("the case couldn't run", why=repr(error))
        traceback.print_exc()
        sys.exit(2)
    for text in broken:
        record.write("broken:", what=text)
    record.write("result", broken=len(broken))
    sys.exit(1 if broken else 0)
