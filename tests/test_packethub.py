"""tests.test_packethub: Tests of the task that serves forwarders."""

import curio
import testscenarios
import testtools
from testtools.matchers import LessThan

from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.packets import (
    DRAINING,
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
    UpstreamsPush,
)
from knapweeddeal.messages.replication import ReplicaState
from knapweeddeal.metrics import Metrics
from knapweeddeal.packethub import (
    TICK_INTERVAL_MS,
    ForwarderDisconnected,
    ForwarderMessageReceived,
    ForwarderSubscribed,
    PacketHub,
    ReplicatedStateChanged,
    UpstreamReported,
)
from knapweeddeal.packetroutes import pack_route_keys
from knapweeddeal.replicalink import LinkDown, LinkUp
from tests.packetfakes import route, state

OWN = Replica(name="own", identity=1, host="10.0.0.1", port=1)
OTHER = Replica(name="other", identity=2, host="10.0.0.2", port=1)


class FakeOutbox:
    """Keep what is sent."""

    def __init__(self):
        self.sent = []

    async def offer(self, message):
        """Keep a message."""
        self.sent.append(message)
        return True

    def of(self, kind):
        """Return what was sent of a kind."""
        messages = [getattr(sent, "message", sent) for sent in self.sent]
        return [message for message in messages if isinstance(message, kind)]


class FakeHints:
    """Remember nothing, or some upstreams."""

    def __init__(self, hints=None):
        self.hints = hints
        self.collected = None
        self.marked = 0

    def read(self):
        """Return what was kept."""
        return self.hints

    async def mark_dirty(self):
        """Count a change."""
        self.marked += 1


