"""bench.world: Entries that decide for real, over fake upstreams, callers and time."""

import random
from collections import Counter

from bench.fakes import FakeUpstream, Heap, Job
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
#: Pause of a caller before it tries again, and how often it does so.
RETRY_MS = 500
MAX_TRIES = 3
KEEP_ALIVE_MS = 10_000
#: Time after which a broken stream shows.
NOTICE_MS = 50
MAX_OPEN_TRIES = 2
#: Share of heavy callers, and of the requests that these send.
HEAVY_FLOWS = 0.05
HEAVY_REQUESTS = 0.5


class Size:
    """Give the size of one service and of the entries before it."""

    __slots__ = (
        "caller_ms",
        "entries",
        "limit",
        "name",
        "slots",
        "upstreams",
        "zone_ms",
        "zones",
    )

    def __init__(self, *, name, entries, upstreams, limit, caller_ms):
        self.name = name
        self.entries = entries
        self.upstreams = upstreams
        self.limit = limit
        self.caller_ms = caller_ms
        self.slots = 2
        self.zones = 4
        #: One way between zones.
        self.zone_ms = 1.0


class Setup:
    """Give what drives one trial."""

    __slots__ = (
        "admission",
        "chooser",
        "deadline_ms",
        "events",
        "filled",
        "first_share",
        "heavy",
        "load",
        "seconds",
        "seed",
        "service_ms",
        "size",
        "warm_s",
    )

    def __init__(self, *, size, chooser, seed, **changes):
        self.size = size
        self.chooser = chooser
        self.seed = seed
        #: Options of admission, None for none.
        self.admission = {}
        #: Work offered, as a share of what the slots can do.
        self.load = 0.7
        #: Share of connection limits in use.
        self.filled = 0.75
        #: Share of the requests that come right after an open.
        self.first_share = 0.25
        self.service_ms = 50.0
        #: Whether times and callers are heavy-tailed.
        self.heavy = False
        self.deadline_ms = 3_000.0
        self.warm_s = 20.0
        self.seconds = 60.0
        #: Pairs of a time in seconds and a call on the world.
        self.events = ()
        for name, value in changes.items():
            setattr(self, name, value)


class Flow:
    """Hold a flow as its caller and its owner know it."""

    __slots__ = ("entry", "heavy", "opened", "place", "upstream")

    def __init__(self, *, entry, upstream, heavy):
        self.entry = entry
        self.upstream = upstream
        self.heavy = heavy
        self.opened = True
        self.place = 0


class Entry:
    """Hold the decisions of one entry."""

    def __init__(self, *, number, zone, chooser, fakes, admission):
        self.number = number
        self.zone = zone
        self.alive = True
        self.directory = Directory(lease_ms=LEASE_MS)
        #: Own flows by upstream.
        self.own = Counter()
        self.chooser = chooser(zone=zone, fakes=fakes, own_flows=self.own.__getitem__)
        self.admission = Admission(**admission)
        self.refusals = RefusalQueue()


