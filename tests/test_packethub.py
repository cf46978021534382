"""tests.test_packethub: Tests of the task that serves forwarders."""

import threading
from unittest import mock

import curio
import testscenarios
import testtools
from testtools.matchers import GreaterThan, LessThan

from knapweeddeal.messages.cold import (
    ColdAllowance,
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
    ColdAllowanceRequest,
    ColdGrantsNotice,
)
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.packets import (
    DRAINING,
    GONE,
    NO_EVACUATIONS,
    READY,
    AnswerCount,
    AnswerCounts,
    ControlState,
    DirectoryAck,
    DirectoryBatch,
    ForwarderHello,
    PacketConfiguration,
    PacketHints,
    RoutesPush,
    RoutesRequest,
    ServiceTerms,
    UpstreamsPush,
)
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetevents import (
    ForwarderDisconnected,
    ForwarderMessageReceived,
    ForwarderSubscribed,
    ReplicaMessageReceived,
    ReplicatedStateChanged,
    UpstreamDeparted,
    UpstreamReported,
)
from knapweeddeal.packethub import TICK_INTERVAL_MS, PacketHub
from knapweeddeal.packetroutes import diff_routes, pack_route_keys
from knapweeddeal.replicalink import LinkDown, LinkUp
from tests.packetfakes import route, state

OWN = Replica(name="own", identity=1, host="10.0.0.1", port=1)
OTHER = Replica(name="other", identity=2, host="10.0.0.2", port=1)


class RecordingOutbox:
    """Record the messages that are sent."""

    def __init__(self):
        self.sent = []
        #: Class of which the next message is refused, as if the queue were full.
        self.refused = None

    async def offer(self, message):
        """Record a message unless it is refused."""
        if type(getattr(message, "message", message)) is self.refused:
            self.refused = None
            return False
        self.sent.append(message)
        return True

    def messages_of(self, kind):
        """Return the sent messages of a class."""
        messages = [getattr(sent, "message", sent) for sent in self.sent]
        return [message for message in messages if isinstance(message, kind)]


class AnsweringOutbox(RecordingOutbox):
    """Stand in for the link to a home that grants three permits to each request."""

    queue = None

    async def offer(self, message):
        """Record a message, and answer a request that was passed on."""
        if isinstance(message, ColdAllowanceRelay):
            answer = ColdAllowanceRelayAnswer(
                relay_id=message.relay_id,
                upstream_id=message.upstream_id,
                count=3,
                valid_ms=200,
                retry_ms=0,
            )
            await self.queue.put(answer)
        return await super().offer(message)


class FailingOutbox(RecordingOutbox):
    """Fail for messages of one class, as a fault of the program would."""

    def __init__(self, kind):
        super().__init__()
        self.kind = kind
        self.failures = 0

    async def offer(self, message):
        """Record a message, or raise an error that the hub doesn't expect."""
        if isinstance(getattr(message, "message", message), self.kind):
            self.failures += 1
            raise ZeroDivisionError
        return await super().offer(message)


class FakeHints:
    """Stand in for the hint file: return given hints, and count changes."""

    def __init__(self, hints=None):
        self.hints = hints
        self.collected = None
        self.marked = 0

    def read(self):
        """Return the hints given at the start, or None."""
        return self.hints

    async def mark_dirty(self):
        """Count a change."""
        self.marked += 1


class HubTest(testtools.TestCase):
    """Run a hub with a list of events."""

    def run_hub(self, *events, hints=None, wait_s=0.02, queue_of=None, report_ms=1_000):
        """Run a hub with events and for `wait_s` after them; return its hint file."""
        hint_file = FakeHints(hints)

        async def run():
            queue = curio.Queue()
            if queue_of is not None:
                queue_of.queue = queue
            hub = PacketHub(
                own_replica=OWN,
                zone="zone-a",
                report_ms=report_ms,
                events=queue,
                metrics=Metrics(),
                hints=hint_file,
            )
            task = await curio.spawn(hub.run, daemon=True)
            for event in events:
                if event == "wait":
                    await curio.sleep(TICK_INTERVAL_MS * 1.2 / 1000)
                    continue
                await queue.put(event)
                await curio.sleep(0.005)
            await curio.sleep(wait_s)
            await task.cancel()
            hint_file.collected = hub.hints()

        curio.run(run)
        return hint_file

    @staticmethod
    def link(outbox):
        """Return the event that the link to another replica is up."""
        replica_state = ReplicaState(replica=OTHER, cluster=5, listed=[])
        return LinkUp(state=replica_state, outbox=outbox)

    @staticmethod
    def subscribe(outbox, *, revision=0):
        """Return the event that a forwarder with routes of a revision subscribed."""
        hello = ForwarderHello(name="f", zone="zone-a", revision=revision)
        return ForwarderSubscribed(hello=hello, outbox=outbox)

    @staticmethod
    def replicated(revision, *routes, current=True, evacuations=NO_EVACUATIONS):
        """Return the event of a replicated configuration with some routes."""
        configuration = PacketConfiguration(
            revision=revision, routes=list(routes), document=b"", services=[]
        )
        return ReplicatedStateChanged(
            configuration=configuration,
            current=current,
            evacuations=evacuations,
            replicas=[OWN, OTHER],
        )


