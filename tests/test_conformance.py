"""tests.test_conformance: The specs' traces, played into the real decisions."""

import testscenarios
import testtools

from knapweeddeal.actions import Address
from knapweeddeal.messages.caller import NOT_RUN, UNKNOWN, Cancel
from tests.controltracereplay import LogTraceReplay, PlanTraceReplay
from tests.entrycluster import EntryCluster
from tests.flowtracereplay import FlowTraceReplay
from tests.specs import traces
from tests.test_specs import MUTATIONS

#: Rules that the real entries can't be made to take.
NOT_PLAYED = {"restart"}

#: Starts of sound traces: name, start, one of so many states, outcomes alike.
SAMPLES = [
    ("owner crashes", "once, crash cut", 2),
    ("flow is forgotten", "once, crash cut evict renew", 17),
    ("planned stop", "once, crash cut stop", 9),
    ("forced stop", "once, cut stop forced", 5),
    ("cancelled", "once, cut break abort", 4),
    ("two requests", "(once, once), cut", 41),
    ("renewed", "(once, once), cut renew", 199),
]


class Counterexamples(testscenarios.TestWithScenarios, testtools.TestCase):
    """What shows a fault without a guard shows none in the real decisions."""

    scenarios = [
        (f"without {guard}", {"guard": guard, "start": start, "fault": fault})
        for spec, guard, start, fault in MUTATIONS
        if spec == "flows" and "restart" not in start
    ]

    def test_no_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        ((steps, _),) = traces("flows", start, until=self.fault)
        played = FlowTraceReplay()
        played.replay(steps)
        check(self, played)
        if self.fault == "cut-off":
            self.assertEqual(set(), played.numbers_with_outcome(UNKNOWN))


class Samples(testscenarios.TestWithScenarios, testtools.TestCase):
    """The real decisions run and refuse what the spec does."""

    scenarios = [
        (name, {"start": start, "every": every}) for name, start, every in SAMPLES
    ]

    def test_alike(self):
        count = 0
        for steps, last in traces(
            "flows", f"start(all, {self.start})", every=self.every
        ):
            rules = [step.rule for step in steps]
            played = FlowTraceReplay()
            played.replay(steps)
            check(self, played)
            self.assertEqual(ran(last), set(played.runs_by_number()), rules)
            self.assertEqual(refused(last), played.numbers_with_outcome(NOT_RUN), rules)
            count += 1
        self.assertGreater(count, 20)


class LogTraces(testscenarios.TestWithScenarios, testtools.TestCase):
    """What loses a record without a guard loses none in the real replicas.

    LogTraceReplay checks after each step that no committed record is replaced, that
    a term has one leader and that no read is stale.
    """

    scenarios = [
        (f"without {guard}", {"guard": guard, "start": start, "fault": fault})
        for spec, guard, start, fault in MUTATIONS
        if spec == "log"
    ]

    def test_no_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        ((steps, _),) = traces("log", start, until=self.fault)
        played = LogTraceReplay(start=self.start)
        played.replay(steps)
        played.close()
        self.assertNotEqual({}, played.committed_records)


class PlanCounterexamples(testscenarios.TestWithScenarios, testtools.TestCase):
    """What gives a request id two results without a guard gives it one in reality."""

    scenarios = [
        (f"without {guard}", {"guard": guard, "start": start, "fault": fault})
        for spec, guard, start, fault in MUTATIONS
        if spec == "plans"
    ]

    def test_no_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        ((steps, _),) = traces("plans", start, until=self.fault)
        played = PlanTraceReplay()
        played.replay(steps)
        told = played.answers_by_request().values()
        self.assertEqual([], [results for results in told if len(results) > 1])
        won = {result for results in told for result in results}
        versions = [text.split()[-1] for text in won if text.startswith("confirmed")]
        self.assertEqual(sorted(set(versions)), sorted(versions))


class PlanTraces(testscenarios.TestWithScenarios, testtools.TestCase):
    """The replicated state answers what the spec says, resent and restarted."""

    scenarios = [
        ("race", {"start": "race", "every": 1}),
        ("leader deposed", {"start": "race depose", "every": 13}),
        ("restarted", {"start": "race restart", "every": 1}),
        ("confirmed twice", {"start": "race approve(a, 3)", "every": 3}),
    ]

    def test_alike(self):
        for steps, last in traces(
            "plans", f"start(all, {self.start})", every=self.every
        ):
            played = PlanTraceReplay()
            played.replay(steps)
            rules = [step.rule for step in steps]
            self.assertEqual(said(last), played.answers_by_request(), rules)


