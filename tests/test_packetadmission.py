"""tests.test_packetadmission: Tests of the admission of new flows to a service."""

import testscenarios
import testtools

from bench.admission import NoAdmission, burst, slow_in_burst
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetadmission import (
    CLASS_IDLE_MS,
    FREE_RESPONSE_RATIO,
    MIN_CLASS_SHARE,
    PacketAdmission,
)
from knapweeddeal.packetheader import ACK, RST
from tests.admissionreplay import (
    DOWNLOAD,
    LONG,
    SERVICE,
    UNSAFE,
    AdmissionReplay,
    ServiceLoad,
    terms,
)
from tests.packetfakes import ForwarderHarness, QuietLog, fin, packet, route, state, syn

HIGH, LOW = UNSAFE.terms, LONG.terms
TRIED_FLOWS = 400
BURST_END_MS, OPENING_MS = 8_000, 1_000
#: Upstreams and rates are a sixth of the deployment's, to keep the tests short.
SCALE = 6


class FakeLoad:
    """Return the same figures for any service, or None."""

    def __init__(self, **changes):
        values = {"load_per_slot": 4.5, "rejected_share": 0.5, "response_ms": 170}
        self.load = ServiceLoad(**{**values, "age_ms": 200, **changes})

    def __call__(self, service, now_ms):
        """Return the figures."""
        return self.load


def make_admission(load, *, high=HIGH, low=LOW, low_ms=25, response_ms=None):
    """Return an admission whose classes had answers; then each takes a time."""
    admission = PacketAdmission(service_load=load, metrics=Metrics(), log=QuietLog())
    for now_ms in range(0, 4_000, 10):
        admission.record_response(SERVICE, low, low_ms, now_ms)
        admission.record_response(SERVICE, high, 25, now_ms)
    for _ in range(50):
        response = response_ms or 25 * (FREE_RESPONSE_RATIO + 2)
        admission.record_response(SERVICE, high, response, 4_000)
    return admission


def offer(admission, flow_terms, now_ms, *, step_ms=1):
    """Return the refusals of some new flows that arrive from a time on."""
    flows = [
        admission.refuse(
            SERVICE, flow_terms, b"%012d" % number, now_ms + number * step_ms
        )
        for number in range(TRIED_FLOWS)
    ]
    return [refusal for refusal in flows if refusal is not None]


class Decision(testscenarios.TestWithScenarios, testtools.TestCase):
    """New flows of low value are refused only while a service lacks capacity.

    Guards against refusals in a calm system, by old or missing figures, and of flows
    whose refusal helps nobody of a higher priority.
    """

    low, high, low_ms, response_ms, refuses = LOW, HIGH, 25, None, False
    scenarios = [
        ("half is rejected", {"changes": {}, "refuses": True}),
        (
            "objective is missed",
            {"changes": {"rejected_share": 0, "response_ms": 900}, "refuses": True},
        ),
        ("a free slot", {"changes": {"load_per_slot": 0.9}}),
        ("a few rejections", {"changes": {"rejected_share": 0.15}}),
        ("old figures", {"changes": {"age_ms": 1_000}}),
        ("quick answers", {"changes": {}, "response_ms": 30}),
        (
            "the same priority",
            {"changes": {}, "low": terms("long", 1, 519, 3_200), "low_ms": 60},
        ),
        (
            "short requests of a lower priority",
            {
                "changes": {},
                "high": terms("single", 1, 612, 3_700),
                "low": DOWNLOAD.terms,
                "low_ms": 4,
            },
        ),
        (
            "a deadline that can't be met",
            {"changes": {}, "low": terms("long", 1, 80, 100), "refuses": True},
        ),
    ]

    def test_refused(self):
        admission = make_admission(
            FakeLoad(**self.changes),
            high=self.high,
            low=self.low,
            low_ms=self.low_ms,
            response_ms=self.response_ms,
        )
        offer(admission, self.high, 4_000)
        self.assertEqual(self.refuses, bool(offer(admission, self.low, 4_500)))
        self.assertEqual([], offer(admission, self.high, 5_000))

    def test_missing(self):
        """Without figures all flows are admitted, also after refusals."""
        load = FakeLoad()
        admission = make_admission(load)
        offer(admission, self.high, 4_000)
        self.assertNotEqual([], offer(admission, LOW, 4_500))
        load.load = None
        self.assertEqual([], offer(admission, LOW, 5_000))


