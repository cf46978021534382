"""tests.test_configurationsync: Tests of the passing on of configurations."""

import random

import testscenarios
import testtools

from knapweeddeal.configurationsync import ConfigurationSync, RequestFromPeer
from knapweeddeal.messages.control import Configuration

WAIT_MS = 2_000


def configuration(version):
    """Return an empty configuration."""
    return Configuration(version=version, services=[])


def spread(seeds=3):
    """Return the spread of a process that just started."""
    return ConfigurationSync(seeds=seeds, wait_ms=WAIT_MS, now_ms=0)


def apply_due(held, now_ms):
    """Put in force what is due."""
    due = held.due_configuration(now_ms=now_ms)
    if due is not None:
        held.mark_applied(due.version)


class Start(testscenarios.TestWithScenarios, testtools.TestCase):
    """A process that starts serves the highest it can learn of, after a bound."""

    scenarios = [
        ("alone", {"seeds": 0, "seen": [], "got": [4], "at": 0, "want": 4}),
        ("no peer yet", {"seeds": 3, "seen": [], "got": [4], "at": 1999, "want": 0}),
        ("no peer at all", {"seeds": 3, "seen": [], "got": [4], "at": 2000, "want": 4}),
        ("peers agree", {"seeds": 3, "seen": [4, 4], "got": [4], "at": 9, "want": 4}),
        ("one is ahead", {"seeds": 3, "seen": [4, 5], "got": [4], "at": 9, "want": 0}),
        ("highest", {"seeds": 3, "seen": [4, 5], "got": [4, 5], "at": 9, "want": 5}),
        ("late low", {"seeds": 3, "seen": [4, 5], "got": [5, 4], "at": 9, "want": 5}),
        ("nothing", {"seeds": 1, "seen": [0], "got": [], "at": 2000, "want": 0}),
    ]

    def test_applies(self):
        held = spread(self.seeds)
        for number, version in enumerate(self.seen):
            held.observe_version(f"entry-{number}", version, now_ms=1)
        for version in self.got:
            held.offer(configuration(version))
        apply_due(held, self.at)
        self.assertEqual(self.want, held.applied_version)


class Asks(testtools.TestCase):
    """A peer that is ahead is asked, and again if nothing comes."""

    def test_repeats(self):
        held = spread()
        held.offer(configuration(2))
        request = [RequestFromPeer(name="entry-1", applied_version=2)]
        self.assertEqual(request, held.observe_version("entry-1", 3, now_ms=10))
        self.assertEqual([], held.observe_version("entry-2", 3, now_ms=20))
        self.assertEqual(request, held.observe_version("entry-1", 3, now_ms=510))
        self.assertEqual([], held.observe_version("entry-1", 2, now_ms=5_000))
        self.assertEqual(request, held.observe_version("entry-1", 4, now_ms=511))

    def test_answers(self):
        held = spread()
        self.assertIsNone(held.answer(0))
        held.offer(configuration(2))
        self.assertEqual(2, held.answer(1).configuration.version)
        self.assertIsNone(held.answer(2))


class NeverBack(testscenarios.TestWithScenarios, testtools.TestCase):
    """Many processes that pass versions on in any order never go back."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(30)]

    def test_converges(self):
        rng = random.Random(self.seed)
        peers = {f"entry-{n}": spread() for n in range(12)}
        last = 0
        for now_ms in range(0, 60_000, 100):
            if rng.random() < 0.05 and now_ms < 50_000:
                last += 1
            source = rng.choice(list(peers))
            if rng.random() < 0.2:
                peers[source].offer(configuration(rng.randint(0, last)))
            if now_ms == 50_000:
                peers[source].offer(configuration(last))
            for name, held in peers.items():
                self.meet(rng, peers, name, held, now_ms)
        versions = {held.applied_version for held in peers.values()}
        self.assertEqual({last}, versions)

    def meet(self, rng, peers, name, held, now_ms):
        other = rng.choice(list(peers))
        shown = peers[other].applied_version
        for request in held.observe_version(other, shown, now_ms=now_ms):
            push = peers[request.name].answer(request.applied_version)
            if push is not None and rng.random() < 0.7:
                held.offer(push.configuration)
        before = held.applied_version
        apply_due(held, now_ms)
        self.assertGreaterEqual(held.applied_version, before)
