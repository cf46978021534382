"""tests.test_upstreamtable: Tests of a control replica's table of upstreams."""

import testscenarios
import testtools

from knapweeddeal.messages.packets import DRAINING, GONE, READY, UpstreamHeartbeat
from knapweeddeal.upstreamtable import ACCEPTED, DEFERRED, UpstreamTable
from tests.packetfakes import SERVICE, state

OWN, OTHER = 1, 2
REPORT_MS = 1_000


def table_with(*states, now_ms=0):
    """Return a table to which states were applied."""
    table = UpstreamTable(own_identity=OWN, report_ms=REPORT_MS)
    for reported in states:
        table.apply_state(reported, now_ms)
    return table


def depart(table, now_ms, *, born_ms=None):
    """Apply a departure of upstream 1."""
    verdict = table.judge_departure("i-1", born_ms)
    if verdict == ACCEPTED:
        table.apply_state(table.departed_state("i-1", None), now_ms)
    elif verdict == DEFERRED:
        table.defer_departure("i-1")


class ReportOrder(testscenarios.TestWithScenarios, testtools.TestCase):
    """Late reports and reports of an earlier start change nothing."""

    scenarios = [
        ("next sequence", {"update": {"sequence": 6}, "changed": 0, "sequence": 6}),
        ("draining", {"update": {"sequence": 6, "status": DRAINING}, "changed": 1}),
        ("late", {"update": {"sequence": 4, "status": DRAINING}, "changed": 0}),
        ("duplicate", {"update": {"sequence": 5}, "changed": 0}),
        ("restarted", {"update": {"born_ms": 2_000, "sequence": 1}, "changed": 1}),
        ("earlier start", {"update": {"born_ms": 500, "sequence": 9}, "changed": 0}),
        ("other home", {"update": {"sequence": 6, "home": OTHER}, "changed": 1}),
        ("old hint", {"update": {"hint": True}, "changed": 0}),
    ]
    sequence = None

    def test_apply_state(self):
        table = table_with(state(sequence=5))
        report = state(**{"sequence": 5, **self.update})
        self.assertEqual(self.changed, len(table.apply_state(report, 10)))
        if self.sequence:
            self.assertEqual(self.sequence, table.get("i-1").sequence)