class Shares(testtools.TestCase):
    """A class keeps its minimum share, and a flow its decision."""

    def setUp(self):
        super().setUp()
        self.load = FakeLoad(rejected_share=0.95)
        self.admission = make_admission(self.load)
        offer(self.admission, HIGH, 4_000)
        offer(self.admission, LOW, 4_500)
        self.refused = offer(self.admission, LOW, 5_000, step_ms=0)

    def test_minimum(self):
        admitted = TRIED_FLOWS - len(self.refused)
        self.assertGreaterEqual(admitted, MIN_CLASS_SHARE * TRIED_FLOWS * 0.7)
        self.assertGreater(len(self.refused), TRIED_FLOWS / 2)

    def test_duplicate(self):
        """A network's duplicate of a refused SYN can't open the flow that was reset."""
        again = offer(self.admission, LOW, 5_010, step_ms=0)
        self.assertEqual(len(self.refused), len(again))

    def test_inputs(self):
        fields = self.refused[-1].fields()
        self.assertEqual(0.95, fields["rejected_share"])
        self.assertEqual(MIN_CLASS_SHARE, fields["class_share"])

    def test_retries(self):
        """Retries of refused flows don't lower the share of another class."""
        for number in range(5):
            offer(self.admission, LOW, 5_050 + 50 * number, step_ms=0)
        self.assertEqual([], offer(self.admission, HIGH, 5_300))

    def test_old_figure_counts_once(self):
        """Figures from before a refusal don't lower the share again."""
        admission = make_admission(self.load)
        offer(admission, HIGH, 4_000, step_ms=0)
        share = admission.dump(4_000)[0]["admitted_share"]
        offer(admission, HIGH, 4_100)
        self.assertEqual(share, admission.dump(4_500)[0]["admitted_share"])
        self.assertLess(share, 1.0)

    def test_lowest_first(self):
        """Of two classes that a higher priority precedes, the lower one is refused."""
        load = FakeLoad(rejected_share=0.25)
        middle, lowest = terms("long", 2, 519, 3_200), terms("long", 4, 519, 3_200)
        admission = make_admission(load)
        for flow_terms in (HIGH, middle, lowest):
            offer(admission, flow_terms, 4_000, step_ms=0)
        refused = [len(offer(admission, t, 4_500, step_ms=0)) for t in (middle, lowest)]
        self.assertLess(refused[0], refused[1] / 2)

    def test_expire(self):
        self.admission.expire(CLASS_IDLE_MS + 10_000)
        self.assertEqual([], self.admission.dump(CLASS_IDLE_MS + 10_000))


class ServiceTime(testtools.TestCase):
    """The service time of a route is estimated from answers without a wait."""

    def test_burst(self):
        """A burst, in which requests wait, doesn't change the estimate."""
        admission = make_admission(lambda service, now_ms: None)
        for now_ms in range(4_000, 9_000, 5):
            admission.record_response(SERVICE, LOW, 170, now_ms)
        self.assertEqual(25, admission.service_ms(SERVICE, LOW))

    def test_refusing(self):
        """A lasting shortage doesn't pass for a slower service."""
        admission = make_admission(FakeLoad())
        for now_ms in range(4_000, 34_000, 50):
            admission.refuse(SERVICE, HIGH, b"%012d" % now_ms, now_ms)
            admission.record_response(SERVICE, LOW, 170, now_ms)
        self.assertEqual(25, admission.service_ms(SERVICE, LOW))

    def test_unknown(self):
        admission = make_admission(lambda service, now_ms: None)
        self.assertIsNone(admission.service_ms(SERVICE, DOWNLOAD.terms))
        self.assertIsNone(admission.service_ms("other", LOW))


