"""Start the project's programs as the deploy file says, on loopback addresses."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from review.lab3.corelinks import CoreLink, Cut
from review.lab3.template import render

__all__ = ["API_PORT", "DATA_PORT", "ROOT", "ZONES", "Machine", "System"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e")
#: Zones of the front machines: the clients' one has three.
FRONT_ZONES = ("zone-a", "zone-a", "zone-a", "zone-b")
DATA_PORT, READY_PORT, API_PORT, FIRST_PORT, LAST_PORT = 7172, 7167, 7166, 7120, 7135
#: Bounds of the small deployments on the users' pages.
BOUNDS = {
    "contactMs": 4_000,
    "drainMs": 3_000,
    "graceS": 6,
    "applyMs": 3_000,
    "flowMs": 2_000,
}
#: Part of a machine's address that follows the number of the run.
CORE_GROUP, FRONT_GROUP, HIDDEN_GROUP = 1, 2, 5
CALL_TIMEOUT_S = 1.0
SEEDS = 3


class Machine:
    """Run one role of the deploy file as a process."""

    def __init__(self, *, system, role, number):
        group = CORE_GROUP if role["on"] == "core" else FRONT_GROUP
        self.system = system
        self.ip = system.address(group, number + 1)
        #: Address where it takes streams: behind a proxy if links can be cut.
        self.stream_ip = self.ip
        if system.cut is not None and role["on"] == "core":
            self.stream_ip = system.address(HIDDEN_GROUP, number + 1)
        zones = ZONES if role["on"] == "core" else FRONT_ZONES
        self.zone = zones[number % len(zones)]
        self.name = f"{role['on']}-{self.zone}-{number + 1}"
        self.role = role
        self.process = None
        self.first_start = True
        self.settings_path = system.folder / f"{self.name}.ini"
        self.log_path = system.folder / f"{self.name}.log"

    @property
    def data_folder(self):
        """Return the folder on the machine's disk."""
        return self.system.folder / f"data-{self.name}"

    def fields(self):
        """Return the fields of the platform's settings file."""
        is_core = self.role["on"] == "core"
        listen = {"control": f"{self.ip}:{API_PORT}"}
        if not is_core:
            listen = {
                "dataAddr": f"{self.ip}:{DATA_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
        return {
            "node": self.name,
            "class": self.role["on"],
            "serves": self.role["serves"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": listen,
            "portRange": [FIRST_PORT, LAST_PORT],
            "seeds": self.system.seeds,
            "bootstrap": self.first_start,
            "countsAsLoss": is_core,
            "limits": {"linkMbps": 1000.0 if is_core else 350.0},
            "dataDir": str(self.data_folder) if is_core else None,
            "heartbeatMs": 1_200,
            "tolerate": {"machines": self.system.tolerated, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self):
        """Start the process with the settings in effect now."""
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        settings = render(template, self.fields()).replace(
            f"listen = {self.ip}:", f"listen = {self.stream_ip}:"
        )
        self.settings_path.write_text(settings, encoding="utf-8")
        self.first_start = False
        if self.role["on"] == "core":
            self.data_folder.mkdir(exist_ok=True)
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["KNAPWEEDDEAL_SETTINGS"] = str(self.settings_path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def lose_disk(self):
        """Remove all that a core machine's disk holds, while its process is down."""
        shutil.rmtree(self.data_folder)

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    @property
    def has_ended(self):
        """Return whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def is_ready(self):
        """Return whether a forwarder says that it is ready."""
        connection = http.client.HTTPConnection(
            self.ip, READY_PORT, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class System:
    """Run the core and front machines of a small deployment."""

    def __init__(self, *, cores=4, fronts=4, can_cut=False, tolerated=1):
        #: Machines with a disk that may be lost at once.
        self.tolerated = tolerated
        #: The `Cut` between core machines, or None if their streams aren't proxied.
        self.cut = Cut() if can_cut else None
        self._links = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base = _free_base()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        roles = deploy["roles"]
        self.cores, self.fronts = [], []
        counts = {"core": cores, "front": fronts}
        machines = {"core": self.cores, "front": self.fronts}
        for role in roles.values():
            for number in range(counts[role["on"]]):
                machine = Machine(system=self, role=role, number=number)
                machines[role["on"]].append(machine)

    @property
    def seeds(self):
        """Return three machines of the operator's list, running ones if there are."""
        running = [m for m in self.cores if m.process is not None and not m.has_ended]
        chosen = running if len(running) >= SEEDS else self.cores
        return [f"{machine.ip}:{API_PORT}" for machine in chosen[:SEEDS]]

    @property
    def machines(self):
        """Return all machines."""
        return [*self.cores, *self.fronts]

    def address(self, group, number):
        """Return a loopback address of this run."""
        return f"127.{self.base}.{group}.{number}"

    def add_core(self):
        """Start one more core machine, with an empty disk; return it."""
        role = self.cores[0].role
        machine = Machine(system=self, role=role, number=len(self.cores))
        machine.first_start = False
        self.cores.append(machine)
        machine.start()
        return machine

    def remove_core(self, machine):
        """Forget a core machine whose process has ended, for good."""
        self.cores.remove(machine)

    def start(self):
        """Start all machines."""
        for machine in self.cores if self.cut is not None else ():
            link = CoreLink(
                name=machine.ip,
                address=(machine.ip, FIRST_PORT),
                target=(machine.stream_ip, FIRST_PORT),
                cut=self.cut,
            )
            self._links.append(link)
        for machine in self.machines:
            machine.start()

    def close(self):
        """End all processes and remove their files."""
        for machine in self.machines:
            machine.end()
        for link in self._links:
            link.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls of operators and backends.

    def call(self, method, path, body, *, first=None):
        """Return status and body of the first clear answer, or 0 and no bytes."""
        machines = random.sample(self.cores, len(self.cores))
        if first is not None:
            machines = [first, *(m for m in machines if m is not first)]
        for machine in machines:
            status, data = call_one(machine.ip, method, path, body)
            if status and status < 500:
                return status, data
        return 0, b""

    def publish(self, document, *, timeout_s=20):
        """Send a config until it is confirmed; return whether it was."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            status, _ = self.call("PUT", "/-/config", document)
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def wait_ready(self, *, timeout_s=20):
        """Wait until all forwarders are ready; return whether they are."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if all(machine.is_ready() for machine in self.fronts):
                return True
            time.sleep(0.1)
        return False


def call_one(ip, method, path, body, *, timeout_s=CALL_TIMEOUT_S):
    """Return status and body of one call, following two redirects."""
    for _ in range(3):
        connection = http.client.HTTPConnection(ip, API_PORT, timeout=timeout_s)
        try:
            data = json.dumps(body).encode() if body is not None else None
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            content = answer.read()
            if answer.status != 307:
                return answer.status, content
            ip = answer.getheader("Location").split("//")[1].split(":")[0]
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()
    return 0, b""


def _free_base():
    """Return the second number of loopback addresses that nobody uses."""
    while True:
        base = random.randrange(10, 250)
        ports = (DATA_PORT, READY_PORT, API_PORT, FIRST_PORT)
        try:
            for port in ports:
                with socket.create_server((f"127.{base}.{CORE_GROUP}.1", port)):
                    pass
        except OSError:
            continue
        return base
