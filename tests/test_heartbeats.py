"""tests.test_heartbeats: Tests of heartbeats on many streams."""

import types

import curio
import testtools

from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.outbox import Outbox

SETTINGS = types.SimpleNamespace(heartbeat_ms=10)
#: Heartbeats after which a stream is removed.
HEARTBEATS = 3


class AddedStreams(testtools.TestCase):
    """Every added stream gets heartbeats until it is removed."""

    def test_heartbeats_until_removed(self):
        kept, removed = Outbox(), Outbox()

        async def script():
            heartbeats = Heartbeats(settings=SETTINGS)
            await heartbeats.add(kept)
            await heartbeats.add(removed)
            self.assertEqual([Heartbeat()], kept.unsent())
            task = await curio.spawn(heartbeats.run)
            while len(removed.unsent()) < HEARTBEATS:
                await curio.sleep(0.001)
            heartbeats.remove(removed)
            while len(kept.unsent()) < 2 * HEARTBEATS:
                await curio.sleep(0.001)
            await task.cancel()

        curio.run(curio.timeout_after, 10, script)
        self.assertEqual(HEARTBEATS, len(removed.unsent()))
        self.assertEqual(0, kept.offered)
