"""tests.test_dryrun: Tests of the question where a new flow would go."""

import random
from collections import deque

import testscenarios
import testtools

from knapweeddeal.dryrun import ALL_AVOIDED, TIE, copy_of_source, where
from knapweeddeal.egressqueue import EgressQueue
from knapweeddeal.errors import BadMessageError, NoRouteError
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.loads import ServiceLoadPush, UpstreamLoad, UpstreamLoads
from knapweeddeal.messages.operator import WhereRequest
from knapweeddeal.messages.packets import ZonesPush
from tests.packetfakes import (
    HOST,
    PORT,
    SERVICE,
    ZONE,
    ForwarderHarness,
    route,
    state,
    syn,
)

CALLER = "100.64.0.7"
FIRST, SECOND, FAR = state(), state(2), state(2, zone="zone-b")
COLD, MUTE, BAD = state(2, cold_ms=50), state(2, silent=True), state(failing=True)
BAD_MARKS = ["avoided", "failing"]


def ask(harness, *, now_ms=0, random=lambda: 0.0, port=40_001, **changes):
    """Return the answer on a new flow, as it is read from the wire."""
    values = {
        "caller_host": CALLER,
        "caller_port": port,
        "route_host": HOST,
        "route_port": PORT,
        "max_candidates": 10,
    }
    answer = where(
        WhereRequest(**{**values, **changes}),
        forwarder=harness.forwarder,
        routes=harness.routes,
        pool=harness.pool,
        backlog_ms=harness.egress.backlog_ms,
        random=random,
        now_ms=now_ms,
    )
    return decode(encode(answer))


def content(value, seen):
    """Return everything that an object holds; `seen` holds ids of shown objects."""
    if type(value) in (int, float, str, bytes, bool, type(None)) or callable(value):
        return value
    if id(value) in seen:
        return "..."
    seen.add(id(value))
    if isinstance(value, dict):
        return [(content(k, seen), content(v, seen)) for k, v in value.items()]
    if isinstance(value, list | tuple | set | frozenset | deque):
        return [content(item, seen) for item in value]
    slots = [n for c in type(value).__mro__ for n in getattr(c, "__slots__", ())]
    names = [*slots, *getattr(value, "__dict__", ())]
    return [type(value), *((n, content(getattr(value, n), seen)) for n in names)]


class SameAsNextSyn(testscenarios.TestWithScenarios, testtools.TestCase):
    """Asking changes nothing, and the next SYN gets the answer.

    An answer from a second copy of the rules would drift from the SYN path; one that
    took random numbers or counted load would move the flows that it describes.
    """

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(4)]

    def test_flows(self):
        source = random.Random(self.seed)
        states = [
            state(n, zone=f"zone-{'ab'[n % 2]}", cold_ms=900 * (n % 3), slots=1 + n % 2)
            for n in range(1, 7)
        ]
        states += [state(n, service="archive") for n in (7, 8)]
        harness = ForwarderHarness(
            routes=(route("records", "archive"),), states=states, number=source.random
        )
        for port in range(40_001, 40_080):
            now_ms = 17 * (port - 40_001)
            before = (content(harness, set()), source.getstate())
            copied = copy_of_source(source.random)
            answer = ask(harness, now_ms=now_ms, random=copied, port=port)
            self.assertEqual(before, (content(harness, set()), source.getstate()))
            (_, address), *_ = harness.handle_packet(syn(port=port), now_ms)
            first = answer.candidates[0]
            self.assertEqual(address, (first.host, first.port))
            self.assertEqual(
                ("sent", first.upstream), (answer.outcome, answer.upstream)
            )
            harness.forwarder.send_due_hedges(now_ms + 30, [])


