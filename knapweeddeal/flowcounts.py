"""knapweeddeal.flowcounts: Flows by upstream, counted by entries for plans."""

from knapweeddeal.messages.control import FlowCount, FlowCounts
from knapweeddeal.record import Record

__all__ = ["Affected", "FlowCounter", "FlowTable"]

#: Share by which a count must change to be reported again.
NOTICEABLE_SHARE = 0.05
#: Silence after which an entry's counts don't count any more.
FORGET_MS = 30_000


class FlowCounter:
    """Count the flows that an entry owns, and report what changed noticeably."""

    __slots__ = ("_flows", "_name", "_reported", "_zones")

    def __init__(self, *, name):
        self._name = name
        self._flows = {}
        self._zones = {}
        self._reported = None

    def add(self, key, zone):
        """Count a flow on an upstream."""
        self._flows[key] = self._flows.get(key, 0) + 1
        self._zones[key] = zone

    def remove(self, key):
        """Count one flow less on an upstream."""
        self._flows[key] = self._flows.get(key, 0) - 1

    def start_over(self):
        """Report all counts the next time: another replica listens."""
        self._reported = None

    def report(self):
        """Return the report to send now, or None if nothing changed noticeably."""
        whole = self._reported is None
        reported = self._reported or {}
        changed = {
            key: flows
            for key, flows in self._flows.items()
            if whole or _is_noticeable(reported.get(key, 0), flows)
        }
        if not changed and not whole:
            return None
        self._reported = {**reported, **changed}
        counts = [self._count(key, flows) for key, flows in changed.items()]
        self._drop_empty()
        return FlowCounts(name=self._name, whole=whole, counts=counts)

    def _count(self, key, flows):
        return FlowCount(
            service=key.service,
            upstream_id=key.upstream_id,
            zone=self._zones[key],
            flows=flows,
        )

    def _drop_empty(self):
        for key in [key for key, flows in self._flows.items() if not flows]:
            del self._flows[key]
            del self._zones[key]
            self._reported.pop(key, None)


class Affected(Record):
    """Tell which upstreams, zones and flows a change of configuration touches."""

    __slots__ = ("upstreams", "zones", "flows")


class FlowTable:
    """Hold the counts of all entries and tell whom a plan affects."""

    __slots__ = ("_counts", "_heard_ms")

    def __init__(self):
        self._counts = {}
        self._heard_ms = {}

    def apply(self, report, *, now_ms):
        """Take an entry's report."""
        counts = self._counts.setdefault(report.name, {})
        if report.whole:
            counts.clear()
        for count in report.counts:
            counts[count.service, count.upstream_id] = count
        self.heard(report.name, now_ms=now_ms)

    def heard(self, name, *, now_ms):
        """Note that an entry is alive."""
        if name in self._counts:
            self._heard_ms[name] = now_ms

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
