"""tests.test_links: Tests of links to upstreams and peers, and of their queues."""

import curio
import testscenarios
import testtools

from knapweeddeal import outbox
from knapweeddeal.actions import Address, UpstreamKey
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.entrycore import Identity
from knapweeddeal.errors import KnapweeddealError, UnreachableError
from knapweeddeal.events import PeerDown, Undeliverable, UpstreamDown, UpstreamUp
from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.inbox import Inbox
from knapweeddeal.messages import encode
from knapweeddeal.messages.peer import PeerHello, Relay
from knapweeddeal.messages.upstream import (
    READY,
    Announce,
    FlowClose,
    FlowOpen,
    Heartbeat,
    StreamHello,
    StreamWelcome,
)
from knapweeddeal.peerlink import PeerLink
from knapweeddeal.settings import Settings
from knapweeddeal.stream import connect, serve
from knapweeddeal.upstream import UpstreamServer
from knapweeddeal.upstreamlink import UpstreamLink
from tests.processes import free_port

HOST = "127.0.0.1"
SETTINGS = Settings(path="", values={"stream_timeout_ms": 300, "heartbeat_ms": 50})
KEY = UpstreamKey(service="s", upstream_id="u", incarnation=1)
IDENTITY = Identity(
    entry_id="e", incarnation=2, zone="z", address=Address(host=HOST, port=1)
)
WELCOME = StreamWelcome(service="s", upstream_id="u", upstream_incarnation=1)
HELLO = StreamHello(
    service="s",
    upstream_id="u",
    upstream_incarnation=1,
    entry_id="e",
    entry_incarnation=2,
)
RELAY = Relay(caller_host="h", caller_port=1, datagram=b"x")


class FakeServer:
    """Accept streams, record their messages, and echo heartbeats unless disabled."""

    def __init__(self, *, first, answers_heartbeats=True):
        self.received = []
        self.address = Address(host=HOST, port=free_port())
        self._first = first
        self._answers_heartbeats = answers_heartbeats

    async def run(self):
        """Serve until cancelled."""
        await serve((self.address.host, self.address.port), self._serve_stream)

    async def _serve_stream(self, stream):
        await stream.receive()
        if self._first is not None:
            await stream.send(self._first)
        while True:
            try:
                message = await stream.receive()
            except KnapweeddealError:
                return
            if type(message) is not Heartbeat:
                self.received.append(message)
            elif self._answers_heartbeats:
                await stream.send(message)


async def with_server(fake_server, action):
    """Run an action while a server accepts streams."""
    task = await curio.spawn(fake_server.run)
    await curio.sleep(0)
    try:
        return await curio.timeout_after(5, action)
    except curio.TaskTimeout:
        raise AssertionError("expected the action to end within 5 s") from None
    finally:
        await task.cancel()


async def connected(address):
    """Return a stream to an address, retrying until a server listens there."""
    while True:
        try:
            return await connect(address, timeout_ms=1_000)
        except UnreachableError:
            await curio.sleep(0.01)


def upstream_link(address, inbox):
    """Return a link to an upstream."""
    return UpstreamLink(
        key=KEY,
        address=address,
        identity=IDENTITY,
        settings=SETTINGS,
        inbox=inbox,
        heartbeats=Heartbeats(settings=SETTINGS),
    )


class WrongUpstream(testscenarios.TestWithScenarios, testtools.TestCase):
    """An entry sends nothing on a stream to any but the dialed upstream.

    After a restart another upstream or incarnation may listen at the same address.
    """

    scenarios = [
        ("service", {"welcome": WELCOME.replace(service="t")}),
        ("id", {"welcome": WELCOME.replace(upstream_id="v")}),
        ("incarnation", {"welcome": WELCOME.replace(upstream_incarnation=9)}),
        ("no welcome", {"welcome": FlowClose(flow_id=1)}),
        ("no message", {"welcome": None}),
    ]

    def test_entry_sends_nothing(self):
        fake_server = FakeServer(first=self.welcome, answers_heartbeats=False)
        inbox = Inbox(max_events=10)
        link = upstream_link(fake_server.address, inbox)
        link.outbox.put(FlowClose(flow_id=7))
        curio.run(with_server, fake_server, link.run)
        self.assertEqual([], fake_server.received)
        self.assertEqual([UpstreamDown(key=KEY)], curio.run(inbox.get_batch, 9))
        self.assertEqual([FlowClose(flow_id=7)], link.outbox.unsent())


