"""bench.world: Simulation of real balancing code with fake upstreams and callers."""

import random
from collections import Counter

from bench.fakes import EventQueue, FakeUpstream, Job
from bench.figures import Figures
from knapweeddeal.admission import Admission
from knapweeddeal.directory import Directory
from knapweeddeal.messages.peer import RefusalRecord
from knapweeddeal.messages.upstream import LEAVING
from knapweeddeal.refusals import RefusalQueue

__all__ = ["Setup", "Size", "World"]

SERVICE = "service"
LEASE_MS = 2_000
ANNOUNCE_MS = 500
TICK_MS = 50
SAMPLE_MS = 100
JOURNAL_MS = 4
#: Mean pause of a caller before a retry, and its maximum number of attempts.
RETRY_MS = 500
MAX_ATTEMPTS = 3
KEEP_ALIVE_MS = 10_000
#: Time until a broken stream is detected.
DETECTION_MS = 50
MAX_OPEN_ATTEMPTS = 2
#: Share of flows with heavy use, and share of the requests that they send.
HEAVY_FLOWS = 0.05
HEAVY_REQUESTS = 0.5


class Size:
    """Describe the size of one service and the number of its entries."""

    __slots__ = (
        "caller_ms",
        "entries",
        "max_connections",
        "name",
        "slots",
        "upstreams",
        "zone_ms",
        "zones",
    )

    def __init__(self, *, name, entries, upstreams, max_connections, caller_ms):
        self.name = name
        self.entries = entries
        self.upstreams = upstreams
        self.max_connections = max_connections
        self.caller_ms = caller_ms
        self.slots = 2
        self.zones = 4
        #: One-way delay between zones.
        self.zone_ms = 1.0


class Setup:
    """Hold the parameters of one trial."""

    __slots__ = (
        "admission",
        "chooser",
        "connection_share",
        "deadline_ms",
        "events",
        "first_request_share",
        "heavy",
        "load",
        "seconds",
        "seed",
        "service_ms",
        "size",
        "warmup_s",
    )

    def __init__(self, *, size, chooser, seed, **overrides):
        self.size = size
        self.chooser = chooser
        self.seed = seed
        #: Options of admission; None disables admission.
        self.admission = {}
        #: Offered load, as a share of the capacity of the slots.
        self.load = 0.7
        #: Share of the connection limits in use at the start.
        self.connection_share = 0.75
        #: Share of the requests that directly follow an open.
        self.first_request_share = 0.25
        self.service_ms = 50.0
        #: Whether service times and requests per flow are heavy-tailed.
        self.heavy = False
        self.deadline_ms = 3_000.0
        self.warmup_s = 20.0
        self.seconds = 60.0
        #: Pairs of a time in seconds and a function that is called with the world.
        self.events = ()
        for name, value in overrides.items():
            setattr(self, name, value)


class Flow:
    """Hold the state of a flow."""

    __slots__ = ("entry", "heavy", "index", "is_open", "upstream")

    def __init__(self, *, entry, upstream, heavy):
        self.entry = entry
        self.upstream = upstream
        self.heavy = heavy
        self.is_open = True
        self.index = 0


class Entry:
    """Hold the balancing and admission state of one entry."""

    def __init__(self, *, number, zone, chooser, fakes, admission):
        self.number = number
        self.zone = zone
        self.alive = True
        self.directory = Directory(lease_ms=LEASE_MS)
        #: Number of owned flows by upstream.
        self.own_flows_by_upstream = Counter()
        self.chooser = chooser(
            zone=zone, fakes=fakes, own_flows=self.own_flows_by_upstream.__getitem__
        )
        self.admission = Admission(**admission)
        self.refusals = RefusalQueue()


