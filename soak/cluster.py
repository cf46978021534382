"""soak.cluster: The processes of a soak run, behind their proxies."""

import os
import shutil
import signal
import tempfile
import time
from pathlib import Path

from soak.launch import start_daemon, write_faults
from soak.proxy import Proxy

__all__ = ["API", "KNOWN", "PACKETS", "STREAMS", "Cluster", "wait_until"]

STREAMS, API, PACKETS, READY = 7_000, 7_001, 7_002, 7_003
#: Groups of loopback addresses: what processes are known by, and where they listen.
KNOWN, HIDDEN = 81, 82
REPLICAS = 3
FORWARDERS = 2


class Process:
    """Run one daemon; ends only what it started."""

    def __init__(self, *, folder, name, text, faulty):
        self.name = name
        self.path = folder / f"{name}.ini"
        #: File that names faults of disk and clock; None for the daemon as it is.
        self.faults_path = folder / f"{name}.faults" if faulty else None
        self.log_path = folder / f"{name}.log"
        self.path.write_text(text, encoding="utf-8")
        #: Whether it is not running on purpose.
        self.expected = True
        self.running = None

    def start(self):
        """Start, or continue after a kill."""
        self.expected = False
        with open(self.log_path, "ab") as log:
            self.running = start_daemon(
                self.path, faults_path=self.faults_path, stdout=log, stderr=log
            )

    def set_faults(self, **faults):
        """Turn on some faults of disk and clock, and no others."""
        write_faults(self.faults_path, **faults)

    def send_signal(self, number):
        """Send a signal to this process."""
        if self.running.poll() is None:
            os.kill(self.running.pid, number)

    def kill(self):
        """Kill the process without waiting for its end."""
        self.expected = True
        self.send_signal(signal.SIGKILL)

    def end(self, number=signal.SIGKILL):
        """End the process and wait for that."""
        self.expected = True
        self.send_signal(number)
        self.send_signal(signal.SIGCONT)
        self.running.wait(20)

    def ended_by_itself(self):
        """Tell whether it ended although nobody ended it."""
        return not self.expected and self.running.poll() is not None


class Cluster:
    """Hold replicas behind proxies, and forwarders."""

    def __init__(self, *, base, faulty=True):
        self.base = base
        self._faulty = faulty
        self.folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.hosts = [self.host(KNOWN, n) for n in range(1, REPLICAS + 1)]
        self.proxies = {}
        for number, host in enumerate(self.hosts, 1):
            target = (self.host(HIDDEN, number), STREAMS)
            self.proxies[host] = Proxy(address=(host, STREAMS), target=target)
        self.replicas = {host: self._replica(host) for host in self.hosts}
        names = [self.host(KNOWN, 11 + n) for n in range(FORWARDERS)]
        self.forwarders = {host: self._forwarder(host) for host in names}
        self.processes = [*self.replicas.values(), *self.forwarders.values()]

    def host(self, group, number):
        """Return a loopback host of this run."""
        return f"127.{self.base}.{group}.{number}"

    @property
    def seeds(self):
        """Return the seeds as settings take them."""
        return ", ".join(f"{host}:{API}" for host in self.hosts)

    def _data(self, host):
        return self.folder / f"data-{host}"

    def _replica(self, host, *, may_found="true"):
        hidden = self.host(HIDDEN, self.hosts.index(host) + 1)
        text = f"""[daemon]
name = {host}
role = control
zone = zone-a
listen = {hidden}:{STREAMS}
seeds = {self.seeds}
log_file = -
[control]
data_folder = {self._data(host)}
api = {host}:{API}
may_found = {may_found}
heals_itself = true
[timing]
heartbeat_ms = 200
stream_timeout_ms = 1000
election_ms = 400
report_ms = 500
"""
        return self._process(f"replica-{host}", text)

    def _forwarder(self, host):
        text = f"""[daemon]
name = {host}
role = forwarder
zone = zone-a
listen = {host}:{STREAMS}
seeds = {self.seeds}
log_file = -
[forwarder]
packets = {host}:{PACKETS}
ready = {host}:{READY}
[timing]
heartbeat_ms = 200
stream_timeout_ms = 1000
stop_ms = 500
"""
        return self._process(f"forwarder-{host}", text)

    def _process(self, name, text):
        return Process(folder=self.folder, name=name, text=text, faulty=self._faulty)

    def start(self):
        """Start all processes."""
        for process in self.processes:
            process.start()

    def wipe(self, host):
        """Lose the disk of a replica that was ended."""
        shutil.rmtree(self._data(host))
        self.processes.remove(self.replicas[host])
        self.replicas[host] = self._replica(host, may_found="false")
        self.processes.append(self.replicas[host])

    def close(self, *, keep):
        """End all; keep settings, logs and data if something was found."""
        for process in self.processes:
            if process.running is not None:
                process.end()
        for proxy in self.proxies.values():
            proxy.close()
        if not keep:
            shutil.rmtree(self.folder)


def wait_until(condition, *, timeout_s):
    """Return the first true value of a condition, or its last one."""
    until_s = time.monotonic() + timeout_s
    while not (value := condition()) and time.monotonic() < until_s:
        time.sleep(0.05)
    return value
