"""tests.test_zones: Tests of lost upstreams and zone partitions on real processes."""

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
#: Time until a leaving upstream gets no new flows: the wait for its next announcement
#: and for the next lease request of the entries.
LEAVING_MS = 1_000
#: Extra time for a busy machine.
MARGIN_MS = 1_000


class PartitionableCluster(Cluster):
    """Run two zones; each upstream announces itself to its own entry."""

    def __init__(self, *, folder):
        super().__init__(folder=folder, zones=ZONES, entries=ENTRIES, replicas=1)

    def start(self, name, *arguments):
        """Start a process; an entry gets a network that can be partitioned."""
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
        """Return the numbers of the processes in a zone."""
        return [n for n in range(1, ENTRIES + 1) if self.zone_of(n) == zone]

    def partition(self):
        """Partition the network between the zones."""
        for zone, other in (ZONES, ZONES[::-1]):
            hosts = [
                self.host(group, n) for n in self.numbers(other) for group in (2, 3)
            ]
            for number in self.numbers(zone):
                path = self.folder / f"entry-{number}.cut"
                path.write_text("\n".join(hosts), encoding="utf-8")

    def heal(self):
        """End the network partition."""
        for path in self.folder.glob("*.cut"):
            path.unlink()

    def dump(self, entry):
        """Return the state of an entry; empty if it doesn't answer."""
        host, _, port = self.entry_address(entry).rpartition(":")

        async def request_dump():
            address = (host, int(port))
            return await controlclient.request_one(
                address, DumpRequest(max_bytes=10**6), timeout_ms=3_000
            )

        try:
            return json.loads(curio.run(request_dump).text)
        except UnreachableError:
            return {"upstreams": [], "members": {}}

    def eligible(self, entry):
        """Return the ids of upstreams to which an entry may assign new flows."""
        now_ms = monotonic_ms()
        return sorted(
            upstream["upstream_id"]
            for upstream in self.dump(entry)["upstreams"]
            if upstream["lease_until_ms"] > now_ms and upstream["state"] == "ready"
        )

    def usable(self, entry):
        """Return the ids of eligible upstreams to which an entry has a stream."""
        streams = {u["upstream_id"]: u["stream"] for u in self.dump(entry)["upstreams"]}
        return [name for name in self.eligible(entry) if streams.get(name)]

    def serve(self, entry):
        """Return the names of upstreams that answer on new flows at an entry."""
        host, _, _ = self.entry_address(entry).rpartition(":")
        return set(curio.run(answering_upstreams, (host, PORT)))


async def answering_upstreams(address):
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


ALL_UPSTREAMS = [f"upstream-{n}" for n in range(1, UPSTREAMS + 1)]


class Case(testtools.TestCase):
    """Run two zones with two entries and two upstreams each."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = PartitionableCluster(folder=folder.name)
        self.addCleanup(self.cluster.close)
        self.cluster.start_all()
        self.wait_for_usable(ALL_UPSTREAMS)

    def wait_for_usable(self, expected, entries=None):
        for entry in entries or self.cluster.entries:
            wait_until(lambda entry=entry: self.cluster.usable(entry) == expected)

    def wait_for_eligible(self, expected, bound_ms):
        def found():
            return {entry: self.cluster.eligible(entry) for entry in expected}

        timeout_s = (bound_ms + MARGIN_MS) / 1_000
        wait_until(lambda: found() == expected, timeout_s=timeout_s)


class Upstreams(Case):
    """A suspended or leaving upstream must stop getting new flows within the bound.

    A suspended one sends no announcements; a leaving one announces its state.
    """

    def test_suspended_then_leaving(self):
        self.cluster.signal("upstream-1", signal.SIGSTOP)
        self.wait_for_eligible(
            dict.fromkeys(self.cluster.entries, ALL_UPSTREAMS[1:]), BOUND_MS
        )
        for entry in self.cluster.entries:
            self.assertNotIn("upstream-1", self.cluster.serve(entry))
        self.cluster.signal("upstream-1", signal.SIGCONT)
        self.wait_for_usable(ALL_UPSTREAMS)
        self.cluster.signal("upstream-2", signal.SIGTERM)
        left = [ALL_UPSTREAMS[0], *ALL_UPSTREAMS[2:]]
        self.wait_for_eligible(dict.fromkeys(self.cluster.entries, left), LEAVING_MS)


class Zones(Case):
    """During a partition each zone must serve new flows on its own upstreams only.

    Entries otherwise assign flows to upstreams that they can't reach. After the
    partition every entry uses all upstreams again.
    """

    def test_partition_and_recovery(self):
        self.cluster.partition()
        upstreams_by_entry = {
            f"entry-{number}": [f"upstream-{n}" for n in self.cluster.numbers(zone)]
            for zone in ZONES
            for number in self.cluster.numbers(zone)
        }
        self.wait_for_eligible(upstreams_by_entry, LEASE_MS)
        for entry, upstreams in upstreams_by_entry.items():
            served = self.cluster.serve(entry)
            self.assertLessEqual(served, set(upstreams))
            self.assertNotEqual(set(), served)
        for entry in upstreams_by_entry:
            wait_until(
                lambda entry=entry: len(self.cluster.dump(entry)["members"]) == 2
            )
        self.wait_for_eligible(upstreams_by_entry, 0)
        self.cluster.heal()
        self.wait_for_usable(ALL_UPSTREAMS)


class Restart(Case):
    """An entry that starts without a control replica must get its state from peers."""

    def test_restart_from_peers(self):
        self.cluster.kill("control-1")
        self.cluster.kill("entry-1")
        self.cluster.start_entry("entry-1")
        wait_until(lambda: self.cluster.dump("entry-1").get("version") == 1)
        self.wait_for_usable(ALL_UPSTREAMS, ["entry-1"])
        self.assertNotEqual(set(), self.cluster.serve("entry-1"))
