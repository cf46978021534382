"""tests.test_replicalink: Tests of the links between control replicas."""

import curio
import testscenarios
import testtools

from knapweeddeal import replicalink
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.replicalink import LinkPool
from knapweeddeal.stream import serve
from tests.processes import free_port

HOST = "127.0.0.1"
WAIT_S = 1.0


class Limit(testscenarios.TestWithScenarios, testtools.TestCase):
    """At the limit, a new replica takes the place of one that was replaced.

    Guards against replicas that can't link to new ones after many replacements.
    """

    LIMIT = 3
    scenarios = [
        ("below the limit", {"down": 2, "members": 0, "is_linked": True}),
        ("one replaced", {"down": 3, "members": 2, "is_linked": True}),
        ("only members", {"down": 3, "members": 3, "is_linked": False}),
    ]

    def test_new_replica(self):
        self.patch(replicalink, "MAX_LINKS", self.LIMIT)
        self.assertEqual(self.is_linked, curio.run(self._is_linked))

    async def _is_linked(self):
        """Return whether a replica is connected to after others that are down."""
        connected = curio.Event()

        async def accept(_stream):
            await connected.set()

        address = (HOST, free_port())
        server = await curio.spawn(serve, address, accept, daemon=True)
        pool = LinkPool(events=curio.Queue(), heartbeat_ms=100, timeout_ms=500)
        pool.hello = lambda: [Heartbeat()]
        down = [(HOST, free_port()) for _ in range(self.down)]
        pool.members = frozenset(down[: self.members])
        for one in [*down, address]:
            await pool.connect_to(one)
        await curio.ignore_after(WAIT_S, connected.wait)
        await pool.close()
        await server.cancel()
        return connected.is_set()
