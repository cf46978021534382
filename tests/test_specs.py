"""tests.test_specs: Model checks of what must always hold.

Each spec is searched whole from some starts, and must show no fault; each
mutation leaves out one guard, and must show its fault from a start that shows
none with that guard. KNAPWEEDDEAL_SPECS=deep adds larger starts.
"""

import os

import testscenarios
import testtools

from tests.specs import explore, guards, loaded, rule_labels, written

DEEP = os.environ.get("KNAPWEEDDEAL_SPECS") == "deep"

#: Starts that are searched whole: name, spec, start.
STARTS = [
    ("fault-ridden owner", "flows", "once, crash cut stop forced renew evict"),
    ("two requests", "flows", "(once, once), crash cut stop forced"),
    ("two kinds", "flows", "(once, idem), break retry renew cut"),
    ("two successors", "flows", "once, crash cut stop stop forced entry(c, 9, no)"),
    ("idempotent", "flows", "idem, cut break retry stop forced abort restart"),
    ("planned stop", "flows", "(once, once), stop graceful exit renew"),
    ("crashes", "log", "founded(a ~ b ~ c) elect elect write write crash"),
    ("read", "log", "led elect write read crash"),
    ("repair", "log", "led elect lose lose add(e) drop(c) empty-disk(e)"),
    ("parted", "log", "parted elect elect elect"),
    ("race", "plans", "race depose restart approve(a, 3)"),
    (
        "two in turn",
        "plans",
        "wish(a, 1, plan(1)) approve(a, 2) depose wish(a, 3, plan(3)) approve(a, 4)",
    ),
]

#: Larger starts, for `make specs`.
DEEP_STARTS = [
    ("two crashes", "flows", "once, crash crash cut stop forced renew evict"),
    ("two requests, two tickets", "flows", "(once, once), crash cut stop forced renew"),
    (
        "idempotent, all faults",
        "flows",
        "idem, crash cut break retry stop forced renew abort restart",
    ),
    (
        "two stops, two kinds",
        "flows",
        "(once, idem), crash cut stop stop forced",
    ),
    ("reads", "log", "led elect elect write read crash"),
    ("losses", "log", "led elect lose lose write add(e) drop(c) empty-disk(e)"),
    ("two losses", "log", "led elect elect lose lose add(e) drop(c) empty-disk(e)"),
    ("two leaders lost", "plans", "race depose depose restart"),
]

#: Mutations: spec, guard that is left out, start, fault that must be found.
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

#: Rules that change nothing unless a guard is left out.
ONLY_MUTATED = {
    "flows": {"adopt", "hand-another", "resend-renewed", "take-over"},
    "log": {"swap"},
    "plans": {"claim", "resent"},
}


def table(rows):
    """Return scenarios of starts."""
    return [
        (f"{spec} {name}", {"spec": spec, "start": start}) for name, spec, start in rows
    ]


class Integer(testscenarios.TestWithScenarios, testtools.TestCase):
    """A whole search of an unmutated spec shows no fault."""

    scenarios = table(STARTS + (DEEP_STARTS if DEEP else []))

    def test_no_fault(self):
        found = explore(self.spec, f"start(all, {self.start})")
        if DEEP:
            print(f"{self.spec}: {found.states} states from {self.start}")
        self.assertEqual({}, found.traces)


class Mutated(testscenarios.TestWithScenarios, testtools.TestCase):
    """A guard that is left out shows its fault, and only then."""

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
        sound = explore(self.spec, f"start(all, {self.start})")
        self.assertEqual({}, sound.traces)


class Vacuous(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every rule fires somewhere, and every guard has a mutation."""

    scenarios = [(spec, {"spec": spec}) for spec in sorted(ONLY_MUTATED)]

    def test_rules(self):
        fired = set()
        for _, spec, start in STARTS:
            if spec == self.spec:
                fired |= explore(spec, f"start(all, {start})").rules
        faults = {row[3] for row in MUTATIONS if row[0] == self.spec}
        expected = rule_labels(self.spec) - ONLY_MUTATED[self.spec] - faults
        self.assertEqual(set(), expected - fired)

    def test_loaded(self):
        self.assertEqual(written(self.spec), loaded(self.spec))

    def test_guards(self):
        mutated = {guard for spec, guard, *_ in MUTATIONS if spec == self.spec}
        self.assertEqual(guards(self.spec), mutated)
