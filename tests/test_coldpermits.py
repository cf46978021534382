"""tests.test_coldpermits: Tests of a forwarder's opening packets to cold upstreams."""

import testscenarios
import testtools

from knapweeddeal.coldpermits import MAX_SYN_HOLD_MS, ExpiringPayload
from knapweeddeal.egressqueue import EgressQueue
from knapweeddeal.messages.cold import ColdAllowance
from knapweeddeal.messages.packets import GONE, ServiceTerms
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetadmission import PacketAdmission
from knapweeddeal.packetforwarder import HEDGE_DELAY_MS
from knapweeddeal.packetheader import RST
from tests.admissionreplay import terms
from tests.packetfakes import (
    SERVICE,
    ForwarderHarness,
    QuietLog,
    packet,
    route,
    routes_push,
    state,
    syn,
)

COLD_MS = 60_000


def harness_with(*states, rate_milli=4_000):
    """Return a forwarder whose service states a rate for cold upstreams."""
    harness = ForwarderHarness(states=states)
    terms = ServiceTerms(
        name=SERVICE,
        max_connections=0,
        cold_start_ms=2_000,
        cold_per_s_milli=rate_milli,
    )
    harness.routes.apply(routes_push(route(), services=[terms]))
    return harness


def cold(number=1, **changes):
    """Return the state of a cold upstream."""
    return state(number, cold_ms=COLD_MS, **changes)


def answer(harness, now_ms, *, count=1, sent_ms=0, retry_ms=400):
    """Answer all requests of a forwarder; return what it sends then."""
    for message, _ in harness.forwarder.cold_permits.pop_requests(sent_ms):
        allowance = ColdAllowance(
            request_id=message.request_id,
            upstream_id=message.upstream_id,
            count=count,
            valid_ms=200,
            retry_ms=0 if count else retry_ms,
        )
        harness.forwarder.apply_cold_allowance(allowance, now_ms)
    return release(harness, now_ms)


def release(harness, now_ms):
    """Return what a forwarder sends of held SYNs."""
    out = []
    harness.forwarder.release_permitted(now_ms, out)
    return out


def is_reset(sent):
    """Return whether exactly a reset was sent."""
    return [data[0] for data, _ in sent] == [RST]


class HeldSyns(testtools.TestCase):
    """A SYN for which only cold upstreams are left needs a permit.

    Without permits, all forwarders together overload upstreams that return cold.
    """

    def test_granted(self):
        harness = harness_with(cold())
        self.assertEqual([], harness.handle_packet(syn()))
        self.assertIsNotNone(harness.forwarder.next_due_ms)
        ((_, address),) = answer(harness, 10)
        self.assertEqual(("10.0.0.1", 80), address)
        self.assertEqual([], harness.handle_packet(syn(port=2), 20))

    def test_value_order(self):
        """With one permit for two SYNs, the flow of higher priority gets it."""
        harness = harness_with(cold())
        low, high = terms("long", 2, 500, 3_000), terms("unsafe", 1, 500, 3_000)
        routes = [route(terms=low), route(port=444, terms=high)]
        services = list(harness.routes.services.values())
        harness.routes.apply(routes_push(*routes, revision=2, services=services))
        admission = PacketAdmission(
            service_load=harness.pool.service_load,
            metrics=harness.metrics,
            log=harness.log,
        )
        harness.forwarder.set_admission(admission)
        self.assertEqual([], harness.handle_packet(syn(port=4_001)))
        self.assertEqual([], harness.handle_packet(syn(port=4_002, to=444)))
        (message, _), *_ = harness.forwarder.cold_permits.pop_requests(0)
        allowance = ColdAllowance(
            request_id=message.request_id,
            upstream_id=message.upstream_id,
            count=1,
            valid_ms=200,
            retry_ms=0,
        )
        harness.forwarder.apply_cold_allowance(allowance, 5)
        ((data, _),) = release(harness, 5)
        self.assertEqual(4_002, int.from_bytes(data[30:32], "little"))

    def test_refused(self):
        """The SYN and those that follow are reset at once, without a new request."""
        harness = harness_with(cold())
        harness.handle_packet(syn())
        self.assertTrue(is_reset(answer(harness, 10, count=0)))
        self.assertTrue(is_reset(harness.handle_packet(syn(port=2), 20)))
        self.assertEqual([], harness.handle_packet(syn(port=3), 410))

    def test_refused_by_one_home(self):
        """Another cold upstream is requested from its home."""
        harness = harness_with(cold(1), cold(2))
        harness.handle_packet(syn())
        self.assertEqual([], answer(harness, 10, count=0))
        ((_, address),) = answer(harness, 20, sent_ms=10)
        self.assertEqual(("10.0.0.2", 80), address)

    def test_late_answer(self):
        """A permit counts from the time of the request, and the SYN is dropped."""
        harness = harness_with(cold())
        harness.handle_packet(syn())
        self.assertEqual([], answer(harness, MAX_SYN_HOLD_MS))
        self.assertEqual([], harness.handle_packet(syn(copy=1), MAX_SYN_HOLD_MS))
        late = MAX_SYN_HOLD_MS + 10
        self.assertEqual(1, len(answer(harness, late, sent_ms=MAX_SYN_HOLD_MS)))

    def test_last_copy(self):
        """The last retransmission is reset if no answer arrives."""
        harness = harness_with(cold())
        harness.handle_packet(syn(copy=2))
        self.assertEqual([], release(harness, MAX_SYN_HOLD_MS - 1))
        self.assertTrue(is_reset(release(harness, MAX_SYN_HOLD_MS)))

    def test_duplicate(self):
        """The network's copy of a SYN that was sent uses no second packet."""
        harness = harness_with(cold())
        harness.handle_packet(syn())
        answer(harness, 10)
        self.assertEqual([], harness.handle_packet(syn(), 12))

    def test_hedge(self):
        """An unanswered SYN goes to a second cold upstream only with a permit."""
        harness = harness_with(cold(1), cold(2))
        harness.handle_packet(syn())
        answer(harness, 10)
        out = []
        harness.forwarder.send_due_hedges(10 + HEDGE_DELAY_MS, out)
        self.assertEqual([], out)

    def test_opened_elsewhere(self):
        """A flow that opened through another forwarder gets no second SYN."""
        harness = harness_with(cold())
        harness.handle_packet(syn())
        echo = harness.pool.find_by_echo(b"\1\0\0\0").echo
        harness.handle_packet(packet(echo=echo, data=b"x"), 5)
        self.assertEqual([], answer(harness, 10))


