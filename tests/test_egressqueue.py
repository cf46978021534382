"""tests.test_egressqueue: Tests of the queue in front of a VM's own link."""

import testscenarios
import testtools

from knapweeddeal.egressqueue import (
    BURST_MS,
    LONG_REQUEST_PACKETS,
    MAX_BACKLOG_MS,
    MAX_DATAGRAM_BYTES,
    MIN_BURST_BYTES,
    PACED_SHARE,
    REFUSAL_BACKLOG_MS,
    STALE_MS,
    EgressQueue,
)
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetheader import FIN, ROUTE_SLICE, RST, SYN
from knapweeddeal.packetroutes import RouteTable
from knapweeddeal.tokenbucket import TokenBucket
from tests.admissionreplay import terms
from tests.egressreplay import Caller, FifoQueue, Link, Replay, UnpacedQueue
from tests.packetfakes import (
    PORT,
    ForwarderHarness,
    QuietLog,
    fin,
    packet,
    route,
    routes_push,
    state,
    syn,
)

ADDRESS = ("10.0.0.1", 80)
PREFIX = (1).to_bytes(8, "big")
NARROW_MBPS = 1.4
NARROW_BYTES_PER_MS = 175
#: Queue of the modelled link.
LINK_QUEUE_BYTES = 8_000
PLAYED_MS = 10_000
#: Time in which an upload of 40,000 bytes is to be done on the platform's grown sites.
UPLOAD_AIM_MS = 1_200
UPLOAD_BYTES = 40_000
#: Time in which a short request is to be done there, a quarter of it for the open.
OPEN_AIM_MS = 100


def make_queue(mbps=NARROW_MBPS):
    """Return an egress queue."""
    return EgressQueue(metrics=Metrics(), log=QuietLog(), link_mbps=mbps)


def make_fifo():
    """Return a FIFO queue with the egress queue's rate."""
    rate = NARROW_BYTES_PER_MS * PACED_SHARE
    return FifoQueue(bucket=TokenBucket(rate=rate, burst_bytes=MIN_BURST_BYTES))


def data_packet(*, port=40_001, number=0, size_bytes=1_200, to=PORT):
    """Return a packet with data on its way to an upstream, and its address."""
    data = b"x" * size_bytes
    sequence = 8 + number * 1_200
    return (PREFIX + packet(port=port, sequence=sequence, data=data, to=to), ADDRESS)


def burst(port, count, *, to=PORT):
    """Return some packets that a caller sends at once."""
    return [data_packet(port=port, number=number, to=to) for number in range(count)]


def ports_of(packets):
    """Return the callers' ports of some packets."""
    return [int.from_bytes(payload[30:32], "little") for payload, _ in packets]


def drain(queue, now_ms):
    """Return all that waits, in the order in which it leaves, and the end time."""
    packets = []
    while (due_ms := queue.next_due_ms(now_ms)) is not None:
        now_ms = max(due_ms, now_ms)
        packets += queue.release([], now_ms)
    return packets, now_ms


class Uploads(testscenarios.TestWithScenarios, testtools.TestCase):
    """Uploads over a narrow link are done in time, and nothing is lost in the link."""

    scenarios = [
        ("one", {"count": 1, "aim_ms": UPLOAD_AIM_MS}),
        ("two", {"count": 2, "aim_ms": UPLOAD_AIM_MS}),
        ("four", {"count": 4, "aim_ms": UPLOAD_AIM_MS}),
        ("twelve, at the rate of the link", {"count": 12, "aim_ms": 3_500}),
    ]

    def play(self, queue):
        """Return the callers and the link at the end."""
        link = Link(mbps=NARROW_MBPS, queue_bytes=LINK_QUEUE_BYTES)
        callers = [
            Caller(port=number, size_bytes=UPLOAD_BYTES)
            for number in range(1, self.count + 1)
        ]
        Replay(queue=queue, link=link, callers=callers).run(PLAYED_MS)
        return callers, link

    def test_in_time(self):
        callers, link = self.play(make_queue())
        self.assertEqual(0, link.dropped)
        self.assertLessEqual(max(caller.wait_ms for caller in callers), self.aim_ms)

    def test_without_the_queue(self):
        """Without it the link drops a part of each burst, and uploads end later."""
        unpaced, link = self.play(UnpacedQueue())
        self.assertGreater(link.dropped, 0)
        paced, _ = self.play(make_queue())
        longest_ms = [
            max(caller.wait_ms or PLAYED_MS for caller in callers)
            for callers in (paced, unpaced)
        ]
        self.assertLess(*longest_ms)


