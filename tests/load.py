"""tests.load: Flows under load on a small cluster, and their outcomes."""

import json
import random
import signal
import threading
import time
from collections import Counter
from pathlib import Path
from types import MappingProxyType

import curio

from demo.cluster import Cluster, wait_until
from knapweeddeal import controlclient
from knapweeddeal.caller import ANSWER, open_flow
from knapweeddeal.errors import UnreachableError
from knapweeddeal.messages.caller import NOT_RUN
from knapweeddeal.messages.operator import DumpRequest, MetricsRequest

__all__ = ["Load", "SmallCluster"]

SERVICE = "records"
PORT = 7001
#: Longest pause between two requests of one flow.
MAX_PAUSE_S = 0.1
#: Longest wait for a condition.
WAIT_S = 20
OPEN_MS = 15_000


class SmallCluster:
    """Run one service on a few real processes."""

    def __init__(
        self,
        *,
        folder,
        entries=3,
        upstreams=2,
        drain_ms=4_000,
        work_ms=20,
        held_s=MappingProxyType({}),
    ):
        self.cluster = Cluster(folder=folder, entries=entries)
        self.folder = Path(folder)
        self._drain_ms = drain_ms
        self._work_ms = work_ms
        #: How long some upstreams are suspended at their start, by name.
        self._held_s = held_s
        self._upstream_count = 0
        try:
            self._start(upstreams)
        except BaseException:
            self.close()
            raise

    def _start(self, upstreams):
        for name in self.cluster.replicas:
            self.cluster.start_replica(name)
        for name in self.cluster.entries:
            self.cluster.start_entry(name)
        self.cluster.start_fabric([PORT])
        for _ in range(upstreams):
            self.add_upstream()
        self._create_service()

    def _create_service(self):
        host, port = self.address

        def plan():
            done = self.cluster.operate(
                "--json", "plan", "create-service", SERVICE, f"{host}:{port}"
            )
            return json.loads(done.stdout) if done.returncode == 0 else None

        planned = wait_until(plan)
        self.cluster.operate("confirm", planned["plan_id"])

    @property
    def address(self):
        """Return the address that callers use."""
        return self.cluster.service_address(PORT)

    def add_upstream(self):
        """Start another upstream; return its name."""
        self._upstream_count += 1
        name = f"upstream-{self._upstream_count}"
        self.cluster.start_upstream(
            name,
            self._upstream_count,
            SERVICE,
            *("--drain-ms", str(self._drain_ms), "--work-ms", str(self._work_ms)),
            *("--slots", "8"),
        )
        if name in self._held_s:
            self._hold(name, self._held_s[name])
        return name

    def _hold(self, name, held_s):
        """Suspend a process; resume it later from another thread."""
        self.cluster.signal(name, signal.SIGSTOP)
        arguments = (name, signal.SIGCONT)
        threading.Timer(held_s, self.cluster.signal, arguments).start()

    def counters(self, entry):
        """Return an entry's counters; raise UnreachableError if it doesn't answer."""
        return self._query(entry, MetricsRequest())["counters"]

    def serves(self, entry):
        """Return whether an entry has a configuration and streams to all upstreams."""
        try:
            state = self._query(entry, DumpRequest(max_bytes=100_000))
        except UnreachableError:
            return False
        streams = [upstream["stream"] for upstream in state["upstreams"]]
        return state["version"] > 0 and any(streams) and all(streams)

    def wait_until_connected(self):
        """Wait until every entry has streams to all upstreams that were started."""
        wait_until(lambda: all(map(self._has_all_upstreams, self.cluster.entries)))

    def _has_all_upstreams(self, entry):
        try:
            state = self._query(entry, DumpRequest(max_bytes=100_000))
        except UnreachableError:
            return False
        streams = [upstream["stream"] for upstream in state["upstreams"]]
        return sum(map(bool, streams)) >= self._upstream_count

    def _query(self, entry, message):
        host, _, port = self.cluster.entry_address(entry).rpartition(":")
        address = (host, int(port))
        return json.loads(curio.run(query, address, message).text)

    def runs(self):
        """Return the number of runs of each request, by flow and number."""
        path = self.folder / f"{SERVICE}.runs"
        text = path.read_text(encoding="utf-8") if path.exists() else ""
        return Counter(tuple(map(int, line.split()[1:3])) for line in text.splitlines())

    def tracebacks(self):
        """Return the output files that contain a traceback."""
        return [
            path.name
            for path in sorted(self.folder.glob("*.out"))
            if "Traceback" in path.read_text(encoding="utf-8", errors="replace")
        ]

    def close(self):
        """Kill every process."""
        self.cluster.close()


async def query(address, message):
    """Return the answer of one process to a message."""
    return await controlclient.request_one(address, message, timeout_ms=3_000)


class Load:
    """Send requests on flows until the script ends; record every outcome."""

    def __init__(self, *, address, flows=12, seed=1, deadline_ms=8_000):
        self.results = {}
        self.answered = Counter()
        self._address = address
        self._flow_count = flows
        self._rng = random.Random(seed)
        self._deadline_ms = deadline_ms
        self._is_running = True
        self.flows = []

    async def run(self, script):
        """Open all flows, run a script during the load, then end the load."""
        for _ in range(self._flow_count):
            self.flows.append(
                await open_flow(
                    SERVICE, self._address, rng=self._rng, deadline_ms=OPEN_MS
                )
            )
        async with curio.TaskGroup() as tasks:
            for flow in self.flows:
                await tasks.spawn(self._send_requests, flow)
            try:
                await script(self)
            finally:
                self._is_running = False
        for flow in self.flows:
            await flow.close()

    async def _send_requests(self, flow):
        number = 0
        while self._is_running:
            number += 1
            result = await flow.request(b"%d" % number, deadline_ms=self._deadline_ms)
            self.results[flow.flow_id, number] = result
            self.answered[flow.flow_id] += result.kind == ANSWER
            await curio.sleep(self._rng.random() * MAX_PAUSE_S)

    async def wait_for_answers(self, count=3):
        """Wait until each flow has received `count` more answers."""
        goals = {
            flow.flow_id: self.answered[flow.flow_id] + count for flow in self.flows
        }

        def reached():
            return all(
                self.answered[flow_id] >= goal for flow_id, goal in goals.items()
            )

        await self.wait_until_true(reached)

    async def wait_until_true(self, condition):
        """Wait for a condition; raise TimeoutError after WAIT_S."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"condition not met within {WAIT_S} s: {self.failures()}"
                )
            await curio.sleep(0.02)

    def kinds(self):
        """Return the number of outcomes of each kind."""
        return Counter(result.kind for result in self.results.values())

    def not_run(self):
        """Return the requests with the outcome `not_run`."""
        return [name for name, result in self.results.items() if result.kind == NOT_RUN]

    def failures(self):
        """Return all outcomes other than an answer."""
        return {
            name: f"{result.kind}:{result.reason}"
            for name, result in self.results.items()
            if result.kind != ANSWER
        }
