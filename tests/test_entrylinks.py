"""tests.test_entrylinks: Tests of the links and service sockets of an entry."""

import collections

import curio
import testscenarios
import testtools

from knapweeddeal.actions import (
    Address,
    Dial,
    ToCaller,
    ToPeer,
    ToStream,
    ToUpstream,
    UpstreamKey,
)
from knapweeddeal.entrycore import Identity
from knapweeddeal.entrylinks import EntryLinks
from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.inbox import Inbox
from knapweeddeal.messages.upstream import FlowClose
from knapweeddeal.outbox import Outbox
from knapweeddeal.settings import Settings
from tests.processes import free_port

HOST = "127.0.0.1"
ADDRESS = Address(host=HOST, port=1)
SETTINGS = Settings(path="", values={"stream_timeout_ms": 300, "heartbeat_ms": 50})
KEY = UpstreamKey(service="s", upstream_id="u", incarnation=1)
MESSAGE = FlowClose(flow_id=7)
#: Numbers of an open and a closed stream of a peer.
OPEN, CLOSED = 1, 2


class Tasks(curio.TaskGroup):
    """Record spawned tasks and cancel them at the end of the block."""

    def __init__(self):
        super().__init__(wait=None)
        self.spawned = []

    async def spawn(self, run, *, daemon):
        """Start a task."""
        self.spawned.append(run)
        return await super().spawn(run, daemon=daemon)


class LinksTest(testtools.TestCase):
    """Create the links of an entry, with one stream that a peer opened."""

    def setUp(self):
        super().setUp()
        self.counters = collections.Counter()
        self.stream = Outbox()
        self.tasks = Tasks()
        self.links = EntryLinks(
            identity=Identity(entry_id="e", incarnation=2, zone="z", address=ADDRESS),
            settings=SETTINGS,
            inbox=Inbox(max_events=10),
            tasks=self.tasks,
            heartbeats=Heartbeats(settings=SETTINGS),
            control=Outbox(),
            presence=Inbox(max_events=10),
            handle_unsent=lambda message, _: [ToStream(stream=OPEN, message=message)],
            count=lambda name: self.counters.update([name]),
        )
        self.links.add_stream(OPEN, self.stream)


class Perform(testscenarios.TestWithScenarios, LinksTest):
    """Actions without a target are counted, and existing links are reused."""

    scenarios = [
        (
            "caller",
            {
                "action": ToCaller(service="s", caller=ADDRESS, message=MESSAGE),
                "dropped": {"dropped_to_caller": 2},
            },
        ),
        (
            "stream",
            {
                "action": ToStream(stream=CLOSED, message=MESSAGE),
                "dropped": {"dropped_to_stream": 2},
            },
        ),
        (
            "upstream",
            {
                "action": ToUpstream(key=KEY, message=MESSAGE),
                "dropped": {"dropped_to_upstream": 2},
                "alternative_messages": [MESSAGE, MESSAGE],
            },
        ),
        ("dial", {"action": Dial(key=KEY, address=ADDRESS), "upstreams": [KEY]}),
        (
            "peer",
            {"action": ToPeer(address=ADDRESS, message=MESSAGE), "peers": [ADDRESS]},
        ),
    ]
    dropped, alternative_messages, upstreams, peers = {}, [], [], []

    def test_perform_twice(self):
        async def perform():
            async with self.tasks:
                self.links.perform(self.action)
                self.links.perform(self.action)
                state = self.links.state()
                await self.links.flush_pending()
                await self.links.flush_pending()
            return state

        state = curio.run(perform)
        self.assertEqual(self.dropped, self.counters)
        self.assertEqual(self.alternative_messages, self.stream.unsent())
        self.assertEqual(self.upstreams, state["upstreams"])
        self.assertEqual(self.peers, state["peers"])
        links = len(self.upstreams) + len(self.peers)
        self.assertEqual(links, len(self.tasks.spawned))


class RemovedLink(LinksTest):
    """Removing a link returns its unsent messages once.

    Messages lost here would leave requests without an outcome.
    """

    def test_unsent_messages(self):
        self.links.perform(Dial(key=KEY, address=ADDRESS))
        self.links.perform(ToUpstream(key=KEY, message=MESSAGE))
        self.assertEqual([MESSAGE], self.links.remove_upstream(KEY))
        self.assertEqual([], self.links.remove_upstream(KEY))


class ServiceSockets(LinksTest):
    """Sockets follow the service addresses; an unchanged one isn't reopened."""

    def test_changed_addresses(self):
        kept, moved, new = (Address(host=HOST, port=free_port()) for _ in range(3))
        first = {"a": kept, "b": moved}
        second = {"a": kept, "b": new, "c": moved}

        async def set_addresses():
            states = []
            async with self.tasks:
                for addresses in first, {**second, "d": new}:
                    await self.links.set_service_addresses(addresses)
                    states.append(self.links.state()["ports"])
            return states

        self.assertEqual([first, second], curio.run(set_addresses))
        self.assertEqual(4, len(self.tasks.spawned))