class MarkFailing(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only its home marks an upstream as failing, until it restarts."""

    scenarios = [
        ("own home", {"home": OWN, "marked": True, "still_failing": True}),
        ("other home", {"home": OTHER, "marked": False, "still_failing": False}),
        (
            "restarted",
            {"home": OWN, "born_ms": 9_000, "marked": True, "still_failing": False},
        ),
    ]
    born_ms = 1_000

    def test_mark_failing(self):
        table = table_with(state(home=self.home, sequence=5))
        self.assertEqual(self.marked, bool(table.mark_failing({"i-1"}, {"i-1"})))
        table.apply_state(state(home=self.home, sequence=6, born_ms=self.born_ms), 10)
        self.assertEqual(self.still_failing, table.get("i-1").failing)
        self.assertEqual(self.still_failing, bool(table.mark_failing(set(), {"i-1"})))


class UnsentStates(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only changes of routing are sent to forwarders.

    After all replicas were killed, each upstream reports to some replica: 100 reports
    would go to 100 forwarders each while these request all upstreams.
    """

    scenarios = [
        ("next sequence", {"change": {"sequence": 6}, "sent_count": 0}),
        ("other home", {"change": {"sequence": 6, "home": OTHER}, "sent_count": 0}),
        ("draining", {"change": {"sequence": 6, "status": DRAINING}, "sent_count": 1}),
        ("silent", {"change": {"sequence": 6, "silent": True}, "sent_count": 1}),
        ("failing", {"change": {"sequence": 6, "failing": True}, "sent_count": 1}),
        ("restarted", {"change": {"born_ms": 2_000, "sequence": 1}, "sent_count": 1}),
        ("other service", {"change": {"sequence": 6, "service": "b"}, "sent_count": 1}),
    ]

    def test_pop_unsent(self):
        table = UpstreamTable(own_identity=OWN, report_ms=1_000)
        first = table.apply_state(state(sequence=5, hint=True), 0)
        self.assertEqual(1, len(table.pop_unsent(first)))
        changed = table.apply_state(state(**{"sequence": 5, **self.change}), 10)
        self.assertEqual(self.sent_count, len(table.pop_unsent(changed)))
        self.assertEqual(0, len(table.pop_unsent(changed)))


class Removal(testscenarios.TestWithScenarios, testtools.TestCase):
    """After a removal, only reports of a later start are applied."""

    scenarios = [
        ("late report", {"update": {"sequence": 9}, "status": GONE}),
        (
            "later start",
            {"update": {"born_ms": 2_000, "sequence": 1}, "status": "ready"},
        ),
    ]

    def test_apply_state(self):
        table = table_with(state(sequence=5), state(sequence=5, status=GONE))
        table.apply_state(state(**self.update), 10)
        self.assertEqual(self.status, table.get("i-1").status)


class Departure(testscenarios.TestWithScenarios, testtools.TestCase):
    """A departure at once removes only the process that sent it, and no later one.

    Guards against a delayed departure that removes the upstream that was started
    under the same id meanwhile.
    """

    DRAINS = state(sequence=5, status=DRAINING)
    RESTARTED = state(born_ms=2_000, sequence=1)
    DRAINS_AGAIN = RESTARTED.replace(sequence=2, status=DRAINING)

    scenarios = [
        ("unknown", {"known": [], "gone": None}),
        ("draining", {"known": [DRAINS], "gone": 1_000}),
        ("draining, as a hint", {"known": [DRAINS.replace(hint=True)], "gone": 1_000}),
        (
            "draining at another home",
            {"known": [DRAINS.replace(home=OTHER)], "gone": 1_000},
        ),
        ("silent", {"known": [DRAINS.replace(silent=True)], "gone": 1_000}),
        ("ready", {"known": [state()], "gone": None}),
        ("restarted", {"known": [DRAINS, RESTARTED], "gone": None}),
        ("restarted and draining", {"known": [DRAINS, DRAINS_AGAIN], "gone": None}),
        (
            "restarted, draining and silent",
            {"known": [DRAINS, DRAINS_AGAIN.replace(silent=True)], "gone": None},
        ),
        (
            "restarted, with the earlier start",
            {"known": [DRAINS, RESTARTED], "born_ms": 1_000, "gone": None},
        ),
        (
            "ready, with its start",
            {"known": [DRAINS, RESTARTED], "born_ms": 2_000, "gone": 2_000},
        ),
        (
            "restarted and draining, with the earlier start",
            {"known": [DRAINS, DRAINS_AGAIN], "born_ms": 1_000, "gone": None},
        ),
        (
            "restarted and draining, with its start",
            {"known": [DRAINS, DRAINS_AGAIN], "born_ms": 2_000, "gone": 2_000},
        ),
        (
            "draining, with a start that isn't known",
            {"known": [DRAINS], "born_ms": 2_000, "gone": None},
        ),
        ("twice", {"known": [DRAINS], "count": 2, "gone": 1_000}),
    ]
    born_ms = None
    count = 1

    def test_apply(self):
        table = table_with(*self.known)
        before = table.get("i-1")
        for _ in range(self.count):
            depart(table, 10, born_ms=self.born_ms)
        after = table.get("i-1")
        if self.gone is None:
            self.assertEqual(before, after)
        else:
            self.assertEqual(
                (GONE, self.gone, OWN), (after.status, after.born_ms, after.home)
            )


class RepeatedDeparture(testtools.TestCase):
    """The next process is ready, also if the departure comes again."""

    def test_apply(self):
        table = table_with(Departure.DRAINS)
        for _ in range(2):
            depart(table, 10)
            table.apply_state(Departure.RESTARTED, 20)
        self.assertEqual(Departure.RESTARTED, table.get("i-1"))


class DeferredDeparture(testscenarios.TestWithScenarios, testtools.TestCase):
    """A departure that may be of an earlier process counts once the next one is silent.

    Guards against one that was delayed, and ends an upstream that still reports.
    """

    DRAINS = Departure.DRAINS_AGAIN
    REPORT = DRAINS.replace(sequence=3)
    SILENT = DRAINS.replace(silent=True)
    HEARTBEAT = UpstreamHeartbeat(upstream_id="i-1", born_ms=2_000, sequence=3)

    scenarios = [
        ("silent", {"status": GONE}),
        ("silent at another home", {"home": OTHER, "status": GONE}),
        ("another home, without a leader", {"home": OTHER, "current": False}),
        ("reports", {"then": REPORT}),
        ("reports elsewhere", {"then": HEARTBEAT}),
        ("reports after a pause", {"after_pause": REPORT}),
        ("late report", {"then": DRAINS, "status": GONE}),
        ("late report of the earlier", {"then": Departure.DRAINS, "status": GONE}),
        ("replicated as silent", {"then": SILENT, "status": GONE}),
    ]
    then = after_pause = None
    home = OWN
    current = True
    status = DRAINING

    def test_expire(self):
        table = table_with(Departure.DRAINS, self.DRAINS.replace(home=self.home))
        depart(table, 10)
        self.report(table, self.then, 20)
        self.assertEqual(DRAINING, table.get("i-1").status)
        for now_ms, report in ((7_000, self.after_pause), (7_500, None)):
            table.expire(now_ms=now_ms, current=self.current, linked=())
            self.report(table, report, now_ms)
        self.assertEqual(self.status, table.get("i-1").status)

    def report(self, table, report, now_ms):
        """Apply a report or heartbeat, if there is one."""
        if isinstance(report, UpstreamHeartbeat):
            table.apply_heartbeat(report, OTHER, now_ms)
        elif report is not None:
            table.apply_state(report, now_ms)


class SharedAddress(testscenarios.TestWithScenarios, testtools.TestCase):
    """Of two upstreams at one address, the one that started later is kept.

    Guards against a report of another writer that removes a running upstream: one of a
    service that isn't configured doesn't say who has an address.
    """

    EARLIER = state(1, born_ms=1_000, host="10.0.0.9")
    LATER = state(2, born_ms=2_000, host="10.0.0.9")
    OTHER_SERVICE = LATER.replace(service="archive")
    UNKNOWN = LATER.replace(service="unknown")
    SAME_ID = EARLIER.replace(born_ms=2_000, service="unknown")

    scenarios = [
        ("earlier start first", {"reports": [EARLIER, LATER], "ready": ["i-2"]}),
        ("later start first", {"reports": [LATER, EARLIER], "ready": ["i-2"]}),
        (
            "later start silent",
            {"reports": [LATER.replace(silent=True), EARLIER], "ready": ["i-1", "i-2"]},
        ),
        (
            "later start remembered",
            {"reports": [LATER.replace(hint=True), EARLIER], "ready": ["i-1", "i-2"]},
        ),
        (
            "later start remembered, but it reports",
            {
                "reports": [LATER.replace(hint=True), EARLIER, LATER],
                "ready": ["i-2"],
            },
        ),
        (
            "earlier start remembered",
            {"reports": [EARLIER.replace(hint=True), LATER], "ready": ["i-2"]},
        ),
        (
            "earlier start silent",
            {"reports": [EARLIER.replace(silent=True), LATER], "ready": ["i-2"]},
        ),
        ("other service", {"reports": [EARLIER, OTHER_SERVICE], "ready": ["i-2"]}),
        ("unknown service", {"reports": [EARLIER, UNKNOWN], "ready": ["i-1", "i-2"]}),
        (
            "unknown service first",
            {"reports": [UNKNOWN, EARLIER], "ready": ["i-1", "i-2"]},
        ),
        (
            "earlier start of an unknown service",
            {
                "reports": [EARLIER.replace(service="unknown"), LATER],
                "ready": ["i-1", "i-2"],
            },
        ),
        ("unknown service, same id", {"reports": [EARLIER, SAME_ID], "ready": ["i-1"]}),
        (
            "unknown service, id of a silent upstream",
            {"reports": [EARLIER.replace(silent=True), SAME_ID], "ready": ["i-1"]},
        ),
        (
            "unknown service, id of an upstream that is gone",
            {
                "reports": [EARLIER.replace(status=GONE), SAME_ID],
                "ready": ["i-1"],
                "born_ms": 2_000,
            },
        ),
        (
            "service configured later",
            {"services": [], "reports": [EARLIER, LATER], "ready": ["i-2"]},
        ),
        (
            "service configured later, later start first",
            {"services": [], "reports": [LATER, EARLIER], "ready": ["i-2"]},
        ),
        (
            "service never configured",
            {
                "services": [],
                "later_services": [],
                "reports": [EARLIER, LATER],
                "ready": ["i-1", "i-2"],
            },
        ),
    ]
    services = later_services = (SERVICE, "archive")
    born_ms = 1_000

    def test_displaced(self):
        table = table_with()
        table.set_services(self.services)
        for report in self.reports:
            table.apply_state(report, 0)
        table.set_services(self.later_services)
        ready = {s.upstream_id: s for s in table.states(0) if s.status == READY}
        self.assertEqual(self.ready, sorted(ready))
        if "i-1" in ready:
            self.assertEqual(self.born_ms, ready["i-1"].born_ms)


class SilentAtAddress(testtools.TestCase):
    """An upstream that fell silent keeps its address from none that reports.

    Guards against an entry of another writer that hides a running upstream from a
    replica that learned of the entry first.
    """

    def test_earlier_start_reports(self):
        table = table_with()
        table.set_services([SERVICE])
        table.apply_state(SharedAddress.LATER, 0)
        table.expire(now_ms=10_000, current=True, linked=())
        table.apply_state(SharedAddress.EARLIER, 10_000)
        self.assertEqual(READY, table.get("i-1").status)
        table.apply_state(SharedAddress.LATER.replace(sequence=9), 10_500)
        self.assertEqual(GONE, table.get("i-1").status)


class ConfiguredLater(testtools.TestCase):
    """Upstreams that a configuration displaces are returned, once."""

    def test_set_services(self):
        table = table_with(SharedAddress.EARLIER, SharedAddress.LATER)
        (changed,) = table.set_services([SERVICE])
        self.assertEqual(("i-1", GONE), (changed.upstream_id, changed.status))
        self.assertEqual([], table.set_services([SERVICE]))


class SilenceTimeout(testscenarios.TestWithScenarios, testtools.TestCase):
    """The silence timeout depends on the home, the link to it, and the leader.

    A replica that is cut off may lack other replicas' reports, and must not mark
    their upstreams as silent.
    """

    scenarios = [
        (
            "own home, before the timeout",
            {"home": OWN, "age_ms": 2_999, "silent": False},
        ),
        ("own home", {"home": OWN, "age_ms": 3_000, "silent": True}),
        (
            "own home, no leader",
            {"home": OWN, "age_ms": 3_000, "current": False, "silent": True},
        ),
        ("other home", {"home": OTHER, "age_ms": 3_000, "silent": True}),
        (
            "other home, no leader",
            {"home": OTHER, "age_ms": 9_000, "current": False, "silent": False},
        ),
        (
            "other home not linked, before the timeout",
            {"home": OTHER, "age_ms": 5_999, "linked": (), "silent": False},
        ),
        (
            "other home not linked",
            {"home": OTHER, "age_ms": 6_000, "linked": (), "silent": True},
        ),
    ]
    current = True
    linked = (OTHER,)

    def test_expire(self):
        table = table_with(state(home=self.home))
        changed = table.expire(
            now_ms=self.age_ms, current=self.current, linked=self.linked
        )
        self.assertEqual(self.silent, [s.silent for s in changed] == [True])


class Heartbeats(testtools.TestCase):
    """Heartbeats keep an upstream from becoming silent at other replicas."""

    def test_pop_heartbeats(self):
        table = table_with(state(sequence=3))
        heartbeat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=3)
        self.assertEqual([heartbeat], table.pop_heartbeats())
        self.assertEqual([], table.pop_heartbeats())

    def test_heartbeat_of_other_replica(self):
        table = table_with(state(home=OTHER))
        heartbeat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        table.apply_heartbeat(heartbeat, OTHER, 2_900)
        changed = table.expire(now_ms=5_800, current=True, linked=(OTHER,))
        self.assertEqual([], changed)

    def test_heartbeat_ends_silence(self):
        """A heartbeat of a silent upstream is a change."""
        table = table_with(state())
        table.expire(now_ms=3_000, current=True, linked=())
        heartbeat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        (changed,) = table.apply_heartbeat(heartbeat, OTHER, 3_100)
        self.assertFalse(changed.silent)

    def test_heartbeat_of_unknown_upstream(self):
        table = table_with()
        heartbeat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        self.assertEqual([], table.apply_heartbeat(heartbeat, OTHER, 0))


