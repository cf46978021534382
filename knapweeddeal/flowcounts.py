"""knapweeddeal.flowcounts: Flow counts by upstream, reported by entries for plans."""

from knapweeddeal.messages.control import FlowCount, FlowCounts
from knapweeddeal.record import Record

__all__ = ["Affected", "FlowCountReporter", "FlowCountTable"]

#: Relative change of a count, as a fraction, above which it is reported again.
MIN_RELATIVE_CHANGE = 0.05
#: Minimum interval between two reports of an entry.
REPORT_INTERVAL_MS = 5_000
#: Time since an entry's last message after which its counts are ignored.
COUNTS_EXPIRY_MS = 30_000


class FlowCountReporter:
    """Report an entry's flows by upstream when the counts changed."""

    __slots__ = ("_due_ms", "_name", "_reported")

    def __init__(self, *, name):
        self._name = name
        self._reported = None
        self._due_ms = 0

    def report_in_full(self):
        """Include all counts in the next report, for a replica that has none yet."""
        self._reported = None

    def report(self, counts, zone_of, *, now_ms):
        """Return a report on the counts if one is due, else None."""
        if now_ms < self._due_ms:
            return None
        self._due_ms = now_ms + REPORT_INTERVAL_MS
        whole = self._reported is None
        reported = self._reported or {}
        changed = {
            key: counts.get(key, 0)
            for key in {**reported, **counts}
            if whole or _is_significant(reported.get(key, 0), counts.get(key, 0))
        }
        if not changed and not whole:
            return None
        merged = {**reported, **changed}
        self._reported = {key: flows for key, flows in merged.items() if flows}
        flow_counts = [
            FlowCount(
                service=key.service,
                upstream_id=key.upstream_id,
                zone=zone_of(key),
                flows=flows,
            )
            for key, flows in changed.items()
        ]
        return FlowCounts(name=self._name, whole=whole, counts=flow_counts)


class Affected(Record):
    """Hold the upstreams, zones and flows that a configuration change affects."""

    __slots__ = ("upstreams", "zones", "flows")


class FlowCountTable:
    """Hold the flow counts of all entries, and compute what a plan affects."""

    __slots__ = ("_counts", "_last_alive_ms", "_local_names")

    def __init__(self):
        self._counts = {}
        self._local_names = set()
        self._last_alive_ms = {}

    def apply_local(self, report, *, now_ms):
        """Apply a report that an entry sent to this replica."""
        self.apply(report, now_ms=now_ms)
        self._local_names.add(report.name)

    def apply(self, report, *, now_ms):
        """Apply an entry's report, whichever replica received it."""
        self._local_names.discard(report.name)
        counts = self._counts.setdefault(report.name, {})
        if report.whole:
            counts.clear()
        for count in report.counts:
            counts[count.service, count.upstream_id] = count
        self.mark_alive(report.name, now_ms=now_ms)

    def mark_alive(self, name, *, now_ms):
        """Record that an entry is alive."""
        if name in self._counts:
            self._last_alive_ms[name] = now_ms

    def local_reports(self):
        """Return full reports of the entries that report to this replica."""
        return [
            FlowCounts(name=name, whole=True, counts=list(self._counts[name].values()))
            for name in sorted(self._local_names)
        ]

    def affected(self, old, new, *, now_ms):
        """Return what a change from one configuration to another affects."""
        services, drained = _changed_services_and_upstreams(old, new)
        affected_counts = [
            count
            for count in self._recent_counts(now_ms)
            if count.service in services
            or (count.service, count.upstream_id) in drained
        ]
        drained_ids = {upstream_id for _, upstream_id in drained}
        return Affected(
            upstreams=sorted(
                drained_ids | {count.upstream_id for count in affected_counts}
            ),
            zones=sorted({count.zone for count in affected_counts}),
            flows=sum(count.flows for count in affected_counts),
        )

    def _recent_counts(self, now_ms):
        for name, counts in self._counts.items():
            if now_ms - self._last_alive_ms[name] < COUNTS_EXPIRY_MS:
                yield from (count for count in counts.values() if count.flows)


def _is_significant(reported, flows):
    if not reported or not flows:
        return reported != flows
    return abs(flows - reported) > MIN_RELATIVE_CHANGE * reported


def _changed_services_and_upstreams(old, new):
    """Return moved or removed services, and upstreams whose draining changed."""
    before = {entry.name: entry for entry in old.services}
    after = {entry.name: entry for entry in new.services}
    services, drained = set(), set()
    for name, entry in before.items():
        changed = after.get(name)
        if changed is None or (entry.host, entry.port) != (changed.host, changed.port):
            services.add(name)
            continue
        for upstream_id in set(entry.draining) ^ set(changed.draining):
            drained.add((name, upstream_id))
    return services, drained
