"""tests.test_flowcounts: Tests of counted flows and of whom a plan affects."""

import testscenarios
import testtools

from knapweeddeal.actions import UpstreamKey
from knapweeddeal.flowcounts import FORGET_MS, FlowCounter, FlowTable
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


def counted():
    """Return a table with flows of two entries on two services."""
    table = FlowTable()
    for name, flows in (("e1", 3), ("e2", 2)):
        counter = FlowCounter(name=name)
        for _ in range(flows):
            counter.add(key("u1"), "zone-a")
            counter.add(key("u2"), "zone-b")
            counter.add(key("v1", "b"), "zone-b")
        table.apply(counter.report(), now_ms=0)
    return table


class Plans(testscenarios.TestWithScenarios, testtools.TestCase):
    """A plan names upstreams, zones and flows that it touches, and no others."""

    scenarios = [
        (name, {"new": new, "expected": expected})
        for name, new, expected in (
            ("nothing", [service("a"), service("b")], ([], [], 0)),
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
                "drained, unknown",
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
        affected = counted().affected(old, configuration(*self.new), now_ms=1)
        self.assertEqual(
            self.expected, (affected.upstreams, affected.zones, affected.flows)
        )


class Reports(testtools.TestCase):
    """Reports carry what changed noticeably, and silent entries don't count."""

    def test_small_change_is_not_reported(self):
        counter = FlowCounter(name="e1")
        for _ in range(100):
            counter.add(key("u1"), "zone-a")
        self.assertEqual(100, counter.report().counts[0].flows)
        counter.add(key("u1"), "zone-a")
        self.assertIs(None, counter.report())
        for _ in range(9):
            counter.add(key("u1"), "zone-a")
        self.assertEqual(110, counter.report().counts[0].flows)

    def test_last_flow_is_reported(self):
        counter = FlowCounter(name="e1")
        counter.add(key("u1"), "zone-a")
        counter.report()
        counter.remove(key("u1"))
        self.assertEqual([0], [count.flows for count in counter.report().counts])
        self.assertIs(None, counter.report())

    def test_silent_entry(self):
        old, new = configuration(service("a")), configuration()
        table = counted()
        table.heard("e1", now_ms=FORGET_MS)
        self.assertEqual(6, table.affected(old, new, now_ms=FORGET_MS).flows)