class Replay(testscenarios.TestWithScenarios, testtools.TestCase):
    """Callers get more of the same capacity than from the upstreams' rejections.

    The load is eight times the usual one for 5 s, while 40 % of upstreams are 4 times
    slower.
    """

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in (1, 2, 3)]

    def play(self, factor, make_policy=None, **fields):
        """Return the replay of three classes at a sixth of the deployment."""
        traffic = [
            burst(t.replace(per_s=t.per_s / SCALE), factor)
            for t in (LONG, UNSAFE, DOWNLOAD)
        ]
        replay = AdmissionReplay(
            traffic=traffic,
            make_policy=make_policy,
            upstreams=60 // SCALE,
            forwarders=2,
            seed=self.seed,
            **fields,
        )
        return replay.play(11_000)

    def test_burst(self):
        admission = self.play(8.0, slowness=slow_in_burst)
        none = self.play(8.0, NoAdmission, slowness=slow_in_burst)
        self.assertGreater(admission.worth, none.worth)
        for kind in ("single", "download"):
            outcome = admission.outcomes[kind]
            self.assertGreater(outcome.served_share, none.outcomes[kind].served_share)
            self.assertEqual(0, outcome.resets)
        low = admission.outcomes["long"]
        self.assertGreater(low.served_share, MIN_CLASS_SHARE)
        self.assertLess(max(admission.reset_ms), BURST_END_MS + OPENING_MS)

    def test_calm(self):
        """Nothing is refused, also if the load is a multiple that the slots bear."""
        for factor in (1.0, 3.0):
            self.assertEqual([], self.play(factor).reset_ms)


class Recorder:
    """Admit all flows and record response times."""

    def __init__(self):
        self.times = []

    def refuse(self, service, flow_terms, flow_key, now_ms):
        """Admit a flow."""

    def record_response(self, service, flow_terms, response_ms, now_ms):
        """Record a response time and when it was known."""
        self.times.append((response_ms, now_ms))


class AtTheSyn(testtools.TestCase):
    """A forwarder resets the first SYN of a flow that isn't admitted, and no other."""

    def setUp(self):
        super().setUp()
        unstated = terms("", 2, 519, 3_200)
        routes = [route(terms=LOW), route(port=444, terms=unstated)]
        self.harness = ForwarderHarness(routes=routes, states=[state(1)])
        self.load = FakeLoad(rejected_share=0.95)
        self.admission = make_admission(self.load)
        offer(self.admission, HIGH, 4_000)
        offer(self.admission, LOW, 4_500)
        self.harness.forwarder.set_admission(self.admission)

    def resets(self, **fields):
        """Return the number of resets of some SYNs."""
        sent = [
            self.harness.handle_packet(syn(port=port, **fields), 5_000)
            for port in range(1, 101)
        ]
        return sum(out[0][0][0] == RST for out in sent if out)

    def test_refused(self):
        self.assertGreater(self.resets(), 50)
        _, fields = self.harness.log.lines[-1]
        expected = {"reason": "service overloaded", "service": SERVICE, "priority": 2}
        self.assertEqual(expected, {key: fields[key] for key in expected})
        self.assertEqual(0.95, fields["rejected_share"])

    def test_not_refused(self):
        """Retransmissions may belong to an open flow; other routes don't take part."""
        self.assertEqual(0, self.resets(copy=1))
        self.assertEqual(0, self.resets(to=444))
        self.harness.forwarder.set_admission(None)
        self.assertEqual(0, self.resets())

    def test_response_time(self):
        """A request is timed until its caller acknowledges data, unless repeated."""
        recorder = Recorder()
        self.harness.forwarder.set_admission(recorder)
        _, echo = self.harness.open(port=5, now_ms=100)
        for now_ms, fields in (
            (110, {"flags": ACK}),
            (130, {"flags": ACK, "copy": 500}),
            (135, {"flags": ACK, "copy": 900}),
            (200, {"sequence": 8, "copy": 900, "data": b"x"}),
            (400, {"sequence": 8, "copy": 900, "data": b"x"}),
            (420, {"sequence": 9, "copy": 950, "data": b"x"}),
        ):
            self.harness.handle_packet(packet(port=5, echo=echo, **fields), now_ms)
        self.harness.handle_packet(fin(port=5, echo=echo, copy=990), 450)
        self.assertEqual([(30, 130), (30, 450)], recorder.times)
