"""tests.test_explain: Tests of the decisions on a flow that saved logs show."""

import json
import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal.explain import explain
from tests.test_cmdline import run

FLOW = "100.64.0.7:40001>198.18.0.1:443#7"
STARTED = {"wall_ms": 1, "text": "forwarder: started", "name": "front-1"}
UPSTREAM_READY = {
    "wall_ms": 2,
    "text": "forwarder: received a new state of an upstream",
    "upstream": "i-1",
    "status": "ready",
    "sequence": 3,
}
SENT_SYN = {"wall_ms": 4, "text": "forwarder: sent a SYN to an upstream", "flow": FLOW}
SENT_SYN = {**SENT_SYN, "upstream": "i-1"}
UPSTREAM_DRAINING = {
    **UPSTREAM_READY,
    "wall_ms": 5,
    "status": "draining",
    "sequence": 4,
}
OTHER_FLOW = {**SENT_SYN, "flow": "100.64.0.7:4000>198.18.0.1:443#7"}
RESET_FLOW = {"wall_ms": 3, "text": "forwarder: reset a flow", "flow": FLOW}


class DecisionsOnFlow(testscenarios.TestWithScenarios, testtools.TestCase):
    """Decisions are ordered by time, each with the preceding state of its upstream.

    Wrong matches would show lines of another flow with a similar address, a later
    state, or a state from the log of another process.
    """

    scenarios = [
        ("caller address", {"flow": "100.64.0.7:40001"}),
        ("caller and service address", {"flow": "100.64.0.7:40001>198.18.0.1:443"}),
        ("whole flow id", {"flow": FLOW}),
    ]

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = [Path(folder.name) / name for name in ("first", "second")]
        lines = [
            STARTED,
            UPSTREAM_READY,
            SENT_SYN,
            {**UPSTREAM_DRAINING, "left_out": 4},
            OTHER_FLOW,
        ]
        texts = ["  46.4 front-1 " + json.dumps(line) for line in lines]
        self.paths[0].write_text("\n".join([*texts, "not a line", "{broken"]))
        self.paths[1].write_text(json.dumps({**RESET_FLOW, "name": "front-2"}))

    def test_order_and_states(self):
        found = explain(self.flow, self.paths)
        self.assertEqual([3, 4], [d.line["wall_ms"] for d in found.decisions])
        self.assertEqual([None, 3], [self.state_sequence(d) for d in found.decisions])
        self.assertEqual(4, found.left_out)

    @staticmethod
    def state_sequence(decision):
        """Return the sequence number of the upstream state, or None."""
        return decision.belief and decision.belief["sequence"]

    def test_command_output(self):
        status, output, _ = run("explain", self.flow, *map(str, self.paths))
        self.assertEqual(0, status)
        self.assertIn("forwarder: sent a SYN to an upstream, upstream=i-1", output)
        self.assertIn("believed then: forwarder: received a new state", output)
        self.assertIn("4 lines were left out", output)

    def test_missing_file(self):
        status, _, errors = run("explain", self.flow, "/nowhere")
        self.assertEqual(4, status)
        self.assertIn("/nowhere", errors)
