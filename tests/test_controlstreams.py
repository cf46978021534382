"""tests.test_controlstreams: Tests of the streams that a control replica serves."""

from unittest import mock

import curio
import testscenarios
import testtools

from knapweeddeal.controlstreams import ControlStreams
from knapweeddeal.errors import StreamClosedError
from knapweeddeal.messages.control import Replica, ReplicaHello
from knapweeddeal.messages.packets import (
    NO_EVACUATIONS,
    ControlState,
    PacketConfiguration,
    RoutesRequest,
)
from knapweeddeal.messages.replication import ReplicaState

OTHER = Replica(name="other", identity=2, host="10.0.0.2", port=1)


class FakeStream:
    """Hold the messages that another replica sends before it closes the stream."""

    def __init__(self, messages):
        self._messages = list(messages)
        self.send_all = mock.AsyncMock()

    async def receive(self):
        """Return the next message; raise StreamClosedError after the last one."""
        if not self._messages:
            raise StreamClosedError("closed")
        return self._messages.pop(0)


class OtherCluster(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only replicas of the same cluster may send routes and evacuations.

    Guards against the routes of another cluster, and against ignoring a replica for
    ever that had joined no cluster when its stream was opened.
    """

    MESSAGES = (
        ControlState(zone="zone-a", current=True, revision=9, replicas=[]),
        PacketConfiguration(revision=9, routes=[], document=b"", services=[]),
        RoutesRequest(),
        NO_EVACUATIONS,
    )

    scenarios = [
        ("the same", {"own": 7, "stated": [7], "is_accepted": True}),
        ("another", {"own": 7, "stated": [8], "is_accepted": False}),
        ("none yet", {"own": 7, "stated": [0], "is_accepted": False}),
        ("joined later", {"own": 7, "stated": [0, 7], "is_accepted": True}),
        ("joined another later", {"own": 7, "stated": [0, 8], "is_accepted": False}),
        ("this one has none yet", {"own": 0, "stated": [7], "is_accepted": True}),
    ]

    def test_messages(self):
        core, events, hub_events = mock.Mock(), curio.Queue(), curio.Queue()
        core.cluster = self.own
        core.hello.return_value = ()
        streams = ControlStreams(
            core=core,
            events=events,
            hub_events=hub_events,
            journal=None,
            timeout_ms=1_000,
        )
        states = [
            ReplicaState(replica=OTHER, cluster=cluster, listed=[])
            for cluster in self.stated
        ]
        stream = FakeStream([*states, *self.MESSAGES])
        hello = ReplicaHello(name=OTHER.name, identity=OTHER.identity)
        with self.assertRaises(StreamClosedError):
            curio.run(streams.serve_replica, hello, stream)
        accepted = len(self.MESSAGES) if self.is_accepted else 0
        self.assertEqual(accepted, hub_events.qsize())
        self.assertEqual(len(states), events.qsize())
