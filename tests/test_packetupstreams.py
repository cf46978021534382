"""tests.test_packetupstreams: Tests of the choice of upstreams under simulated load."""

import testscenarios
import testtools

from tests.placementreplay import Placement, ZoneLoad


class OwnZoneFirst(testscenarios.TestWithScenarios, testtools.TestCase):
    """Requests are done in time in their own zone while its upstreams have room.

    Each of four zones has six forwarders and two upstreams, which bear 125 requests a
    second.
    """

    scenarios = [
        ("calm", {"per_s": 40}),
        ("burst of 1.7", {"per_s": 68}),
    ]

    def test_in_time(self):
        zones = [
            ZoneLoad(
                name=f"zone-{letter}", forwarders=6, per_s=self.per_s, upstreams=[1, 1]
            )
            for letter in "abcd"
        ]
        outcome = Placement(zones=zones).play(duration_ms=10_000)
        self.assertLess(outcome.bad_share, 0.01)
        self.assertLess(outcome.crossed / outcome.requests, 0.05)
