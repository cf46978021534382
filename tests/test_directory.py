"""tests.test_directory: Tests of an entry's leases, with delay, loss and cuts."""

import random

import testscenarios
import testtools

from knapweeddeal.directory import Directory
from knapweeddeal.messages.peer import DirectoryDelta, LeaseAnswer
from knapweeddeal.messages.upstream import JOINING, LEAVING
from tests.directoryfakes import BOUND_MS, LEASE_MS, RegistrarNetwork, announce

ZONES = {"zone-a": ["entry-1", "entry-2", "entry-3"], "zone-b": ["entry-4", "entry-5"]}
ANNOUNCE_MS = 300


def net(seed=1, **options):
    """Return an entry and registrars in two zones."""
    return RegistrarNetwork(rng=random.Random(seed), zones=ZONES, **options)


class Announcer:
    """Announce upstreams at a steady pace while they live."""

    def __init__(self, net, numbers, *, zone="zone-a"):
        self.net = net
        self.zone = zone
        self.alive = set(numbers)
        self.leaving = set()
        self.sequence = 0

    def __call__(self):
        if self.net.now_ms % ANNOUNCE_MS:
            return
        self.sequence += 1
        for number in sorted(self.alive):
            state = {"state": LEAVING} if number in self.leaving else {}
            message = announce(number, sequence=self.sequence, zone=self.zone, **state)
            self.net.send_announcement(message)


class Leases(testtools.TestCase):
    """Leases begin, go on and end."""

    def test_many_upstreams(self):
        run = net()
        announcer = Announcer(run, range(50))
        run.run(10_000, each_step=announcer)
        self.assertEqual(50, len(run.eligible()))

    def test_leaving_ends_in_one_ask(self):
        run = net()
        announcer = Announcer(run, [1, 2])
        run.run(3_000, each_step=announcer)
        announcer.leaving.add(1)
        run.run(3_000 + ANNOUNCE_MS + 500, each_step=announcer)
        self.assertEqual(["upstream-2"], run.eligible())

    def test_joining_gets_nothing(self):
        run = net()
        run.send_announcement(announce(state=JOINING))
        run.run(1_000)
        self.assertEqual([], run.eligible())

    def test_cut_zone_goes_and_comes_back(self):
        run = net()
        near = Announcer(run, [1])
        far = Announcer(run, [2], zone="zone-b")

        def both():
            near()
            far()

        run.run(5_000, each_step=both)
        self.assertEqual(["upstream-1", "upstream-2"], run.eligible())
        run.unreachable_names = set(ZONES["zone-b"])
        run.run(5_000 + LEASE_MS + 50, each_step=both)
        self.assertEqual(["upstream-1"], run.eligible())
        run.unreachable_names = set()
        run.run(run.now_ms + 1_000, each_step=both)
        self.assertEqual(["upstream-1", "upstream-2"], run.eligible())

    def test_lost_registrar_costs_nothing(self):
        run = net()
        announcer = Announcer(run, range(8))
        run.run(5_000, each_step=announcer)
        lost = run.placement.registrars["zone-a"][0]
        run.unreachable_names = {lost}

        def step():
            announcer()
            self.assertEqual(8, len(run.eligible()))

        run.run(15_000, each_step=step)

    def test_restarted_registrars(self):
        run = net()
        announcer = Announcer(run, range(20))
        run.run(5_000, each_step=announcer)
        lasting = run.entry.all()
        for name in ZONES["zone-a"]:
            run.restart(name)
        run.run(8_000, each_step=announcer)
        self.assertEqual(20, len(run.eligible()))
        self.assertEqual(set(map(id, lasting)), set(map(id, run.entry.all())))

    def test_another_zone_stands_in(self):
        run = net()
        run.run(3_000, each_step=Announcer(run, [1], zone="zone-x"))
        self.assertEqual(["upstream-1"], run.eligible())

    def test_answer_from_the_future_extends_nothing(self):
        held = Directory(lease_ms=LEASE_MS)
        held.set_members({"zone-a": ["entry-1"]})
        answer = LeaseAnswer(asked_ms=10_000, epoch=0, version=0)
        held.apply_lease("entry-1", answer, now_ms=10)
        self.assertLess(held._views["entry-1"].lease_start_ms, 0)

    def test_late_announcement_heard_directly(self):
        run = net()
        announcer = Announcer(run, [1])
        announcer.leaving.add(1)
        run.run(3_000, each_step=announcer)
        run.entry.apply_announcement(announce(1, sequence=1), now_ms=run.now_ms)
        self.assertEqual([LEAVING], [u.announce.state for u in run.entry.all()])

    def test_old_incarnation_heard_directly(self):
        held = Directory(lease_ms=LEASE_MS)
        held.apply_announcement(announce(incarnation=5), now_ms=0)
        held.apply_announcement(announce(incarnation=4, sequence=99), now_ms=1)
        self.assertEqual([5], [u.key.incarnation for u in held.all()])


