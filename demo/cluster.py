"""demo.cluster: Run the processes of a small system on loopback."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
TICKET_KEYS = f"1:{bytes(range(32)).hex()}"
#: Environment variable with the second octet of all addresses.
BASE_VARIABLE = "KNAPWEEDDEAL_LOOPBACK"
#: Time after SIGTERM at which a process is killed.
STOP_S = 15


def default_base():
    """Return a second octet above those that the test runner reserves."""
    return 200 + os.getpid() % 55


class Cluster:
    """Start and stop daemons and stand-ins, each with a file for its output.

    Addresses are 127.BASE.x.y, so that clusters with other bases are isolated.
    """

    def __init__(self, *, folder, base=None, zones=ZONES, entries=4, replicas=3):
        self.folder = Path(folder)
        self.base = base or int(os.environ.get(BASE_VARIABLE, 0)) or default_base()
        self.zones = zones
        self.processes = {}
        self._entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self._replicas = [f"control-{n}" for n in range(1, replicas + 1)]
        self.extra_settings = ""

    def host(self, group, number):
        """Return the loopback address of a group and a number in this cluster."""
        return f"127.{self.base}.{group}.{number}"

    def replica_address(self, name):
        """Return a control replica's address as host:port."""
        return f"{self.host(1, int(name.split('-')[1]))}:7000"

    def entry_address(self, name):
        """Return an entry's address for streams as host:port."""
        return f"{self.host(2, int(name.split('-')[1]))}:7000"

    @property
    def control(self):
        """Return the value of the setting `control` and the option `--control`."""
        return ",".join(f"{n}={self.replica_address(n)}" for n in self._replicas)

    @property
    def entries(self):
        """Return the names of the entries."""
        return list(self._entries)

    @property
    def replicas(self):
        """Return the names of the control replicas."""
        return list(self._replicas)

    def service_address(self, port):
        """Return the address that callers use for a service."""
        return (self.host(9, 1), port)

    @property
    def announce_address(self):
        """Return the address to which upstreams send announcements, as host:port."""
        return f"{self.host(9, 1)}:7010"

    def zone_of(self, number):
        """Return the zone of a process by its number, from 1 on."""
        return self.zones[(number - 1) % len(self.zones)]

    def start(self, name, *arguments):
        """Start a process that runs a Python module with arguments."""
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def start_replica(self, name):
        """Start a control replica."""
        number = int(name.split("-")[1])
        data = self.folder / f"{name}.data"
        data.mkdir(exist_ok=True)
        self._start_daemon(
            name,
            "control",
            self.zone_of(number),
            self.replica_address(name),
            f"[control]\ndata_folder = {data}\n",
        )

    def start_entry(self, name):
        """Start an entry."""
        number = int(name.split("-")[1])
        host = self.host(2, number)
        peers = ",".join(
            f"{n}={self.entry_address(n)}" for n in self._entries if n != name
        )
        self._start_daemon(
            name,
            "entry",
            self.zone_of(number),
            self.entry_address(name),
            f"[entry]\nservice_host = {host}\nannounce = {host}:7010\n"
            f"peers = {peers}\nticket_keys = {TICKET_KEYS}\n",
        )

    def _start_daemon(self, name, role, zone, address, section):
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[daemon]\nname = {name}\nrole = {role}\nzone = {zone}\n"
            f"listen = {address}\ncontrol = {self.control}\n{section}"
            f"{self.extra_settings}",
            encoding="utf-8",
        )
        self.start(name, "knapweeddeal.daemon", str(path))

    def start_fabric(self, ports):
        """Start the stand-in fabric for announcements and services on some ports."""
        arguments = ["--address", self.announce_address]
        for port in ports:
            arguments += ["--address", f"{self.host(9, 1)}:{port}"]
        hosts = ",".join(self.host(2, int(n.split("-")[1])) for n in self._entries)
        self.start("fabric", "demo.fabric", *arguments, "--host", hosts)

    def start_upstream(self, name, number, service, *arguments):
        """Start a stand-in upstream of a service."""
        self.start(
            name,
            "demo.upstream",
            *("--id", name, "--zone", self.zone_of(number), "--service", service),
            *("--listen", f"{self.host(3, number)}:7020"),
            *("--announce", self.announce_address),
            *("--runs", str(self.folder / f"{service}.runs")),
            *arguments,
        )

    def operate(self, *arguments, timeout_s=30):
        """Run the command-line tool and return its completed process."""
        return subprocess.run(
            [
                *(sys.executable, "-m", "knapweeddeal.cmdline"),
                *("--control", self.control, *arguments),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
        )

    def output(self, name):
        """Return the output of a process so far, with its log."""
        return (self.folder / f"{name}.out").read_text(encoding="utf-8")

    def signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name):
        """Stop a process by SIGTERM; return its exit status, None if it was killed."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def close(self):
        """Kill every process."""
        for name in list(self.processes):
            self.kill(name)


def wait_until(condition, *, timeout_s=20.0, step_s=0.05):
    """Return the first true value of a condition; raise TimeoutError at the limit."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(step_s)
    raise TimeoutError(f"condition not true within {timeout_s} s: {condition}")


def accepts(address):
    """Return whether a TCP connection to host:port is accepted."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True
