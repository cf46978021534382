"""tests.test_operations: Operators' commands and queries against a whole system."""

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


class OnOneSystem(testtools.TestCase):
    """One system serves every check of a class."""

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
        """Run the tool with --json; return what it printed."""
        done = self.cluster.operate("--json", *arguments)
        self.assertEqual(status, done.returncode, done.stdout + done.stderr)
        return json.loads(done.stdout)

    def drain_archive(self):
        """Drain every upstream of the archive, everywhere."""
        for name in ARCHIVE_UPSTREAMS:
            self.json("confirm", self.json("drain", "archive", name)["plan_id"])
        wait_until(lambda: applied_everywhere(self.cluster))

    def open_archive(self):
        """Open a flow of the archive; raise UnreachableError if it is refused."""

        async def opened():
            address = self.cluster.service_address(SERVICES["archive"])
            return await open_flow("archive", address, rng=random.Random(1))

        return curio.run(opened)


class Operations(OnOneSystem):
    """Each check leaves the system as it was."""

    def drain(self):
        """Return plans that drain each upstream of the service."""
        return [
            self.json("drain", SERVICE, name) for name in ("upstream-1", "upstream-2")
        ]

    def test_plan_names_whom_it_affects(self):
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
        zones = sorted(zone for plan in plans for zone in plan["zones"])
        touched = [plan for plan in plans if plan["flows"]]
        self.assertEqual(["zone-a", "zone-b"][: len(touched)], zones)

    def wait_for_counts(self):
        """Return plans once they count all flows."""

        def counted():
            plans = self.drain()
            return plans if sum(plan["flows"] for plan in plans) == FLOWS else None

        return wait_until(counted)

    def test_waits_are_measured(self):
        async def use():
            address = self.cluster.service_address(SERVICES[SERVICE])
            flow = await open_flow(SERVICE, address, rng=random.Random(99))
            for _ in range(FLOWS):
                await flow.request(b"x")
            await flow.close()

        curio.run(use)
        waits = [
            self.json("metrics", "--at", self.cluster.entry_address(name))["us"]
            for name in self.cluster.entries
        ]
        for name, least in (("open", 1), ("request", FLOWS)):
            counted = sum(wait[name]["count"] for wait in waits if name in wait)
            self.assertGreaterEqual(counted, least)

    def test_conflict_has_its_own_status(self):
        first, second = self.drain()
        version = self.json("confirm", first["plan_id"])["version"]
        failure = self.json("confirm", second["plan_id"], status=6)
        self.assertEqual("conflict", failure["code"])
        self.assertIn(str(version), failure["text"] + failure["value"])
        undone = self.json("drain", SERVICE, "upstream-1", "--undo")
        self.json("confirm", undone["plan_id"])

    def test_resend_gets_the_same_plan(self):
        words = ("--request-id", "again", "drain", SERVICE, "upstream-1")
        self.assertEqual(self.json(*words), self.json(*words))

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

    def test_reload_takes_a_second_key(self):
        cluster = self.cluster
        path = cluster.folder / "entry-1.ini"
        text = path.read_text(encoding="utf-8")
        more = text.replace(TICKET_KEYS, f"{TICKET_KEYS},2:{'11' * 32}")
        for new, words in (
            (more.replace("zone-a", "zone-x"), 'wait_for_restart":["zone"]'),
            (
                "[daemon]",
                "settings: kept the previous settings, as the new ones are invalid",
            ),
            (text, 'wait_for_restart":[]'),
        ):
            path.write_text(new, encoding="utf-8")
            cluster.signal("entry-1", signal.SIGHUP)
            wait_until(lambda words=words: words in cluster.output("entry-1"))
        cluster.signal("control-1", signal.SIGHUP)
        wait_until(lambda: "reloaded the settings" in cluster.output("control-1"))
        self.json("status")

    def test_refusals_are_found_wherever_they_are_held(self):
        self.drain_archive()
        since = datetime.now(UTC).isoformat()
        self.assertRaises(UnreachableError, self.open_archive)
        found = self.json("refusals", "--service", "archive", "--since", since)
        self.assertEqual({"no_upstream"}, {r["reason"] for r in found["records"]})
        self.assertEqual([], self.json("refusals", "--until", "2020-01-01")["records"])
        for name in ARCHIVE_UPSTREAMS:
            plan = self.json("drain", "archive", name, "--undo")
            self.json("confirm", plan["plan_id"])


class ControlAway(OnOneSystem):
    """Without a control replica another entry holds the record of a refusal."""

    def test_refusal_is_told_and_comes_to_the_journal(self):
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
        wait_until(self.journal)

    def journal(self):
        """Return whether the journal holds a record."""
        done = self.cluster.operate("--json", "refusals", "--service", "archive")
        return done.returncode == 0 and json.loads(done.stdout)["records"]
