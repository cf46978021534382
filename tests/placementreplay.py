"""tests.placementreplay: Short requests through forwarders to simulated upstreams."""

import heapq
import random

from knapweeddeal.packetheader import ACK
from tests.packetfakes import ForwarderHarness, fin, packet, route, state

__all__ = ["Outcome", "Placement", "Upstream", "ZoneLoad"]

#: Requests that an upstream queues beside those that it runs.
QUEUE_LENGTH = 8
SLOTS = 2
WORK_MS = 32
#: Time in which a request is to be done on the platform's sites.
AIM_MS = 200


class Upstream:
    """Run requests in slots, one after another from a queue; shed what doesn't fit."""

    def __init__(self, *, factor=1.0):
        self._free_ms = [0.0] * SLOTS
        self._ends_ms = []
        self._factor = factor

    def run(self, now_ms, factor):
        """Return when a request has its answer, or None if it is shed."""
        self._ends_ms = [end_ms for end_ms in self._ends_ms if end_ms > now_ms]
        if len(self._ends_ms) >= SLOTS + QUEUE_LENGTH:
            return None
        start_ms = max(heapq.heappop(self._free_ms), now_ms)
        end_ms = start_ms + WORK_MS * factor * self._factor
        heapq.heappush(self._free_ms, end_ms)
        self._ends_ms.append(end_ms)
        return end_ms


class ZoneLoad:
    """Describe a zone: forwarders, requests a second, and factors of its upstreams."""

    def __init__(self, *, name, forwarders, per_s, upstreams):
        self.name = name
        self.forwarders = forwarders
        self.per_s = per_s
        #: Factor of the work at each upstream, 1 for a normal one.
        self.upstreams = upstreams


class Outcome:
    """Count requests that were late or shed, and those that crossed zones."""

    def __init__(self):
        self.requests = self.late = self.shed = self.crossed = 0

    @property
    def bad_share(self):
        """Return the share of requests that were late or shed."""
        return (self.late + self.shed) / self.requests


class Placement:
    """Play requests of some zones, in the order of their arrival."""

    def __init__(self, *, zones, seed=7):
        self._rng = random.Random(seed)
        self._zones = zones
        self._upstreams, states = {}, []
        self._zone_of = {}
        for zone in zones:
            for factor in zone.upstreams:
                number = len(states) + 1
                states.append(state(number, zone=zone.name))
                self._upstreams[f"10.0.0.{number}"] = Upstream(factor=factor)
                self._zone_of[f"10.0.0.{number}"] = zone.name
        self._forwarders = {
            zone.name: [
                ForwarderHarness(
                    routes=[route()],
                    states=states,
                    number=self._rng.random,
                    zone=zone.name,
                )
                for _ in range(zone.forwarders)
            ]
            for zone in zones
        }
        self._ends = []

    @property
    def pools(self):
        """Return the pool of each forwarder."""
        return [h.pool for harnesses in self._forwarders.values() for h in harnesses]

    def play(self, *, duration_ms, counted_from_ms=0):
        """Return the outcome of the requests after a time."""
        outcome = Outcome()
        for number, (now_ms, zone) in enumerate(self._arrivals(duration_ms)):
            self._end_flows(now_ms)
            counted = outcome if now_ms >= counted_from_ms else Outcome()
            self._play_request(number + 1, now_ms, zone, counted)
        return outcome

    def _arrivals(self, duration_ms):
        arrivals = []
        for zone in self._zones:
            now_ms = 0.0
            while now_ms < duration_ms:
                now_ms += self._rng.expovariate(zone.per_s / 1_000)
                arrivals.append((int(now_ms), zone.name))
        return sorted(arrivals)

    def _play_request(self, port, now_ms, zone, outcome):
        harness = self._rng.choice(self._forwarders[zone])
        (host, _), echo = harness.open(port=port, now_ms=now_ms)
        outcome.requests += 1
        outcome.crossed += self._zone_of[host] != zone
        factor = self._rng.lognormvariate(0, 0.5)
        end_ms = self._upstreams[host].run(now_ms, factor)
        if end_ms is None:
            outcome.shed += 1
            end_ms = now_ms
        outcome.late += end_ms - now_ms > AIM_MS
        heapq.heappush(self._ends, (int(end_ms), port, harness, echo))

    def _end_flows(self, now_ms):
        while self._ends and self._ends[0][0] <= now_ms:
            end_ms, port, harness, echo = heapq.heappop(self._ends)
            acknowledgment = packet(port=port, echo=echo, flags=ACK)
            harness.handle_packet(acknowledgment, end_ms)
            harness.handle_packet(fin(port=port, echo=echo), end_ms)