class ReportConfirmation(testscenarios.TestWithScenarios, HubTest):
    """A changed report must not be confirmed before the linked replicas have it.

    Otherwise a departure that was confirmed is lost when its replica crashes.
    """

    ACK = DirectoryAck(sender=2, batch_id=1)
    scenarios = [
        ("no linked replica", {"linked": False, "after": [], "confirmed": True}),
        ("acknowledged", {"linked": True, "after": [ACK], "confirmed": True}),
        ("not acknowledged", {"linked": True, "after": [], "confirmed": False}),
        (
            "acknowledgement of another batch",
            {
                "linked": True,
                "after": [DirectoryAck(sender=2, batch_id=9)],
                "confirmed": False,
            },
        ),
        ("timed out", {"linked": True, "after": [], "wait_s": 0.95, "confirmed": True}),
        ("link lost", {"linked": True, "after": ["down"], "confirmed": True}),
    ]
    wait_s = 0.02

    def test_reply(self):
        outbox, reply = RecordingOutbox(), curio.Queue()
        events = [self.link(outbox)] if self.linked else []
        events.append(UpstreamReported(state=state(status=DRAINING), reply=reply))
        down = LinkDown(identity=2, outbox=outbox)
        events += [down if event == "down" else event for event in self.after]
        self.run_hub(*events, wait_s=self.wait_s)
        self.assertEqual(self.confirmed, not reply.empty())

    def test_unchanged_report(self):
        """A report without a change is confirmed without an acknowledgement."""
        outbox, replies = RecordingOutbox(), [curio.Queue(), curio.Queue()]
        self.run_hub(
            self.link(outbox),
            UpstreamReported(state=state(), reply=replies[0]),
            DirectoryAck(sender=2, batch_id=1),
            UpstreamReported(state=state(sequence=2), reply=replies[1]),
        )
        self.assertFalse(replies[1].empty())


class Departures(testscenarios.TestWithScenarios, HubTest):
    """The departure of a draining upstream is confirmed and goes to forwarders.

    Guards against the confirmation of one that changes nothing: its upstream ends, and
    gets new flows until it is silent.
    """

    scenarios = [
        (
            "draining",
            {"status": DRAINING, "pushed": ["draining", "gone"], "confirmed": True},
        ),
        ("ready", {"status": READY, "pushed": ["ready"], "confirmed": False}),
        (
            "of an earlier process",
            {
                "status": READY,
                "born_ms": 1,
                "pushed": ["ready"],
                "confirmed": True,
            },
        ),
        (
            "of a process that isn't known",
            {
                "status": DRAINING,
                "born_ms": 2_000,
                "pushed": ["draining"],
                "confirmed": False,
            },
        ),
    ]
    born_ms = None

    def test_push(self):
        outbox, replies = RecordingOutbox(), [curio.Queue(), curio.Queue()]
        self.run_hub(
            self.subscribe(outbox),
            UpstreamReported(state=state(status=self.status), reply=replies[0]),
            UpstreamDeparted(
                upstream_id="i-1",
                born_ms=self.born_ms,
                sequence=None,
                reply=replies[1],
            ),
        )
        self.assertFalse(replies[1].empty())
        self.assertEqual(self.confirmed, curio.run(replies[1].get))
        pushes = outbox.messages_of(UpstreamsPush)
        states = [one.status for push in pushes for one in push.states]
        self.assertEqual(self.pushed, states)


