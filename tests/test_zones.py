"""tests.test_zones: Real processes: upstreams that end, zones that are cut off."""

import json
import random
import signal
import tempfile

import curio
import testtools

from demo.cluster import Cluster, wait_until
from knapweeddeal import controlclient
from knapweeddeal.caller import ANSWER, open_flow
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import UnreachableError
from knapweeddeal.messages.operator import DumpRequest
from tests.directoryfakes import BOUND_MS, LEASE_MS

SERVICE = "records"
PORT = 7001
ZONES = ("zone-a", "zone-b")
ENTRIES = 4
UPSTREAMS = 4
#: Time in which an upstream that announces its leave loses new flows: the wait for
#: its next announcement and for the next ask.
LEAVING_MS = 1_000
#: Time that a busy machine may add.
SLACK_MS = 1_000


class CutCluster(Cluster):
    """Run two zones; upstreams announce themselves to an entry of their own."""

    def __init__(self, *, folder):
        super().__init__(folder=folder, zones=ZONES, entries=ENTRIES, replicas=1)

    def start(self, name, *arguments):
        """Start a process; an entry gets a net that can be cut."""
        if name.startswith("entry"):
            cut = str(self.folder / f"{name}.cut")
            arguments = ("tests.partitiondaemon", arguments[1], cut)
        super().start(name, *arguments)

    def start_all(self):
        """Start every process and create the service."""
        for name in [*self.replicas, *self.entries]:
            start = self.start_entry if name in self.entries else self.start_replica
            start(name)
        for number in range(1, UPSTREAMS + 1):
            self.start_upstream(
                f"upstream-{number}",
                number,
                SERVICE,
                *("--announce", f"{self.host(2, number)}:7010"),
                *("--drain-ms", "6000"),
            )

        def plan():
            address = f"{self.host(9, 1)}:{PORT}"
            done = self.operate("--json", "plan", "create-service", SERVICE, address)
            return json.loads(done.stdout) if done.returncode == 0 else None

        self.operate("confirm", wait_until(plan)["plan_id"])

    def numbers(self, zone):
        """Return the numbers of the processes of a zone."""
        return [n for n in range(1, ENTRIES + 1) if self.zone_of(n) == zone]

    def cut(self):
        """Cut the zones off from each other."""
        for zone, other in (ZONES, ZONES[::-1]):
            hosts = [
                self.host(group, n) for n in self.numbers(other) for group in (2, 3)
            ]
            for number in self.numbers(zone):
                path = self.folder / f"entry-{number}.cut"
                path.write_text("\n".join(hosts), encoding="utf-8")

    def heal(self):
        """End the cut."""
        for path in self.folder.glob("*.cut"):
            path.unlink()

    def dump(self, entry):
        """Return the state of an entry; empty if it doesn't answer."""
        host, _, port = self.entry_address(entry).rpartition(":")

        async def ask():
            address = (host, int(port))
            return await controlclient.request_one(
                address, DumpRequest(max_bytes=10**6), timeout_ms=3_000
            )

        try:
            return json.loads(curio.run(ask).text)
        except UnreachableError:
            return {"upstreams": [], "members": {}}

    def eligible(self, entry):
        """Return the ids of the upstreams that an entry may give new flows to."""
        now_ms = monotonic_ms()
        return sorted(
            upstream["upstream_id"]
            for upstream in self.dump(entry)["upstreams"]
            if upstream["lease_until_ms"] > now_ms and upstream["state"] == "ready"
        )

    def usable(self, entry):
        """Return the ids of the fresh upstreams whose streams stand."""
        streams = {u["upstream_id"]: u["stream"] for u in self.dump(entry)["upstreams"]}
        return [name for name in self.eligible(entry) if streams.get(name)]

    def serve(self, entry):
        """Return by which upstreams some new flows at an entry are answered."""
        host, _, _ = self.entry_address(entry).rpartition(":")
        return set(curio.run(answerers, (host, PORT)))


async def answerers(address):
    """Return the names of the upstreams that answer on some new flows."""
    names = []
    for number in range(6):
        flow = await open_flow(
            SERVICE, address, rng=random.Random(number), deadline_ms=5_000
        )
        result = await flow.request(b"x")
        if result.kind == ANSWER:
            names.append(result.body.rpartition(b":")[2].decode())
        await flow.close()
    return names


ALL = [f"upstream-{n}" for n in range(1, UPSTREAMS + 1)]


class Case(testtools.TestCase):
    """Run two zones with two entries and two upstreams each."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = CutCluster(folder=folder.name)
        self.addCleanup(self.cluster.close)
        self.cluster.start_all()
        self.wait_for(ALL)

    def wait_for(self, expected, entries=None):
        for entry in entries or self.cluster.entries:
            wait_until(lambda entry=entry: self.cluster.usable(entry) == expected)

    def wait_for_fresh(self, expected, bound_ms):
        def found():
            return {entry: self.cluster.eligible(entry) for entry in expected}

        timeout_s = (bound_ms + SLACK_MS) / 1_000
        wait_until(lambda: found() == expected, timeout_s=timeout_s)


class Upstreams(Case):
    """New work for an upstream that ends, ends within the bound."""

    def test_suspended_then_leaving(self):
        self.cluster.signal("upstream-1", signal.SIGSTOP)
        self.wait_for_fresh(dict.fromkeys(self.cluster.entries, ALL[1:]), BOUND_MS)
        for entry in self.cluster.entries:
            self.assertNotIn("upstream-1", self.cluster.serve(entry))
        self.cluster.signal("upstream-1", signal.SIGCONT)
        self.wait_for(ALL)
        self.cluster.signal("upstream-2", signal.SIGTERM)
        left = [ALL[0], *ALL[2:]]
        self.wait_for_fresh(dict.fromkeys(self.cluster.entries, left), LEAVING_MS)


class Zones(Case):
    """A zone that is cut off goes on with its own upstreams, and comes back."""

    def test_cut_and_heal(self):
        self.cluster.cut()
        own = {
            f"entry-{number}": [f"upstream-{n}" for n in self.cluster.numbers(zone)]
            for zone in ZONES
            for number in self.cluster.numbers(zone)
        }
        self.wait_for_fresh(own, LEASE_MS)
        for entry, upstreams in own.items():
            served = self.cluster.serve(entry)
            self.assertLessEqual(served, set(upstreams))
            self.assertNotEqual(set(), served)
        for entry in own:
            wait_until(
                lambda entry=entry: len(self.cluster.dump(entry)["members"]) == 2
            )
        self.wait_for_fresh(own, 0)
        self.cluster.heal()
        self.wait_for(ALL)


class Restart(Case):
    """An entry that restarts without any replica takes what its peers have."""

    def test_from_peers(self):
        self.cluster.kill("control-1")
        self.cluster.kill("entry-1")
        self.cluster.start_entry("entry-1")
        wait_until(lambda: self.cluster.dump("entry-1").get("version") == 1)
        self.wait_for(ALL, ["entry-1"])
        self.assertNotEqual(set(), self.cluster.serve("entry-1"))
