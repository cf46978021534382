"""tests.test_forwardercore: Tests of a forwarder's state and its updates."""

import testscenarios
import testtools

from knapweeddeal.forwardercore import ForwarderCore, Subscription
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.packets import ControlState, UpstreamsPush
from knapweeddeal.metrics import Metrics
from knapweeddeal.replicaselector import ReplicaSelector
from tests.admissionreplay import terms
from tests.packetfakes import ZONE, route, routes_push, state, syn

FIRST, SECOND, GONE = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)


class FakeSettings:
    """Hold the settings that a core reads."""

    zone = ZONE
    packets = ("10.0.0.9", 9_000)
    packet_flow_idle_ms = 15_000
    link_mbps = None
    admission = "on"


def make_selector():
    """Return a selector that knows the first replica."""
    return ReplicaSelector(seeds=[FIRST], zone=ZONE, random=lambda: 0.0)


def make_core(*, selector=None):
    """Return a core with subscriptions to two replicas, and the subscriptions."""
    core = ForwarderCore(
        settings=FakeSettings(),
        selector=selector or make_selector(),
        random=lambda: 0.0,
        metrics=Metrics(),
    )
    subscriptions = [Subscription(address=a, now_ms=0) for a in (FIRST, SECOND)]
    for subscription in subscriptions:
        core.add_subscription(subscription)
    return core, subscriptions


def replicas(*addresses):
    """Return replicas at some addresses."""
    return [
        Replica(name=f"r{n}", identity=n, host=host, port=port)
        for n, (host, port) in enumerate(addresses, 1)
    ]


def control_state(*, current):
    """Return the state that a replica reports."""
    return ControlState(zone=ZONE, current=current, revision=1, replicas=[])


class Readiness(testscenarios.TestWithScenarios, testtools.TestCase):
    """A forwarder is ready from its first routes and upstreams until it stops."""

    PUSH = routes_push(route())
    UPSTREAMS = UpstreamsPush(whole=True, states=[state()])
    scenarios = [
        ("no messages", {"messages": [], "ready": False}),
        ("routes only", {"messages": [PUSH], "ready": False}),
        ("upstreams only", {"messages": [UPSTREAMS], "ready": False}),
        ("routes and upstreams", {"messages": [PUSH, UPSTREAMS], "ready": True}),
        ("stopping", {"messages": [PUSH, UPSTREAMS], "stop": True, "ready": False}),
    ]
    stop = False

    def test_admission(self):
        """The setting decides whether new flows are admitted by their value."""
        core, _ = make_core()
        core.routes.apply(routes_push(route(terms=terms("single", 1, 0, 0))))
        core.pool.apply_states([state()], 0, current=True)
        for choice, classes in (("off", 0), ("on", 1)):
            core.set_admission(choice)
            core.forwarder.handle_packet(syn(port=len(choice)), 0, [])
            self.assertEqual(classes, len(core.dump()["admission"]))

    def test_ready(self):
        core, (first, _) = make_core()
        for message in self.messages:
            core.handle_message(message, first, 0)
        if self.stop:
            core.stop()
        self.assertEqual(self.ready, core.is_ready)


class CurrentState(testtools.TestCase):
    """The state is current while at least one replica has a leader."""

    def test_current(self):
        core, (first, second) = make_core()
        core.handle_message(control_state(current=True), first, 0)
        core.handle_message(control_state(current=False), second, 0)
        self.assertTrue(core.forwarder.has_leader)
        core.remove_subscription(first, "no heartbeat")
        self.assertFalse(core.forwarder.has_leader)
        self.assertEqual(0, second.stale_since_ms)

    def test_stale_since(self):
        core, (first, _) = make_core()
        core.handle_message(control_state(current=True), first, 100)
        core.handle_message(control_state(current=False), first, 200)
        core.handle_message(control_state(current=False), first, 300)
        self.assertEqual(200, first.stale_since_ms)


class GoneReplica(testscenarios.TestWithScenarios, testtools.TestCase):
    """A forwarder forgets a replaced replica once one with a leader lists it no more.

    Guards against a forwarder that spends its time on connections to replaced VMs.
    """

    scenarios = [
        ("with a leader", {"current": True, "known": {FIRST, SECOND}}),
        ("without a leader", {"current": False, "known": {FIRST, SECOND, GONE}}),
    ]

    def test_known(self):
        selector = make_selector()
        core, (first, _) = make_core(selector=selector)
        message = control_state(current=True)
        core.handle_message(message.replace(replicas=replicas(GONE)), first, 0)
        self.assertEqual([FIRST, GONE], sorted(core.dump()["replicas"]))
        while selector.acquire(0) != GONE:
            pass
        selector.release_address(GONE, failed=True, stale=False, now_ms=0)
        message = control_state(current=self.current)
        core.handle_message(message.replace(replicas=replicas(SECOND)), first, 1)
        self.assertEqual(self.known, set(core.dump()["replicas"]))


class ColdRequests(testtools.TestCase):
    """Requests for permits go to the home if it is subscribed.

    Without a stream they are dropped, or they would fill the memory.
    """

    def test_stream(self):
        core, (first, second) = make_core()
        first.outbox, second.outbox = "to first", "to second"
        for subscription in (first, second):
            message = control_state(current=True)
            message = message.replace(replicas=replicas(FIRST, SECOND))
            core.handle_message(message, subscription, 0)
        core.handle_message(
            UpstreamsPush(whole=True, states=[state(home=2, cold_ms=9_000)]), first, 0
        )
        (upstream,) = core.pool.all()
        permits = core.forwarder.cold_permits
        permits.request(upstream, 0)
        ((_, stream),) = core.pop_cold_requests(10)
        self.assertIs(second, stream)
        for subscription in (first, second):
            core.remove_subscription(subscription, "no heartbeat")
        permits.request(upstream, 100)
        self.assertEqual([], core.pop_cold_requests(200))
        self.assertTrue(permits.has_unsent)
        core.pop_cold_requests(300)
        self.assertFalse(permits.has_unsent)


class TwoReplicaPushes(testtools.TestCase):
    """Differences from two replicas with different bases don't corrupt the routes.

    Each replica combines revisions on its own, so a difference may be based on a
    revision that this forwarder has already left.
    """

    def test_coalesced(self):
        """The second replica skips revision 2, the only one that has the route."""
        core, (first, second) = make_core()
        core.handle_message(routes_push(revision=1), first, 0)
        core.handle_message(routes_push(route(), revision=2, base=1), first, 0)
        core.handle_message(routes_push(revision=3, base=1), second, 0)
        self.assertEqual([2, True], [core.routes.revision, second.needs_full_routes])
        core.handle_message(routes_push(revision=3), second, 0)
        self.assertEqual([3, 0], [core.routes.revision, len(core.routes)])

    def test_push_of_known_revision(self):
        """A push of a revision that is already held doesn't lead to a request."""
        core, (first, second) = make_core()
        core.handle_message(routes_push(revision=2), first, 0)
        core.handle_message(routes_push(revision=2, base=1), second, 0)
        self.assertFalse(second.needs_full_routes)