class DeferredDeparture(HubTest):
    """A departure that was deferred goes to forwarders and replicas once it counts."""

    def test_silent(self):
        forwarder, replica, reply = RecordingOutbox(), RecordingOutbox(), curio.Queue()
        drains = [state(status=DRAINING, born_ms=born_ms) for born_ms in (1_000, 2_000)]
        self.run_hub(
            self.link(replica),
            self.subscribe(forwarder),
            *(UpstreamReported(state=one, reply=curio.Queue()) for one in drains),
            UpstreamDeparted(
                upstream_id="i-1", born_ms=None, sequence=None, reply=reply
            ),
            "wait",
            "wait",
            report_ms=100,
        )
        self.assertFalse(reply.empty())
        pushed = forwarder.messages_of(UpstreamsPush)
        replicated = replica.messages_of(DirectoryBatch)
        for message in (pushed[-1], replicated[-1]):
            self.assertEqual([GONE], [one.status for one in message.states])


class UnknownService(HubTest):
    """An upstream's address counts as its own once its service is configured.

    Guards against a report of another writer that removes a running upstream.
    """

    def statuses(self, *events):
        """Return the pushed states of upstream 1, after a later one at its address."""
        outbox = RecordingOutbox()
        reports = [
            state(1, host="10.0.0.9"),
            state(2, host="10.0.0.9", born_ms=2_000, service="archive"),
        ]
        self.run_hub(
            self.subscribe(outbox),
            self.replicated(3, route()),
            *(UpstreamReported(state=one, reply=curio.Queue()) for one in reports),
            *events,
        )
        pushes = outbox.messages_of(UpstreamsPush)
        states = [one for push in pushes for one in push.states]
        return [one.status for one in states if one.upstream_id == "i-1"]

    def test_unknown(self):
        self.assertEqual([READY], self.statuses())

    def test_configured_later(self):
        later = self.replicated(4, route(), route("archive", port=80))
        self.assertEqual([READY, GONE], self.statuses(later))


class UnexpectedErrors(testscenarios.TestWithScenarios, HubTest):
    """An unexpected error in one event or periodic step is contained.

    Guards against a fault in one message or service that ends the process.
    """

    scenarios = [
        ("report", {"kind": UpstreamsPush, "is_link": False}),
        ("subscription", {"kind": ControlState, "is_link": False}),
        ("routes", {"kind": RoutesPush, "is_link": False}),
        ("heartbeat and batch", {"kind": DirectoryBatch, "is_link": True}),
    ]

    def test_others_are_served(self):
        failing, outbox = FailingOutbox(self.kind), RecordingOutbox()
        first = (self.link if self.is_link else self.subscribe)(failing)
        reports = [
            UpstreamReported(state=state(number), reply=curio.Queue())
            for number in (1, 2)
        ]
        self.run_hub(
            first,
            self.replicated(3, route()),
            *reports,
            "wait",
            self.subscribe(outbox),
        )
        self.assertThat(failing.failures, GreaterThan(0))
        (push,) = outbox.messages_of(RoutesPush)
        self.assertEqual(3, push.revision)
        (push,) = outbox.messages_of(UpstreamsPush)
        self.assertEqual(["i-1", "i-2"], [one.upstream_id for one in push.states])


