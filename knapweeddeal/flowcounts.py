"""knapweeddeal.flowcounts: Flows by upstream, counted by entries for plans."""

from knapweeddeal.messages.control import FlowCount, FlowCounts
from knapweeddeal.record import Record

__all__ = ["Affected", "FlowCountReporter", "FlowCountTable"]

#: Share by which a count must change to be reported again.
NOTICEABLE_SHARE = 0.05
#: Time between two reports of an entry.
REPORT_MS = 5_000
#: Silence after which an entry's counts don't count any more.
FORGET_MS = 30_000


class FlowCountReporter:
    """Report the flows that an entry owns, by upstream, when they changed."""

    __slots__ = ("_due_ms", "_name", "_reported")

    def __init__(self, *, name):
        self._name = name
        self._reported = None
        self._due_ms = 0

    def report_in_full(self):
        """Report all counts the next time: another replica listens."""
        self._reported = None

    def report(self, counts, zone_of, *, now_ms):
        """Return the report of counts by upstream that is due, or None."""
        if now_ms < self._due_ms:
            return None
        self._due_ms = now_ms + REPORT_MS
        whole = self._reported is None
        reported = self._reported or {}
        changed = {
            key: counts.get(key, 0)
            for key in {**reported, **counts}
            if whole or _is_noticeable(reported.get(key, 0), counts.get(key, 0))
        }
        if not changed and not whole:
            return None
        merged = {**reported, **changed}
        self._reported = {key: flows for key, flows in merged.items() if flows}
        listed = [
            FlowCount(
                service=key.service,
                upstream_id=key.upstream_id,
                zone=zone_of(key),
                flows=flows,
            )
            for key, flows in changed.items()
        ]
        return FlowCounts(name=self._name, whole=whole, counts=listed)


class Affected(Record):
    """Tell which upstreams, zones and flows a change of configuration touches."""

    __slots__ = ("upstreams", "zones", "flows")


class FlowCountTable:
    """Hold the counts of all entries and tell whom a plan affects."""

    __slots__ = ("_counts", "_heard_ms", "_own")

    def __init__(self):
        self._counts = {}
        self._own = set()
        self._heard_ms = {}

    def record_local(self, report, *, now_ms):
        """Take a report that an entry sent to this replica."""
        self.apply(report, now_ms=now_ms)
        self._own.add(report.name)

    def apply(self, report, *, now_ms):
        """Take an entry's report, whichever replica it was sent to."""
        self._own.discard(report.name)
        counts = self._counts.setdefault(report.name, {})
        if report.whole:
            counts.clear()
        for count in report.counts:
            counts[count.service, count.upstream_id] = count
        self.mark_alive(report.name, now_ms=now_ms)

    def mark_alive(self, name, *, now_ms):
        """Note that an entry is alive."""
        if name in self._counts:
            self._heard_ms[name] = now_ms

    def local_reports(self):
        """Return whole reports of the entries that report to this replica."""
        return [
            FlowCounts(name=name, whole=True, counts=list(self._counts[name].values()))
            for name in sorted(self._own)
        ]

    def affected(self, old, new, *, now_ms):
        """Return what the step from one configuration to another touches."""
        whole, drained = _touched(old, new)
        found = [
            count
            for count in self._fresh_counts(now_ms)
            if count.service in whole or (count.service, count.upstream_id) in drained
        ]
        named = {upstream_id for _, upstream_id in drained}
        return Affected(
            upstreams=sorted(named | {count.upstream_id for count in found}),
            zones=sorted({count.zone for count in found}),
            flows=sum(count.flows for count in found),
        )

    def _fresh_counts(self, now_ms):
        for name, counts in self._counts.items():
            if now_ms - self._heard_ms[name] < FORGET_MS:
                yield from (count for count in counts.values() if count.flows)


def _is_noticeable(reported, flows):
    if not reported or not flows:
        return reported != flows
    return abs(flows - reported) > NOTICEABLE_SHARE * reported


def _touched(old, new):
    """Return services that change as a whole, and single upstreams that do."""
    before = {entry.name: entry for entry in old.services}
    after = {entry.name: entry for entry in new.services}
    whole, drained = set(), set()
    for name, entry in before.items():
        changed = after.get(name)
        if changed is None or (entry.host, entry.port) != (changed.host, changed.port):
            whole.add(name)
            continue
        for upstream_id in set(entry.draining) ^ set(changed.draining):
            drained.add((name, upstream_id))
    return whole, drained
