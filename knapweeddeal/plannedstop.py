"""knapweeddeal.plannedstop: When a control replica that stops as planned may end."""

__all__ = ["PlannedStop"]

#: Interval between the notices to the other replicas.
NOTICE_INTERVAL_MS = 200


class PlannedStop:
    """Decide when a replica that stops as planned may end.

    It first transfers its leadership. Then it leaves the quorum if that survives more
    losses without it, as the VM may be removed permanently.
    """

    __slots__ = ("_deadline_ms", "_next_notice_ms", "_node", "_should_leave")

    def __init__(self, *, node, should_leave, timeout_ms, now_ms):
        self._node = node
        self._should_leave = should_leave
        #: Until when the replica waits for both.
        self._deadline_ms = now_ms + timeout_ms
        self._next_notice_ms = now_ms

    def is_complete(self, now_ms):
        """Return whether the replica may end."""
        if now_ms >= self._deadline_ms:
            return True
        if self._is_leader():
            return False
        node = self._node
        has_left = not node.is_member and node.is_membership_committed()
        return has_left or not self._should_leave

    def pop_notice_due(self, now_ms):
        """Return whether the other replicas are to be told now."""
        is_due = self._should_leave and now_ms >= self._next_notice_ms
        if self._is_leader() or not is_due:
            return False
        self._next_notice_ms = now_ms + NOTICE_INTERVAL_MS
        return True

    def _is_leader(self):
        return self._node.leader == self._node.identity
