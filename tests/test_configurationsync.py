"""tests.test_configurationsync: Tests of the exchange of configurations."""

import random

import testscenarios
import testtools

from knapweeddeal.configurationsync import ConfigurationSync, RequestFromPeer
from knapweeddeal.messages.control import Configuration

WAIT_MS = 2_000


def configuration(version):
    """Return an empty configuration."""
    return Configuration(version=version, services=[])


def make_sync(seeds=3):
    """Return the configuration sync of a process that just started."""
    return ConfigurationSync(seeds=seeds, wait_ms=WAIT_MS, now_ms=0)


def apply_due(sync, now_ms):
    """Apply the configuration that is due."""
    due = sync.due_configuration(now_ms=now_ms)
    if due is not None:
        sync.mark_applied(due.version)


class Start(testscenarios.TestWithScenarios, testtools.TestCase):
    """A starting process waits, up to a bound, for the highest version of its peers.

    Without the wait it could apply a version lower than one that its peers serve.
    """

    scenarios = [
        (
            "no seeds",
            {
                "seeds": 0,
                "peer_versions": [],
                "received": [4],
                "now_ms": 0,
                "expected": 4,
            },
        ),
        (
            "no peer before the deadline",
            {
                "seeds": 3,
                "peer_versions": [],
                "received": [4],
                "now_ms": 1999,
                "expected": 0,
            },
        ),
        (
            "no peer at the deadline",
            {
                "seeds": 3,
                "peer_versions": [],
                "received": [4],
                "now_ms": 2000,
                "expected": 4,
            },
        ),
        (
            "peers agree",
            {
                "seeds": 3,
                "peer_versions": [4, 4],
                "received": [4],
                "now_ms": 9,
                "expected": 4,
            },
        ),
        (
            "a peer has a higher version",
            {
                "seeds": 3,
                "peer_versions": [4, 5],
                "received": [4],
                "now_ms": 9,
                "expected": 0,
            },
        ),
        (
            "highest version received",
            {
                "seeds": 3,
                "peer_versions": [4, 5],
                "received": [4, 5],
                "now_ms": 9,
                "expected": 5,
            },
        ),
        (
            "lower version received last",
            {
                "seeds": 3,
                "peer_versions": [4, 5],
                "received": [5, 4],
                "now_ms": 9,
                "expected": 5,
            },
        ),
        (
            "no version received",
            {
                "seeds": 1,
                "peer_versions": [0],
                "received": [],
                "now_ms": 2000,
                "expected": 0,
            },
        ),
    ]

    def test_applies(self):
        sync = make_sync(self.seeds)
        for number, version in enumerate(self.peer_versions):
            sync.observe_version(f"entry-{number}", version, now_ms=1)
        for version in self.received:
            sync.offer(configuration(version))
        apply_due(sync, self.now_ms)
        self.assertEqual(self.expected, sync.applied_version)


class Requests(testtools.TestCase):
    """A peer with a higher version gets a request, which is repeated until answered."""

    def test_request_is_repeated(self):
        sync = make_sync()
        sync.offer(configuration(2))
        request = [RequestFromPeer(name="entry-1", applied_version=2)]
        self.assertEqual(request, sync.observe_version("entry-1", 3, now_ms=10))
        self.assertEqual([], sync.observe_version("entry-2", 3, now_ms=20))
        self.assertEqual(request, sync.observe_version("entry-1", 3, now_ms=510))
        self.assertEqual([], sync.observe_version("entry-1", 2, now_ms=5_000))
        self.assertEqual(request, sync.observe_version("entry-1", 4, now_ms=511))

    def test_answer_has_higher_version(self):
        sync = make_sync()
        self.assertIsNone(sync.answer(0))
        sync.offer(configuration(2))
        self.assertEqual(2, sync.answer(1).configuration.version)
        self.assertIsNone(sync.answer(2))


class MonotonicVersions(testscenarios.TestWithScenarios, testtools.TestCase):
    """Processes that exchange versions in any order converge and never go back."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(30)]

    def test_converges(self):
        rng = random.Random(self.seed)
        peers = {f"entry-{n}": make_sync() for n in range(12)}
        newest = 0
        for now_ms in range(0, 60_000, 100):
            if rng.random() < 0.05 and now_ms < 50_000:
                newest += 1
            source = rng.choice(list(peers))
            if rng.random() < 0.2:
                peers[source].offer(configuration(rng.randint(0, newest)))
            if now_ms == 50_000:
                peers[source].offer(configuration(newest))
            for name, sync in peers.items():
                self.exchange_with_peer(rng, peers, name, sync, now_ms)
        versions = {sync.applied_version for sync in peers.values()}
        self.assertEqual({newest}, versions)

    def exchange_with_peer(self, rng, peers, name, sync, now_ms):
        other = rng.choice(list(peers))
        peer_version = peers[other].applied_version
        for request in sync.observe_version(other, peer_version, now_ms=now_ms):
            push = peers[request.name].answer(request.applied_version)
            if push is not None and rng.random() < 0.7:
                sync.offer(push.configuration)
        before = sync.applied_version
        apply_due(sync, now_ms)
        self.assertGreaterEqual(sync.applied_version, before)
