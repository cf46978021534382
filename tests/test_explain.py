"""tests.test_explain: Tests of what saved logs tell of a flow."""

import json
import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal.explain import explain
from tests.test_cmdline import run

FLOW = "100.64.0.7:40001>198.18.0.1:443#7"
STARTED = {"wall_ms": 1, "text": "forwarder: started", "name": "front-1"}
LEARNS = {
    "wall_ms": 2,
    "text": "forwarder: learns of an upstream",
    "upstream": "i-1",
    "status": "ready",
    "sequence": 3,
}
OFFERS = {"wall_ms": 4, "text": "forwarder: offers a flow", "flow": FLOW}
OFFERS = {**OFFERS, "upstream": "i-1"}
LEAVES = {**LEARNS, "wall_ms": 5, "status": "draining", "sequence": 4}
OTHER = {**OFFERS, "flow": "100.64.0.7:4000>198.18.0.1:443#7"}
RESETS = {"wall_ms": 3, "text": "forwarder: resets a flow", "flow": FLOW}


class Explained(testscenarios.TestWithScenarios, testtools.TestCase):
    """Decisions come in order, with the belief that stood before each."""

    scenarios = [
        ("caller's address", {"flow": "100.64.0.7:40001"}),
        ("with the service", {"flow": "100.64.0.7:40001>198.18.0.1:443"}),
        ("whole", {"flow": FLOW}),
    ]

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = [Path(folder.name) / name for name in ("first", "second")]
        lines = [STARTED, LEARNS, OFFERS, {**LEAVES, "left_out": 4}, OTHER]
        texts = ["  46.4 front-1 " + json.dumps(line) for line in lines]
        self.paths[0].write_text("\n".join([*texts, "not a line", "{broken"]))
        self.paths[1].write_text(json.dumps({**RESETS, "name": "front-2"}))

    def test_decisions(self):
        found = explain(self.flow, self.paths)
        self.assertEqual([3, 4], [d.line["wall_ms"] for d in found.decisions])
        self.assertEqual([None, 3], [self.sequence(d) for d in found.decisions])
        self.assertEqual(4, found.left_out)

    @staticmethod
    def sequence(decision):
        """Return the sequence of the belief, or None."""
        return decision.belief and decision.belief["sequence"]

    def test_command(self):
        status, output, _ = run("explain", self.flow, *map(str, self.paths))
        self.assertEqual(0, status)
        self.assertIn("forwarder: offers a flow, upstream=i-1", output)
        self.assertIn("believed then: forwarder: learns", output)
        self.assertIn("4 lines were left out", output)

    def test_no_file(self):
        status, _, errors = run("explain", self.flow, "/nowhere")
        self.assertEqual(4, status)
        self.assertIn("/nowhere", errors)
