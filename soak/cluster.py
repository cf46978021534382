"""soak.cluster: The daemons of a soak run, with the replicas behind proxies."""

import os
import shutil
import signal
import tempfile
import time
from pathlib import Path

from soak.launch import start_daemon, write_faults
from soak.proxy import Proxy

__all__ = [
    "ADVERTISED_GROUP",
    "API_PORT",
    "PACKET_PORT",
    "STREAM_PORT",
    "ZONES",
    "FORWARDERS",
    "REPLICAS",
    "Cluster",
    "wait_until",
]

STREAM_PORT, API_PORT, PACKET_PORT, READY_PORT = 7_000, 7_001, 7_002, 7_003
#: Third octets: of advertised addresses, and of those where replicas listen
#: behind their proxies.
ADVERTISED_GROUP, LISTEN_GROUP = 81, 82
REPLICAS = 3
FORWARDERS = 2
#: Zones of upstreams; forwarders are in the first ones, replicas in the first.
ZONES = ("zone-a", "zone-b", "zone-c")


class Process:
    """Run one daemon process."""

    def __init__(self, *, folder, name, settings, fault_injection):
        self.name = name
        self.path = folder / f"{name}.ini"
        #: File of disk and clock faults; None to run the daemon without injection.
        self.faults_path = folder / f"{name}.faults" if fault_injection else None
        self.log_path = folder / f"{name}.log"
        self.path.write_text(settings, encoding="utf-8")
        #: Whether the run itself keeps the process down.
        self.expected_down = True
        self.child = None

    def start(self):
        """Start the process, for the first time or after its end."""
        self.expected_down = False
        with open(self.log_path, "ab") as log:
            self.child = start_daemon(
                self.path, faults_path=self.faults_path, stdout=log, stderr=log
            )

    def set_faults(self, **faults):
        """Set the active disk and clock faults; clear all others."""
        write_faults(self.faults_path, **faults)

    def send_signal(self, number):
        """Send a signal to this process, if it has been started and hasn't ended."""
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)

    def kill(self):
        """Kill the process without waiting for its end."""
        self.expected_down = True
        self.send_signal(signal.SIGKILL)

    def end(self, number=signal.SIGKILL):
        """End the process, resume it if it is paused, and wait for its end."""
        self.expected_down = True
        self.send_signal(number)
        self.send_signal(signal.SIGCONT)
        self.child.wait(20)

    def ended_unexpectedly(self):
        """Return whether the process ended although the run did not end it."""
        return not self.expected_down and self.child.poll() is not None


class Cluster:
    """Run control replicas behind proxies, and forwarders."""

    def __init__(self, *, base, replicas=REPLICAS, fault_injection=True):
        self.base = base
        self._fault_injection = fault_injection
        self.folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.hosts = [self.host(ADVERTISED_GROUP, n) for n in range(1, replicas + 1)]
        self.proxies = {}
        for number, host in enumerate(self.hosts, 1):
            target = (self.host(LISTEN_GROUP, number), STREAM_PORT)
            self.proxies[host] = Proxy(address=(host, STREAM_PORT), target=target)
        self.replicas = {host: self._replica(host) for host in self.hosts}
        forwarder_hosts = [
            self.host(ADVERTISED_GROUP, 11 + n) for n in range(FORWARDERS)
        ]
        self.forwarders = {
            host: self._forwarder(host, zone)
            for host, zone in zip(forwarder_hosts, ZONES, strict=False)
        }
        self.processes = [*self.replicas.values(), *self.forwarders.values()]

    def host(self, group, number):
        """Return the loopback address of a group and a number in this run."""
        return f"127.{self.base}.{group}.{number}"

    @property
    def seeds(self):
        """Return the value of the setting `seeds`."""
        return ", ".join(f"{host}:{API_PORT}" for host in self.hosts)

    def _data_folder(self, host):
        return self.folder / f"data-{host}"

    def _replica(self, host, *, may_found="true"):
        listen_host = self.host(LISTEN_GROUP, self.hosts.index(host) + 1)
        settings = f"""[daemon]
name = {host}
role = control
zone = zone-a
listen = {listen_host}:{STREAM_PORT}
seeds = {self.seeds}
log_file = -
[control]
data_folder = {self._data_folder(host)}
api = {host}:{API_PORT}
may_found = {may_found}
heals_itself = true
zones = {", ".join(ZONES)}
[timing]
heartbeat_ms = 200
stream_timeout_ms = 1000
election_ms = 400
report_ms = 500
"""
        return self._process(f"replica-{host}", settings)

    def _forwarder(self, host, zone):
        settings = f"""[daemon]
name = {host}
role = forwarder
zone = {zone}
listen = {host}:{STREAM_PORT}
seeds = {self.seeds}
log_file = -
[forwarder]
packets = {host}:{PACKET_PORT}
ready = {host}:{READY_PORT}
[timing]
heartbeat_ms = 200
stream_timeout_ms = 1000
stop_ms = 500
"""
        return self._process(f"forwarder-{host}", settings)

    def _process(self, name, settings):
        return Process(
            folder=self.folder,
            name=name,
            settings=settings,
            fault_injection=self._fault_injection,
        )

    def start(self):
        """Start all processes."""
        for process in self.processes:
            process.start()

    def wipe(self, host):
        """Delete the data of a stopped replica; its successor must join the cluster."""
        shutil.rmtree(self._data_folder(host))
        self.processes.remove(self.replicas[host])
        self.replicas[host] = self._replica(host, may_found="false")
        self.processes.append(self.replicas[host])

    def close(self, *, keep):
        """End all processes; delete settings, logs and data unless they are kept."""
        for process in self.processes:
            if process.child is not None:
                process.end()
        for proxy in self.proxies.values():
            proxy.close()
        if not keep:
            shutil.rmtree(self.folder)


def wait_until(condition, *, timeout_s):
    """Poll a condition; return its first true value, or its last one at the limit."""
    until_s = time.monotonic() + timeout_s
    while not (value := condition()) and time.monotonic() < until_s:
        time.sleep(0.05)
    return value
