"""knapweeddeal.snapshotschedule: The schedule of snapshots, staggered by member."""

__all__ = [
    "SNAPSHOT_RECORDS",
    "is_snapshot_due",
    "is_due_by_count",
    "records_to_keep",
]

#: Number of applied records between two snapshots.
SNAPSHOT_RECORDS = 1_000
#: Size of the log file above which a snapshot is due whatever the record count.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
#: Limit on the records before a snapshot that stay in memory, from which followers
#: that lag a little catch up.
MAX_KEPT_RECORDS = 500
#: Limit on the total size of these records. A configuration with some thousand routes
#: takes a quarter of a MB.
MAX_KEPT_BYTES = 8 * 1024 * 1024


def records_to_keep(
    log, last_index, *, max_records=MAX_KEPT_RECORDS, max_bytes=MAX_KEPT_BYTES
):
    """Return the number of records before a snapshot to keep in memory."""
    kept_records, size_bytes = 0, 0
    while kept_records < max_records:
        record = log.get(last_index - kept_records)
        if record is None:
            break
        size_bytes += len(record.command)
        if size_bytes > max_bytes:
            break
        kept_records += 1
    return kept_records


def is_snapshot_due(node, *, log_bytes, interval_records):
    """Return whether a snapshot is due by record count or by log size."""
    last = node.snapshot.last_index if node.snapshot else 0
    if node.applied_index == last:
        return False
    members = sorted(node.members)
    position = members.index(node.identity) if node.is_member else 0
    by_count = is_due_by_count(
        index=node.applied_index,
        last_index=last,
        interval_records=interval_records,
        position=position,
        members=len(members),
    )
    return by_count or log_bytes > SNAPSHOT_LOG_BYTES


def is_due_by_count(*, index, last_index, interval_records, position, members):
    """Return whether a snapshot is due by record count.

    The indices are staggered by the member's position, so that the members don't
    write their snapshots at the same time.
    """
    offset = interval_records * position // max(members, 1)
    return (index + offset) // interval_records > (
        last_index + offset
    ) // interval_records
