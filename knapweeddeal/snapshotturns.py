"""knapweeddeal.snapshotturns: When a member writes a snapshot of its state."""

__all__ = ["SNAPSHOT_RECORDS", "is_snapshot_due", "is_snapshot_turn"]

#: Records after which the state is written as a snapshot.
SNAPSHOT_RECORDS = 1_000
#: Size of the log file after which a snapshot is written at once.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024


def is_snapshot_due(node, *, log_bytes, every):
    """Tell whether to write a snapshot; the members take turns."""
    last = node.snapshot.last_index if node.snapshot else 0
    if node.applied_index == last:
        return False
    members = sorted(node.members)
    place = members.index(node.identity) if node.is_member else 0
    by_count = is_snapshot_turn(
        index=node.applied_index,
        last_index=last,
        every=every,
        place=place,
        members=len(members),
    )
    return by_count or log_bytes > SNAPSHOT_LOG_BYTES


def is_snapshot_turn(*, index, last_index, every, place, members):
    """Tell whether a snapshot is due by count; members do it at different indices."""
    shift = every * place // max(members, 1)
    return (index + shift) // every > (last_index + shift) // every