class Reasons(testscenarios.TestWithScenarios, testtools.TestCase):
    """An answer names what decided; a wrong reason sends the operator astray."""

    scenarios = [
        (reason, {"states": states, "reason": reason, "marks": marks})
        for states, reason, marks in (
            ([FIRST], "sent: the only candidate", [[]]),
            ([FIRST, SECOND], "sent: a random number broke the tie", [[], []]),
            ([FIRST, FAR], "sent: the only one in this zone", [[], ["other zone"]]),
            ([FIRST, COLD], "sent: lowest load", [[], ["cold"]]),
            ([FAR, BAD], "sent: the next one is avoided", [["other zone"], BAD_MARKS]),
            (
                [BAD, MUTE],
                f"sent: {TIE}{ALL_AVOIDED}",
                [BAD_MARKS, ["avoided", "silent"]],
            ),
            ([], "reset: no upstream", []),
        )
    ]

    def test_reason(self):
        answer = ask(ForwarderHarness(routes=(route(),), states=self.states))
        self.assertIn(self.reason, f"{answer.outcome}: {answer.reason}")
        self.assertEqual(self.marks, [c.marks for c in answer.candidates])
        self.assertEqual("admitted", answer.admission)


class Refusals(testtools.TestCase):
    """A SYN without an upstream shows why, and what it would get if admitted."""

    def test_evacuated(self):
        harness = ForwarderHarness(routes=(route(),), states=[state()])
        harness.pool.set_evacuated(ZonesPush(version=1, zones=[ZONE]), {}, 0)
        answer = ask(harness)
        self.assertEqual(("reset", "zone evacuated"), (answer.outcome, answer.reason))
        self.assertEqual([["zone evacuated"]], [c.marks for c in answer.candidates])

    def test_backlog(self):
        self.patch(EgressQueue, "refuses", lambda *_: True)
        answer = ask(ForwarderHarness(routes=(route(),), states=[FIRST]))
        self.assertEqual(("reset", ""), (answer.outcome, answer.upstream))
        self.assertEqual("reset: egress backlog", answer.admission)
        self.assertEqual(["i-1"], [one.upstream for one in answer.candidates])

    def test_no_leader(self):
        states = [state(service="other")]
        harness = ForwarderHarness(routes=(route(),), states=states, current=False)
        answer = ask(harness)
        self.assertEqual(
            ("dropped", "upstreams unknown"), (answer.outcome, answer.reason)
        )

    def test_nothing_known(self):
        self.assertEqual("held", ask(ForwarderHarness()).outcome)


class Figures(testtools.TestCase):
    """Each figure has its age, so that an old report is seen as such."""

    def test_ages(self):
        harness = ForwarderHarness(routes=(route(),), states=[state(cold_ms=900)])
        harness.handle_packet(syn(port=5))
        figures = ask(harness, now_ms=25).candidates[0].figures
        found = {one.name: (one.value_milli, one.age_ms) for one in figures}
        self.assertEqual((250, 0), found["load"])
        self.assertEqual((2_000, 25), found["slots"])
        self.assertEqual((875_000, 25), found["cold_ms"])

    def test_load_of_others(self):
        """The load that replicas pushed is shown with its age."""
        harness = ForwarderHarness(routes=(route(),), states=[state()])
        busy = UpstreamLoad(
            upstream_id="i-1", load_milli=2_500, slowness_percent=300, divert_milli=900
        )
        load = ServiceLoadPush(
            service=SERVICE,
            load_milli=2_500,
            rejected_milli=0,
            response_ms=90,
            upstreams=[busy],
            zones=[],
        )
        harness.pool.shared_loads.apply(UpstreamLoads(services=[load]), 10)
        figures = ask(harness, now_ms=25).candidates[0].figures
        found = {one.name: (one.value_milli, one.age_ms) for one in figures}
        self.assertEqual((2_500, 15), found["shared_load"])
        self.assertEqual((900, 15), found["diverted_share"])


class Errors(testtools.TestCase):
    """A question that has no answer gets an error with field and value."""

    def test_errors(self):
        harness = ForwarderHarness(routes=(route(),), states=[FIRST])
        error = self.assertRaises(NoRouteError, ask, harness, route_port=444)
        self.assertEqual(("route", f"{HOST}:444"), (error.field, error.value))
        error = self.assertRaises(BadMessageError, ask, harness, caller_host="::1")
        self.assertIn("::1", error.value)
