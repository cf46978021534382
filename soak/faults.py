"""soak.faults: Inject faults, drawn from a seed, into the processes of a run."""

import signal
import threading
import time

from soak.cluster import ZONES
from soak.proxy import MODES, PASS

__all__ = ["FAULTS", "Faults", "can_evacuate", "can_remove"]

#: Replicas lose their disks one at a time: each replacement needs this time to
#: become a member.
WIPE_INTERVAL_S = 6.0
#: Disk faults: each sync is delayed, blocks until the fault ends, or fails.
DISK_FAULTS = ({"sync_ms": 50}, {"sync_ms": 300}, {"stalled": True}, {"full": True})
#: Steps of the wall clock, which are undone after the fault.
CLOCK_SHIFTS_MS = (-3_600_000, -2_000, 2_000, 3_600_000)


class Faults:
    """Inject faults at random times; some overlap."""

    def __init__(
        self, *, cluster, callers, upstreams, operator, strangers, random, kinds
    ):
        self._kinds = kinds
        self._strangers = strangers
        self.cluster = cluster
        self.random = random
        self.injected = []
        self._callers = callers
        self._upstreams = upstreams
        self._operator = operator
        self._evacuation_lock = threading.Lock()
        self._last_wipe_s = -WIPE_INTERVAL_S
        self._threads = []

    def run(self, seconds):
        """Inject faults for some time, wait for their ends and reset the proxies."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            name = self.random.choice(self._kinds)
            duration_s = self.random.uniform(0.2, 2.0)
            self.injected.append(f"{name} {duration_s:.2f}")
            thread = threading.Thread(target=self._inject, args=(name, duration_s))
            thread.start()
            self._threads.append(thread)
            self._callers.faults_until_s = time.monotonic() + duration_s + 1.0
            time.sleep(self.random.uniform(0.3, 2.5))
        for thread in self._threads:
            thread.join()
        for proxy in self.cluster.proxies.values():
            proxy.set_mode(PASS)
        self._callers.faults_until_s = time.monotonic()

    def _inject(self, name, duration_s):
        FAULTS[name](self, duration_s)

    def _restart(self, process, duration_s, number):
        if process.expected_down:
            return
        process.end(number)
        time.sleep(duration_s)
        process.start()

    def kill_replica(self, duration_s):
        """Kill one replica and start it again."""
        process = self.random.choice(list(self.cluster.replicas.values()))
        self._restart(process, duration_s, signal.SIGKILL)

    def kill_forwarder(self, duration_s):
        """Kill one forwarder and start it again."""
        process = self.random.choice(list(self.cluster.forwarders.values()))
        self._restart(process, duration_s, signal.SIGKILL)

    def stop_one(self, duration_s):
        """Stop one process by SIGTERM and start it again."""
        process = self.random.choice(self.cluster.processes)
        self._restart(process, duration_s, signal.SIGTERM)

    def kill_all(self, duration_s):
        """Kill all processes at once and start them again."""
        threads = [
            threading.Thread(target=self._restart, args=(p, duration_s, signal.SIGKILL))
            for p in list(self.cluster.processes)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def pause(self, duration_s):
        """Pause one process by SIGSTOP."""
        process = self.random.choice(self.cluster.processes)
        process.send_signal(signal.SIGSTOP)
        time.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    def reload(self, _duration_s):
        """Send SIGHUP to one process, which reloads its settings."""
        self.random.choice(self.cluster.processes).send_signal(signal.SIGHUP)

    def proxy(self, duration_s):
        """Delay, reset or drop the streams to one replica."""
        proxy = self.random.choice(list(self.cluster.proxies.values()))
        proxy.set_mode(self.random.choice(MODES))
        time.sleep(duration_s)
        proxy.set_mode(PASS)

    def disk(self, duration_s):
        """Delay, block or fail the syncs of some replicas."""
        faults = self.random.choice(DISK_FAULTS)
        replicas = list(self.cluster.replicas.values())
        self._with_faults(
            self.random.sample(replicas, self._random_count()), duration_s, faults
        )

    def clock(self, duration_s):
        """Step the wall clocks of some processes forward or back."""
        shift_ms = self.random.choice(CLOCK_SHIFTS_MS)
        chosen = self.random.sample(self.cluster.processes, self._random_count())
        self._with_faults(chosen, duration_s, {"wall_ms": shift_ms})

    def _random_count(self):
        return self.random.randint(1, len(self.cluster.hosts))

    def _with_faults(self, processes, duration_s, faults):
        for process in processes:
            process.set_faults(**faults)
        time.sleep(duration_s)
        for process in processes:
            process.set_faults()

    def wipe(self, duration_s):
        """Replace one replica by one with an empty disk."""
        if time.monotonic() - self._last_wipe_s < WIPE_INTERVAL_S:
            return
        host = self.random.choice(self.cluster.hosts)
        process = self.cluster.replicas[host]
        if process.expected_down:
            return
        self._last_wipe_s = time.monotonic() + duration_s
        process.end()
        self.cluster.wipe(host)
        time.sleep(duration_s)
        self.cluster.replicas[host].start()

    def drain(self, _duration_s):
        """Drain one upstream, unless its service has no other."""
        upstream = self.random.choice(self._upstreams)
        if can_remove(upstream, self._serving()):
            upstream.drain()

    def crash(self, _duration_s):
        """Stop one upstream without notice, unless its service has no other."""
        upstream = self.random.choice(self._upstreams)
        if can_remove(upstream, self._serving()):
            upstream.crash()

    def evacuate(self, duration_s):
        """Evacuate one zone and readmit it, unless a service has no other upstream."""
        with self._evacuation_lock:
            zone = self.random.choice(ZONES)
            if can_evacuate(zone, self._serving()):
                self._operator.evacuate(zone, self._callers)
                time.sleep(duration_s)
                self._operator.readmit(zone, self._callers)

    def strangers(self, duration_s):
        """Send input that breaks the protocol."""
        self._strangers.send(duration_s)

    def _serving(self):
        """Return the upstreams outside of zones that may be evacuated."""
        evacuated = self._callers.evacuated_s
        return [u for u in self._upstreams if u.zone not in evacuated]


def can_remove(upstream, upstreams):
    """Return whether another upstream of the same service keeps serving."""
    return any(
        other.is_serving
        for other in upstreams
        if other is not upstream and other.service == upstream.service
    )


def can_evacuate(zone, upstreams):
    """Return whether each service keeps an upstream that serves in another zone."""
    left = {u.service for u in upstreams if u.is_serving and u.zone != zone}
    return left == {upstream.service for upstream in upstreams}


#: Methods by kinds of faults, the names that `--kinds` takes.
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
    "evacuate": Faults.evacuate,
    "strangers": Faults.strangers,
}
