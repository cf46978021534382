"""tests.test_controlcore: Tests of the task that runs a control replica."""

import tempfile
import threading
from types import SimpleNamespace
from unittest import mock

import curio
import testtools

from knapweeddeal.commandrecords import prepare_publication
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.controlcore import MAX_BYTES_IN_LOOP, ControlCore
from knapweeddeal.controlevents import OperatorRequest, PeerMessage
from knapweeddeal.controlreplica import ControlReplica
from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.operator import FailureAnswer, MetricsRequest
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PublishAnswer,
    PublishedRoutesRequest,
)
from knapweeddeal.messages.replication import (
    NonvoterRecord,
    ReplicaState,
    StopNotice,
)
from knapweeddeal.packetevents import ReplicatedStateChanged
from knapweeddeal.replicalink import LinkUp
from knapweeddeal.storage import DataFolder
from tests.packetfakes import route

ADDRESS = ("127.0.0.1", 1)
SETTINGS = SimpleNamespace(
    control={"r1": ADDRESS},
    election_ms=500,
    heals_itself=False,
    heartbeat_ms=100,
    listen=ADDRESS,
    may_found=True,
    name="r1",
    plan_life_ms=1_000,
    stop_ms=100,
    tolerated_losses=0,
    zones=(),
)


def publication(revision):
    """Return a publication that is too large to be applied in the event loop."""
    configuration = PacketConfiguration(
        revision=revision,
        routes=[route()],
        document=b"x" * MAX_BYTES_IN_LOOP,
        services=[],
    )
    return prepare_publication(configuration)


class LargeCommands(testtools.TestCase):
    """A replica handles events while it applies a large command.

    Heartbeats had to wait for it, so that a majority lost its leader with each large
    configuration.
    """

    #: Longest wait for the gate, so that a test fails instead of hanging.
    GATE_TIMEOUT_S = 5

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = DataFolder(path=folder.name, new_identity=lambda: 1)
        self.addCleanup(self.folder.close)
        self.events = curio.Queue()
        #: Whether the state applies a record now.
        self.applying = False
        #: Records are applied only while this is set.
        self.gate = threading.Event()
        self.error = None

    async def ask(self, message):
        """Return the answer to an operator's message."""
        reply = curio.Queue()
        await self.events.put(OperatorRequest(message=message, reply=reply))
        return await reply.get()

    async def publish(self, revision):
        """Start a publication, and return its task once its record is applied."""
        task = await curio.spawn(self.ask, publication(revision))
        while not self.applying and not task.terminated:
            await curio.sleep(0.01)
        return task

    def run_core(self, use):
        """Run `use()` beside a replica that is the only member; return the task."""
        apply = ConfigurationState.apply

        def apply_slowly(state, index, record):
            self.applying = True
            self.gate.wait(self.GATE_TIMEOUT_S)
            if self.error is not None:
                raise self.error
            answer = apply(state, index, record)
            self.applying = False
            return answer

        async def run():
            core = ControlCore(
                settings=SETTINGS,
                folder=self.folder,
                events=self.events,
                links=mock.Mock(connect_to=mock.AsyncMock()),
                hub_events=curio.Queue(),
            )
            task = await curio.spawn(core.run)
            while isinstance(await self.ask(PublishedRoutesRequest()), FailureAnswer):
                await curio.sleep(0.01)
            await curio.timeout_after(10, use, task)
            await task.cancel()

        with mock.patch.object(ConfigurationState, "apply", apply_slowly):
            curio.run(run)

    def test_other_request_meanwhile(self):
        async def use(_core):
            task = await self.publish(7)
            await self.ask(MetricsRequest())
            self.assertTrue(self.applying)
            self.gate.set()
            self.assertEqual(PublishAnswer(revision=7), await task.join())

        self.run_core(use)

    def test_read_meanwhile(self):
        """A read waits for what was committed before it, and never returns less."""

        async def use(_core):
            task = await self.publish(7)
            read = await curio.spawn(self.ask, PublishedRoutesRequest())
            await self.ask(MetricsRequest())
            self.assertFalse(read.terminated)
            self.gate.set()
            self.assertEqual(7, (await read.join()).configuration.revision)
            await task.join()

        self.run_core(use)

    def test_two_in_order(self):
        async def use(_core):
            tasks = [await self.publish(7), await self.publish(8)]
            self.gate.set()
            answers = [await task.join() for task in tasks]
            self.assertEqual([7, 8], [answer.revision for answer in answers])

        self.run_core(use)

    def test_no_snapshot_meanwhile(self):
        """A snapshot names the index of records that the state may lack still."""

        def take_snapshot(_replica, _log_bytes):
            taken.append(self.applying)

        async def use(_core):
            task = await self.publish(7)
            await self.ask(MetricsRequest())
            self.assertTrue(self.applying)
            self.gate.set()
            await task.join()

        taken = []
        with mock.patch.object(ControlReplica, "take_snapshot", take_snapshot):
            self.run_core(use)
        self.assertEqual({False}, set(taken))

    def test_unknown_command(self):
        """An error that ends the process does so too if it is raised in the thread."""
        self.error = BadMessageError("unknown message tag", field="tag")

        async def use(core):
            await self.publish(7)
            self.gate.set()
            await core.wait()
            self.assertIs(self.error, core.exception)

        self.run_core(use)


