"""tests.test_directory: Tests of an entry's leases under delay, loss and partitions."""

import random

import testscenarios
import testtools

from knapweeddeal.directory import Directory
from knapweeddeal.messages.peer import DirectoryDelta, LeaseAnswer
from knapweeddeal.messages.upstream import JOINING, LEAVING
from tests.directoryfakes import BOUND_MS, LEASE_MS, RegistrarNetwork, announce

ZONES = {"zone-a": ["entry-1", "entry-2", "entry-3"], "zone-b": ["entry-4", "entry-5"]}
ANNOUNCE_MS = 300


def make_network(seed=1, **options):
    """Return a network of an entry and registrars in two zones."""
    return RegistrarNetwork(rng=random.Random(seed), zones=ZONES, **options)


class Announcer:
    """Announce the live upstreams every ANNOUNCE_MS."""

    def __init__(self, network, numbers, *, zone="zone-a"):
        self.network = network
        self.zone = zone
        self.alive = set(numbers)
        self.leaving = set()
        self.sequence = 0

    def __call__(self):
        if self.network.now_ms % ANNOUNCE_MS:
            return
        self.sequence += 1
        for number in sorted(self.alive):
            state = {"state": LEAVING} if number in self.leaving else {}
            message = announce(number, sequence=self.sequence, zone=self.zone, **state)
            self.network.send_announcement(message)


class Leases(testtools.TestCase):
    """Leases start, are renewed and end with their upstream or registrar."""

    def test_many_upstreams(self):
        network = make_network()
        announcer = Announcer(network, range(50))
        network.run(10_000, each_step=announcer)
        self.assertEqual(50, len(network.eligible()))

    def test_leaving_upstream_is_dropped_within_one_lease_request(self):
        network = make_network()
        announcer = Announcer(network, [1, 2])
        network.run(3_000, each_step=announcer)
        announcer.leaving.add(1)
        network.run(3_000 + ANNOUNCE_MS + 500, each_step=announcer)
        self.assertEqual(["upstream-2"], network.eligible())

    def test_joining_upstream_is_not_eligible(self):
        network = make_network()
        network.send_announcement(announce(state=JOINING))
        network.run(1_000)
        self.assertEqual([], network.eligible())

    def test_zone_is_ineligible_while_partitioned(self):
        network = make_network()
        near = Announcer(network, [1])
        far = Announcer(network, [2], zone="zone-b")

        def announce_both():
            near()
            far()

        network.run(5_000, each_step=announce_both)
        self.assertEqual(["upstream-1", "upstream-2"], network.eligible())
        network.unreachable_names = set(ZONES["zone-b"])
        network.run(5_000 + LEASE_MS + 50, each_step=announce_both)
        self.assertEqual(["upstream-1"], network.eligible())
        network.unreachable_names = set()
        network.run(network.now_ms + 1_000, each_step=announce_both)
        self.assertEqual(["upstream-1", "upstream-2"], network.eligible())

    def test_lost_registrar_keeps_upstreams_eligible(self):
        network = make_network()
        announcer = Announcer(network, range(8))
        network.run(5_000, each_step=announcer)
        unreachable = network.placement.registrars["zone-a"][0]
        network.unreachable_names = {unreachable}

        def step():
            announcer()
            self.assertEqual(8, len(network.eligible()))

        network.run(15_000, each_step=step)

    def test_restarted_registrars_keep_upstreams(self):
        network = make_network()
        announcer = Announcer(network, range(20))
        network.run(5_000, each_step=announcer)
        before_restart = network.entry.all()
        for name in ZONES["zone-a"]:
            network.restart(name)
        network.run(8_000, each_step=announcer)
        self.assertEqual(20, len(network.eligible()))
        self.assertEqual(
            set(map(id, before_restart)), set(map(id, network.entry.all()))
        )

    def test_zone_without_registrars_uses_another_zone(self):
        network = make_network()
        network.run(3_000, each_step=Announcer(network, [1], zone="zone-x"))
        self.assertEqual(["upstream-1"], network.eligible())

    def test_answer_with_future_request_time_is_ignored(self):
        directory = Directory(lease_ms=LEASE_MS)
        directory.set_members({"zone-a": ["entry-1"]})
        answer = LeaseAnswer(asked_ms=10_000, epoch=0, version=0)
        directory.apply_lease("entry-1", answer, now_ms=10)
        self.assertLess(directory._views["entry-1"].lease_start_ms, 0)

    def test_outdated_direct_announcement_is_ignored(self):
        network = make_network()
        announcer = Announcer(network, [1])
        announcer.leaving.add(1)
        network.run(3_000, each_step=announcer)
        network.entry.apply_announcement(announce(1, sequence=1), now_ms=network.now_ms)
        self.assertEqual([LEAVING], [u.announce.state for u in network.entry.all()])

    def test_direct_announcement_of_other_incarnation_is_ignored(self):
        directory = Directory(lease_ms=LEASE_MS)
        directory.apply_announcement(announce(incarnation=5), now_ms=0)
        directory.apply_announcement(announce(incarnation=4, sequence=99), now_ms=1)
        self.assertEqual([5], [u.key.incarnation for u in directory.all()])