class World:
    """Run one trial."""

    def __init__(self, setup):
        self.setup = setup
        self.size = setup.size
        self.heap = Heap()
        #: Chance of the system; that of callers is the same for every chooser.
        self.rng = random.Random(f"{setup.seed} system")
        self._callers = random.Random(f"{setup.seed} callers")
        self.upstreams = []
        self.entries = []
        self.cut_zone = None
        self.flows = ([], [])
        self.figures = Figures(warm_ms=setup.warm_s * 1e3)
        self.journal = set()
        capacity = setup.size.upstreams * setup.size.slots / setup.service_ms
        #: Requests a millisecond.
        self.request_rate = capacity * setup.load
        self.capacity = capacity
        self.open_rate = min(setup.load, 0.7) * capacity * setup.first_share
        for _ in range(setup.size.upstreams):
            self.add_upstream()
        for _ in range(setup.size.entries):
            self.add_entry()

    # Growing and shrinking

    def add_upstream(self, **changes):
        """Let an upstream join."""
        number = len(self.upstreams)
        fake = FakeUpstream(
            number=number,
            zone=f"zone-{number % self.size.zones}",
            slots=self.size.slots,
            max_connections=self.size.limit,
            heap=self.heap,
        )
        for name, value in changes.items():
            setattr(fake, name, value)
        self.upstreams.append(fake)
        self.heap.after(self.rng.random() * ANNOUNCE_MS, self._announce, fake)
        for entry in self.entries:
            self._tell(entry, fake)
        return fake

    def add_entry(self):
        """Let an entry join."""
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
                self._tell(entry, fake)
        self.heap.after(self.rng.random() * TICK_MS, self._tick, entry)

    def lose_entry(self, number):
        """Let an entry die."""
        self.entries[number].alive = False

    def lose_upstream(self, number):
        """Let an upstream die; its flows break."""
        fake = self.upstreams[number]
        fake.alive = False
        fake.queue.clear()
        for entry in self.entries:
            self.heap.after(NOTICE_MS, self._unready, entry, fake)
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                self._drop_flow(flow)
                self.figures.broken_unplanned += 1
                self._open_after(NOTICE_MS + self.rng.random() * 2_000, 1)

    def drain_upstream(self, number, drain_ms):
        """Let an upstream announce that it leaves; its flows move at a packet."""
        fake = self.upstreams[number]
        fake.announce = fake.announce.replace(state=LEAVING)
        self._announce_once(fake)
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                delay_ms = self.rng.random() * KEEP_ALIVE_MS
                self.heap.after(delay_ms, self._move, flow, fake, 1)
        self.heap.after(drain_ms, self._end_drain, fake)

    def _end_drain(self, fake):
        fake.alive = False
        for flows in self.flows:
            for flow in [flow for flow in flows if flow.upstream is fake]:
                self._drop_flow(flow)
                self.figures.broken_planned += 1
                self._open_after(self.rng.random() * 2_000, 1)
        for entry in self.entries:
            self._unready(entry, fake)

    def _unready(self, entry, fake):
        held = self._held(entry, fake)
        if held is not None:
            held.ready = False
            held.outstanding = 0

    def cut(self, zone):
        """Cut a zone off, or with None end the cut."""
        self.cut_zone = zone
        for entry in self.entries:
            for fake in self.upstreams:
                self.heap.after(NOTICE_MS, self._restream, entry, fake)

    def _restream(self, entry, fake):
        held = self._held(entry, fake)
        if held is None:
            return
        held.ready = fake.alive and self.reachable(entry.zone, fake.zone)
        if not held.ready:
            held.outstanding = 0

    def reachable(self, zone, other):
        """Tell whether two zones can talk."""
        return (zone == self.cut_zone) == (other == self.cut_zone)

    # Announcements

    def _announce(self, fake):
        if not fake.alive:
            return
        self._announce_once(fake)
        self.heap.after(ANNOUNCE_MS, self._announce, fake)

    def _announce_once(self, fake):
        sequence = fake.announce.sequence + 1
        fake.announce = fake.announce.replace(sequence=sequence)
        for entry in self.entries:
            if entry.alive and self.reachable(entry.zone, fake.zone):
                self.heap.after(self.size.zone_ms, self._tell, entry, fake)

    def _tell(self, entry, fake):
        entry.directory.apply_announcement(fake.announce, now_ms=self.heap.now_ms)
        held = self._held(entry, fake)
        if held is not None and fake.alive:
            held.ready = self.reachable(entry.zone, fake.zone)

    def _held(self, entry, fake):
        for held in entry.directory.all():
            if held.key.incarnation == fake.announce.incarnation:
                return held
        return None

    # Running

    def run(self):
        """Run to the end and return the figures."""
        setup = self.setup
        self._fill()
        self._next_open()
        self._next_close()
        self._next_request()
        self.heap.after(SAMPLE_MS, self._sample)
        for at_s, call in setup.events:
            self.heap.after(at_s * 1e3, call, self)
        self.heap.run_until(setup.seconds * 1e3)
        self.figures.finish(self)
        return self.figures

    def _fill(self):
        """Open the flows that stand at the start, without passing time."""
        wanted = self.setup.filled * self.size.limit * self.size.upstreams
        for _ in range(int(wanted)):
            entry = self.rng.choice(self.entries)
            held = self._choose(entry, ())
            if held is None:
                continue
            fake = self._fake(held)
            if fake.connections < fake.max_connections:
                self._own(entry, fake)
                self._report(entry, fake, (0, fake.report()[1]))

    def _next_open(self):
        self.heap.after(self._callers.expovariate(self.open_rate), self._next_open)
        self._open(1, self._service_ms(self._callers))

    def _next_close(self):
        self.heap.after(self._callers.expovariate(self.open_rate), self._next_close)
        heavy = self.setup.heavy and self._callers.random() < HEAVY_FLOWS
        flow = self._random_flow(heavy)
        if flow is not None:
            self._drop_flow(flow)

    def _next_request(self):
        rate = self.request_rate - self.open_rate
        self.heap.after(self._callers.expovariate(rate), self._next_request)
        heavy = self.setup.heavy and self._callers.random() < HEAVY_REQUESTS
        service_ms = self._service_ms(self._callers)
        flow = self._random_flow(heavy)
        if flow is not None:
            self._ask(flow, 1, service_ms)

    def _random_flow(self, heavy):
        place = self._callers.random()
        flows = self.flows[heavy] or self.flows[not heavy]
        return flows[int(place * len(flows))] if flows else None

    def _sample(self):
        self.heap.after(SAMPLE_MS, self._sample)
        self.figures.sample(self)

    # Opens

    def _open_after(self, delay_ms, tries):
        self.heap.after(delay_ms, self._open, tries)

    def _open(self, tries, service_ms=None):
        service_ms = service_ms or self._service_ms(self.rng)
        living = [entry for entry in self.entries if entry.alive]
        entry = self.rng.choice(living)
        self.figures.opens += 1
        self._try_open(entry, [], tries, service_ms)

    def _try_open(self, entry, tried, tries, service_ms):
        held = self._choose(entry, tried)
        spent = len(tried) >= MAX_OPEN_TRIES
        if held is None or spent:
            reason = "shed" if tried else "no_upstream"
            self._refuse(entry, reason, lambda: self._reopen(tries))
            return
        self.figures.asked_opens += 1
        fake = self._fake(held)
        fake.coming += 1
        tried.append(held.key)
        entry.chooser.record_flow_request(held.key, now_ms=self.heap.now_ms)
        delay_ms = self._way_ms(entry.zone, fake.zone)
        self.heap.after(
            delay_ms, self._decide_open, entry, fake, tried, tries, service_ms
        )

    def _reopen(self, tries):
        if tries < MAX_TRIES:
            self._open_after(RETRY_MS * (0.5 + self.rng.random()), tries + 1)

    def _decide_open(self, entry, fake, tried, tries, service_ms):
        fake.coming -= 1
        if not fake.alive or not self.reachable(entry.zone, fake.zone):
            self.heap.after(NOTICE_MS, self._try_open, entry, tried, tries, service_ms)
            return
        shed = (
            fake.connections >= fake.max_connections
            or fake.announce.state == LEAVING
            or self.rng.random() < fake.shed_opens
        )
        way_ms = self._way_ms(entry.zone, fake.zone)
        if shed:
            rest = (tried, tries, service_ms, fake.report())
            self.heap.after(way_ms, self._shed_open, entry, fake, *rest)
            return
        flow = self._own(entry, fake)
        self.heap.after(way_ms, self._report, entry, fake, fake.report())
        self.heap.after(2 * self.size.caller_ms, self._ask, flow, 1, service_ms)

    def _shed_open(self, entry, fake, tried, tries, service_ms, report):
        key = self._key(entry, fake)
        entry.chooser.record_shed(key, now_ms=self.heap.now_ms)
        self._report(entry, fake, report)
        self._try_open(entry, tried, tries, service_ms)

    def _choose(self, entry, tried):
        now_ms = self.heap.now_ms
        eligible = entry.directory.eligible(SERVICE, now_ms=now_ms)
        usable = [held for held in eligible if held.ready and held.key not in tried]
        flow_id = self.rng.getrandbits(64)
        return entry.chooser.choose(
            usable, rng=self.rng, now_ms=now_ms, flow_id=flow_id
        )

    def _own(self, entry, fake):
        heavy = self.setup.heavy and self.rng.random() < HEAVY_FLOWS
        flow = Flow(entry=entry, upstream=fake, heavy=heavy)
        flows = self.flows[heavy]
        flow.place = len(flows)
        flows.append(flow)
        self._attach(flow, entry, fake)
        return flow

    def _attach(self, flow, entry, fake):
        flow.upstream = fake
        fake.connections += 1
        key = self._key(entry, fake)
        entry.own[key] += 1

    def _detach(self, flow):
        flow.upstream.connections -= 1
        key = self._key(flow.entry, flow.upstream)
        flow.entry.own[key] -= 1

    def _drop_flow(self, flow):
        flow.opened = False
        self._detach(flow)
        flows = self.flows[flow.heavy]
        last = flows.pop()
        if last is not flow:
            flows[flow.place] = last
            last.place = flow.place

    # Planned moves

    def _move(self, flow, left, tries):
        if not flow.opened or flow.upstream is not left:
            return
        entry = flow.entry if flow.entry.alive else self._living()
        held = self._choose(entry, ())
        target = None if held is None else self._fake(held)
        accepts = (
            target is not None
            and target.alive
            and target.announce.state != LEAVING
            and target.connections < target.max_connections
            and self.rng.random() >= target.shed_opens
        )
        if not accepts:
            self.figures.delayed_moves += 1
            self.heap.after(RETRY_MS, self._move, flow, left, tries + 1)
            return
        entry.chooser.record_flow_request(held.key, now_ms=self.heap.now_ms)
        self._detach(flow)
        flow.entry = entry
        self._attach(flow, entry, target)
        self.figures.moved += 1
        way_ms = self._way_ms(entry.zone, target.zone)
        self.heap.after(2 * way_ms, self._report, entry, target, target.report())

    # Requests

    def _ask(self, flow, tries, service_ms):
        if not flow.opened:
            return
        if tries == 1:
            self.figures.asked(self.heap.now_ms)
        now_ms = self.heap.now_ms
        deadline_ms = self.setup.deadline_ms
        job = Job(
            flow=flow,
            asked_ms=now_ms,
            until_ms=now_ms + deadline_ms,
            service_ms=service_ms,
            tries=tries,
        )
        self.heap.after(self.size.caller_ms, self._arrive, job)

    def _service_ms(self, rng):
        mean_ms = self.setup.service_ms
        if not self.setup.heavy:
            return rng.expovariate(1 / mean_ms)
        # A lognormal with this mean: half of the work in the longest 7 %.
        return rng.lognormvariate(0.0, 1.5) * mean_ms / 3.08

    def _arrive(self, job):
        flow = job.flow
        if job.until_ms <= self.heap.now_ms:
            self.figures.silent += 1
            return
        if not self._serves(flow):
            landed = self._living()
            if landed.alive and self.reachable(landed.zone, flow.upstream.zone):
                self._renew(flow, landed)
            else:
                self.figures.stalled += 1
                self.heap.after(200, self._arrive, job)
                return
        self._forward(job)

    def _serves(self, flow):
        entry = flow.entry
        held = self._held(entry, flow.upstream)
        return entry.alive and held is not None and held.ready

    def _renew(self, flow, entry):
        key = self._key(flow.entry, flow.upstream)
        flow.entry.own[key] -= 1
        flow.entry = entry
        key = self._key(entry, flow.upstream)
        entry.own[key] += 1

    def _living(self):
        return self.rng.choice([entry for entry in self.entries if entry.alive])

    def _forward(self, job):
        flow = job.flow
        entry, fake = flow.entry, flow.upstream
        job.owner = entry
        now_ms = self.heap.now_ms
        held = self._held(entry, fake)
        remaining_ms = job.until_ms - now_ms
        if self.setup.admission is not None and not entry.admission.admits(
            held, deadline_ms=remaining_ms, now_ms=now_ms
        ):
            self._refuse(entry, "deadline", lambda: self._ask_again(job))
            return
        self.figures.sent(now_ms)
        job.sent = entry.admission.record_sent(held, now_ms=now_ms)
        held.outstanding += 1
        way_ms = self._way_ms(entry.zone, fake.zone)
        self.heap.after(way_ms, self._take, job, fake)

    def _ask_again(self, job):
        if job.tries < MAX_TRIES:
            delay_ms = RETRY_MS * (0.5 + self.rng.random())
            rest = (job.flow, job.tries + 1, job.service_ms)
            self.heap.after(delay_ms, self._ask, *rest)

    def _take(self, job, fake):
        if not fake.alive:
            self.figures.unknown += 1
            return
        if self.rng.random() < fake.shed_requests or not fake.take(job):
            self._shed(job, fake, "overloaded")
            return
        self._start(fake)

    def _start(self, fake):
        while fake.queue and fake.running < fake.slots:
            job = fake.queue.popleft()
            if job.until_ms <= self.heap.now_ms:
                self._shed(job, fake, "deadline")
                continue
            fake.running += 1
            self.figures.waited(self.heap.now_ms, job)
            spent_ms = job.service_ms * fake.slowness()
            self.heap.after(spent_ms, self._finish, job, fake, spent_ms)

    def _shed(self, job, fake, reason):
        entry = job.owner
        way_ms = self._way_ms(entry.zone, fake.zone)
        self.heap.after(way_ms, self._come_back, job, fake, fake.report(), False)
        self.heap.after(
            way_ms,
            lambda: self._refuse(entry, reason, lambda: self._ask_again(job)),
        )

    def _finish(self, job, fake, spent_ms):
        if not fake.alive:
            self.figures.unknown += 1
            return
        fake.running -= 1
        way_ms = self._way_ms(job.owner.zone, fake.zone)
        back_ms = self.heap.now_ms + way_ms + self.size.caller_ms
        self.figures.finished(self.heap.now_ms, job, spent_ms, back_ms)
        self.heap.after(way_ms, self._come_back, job, fake, fake.report(), True)
        self._start(fake)

    def _come_back(self, job, fake, report, answered):
        entry = job.owner
        held = self._held(entry, fake)
        if held.outstanding:
            held.outstanding -= 1
        if answered:
            entry.admission.record_answer(held, job.sent, now_ms=self.heap.now_ms)
        entry.admission.record_report(held, report[0], now_ms=self.heap.now_ms)
        self._report(entry, fake, report)

    def _report(self, entry, fake, report):
        held = self._held(entry, fake)
        outstanding, connections = report
        held.connections = connections
        entry.chooser.record_report(held.key, outstanding, now_ms=self.heap.now_ms)

    # Refusals

    def _refuse(self, entry, reason, then):
        record = RefusalRecord(
            record_id=self.rng.getrandbits(64),
            caller="caller",
            service=SERVICE,
            flow_id=0,
            number=0,
            refused_ms=int(self.heap.now_ms),
            entry_id=f"entry-{entry.number}",
            reason=reason,
        )
        self.figures.refuse(self.heap.now_ms, reason)
        entry.refusals.add(record, (record.record_id, then))

    def _tick(self, entry):
        if not entry.alive:
            return
        self.heap.after(TICK_MS, self._tick, entry)
        for batch in entry.refusals.batches(now_ms=self.heap.now_ms + 1e6):
            self.journal.update(record.record_id for record in batch.records)
            self.heap.after(JOURNAL_MS, self._recorded, entry, batch.batch)

    def _recorded(self, entry, batch):
        for record_id, then in entry.refusals.release(batch):
            self.figures.told += 1
            self.figures.not_in_journal += record_id not in self.journal
            self.heap.after(self.size.caller_ms, then)

    # Small things

    def _way_ms(self, zone, other):
        return 0.1 if zone == other else self.size.zone_ms

    def _fake(self, held):
        return self.upstreams[held.key.incarnation - 1]

    def _key(self, entry, fake):
        return self._held(entry, fake).key