class Propagation(HubTest):
    """Changes of routes and upstreams reach forwarders and replicas."""

    def test_forwarder_gets_changes(self):
        outbox = RecordingOutbox()
        reply = curio.Queue()
        hint_file = self.run_hub(
            self.replicated(3, route()),
            self.subscribe(outbox),
            UpstreamReported(state=state(), reply=reply),
            self.replicated(4, route(), route(port=8_443)),
        )
        whole, change = outbox.messages_of(RoutesPush)
        self.assertEqual(
            [(3, 0), (4, 3)], [(p.revision, p.base) for p in (whole, change)]
        )
        self.assertEqual(
            [pack_route_keys([route(port=8_443)])], [g.keys for g in change.groups]
        )
        self.assertEqual(2, len(outbox.messages_of(UpstreamsPush)))
        self.assertEqual(["i-1"], [s.upstream_id for s in hint_file.collected.states])

    def test_pushes_shared_by_forwarders(self):
        """Pushes are encoded few times for many forwarders that subscribe at once."""
        outboxes = [RecordingOutbox() for _ in range(20)]
        self.run_hub(
            self.replicated(3, route()),
            UpstreamReported(state=state(), reply=curio.Queue()),
            *map(self.subscribe, outboxes),
        )
        for kind in (RoutesPush, UpstreamsPush):
            sent = {
                id(message)
                for outbox in outboxes
                for message in outbox.sent
                if isinstance(getattr(message, "message", message), kind)
            }
            self.assertThat(len(sent), LessThan(4))

    def test_routes_request(self):
        """A forwarder that requests routes receives all of them."""
        outbox = RecordingOutbox()
        self.run_hub(
            self.replicated(3, route()),
            self.subscribe(outbox),
            ForwarderMessageReceived(message=RoutesRequest(), outbox=outbox),
        )
        self.assertEqual([0, 0], [push.base for push in outbox.messages_of(RoutesPush)])

    def test_subscription_with_current_routes(self):
        """A forwarder with the current routes receives only the later changes."""
        outbox = RecordingOutbox()
        self.run_hub(
            self.replicated(3, route()),
            self.subscribe(outbox, revision=3),
            self.replicated(4, route(), route(port=8_443)),
        )
        (change,) = outbox.messages_of(RoutesPush)
        self.assertEqual([4, 3], [change.revision, change.base])

    def test_push_refused(self):
        """A push that finds the outbox full is repeated with the next heartbeat.

        Guards against a forwarder that keeps old routes until the next publication.
        """
        outbox = RecordingOutbox()
        outbox.refused = RoutesPush
        heartbeat = ForwarderMessageReceived(message=Heartbeat(), outbox=outbox)
        self.run_hub(
            self.subscribe(outbox),
            self.replicated(3, route()),
            heartbeat,
            heartbeat,
        )
        (push,) = outbox.messages_of(RoutesPush)
        self.assertEqual([3, 0], [push.revision, push.base])

    def test_leader_lost(self):
        """Forwarders are notified at once when the replica has no leader."""
        outbox = RecordingOutbox()
        self.run_hub(
            self.replicated(3, route()),
            self.subscribe(outbox),
            self.replicated(3, route(), current=False),
        )
        current = [message.current for message in outbox.messages_of(ControlState)]
        self.assertEqual([True, False], current)

    def test_leader_back(self):
        """Forwarders ignored silent marks without a leader, so they get them again."""
        outbox = RecordingOutbox()
        batch = DirectoryBatch(
            sender=2, batch_id=0, states=[state(1, silent=True), state(2)], beats=[]
        )
        self.run_hub(
            self.replicated(3, route(), current=False),
            self.subscribe(outbox),
            batch,
            self.replicated(3, route(), current=True),
        )
        last_states, *_ = reversed(outbox.messages_of((ControlState, UpstreamsPush)))
        self.assertEqual(["i-1"], [one.upstream_id for one in last_states.states])

    def test_disconnected(self):
        outbox = RecordingOutbox()
        self.run_hub(
            self.subscribe(outbox),
            ForwarderDisconnected(outbox=outbox),
            UpstreamReported(state=state(), reply=curio.Queue()),
        )
        self.assertEqual(1, len(outbox.messages_of(UpstreamsPush)))

    def test_linked_replica(self):
        """A new link gets all states and acknowledgements, not its own batch back."""
        outbox = RecordingOutbox()
        batch = DirectoryBatch(sender=2, batch_id=7, states=[state(2)], beats=[])
        self.run_hub(
            UpstreamReported(state=state(1), reply=curio.Queue()),
            self.link(outbox),
            batch,
        )
        (first,) = outbox.messages_of(DirectoryBatch)
        self.assertEqual(["i-1"], [s.upstream_id for s in first.states])
        self.assertEqual(
            [DirectoryAck(sender=1, batch_id=7)], outbox.messages_of(DirectoryAck)
        )


