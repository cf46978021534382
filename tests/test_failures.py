"""tests.test_failures: Tests of failures of real processes under load."""

import functools
import os
import signal
import socket
import tempfile

import curio
import testscenarios
import testtools

from demo.cluster import wait_until
from knapweeddeal.caller import UNKNOWN
from tests.load import PORT, Load, SmallCluster

MALFORMED_DATA = (
    b"",
    b"\xc1",
    b"\x91\x01",
    os.urandom(4000),
    b"\x00" * 1500,
    b"\xdd\xff" * 9,
)


class Case(testtools.TestCase):
    """Run a small cluster; check that no request ran twice or ran despite `not_run`."""

    ENTRIES = 3
    UPSTREAMS = 2

    def setUp(self):
        super().setUp()
        self.small = self.new_cluster(self.new_folder())
        self.addCleanup(self.small.close)
        self.cluster = self.small.cluster
        self.load = Load(address=self.small.address)

    def new_cluster(self, folder):
        return SmallCluster(
            folder=folder, entries=self.ENTRIES, upstreams=self.UPSTREAMS
        )

    def new_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def run_load(self, script):
        curio.run(functools.partial(self.load.run, script))
        runs = self.small.runs()
        self.assertEqual({}, {name: n for name, n in runs.items() if n > 1})
        self.assertEqual([], [name for name in self.load.not_run() if name in runs])
        self.assertEqual([], self.small.tracebacks())

    async def in_thread(self, call, *arguments):
        return await curio.run_in_thread(call, *arguments)


class EntryKilled(Case):
    """A killed or suspended entry must not break flows that other entries take over.

    After a kill no request may end as `unknown`.
    """

    def test_killed(self):
        async def script(load):
            await load.wait_for_answers()
            self.cluster.kill("entry-1")
            await load.wait_for_answers()

        self.run_load(script)
        self.assertEqual(0, self.load.kinds()[UNKNOWN], self.load.failures())

    def test_suspended_and_resumed(self):
        async def script(load):
            await load.wait_for_answers()
            self.cluster.signal("entry-2", signal.SIGSTOP)
            await load.wait_for_answers()
            self.cluster.signal("entry-2", signal.SIGCONT)
            await load.wait_for_answers()

        self.run_load(script)


class UpstreamKilled(testscenarios.TestWithScenarios, Case):
    """A killed upstream may lose only its requests in progress, and no flow."""

    scenarios = [
        ("both upstreams start at once", {"held_s": 0.0}),
        ("the killed one starts late", {"held_s": 2.0}),
    ]

    def new_cluster(self, folder):
        held_s = {"upstream-1": self.held_s} if self.held_s else {}
        cluster = SmallCluster(
            folder=folder,
            entries=self.ENTRIES,
            upstreams=self.UPSTREAMS,
            held_s=held_s,
        )
        cluster.wait_until_connected()
        return cluster

    def test_killed(self):
        async def script(load):
            await load.wait_for_answers()
            self.cluster.kill("upstream-1")
            await load.wait_for_answers()

        self.run_load(script)
        broken = sum(
            self.small.counters(entry).get("flows_broken", 0)
            for entry in self.cluster.entries
        )
        self.assertGreater(broken, 0)
        self.assertLessEqual(self.load.kinds()[UNKNOWN], len(self.load.flows))


class UpstreamLeaves(Case):
    """Flows must move off an upstream that leaves under load, without an error."""

    def test_leaves(self):
        async def script(load):
            await load.wait_for_answers()
            self.small.add_upstream()
            status = await self.in_thread(self.cluster.stop, "upstream-1")
            self.assertEqual(0, status)
            await load.wait_for_answers()

        self.run_load(script)
        self.assertEqual({}, self.load.failures())
        counters = [self.small.counters(entry) for entry in self.cluster.entries]
        self.assertEqual(0, sum(c.get("flows_broken", 0) for c in counters))
        self.assertGreater(sum(c.get("flows_moved", 0) for c in counters), 0)


class RollingRestart(Case):
    """A rolling restart of all entries under load must not fail any request."""

    def test_rolling_restart(self):
        async def script(load):
            await load.wait_for_answers()
            for name in self.cluster.entries:
                status = await self.in_thread(self.cluster.stop, name)
                self.assertEqual(0, status)
                await load.wait_for_answers(1)
                self.cluster.start_entry(name)
                await self.in_thread(
                    wait_until, functools.partial(self.small.serves, name)
                )
                await load.wait_for_answers(1)

        self.run_load(script)
        self.assertEqual({}, self.load.failures())


class MalformedData(Case):
    """Malformed data at any port must be dropped and counted without other effects."""

    def test_malformed_data(self):
        async def script(load):
            await load.wait_for_answers(1)
            await self.in_thread(self.send_malformed_data)
            await load.wait_for_answers()

        self.run_load(script)
        self.assertEqual({}, self.load.failures())
        for entry in self.cluster.entries:
            counters = self.small.counters(entry)
            self.assertGreater(counters["dropped_bad_message"], 0)
            self.assertEqual(0, counters.get("errors", 0))

    def send_malformed_data(self):
        for number in range(1, self.ENTRIES + 1):
            host = self.cluster.host(2, number)
            for port in (PORT, 7010):
                self.send_datagrams(host, port)
            self.send_streams(host, 7000)
        for number in range(1, self.UPSTREAMS + 1):
            self.send_streams(self.cluster.host(3, number), 7020)

    def send_datagrams(self, host, port):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in MALFORMED_DATA:
                sender.sendto(data, (host, port))

    def send_streams(self, host, port):
        for data in MALFORMED_DATA:
            with socket.create_connection((host, port), timeout=5) as sender:
                sender.sendall(data)