class NewLink(testtools.TestCase):
    """A replica that joins while a link opens tells its cluster on that link.

    Its hello said that it had none, so the other replica ignored its messages.
    """

    def test_state_sent(self):
        with tempfile.TemporaryDirectory() as name:
            folder = DataFolder(path=name, new_identity=lambda: 1)
            self.addCleanup(folder.close)
            state = curio.run(self.linked, folder)
        self.assertNotEqual(0, state.cluster)

    async def linked(self, folder):
        """Return the state that a replica sends on a new link."""
        events, outbox = curio.Queue(), mock.Mock(offer=mock.AsyncMock())
        core = ControlCore(
            settings=SETTINGS,
            folder=folder,
            events=events,
            links=mock.Mock(connect_to=mock.AsyncMock()),
            hub_events=curio.Queue(),
        )
        task = await curio.spawn(core.run)
        while not core.cluster:
            await curio.sleep(0.01)
        other = Replica(name="r2", identity=2, host="127.0.0.1", port=2)
        hello = ReplicaState(replica=other, cluster=core.cluster, listed=[])
        await events.put(LinkUp(state=hello, outbox=outbox))
        reply = curio.Queue()
        await events.put(OperatorRequest(message=MetricsRequest(), reply=reply))
        await reply.get()
        await task.cancel()
        sent = [call.args[0] for call in outbox.offer.call_args_list]
        return next(message for message in sent if isinstance(message, ReplicaState))


class Nonvoters(testtools.TestCase):
    """A replica lists nonvoters to its directory and connects to them.

    Guards against two homes of a cold upstream, as a home that is cut off for a short
    time was no longer asked, and against a member that isn't looked for any more.
    """

    OTHER = Replica(name="r2", identity=2, host="127.0.0.1", port=2)

    def test_listed(self):
        curio.run(self.run_core)

    async def run_core(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        data = DataFolder(path=folder.name, new_identity=lambda: 1)
        self.addCleanup(data.close)
        links = mock.Mock(connect_to=mock.AsyncMock())
        events, hub_events = curio.Queue(), curio.Queue()
        core = ControlCore(
            settings=SETTINGS,
            folder=data,
            events=events,
            links=links,
            hub_events=hub_events,
        )
        task = await curio.spawn(core.run)
        record = NonvoterRecord(operator="", request_id="", replicas=[self.OTHER])
        core._replica.state.apply(1, record)
        replicas = []
        while self.OTHER not in replicas:
            event = await curio.timeout_after(5, hub_events.get)
            if isinstance(event, ReplicatedStateChanged):
                replicas = event.replicas
        await self.check_stop_notice(core, events)
        await task.cancel()
        links.connect_to.assert_any_call(("127.0.0.1", 2))
        self.assertIn(("127.0.0.1", 2), links.members)

    async def check_stop_notice(self, core, events):
        """Check that a notice of a replica counts for a time."""
        notice = PeerMessage(sender=2, cluster=core.cluster, message=StopNotice())
        await events.put(notice)
        while not core._stopping_until_ms:
            await curio.sleep(0.01)
        until_ms = core._stopping_until_ms[2]
        self.assertEqual({2}, set(core._stopping(until_ms - 1)))
        self.assertEqual(set(), set(core._stopping(until_ms)))