class RoutesOfReplicas(HubTest):
    """A replica gets the routes that its own log doesn't apply in time from another.

    Guards against forwarders that keep old routes as their replicas' disks are slow.
    """

    def setUp(self):
        super().setUp()
        self.other, self.forwarder = RecordingOutbox(), RecordingOutbox()
        self.begin = [
            self.replicated(3, route()),
            self.subscribe(self.forwarder),
            self.link(self.other),
        ]

    @staticmethod
    def received(message):
        """Return the event of a message from the other replica."""
        return ReplicaMessageReceived(message=message, sender=OTHER.identity)

    def stated(self, revision):
        """Return the event that the other replica holds a revision."""
        return self.received(
            ControlState(zone="zone-b", current=True, revision=revision, replicas=[])
        )

    def pushed(self):
        """Return the revisions that the forwarder got, each with its base."""
        pushes = self.forwarder.messages_of(RoutesPush)
        return [(push.revision, push.base) for push in pushes]

    def test_revision_stated(self):
        """Replicas learn of a held revision with the link, and of each later one."""
        self.run_hub(*self.begin, self.replicated(4, route()))
        stated = [s.revision for s in self.other.messages_of(ControlState)]
        self.assertEqual([3, 4], stated)

    def test_requested(self):
        self.run_hub(*self.begin, self.stated(5), "wait", "wait")
        self.assertEqual(1, len(self.other.messages_of(RoutesRequest)))

    def test_log_in_time(self):
        log_event = self.replicated(5, route())
        self.run_hub(*self.begin, self.stated(5), log_event, "wait", "wait")
        self.assertEqual([], self.other.messages_of(RoutesRequest))

    def test_answered(self):
        """A request is answered with the routes, without the operator's document."""
        first, *rest = self.begin
        configuration = first.configuration.replace(document=b"{}")
        first = first.replace(configuration=configuration)
        self.run_hub(first, *rest, self.received(RoutesRequest()))
        (answer,) = self.other.messages_of(PacketConfiguration)
        self.assertEqual(configuration.replace(document=b""), answer)

    def test_adopted(self):
        """Routes from a replica are pushed, and not again once the log has them."""
        routes = [route(), route(port=8_443)]
        newer = self.replicated(5, *routes)
        hint_file = self.run_hub(
            *self.begin,
            self.received(newer.configuration),
            self.replicated(4, route(port=9_443)),
            newer,
            self.received(self.replicated(4).configuration),
        )
        self.assertEqual([(3, 0), (5, 3)], self.pushed())
        self.assertEqual(routes, hint_file.collected.routes)


class ColdRequests(HubTest):
    """Requests for permits reach the home, and its answer the forwarder.

    A replica that isn't the home must not grant, and one that gives the home up must
    say so before it acknowledges the new home's report.
    """

    def rated(self):
        """Return the event of a configuration whose service states a rate."""
        event = self.replicated(3, route())
        event.configuration.services.append(
            ServiceTerms(
                name=state().service,
                max_connections=0,
                cold_start_ms=2_000,
                cold_per_s_milli=4_000,
            )
        )
        return event

    @staticmethod
    def request(outbox):
        """Return the event of a forwarder's request."""
        message = ColdAllowanceRequest(request_id=7, upstream_id="i-1", count=1)
        return ForwarderMessageReceived(message=message, outbox=outbox)

    def test_passed_on(self):
        forwarder, home = RecordingOutbox(), RecordingOutbox()
        batch = DirectoryBatch(
            sender=2, batch_id=0, states=[state(home=2, cold_ms=9_000)], beats=[]
        )
        subscribed = [self.rated(), self.subscribe(forwarder)]
        events = [*subscribed, self.link(home), batch, self.request(forwarder)]
        self.run_hub(*events)
        (relay,) = home.messages_of(ColdAllowanceRelay)
        self.assertEqual([1, "i-1"], [relay.sender, relay.upstream_id])
        self.assertEqual([], forwarder.messages_of(ColdAllowance))

    def test_answer_passed_back(self):
        forwarder, home = RecordingOutbox(), AnsweringOutbox()
        batch = DirectoryBatch(
            sender=2, batch_id=0, states=[state(home=2, cold_ms=9_000)], beats=[]
        )
        self.run_hub(
            self.rated(),
            self.subscribe(forwarder),
            self.link(home),
            batch,
            self.request(forwarder),
            queue_of=home,
        )
        (allowance,) = forwarder.messages_of(ColdAllowance)
        self.assertEqual([7, 3], [allowance.request_id, allowance.count])

    def test_home_unknown(self):
        """A request for an upstream whose home isn't linked is refused at once."""
        forwarder = RecordingOutbox()
        batch = DirectoryBatch(
            sender=2, batch_id=0, states=[state(home=2, cold_ms=9_000)], beats=[]
        )
        self.run_hub(
            self.rated(), self.subscribe(forwarder), batch, self.request(forwarder)
        )
        (allowance,) = forwarder.messages_of(ColdAllowance)
        self.assertEqual(0, allowance.count)

    def test_home_given_up(self):
        """The notice of a replica that has just started precedes the ack."""
        other = RecordingOutbox()
        claimed = state(home=2, cold_ms=9_000, sequence=2)
        batch = DirectoryBatch(sender=2, batch_id=4, states=[claimed], beats=[])
        self.run_hub(self.rated(), self.link(other), batch)
        notice, ack = other.messages_of((ColdGrantsNotice, DirectoryAck))
        self.assertThat(notice.wait_ms, GreaterThan(0))
        self.assertEqual(4, ack.batch_id)


