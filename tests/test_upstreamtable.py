"""tests.test_upstreamtable: Tests of what a control replica knows of upstreams."""

import testscenarios
import testtools

from knapweeddeal.messages.packets import DRAINING, GONE, UpstreamHeartbeat
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import state

OWN, OTHER = 1, 2
REPORT_MS = 1_000


def table_with(*states, now_ms=0):
    """Return a table that took states."""
    table = UpstreamTable(own=OWN, report_ms=REPORT_MS)
    for told in states:
        table.apply_state(told, now_ms)
    return table


class Ordered(testscenarios.TestWithScenarios, testtools.TestCase):
    """Late reports and reports of the dead change nothing."""

    scenarios = [
        ("next", {"told": {"sequence": 6}, "changed": 0, "sequence": 6}),
        ("leaving", {"told": {"sequence": 6, "status": DRAINING}, "changed": 1}),
        ("late", {"told": {"sequence": 4, "status": DRAINING}, "changed": 0}),
        ("doubled", {"told": {"sequence": 5}, "changed": 0}),
        ("born again", {"told": {"born_ms": 2_000, "sequence": 1}, "changed": 1}),
        ("before its birth", {"told": {"born_ms": 500, "sequence": 9}, "changed": 0}),
        ("moved home", {"told": {"sequence": 6, "home": OTHER}, "changed": 1}),
        ("old hint", {"told": {"hint": True}, "changed": 0}),
    ]
    sequence = None

    def test_take(self):
        table = table_with(state(sequence=5))
        told = state(**{"sequence": 5, **self.told})
        self.assertEqual(self.changed, len(table.apply_state(told, 10)))
        if self.sequence:
            self.assertEqual(self.sequence, table.get("i-1").sequence)


class Marked(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only its home marks an upstream as failing, until it starts anew."""

    scenarios = [
        ("own", {"home": OWN, "marked": True, "kept": True}),
        ("other's", {"home": OTHER, "marked": False, "kept": False}),
        ("born anew", {"home": OWN, "born_ms": 9_000, "marked": True, "kept": False}),
    ]
    born_ms = 1_000

    def test_mark(self):
        table = table_with(state(home=self.home, sequence=5))
        self.assertEqual(self.marked, bool(table.mark_failing({"i-1"}, {"i-1"})))
        table.apply_state(state(home=self.home, sequence=6, born_ms=self.born_ms), 10)
        self.assertEqual(self.kept, table.get("i-1").failing)
        self.assertEqual(self.kept, bool(table.mark_failing(set(), {"i-1"})))


class Told(testscenarios.TestWithScenarios, testtools.TestCase):
    """Forwarders get what changes their routing, and nothing else.

    After all replicas were killed each upstream reports anew, to some replica: 100
    reports would go to 100 forwarders each while these ask for everything.
    """

    scenarios = [
        ("again", {"change": {"sequence": 6}, "told": 0}),
        ("moved home", {"change": {"sequence": 6, "home": OTHER}, "told": 0}),
        ("draining", {"change": {"sequence": 6, "status": DRAINING}, "told": 1}),
        ("silent", {"change": {"sequence": 6, "silent": True}, "told": 1}),
        ("failing", {"change": {"sequence": 6, "failing": True}, "told": 1}),
        ("born anew", {"change": {"born_ms": 2_000, "sequence": 1}, "told": 1}),
        ("other service", {"change": {"sequence": 6, "service": "b"}, "told": 1}),
    ]

    def test_untold(self):
        table = UpstreamTable(own=OWN, report_ms=1_000)
        first = table.apply_state(state(sequence=5, hint=True), 0)
        self.assertEqual(1, len(table.pop_unsent(first)))
        changed = table.apply_state(state(**{"sequence": 5, **self.change}), 10)
        self.assertEqual(self.told, len(table.pop_unsent(changed)))
        self.assertEqual(0, len(table.pop_unsent(changed)))


class Removed(testscenarios.TestWithScenarios, testtools.TestCase):
    """What follows a removal counts only from a new start."""

    scenarios = [
        ("late report", {"told": {"sequence": 9}, "status": GONE}),
        ("new start", {"told": {"born_ms": 2_000, "sequence": 1}, "status": "ready"}),
    ]

    def test_take(self):
        table = table_with(state(sequence=5), state(sequence=5, status=GONE))
        table.apply_state(state(**self.told), 10)
        self.assertEqual(self.status, table.get("i-1").status)


class SharedAddress(testscenarios.TestWithScenarios, testtools.TestCase):
    """Of two upstreams at one address, the one that started later is there."""

    scenarios = [
        ("in order", {"order": (1_000, 2_000)}),
        ("late report after the new one", {"order": (2_000, 1_000)}),
    ]

    def test_displaced(self):
        table = UpstreamTable(own=OWN, report_ms=REPORT_MS)
        for born_ms in self.order:
            told = state(born_ms // 1_000, born_ms=born_ms, host="10.0.0.9")
            table.apply_state(told, 0)
        known = {s.upstream_id: s.status for s in table.states(0)}
        self.assertEqual("ready", known["i-2"])
        self.assertIn(known.get("i-1"), (None, GONE))


class Silence(testscenarios.TestWithScenarios, testtools.TestCase):
    """Who says when that an upstream is silent."""

    scenarios = [
        ("own, early", {"home": OWN, "age_ms": 2_999, "silent": False}),
        ("own", {"home": OWN, "age_ms": 3_000, "silent": True}),
        (
            "own, cut off",
            {"home": OWN, "age_ms": 3_000, "current": False, "silent": True},
        ),
        ("other's", {"home": OTHER, "age_ms": 3_000, "silent": True}),
        (
            "other's, cut off",
            {"home": OTHER, "age_ms": 9_000, "current": False, "silent": False},
        ),
        (
            "orphan, early",
            {"home": OTHER, "age_ms": 5_999, "linked": (), "silent": False},
        ),
        ("orphan", {"home": OTHER, "age_ms": 6_000, "linked": (), "silent": True}),
    ]
    current = True
    linked = (OTHER,)

    def test_expire(self):
        table = table_with(state(home=self.home))
        changed = table.expire(
            now_ms=self.age_ms, current=self.current, linked=self.linked
        )
        self.assertEqual(self.silent, [s.silent for s in changed] == [True])


class Beats(testtools.TestCase):
    """Beats keep an upstream alive at the other replicas."""

    def test_beats(self):
        table = table_with(state(sequence=3))
        beat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=3)
        self.assertEqual([beat], table.pop_heartbeats())
        self.assertEqual([], table.pop_heartbeats())

    def test_heard_elsewhere(self):
        table = table_with(state(home=OTHER))
        beat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        table.apply_heartbeat(beat, OTHER, 2_900)
        changed = table.expire(now_ms=5_800, current=True, linked=(OTHER,))
        self.assertEqual([], changed)

    def test_back(self):
        """A beat of a silent upstream is news."""
        table = table_with(state())
        table.expire(now_ms=3_000, current=True, linked=())
        beat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        (changed,) = table.apply_heartbeat(beat, OTHER, 3_100)
        self.assertFalse(changed.silent)

    def test_unknown(self):
        table = table_with()
        beat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        self.assertEqual([], table.apply_heartbeat(beat, OTHER, 0))
