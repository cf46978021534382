"""tests.test_flowvalue: Tests of the order of flows."""

import testscenarios
import testtools

from knapweeddeal.flowvalue import WaitingFlow, flow_rank, pick_waiting
from tests.admissionreplay import terms


def rank(*, priority=1, objective_ms=500, timeout_ms=2_000, service_ms=30, waited_ms=0):
    """Return the rank of a flow."""
    flow_terms = terms("single", priority, objective_ms, timeout_ms)
    return flow_rank(flow_terms, service_ms, waited_ms)


class Rank(testscenarios.TestWithScenarios, testtools.TestCase):
    """The flow whose delay costs callers most goes first.

    Each rule guards against capacity that is spent on a flow of less value.
    """

    scenarios = [
        ("priority", rank(priority=1), rank(priority=2)),
        ("less work", rank(service_ms=4), rank(service_ms=30)),
        ("many short ones", rank(priority=2, service_ms=4), rank(priority=1)),
        ("deadline passed", rank(priority=9), rank(priority=0, waited_ms=1_990)),
        ("without a deadline", rank(priority=9, timeout_ms=0), rank(waited_ms=1_990)),
        ("late already", rank(), rank(waited_ms=600)),
        ("late already, little slack", rank(), rank(waited_ms=1_900)),
        ("least slack", rank(waited_ms=100), rank()),
        ("least slack to the deadline", rank(waited_ms=900), rank(waited_ms=600)),
        ("no objective", rank(objective_ms=0, waited_ms=9), rank(objective_ms=0)),
    ]
    scenarios = [
        (n, {"first": first, "second": second}) for n, first, second in scenarios
    ]

    def test_order(self):
        self.assertLess(self.first, self.second)


class PickWaiting(testtools.TestCase):
    """An allowance goes to the flows of the highest value, and to none in vain."""

    @staticmethod
    def waiting(key, *, priority=1, arrived_ms=1_000, service_ms=30):
        """Return a flow that waits."""
        flow_terms = terms("single", priority, 500, 2_000)
        return WaitingFlow(
            key=key, terms=flow_terms, arrived_ms=arrived_ms, service_ms=service_ms
        )

    def test_order(self):
        flows = [
            self.waiting("low", priority=2),
            self.waiting("later"),
            self.waiting("earlier", arrived_ms=900),
            self.waiting("short", service_ms=5),
            self.waiting("unknown", priority=0, service_ms=None),
        ]
        picked = [flow.key for flow in pick_waiting(flows, 4, 1_000)]
        self.assertEqual(["short", "unknown", "earlier", "later"], picked)

    def test_expired(self):
        flows = [self.waiting("expired", priority=0), self.waiting("in time")]
        flows[0].arrived_ms = -1_000
        self.assertEqual(flows[1:], pick_waiting(flows, 2, 1_000))

    def test_same_value(self):
        """Equal flows keep the order of their arrival."""
        flows = [self.waiting(number, service_ms=None) for number in range(9)]
        self.assertEqual(flows[:3], pick_waiting(flows, 3, 1_000))
