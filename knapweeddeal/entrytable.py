"""knapweeddeal.entrytable: What each entry applied, as control replicas heard it."""

from knapweeddeal.messages.operator import EntryStatus
from knapweeddeal.messages.replication import EntryReports

__all__ = ["EntryTable"]

#: Silence after which an entry isn't listed any more.
FORGET_MS = 600_000


class Report:
    """Hold what an entry said, and when."""

    __slots__ = ("applied_version", "heard_ms", "zone")

    def __init__(self, *, zone, applied_version, heard_ms):
        self.zone = zone
        self.applied_version = applied_version
        self.heard_ms = heard_ms


class EntryTable:
    """Collect the reports of entries, the freshest by name."""

    __slots__ = ("_own", "_reports")

    def __init__(self):
        self._reports = {}
        self._own = set()

    def record_report(self, request, now_ms):
        """Note a report that an entry made here."""
        self._own.add(request.name)
        self._note(request.name, request.zone, request.applied_version, now_ms)

    def merge(self, reports, now_ms):
        """Note reports that entries made at another replica."""
        for status in reports.entries:
            heard_ms = now_ms - status.age_ms
            self._note(status.name, status.zone, status.applied_version, heard_ms)

    def statuses(self, now_ms):
        """Return what all entries said, by name."""
        return [self._status(name, now_ms) for name in self._fresh(now_ms)]

    def local_reports(self, now_ms):
        """Return the reports that entries made here, for the leader."""
        names = [name for name in self._fresh(now_ms) if name in self._own]
        return EntryReports(entries=[self._status(name, now_ms) for name in names])

    def _note(self, name, zone, applied_version, heard_ms):
        known = self._reports.get(name)
        if known is not None and known.heard_ms > heard_ms:
            return
        self._reports[name] = Report(
            zone=zone, applied_version=applied_version, heard_ms=heard_ms
        )

    def _fresh(self, now_ms):
        return sorted(
            name
            for name, report in self._reports.items()
            if now_ms - report.heard_ms < FORGET_MS
        )

    def _status(self, name, now_ms):
        report = self._reports[name]
        return EntryStatus(
            name=name,
            zone=report.zone,
            applied_version=report.applied_version,
            age_ms=max(now_ms - report.heard_ms, 0),
        )