class OutlierMarking(HubTest):
    """Upstreams that accept flows but don't answer are marked failing by their home."""

    NAMES = [f"i-{number:x}" for number in range(1, 9)]

    def counts(self, *, sender=0, **unanswered):
        """Return counts: ten answers by each upstream, or some unanswered requests."""
        pairs = {name: (10, 0) for name in self.NAMES}
        pairs.update({f"i-{n[1:]}": (0, count) for n, count in unanswered.items()})
        counts = [
            AnswerCount(upstream_id=name, answered=answered, unanswered=missed)
            for name, (answered, missed) in pairs.items()
        ]
        return AnswerCounts(sender=sender, counts=counts)

    def reports(self):
        """Return a report event of each upstream."""
        return [
            UpstreamReported(state=state(n, home=1, sequence=5), reply=curio.Queue())
            for n in range(1, len(self.NAMES) + 1)
        ]

    def marked(self, outbox):
        """Return the upstreams that were pushed to a forwarder as failing."""
        return {
            pushed.upstream_id
            for push in outbox.messages_of(UpstreamsPush)
            for pushed in push.states
            if pushed.failing
        }

    def test_marked_and_replicated(self):
        outbox, replica = RecordingOutbox(), RecordingOutbox()
        counted = ForwarderMessageReceived(message=self.counts(_3=4), outbox=outbox)
        self.run_hub(
            self.link(replica),
            *self.reports(),
            self.subscribe(outbox),
            counted,
            wait_s=0.6,
        )
        self.assertEqual({"i-3"}, self.marked(outbox))
        (last,) = replica.messages_of(AnswerCounts)[-1:]
        self.assertIn(last.sender, (OWN.identity,))
        failing = [
            s
            for b in replica.messages_of(DirectoryBatch)
            for s in b.states
            if s.failing
        ]
        self.assertEqual(["i-3"], [s.upstream_id for s in failing])

    def test_totals_of_two_replicas(self):
        """Two unanswered requests here and two at another replica reach the limit."""
        outbox = RecordingOutbox()
        counted = ForwarderMessageReceived(message=self.counts(_3=2), outbox=outbox)
        replica_counts = AnswerCounts(
            sender=2,
            counts=[AnswerCount(upstream_id="i-3", answered=0, unanswered=2)],
        )
        self.run_hub(
            *self.reports(), self.subscribe(outbox), counted, replica_counts, wait_s=0.6
        )
        self.assertEqual({"i-3"}, self.marked(outbox))

    def test_report_keeps_failing(self):
        outbox = RecordingOutbox()
        counted = ForwarderMessageReceived(message=self.counts(_3=4), outbox=outbox)
        again = UpstreamReported(
            state=state(3, home=1, sequence=6), reply=curio.Queue()
        )
        self.run_hub(
            *self.reports(), self.subscribe(outbox), counted, "wait", again, wait_s=0.1
        )
        self.assertEqual({"i-3"}, self.marked(outbox))
        last = outbox.messages_of(UpstreamsPush)[-1]
        self.assertTrue(last.states[-1].failing)

    def test_next_process(self):
        """What an earlier process left unanswered doesn't mark the next one.

        Guards against an upstream that restarted and gets no flows until the ejection
        of its predecessor ends.
        """
        outbox = RecordingOutbox()
        counted = ForwarderMessageReceived(message=self.counts(_3=4), outbox=outbox)
        restarted = UpstreamReported(
            state=state(3, home=1, born_ms=2_000), reply=curio.Queue()
        )
        self.run_hub(
            *self.reports(),
            self.subscribe(outbox),
            counted,
            "wait",
            restarted,
            "wait",
        )
        self.assertEqual({"i-3"}, self.marked(outbox))
        last = outbox.messages_of(UpstreamsPush)[-1]
        self.assertEqual(
            [(2_000, False)], [(one.born_ms, one.failing) for one in last.states]
        )