def said(items):
    """Return what a state of the spec says, by operator and request id."""
    found = {}
    for item in items:
        if str(item.symbol()) == "said":
            operator, request_id, _, result = item.arguments()
            name = (str(operator), int(str(request_id)))
            found.setdefault(name, set()).add(_written(result))
    return found


def _written(result):
    first, *rest = (str(argument) for argument in result.arguments())
    return {
        "planned": lambda: f"planned {rest[0]} {rest[1]}",
        "confirmed": lambda: f"confirmed {first} {rest[1]}",
        "conflict": lambda: "conflict",
    }[str(result.symbol())]()


def check(test, played):
    """Check what must always hold of entries that took a trace.

    The upstream of the trace doesn't run a request twice either, so what counts
    is how often it was forwarded.
    """
    repeated = {n for n, count in played.forwards.items() if count > 1}
    test.assertEqual(set(), repeated)
    test.assertEqual(
        set(), played.numbers_with_outcome(NOT_RUN) & set(played.runs_by_number())
    )
    test.assertEqual([], played.mismatched_answers())


def ran(items):
    """Return the numbers of requests that ran in a state of the spec."""
    return {_number(item, 1) for item in items if str(item.symbol()) == "ran"}


def refused(items):
    """Return the numbers of requests that were said not to run."""
    said = [list(item.arguments()) for item in items if str(item.symbol()) == "said"]
    return {int(str(number)) for number, result in said if str(result) == "notrun"}


def _number(item, place):
    key = list(item.arguments())[place]
    return int(str(list(key.arguments())[1]))


class Idempotent(testscenarios.TestWithScenarios, testtools.TestCase):
    """No request that ran is said not to have run, also if it may be repeated."""

    scenarios = [
        ("cancelled after a break", {"faults": "break", "late": "cancel"}),
        ("out of time after a break", {"faults": "break", "late": "deadline"}),
        ("cancelled under the old ticket", {"faults": "renew", "late": "cancel"}),
        ("out of time under the old ticket", {"faults": "renew", "late": "deadline"}),
    ]
    #: Number under which the request runs, by the fault.
    NUMBERS = {"break": 1, "renew": 2}

    @property
    def runs_as(self):
        """Return the number under which the request runs."""
        return self.NUMBERS[self.faults]

    def test_true(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        first = caller.request(1, idempotent=True)
        getattr(self, f"run_{self.faults}")(cluster, caller, first)
        ((_, number),) = cluster.run_counts
        self.assertEqual(self.runs_as, number)
        cluster.send("a", caller, getattr(self, f"late_{self.late}")(first))
        cluster.advance(200)
        self.assertNotIn(NOT_RUN, caller.outcomes(number))

    def run_break(self, cluster, caller, first):
        cluster.send("a", caller, first)
        cluster.break_stream("a", "u1")

    def run_renew(self, cluster, caller, first):
        cluster.renew("b", caller)
        renewed = first.replace(ticket=caller.ticket, number=2)
        cluster.send("b", caller, renewed)

    def late_cancel(self, first):
        return Cancel(
            service=first.service,
            flow_id=first.flow_id,
            ticket=first.ticket,
            number=first.number,
        )

    def late_deadline(self, first):
        return first.replace(deadline_ms=0, attempt=1)


class HalfHandedOver(testtools.TestCase):
    """A successor that dies half-way through, and no other is left."""

    def test_datagram_of_a_flow_that_was_handed_over(self):
        cluster = EntryCluster(entries=("a", "b"))
        cluster.hold_work = True
        handed = cluster.open("a")
        busy = cluster.open("a", Address(host="127.0.0.8", port=1))
        cluster.send("a", busy, busy.request(1))
        cluster.stop("a")
        cluster.advance(200)
        cluster.kill("b")
        cluster.release()
        cluster.advance(200)
        cluster.send("a", handed, handed.request(1))
        self.assertNotIn("answer", handed.outcomes(1))
