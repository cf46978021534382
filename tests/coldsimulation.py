"""tests.coldsimulation: Replicas, forwarders and a cold upstream with faults."""

import functools
import heapq
import itertools
import random

from knapweeddeal.coldbound import ColdBound
from knapweeddeal.coldhome import ColdHome
from knapweeddeal.coldpermits import ColdPermits
from knapweeddeal.messages.cold import (
    ColdAllowance,
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
    ColdAllowanceRequest,
    ColdGrantsNotice,
)
from knapweeddeal.messages.packets import DirectoryAck, DirectoryBatch, ServiceTerms
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetupstreams import PacketUpstream
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import SERVICE, ZONE, state

__all__ = ["BOUND", "Simulation"]

RATE_MILLI = 4_000
COLD_BOUND = ColdBound(over=1.5, slack=5)
BOUND = COLD_BOUND.count(RATE_MILLI)
REPORT_MS, TICK_MS = 1_200, 500
REPLICAS, FORWARDERS = (1, 2, 3), ("f1", "f2", "f3")
UPSTREAM = "i-1"
#: Longest way of a packet to the upstream, and time between SYNs at a forwarder.
MAX_TRANSIT_MS, SYN_INTERVAL_MS = 30, 25


class Stream:
    """Deliver messages in order with delays; a cut loses all that is on the way."""

    def __init__(self, network, source, target):
        self.network, self.source, self.target = network, source, target
        self.is_up, self.last_ms = True, 0

    def offer(self, message):
        """Send a message."""
        delay_ms = self.network.delay_ms()
        self.last_ms = max(self.last_ms, self.network.now_ms + delay_ms)
        self.network.at(self.last_ms, self.deliver, message)

    def deliver(self, message):
        """Hand a message to the target unless the stream was cut."""
        if not self.is_up:
            return
        target = self.network.processes[self.target]
        if target.suspended_until_ms > self.network.now_ms:
            self.network.at(target.suspended_until_ms, self.deliver, message)
        else:
            target.receive(message, self)


class Replica:
    """Run the decisions of a replica as `packethub` does."""

    def __init__(self, network, identity):
        self.network, self.identity, self.links = network, identity, {}
        self.suspended_until_ms = self.batch_id = 0
        self.table = UpstreamTable(own_identity=identity, report_ms=REPORT_MS)
        self.home = ColdHome(
            own_identity=identity,
            table=self.table,
            links=self.links,
            metrics=Metrics(),
            bound=COLD_BOUND,
            report_ms=REPORT_MS,
            started_ms=network.now_ms,
        )
        self.home.services[SERVICE] = ServiceTerms(
            name=SERVICE,
            max_connections=0,
            cold_start_ms=0,
            cold_per_s_milli=RATE_MILLI,
        )
        self.network.at(network.now_ms + TICK_MS, self.tick)

    def members(self):
        """Return all identities while a majority is linked."""
        return set(REPLICAS) if len(self.links) >= 1 else None

    def report(self, reported):
        """Handle a report that arrives from the upstream."""
        now_ms = self.network.now_ms
        changed = self.table.apply_state(reported, now_ms)
        is_claimed = self.home.record_report(
            reported, members=self.members(), now_ms=now_ms
        )
        if changed or is_claimed:
            self.replicate(changed or [reported], [UPSTREAM] if is_claimed else [])

    def replicate(self, states, claimed):
        """Send a batch to all linked replicas, and claim homes with it."""
        self.batch_id += 1
        batch = DirectoryBatch(
            sender=self.identity, batch_id=self.batch_id, states=states, beats=[]
        )
        for link in self.links.values():
            link.offer(batch)
        if claimed:
            self.home.start_claim(self.batch_id, claimed, self.network.now_ms)

    def tick(self):
        """Send heartbeats, and claims that weren't acknowledged."""
        if self.network.processes[self.identity] is not self:
            return
        now_ms = self.network.now_ms
        self.network.at(max(now_ms + TICK_MS, self.suspended_until_ms), self.tick)
        if self.suspended_until_ms > now_ms:
            return
        beats = self.table.pop_heartbeats()
        batch = DirectoryBatch(sender=self.identity, batch_id=0, states=[], beats=beats)
        for link in self.links.values():
            link.offer(batch)
        unconfirmed = self.home.unconfirmed(self.members(), now_ms)
        if unconfirmed:
            self.replicate([self.table.get(one) for one in unconfirmed], unconfirmed)

    def receive(self, message, stream):
        """Handle a message of a forwarder or replica."""
        self.handle(message, stream, self.network.now_ms)

    @functools.singledispatchmethod
    def handle(self, message, stream, now_ms):
        """Handle a message by its type."""
        raise TypeError(message)

    @handle.register
    def _(self, message: ColdAllowanceRequest, stream, now_ms):
        answer, outbox = self.home.answer_request(message, stream, now_ms)
        if outbox is stream:
            outbox = self.network.stream(self.identity, stream.source)
        outbox.offer(answer)

    @handle.register
    def _(self, message: ColdAllowanceRelay, _stream, now_ms):
        answer, link = self.home.answer_relay(message, now_ms)
        if link is not None:
            link.offer(answer)

    @handle.register
    def _(self, message: ColdAllowanceRelayAnswer, _stream, _now_ms):
        answer, stream = self.home.pass_answer_back(message)
        if answer is not None:
            self.network.stream(self.identity, stream.source).offer(answer)

    @handle.register
    def _(self, message: DirectoryBatch, _stream, now_ms):
        table, sender = self.table, message.sender
        for one in message.states:
            self.home.record_changes(table.apply_state(one, now_ms))
        for beat in message.beats:
            self.home.record_changes(table.apply_heartbeat(beat, sender, now_ms))
        link = self.links.get(sender)
        if message.batch_id and link is not None:
            for notice in self.home.answer_claims(message.states, now_ms):
                link.offer(notice)
            ack = DirectoryAck(sender=self.identity, batch_id=message.batch_id)
            link.offer(ack)

    @handle.register
    def _(self, message: DirectoryAck, _stream, now_ms):
        self.home.acknowledge(message, now_ms)

    @handle.register
    def _(self, message: ColdGrantsNotice, _stream, now_ms):
        self.home.apply_notice(message, now_ms)


