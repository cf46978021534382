"""tests.test_conformance: Replay of traces of the specs on the real code."""

import testscenarios
import testtools

from knapweeddeal.actions import Address
from knapweeddeal.messages.caller import NOT_RUN, UNKNOWN, Cancel
from tests.controltracereplay import LogTraceReplay, PlanTraceReplay
from tests.entrycluster import EntryCluster
from tests.flowtracereplay import FlowTraceReplay
from tests.specs import traces
from tests.test_specs import MUTATIONS

#: Rules that can't be replayed on real entries.
NOT_REPLAYED = {"restart"}

#: Correct traces by name, start term and n; those to every n-th state are replayed.
SAMPLES = [
    ("owner crashes", "once, crash cut", 2),
    ("flow is evicted", "once, crash cut evict renew", 17),
    ("planned stop", "once, crash cut stop", 9),
    ("forced stop", "once, cut stop forced", 5),
    ("cancelled", "once, cut break abort", 4),
    ("two requests", "(once, once), cut", 41),
    ("renewed", "(once, once), cut renew", 199),
]


class Counterexamples(testscenarios.TestWithScenarios, testtools.TestCase):
    """A trace that breaks the spec without a guard breaks nothing in the real code."""

    scenarios = [
        (f"without {guard}", {"guard": guard, "start": start, "fault": fault})
        for spec, guard, start, fault in MUTATIONS
        if spec == "flows" and "restart" not in start
    ]

    def test_no_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        ((steps, _),) = traces("flows", start, until=self.fault)
        replay = FlowTraceReplay()
        replay.replay(steps)
        check_invariants(self, replay)
        if self.fault == "cut-off":
            self.assertEqual(set(), replay.numbers_with_outcome(UNKNOWN))


class Samples(testscenarios.TestWithScenarios, testtools.TestCase):
    """The real code runs and refuses the same requests as the spec."""

    scenarios = [
        (name, {"start": start, "every": every}) for name, start, every in SAMPLES
    ]

    def test_same_outcomes(self):
        count = 0
        for steps, last in traces(
            "flows", f"start(all, {self.start})", every=self.every
        ):
            rules = [step.rule for step in steps]
            replay = FlowTraceReplay()
            replay.replay(steps)
            check_invariants(self, replay)
            self.assertEqual(
                spec_run_numbers(last), set(replay.runs_by_number()), rules
            )
            self.assertEqual(
                spec_refused_numbers(last), replay.numbers_with_outcome(NOT_RUN), rules
            )
            count += 1
        self.assertGreater(count, 20)


