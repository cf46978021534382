"""tests.test_specs: Model checks of the specifications.

A complete search of each spec from some starts must find no fault. Each mutation
omits one guard, and a search must then find its fault, from a start that has none
with that guard. KNAPWEEDDEAL_SPECS=deep adds larger starts.
"""

import os

import testscenarios
import testtools

from tests.specs import count_in_text, count_loaded, explore, guards, rule_labels

DEEP = os.environ.get("KNAPWEEDDEAL_SPECS") == "deep"

#: Starts of complete searches: name, spec, start.
STARTS = [
    ("owner with all faults", "flows", "once, crash cut stop forced renew evict"),
    ("two requests", "flows", "(once, once), crash cut stop forced"),
    ("both request kinds", "flows", "(once, idem), break retry renew cut"),
    ("two successors", "flows", "once, crash cut stop stop forced entry(c, 9, no)"),
    ("idempotent request", "flows", "idem, cut break retry stop forced abort restart"),
    ("planned stop", "flows", "(once, once), stop graceful exit renew"),
    ("crash of a replica", "log", "founded(a ~ b ~ c) elect elect write write crash"),
    ("read", "log", "led elect write read crash"),
    (
        "replacement of lost replicas",
        "log",
        "led elect lose lose add(e) drop(c) empty-disk(e)",
    ),
    ("diverged logs", "log", "parted elect elect elect"),
    ("competing plans", "plans", "race depose restart approve(a, 3)"),
    (
        "consecutive plans",
        "plans",
        "wish(a, 1, plan(1)) approve(a, 2) depose wish(a, 3, plan(3)) approve(a, 4)",
    ),
]

#: Larger starts, for `make specs`.
DEEP_STARTS = [
    ("two crashes", "flows", "once, crash crash cut stop forced renew evict"),
    ("two requests, two tickets", "flows", "(once, once), crash cut stop forced renew"),
    (
        "idempotent request, all faults",
        "flows",
        "idem, crash cut break retry stop forced renew abort restart",
    ),
    (
        "two stops, both request kinds",
        "flows",
        "(once, idem), crash cut stop stop forced",
    ),
    ("read after two elections", "log", "led elect elect write read crash"),
    (
        "lost replicas and a write",
        "log",
        "led elect lose lose write add(e) drop(c) empty-disk(e)",
    ),
    (
        "two lost replicas",
        "log",
        "led elect elect lose lose add(e) drop(c) empty-disk(e)",
    ),
    ("two leader changes", "plans", "race depose depose restart"),
]

#: Mutations: spec, omitted guard, start, fault that must be found.
MUTATIONS = [
    ("flows", "ledger", "once, empty", "ran-twice"),
    ("flows", "floors", "(once, once), empty", "ran-twice"),
    ("flows", "tombstone", "once, empty", "false-not-run"),
    ("flows", "incarnation", "once, crash", "ran-twice"),
    ("flows", "owner", "once, empty", "ran-twice"),
    ("flows", "held", "once, evict", "ran-twice"),
    ("flows", "noretry", "once, break retry", "ran-twice"),
    ("flows", "resettle", "idem, break retry", "false-not-run"),
    ("flows", "honest", "once, break", "false-not-run"),
    ("flows", "stands", "once, cut", "false-not-run"),
    ("flows", "upcancel", "once, cut", "false-not-run"),
    ("flows", "upmemory", "once, cut", "false-not-run"),
    ("flows", "upstreamid", "once, cut restart", "false-not-run"),
    ("flows", "ticket", "once, renew", "ran-twice"),
    ("flows", "number", "idem, renew", "false-not-run"),
    ("flows", "answerkey", "(once, once), empty", "crossed-answer"),
    ("flows", "freeze", "once, stop", "ran-twice"),
    ("flows", "successor", "once, stop entry(c, 9, no)", "ran-twice"),
    ("flows", "successorid", "once, stop crash", "ran-twice"),
    ("flows", "handed", "once, stop", "ran-twice"),
    ("flows", "merge", "once, stop", "ran-twice"),
    ("flows", "taken", "once, stop evict", "ran-twice"),
    ("flows", "quiet", "idem, retry stop forced", "false-not-run"),
    ("flows", "finish", "once, stop graceful", "cut-off"),
    ("flows", "complete", "once, stop graceful", "cut-off"),
    ("flows", "once-held", "once, evict renew", "ran-twice"),
    ("log", "vote", "founded(a ~ b ~ c) elect elect write write", "lost-commit"),
    ("log", "uptodate", "led elect elect", "lost-commit"),
    ("log", "currentterm", "parted elect elect elect", "lost-commit"),
    (
        "log",
        "votesync",
        "founded(a ~ b ~ c) elect elect write write crash",
        "lost-commit",
    ),
    ("log", "logsync", "led elect crash", "lost-commit"),
    ("log", "identity", "led elect elect lose", "lost-commit"),
    ("log", "counted", "led elect elect empty-disk(e)", "lost-commit"),
    (
        "log",
        "one",
        "led elect add(d) add(e) empty-disk(d) empty-disk(e)",
        "lost-commit",
    ),
    ("log", "single", "led elect add(e) drop(b) empty-disk(e)", "lost-commit"),
    ("log", "settled", "halfway elect drop(a)", "lost-commit"),
    ("log", "catchup", "led elect lose add(e) drop(c) empty-disk(e)", "lost-commit"),
    ("log", "round", "led elect write read", "stale-read"),
    ("log", "readsettled", "led elect read", "stale-read"),
    ("plans", "cas", "race", "both-won"),
    ("plans", "dedupe", "race depose", "changed-result"),
    ("plans", "keyed", "race", "foreign-answer"),
    ("plans", "committed", "race depose", "lost-confirm"),
    ("plans", "quorum", "race depose", "both-won"),
    ("plans", "snapshot", "race restart", "changed-result"),
    (
        "plans",
        "highest",
        "wish(a, 1, plan(1)) approve(a, 2) wish(a, 3, plan(3)) approve(a, 4)",
        "reverted",
    ),
    ("plans", "pushed", "race depose", "diverged"),
]