class SimulatedForwarder:
    """Request a permit for each SYN, and send with permits that are valid."""

    def __init__(self, network, name):
        self.network, self.name, self.suspended_until_ms = network, name, 0
        self.permits = ColdPermits(metrics=Metrics())
        self.upstream = PacketUpstream(state=state(), zone=ZONE)
        self.network.at(network.now_ms + SYN_INTERVAL_MS, self.offer_syn)

    def offer_syn(self):
        """Request a permit for a SYN, from any replica."""
        if self.network.processes[self.name] is not self:
            return
        now_ms = self.network.now_ms
        next_ms = now_ms + SYN_INTERVAL_MS
        self.network.at(max(next_ms, self.suspended_until_ms), self.offer_syn)
        if now_ms < self.suspended_until_ms:
            return
        self.use_permits()
        self.permits.request(self.upstream, now_ms)
        for request, _ in self.permits.pop_requests(now_ms):
            target = self.network.rng.choice(REPLICAS)
            self.network.stream(self.name, target).offer(request)

    def receive(self, message, _stream):
        """Handle an answer; in half of the cases no SYN is there to send."""
        if isinstance(message, ColdAllowance):
            self.permits.apply_answer(message, self.network.now_ms)
            if self.network.rng.random() < 0.5:
                self.use_permits()

    def use_permits(self):
        """Send opening packets with all valid permits."""
        while self.permits.take(self.upstream, self.network.now_ms) is not None:
            transit_ms = self.network.rng.randrange(MAX_TRANSIT_MS)
            self.network.arrivals.append(self.network.now_ms + transit_ms)


