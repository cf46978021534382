"""review.common.system: Run the programs of the deploy file on loopback addresses.

Starts each role with the command and the settings template that `deploy/system.toml`
names, restarts what ends as a platform does, and records all of it.
"""

import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

__all__ = ["HEARTBEAT_MS", "PORTS", "ROOT", "ZONES", "System", "require"]
__all__ += ["run", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = {"stream": 7_720, "control": 8_166, "data": 8_172, "ready": 8_167}
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HEARTBEAT_MS = 1_200
#: Pause before a process that ended is started again.
RESTART_DELAY_S = 0.4
#: Time after SIGTERM at which a process is killed: the bound `graceS`.
GRACE_S = 6.0

#: Exit statuses of a case's program. `run.sh` turns BROKEN into 1 and all others but
#: HELD into 2, as Python ends with 1 after an error of its own.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class NotRunError(Exception):
    """Report that a case couldn't run up to its disruption."""


class Record:
    """Write what happened to `record.txt`, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    @property
    def now_s(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s:8.3f} {text}\n")
            self._file.flush()


def wait_until(condition, timeout_s, *, interval_s=0.05):
    """Poll a condition; return its first true value, or its last one at the limit."""
    until_s = time.monotonic() + timeout_s
    while not (value := condition()) and time.monotonic() < until_s:
        time.sleep(interval_s)
    return value


def render(template, fields):
    """Fill in the placeholders of a settings template that this project uses."""

    def section(match):
        name, body = match.group(1), match.group(2)
        parts = list(fields.get(name, ()))
        last = len(parts) - 1
        return "".join(
            body.replace("{{@}}", part).replace("{{,}}", "," if n < last else "")
            for n, part in enumerate(parts)
        )

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields.get(m.group(1), ""), text)


def free_base():
    """Return a second octet whose loopback addresses no other run uses."""
    for number in range(100):
        base = 10 + (os.getpid() + number) % 100
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f"127.{base}.1.1", PORTS["stream"]))
            except OSError:
                continue
        return base
    raise NotRunError("no free loopback addresses")


def last_line(path):
    """Return the last line of a log, which is the error that ended a process."""
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return lines[-1] if lines else ""


class Machine:
    """Run one role on one loopback address, and restart its process when it ends."""

    def __init__(self, *, system, role, name, host, zone, bootstrap=True):
        self.name = name
        self.host = host
        self.zone = zone
        self.role = role
        #: How often the process ended although the case did not end it.
        self.own_ends = 0
        self._bootstrap = bootstrap
        self._system = system
        self._child = None
        self._wanted = False
        self._lock = threading.Lock()
        self.log_path = system.folder / f"{name}.log"
        self._data = system.folder / f"{name}.data"
        threading.Thread(target=self._supervise, daemon=True).start()

    def _start_process(self):
        spec = self._system.roles[self.role]
        fields = {
            "ip": self.host,
            "node": self.name,
            "zone": self.zone,
            "portRange.0": str(PORTS["stream"]),
            "seeds": ",".join(self._system.seeds),
            "dataDir": str(self._data),
            "listen.control": f"{self.host}:{PORTS['control']}",
            "listen.dataAddr": f"{self.host}:{PORTS['data']}",
            "listen.ready": f"{self.host}:{PORTS['ready']}",
            "bootstrap": "true" if self._bootstrap else "false",
            "tolerate.machines": "1",
            "heartbeatMs": str(HEARTBEAT_MS),
            "limits.linkMbps": "350.0",
            "zones": ZONES,
        }
        settings = self._system.folder / f"{self.name}.ini"
        template = (ROOT / spec["template"]).read_text(encoding="utf-8")
        settings.write_text(render(template, fields), encoding="utf-8")
        if spec["on"] == "core":
            self._data.mkdir(exist_ok=True)
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["KNAPWEEDDEAL_SETTINGS"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(
                shlex.split(spec["run"]),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._system.record.write(f"{self.name} started, {self.host}")

    def _supervise(self):
        while True:
            time.sleep(0.05)
            with self._lock:
                child = self._child
                if not self._wanted or child is None or child.poll() is None:
                    continue
                self.own_ends += 1
                self._system.record.write(
                    f"{self.name} ended by itself, status {child.returncode}: "
                    f"{last_line(self.log_path)}"
                )
            time.sleep(RESTART_DELAY_S)
            with self._lock:
                if self._wanted and self._child is child:
                    self._start_process()

    def start(self):
        """Start the process and keep it running."""
        with self._lock:
            self._wanted = True
            self._start_process()

    def send_signal(self, number):
        """Send a signal to the process."""
        self._system.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self._child.send_signal(number)

    def end(self, number=signal.SIGKILL):
        """End the process with a signal, and wait for its end."""
        with self._lock:
            self._wanted = False
            child = self._child
            if child is None or child.poll() is not None:
                return
            self._system.record.write(f"{self.name} gets {signal.Signals(number).name}")
            child.send_signal(number)
            try:
                child.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


class System:
    """Hold the machines of a small deployment in a temporary folder."""

    def __init__(self, *, record, core=4, front=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base = free_base()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self.roles = deploy["roles"]
        self._names = {spec["on"]: role for role, spec in self.roles.items()}
        self.core_hosts = [self.host(1, n) for n in range(1, core + 1)]
        self.seeds = [f"{host}:{PORTS['control']}" for host in self.core_hosts[:3]]
        self.core = [
            self.add_core(n, ZONES[(n - 1) % len(ZONES)]) for n in range(1, core + 1)
        ]
        self.front = [
            Machine(
                system=self,
                role=self._names["front"],
                name=f"front-{n}",
                host=self.host(2, n),
                zone=ZONES[(n - 1) % len(ZONES)],
            )
            for n in range(1, front + 1)
        ]

    def host(self, group, number):
        """Return a loopback address of this run."""
        return f"127.{self.base}.{group}.{number}"

    def add_core(self, number, zone, *, bootstrap=True):
        """Return a further core machine, which isn't started yet."""
        return Machine(
            system=self,
            role=self._names["core"],
            name=f"core-{number}",
            host=self.host(1, number),
            zone=zone,
            bootstrap=bootstrap,
        )

    @property
    def machines(self):
        """Return all machines."""
        return [*self.core, *self.front]

    def start(self):
        """Start all processes."""
        for machine in self.machines:
            machine.start()

    def close(self):
        """End all processes and delete their files."""
        for machine in self.machines:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def require(condition, text):
    """Raise NotRunError unless a condition of the case holds."""
    if not condition:
        raise NotRunError(text)


def run(case, *, folder, **sizes):
    """Run `case(system, trouble)`, which returns what broke the rule, or ""; exit."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")
    system, status = None, NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        system = System(record=record, **sizes)
        system.start()
        broken = case(system, trouble)
        status = BROKEN if broken else HELD
        record.write(f"broken: {broken}" if broken else "the rule held")
    except NotRunError as error:
        record.write(f"could not run: {error}")
    finally:
        if system is not None:
            system.close()
    record.write(f"ends with status {status}")
    sys.exit(status)