#: Rules that change no state unless a guard is omitted.
RULES_OF_MUTATIONS = {
    "flows": {"adopt", "hand-another", "resend-renewed", "take-over"},
    "log": {"swap"},
    "plans": {"claim", "resent"},
}


def scenarios_of(rows):
    """Return the scenarios of rows of starts."""
    return [
        (f"{spec} {name}", {"spec": spec, "start": start}) for name, spec, start in rows
    ]


class CompleteSearch(testscenarios.TestWithScenarios, testtools.TestCase):
    """A complete search of a spec with all guards finds no fault.

    A fault means that some order of messages and failures breaks a guarantee.
    """

    scenarios = scenarios_of(STARTS + (DEEP_STARTS if DEEP else []))

    def test_no_fault(self):
        found = explore(self.spec, f"start(all, {self.start})")
        if DEEP:
            print(f"{self.spec}: {found.states} states from {self.start}")
        self.assertEqual({}, found.traces)


class OmittedGuard(testscenarios.TestWithScenarios, testtools.TestCase):
    """A search finds the fault of an omitted guard, and none with the guard.

    Otherwise the guard, or the check of its fault, would have no effect.
    """

    scenarios = [
        (
            f"{spec} without {guard}",
            {"spec": spec, "guard": guard, "start": start, "fault": fault},
        )
        for spec, guard, start, fault in MUTATIONS
    ]

    def test_fault(self):
        start = f"start(all without {self.guard}, {self.start})"
        found = explore(self.spec, start, until=self.fault)
        self.assertIn(self.fault, found.traces)
        unmutated = explore(self.spec, f"start(all, {self.start})")
        self.assertEqual({}, unmutated.traces)


class Coverage(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every rule fires in some search, and every guard has a mutation.

    Searches pass without checking anything if a rule never fires, or if Maude
    skips a statement that it cannot parse.
    """

    scenarios = [(spec, {"spec": spec}) for spec in sorted(RULES_OF_MUTATIONS)]

    def test_every_rule_fires(self):
        fired = set()
        for _, spec, start in STARTS:
            if spec == self.spec:
                fired |= explore(spec, f"start(all, {start})").rules
        faults = {row[3] for row in MUTATIONS if row[0] == self.spec}
        expected = rule_labels(self.spec) - RULES_OF_MUTATIONS[self.spec] - faults
        self.assertEqual(set(), expected - fired)

    def test_maude_loads_everything(self):
        self.assertEqual(count_in_text(self.spec), count_loaded(self.spec))

    def test_every_guard_has_a_mutation(self):
        mutated = {guard for spec, guard, *_ in MUTATIONS if spec == self.spec}
        self.assertEqual(guards(self.spec), mutated)