class ColdAgain(testscenarios.TestWithScenarios, testtools.TestCase):
    """A cold time that starts to count again is a change that forwarders get.

    Upstreams of an evacuated zone become cold without a restart. The first report has
    2,000 ms left at time 0.
    """

    scenarios = [
        ("it counts down", {"at_ms": 1_000, "cold_ms": 1_000, "sent": []}),
        ("a delayed report", {"at_ms": 1_000, "cold_ms": 1_050, "sent": []}),
        ("it counts again", {"at_ms": 1_000, "cold_ms": 2_000, "sent": [2_000]}),
        ("cold after it was warm", {"at_ms": 9_000, "cold_ms": 500, "sent": [500]}),
        ("warm", {"at_ms": 2_000, "cold_ms": 0, "sent": []}),
    ]

    def test_pushed(self):
        table = table_with()
        table.pop_unsent(table.apply_state(state(cold_ms=2_000), 0))
        report = state(sequence=2, cold_ms=self.cold_ms)
        unsent = table.pop_unsent(table.apply_state(report, self.at_ms))
        self.assertEqual(self.sent, [sent.cold_ms for sent in unsent])

    def test_told_late(self):
        """A forwarder told late, and a replica by heartbeat, get what remains."""
        table = table_with(state(cold_ms=2_000))
        heartbeat = UpstreamHeartbeat(upstream_id="i-1", born_ms=1_000, sequence=9)
        table.apply_heartbeat(heartbeat, OTHER, 1_200)
        self.assertEqual([500], [one.cold_ms for one in table.states(1_500)])
        (silent,) = table.expire(now_ms=4_500, current=True, linked=(OTHER,))
        (pushed,) = table.with_remaining_cold([silent], 4_500)
        self.assertEqual(0, pushed.cold_ms)
