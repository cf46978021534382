"""tests.test_statedump: Tests of state dumps."""

import json

import testscenarios
import testtools

from knapweeddeal.messages.caller import KeepAliveAck
from knapweeddeal.statedump import dump_text, to_jsonable


class BoundedSize(testscenarios.TestWithScenarios, testtools.TestCase):
    """A dump is valid JSON and never longer than `max_bytes`."""

    scenarios = [
        ("long list", {"state": {"flows": list(range(100_000))}}),
        ("long map", {"state": {n: "x" * 500 for n in range(10_000)}}),
        ("many lists", {"state": {n: [n] * 100 for n in range(900)}}),
        (
            "too large even when cut",
            {"state": {f"section {n}": 1 for n in range(3)}, "max_bytes": 64},
        ),
    ]
    max_bytes = 4_096

    def test_size(self):
        text = dump_text(self.state, max_bytes=self.max_bytes)
        json.loads(text)
        self.assertTrue(len(text.encode()) <= self.max_bytes, len(text))


class Jsonable(testtools.TestCase):
    """Records are dumped as maps, and nesting is bounded."""

    def test_record(self):
        message = KeepAliveAck(service="a", flow_id=1)
        self.assertEqual({"service": "a", "flow_id": 1}, to_jsonable(message))

    def test_recursive_list(self):
        nested = []
        nested.append(nested)
        self.assertIn("...", json.dumps(to_jsonable(nested)))
