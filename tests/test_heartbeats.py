"""tests.test_heartbeats: Tests of heartbeats on many streams."""

import types

import curio
import testtools

from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.outbox import Outbox

SETTINGS = types.SimpleNamespace(heartbeat_ms=10)
#: Beats after which a stream is removed.
ENOUGH = 3


class Beats(testtools.TestCase):
    """Every stream that was added beats, until it is removed."""

    def test_all_and_none_after_removal(self):
        kept, removed = Outbox(), Outbox()

        async def script():
            heartbeats = Heartbeats(settings=SETTINGS)
            await heartbeats.add(kept)
            await heartbeats.add(removed)
            self.assertEqual([Heartbeat()], kept.unsent())
            task = await curio.spawn(heartbeats.run)
            while len(removed.unsent()) < ENOUGH:
                await curio.sleep(0.001)
            heartbeats.remove(removed)
            while len(kept.unsent()) < 2 * ENOUGH:
                await curio.sleep(0.001)
            await task.cancel()

        curio.run(curio.timeout_after, 10, script)
        self.assertEqual(ENOUGH, len(removed.unsent()))
        self.assertEqual(0, kept.offered)