class Choice(testscenarios.TestWithScenarios, testtools.TestCase):
    """A cold upstream of a rated service is selected after all that aren't avoided."""

    scenarios = [
        ("warm", {"states": [cold(1), state(2)], "chosen": "10.0.0.2"}),
        (
            "warm in another zone",
            {"states": [cold(1), state(2, zone="zone-b")], "chosen": "10.0.0.2"},
        ),
        (
            "failing",
            {"states": [cold(1), state(2, failing=True)], "chosen": None},
        ),
        ("gone", {"states": [cold(1), state(2, status=GONE)], "chosen": None}),
        ("no rate", {"states": [cold(1)], "rate_milli": 0, "chosen": "10.0.0.1"}),
        (
            "no rate, one is warm",
            {"states": [cold(1), state(2)], "rate_milli": 0, "chosen": "10.0.0.2"},
        ),
        (
            "no rate, the warm one is in another zone",
            {
                "states": [cold(1), state(2, zone="zone-b")],
                "rate_milli": 0,
                "chosen": "10.0.0.1",
            },
        ),
    ]
    rate_milli = 4_000

    def test_choice(self):
        harness = harness_with(*self.states, rate_milli=self.rate_milli)
        sent = harness.handle_packet(syn())
        chosen = [(self.chosen, 80)] if self.chosen else []
        self.assertEqual(chosen, [address for _, address in sent])


class OutOfTouch(testscenarios.TestWithScenarios, testtools.TestCase):
    """Without replicas, an upstream that left a SYN unanswered may have restarted."""

    scenarios = [
        ("connected", {"is_connected": True, "needs_permit": False}),
        ("not connected", {"is_connected": False, "needs_permit": True}),
    ]

    def test_unanswered(self):
        harness = harness_with(state())
        harness.forwarder.is_connected = self.is_connected
        harness.handle_packet(syn(), 10)
        harness.forwarder.send_due_hedges(10 + HEDGE_DELAY_MS, [])
        (upstream,) = harness.pool.all()
        self.assertEqual(self.needs_permit, upstream.needs_permit(4_000))


class ExpiredInEgress(testscenarios.TestWithScenarios, testtools.TestCase):
    """A SYN that waited for the link doesn't leave after its permit has expired."""

    scenarios = [
        ("in time", {"now_ms": 199, "sent": 1}),
        ("late", {"now_ms": 200, "sent": 0}),
    ]

    def test_release(self):
        queue = EgressQueue(metrics=Metrics(), log=QuietLog(), link_mbps=1)
        filler = bytes(8) + packet(port=1, data=bytes(1_200))
        sent = 1
        while sent:
            sent = len(queue.release([(filler, ("10.0.0.1", 80))], 0))
        payload = ExpiringPayload(bytes(8) + syn(port=2))
        payload.expires_ms = 200
        queue.release([(payload, ("10.0.0.1", 80))], 0)
        left = [data for data, _ in queue.release([], self.now_ms)]
        self.assertEqual(self.sent, left.count(payload))
