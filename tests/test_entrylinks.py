"""tests.test_entrylinks: Tests of the links of an entry and of actions on them."""

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
#: A stream that a peer opened, and one that is gone.
OPEN, GONE = 1, 2


class Tasks(curio.TaskGroup):
    """Keep what was spawned; end all of it at the end of the block."""

    def __init__(self):
        super().__init__(wait=None)
        self.spawned = []

    async def spawn(self, run, *, daemon):
        """Start a task."""
        self.spawned.append(run)
        return await super().spawn(run, daemon=daemon)


class LinksTest(testtools.TestCase):
    """Make the links of an entry, and one stream that a peer opened."""

    def setUp(self):
        super().setUp()
        self.counted = collections.Counter()
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
            counters=lambda name: self.counted.update([name]),
        )
        self.links.add_stream(OPEN, self.stream)


class Perform(testscenarios.TestWithScenarios, LinksTest):
    """What can't be performed is counted, and what stands is used again."""

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
                "action": ToStream(stream=GONE, message=MESSAGE),
                "dropped": {"dropped_to_stream": 2},
            },
        ),
        (
            "upstream",
            {
                "action": ToUpstream(key=KEY, message=MESSAGE),
                "dropped": {"dropped_to_upstream": 2},
                "instead": [MESSAGE, MESSAGE],
            },
        ),
        ("dial", {"action": Dial(key=KEY, address=ADDRESS), "upstreams": [KEY]}),
        (
            "peer",
            {"action": ToPeer(address=ADDRESS, message=MESSAGE), "peers": [ADDRESS]},
        ),
    ]
    dropped, instead, upstreams, peers = {}, [], [], []

    def test_twice(self):
        async def perform():
            async with self.tasks:
                self.links.perform(self.action)
                self.links.perform(self.action)
                state = self.links.state()
                await self.links.flush_pending()
                await self.links.flush_pending()
            return state

        state = curio.run(perform)
        self.assertEqual(self.dropped, self.counted)
        self.assertEqual(self.instead, self.stream.unsent())
        self.assertEqual(self.upstreams, state["upstreams"])
        self.assertEqual(self.peers, state["peers"])
        links = len(self.upstreams) + len(self.peers)
        self.assertEqual(links, len(self.tasks.spawned))


class Removed(LinksTest):
    """What a link didn't send is handed back once, when the link is forgotten."""

    def test_upstream(self):
        self.links.perform(Dial(key=KEY, address=ADDRESS))
        self.links.perform(ToUpstream(key=KEY, message=MESSAGE))
        self.assertEqual([MESSAGE], self.links.remove_upstream(KEY))
        self.assertEqual([], self.links.remove_upstream(KEY))


class Ports(LinksTest):
    """Ports follow the wanted addresses; one that stays isn't opened anew."""

    def test_set_twice(self):
        stays, left, new = (Address(host=HOST, port=free_port()) for _ in range(3))
        first = {"a": stays, "b": left}
        then = {"a": stays, "b": new, "c": left}

        async def ports():
            found = []
            async with self.tasks:
                for wanted in first, {**then, "d": new}:
                    await self.links.set_service_addresses(wanted)
                    found.append(self.links.state()["ports"])
            return found

        self.assertEqual([first, then], curio.run(ports))
        self.assertEqual(4, len(self.tasks.spawned))
