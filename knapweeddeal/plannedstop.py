"""knapweeddeal.plannedstop: When a control replica that stops as planned may end."""

__all__ = ["PlannedStop"]

#: Longest time that a replica waits to leave the quorum.
LEAVE_TIMEOUT_MS = 2_000
#: Interval between the notices to the other replicas.
NOTICE_INTERVAL_MS = 200


class PlannedStop:
    """Decide when a replica that stops as planned may end.

    It first transfers its leadership. Then it leaves the quorum if that survives more
    losses without it, as the VM may be removed permanently.
    """

    __slots__ = ("_leave_deadline_ms", "_next_notice_ms", "_node", "_should_leave")
    __slots__ += ("_transfer_deadline_ms",)

    def __init__(self, *, node, should_leave, transfer_ms, now_ms):
        self._node = node
        self._should_leave = should_leave
        #: Until when the leadership is transferred.
        self._transfer_deadline_ms = now_ms + transfer_ms
        #: Until when the replica waits to leave, or None while it leads.
        self._leave_deadline_ms = None
        self._next_notice_ms = now_ms

    def is_complete(self, now_ms):
        """Return whether the replica may end."""
        node = self._node
        if node.leader == node.identity:
            return now_ms >= self._transfer_deadline_ms
        if not self._should_leave:
            return True
        if self._leave_deadline_ms is None:
            self._leave_deadline_ms = now_ms + LEAVE_TIMEOUT_MS
        has_left = not node.is_member and node.is_membership_committed()
        return has_left or now_ms >= self._leave_deadline_ms

    def pop_notice_due(self, now_ms):
        """Return whether the other replicas are to be told now."""
        is_leader = self._node.leader == self._node.identity
        if is_leader or not self._should_leave or now_ms < self._next_notice_ms:
            return False
        self._next_notice_ms = now_ms + NOTICE_INTERVAL_MS
        return True