class WrongHello(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream ignores messages on a stream meant for another upstream."""

    scenarios = [
        ("service", {"hello": HELLO.replace(service="t"), "flows": 0}),
        ("id", {"hello": HELLO.replace(upstream_id="v"), "flows": 0}),
        ("incarnation", {"hello": HELLO.replace(upstream_incarnation=9), "flows": 0}),
        ("no hello", {"hello": FlowClose(flow_id=1), "flows": 0}),
        ("own hello", {"hello": HELLO, "flows": 1}),
    ]

    def test_flows(self):
        port = free_port()
        announce = Announce(
            upstream_id="u",
            incarnation=1,
            sequence=1,
            zone="z",
            service="s",
            host=HOST,
            port=port,
            health_port=0,
            slots=1,
            max_connections=9,
            state=READY,
            drain_ms=0,
        )
        server = UpstreamServer(
            announce=announce,
            announce_to=(HOST, 9),
            application=None,
            clock_ms=monotonic_ms,
        )

        async def send():
            stream = await connected((HOST, port))
            request = FlowOpen(flow_id=1, caller_host="h", caller_port=1)
            try:
                await stream.send_all([self.hello, request])
                while True:
                    await stream.receive_within(300)
            except KnapweeddealError:
                await stream.close()

        curio.run(with_server, server, send)
        self.assertEqual(self.flows, len(server.core.flows))


class SilentUpstream(testtools.TestCase):
    """A stream without messages is closed, and its end is reported once."""

    def test_stream_closed(self):
        fake_server = FakeServer(first=WELCOME, answers_heartbeats=False)
        inbox = Inbox(max_events=10)
        curio.run(
            with_server, fake_server, upstream_link(fake_server.address, inbox).run
        )
        events = curio.run(inbox.get_batch, 9)
        self.assertEqual([UpstreamUp(key=KEY), UpstreamDown(key=KEY)], events)


class LostPeer(testscenarios.TestWithScenarios, testtools.TestCase):
    """Unsent messages to a peer are reported after the link ended."""

    scenarios = [
        ("connection refused", {"listens": False}),
        ("no heartbeats", {"listens": True}),
    ]

    def test_reported(self):
        fake_server = FakeServer(first=None, answers_heartbeats=False)
        inbox = Inbox(max_events=10)
        ended = []
        link = PeerLink(
            address=fake_server.address,
            identity=IDENTITY,
            settings=SETTINGS,
            inbox=inbox,
            on_end=ended.append,
        )
        if self.listens:
            curio.run(with_server, fake_server, link.run)
            expected = [PeerDown(address=fake_server.address)]
        else:
            link.outbox.put(RELAY)
            curio.run(link.run)
            expected = [
                PeerDown(address=fake_server.address),
                Undeliverable(address=fake_server.address, message=RELAY),
            ]
        self.assertEqual(expected, curio.run(inbox.get_batch, 9))
        self.assertEqual([fake_server.address], ended)


class Queues(testtools.TestCase):
    """Queues are bounded: datagrams are shed, streams wait, outboxes reject."""

    def test_inbox(self):
        inbox = Inbox(max_events=2)
        self.assertEqual([False, False, True], [inbox.put_or_shed(n) for n in range(3)])

        async def put_and_take():
            task = await curio.spawn(inbox.put, "last")
            await curio.sleep(0)
            self.assertEqual(2, inbox.qsize())
            await inbox.wake()
            taken = await inbox.get_batch(1)
            await task.join()
            return [*taken, *await inbox.get_batch(9)]

        self.assertEqual([0, 1, "last"], curio.run(put_and_take))

    def test_put_unbounded_exceeds_the_bound(self):
        inbox = Inbox(max_events=1)
        inbox.put_or_shed(0)
        curio.run(inbox.put_unbounded, 1)
        self.assertEqual(2, inbox.qsize())

    def test_outbox(self):
        self.patch(outbox, "MAX_QUEUED_MESSAGES", 2)
        box = outbox.Outbox()
        self.assertEqual([True, True, False], [box.put(n) for n in range(3)])
        self.assertEqual([0, 1], box.unsent())

    def test_offer_with_backpressure_waits_and_leaves_capacity(self):
        self.patch(outbox, "MAX_QUEUED_MESSAGES", 4)
        box = outbox.Outbox()

        async def offer():
            tasks = [
                await curio.spawn(box.offer_with_backpressure, n) for n in range(3)
            ]
            await curio.sleep(0)
            waiting = box.unsent()
            await box.close()
            return waiting, [await task.join() for task in tasks]

        self.assertEqual(([0, 1], [True, True, False]), curio.run(offer))

    def test_queued_messages_are_sent_on_the_next_stream(self):
        box = outbox.Outbox()
        hello = PeerHello(name="n", incarnation=1, zone="z")
        box.put(FlowClose(flow_id=3))
        fake_server = FakeServer(first=None)

        async def send():
            stream = await connected(
                (fake_server.address.host, fake_server.address.port)
            )
            await stream.send(hello)
            sender = await curio.spawn(box.send_queued_to, stream)
            while not fake_server.received:
                await curio.sleep(0.01)
            await sender.cancel()
            await stream.close()

        curio.run(with_server, fake_server, send)
        self.assertEqual([FlowClose(flow_id=3)], fake_server.received)


class BusyStream(testtools.TestCase):
    """A stream that always has a message ready leaves other tasks their turn."""

    def test_other_tasks_run(self):
        fake_server = FakeServer(first=None)

        async def send():
            reader = await connected(
                (fake_server.address.host, fake_server.address.port)
            )
            # Feed the reader directly, so that no read waits for the network.
            reader._unpacker.feed(encode(Heartbeat()) * 1_000)
            turns = []

            async def count():
                while True:
                    turns.append(len(turns))
                    await curio.sleep(0)

            counter = await curio.spawn(count)
            for _ in range(1_000):
                await reader.receive_within(1_000)
            await counter.cancel()
            await reader.close()
            return len(turns)

        self.assertGreater(curio.run(with_server, fake_server, send), 10)