class ShortRequests(testscenarios.TestWithScenarios, testtools.TestCase):
    """A flow opens at once, however many uploads share the link."""

    scenarios = [(f"{count} uploads", {"count": count}) for count in (1, 2, 8)]

    def play(self, queue):
        """Return callers with short requests."""
        uploads = [
            Caller(port=number, size_bytes=UPLOAD_BYTES)
            for number in range(1, self.count + 1)
        ]
        short = [
            Caller(port=100 + number, size_bytes=900, start_ms=30 + 20 * number)
            for number in range(5)
        ]
        link = Link(mbps=NARROW_MBPS, queue_bytes=LINK_QUEUE_BYTES)
        Replay(queue=queue, link=link, callers=[*uploads, *short]).run(PLAYED_MS)
        return short

    def test_opened_in_time(self):
        waits_ms = [caller.open_wait_ms for caller in self.play(make_queue())]
        self.assertLessEqual(max(waits_ms), OPEN_AIM_MS)

    def test_earlier_than_in_arrival_order(self):
        fair = [caller.wait_ms for caller in self.play(make_queue())]
        plain = [caller.wait_ms for caller in self.play(make_fifo())]
        self.assertLess(max(fair), max(plain))


class Order(testtools.TestCase):
    """Flows take turns; packets of one flow keep their order."""

    def test_turns(self):
        queue = make_queue()
        first = queue.release(burst(1, 8) + burst(2, 8), 0)
        rest, _ = drain(queue, 0)
        ports = ports_of(first + rest)
        self.assertEqual(8, ports.count(1))
        self.assertEqual(8, ports.count(2))
        for end in range(2, 17, 2):
            counts = [ports[:end].count(port) for port in (1, 2)]
            self.assertLessEqual(abs(counts[0] - counts[1]), 1)

    def test_order_in_a_flow(self):
        queue = make_queue()
        packets = [*burst(1, 6), (PREFIX + fin(port=1, sequence=9_000), ADDRESS)]
        sent = queue.release(list(packets), 0)
        self.assertEqual(packets, sent + drain(queue, 0)[0])

    def test_new_flow_first(self):
        queue = make_queue()
        queue.release(burst(1, 16) + burst(2, 16), 0)
        request = (PREFIX + syn(port=3), ADDRESS)
        self.assertEqual([], queue.release([request], 0))
        self.assertEqual([request], drain(queue, 0)[0][:1])

    def test_flows_that_are_often_new(self):
        """Flows that send packets one by one can't keep an upload from its turns."""
        queue = make_queue()
        queue.release(burst(1, 40), 0)
        sent = []
        for now_ms in range(600):
            single = []
            if now_ms % 17 in (0, 8):
                port = 2 + now_ms % 17 // 8
                single = [data_packet(port=port, number=now_ms)]
            sent += queue.release(single, now_ms)
        self.assertGreaterEqual(ports_of(sent).count(1), 20)


class Rate(testscenarios.TestWithScenarios, testtools.TestCase):
    """Packets leave at the paced rate, which leaves room for the process's streams."""

    scenarios = [(f"{mbps} Mbit/s", {"mbps": mbps}) for mbps in (0.5, 1.4, 2.0, 350.0)]

    def test_rate(self):
        queue, bytes_per_ms = make_queue(self.mbps), self.mbps * 125
        sent_bytes, until_ms, number = 0, 400, 0
        for now_ms in range(until_ms):
            packets = []
            for port in range(1, 41):
                packets.append(data_packet(port=port, number=now_ms % 16))
                number += 1
            for payload, _ in queue.release(packets, now_ms):
                sent_bytes += len(payload) + 28
        most_bytes = max(BURST_MS * bytes_per_ms, MIN_BURST_BYTES) + MAX_DATAGRAM_BYTES
        most_bytes += PACED_SHARE * bytes_per_ms * until_ms
        self.assertLessEqual(sent_bytes, most_bytes)

    def test_idle_link(self):
        """A packet that finds an idle link leaves at once."""
        queue = make_queue(self.mbps)
        for now_ms in range(0, 100_000, 1_000):
            packets = [data_packet()]
            self.assertEqual(packets, queue.release(packets, now_ms))
            self.assertIsNone(queue.next_due_ms(now_ms))


