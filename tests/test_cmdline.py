"""tests.test_cmdline: Tests of the command-line tool without a system behind it."""

import contextlib
import io
import json

import testscenarios
import testtools

from knapweeddeal import cmdline, commands, queries
from knapweeddeal.messages import operator
from knapweeddeal.messages.control import Replica, ServiceEntry
from knapweeddeal.messages.peer import RefusalRecord
from knapweeddeal.render import as_json, as_lines

#: An address where nobody listens.
NOBODY = "a=127.0.0.1:1"


def run(*arguments):
    """Return exit status, output and error output of the tool."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            status = cmdline.main(list(arguments))
        except SystemExit as stop:
            status = stop.code
    return status, output.getvalue(), errors.getvalue()


class Nonsense(testscenarios.TestWithScenarios, testtools.TestCase):
    """Nonsense gets an exit status by class and an error that names the value."""

    scenarios = [
        ("no operation", {"words": [], "status": 2, "named": "operation"}),
        ("unknown", {"words": ["fly"], "status": 2, "named": "fly"}),
        ("no control", {"words": ["status"], "status": 4, "named": "--control"}),
        (
            "bad control",
            {"words": ["--control", "a=b", "status"], "status": 4, "named": "'b'"},
        ),
        (
            "nobody there",
            {"words": ["--control", NOBODY, "status"], "status": 8, "named": "127"},
        ),
        (
            "process not there",
            {"words": ["dump", "--at", "127.0.0.1:1"], "status": 8, "named": "127"},
        ),
        (
            "bad process",
            {"words": ["dump", "--at", "x"], "status": 4, "named": "--at='x'"},
        ),
        (
            "size",
            {
                "words": ["dump", "--at", "127.0.0.1:1", "--max-bytes", "1"],
                "status": 4,
                "named": "--max-bytes='1'",
            },
        ),
        ("no intent", {"words": ["plan"], "status": 5, "named": "action"}),
        (
            "few values",
            {"words": ["plan", "create-service", "a"], "status": 5, "named": "ADDRESS"},
        ),
        (
            "bad address",
            {
                "words": ["plan", "create-service", "a", "vm:1"],
                "status": 5,
                "named": "address='vm:1'",
            },
        ),
        (
            "no file",
            {"words": ["plan", "--file", "/nowhere.ini"], "status": 5, "named": "file"},
        ),
        (
            "bad time",
            {"words": ["refusals", "--since", "noon"], "status": 4, "named": "'noon'"},
        ),
        (
            "bad limit",
            {"words": ["refusals", "--limit", "0"], "status": 4, "named": "--limit"},
        ),
    ]

    def test_status(self):
        words = self.words
        if "--control" not in words and self.named != "--control":
            words = ["--control", NOBODY, *words]
        status, output, errors = run("--timeout-ms", "300", *words)
        self.assertEqual(self.status, status, errors)
        self.assertIn(self.named, errors)
        self.assertNotIn("Traceback", output + errors)


class Help(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every operation has its help."""

    scenarios = [
        (name, {"operation": operation})
        for name, operation in (commands.COMMANDS | queries.QUERIES).items()
    ]

    def test_help(self):
        status, output, _ = run(self.operation.name, "--help")
        self.assertEqual(0, status)
        self.assertIn(self.operation.help.split()[0], output)


SERVICE = ServiceEntry(name="a", host="127.0.0.1", port=7001, draining=["u1"])
REPLICA = Replica(name="c1", identity=5, host="127.0.0.1", port=1)
REFUSAL = RefusalRecord(
    record_id=1,
    caller="127.0.0.1:5",
    service="a",
    flow_id=2,
    number=3,
    refused_ms=0,
    entry_id="e1",
    reason="overloaded",
)


class Rendered(testscenarios.TestWithScenarios, testtools.TestCase):
    """Answers read well as lines and hold the same as JSON."""

    scenarios = [
        (type(answer).__name__, {"answer": answer, "words": words})
        for answer, words in (
            (
                operator.PlanAnswer(
                    plan_id="p",
                    base_version=4,
                    differences=["create service a"],
                    services=["a"],
                    upstreams=[],
                    zones=["zone-a"],
                    flows=7,
                    expires_ms=0,
                ),
                ["plan p on version 4", "create service a", "flows affected: 7"],
            ),
            (operator.ConfirmAnswer(plan_id="p", version=5), ["version 5"]),
            (
                operator.StatusAnswer(
                    leader="c1",
                    term=2,
                    version=5,
                    commit_index=9,
                    entries=[
                        operator.EntryStatus(
                            name="e1", zone="z", applied_version=4, age_ms=9_000
                        )
                    ],
                ),
                ["led by c1", "e1 in z: version 4 (lags, silent for 9000 ms)"],
            ),
            (
                operator.ServicesAnswer(version=5, services=[SERVICE]),
                ["a at 127.0.0.1:7001, draining u1"],
            ),
            (
                operator.ReplicasAnswer(leader="", members=[REPLICA], candidates=[]),
                ["led by nobody", "member c1 5 at 127.0.0.1:1"],
            ),
            (
                operator.RefusalsAnswer(records=[REFUSAL]),
                ["caller 127.0.0.1:5", "by e1: overloaded", "1970-01-01T00:00:00"],
            ),
            (operator.RefusalsAnswer(records=[]), ["no refusals"]),
            (operator.DumpAnswer(text='{"a": [1]}'), ['"a"']),
        )
    ]

    def test_lines(self):
        text = "\n".join(as_lines(self.answer))
        for word in self.words:
            self.assertIn(word, text)

    def test_json(self):
        json.loads(as_json(self.answer))
