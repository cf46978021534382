"""tests.placementreplay: Requests through forwarders to simulated upstreams."""

import heapq
import itertools
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
ANSWER_BYTES = 2_000
REJECTION_BYTES = 120
#: Mean pause of a caller between two requests of a flow.
PAUSE_MS = 300


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
    """Count requests that were late or shed, and those that crossed zones.

    `by_upstream` counts the flows that were opened, by address.
    """

    def __init__(self):
        self.requests = self.late = self.shed = self.crossed = 0
        self.by_upstream = {}

    @property
    def bad_share(self):
        """Return the share of requests that were late or shed."""
        return (self.late + self.shed) / self.requests

    @property
    def crossed_share(self):
        """Return the share of requests that crossed zones."""
        return self.crossed / self.requests


class Placement:
    """Play requests of some zones, in the order of their arrival.

    `exchange` shares the load of all forwarders; `requests_per_flow` above 1 keeps
    flows open, so that later requests can't be placed anew.
    """

    def __init__(self, *, zones, seed=7, exchange=None, requests_per_flow=1):
        self._rng = random.Random(seed)
        self._zones = zones
        self._requests_per_flow = requests_per_flow
        self._upstreams, states = {}, []
        self._zone_of = {}
        for zone in zones:
            for factor in zone.upstreams:
                number = len(states) + 1
                states.append(state(number, zone=zone.name))
                self._upstreams[f"10.0.0.{number}"] = Upstream(factor=factor)
                self._zone_of[f"10.0.0.{number}"] = zone.name
        self.forwarders = {
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
        self._events = []
        self._event_numbers = itertools.count()
        if exchange is not None:
            exchange.start(self, states)

    @property
    def pools(self):
        """Return the pool of each forwarder."""
        return [h.pool for harnesses in self.forwarders.values() for h in harnesses]

    def address(self, zone, number):
        """Return the address of an upstream by its number in a zone."""
        addresses = [host for host, name in self._zone_of.items() if name == zone]
        return addresses[number]

    def at(self, at_ms, action):
        """Run an action, which gets the time, at a time."""
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def play(self, *, duration_ms, counted_from_ms=0):
        """Return the outcome of the requests after a time."""
        outcome = Outcome()
        for number, (now_ms, zone) in enumerate(self._arrivals(duration_ms)):
            self._run_events(now_ms)
            counted = outcome if now_ms >= counted_from_ms else Outcome()
            self._open_flow(number + 1, now_ms, zone, counted)
        return outcome

    def _arrivals(self, duration_ms):
        arrivals = []
        for zone in self._zones:
            now_ms = 0.0
            while now_ms < duration_ms:
                rate = zone.per_s / 1_000 / self._requests_per_flow
                now_ms += self._rng.expovariate(rate)
                arrivals.append((int(now_ms), zone.name))
        return sorted(arrivals)

    def _open_flow(self, port, now_ms, zone, outcome):
        harness = self._rng.choice(self.forwarders[zone])
        (host, _), echo = harness.open(port=port, now_ms=now_ms)
        outcome.by_upstream[host] = outcome.by_upstream.get(host, 0) + 1
        flow = (port, harness, host, echo, self._zone_of[host] != zone)
        self._run_request(flow, now_ms, outcome, self._requests_per_flow - 1, 0)

    def _run_request(self, flow, now_ms, outcome, left, acknowledged):
        port, harness, host, echo, crossed = flow
        outcome.requests += 1
        outcome.crossed += crossed
        factor = self._rng.lognormvariate(0, 0.5)
        end_ms = self._upstreams[host].run(now_ms, factor)
        length = ANSWER_BYTES
        if end_ms is None:
            outcome.shed += 1
            end_ms, length = now_ms, REJECTION_BYTES
        outcome.late += end_ms - now_ms > AIM_MS
        fields = {"port": port, "echo": echo, "copy": acknowledged + length}

        def end(at_ms):
            harness.handle_packet(packet(flags=ACK, **fields), at_ms)
            if not left:
                harness.handle_packet(fin(**fields), at_ms)
                return
            pause_ms = int(self._rng.expovariate(1 / PAUSE_MS))
            self.at(at_ms + pause_ms, send_next)

        def send_next(at_ms):
            data = packet(data=b"x", sequence=7 + acknowledged + length, **fields)
            harness.handle_packet(data, at_ms)
            self._run_request(flow, at_ms, outcome, left - 1, acknowledged + length)

        self.at(int(end_ms), end)

    def _run_events(self, now_ms):
        while self._events and self._events[0][0] <= now_ms:
            at_ms, _, action = heapq.heappop(self._events)
            action(at_ms)
