"""tests.test_cmdline: Tests of the command-line tool without running processes."""

import contextlib
import io
import json

import testscenarios
import testtools

from knapweeddeal import cmdline, commands, queries
from knapweeddeal.messages import operator
from knapweeddeal.messages.control import Replica, ServiceEntry
from knapweeddeal.messages.evacuation import ZonesAnswer
from knapweeddeal.messages.packets import NO_EVACUATIONS
from knapweeddeal.messages.peer import RefusalRecord
from knapweeddeal.render import as_json, as_lines
from tests.test_evacuations import EVACUATIONS

#: Control replica with an address that refuses connections.
NO_LISTENER = "a=127.0.0.1:1"
WHERE = ["where", "100.64.0.7:1105", "--route", "198.18.0.1:443"]


def run(*arguments):
    """Return exit status, output and error output of the tool."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            status = cmdline.main(list(arguments))
        except SystemExit as stop:
            status = stop.code
    return status, output.getvalue(), errors.getvalue()


class InvalidUsage(testscenarios.TestWithScenarios, testtools.TestCase):
    """Invalid usage must give the documented exit status and name what is wrong.

    Scripts branch on the status, and operators need the wrong value, not a traceback.
    """

    scenarios = [
        ("no operation", {"arguments": [], "status": 2, "expected_error": "operation"}),
        (
            "unknown operation",
            {"arguments": ["fly"], "status": 2, "expected_error": "fly"},
        ),
        (
            "no control replicas given",
            {"arguments": ["status"], "status": 4, "expected_error": "--control"},
        ),
        (
            "malformed control replicas",
            {
                "arguments": ["--control", "a=b", "status"],
                "status": 4,
                "expected_error": "'b'",
            },
        ),
        (
            "unreachable control replica",
            {
                "arguments": ["--control", NO_LISTENER, "status"],
                "status": 8,
                "expected_error": "127",
            },
        ),
        (
            "unreachable process",
            {
                "arguments": ["dump", "--at", "127.0.0.1:1"],
                "status": 8,
                "expected_error": "127",
            },
        ),
        (
            "malformed process address",
            {
                "arguments": ["dump", "--at", "x"],
                "status": 4,
                "expected_error": "--at='x'",
            },
        ),
        (
            "dump size too small",
            {
                "arguments": ["dump", "--at", "127.0.0.1:1", "--max-bytes", "1"],
                "status": 4,
                "expected_error": "--max-bytes='1'",
            },
        ),
        (
            "plan without action",
            {"arguments": ["plan"], "status": 5, "expected_error": "action"},
        ),
        (
            "missing field value",
            {
                "arguments": ["plan", "create-service", "a"],
                "status": 5,
                "expected_error": "ADDRESS",
            },
        ),
        (
            "host name as address",
            {
                "arguments": ["plan", "create-service", "a", "vm:1"],
                "status": 5,
                "expected_error": "address='vm:1'",
            },
        ),
        (
            "missing intent file",
            {
                "arguments": ["plan", "--file", "/nowhere.ini"],
                "status": 5,
                "expected_error": "file",
            },
        ),
        (
            "malformed forwarder address",
            {
                "arguments": [*WHERE, "--at", "127.0.0.1:1,x"],
                "status": 4,
                "expected_error": "--at='x'",
            },
        ),
        (
            "IPv6 caller",
            {
                "arguments": ["where", "::1:7", *WHERE[2:], "--at", "127.0.0.1:1"],
                "status": 4,
                "expected_error": "flow='::1:7'",
            },
        ),
        (
            "malformed time",
            {
                "arguments": ["refusals", "--since", "noon"],
                "status": 4,
                "expected_error": "'noon'",
            },
        ),
        (
            "limit out of range",
            {
                "arguments": ["refusals", "--limit", "0"],
                "status": 4,
                "expected_error": "--limit",
            },
        ),
    ]

    def test_exit_status_and_error(self):
        arguments = self.arguments
        if "--control" not in arguments and self.expected_error != "--control":
            arguments = ["--control", NO_LISTENER, *arguments]
        status, output, errors = run("--timeout-ms", "300", *arguments)
        self.assertEqual(self.status, status, errors)
        self.assertIn(self.expected_error, errors)
        self.assertNotIn("Traceback", output + errors)


class HostileValues(testscenarios.TestWithScenarios, testtools.TestCase):
    """Any value of an argument gives a documented exit status, not a traceback."""

    #: `None` stands for the value.
    COMMANDS = [
        ["drain", None, "u"],
        ["drain", "s", None],
        ["confirm", None],
        ["evacuate", None],
        ["plan", None],
        ["plan", "--file", None],
        ["publish", None],
        ["replica-add", None, "1", "127.0.0.1:1"],
        ["replica-add", "n", None, "127.0.0.1:1"],
        ["replica-add", "n", "1", None],
        ["replica-remove", None],
        ["refusals", "--since", None],
        ["refusals", "--limit", None],
        ["where", None, *WHERE[2:], "--at", "127.0.0.1:1"],
        [*WHERE, "--at", None],
        ["--operator", None, "zones"],
        ["--request-id", None, "evacuate", "zone-a"],
        ["--control", None, "status"],
        ["--timeout-ms", None, "zones"],
    ]
    VALUES = ["", "-1", "٣", "9" * 5_000, "127.0.0.1:" + "9" * 5_000]
    scenarios = [
        (f"{' '.join(part or '?' for part in command)}", {"command": command})
        for command in COMMANDS
    ]

    def test_exit_status(self):
        for value in self.VALUES:
            arguments = [value if part is None else part for part in self.command]
            if "--control" not in arguments:
                arguments = ["--control", NO_LISTENER, *arguments]
            with self.subTest(value=value[:20]):
                status, output, errors = run("--timeout-ms", "50", *arguments)
                self.assertIn(status, range(2, 9), errors)
                self.assertNotIn("Traceback", output + errors)


class Help(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every operation prints its help text."""

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


class AnswerOutput(testscenarios.TestWithScenarios, testtools.TestCase):
    """Scripts match the printed lines and parse the JSON form of answers."""

    scenarios = [
        (type(answer).__name__, {"answer": answer, "expected_texts": expected_texts})
        for answer, expected_texts in (
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
            (
                ZonesAnswer(evacuations=EVACUATIONS),
                ["version 4", "zone-x evacuated since 1970-01-01T00:00:00", "by ana"],
            ),
            (ZonesAnswer(evacuations=NO_EVACUATIONS), ["no zone is evacuated"]),
            (operator.DumpAnswer(text='{"a": [1]}'), ['"a"']),
        )
    ]

    def test_lines(self):
        text = "\n".join(as_lines(self.answer))
        for expected in self.expected_texts:
            self.assertIn(expected, text)

    def test_json(self):
        json.loads(as_json(self.answer))
