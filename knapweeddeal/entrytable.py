"""knapweeddeal.entrytable: The configuration version that each entry has applied."""

from knapweeddeal.messages.operator import EntryStatus
from knapweeddeal.messages.replication import EntryReports

__all__ = ["EntryTable"]

#: Time without a report after which an entry is no longer listed.
REPORT_EXPIRY_MS = 600_000


class Report:
    """Hold an entry's last report and its time."""

    __slots__ = ("applied_version", "received_ms", "zone")

    def __init__(self, *, zone, applied_version, received_ms):
        self.zone = zone
        self.applied_version = applied_version
        self.received_ms = received_ms


class EntryTable:
    """Hold the latest report of each entry, by name."""

    __slots__ = ("_local_names", "_reports")

    def __init__(self):
        self._reports = {}
        self._local_names = set()

    def record_report(self, request, now_ms):
        """Record a report that an entry sent to this replica."""
        self._local_names.add(request.name)
        self._record(request.name, request.zone, request.applied_version, now_ms)

    def merge(self, reports, now_ms):
        """Record reports that entries sent to another replica."""
        for status in reports.entries:
            received_ms = now_ms - status.age_ms
            self._record(status.name, status.zone, status.applied_version, received_ms)

    def statuses(self, now_ms):
        """Return the status of all entries, sorted by name."""
        return [self._status(name, now_ms) for name in self._current_names(now_ms)]

    def local_reports(self, now_ms):
        """Return the reports that entries sent to this replica, for the leader."""
        names = [
            name for name in self._current_names(now_ms) if name in self._local_names
        ]
        return EntryReports(entries=[self._status(name, now_ms) for name in names])

    def _record(self, name, zone, applied_version, received_ms):
        previous = self._reports.get(name)
        if previous is not None and previous.received_ms > received_ms:
            return
        self._reports[name] = Report(
            zone=zone, applied_version=applied_version, received_ms=received_ms
        )

    def _current_names(self, now_ms):
        return sorted(
            name
            for name, report in self._reports.items()
            if now_ms - report.received_ms < REPORT_EXPIRY_MS
        )

    def _status(self, name, now_ms):
        report = self._reports[name]
        return EntryStatus(
            name=name,
            zone=report.zone,
            applied_version=report.applied_version,
            age_ms=max(now_ms - report.received_ms, 0),
        )