class UnreadableRoute(testscenarios.TestWithScenarios, HubTest):
    """Routes of a log that an earlier version wrote are pushed if they can be read.

    Guards against one confirmed route that ends every replica at each start.
    """

    scenarios = [
        (f"{where}, {host!r}", {"host": host, "in_hints": where == "hints"})
        for host in ("127.0.9.08", "::1", "a\0", "")
        for where in ("log", "hints")
    ]

    def test_pushed(self):
        outbox = RecordingOutbox()
        good = route()
        routes = [route(host=self.host), good]
        if self.in_hints:
            hints = RestoredHints.HINTS.replace(routes=routes)
            self.run_hub(self.subscribe(outbox), hints=hints)
        else:
            self.run_hub(self.subscribe(outbox), self.replicated(7, *routes))
        (push,) = outbox.messages_of(RoutesPush)
        self.assertEqual(7, push.revision)
        self.assertEqual([pack_route_keys([good])], [one.keys for one in push.groups])


class RestoredHints(testscenarios.TestWithScenarios, HubTest):
    """After all replicas were killed, forwarders get the last stored hints."""

    HINTS = PacketHints(
        revision=7,
        routes=[route()],
        states=[state()],
        services=[],
        evacuations=NO_EVACUATIONS,
    )
    scenarios = [
        ("no leader yet", {"log_revisions": [], "revisions": [7]}),
        ("log behind the hint", {"log_revisions": [3], "revisions": [7]}),
        ("log at the hint", {"log_revisions": [7], "revisions": [7]}),
        ("log ahead of the hint", {"log_revisions": [3, 9], "revisions": [7, 9]}),
    ]

    def test_hints_pushed(self):
        outbox = RecordingOutbox()
        changes = [
            self.replicated(revision, route()) for revision in self.log_revisions
        ]
        hint_file = self.run_hub(self.subscribe(outbox), *changes, hints=self.HINTS)
        self.assertEqual(
            self.revisions, [push.revision for push in outbox.messages_of(RoutesPush)]
        )
        (push,) = outbox.messages_of(UpstreamsPush)
        self.assertEqual([True], [s.hint for s in push.states])
        self.assertEqual(self.revisions[-1], hint_file.collected.revision)
        self.assertEqual(len(self.revisions) - 1, hint_file.marked)

    def test_confirmed_hint_not_pushed(self):
        """A report that equals its hint is not pushed to forwarders again."""
        outbox = RecordingOutbox()
        report = UpstreamReported(
            state=state(born_ms=1_000, sequence=9), reply=curio.Queue()
        )
        self.run_hub(self.subscribe(outbox), report, hints=self.HINTS)
        self.assertEqual(1, len(outbox.messages_of(UpstreamsPush)))

    def test_hints_not_current(self):
        """Restored routes don't make the replica's state current."""
        outbox = RecordingOutbox()
        self.run_hub(self.subscribe(outbox), hints=self.HINTS)
        (control_state,) = outbox.messages_of(ControlState)
        self.assertFalse(control_state.current)


class RoutesPushInThread(HubTest):
    """Routes are encoded in a thread, once for all forwarders of a base revision.

    With many routes the replicated log, which shares the event loop, lost its leader.
    """

    def test_thread(self):
        def diff_in_thread(old, new):
            threads.append(threading.current_thread())
            return diff_routes(old, new)

        threads = []
        outboxes = [RecordingOutbox(), RecordingOutbox()]
        with mock.patch("knapweeddeal.packethub.diff_routes", diff_in_thread):
            self.run_hub(
                *map(self.subscribe, outboxes), self.replicated(7, route()), wait_s=0.2
            )
        self.assertEqual(1, len(threads))
        self.assertIsNot(threading.main_thread(), threads[0])
        for outbox in outboxes:
            (push,) = outbox.messages_of(RoutesPush)
            self.assertEqual(7, push.revision)