class NoRate(testtools.TestCase):
    """Without a rate nothing waits; a reload can set and unset the rate."""

    def test_no_rate(self):
        queue = make_queue(None)
        packets = burst(1, 64)
        self.assertEqual(packets, queue.release(list(packets), 0))
        self.assertEqual(0, queue.backlog_bytes)
        self.assertFalse(queue.refuses(packets[0][0][24:30], 0))

    def test_rate_is_unset(self):
        queue = make_queue()
        sent = queue.release(burst(1, 16), 0)
        self.assertGreater(queue.backlog_bytes, 0)
        queue.set_rate(None)
        sent += queue.release([], 1)
        self.assertEqual(16, len(sent))

    def test_rate_is_set(self):
        queue = make_queue(None)
        queue.set_rate(NARROW_MBPS)
        self.assertLess(len(queue.release(burst(1, 16), 0)), 4)


class Copies(testscenarios.TestWithScenarios, testtools.TestCase):
    """A copy of a packet that waits takes its place; other packets are no copies."""

    first = packet(sequence=70, data=b"x" * 1_200)
    scenarios = [
        ("same bytes", {"data": first, "is_copy": True}),
        (
            "newer acknowledgment",
            {"data": packet(sequence=70, copy=9, data=b"x" * 1_200), "is_copy": True},
        ),
        (
            "other sequence",
            {"data": packet(sequence=71, data=b"x" * 1_200), "is_copy": False},
        ),
        (
            "other length",
            {"data": packet(sequence=70, data=b"x" * 1_199), "is_copy": False},
        ),
        (
            "other flags",
            {
                "data": packet(flags=FIN, sequence=70, data=b"x" * 1_200),
                "is_copy": False,
            },
        ),
        (
            "other flow",
            {
                "data": packet(port=2, sequence=70, data=b"x" * 1_200),
                "is_copy": False,
            },
        ),
    ]

    def test_copy(self):
        queue = make_queue()
        queue.release(burst(9, 4), 0)
        queue.release([(PREFIX + self.first, ADDRESS)], 0)
        before_bytes = queue.backlog_bytes
        queue.release([(PREFIX + self.data, ADDRESS)], 0)
        self.assertEqual(self.is_copy, queue.backlog_bytes == before_bytes)
        payloads = [payload for payload, _ in drain(queue, 0)[0]]
        self.assertIn(PREFIX + self.data, payloads)


