"""tests.test_entryqueries: Tests of an entry's answers to operators."""

import json
import types

import testscenarios
import testtools

from knapweeddeal.directory import Upstream
from knapweeddeal.entryqueries import EntryQueries
from knapweeddeal.messages.operator import (
    DumpRequest,
    FailureAnswer,
    MetricsRequest,
    StatusRequest,
    UpstreamsRequest,
)
from knapweeddeal.messages.upstream import READY, Announce
from knapweeddeal.metrics import Metrics

ANNOUNCE = Announce(
    upstream_id="u1",
    incarnation=1,
    sequence=1,
    zone="zone-a",
    service="a",
    host="127.0.0.1",
    port=1,
    health_port=0,
    slots=2,
    max_connections=10,
    state=READY,
    drain_ms=0,
)


def queries():
    """Return the queries of an entry with one upstream."""
    upstream = Upstream(announce=ANNOUNCE, lease_ms=5)
    core = types.SimpleNamespace(
        identity="e1",
        services={},
        flows={},
        directory=types.SimpleNamespace(all=lambda: [upstream]),
    )
    metrics = Metrics()
    metrics.count("dropped_bad_message")
    return EntryQueries(core=core, metrics=metrics, state=lambda: {"version": 3})


class QueryAnswers(testscenarios.TestWithScenarios, testtools.TestCase):
    """Each query returns the data of its section and filter, as valid JSON."""

    scenarios = [
        (
            "dump",
            {
                "request": DumpRequest(max_bytes=10_000),
                "expected_words": ["u1", '"version": 3'],
            },
        ),
        (
            "metrics",
            {
                "request": MetricsRequest(),
                "expected_words": ['"dropped_bad_message": 1'],
            },
        ),
        (
            "upstreams",
            {
                "request": UpstreamsRequest(service="a"),
                "expected_words": ["u1", "ready"],
            },
        ),
        (
            "other service",
            {"request": UpstreamsRequest(service="b"), "expected_words": []},
        ),
    ]

    def test_answer(self):
        answer = queries().answer(self.request)
        text = getattr(answer, "text", None) or "\n".join(answer.lines)
        for word in self.expected_words:
            self.assertIn(word, text)
        self.assertEqual(bool(self.expected_words), bool(text))

    def test_json(self):
        answer = queries().answer(self.request)
        for line in getattr(answer, "lines", None) or [getattr(answer, "text", "{}")]:
            json.loads(line)


class UnsupportedQuery(testtools.TestCase):
    """A query for another role fails, and the failure names the query."""

    def test_failure(self):
        answer = queries().answer(StatusRequest())
        self.assertIs(FailureAnswer, type(answer))
        self.assertEqual("StatusAsk", answer.value)