class Answers(testscenarios.TestWithScenarios, testtools.TestCase):
    """An answer counts only where it follows on what is known.

    The entry knows upstream-1 as of epoch 9 and version 5.
    """

    scenarios = [
        ("lease", {"answer": (9, 5), "change": None, "want": [1]}),
        ("lease of changes unknown here", {"answer": (9, 6), "change": None}),
        ("lease of a past process", {"answer": (8, 5), "change": None}),
        ("next", {"answer": (9, 6), "change": (9, 5, 6, False), "want": [1, 2]}),
        ("gap", {"answer": (9, 8), "change": (9, 7, 8, False)}),
        ("past process", {"answer": (8, 6), "change": (8, 5, 6, False)}),
        ("twice", {"answer": (9, 5), "change": (9, 4, 5, False), "want": [1]}),
        ("snapshot", {"answer": (7, 3), "change": (7, 5, 3, True), "want": [2]}),
        ("late snapshot", {"answer": (7, 3), "change": (7, 0, 3, True)}),
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

    def test_fresh(self):
        held = Directory(lease_ms=LEASE_MS)
        held.set_members({"zone-a": ["entry-1"]})
        held.apply_delta("entry-1", self.delta(1, 9, 0, 5, True), now_ms=0)
        if self.change:
            held.apply_delta("entry-1", self.delta(2, *self.change), now_ms=10)
        epoch, version = self.answer
        answer = LeaseAnswer(asked_ms=10, epoch=epoch, version=version)
        held.apply_lease("entry-1", answer, now_ms=20)
        eligible = held.eligible("records", now_ms=30)
        ids = [int(u.key.upstream_id.split("-")[1]) for u in eligible]
        self.assertEqual(self.want, sorted(ids))


class Bound(testscenarios.TestWithScenarios, testtools.TestCase):
    """New work ends in time however messages are delayed and lost."""

    scenarios = [
        (f"seed {seed} {delay} ms {loss}", {"seed": seed, "delay": delay, "loss": loss})
        for seed in range(6)
        for delay, loss in ((0, 0.0), (900, 0.2), (3_000, 0.5))
    ]

    def test_silent_upstream(self):
        run = net(self.seed, max_delay_ms=self.delay, loss=self.loss)
        announcer = Announcer(run, range(6))
        run.run(10_000, each_step=announcer)
        announcer.alive -= {0, 1}
        end_ms = run.now_ms + self.delay + BOUND_MS

        def step():
            announcer()
            if run.now_ms > end_ms:
                self.assertNotIn("upstream-0", run.eligible())
                self.assertNotIn("upstream-1", run.eligible())

        run.run(end_ms + 10_000, each_step=step)

    def test_cut_off_entry(self):
        run = net(self.seed, max_delay_ms=self.delay, loss=self.loss)
        announcer = Announcer(run, range(6))
        run.run(10_000, each_step=announcer)
        run.unreachable_names = set(run.registrars)
        end_ms = run.now_ms + LEASE_MS

        def step():
            announcer()
            if run.now_ms > end_ms:
                self.assertEqual([], run.eligible())

        run.run(end_ms + 10_000, each_step=step)

    def test_same_in_the_end(self):
        run = net(
            self.seed, max_delay_ms=self.delay, loss=self.loss, registrars_per_zone=0
        )
        announcer = Announcer(run, range(40))
        run.run(10_000, each_step=announcer)
        announcer.alive = set(range(10, 30))
        run.run(20_000, each_step=announcer)
        run.max_delay_ms, run.loss = 0, 0.0
        run.run(26_000, each_step=announcer)
        expected = sorted(f"upstream-{n}" for n in range(10, 30))
        self.assertEqual(expected, run.eligible())
