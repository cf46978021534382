"""tests.test_flowcounts: Tests of flow counts and of what a plan affects."""

import testscenarios
import testtools

from knapweeddeal.actions import UpstreamKey
from knapweeddeal.flowcounts import (
    COUNTS_EXPIRY_MS,
    REPORT_INTERVAL_MS,
    FlowCountReporter,
    FlowCountTable,
)
from knapweeddeal.messages.control import Configuration, ServiceEntry


def key(upstream_id, service="a"):
    """Return the key of an upstream."""
    return UpstreamKey(service=service, upstream_id=upstream_id, incarnation=1)


def service(name, port=1, draining=()):
    """Return a service."""
    return ServiceEntry(name=name, host="127.0.0.1", port=port, draining=list(draining))


def configuration(*services):
    """Return a configuration."""
    return Configuration(version=1, services=list(services))


ZONES = {"u1": "zone-a", "u2": "zone-b", "v1": "zone-b"}


def zone_of(upstream_key):
    """Return the zone of an upstream."""
    return ZONES[upstream_key.upstream_id]


def table_of_two_entries():
    """Return a table with flows of two entries on two services."""
    table = FlowCountTable()
    for name, flows in (("e1", 3), ("e2", 2)):
        counts = {key("u1"): flows, key("u2"): flows, key("v1", "b"): flows}
        report = FlowCountReporter(name=name).report(counts, zone_of, now_ms=0)
        table.apply(report, now_ms=0)
    return table


class AffectedByPlan(testscenarios.TestWithScenarios, testtools.TestCase):
    """A plan lists exactly the upstreams, zones and flows that it affects."""

    scenarios = [
        (name, {"new": new, "expected": expected})
        for name, new, expected in (
            ("unchanged", [service("a"), service("b")], ([], [], 0)),
            (
                "created",
                [service("a"), service("b"), service("c", 3)],
                ([], [], 0),
            ),
            (
                "drained",
                [service("a", draining=["u1"]), service("b")],
                (["u1"], ["zone-a"], 5),
            ),
            (
                "unknown upstream drained",
                [service("a", draining=["u9"]), service("b")],
                (["u9"], [], 0),
            ),
            ("removed", [service("a")], (["v1"], ["zone-b"], 5)),
            (
                "moved",
                [service("a", 9), service("b")],
                (["u1", "u2"], ["zone-a", "zone-b"], 10),
            ),
        )
    ]

    def test_affected(self):
        old = configuration(service("a"), service("b"))
        affected = table_of_two_entries().affected(
            old, configuration(*self.new), now_ms=1
        )
        self.assertEqual(
            self.expected, (affected.upstreams, affected.zones, affected.flows)
        )


class FlowCountReports(testtools.TestCase):
    """Reports contain significant changes; counts of silent entries are ignored."""

    def test_only_significant_changes(self):
        reporter = FlowCountReporter(name="e1")
        reported = []
        for report_number, flows in enumerate((100, 101, 110, 110, 0, 0, 1)):
            counts = {key("u1"): flows} if flows else {}
            report = reporter.report(
                counts, zone_of, now_ms=report_number * REPORT_INTERVAL_MS
            )
            reported.append(
                [count.flows for count in report.counts] if report else None
            )
        self.assertEqual([[100], None, [110], None, [0], None, [1]], reported)

    def test_interval_and_full_report(self):
        reporter = FlowCountReporter(name="e1")
        self.assertTrue(reporter.report({}, zone_of, now_ms=0).whole)
        reporter.report_in_full()
        self.assertIs(None, reporter.report({}, zone_of, now_ms=REPORT_INTERVAL_MS - 1))
        self.assertTrue(reporter.report({}, zone_of, now_ms=REPORT_INTERVAL_MS).whole)

    def test_silent_entry_expires(self):
        old, new = configuration(service("a")), configuration()
        table = table_of_two_entries()
        table.mark_alive("e1", now_ms=COUNTS_EXPIRY_MS)
        self.assertEqual(6, table.affected(old, new, now_ms=COUNTS_EXPIRY_MS).flows)