class Backlog(testtools.TestCase):
    """What waits too long is dropped or refused; the backlog is bounded."""

    def setUp(self):
        super().setUp()
        self.harness = ForwarderHarness(
            routes=[route(), route(port=444)],
            states=[state(1)],
            link_mbps=NARROW_MBPS,
        )
        self.queue = self.harness.egress

    def fill(self, backlog_ms, now_ms=0):
        """Queue uploads on the first route until the link needs a time for them."""
        port = 1_000
        while self.queue.backlog_ms < backlog_ms:
            port += 1
            self.queue.release(burst(port, LONG_REQUEST_PACKETS), now_ms)

    def reasons(self):
        """Return the reasons of dropped packets and reset flows."""
        return {fields["reason"] for _, fields in self.harness.log.lines if fields}

    def offer(self, data, now_ms=0):
        """Return the flags of the packets that a caller's packet leads to."""
        out = self.harness.handle_packet(data, now_ms)
        return [payload[0] if len(payload) == 32 else payload[8] for payload, _ in out]

    def test_refused(self):
        """A new flow with long requests is reset before any upstream has it."""
        self.fill(REFUSAL_BACKLOG_MS)
        self.assertEqual([RST], self.offer(syn(port=7)))
        self.assertEqual({"egress backlog"}, self.reasons())
        self.assertEqual(0, self.harness.forwarder.flow_count)

    def test_not_refused(self):
        """Other routes, open flows and flows before a long backlog are served."""
        self.fill(REFUSAL_BACKLOG_MS - 100)
        self.assertEqual([SYN], self.offer(syn(port=7)))
        self.fill(REFUSAL_BACKLOG_MS)
        self.assertEqual([SYN], self.offer(syn(port=8, to=444)))
        self.assertEqual([SYN], self.offer(syn(port=7, copy=1)))
        self.assertEqual([SYN], self.offer(syn(port=9, copy=1)))

    def test_refused_no_longer(self):
        self.fill(REFUSAL_BACKLOG_MS)
        _, now_ms = drain(self.queue, 0)
        self.assertEqual([SYN], self.offer(syn(port=7), now_ms))

    def test_stale(self):
        """Packets that nobody repeats are dropped; repeated ones are sent."""
        kept = data_packet(port=2, number=5)
        self.queue.release([*burst(1, 8), *burst(2, 8)], 0)
        self.queue.release([kept], STALE_MS - 1)
        payloads = [payload for payload, _ in drain(self.queue, STALE_MS)[0]]
        self.assertEqual([kept[0]], payloads)
        self.assertEqual({"stale"}, self.reasons())

    def test_bound(self):
        """Over the bound the longest flow loses its last packets, a new one none."""
        for number in range(1_000):
            self.queue.release([data_packet(port=1, number=number)], 0)
            self.queue.release([data_packet(port=2, number=number // 4)], 0)
        self.assertLessEqual(self.queue.backlog_ms, MAX_BACKLOG_MS)
        self.assertEqual({"egress queue full"}, self.reasons())
        request = (PREFIX + syn(port=3), ADDRESS)
        self.queue.release([request], 0)
        self.assertIn(request, drain(self.queue, 0)[0][:3])

    def test_full(self):
        """A flow that waits can't push out what waits already."""
        for number in range(1_000):
            self.queue.release([data_packet(port=1, number=number)], 0)
        before_bytes = self.queue.backlog_bytes
        late = data_packet(port=1, number=1_000, size_bytes=1_199)
        self.queue.release([late], 0)
        self.assertEqual(before_bytes, self.queue.backlog_bytes)

    def test_upstream_not_blamed(self):
        """A caller's repeats of what waits here don't count against the upstream."""
        address, echo = self.harness.open(port=5)
        data = packet(port=5, echo=echo, sequence=100, data=b"x" * 1_200)
        self.queue.release([*burst(1, 8), *burst(2, 8)], 0)
        self.queue.release([(PREFIX + data, address)], 0)
        for now_ms in (200, 600, 1_400):
            self.harness.handle_packet(data, now_ms)
        totals = self.harness.forwarder.pop_request_totals(1_500)
        self.assertEqual(0, sum(total.unanswered for total in totals.values()))

    def test_syn_that_waits(self):
        """An upstream isn't suspected of a SYN that hasn't left yet."""
        out = self.harness.handle_packet(syn(port=5))
        self.queue.release([*burst(1, 8), *burst(2, 8)], 0)
        self.queue.release(out, 0)
        sent = []
        self.harness.forwarder.send_due_hedges(30, sent)
        (upstream,) = self.harness.pool.all()
        self.assertEqual([], sent)
        self.assertFalse(upstream.is_suspect(30))
        self.assertEqual(60, self.harness.forwarder.next_due_ms)


#: Ports of routes of the highest, a middle and the lowest priority, and without terms.
HIGH, MIDDLE, LOW, PLAIN = 501, 502, 503, 504


def route_table(*priorities, timeout_ms=1_000):
    """Return a table with routes of some priorities, and one without terms."""
    routes = [route(port=PLAIN)]
    for port, priority in zip((HIGH, MIDDLE, LOW), priorities, strict=False):
        routes.append(route(port=port, terms=terms("single", priority, 0, timeout_ms)))
    table = RouteTable()
    table.apply(routes_push(*routes))
    return table


class Priorities(testtools.TestCase):
    """What is delayed or refused behind a backlog is what costs callers least."""

    def setUp(self):
        super().setUp()
        self.queue = make_queue()
        self.queue.set_routes(route_table(1, 2, 5))

    def fill(self, to, *, first_port, backlog_bytes):
        """Queue uploads on a route until more bytes wait."""
        until_bytes = self.queue.backlog_bytes + backlog_bytes
        while self.queue.backlog_bytes < until_bytes:
            first_port += 1
            self.queue.release(burst(first_port, LONG_REQUEST_PACKETS, to=to), 0)

    def test_highest_first(self):
        """A backlog of low priority can't delay flows of a higher one."""
        self.queue.release(burst(1, 16, to=LOW), 0)
        self.queue.release(burst(2, 4, to=MIDDLE) + burst(3, 4, to=HIGH), 0)
        ports = ports_of(drain(self.queue, 0)[0])
        self.assertEqual([3] * 4 + [2] * 4, [port for port in ports if port != 1])
        self.assertLess(ports.index(2), 8)
        self.assertLessEqual(ports[:8].count(1), 2)

    def test_minimum_share(self):
        """A lasting backlog of high priority can't stop the lower ones."""
        self.fill(LOW, first_port=100, backlog_bytes=30_000)
        self.fill(MIDDLE, first_port=200, backlog_bytes=30_000)
        self.fill(HIGH, first_port=300, backlog_bytes=120_000)
        ports = ports_of(drain(self.queue, 0)[0])[:100]
        counts = [sum(low < port < low + 100 for port in ports) for low in (100, 200)]
        self.assertGreaterEqual(min(counts), 17)
        self.assertLessEqual(max(counts), 23)

    def test_without_terms(self):
        """Routes without terms take turns with the highest priority."""
        self.queue.release(burst(1, 8, to=HIGH) + burst(2, 8, to=PLAIN), 0)
        ports = ports_of(drain(self.queue, 0)[0])
        self.assertLessEqual(abs(ports[:8].count(1) - ports[:8].count(2)), 1)

    def test_same_priority(self):
        """With one priority the order is that of a queue without terms."""
        orders = []
        for table in (route_table(3, 3, 3, timeout_ms=1), None):
            queue = make_queue()
            queue.set_routes(table)
            sent = []
            for number in range(1, 21):
                to = (HIGH, MIDDLE, PLAIN)[number % 3]
                sent += queue.release(burst(number, 3, to=to), 3 * number)
            orders.append(ports_of(sent + drain(queue, 60)[0]))
        self.assertEqual(*orders)

    def test_deadline_passed(self):
        """What is useless to its caller leaves after all that isn't."""
        self.queue.release(burst(9, 3, to=LOW) + burst(1, 4, to=HIGH), 0)
        sent = []
        for port in (20, 21, 22):
            sent += self.queue.release(burst(port, 16, to=LOW), 1_000)
        ports = ports_of(sent + drain(self.queue, 1_000)[0])
        self.assertEqual({20, 21, 22}, set(ports[:48]))
        self.assertIn(1, ports[48:])

    def test_refused(self):
        """New flows are refused for what waits before them."""
        rate = NARROW_BYTES_PER_MS * PACED_SHARE
        self.fill(HIGH, first_port=100, backlog_bytes=rate * REFUSAL_BACKLOG_MS / 2)
        self.fill(LOW, first_port=200, backlog_bytes=rate * REFUSAL_BACKLOG_MS / 2)
        keys = [syn(to=port)[ROUTE_SLICE] for port in (HIGH, LOW)]
        self.assertEqual([False, True], [self.queue.refuses(key, 0) for key in keys])
        self.fill(HIGH, first_port=300, backlog_bytes=rate * REFUSAL_BACKLOG_MS / 2)
        self.assertTrue(self.queue.refuses(keys[0], 0))

    def test_full(self):
        """Over the bound the lowest priority makes room, and never a higher one."""
        rate = NARROW_BYTES_PER_MS * PACED_SHARE
        self.fill(MIDDLE, first_port=100, backlog_bytes=rate * MAX_BACKLOG_MS - 9_000)
        self.fill(LOW, first_port=200, backlog_bytes=5_000)
        self.queue.release(burst(1, 6, to=LOW) + burst(2, 12, to=HIGH), 0)
        self.queue.release(burst(3, 1, to=LOW), 0)
        ports = ports_of(drain(self.queue, 0)[0])
        self.assertEqual(12, ports.count(2))
        self.assertEqual(0, ports.count(3))