class LogTraces(testscenarios.TestWithScenarios, testtools.TestCase):
    """A trace that loses a record without a guard loses none in the real replicas.

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
        replay = LogTraceReplay(start=self.start)
        replay.replay(steps)
        replay.close()
        self.assertNotEqual({}, replay.committed_records)


class PlanCounterexamples(testscenarios.TestWithScenarios, testtools.TestCase):
    """A trace that answers a request id twice without a guard answers it once here."""

    scenarios = [
        (f"without {guard}", {"guard": guard, "start": start, "fault": fault})
        for spec, guard, start, fault in MUTATIONS
        if spec == "plans"
    ]

    def test_no_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        ((steps, _),) = traces("plans", start, until=self.fault)
        replay = PlanTraceReplay()
        replay.replay(steps)
        answers = replay.answers_by_request().values()
        self.assertEqual([], [results for results in answers if len(results) > 1])
        unique_results = {result for results in answers for result in results}
        versions = [
            text.split()[-1] for text in unique_results if text.startswith("confirmed")
        ]
        self.assertEqual(sorted(set(versions)), sorted(versions))


class PlanTraces(testscenarios.TestWithScenarios, testtools.TestCase):
    """The replicated state answers like the spec, also after resends and restarts."""

    scenarios = [
        ("race", {"start": "race", "every": 1}),
        ("leader deposed", {"start": "race depose", "every": 13}),
        ("restarted", {"start": "race restart", "every": 1}),
        ("confirmed twice", {"start": "race approve(a, 3)", "every": 3}),
    ]

    def test_same_answers(self):
        for steps, last in traces(
            "plans", f"start(all, {self.start})", every=self.every
        ):
            replay = PlanTraceReplay()
            replay.replay(steps)
            rules = [step.rule for step in steps]
            self.assertEqual(spec_answers(last), replay.answers_by_request(), rules)


def spec_answers(items):
    """Return the answers in a state of the spec by operator and request id."""
    found = {}
    for item in items:
        if str(item.symbol()) == "said":
            operator, request_id, _, result = item.arguments()
            name = (str(operator), int(str(request_id)))
            found.setdefault(name, set()).add(_result_text(result))
    return found


def _result_text(result):
    first, *rest = (str(argument) for argument in result.arguments())
    return {
        "planned": lambda: f"planned {rest[0]} {rest[1]}",
        "confirmed": lambda: f"confirmed {first} {rest[1]}",
        "conflict": lambda: "conflict",
    }[str(result.symbol())]()


def check_invariants(test, replay):
    """Check the invariants of entries after the replay of a trace.

    Counts how often a request was forwarded, not how often it ran, because the upstream
    of the trace also suppresses duplicates.
    """
    repeated = {n for n, count in replay.forwards.items() if count > 1}
    test.assertEqual(set(), repeated)
    test.assertEqual(
        set(), replay.numbers_with_outcome(NOT_RUN) & set(replay.runs_by_number())
    )
    test.assertEqual([], replay.mismatched_answers())


def spec_run_numbers(items):
    """Return the numbers of requests that ran in a state of the spec."""
    return {_number(item, 1) for item in items if str(item.symbol()) == "ran"}


def spec_refused_numbers(items):
    """Return the numbers of requests that a state of the spec reports as not run."""
    outcomes = [
        list(item.arguments()) for item in items if str(item.symbol()) == "said"
    ]
    return {int(str(number)) for number, result in outcomes if str(result) == "notrun"}


def _number(item, position):
    key = list(item.arguments())[position]
    return int(str(list(key.arguments())[1]))


class Idempotent(testscenarios.TestWithScenarios, testtools.TestCase):
    """No idempotent request that ran is reported as not run.

    It may run again after a broken stream, or under a new number after a renewed
    ticket. A late cancellation or expired deadline of the first try must not give
    `not_run`.
    """

    scenarios = [
        ("cancelled after a break", {"faults": "break", "late": "cancel"}),
        ("deadline expires after a break", {"faults": "break", "late": "deadline"}),
        ("cancelled under the old ticket", {"faults": "renew", "late": "cancel"}),
        (
            "deadline expires under the old ticket",
            {"faults": "renew", "late": "deadline"},
        ),
    ]
    #: Number under which the request runs, by fault.
    RUN_NUMBERS = {"break": 1, "renew": 2}

    @property
    def run_number(self):
        """Return the number under which the request runs."""
        return self.RUN_NUMBERS[self.faults]

    def test_not_reported_as_not_run(self):
        cluster = EntryCluster()
        cluster.hold_work = True
        caller = cluster.open("a")
        first = caller.request(1, idempotent=True)
        getattr(self, f"run_{self.faults}")(cluster, caller, first)
        ((_, number),) = cluster.run_counts
        self.assertEqual(self.run_number, number)
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


class SuccessorCrash(testtools.TestCase):
    """The only successor crashes in the middle of a hand-over.

    The stopping entry no longer owns transferred flows, so it must not answer on them.
    """

    def test_transferred_flow_is_not_answered(self):
        cluster = EntryCluster(entries=("a", "b"))
        cluster.hold_work = True
        transferred = cluster.open("a")
        busy = cluster.open("a", Address(host="127.0.0.8", port=1))
        cluster.send("a", busy, busy.request(1))
        cluster.stop("a")
        cluster.advance(200)
        cluster.kill("b")
        cluster.release()
        cluster.advance(200)
        cluster.send("a", transferred, transferred.request(1))
        self.assertNotIn("answer", transferred.outcomes(1))