class Simulation:
    """Run events in the order of their time; `faults` per second, delays in ms."""

    def __init__(self, *, seed, faults, max_delay_ms):
        self.rng = random.Random(seed)
        self.max_delay_ms = max_delay_ms
        self.now_ms, self.events, self.numbers = 0, [], itertools.count()
        self.arrivals, self.streams, self.processes = [], {}, {}
        for identity in REPLICAS:
            self.processes[identity] = Replica(self, identity)
        for name in FORWARDERS:
            self.processes[name] = SimulatedForwarder(self, name)
        for pair in itertools.permutations(REPLICAS, 2):
            self.link_up(*pair)
        self.born_ms, self.sequence, self.target = 1, 0, 1
        self.at(0, self.send_report)
        self.fault_interval_ms = 1_000 / faults
        self.at(self.fault_interval_ms, self.inject_fault)

    def at(self, time_ms, function, *arguments):
        """Schedule a call."""
        event = (int(time_ms), next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, duration_ms):
        """Return the arrival times of opening packets in order."""
        while self.events and self.events[0][0] <= duration_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return sorted(self.arrivals)

    def delay_ms(self):
        """Return the delay of a message: short mostly, sometimes long."""
        limit_ms = self.max_delay_ms if self.rng.random() < 0.02 else 10
        return self.rng.uniform(0, limit_ms)

    def stream(self, source, target):
        """Return the stream from one process to another."""
        key = (source, target)
        if key not in self.streams or not self.streams[key].is_up:
            self.streams[key] = Stream(self, source, target)
        return self.streams[key]

    def link_up(self, source, target):
        """Connect two replicas in one direction and send all states."""
        replica = self.processes[source]
        if target in replica.links:
            return
        link = replica.links[target] = self.stream(source, target)
        states = replica.table.states(self.now_ms)
        link.offer(DirectoryBatch(sender=source, batch_id=0, states=states, beats=[]))

    def cut(self, source, target, duration_ms):
        """Cut a stream for some time; the source of a link notices it."""
        self.stream(source, target).is_up = False
        replica = self.processes[source]
        if target in getattr(replica, "links", {}):
            del replica.links[target]
            replica.home.drop_replica(target)
            self.at(self.now_ms + duration_ms, self.link_up, source, target)

    def send_report(self):
        """Send a report; one whose answer is lost is sent to another replica too."""
        self.at(self.now_ms + REPORT_MS * self.rng.uniform(0.8, 1.2), self.send_report)
        self.sequence += 1
        reported = state(born_ms=self.born_ms, sequence=self.sequence, cold_ms=600_000)
        self.deliver_report(reported, self.target, fails=self.rng.random() < 0.2)

    def deliver_report(self, reported, target, *, fails):
        """Deliver a report after a delay, and send it elsewhere if it fails."""
        is_received = not fails or self.rng.random() < 0.5
        if is_received:
            self.at(self.now_ms + self.delay_ms(), self.arrive, reported, target)
        if fails:
            self.target = self.rng.choice([i for i in REPLICAS if i != target])
            again_ms = self.now_ms + self.rng.choice((5, 1_000))
            self.at(again_ms, self.arrive, reported, self.target)

    def arrive(self, reported, target):
        """Hand a report to a replica once it runs."""
        replica = self.processes[target]
        if replica.suspended_until_ms > self.now_ms:
            self.at(replica.suspended_until_ms, self.arrive, reported, target)
        else:
            replica.report(reported.replace(home=target))

    def inject_fault(self):
        """Bring about one fault."""
        self.at(
            self.now_ms + self.rng.expovariate(1 / self.fault_interval_ms),
            self.inject_fault,
        )
        duration_ms = self.rng.choice((300, 1_500, 4_000))
        fault = self.rng.choice(("cut", "cut", "suspend", "restart", "upstream"))
        name = self.rng.choice([*REPLICAS, *REPLICAS, *FORWARDERS])
        if fault == "cut":
            other = self.rng.choice([i for i in REPLICAS if i != name])
            self.cut(name, other, duration_ms)
            self.cut(other, name, duration_ms)
        elif fault == "suspend":
            self.processes[name].suspended_until_ms = self.now_ms + duration_ms
        elif fault == "restart":
            self.restart(name)
        elif self.rng.random() < 0.3:
            self.born_ms, self.sequence = int(self.now_ms) + 1, 0

    def restart(self, name):
        """Replace a process by a new one; all its streams are cut."""
        for source, target in list(self.streams):
            if name in (source, target):
                self.cut(source, target, 50)
        kind = Replica if name in REPLICAS else SimulatedForwarder
        self.processes[name] = kind(self, name)
        if name in REPLICAS:
            for other in REPLICAS:
                if other != name:
                    self.at(self.now_ms + 50, self.link_up, name, other)