class HubTest(testtools.TestCase):
    """Run a hub and feed it events."""

    def play(self, *events, hints=None, wait_s=0.02):
        """Let a hub take events, and some time pass; return its hints."""
        kept = FakeHints(hints)

        async def run():
            queue = curio.Queue()
            hub = PacketHub(
                own=OWN,
                zone="zone-a",
                report_ms=1_000,
                events=queue,
                metrics=Metrics(),
                hints=kept,
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
            kept.collected = hub.hints()

        curio.run(run)
        return kept

    @staticmethod
    def link(outbox):
        """Return the event that another replica can be reached."""
        told = ReplicaState(replica=OTHER, cluster=5, listed=[])
        return LinkUp(state=told, outbox=outbox)

    @staticmethod
    def join(outbox, *, revision=0):
        """Return the event that a forwarder with some routes subscribed."""
        hello = ForwarderHello(name="f", zone="zone-a", revision=revision)
        return ForwarderSubscribed(hello=hello, outbox=outbox)

    @staticmethod
    def changed(revision, *routes, current=True):
        """Return the event that other routes are in force."""
        configuration = PacketConfiguration(
            revision=revision, routes=list(routes), document=b""
        )
        return ReplicatedStateChanged(
            configuration=configuration, current=current, replicas=[OWN, OTHER]
        )


class Confirmed(testscenarios.TestWithScenarios, HubTest):
    """A report that changes something is confirmed once other replicas hold it."""

    ACK = DirectoryAck(sender=2, batch_id=1)
    scenarios = [
        ("alone", {"linked": False, "after": [], "confirmed": True}),
        ("acknowledged", {"linked": True, "after": [ACK], "confirmed": True}),
        ("not yet", {"linked": True, "after": [], "confirmed": False}),
        (
            "other's acknowledgement",
            {
                "linked": True,
                "after": [DirectoryAck(sender=2, batch_id=9)],
                "confirmed": False,
            },
        ),
        ("too slow", {"linked": True, "after": [], "wait_s": 0.95, "confirmed": True}),
        ("lost replica", {"linked": True, "after": ["down"], "confirmed": True}),
    ]
    wait_s = 0.02

    def test_reply(self):
        outbox, reply = FakeOutbox(), curio.Queue()
        events = [self.link(outbox)] if self.linked else []
        events.append(UpstreamReported(state=state(status=DRAINING), reply=reply))
        down = LinkDown(identity=2, outbox=outbox)
        events += [down if event == "down" else event for event in self.after]
        self.play(*events, wait_s=self.wait_s)
        self.assertEqual(self.confirmed, not reply.empty())

    def test_unchanged(self):
        """A report with nothing new waits for nobody."""
        outbox, replies = FakeOutbox(), [curio.Queue(), curio.Queue()]
        self.play(
            self.link(outbox),
            UpstreamReported(state=state(), reply=replies[0]),
            DirectoryAck(sender=2, batch_id=1),
            UpstreamReported(state=state(sequence=2), reply=replies[1]),
        )
        self.assertFalse(replies[1].empty())


class Spread(HubTest):
    """Changes reach forwarders and replicas."""

    def test_forwarder(self):
        outbox = FakeOutbox()
        reply = curio.Queue()
        kept = self.play(
            self.changed(3, route()),
            self.join(outbox),
            UpstreamReported(state=state(), reply=reply),
            self.changed(4, route(), route(port=8_443)),
        )
        whole, change = outbox.of(RoutesPush)
        self.assertEqual(
            [(3, 0), (4, 3)], [(p.revision, p.base) for p in (whole, change)]
        )
        self.assertEqual(
            [pack_route_keys([route(port=8_443)])], [g.keys for g in change.groups]
        )
        self.assertEqual(2, len(outbox.of(UpstreamsPush)))
        self.assertEqual(["i-1"], [s.upstream_id for s in kept.collected.states])

    def test_many_forwarders(self):
        """Routes and upstreams are encoded once for forwarders that come together."""
        outboxes = [FakeOutbox() for _ in range(20)]
        self.play(
            self.changed(3, route()),
            UpstreamReported(state=state(), reply=curio.Queue()),
            *map(self.join, outboxes),
        )
        for kind in (RoutesPush, UpstreamsPush):
            sent = {
                id(one)
                for outbox in outboxes
                for one in outbox.sent
                if isinstance(getattr(one, "message", one), kind)
            }
            self.assertThat(len(sent), LessThan(4))

    def test_asks(self):
        """A forwarder that asks gets all routes."""
        outbox = FakeOutbox()
        self.play(
            self.changed(3, route()),
            self.join(outbox),
            ForwarderMessageReceived(message=RoutesRequest(), outbox=outbox),
        )
        self.assertEqual([0, 0], [push.base for push in outbox.of(RoutesPush)])

    def test_holds_routes(self):
        """A forwarder that has the routes gets only what changes."""
        outbox = FakeOutbox()
        self.play(
            self.changed(3, route()),
            self.join(outbox, revision=3),
            self.changed(4, route(), route(port=8_443)),
        )
        (change,) = outbox.of(RoutesPush)
        self.assertEqual([4, 3], [change.revision, change.base])

    def test_leader_lost(self):
        """A forwarder learns at once that this replica hears no leader."""
        outbox = FakeOutbox()
        self.play(
            self.changed(3, route()),
            self.join(outbox),
            self.changed(3, route(), current=False),
        )
        told = [message.current for message in outbox.of(ControlState)]
        self.assertEqual([True, False], told)

    def test_gone(self):
        outbox = FakeOutbox()
        self.play(
            self.join(outbox),
            ForwarderDisconnected(outbox=outbox),
            UpstreamReported(state=state(), reply=curio.Queue()),
        )
        self.assertEqual(1, len(outbox.of(UpstreamsPush)))

    def test_replicas(self):
        """A replica that comes is told all, acknowledged, and not told its own news."""
        outbox = FakeOutbox()
        batch = DirectoryBatch(sender=2, batch_id=7, states=[state(2)], beats=[])
        self.play(
            UpstreamReported(state=state(1), reply=curio.Queue()),
            self.link(outbox),
            batch,
        )
        (told,) = outbox.of(DirectoryBatch)
        self.assertEqual(["i-1"], [s.upstream_id for s in told.states])
        self.assertEqual([DirectoryAck(sender=1, batch_id=7)], outbox.of(DirectoryAck))


class Judged(HubTest):
    """An upstream that takes flows and doesn't answer is marked by its home."""

    NAMES = [f"i-{number:x}" for number in range(1, 9)]

    def counts(self, *, sender=0, **unanswered):
        """Return what was seen: ten answers each, or some requests unanswered."""
        told = {name: (10, 0) for name in self.NAMES}
        told.update({f"i-{n[1:]}": (0, count) for n, count in unanswered.items()})
        counts = [
            AnswerCount(upstream_id=name, answered=one, unanswered=other)
            for name, (one, other) in told.items()
        ]
        return AnswerCounts(sender=sender, counts=counts)

    def reports(self):
        """Return the events that all upstreams reported here."""
        return [
            UpstreamReported(state=state(n, home=1, sequence=5), reply=curio.Queue())
            for n in range(1, len(self.NAMES) + 1)
        ]

    def marked(self, outbox):
        """Return the upstreams that a forwarder was told to be failing."""
        return {
            one.upstream_id
            for push in outbox.of(UpstreamsPush)
            for one in push.states
            if one.failing
        }

    def test_marked(self):
        outbox, replica = FakeOutbox(), FakeOutbox()
        heard = ForwarderMessageReceived(message=self.counts(_3=4), outbox=outbox)
        self.play(
            self.link(replica), *self.reports(), self.join(outbox), heard, wait_s=0.6
        )
        self.assertEqual({"i-3"}, self.marked(outbox))
        (told,) = replica.of(AnswerCounts)[-1:]
        self.assertIn(told.sender, (OWN.identity,))
        failing = [s for b in replica.of(DirectoryBatch) for s in b.states if s.failing]
        self.assertEqual(["i-3"], [one.upstream_id for one in failing])

    def test_sum(self):
        """Two unanswered here and two at another replica's forwarders are enough."""
        outbox = FakeOutbox()
        heard = ForwarderMessageReceived(message=self.counts(_3=2), outbox=outbox)
        told = AnswerCounts(
            sender=2,
            counts=[AnswerCount(upstream_id="i-3", answered=0, unanswered=2)],
        )
        self.play(*self.reports(), self.join(outbox), heard, told, wait_s=0.6)
        self.assertEqual({"i-3"}, self.marked(outbox))

    def test_report_keeps_the_mark(self):
        outbox = FakeOutbox()
        heard = ForwarderMessageReceived(message=self.counts(_3=4), outbox=outbox)
        again = UpstreamReported(
            state=state(3, home=1, sequence=6), reply=curio.Queue()
        )
        self.play(*self.reports(), self.join(outbox), heard, "wait", again, wait_s=0.1)
        self.assertEqual({"i-3"}, self.marked(outbox))
        last = outbox.of(UpstreamsPush)[-1]
        self.assertTrue(last.states[-1].failing)


class Remembered(testscenarios.TestWithScenarios, HubTest):
    """After all replicas were killed, forwarders get what was told before."""

    HINTS = PacketHints(revision=7, routes=[route()], states=[state()])
    scenarios = [
        ("no leader yet", {"core": [], "revisions": [7]}),
        ("log behind the hint", {"core": [3], "revisions": [7]}),
        ("log at the hint", {"core": [7], "revisions": [7]}),
        ("log ahead of the hint", {"core": [3, 9], "revisions": [7, 9]}),
    ]

    def test_pushed(self):
        outbox = FakeOutbox()
        changes = [self.changed(revision, route()) for revision in self.core]
        kept = self.play(self.join(outbox), *changes, hints=self.HINTS)
        self.assertEqual(
            self.revisions, [push.revision for push in outbox.of(RoutesPush)]
        )
        (push,) = outbox.of(UpstreamsPush)
        self.assertEqual([True], [s.hint for s in push.states])
        self.assertEqual(self.revisions[-1], kept.collected.revision)
        self.assertEqual(len(self.revisions) - 1, kept.marked)

    def test_hint_was_right(self):
        """Forwarders that got the hint get no push when the upstream reports."""
        outbox = FakeOutbox()
        report = UpstreamReported(
            state=state(born_ms=1_000, sequence=9), reply=curio.Queue()
        )
        self.play(self.join(outbox), report, hints=self.HINTS)
        self.assertEqual(1, len(outbox.of(UpstreamsPush)))

    def test_nothing_current(self):
        """A remembered route says nothing of a leader."""
        outbox = FakeOutbox()
        self.play(self.join(outbox), hints=self.HINTS)
        (told,) = outbox.of(ControlState)
        self.assertFalse(told.current)
