"""tests.processes: Helpers that run daemons as real processes."""

import os
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path

import curio

from knapweeddeal import controlclient
from knapweeddeal.errors import NoQuorumError, UnreachableError
from knapweeddeal.messages.operator import StatusRequest
from soak.launch import start_daemon, write_faults

ROOT = Path(__file__).resolve().parent.parent
#: Longest wait for a condition.
WAIT_S = 20.0
POLL_S = 0.02


def free_port(host="127.0.0.1"):
    """Return a TCP port that is currently free."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def wait_until(condition, text="", *, timeout_s=WAIT_S):
    """Return the first true value of a condition; fail after `timeout_s`."""
    until_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= until_s:
            raise AssertionError(
                f"condition not met within {timeout_s} s: {text or condition}"
            )
        time.sleep(POLL_S)


class Daemon:
    """Run one daemon; `sections` are its settings by section and key."""

    def __init__(self, *, folder, name, sections, fault_injection=False):
        self.name = name
        self.settings_path = Path(folder) / f"{name}.ini"
        self.log_path = Path(folder) / f"{name}.log"
        self.error_path = Path(folder) / f"{name}.err"
        self.sections = sections
        self.sections["daemon"]["log_file"] = self.log_path
        #: File that turns on disk and clock faults; None for a daemon without them.
        self.faults_path = Path(folder) / f"{name}.faults" if fault_injection else None
        self.process = None

    def start(self):
        """Write the settings and start the process."""
        lines = []
        for section, values in self.sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        self.settings_path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        with open(self.error_path, "ab") as error:
            self.process = start_daemon(
                self.settings_path, faults_path=self.faults_path, stderr=error
            )

    def set_faults(self, **faults):
        """Turn on these disk and clock faults, and turn off all others."""
        write_faults(self.faults_path, **faults)

    def signal(self, number):
        """Send a signal to this process only."""
        os.kill(self.process.pid, number)

    def kill(self):
        """Kill the process with SIGKILL, as in a crash."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def stop(self):
        """Stop the process with SIGTERM; return the exit status."""
        self.signal(signal.SIGTERM)
        return self.process.wait(WAIT_S)

    def errors(self):
        """Return the standard error output of the process."""
        return self.error_path.read_text(encoding="utf-8", errors="replace")


class ControlProcesses:
    """Run control replicas in a temporary folder."""

    def __init__(
        self,
        *,
        count=3,
        timing=None,
        control=None,
        start=True,
        fault_injection=False,
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="control-"))
        self._fault_injection = fault_injection
        self.addresses = {}
        self.daemons = {}
        self.timing = {"election_ms": 300, "heartbeat_ms": 100, **(timing or {})}
        #: Further settings in the section of the role.
        self.control = control or {}
        for name in "abcdefg"[:count]:
            self._add_address(name)
        for name in list(self.addresses):
            self.daemons[name] = self._daemon(name)
        if start:
            for daemon in self.daemons.values():
                daemon.start()

    def _add_address(self, name):
        host = f"127.0.0.{'abcdefg'.index(name) + 11}"
        self.addresses[name] = (host, free_port(host))

    def add_empty(self, name):
        """Start one more replica with an empty folder, which may only join."""
        self._add_address(name)
        self.daemons[name] = self._daemon(name, may_found="false")
        self.daemons[name].start()

    def remove(self, name):
        """Forget a replica whose process has ended."""
        del self.daemons[name], self.addresses[name]

    def _daemon(self, name, **control):
        listed = [f"{n}={h}:{p}" for n, (h, p) in self.addresses.items()]
        host, port = self.addresses[name]
        sections = {
            "daemon": {
                "name": name,
                "role": "control",
                "zone": f"zone-{name}",
                "listen": f"{host}:{port}",
                "control": ", ".join(listed),
            },
            "control": {
                "data_folder": self.data_folder(name),
                **self.control,
                **control,
            },
            "timing": self.timing,
        }
        return Daemon(
            folder=self.folder,
            name=name,
            sections=sections,
            fault_injection=self._fault_injection,
        )

    def data_folder(self, name):
        """Return the data folder of a replica."""
        return self.folder / f"data-{name}"

    def wipe_disk(self, name):
        """Delete the data folder of a replica that was killed."""
        shutil.rmtree(self.data_folder(name))

    def request_leader(self, message, *, timeout_ms=10_000, names=None):
        """Return the leader's answer, or raise its error."""
        addresses = [self.addresses[name] for name in names or self.addresses]
        return curio.run(request_leader, addresses, message, timeout_ms)

    def request_one(self, name, message, *, timeout_ms=10_000):
        """Return the answer of one replica, or raise its error."""
        return curio.run(request_one, self.addresses[name], message, timeout_ms)

    def wait_for_leader(self):
        """Return the status as soon as a leader has a quorum."""
        return wait_until(self._status_or_none, "a leader")

    def _status_or_none(self):
        try:
            return self.request_leader(StatusRequest())
        except (NoQuorumError, UnreachableError):
            return None

    def close(self):
        """Kill all processes and remove the folder."""
        for daemon in self.daemons.values():
            daemon.kill()
        shutil.rmtree(self.folder)


async def request_leader(addresses, message, timeout_ms):
    """Return the leader's answer to a message."""
    return await controlclient.request_leader(addresses, message, timeout_ms=timeout_ms)


async def request_one(address, message, timeout_ms):
    """Return the answer of one process to a message."""
    return await controlclient.request_one(address, message, timeout_ms=timeout_ms)