class World:
    """Simulate one trial."""

    def __init__(self, setup):
        self.setup = setup
        self.size = setup.size
        self.event_queue = EventQueue()
        #: Random draws of the system; those of callers are the same for every chooser.
        self.rng = random.Random(f"{setup.seed} system")
        self._caller_rng = random.Random(f"{setup.seed} callers")
        self.upstreams = []
        self.entries = []
        self.partitioned_zone = None
        self.flows = ([], [])
        self.figures = Figures(warmup_ms=setup.warmup_s * 1e3)
        self.journal = set()
        capacity = setup.size.upstreams * setup.size.slots / setup.service_ms
        #: Requests per millisecond.
        self.request_rate = capacity * setup.load
        self.capacity = capacity
        self.open_rate = min(setup.load, 0.7) * capacity * setup.first_request_share
        for _ in range(setup.size.upstreams):
            self.add_upstream()
        for _ in range(setup.size.entries):
            self.add_entry()

    # Joining, leaving and faults

    def add_upstream(self, **overrides):
        """Add an upstream."""
        number = len(self.upstreams)
        fake = FakeUpstream(
            number=number,
            zone=f"zone-{number % self.size.zones}",
            slots=self.size.slots,
            max_connections=self.size.max_connections,
            event_queue=self.event_queue,
        )
        for name, value in overrides.items():
            setattr(fake, name, value)
        self.upstreams.append(fake)
        self.event_queue.after(self.rng.random() * ANNOUNCE_MS, self._announce, fake)
        for entry in self.entries:
            self._deliver_announcement(entry, fake)
        return fake

    def add_entry(self):
        """Add an entry."""
        number = len(self.entries)
        zone = f"zone-{number % self.size.zones}"
        entry = Entry(
            number=number,
            zone=zone,
            chooser=self.setup.chooser,
            fakes=self.upstreams,
            admission=self.setup.admission or {},
        )
        self.entries.append(entry)
        for fake in self.upstreams:
            if fake.alive:
                self._deliver_announcement(entry, fake)
        self.event_queue.after(self.rng.random() * TICK_MS, self._tick, entry)

    def fail_entry(self, number):
        """Crash an entry."""
        self.entries[number].alive = False

    def fail_upstream(self, number):
        """Crash an upstream; its flows break."""
        fake = self.upstreams[number]
        fake.alive = False
        fake.queue.clear()
        for entry in self.entries:
            self.event_queue.after(DETECTION_MS, self._mark_unready, entry, fake)
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                self._drop_flow(flow)
                self.figures.broken_unplanned += 1
                self._open_after(DETECTION_MS + self.rng.random() * 2_000, 1)

    def drain_upstream(self, number, drain_ms):
        """Drain an upstream; each of its flows moves at its next keep-alive."""
        fake = self.upstreams[number]
        fake.announce = fake.announce.replace(state=LEAVING)
        self._announce_once(fake)
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                delay_ms = self.rng.random() * KEEP_ALIVE_MS
                self.event_queue.after(delay_ms, self._move, flow, fake, 1)
        self.event_queue.after(drain_ms, self._end_drain, fake)

    def _end_drain(self, fake):
        fake.alive = False
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                self._drop_flow(flow)
                self.figures.broken_planned += 1
                self._open_after(self.rng.random() * 2_000, 1)
        for entry in self.entries:
            self._mark_unready(entry, fake)

    def _mark_unready(self, entry, fake):
        record = self._directory_record(entry, fake)
        if record is not None:
            record.ready = False
            record.outstanding = 0

    def partition(self, zone):
        """Partition a zone from the others; None ends the partition."""
        self.partitioned_zone = zone
        for entry in self.entries:
            for fake in self.upstreams:
                self.event_queue.after(DETECTION_MS, self._update_stream, entry, fake)

    def _update_stream(self, entry, fake):
        record = self._directory_record(entry, fake)
        if record is None:
            return
        record.ready = fake.alive and self.reachable(entry.zone, fake.zone)
        if not record.ready:
            record.outstanding = 0

    def reachable(self, zone, other):
        """Return whether two zones can reach each other."""
        return (zone == self.partitioned_zone) == (other == self.partitioned_zone)

    # Announcements

    def _announce(self, fake):
        if not fake.alive:
            return
        self._announce_once(fake)
        self.event_queue.after(ANNOUNCE_MS, self._announce, fake)

    def _announce_once(self, fake):
        sequence = fake.announce.sequence + 1
        fake.announce = fake.announce.replace(sequence=sequence)
        for entry in self.entries:
            if entry.alive and self.reachable(entry.zone, fake.zone):
                self.event_queue.after(
                    self.size.zone_ms, self._deliver_announcement, entry, fake
                )

    def _deliver_announcement(self, entry, fake):
        entry.directory.apply_announcement(
            fake.announce, now_ms=self.event_queue.now_ms
        )
        record = self._directory_record(entry, fake)
        if record is not None and fake.alive:
            record.ready = self.reachable(entry.zone, fake.zone)

    def _directory_record(self, entry, fake):
        for record in entry.directory.all():
            if record.key.incarnation == fake.announce.incarnation:
                return record
        return None

    # Running

    def run(self):
        """Run the trial to its end and return the figures."""
        setup = self.setup
        self._open_initial_flows()
        self._next_open()
        self._next_close()
        self._next_request()
        self.event_queue.after(SAMPLE_MS, self._sample)
        for at_s, call in setup.events:
            self.event_queue.after(at_s * 1e3, call, self)
        self.event_queue.run_until(setup.seconds * 1e3)
        self.figures.finish(self)
        return self.figures

    def _open_initial_flows(self):
        """Open the initial flows without advancing the clock."""
        wanted = (
            self.setup.connection_share
            * self.size.max_connections
            * self.size.upstreams
        )
        for _ in range(int(wanted)):
            entry = self.rng.choice(self.entries)
            record = self._choose(entry, ())
            if record is None:
                continue
            fake = self._fake(record)
            if fake.connections < fake.max_connections:
                self._create_flow(entry, fake)
                self._apply_report(entry, fake, (0, fake.report()[1]))

    def _next_open(self):
        self.event_queue.after(
            self._caller_rng.expovariate(self.open_rate), self._next_open
        )
        self._open(1, self._service_ms(self._caller_rng))

    def _next_close(self):
        self.event_queue.after(
            self._caller_rng.expovariate(self.open_rate), self._next_close
        )
        heavy = self.setup.heavy and self._caller_rng.random() < HEAVY_FLOWS
        flow = self._random_flow(heavy)
        if flow is not None:
            self._drop_flow(flow)

    def _next_request(self):
        rate = self.request_rate - self.open_rate
        self.event_queue.after(self._caller_rng.expovariate(rate), self._next_request)
        heavy = self.setup.heavy and self._caller_rng.random() < HEAVY_REQUESTS
        service_ms = self._service_ms(self._caller_rng)
        flow = self._random_flow(heavy)
        if flow is not None:
            self._send_request(flow, 1, service_ms)

    def _random_flow(self, heavy):
        index = self._caller_rng.random()
        flows = self.flows[heavy] or self.flows[not heavy]
        return flows[int(index * len(flows))] if flows else None

    def _sample(self):
        self.event_queue.after(SAMPLE_MS, self._sample)
        self.figures.sample(self)

    # Opens

    def _open_after(self, delay_ms, attempt):
        self.event_queue.after(delay_ms, self._open, attempt)

    def _open(self, attempt, service_ms=None):
        service_ms = service_ms or self._service_ms(self.rng)
        live_entries = [entry for entry in self.entries if entry.alive]
        entry = self.rng.choice(live_entries)
        self.figures.opens += 1
        self._try_open(entry, [], attempt, service_ms)

    def _try_open(self, entry, tried, attempt, service_ms):
        record = self._choose(entry, tried)
        exhausted = len(tried) >= MAX_OPEN_ATTEMPTS
        if record is None or exhausted:
            reason = "shed" if tried else "no_upstream"
            self._refuse(entry, reason, lambda: self._reopen(attempt))
            return
        self.figures.open_attempts += 1
        fake = self._fake(record)
        fake.pending_opens += 1
        tried.append(record.key)
        entry.chooser.record_flow_request(record.key, now_ms=self.event_queue.now_ms)
        delay_ms = self._one_way_ms(entry.zone, fake.zone)
        self.event_queue.after(
            delay_ms, self._decide_open, entry, fake, tried, attempt, service_ms
        )

    def _reopen(self, attempt):
        if attempt < MAX_ATTEMPTS:
            self._open_after(RETRY_MS * (0.5 + self.rng.random()), attempt + 1)

    def _decide_open(self, entry, fake, tried, attempt, service_ms):
        fake.pending_opens -= 1
        if not fake.alive or not self.reachable(entry.zone, fake.zone):
            self.event_queue.after(
                DETECTION_MS, self._try_open, entry, tried, attempt, service_ms
            )
            return
        shed = (
            fake.connections >= fake.max_connections
            or fake.announce.state == LEAVING
            or self.rng.random() < fake.shed_opens
        )
        one_way_ms = self._one_way_ms(entry.zone, fake.zone)
        if shed:
            arguments = (tried, attempt, service_ms, fake.report())
            self.event_queue.after(one_way_ms, self._shed_open, entry, fake, *arguments)
            return
        flow = self._create_flow(entry, fake)
        self.event_queue.after(
            one_way_ms, self._apply_report, entry, fake, fake.report()
        )
        self.event_queue.after(
            2 * self.size.caller_ms, self._send_request, flow, 1, service_ms
        )

    def _shed_open(self, entry, fake, tried, attempt, service_ms, report):
        key = self._key(entry, fake)
        entry.chooser.record_shed(key, now_ms=self.event_queue.now_ms)
        self._apply_report(entry, fake, report)
        self._try_open(entry, tried, attempt, service_ms)

    def _choose(self, entry, tried):
        now_ms = self.event_queue.now_ms
        eligible = entry.directory.eligible(SERVICE, now_ms=now_ms)
        usable = [
            record for record in eligible if record.ready and record.key not in tried
        ]
        flow_id = self.rng.getrandbits(64)
        return entry.chooser.choose(
            usable, rng=self.rng, now_ms=now_ms, flow_id=flow_id
        )

    def _create_flow(self, entry, fake):
        heavy = self.setup.heavy and self.rng.random() < HEAVY_FLOWS
        flow = Flow(entry=entry, upstream=fake, heavy=heavy)
        flows = self.flows[heavy]
        flow.index = len(flows)
        flows.append(flow)
        self._attach(flow, entry, fake)
        return flow

    def _attach(self, flow, entry, fake):
        flow.upstream = fake
        fake.connections += 1
        key = self._key(entry, fake)
        entry.own_flows_by_upstream[key] += 1

    def _detach(self, flow):
        flow.upstream.connections -= 1
        key = self._key(flow.entry, flow.upstream)
        flow.entry.own_flows_by_upstream[key] -= 1

    def _drop_flow(self, flow):
        flow.is_open = False
        self._detach(flow)
        flows = self.flows[flow.heavy]
        last = flows.pop()
        if last is not flow:
            flows[flow.index] = last
            last.index = flow.index

    # Planned moves

    def _move(self, flow, source, attempt):
        if not flow.is_open or flow.upstream is not source:
            return
        entry = flow.entry if flow.entry.alive else self._random_live_entry()
        record = self._choose(entry, ())
        target = None if record is None else self._fake(record)
        accepts = (
            target is not None
            and target.alive
            and target.announce.state != LEAVING
            and target.connections < target.max_connections
            and self.rng.random() >= target.shed_opens
        )
        if not accepts:
            self.figures.delayed_moves += 1
            self.event_queue.after(RETRY_MS, self._move, flow, source, attempt + 1)
            return
        entry.chooser.record_flow_request(record.key, now_ms=self.event_queue.now_ms)
        self._detach(flow)
        flow.entry = entry
        self._attach(flow, entry, target)
        self.figures.moved += 1
        one_way_ms = self._one_way_ms(entry.zone, target.zone)
        self.event_queue.after(
            2 * one_way_ms, self._apply_report, entry, target, target.report()
        )

    # Requests

    def _send_request(self, flow, attempt, service_ms):
        if not flow.is_open:
            return
        if attempt == 1:
            self.figures.record_request(self.event_queue.now_ms)
        now_ms = self.event_queue.now_ms
        deadline_ms = self.setup.deadline_ms
        job = Job(
            flow=flow,
            requested_ms=now_ms,
            deadline_at_ms=now_ms + deadline_ms,
            service_ms=service_ms,
            attempt=attempt,
        )
        self.event_queue.after(self.size.caller_ms, self._arrive_at_entry, job)

    def _service_ms(self, rng):
        mean_ms = self.setup.service_ms
        if not self.setup.heavy:
            return rng.expovariate(1 / mean_ms)
        # Lognormal with this mean: the longest 7 % of requests hold half of the work.
        return rng.lognormvariate(0.0, 1.5) * mean_ms / 3.08

    def _arrive_at_entry(self, job):
        flow = job.flow
        if job.deadline_at_ms <= self.event_queue.now_ms:
            self.figures.expired += 1
            return
        if not self._owner_can_serve(flow):
            successor = self._random_live_entry()
            if successor.alive and self.reachable(successor.zone, flow.upstream.zone):
                self._take_over(flow, successor)
            else:
                self.figures.stalled += 1
                self.event_queue.after(200, self._arrive_at_entry, job)
                return
        self._forward(job)

    def _owner_can_serve(self, flow):
        entry = flow.entry
        record = self._directory_record(entry, flow.upstream)
        return entry.alive and record is not None and record.ready

    def _take_over(self, flow, entry):
        key = self._key(flow.entry, flow.upstream)
        flow.entry.own_flows_by_upstream[key] -= 1
        flow.entry = entry
        key = self._key(entry, flow.upstream)
        entry.own_flows_by_upstream[key] += 1

    def _random_live_entry(self):
        return self.rng.choice([entry for entry in self.entries if entry.alive])

    def _forward(self, job):
        flow = job.flow
        entry, fake = flow.entry, flow.upstream
        job.owner = entry
        now_ms = self.event_queue.now_ms
        record = self._directory_record(entry, fake)
        remaining_ms = job.deadline_at_ms - now_ms
        if self.setup.admission is not None and not entry.admission.admits(
            record, deadline_ms=remaining_ms, now_ms=now_ms
        ):
            self._refuse(entry, "deadline", lambda: self._retry_request(job))
            return
        self.figures.record_forward(now_ms)
        job.sent = entry.admission.record_sent(record, now_ms=now_ms)
        record.outstanding += 1
        one_way_ms = self._one_way_ms(entry.zone, fake.zone)
        self.event_queue.after(one_way_ms, self._arrive_at_upstream, job, fake)

    def _retry_request(self, job):
        if job.attempt < MAX_ATTEMPTS:
            delay_ms = RETRY_MS * (0.5 + self.rng.random())
            arguments = (job.flow, job.attempt + 1, job.service_ms)
            self.event_queue.after(delay_ms, self._send_request, *arguments)

    def _arrive_at_upstream(self, job, fake):
        if not fake.alive:
            self.figures.lost += 1
            return
        if self.rng.random() < fake.shed_requests or not fake.enqueue(job):
            self._shed_request(job, fake, "overloaded")
            return
        self._start_queued(fake)

    def _start_queued(self, fake):
        while fake.queue and fake.running < fake.slots:
            job = fake.queue.popleft()
            if job.deadline_at_ms <= self.event_queue.now_ms:
                self._shed_request(job, fake, "deadline")
                continue
            fake.running += 1
            self.figures.record_wait(self.event_queue.now_ms, job)
            spent_ms = job.service_ms * fake.slowdown()
            self.event_queue.after(spent_ms, self._finish, job, fake, spent_ms)

    def _shed_request(self, job, fake, reason):
        entry = job.owner
        one_way_ms = self._one_way_ms(entry.zone, fake.zone)
        self.event_queue.after(
            one_way_ms, self._handle_answer, job, fake, fake.report(), False
        )
        self.event_queue.after(
            one_way_ms,
            lambda: self._refuse(entry, reason, lambda: self._retry_request(job)),
        )

    def _finish(self, job, fake, spent_ms):
        if not fake.alive:
            self.figures.lost += 1
            return
        fake.running -= 1
        one_way_ms = self._one_way_ms(job.owner.zone, fake.zone)
        answered_ms = self.event_queue.now_ms + one_way_ms + self.size.caller_ms
        self.figures.record_finish(self.event_queue.now_ms, job, spent_ms, answered_ms)
        self.event_queue.after(
            one_way_ms, self._handle_answer, job, fake, fake.report(), True
        )
        self._start_queued(fake)

    def _handle_answer(self, job, fake, report, answered):
        entry = job.owner
        record = self._directory_record(entry, fake)
        if record.outstanding:
            record.outstanding -= 1
        if answered:
            entry.admission.record_answer(
                record, job.sent, now_ms=self.event_queue.now_ms
            )
        entry.admission.record_report(record, report[0], now_ms=self.event_queue.now_ms)
        self._apply_report(entry, fake, report)

    def _apply_report(self, entry, fake, report):
        record = self._directory_record(entry, fake)
        outstanding, connections = report
        record.connections = connections
        entry.chooser.record_report(
            record.key, outstanding, now_ms=self.event_queue.now_ms
        )

    # Refusals

    def _refuse(self, entry, reason, on_recorded):
        record = RefusalRecord(
            record_id=self.rng.getrandbits(64),
            caller="caller",
            service=SERVICE,
            flow_id=0,
            number=0,
            refused_ms=int(self.event_queue.now_ms),
            entry_id=f"entry-{entry.number}",
            reason=reason,
        )
        self.figures.record_refusal(self.event_queue.now_ms, reason)
        entry.refusals.add(record, (record.record_id, on_recorded))

    def _tick(self, entry):
        if not entry.alive:
            return
        self.event_queue.after(TICK_MS, self._tick, entry)
        for batch in entry.refusals.batches(now_ms=self.event_queue.now_ms + 1e6):
            self.journal.update(record.record_id for record in batch.records)
            self.event_queue.after(
                JOURNAL_MS, self._handle_recorded, entry, batch.batch
            )

    def _handle_recorded(self, entry, batch):
        for record_id, on_recorded in entry.refusals.release(batch):
            self.figures.refusals_sent += 1
            self.figures.not_in_journal += record_id not in self.journal
            self.event_queue.after(self.size.caller_ms, on_recorded)

    # Helpers

    def _one_way_ms(self, zone, other):
        return 0.1 if zone == other else self.size.zone_ms

    def _fake(self, record):
        return self.upstreams[record.key.incarnation - 1]

    def _key(self, entry, fake):
        return self._directory_record(entry, fake).key
