"""soak.faults: What a soak run does to its processes, drawn from a seed."""

import signal
import threading
import time

from soak.proxy import MODES, PASS

__all__ = ["FAULTS", "Faults", "can_spare"]

#: A removed disk counts as lost until its successor is a member: one at a time.
WIPE_GAP_S = 6.0
#: Faults of a disk: each sync takes long, waits for the end, or is refused.
DISK_FAULTS = ({"sync_ms": 50}, {"sync_ms": 300}, {"stalled": True}, {"full": True})
#: Jumps of the time of day, and back after the fault.
CLOCK_SHIFTS_MS = (-3_600_000, -2_000, 2_000, 3_600_000)


class Faults:
    """Inject faults one after another; some overlap."""

    def __init__(self, *, cluster, callers, upstreams, random, kinds):
        self._kinds = kinds
        self.cluster = cluster
        self.random = random
        self.injected = []
        self._callers = callers
        self._upstreams = upstreams
        self._wiped_s = -WIPE_GAP_S
        self._threads = []

    def run(self, seconds):
        """Inject faults for some time, then heal everything."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            name = self.random.choice(self._kinds)
            for_s = self.random.uniform(0.2, 2.0)
            self.injected.append(f"{name} {for_s:.2f}")
            thread = threading.Thread(target=self._inject, args=(name, for_s))
            thread.start()
            self._threads.append(thread)
            self._callers.faults_until_s = time.monotonic() + for_s + 1.0
            time.sleep(self.random.uniform(0.3, 2.5))
        for thread in self._threads:
            thread.join()
        for proxy in self.cluster.proxies.values():
            proxy.set_mode(PASS)
        self._callers.faults_until_s = time.monotonic()

    def _inject(self, name, for_s):
        FAULTS[name](self, for_s)

    # Faults.

    def _restart(self, process, for_s, number):
        if process.expected:
            return
        process.end(number)
        time.sleep(for_s)
        process.start()

    def kill_replica(self, for_s):
        """Kill one replica."""
        process = self.random.choice(list(self.cluster.replicas.values()))
        self._restart(process, for_s, signal.SIGKILL)

    def kill_forwarder(self, for_s):
        """Kill one forwarder."""
        process = self.random.choice(list(self.cluster.forwarders.values()))
        self._restart(process, for_s, signal.SIGKILL)

    def stop_one(self, for_s):
        """Stop one process as planned."""
        process = self.random.choice(self.cluster.processes)
        self._restart(process, for_s, signal.SIGTERM)

    def kill_all(self, for_s):
        """Kill all processes at once."""
        threads = [
            threading.Thread(target=self._restart, args=(p, for_s, signal.SIGKILL))
            for p in list(self.cluster.processes)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def pause(self, for_s):
        """Freeze one process."""
        process = self.random.choice(self.cluster.processes)
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        process.send_signal(signal.SIGCONT)

    def reload(self, _for_s):
        """Let one process read its settings again."""
        self.random.choice(self.cluster.processes).send_signal(signal.SIGHUP)

    def proxy(self, for_s):
        """Harm the streams to one replica."""
        proxy = self.random.choice(list(self.cluster.proxies.values()))
        proxy.set_mode(self.random.choice(MODES))
        time.sleep(for_s)
        proxy.set_mode(PASS)

    def disk(self, for_s):
        """Slow, stall or fill the disks of some replicas."""
        faults = self.random.choice(DISK_FAULTS)
        replicas = list(self.cluster.replicas.values())
        self._with_faults(self.random.sample(replicas, self._some()), for_s, faults)

    def clock(self, for_s):
        """Shift the time of day of some processes, forward or back."""
        shift_ms = self.random.choice(CLOCK_SHIFTS_MS)
        chosen = self.random.sample(self.cluster.processes, self._some())
        self._with_faults(chosen, for_s, {"wall_ms": shift_ms})

    def _some(self):
        return self.random.randint(1, len(self.cluster.hosts))

    def _with_faults(self, processes, for_s, faults):
        for process in processes:
            process.set_faults(**faults)
        time.sleep(for_s)
        for process in processes:
            process.set_faults()

    def wipe(self, for_s):
        """Lose one replica's disk."""
        if time.monotonic() - self._wiped_s < WIPE_GAP_S:
            return
        host = self.random.choice(self.cluster.hosts)
        process = self.cluster.replicas[host]
        if process.expected:
            return
        self._wiped_s = time.monotonic() + for_s
        process.end()
        self.cluster.wipe(host)
        time.sleep(for_s)
        self.cluster.replicas[host].start()

    def drain(self, _for_s):
        """Let one upstream leave, if its service keeps another one."""
        upstream = self.random.choice(self._upstreams)
        if can_spare(upstream, self._upstreams):
            upstream.drain()

    def crash(self, _for_s):
        """Let one upstream fall silent, if its service keeps another one."""
        upstream = self.random.choice(self._upstreams)
        if can_spare(upstream, self._upstreams):
            upstream.crash()


def can_spare(upstream, upstreams):
    """Tell whether another upstream of the same service stays."""
    return any(
        other.is_staying
        for other in upstreams
        if other is not upstream and other.service == upstream.service
    )


#: Faults by name.
FAULTS = {
    "kill replica": Faults.kill_replica,
    "kill forwarder": Faults.kill_forwarder,
    "stop": Faults.stop_one,
    "kill all": Faults.kill_all,
    "pause": Faults.pause,
    "reload": Faults.reload,
    "proxy": Faults.proxy,
    "wipe": Faults.wipe,
    "drain": Faults.drain,
    "crash": Faults.crash,
    "disk": Faults.disk,
    "clock": Faults.clock,
}
