"""knapweeddeal.snapshotschedule: When a member writes a snapshot of its state."""

__all__ = [
    "SNAPSHOT_RECORDS",
    "is_snapshot_due",
    "is_due_by_count",
    "records_to_keep",
]

#: Records after which the state is written as a snapshot.
SNAPSHOT_RECORDS = 1_000
#: Size of the log file after which a snapshot is written at once.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
#: Records before a snapshot that stay in memory for followers that lag a little.
KEEP_RECORDS = 500
#: Most bytes of these: a document with some thousand routes has a quarter of a MB.
KEEP_BYTES = 8 * 1024 * 1024


def records_to_keep(log, last_index, *, most=KEEP_RECORDS, max_bytes=KEEP_BYTES):
    """Return how many records before a snapshot stay in memory."""
    kept, size = 0, 0
    while kept < most:
        record = log.get(last_index - kept)
        if record is None:
            break
        size += len(record.command)
        if size > max_bytes:
            break
        kept += 1
    return kept


def is_snapshot_due(node, *, log_bytes, every):
    """Tell whether to write a snapshot; the members take turns."""
    last = node.snapshot.last_index if node.snapshot else 0
    if node.applied_index == last:
        return False
    members = sorted(node.members)
    place = members.index(node.identity) if node.is_member else 0
    by_count = is_due_by_count(
        index=node.applied_index,
        last_index=last,
        every=every,
        place=place,
        members=len(members),
    )
    return by_count or log_bytes > SNAPSHOT_LOG_BYTES


def is_due_by_count(*, index, last_index, every, place, members):
    """Tell whether a snapshot is due by count; members do it at different indices."""
    shift = every * place // max(members, 1)
    return (index + shift) // every > (last_index + shift) // every