class Answers(testscenarios.TestWithScenarios, testtools.TestCase):
    """Answers apply only if they continue the epoch and version of the view.

    Otherwise a delayed or repeated datagram would renew leases of removed upstreams.
    The view holds upstream-1 at epoch 9 and version 5.
    """

    scenarios = [
        ("lease", {"answer": (9, 5), "change": None, "want": [1]}),
        ("lease of missing changes", {"answer": (9, 6), "change": None}),
        ("lease of a former process", {"answer": (8, 5), "change": None}),
        ("next change", {"answer": (9, 6), "change": (9, 5, 6, False), "want": [1, 2]}),
        ("gap in the changes", {"answer": (9, 8), "change": (9, 7, 8, False)}),
        ("change of a former process", {"answer": (8, 6), "change": (8, 5, 6, False)}),
        (
            "repeated change",
            {"answer": (9, 5), "change": (9, 4, 5, False), "want": [1]},
        ),
        ("snapshot", {"answer": (7, 3), "change": (7, 5, 3, True), "want": [2]}),
        ("delayed snapshot", {"answer": (7, 3), "change": (7, 0, 3, True)}),
    ]
    want = []

    def delta(self, number, epoch, since, version, whole):
        return DirectoryDelta(
            epoch=epoch,
            since=since,
            version=version,
            whole=whole,
            changed=[announce(number)],
            gone=[],
        )

    def test_eligible(self):
        directory = Directory(lease_ms=LEASE_MS)
        directory.set_members({"zone-a": ["entry-1"]})
        directory.apply_delta("entry-1", self.delta(1, 9, 0, 5, True), now_ms=0)
        if self.change:
            directory.apply_delta("entry-1", self.delta(2, *self.change), now_ms=10)
        epoch, version = self.answer
        answer = LeaseAnswer(asked_ms=10, epoch=epoch, version=version)
        directory.apply_lease("entry-1", answer, now_ms=20)
        eligible = directory.eligible("records", now_ms=30)
        ids = [int(u.key.upstream_id.split("-")[1]) for u in eligible]
        self.assertEqual(self.want, sorted(ids))


class LeaseExpiry(testscenarios.TestWithScenarios, testtools.TestCase):
    """Upstreams without a lease get no new flows, under any delay and loss."""

    scenarios = [
        (f"seed {seed} {delay} ms {loss}", {"seed": seed, "delay": delay, "loss": loss})
        for seed in range(6)
        for delay, loss in ((0, 0.0), (900, 0.2), (3_000, 0.5))
    ]

    def test_silent_upstream_is_ineligible_in_time(self):
        network = make_network(self.seed, max_delay_ms=self.delay, loss=self.loss)
        announcer = Announcer(network, range(6))
        network.run(10_000, each_step=announcer)
        announcer.alive -= {0, 1}
        end_ms = network.now_ms + self.delay + BOUND_MS

        def step():
            announcer()
            if network.now_ms > end_ms:
                self.assertNotIn("upstream-0", network.eligible())
                self.assertNotIn("upstream-1", network.eligible())

        network.run(end_ms + 10_000, each_step=step)

    def test_entry_without_registrars_has_no_eligible_upstream(self):
        network = make_network(self.seed, max_delay_ms=self.delay, loss=self.loss)
        announcer = Announcer(network, range(6))
        network.run(10_000, each_step=announcer)
        network.unreachable_names = set(network.registrars)
        end_ms = network.now_ms + LEASE_MS

        def step():
            announcer()
            if network.now_ms > end_ms:
                self.assertEqual([], network.eligible())

        network.run(end_ms + 10_000, each_step=step)

    def test_directory_converges_after_loss(self):
        network = make_network(
            self.seed, max_delay_ms=self.delay, loss=self.loss, registrars_per_zone=0
        )
        announcer = Announcer(network, range(40))
        network.run(10_000, each_step=announcer)
        announcer.alive = set(range(10, 30))
        network.run(20_000, each_step=announcer)
        network.max_delay_ms, network.loss = 0, 0.0
        network.run(26_000, each_step=announcer)
        expected = sorted(f"upstream-{n}" for n in range(10, 30))
        self.assertEqual(expected, network.eligible())
