"""tests.test_operations: Tests of commands and queries against a whole system."""

import json
import random
import signal
import tempfile
from datetime import UTC, datetime

import curio
import testtools

from demo.__main__ import SERVICES, applied_everywhere, configure, start
from demo.cluster import TICKET_KEYS, Cluster, wait_until
from knapweeddeal.caller import open_flow
from knapweeddeal.errors import UnreachableError

FLOWS = 6
SERVICE = "records"
ARCHIVE_UPSTREAMS = ("upstream-3", "upstream-4")


class SharedSystem(testtools.TestCase):
    """Start one system for all tests of a class."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.cluster = Cluster(folder=folder.name)
        cls.addClassCleanup(cls.cluster.close)
        start(cls.cluster)
        configure(cls.cluster)
        wait_until(lambda: applied_everywhere(cls.cluster))

    def json(self, *arguments, status=0):
        """Run the tool with --json; return the parsed output."""
        done = self.cluster.operate("--json", *arguments)
        self.assertEqual(status, done.returncode, done.stdout + done.stderr)
        return json.loads(done.stdout)

    def drain_archive(self):
        """Drain every upstream of the archive and wait until all entries apply it."""
        for name in ARCHIVE_UPSTREAMS:
            self.json("confirm", self.json("drain", "archive", name)["plan_id"])
        wait_until(lambda: applied_everywhere(self.cluster))

    def open_archive(self):
        """Open a flow of the archive; raise UnreachableError if it is refused."""

        async def open_one():
            address = self.cluster.service_address(SERVICES["archive"])
            return await open_flow("archive", address, rng=random.Random(1))

        return curio.run(open_one)


class Operations(SharedSystem):
    """Operations on a running system; each test restores what it changed."""

    def drain_plans(self):
        """Return a plan to drain each upstream of the service."""
        return [
            self.json("drain", SERVICE, name) for name in ("upstream-1", "upstream-2")
        ]

    def test_plan_lists_affected_flows_and_zones(self):
        async def count_while_open():
            address = self.cluster.service_address(SERVICES[SERVICE])
            flows = [
                await open_flow(SERVICE, address, rng=random.Random(n))
                for n in range(FLOWS)
            ]
            plans = await curio.run_in_thread(self.wait_for_counts)
            for flow in flows:
                await flow.close()
            return plans

        plans = curio.run(count_while_open)
        self.assertEqual(FLOWS, sum(plan["flows"] for plan in plans))
        for plan, zone in zip(plans, ("zone-a", "zone-b"), strict=True):
            self.assertEqual([zone] if plan["flows"] else [], plan["zones"])

    def wait_for_counts(self):
        """Return the plans once they count all flows."""

        def counted():
            plans = self.drain_plans()
            return plans if sum(plan["flows"] for plan in plans) == FLOWS else None

        return wait_until(counted)

    def test_metrics_measure_latencies(self):
        async def send_requests():
            address = self.cluster.service_address(SERVICES[SERVICE])
            flow = await open_flow(SERVICE, address, rng=random.Random(99))
            for _ in range(FLOWS):
                await flow.request(b"x")
            await flow.close()

        curio.run(send_requests)
        latencies = [
            self.json("metrics", "--at", self.cluster.entry_address(name))["us"]
            for name in self.cluster.entries
        ]
        for name, minimum in (("open", 1), ("request", FLOWS)):
            counted = sum(
                latency[name]["count"] for latency in latencies if name in latency
            )
            self.assertGreaterEqual(counted, minimum)

    def test_conflict_exit_status(self):
        first, second = self.drain_plans()
        version = self.json("confirm", first["plan_id"])["version"]
        failure = self.json("confirm", second["plan_id"], status=6)
        self.assertEqual("conflict", failure["code"])
        self.assertIn(str(version), failure["text"] + failure["value"])
        undone = self.json("drain", SERVICE, "upstream-1", "--undo")
        self.json("confirm", undone["plan_id"])

    def test_same_request_id_returns_same_plan(self):
        arguments = ("--request-id", "again", "drain", SERVICE, "upstream-1")
        self.assertEqual(self.json(*arguments), self.json(*arguments))

    def test_invalid_intent_names_field_and_value(self):
        failure = self.json("plan", "remove-service", "nothing", status=5)
        self.assertEqual(
            ("invalid_intent", "service", "nothing"),
            (failure["code"], failure["field"], failure["value"]),
        )

    def test_process_queries(self):
        for address in (
            self.cluster.entry_address("entry-1"),
            self.cluster.replica_address("control-1"),
        ):
            self.assertIn("counters", self.json("metrics", "--at", address))
            dumped = self.json("dump", "--at", address, "--max-bytes", "4096")
            self.assertTrue(len(json.dumps(dumped)) <= 4096)
        listed = self.json("upstreams", "--at", self.cluster.entry_address("entry-1"))
        self.assertEqual(4, len(listed))

    def test_reload_adds_ticket_key(self):
        cluster = self.cluster
        path = cluster.folder / "entry-1.ini"
        text = path.read_text(encoding="utf-8")
        with_second_key = text.replace(TICKET_KEYS, f"{TICKET_KEYS},2:{'11' * 32}")
        for new, expected in (
            (with_second_key.replace("zone-a", "zone-x"), 'wait_for_restart":["zone"]'),
            (
                "[daemon]",
                "settings: kept the previous settings, as the new ones are invalid",
            ),
            (text, 'wait_for_restart":[]'),
        ):
            path.write_text(new, encoding="utf-8")
            cluster.signal("entry-1", signal.SIGHUP)
            wait_until(lambda expected=expected: expected in cluster.output("entry-1"))
        cluster.signal("control-1", signal.SIGHUP)
        wait_until(lambda: "reloaded the settings" in cluster.output("control-1"))
        self.json("status")

    def test_refusals_from_all_replicas(self):
        self.drain_archive()
        since = datetime.now(UTC).isoformat()
        self.assertRaises(UnreachableError, self.open_archive)
        found = self.json("refusals", "--service", "archive", "--since", since)
        self.assertEqual({"no_upstream"}, {r["reason"] for r in found["records"]})
        self.assertEqual([], self.json("refusals", "--until", "2020-01-01")["records"])
        for name in ARCHIVE_UPSTREAMS:
            plan = self.json("drain", "archive", name, "--undo")
            self.json("confirm", plan["plan_id"])


class ControlUnavailable(SharedSystem):
    """A refusal must be recorded even while no control replica runs.

    A second entry then holds the record until a replica can store it.
    """

    def test_refusal_reaches_replicas_after_restart(self):
        self.drain_archive()
        for name in self.cluster.replicas:
            self.cluster.kill(name)
        error = self.assertRaises(UnreachableError, self.open_archive)
        self.assertEqual("no_upstream", error.text)
        held = [
            self.json("refusals", "--at", self.cluster.entry_address(name))["records"]
            for name in self.cluster.entries
        ]
        self.assertTrue(sum(map(bool, held)) >= 2, held)
        for name in self.cluster.replicas:
            self.cluster.start_replica(name)
        wait_until(self.has_stored_refusal)

    def has_stored_refusal(self):
        """Return whether the control replicas return a record."""
        done = self.cluster.operate("--json", "refusals", "--service", "archive")
        return done.returncode == 0 and json.loads(done.stdout)["records"]
