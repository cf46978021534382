"""bench.loadexchange: Messages between simulated forwarders and replicas, with delays.

Counts, sums and pushes are carried; `tests.placementreplay` plays requests through the
forwarders.
"""

import random

from knapweeddeal.loadsums import TICK_INTERVAL_MS, LoadSums
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.loads import RequestCounts
from knapweeddeal.upstreamtable import UpstreamTable

__all__ = ["LoadExchange"]


class LoadExchange:
    """Carry counts, sums and loads between forwarders and replicas, with delays.

    Each forwarder reports to one replica of its zone and gets that one's pushes, every
    half a second at a phase of its own. `delay_ms` passes between sending and receipt.
    Zones in `cut` reach no other zone; no push arrives after `pushes_end_ms`.
    """

    def __init__(
        self, *, replicas_per_zone=2, delay_ms=20, cut=(), pushes_end_ms=None, seed=1
    ):
        self.replicas_per_zone = replicas_per_zone
        self.messages = self.bytes = self.pushes = self.push_bytes = 0
        #: Zones that flows were told to leave.
        self.leaving_zones = set()
        self._delay_ms = delay_ms
        self._cut = cut
        self._pushes_end_ms = pushes_end_ms
        self._rng = random.Random(seed)
        self._replicas = {}
        self._reporters = {}

    def start(self, placement, states):
        """Start replicas, which hold the states, and the timers of all parties."""
        per_zone = self.replicas_per_zone
        homes = {
            zone: range(1 + n * per_zone, 1 + (n + 1) * per_zone)
            for n, zone in enumerate(placement.forwarders)
        }
        for zone, identities in homes.items():
            for own in identities:
                table = UpstreamTable(own_identity=own, report_ms=1_000)
                for n, one in enumerate(states):
                    home = homes[one.zone][n % per_zone]
                    table.apply_state(one.replace(home=home), 0)
                sums = LoadSums(table=table, own_identity=own)
                self._replicas[zone, own] = sums
                self._reporters[own] = []
                self._every(placement, self._tick, zone, own, sums)
        for zone, harnesses in placement.forwarders.items():
            for number, harness in enumerate(harnesses):
                own = homes[zone][number % per_zone]
                self._reporters[own].append(harness)
                self._every(placement, self._report, zone, own, harness)

    def _every(self, placement, action, *arguments):
        """Run an action every half a second, from a random moment on."""

        def run(now_ms):
            action(placement, now_ms, *arguments)
            placement.at(now_ms + TICK_INTERVAL_MS, run)

        placement.at(self._rng.uniform(0, TICK_INTERVAL_MS), run)

    def _report(self, placement, now_ms, zone, own, harness):
        totals = harness.forwarder.pop_request_totals(int(now_ms))
        if totals:
            counts = decode(encode(RequestCounts.of(totals))).counts
            sums = self._replicas[zone, own]
            placement.at(
                now_ms + self._delay_ms, lambda _: sums.add_counts(zone, counts)
            )

    def _tick(self, placement, now_ms, zone, own, sums):
        message = sums.advance(int(now_ms))
        if message is not None:
            data = encode(message)
            for (other_zone, other), other_sums in self._replicas.items():
                is_cut = zone != other_zone and {zone, other_zone} & set(self._cut)
                if other != own and not is_cut:
                    self.messages += 1
                    self.bytes += len(data)
                    placement.at(
                        now_ms + self._delay_ms,
                        lambda at_ms, to=other_sums: to.set_replica_sums(
                            decode(data), int(at_ms)
                        ),
                    )
        push = sums.push(int(now_ms))
        is_lost = self._pushes_end_ms is not None and now_ms >= self._pushes_end_ms
        if push is None or is_lost:
            return
        push_data = encode(push)
        for service in push.services:
            self.leaving_zones |= {z.zone for z in service.zones if z.leave_milli}
        for harness in self._reporters[own]:
            self.pushes += 1
            self.push_bytes += len(push_data)
            placement.at(
                now_ms + self._delay_ms,
                lambda at_ms, to=harness: to.pool.shared_loads.apply(
                    decode(push_data), int(at_ms)
                ),
            )
