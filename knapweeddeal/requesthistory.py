"""knapweeddeal.requesthistory: Bounded history of requests received and cancelled."""

from knapweeddeal.record import Record

__all__ = ["EndedHistories", "FlowHistory", "OwnerHistory"]

#: Request numbers that the history of one owner holds individually.
MAX_SEEN = 64
#: Maximum number of cancellations for one owner and flow.
MAX_CANCELLED = 64
#: Owners that the history of one flow holds.
MAX_OWNERS = 16
#: Maximum number of ended flows with cancellations, and of those without.
MAX_ENDED = 100_000


class OwnerHistory:
    """Hold the requests of one owner on one flow.

    Numbers below the floor were evicted, so any of them may have been received.
    """

    __slots__ = ("_floor", "_seen", "cancelled")

    def __init__(self):
        self._seen = set()
        self._floor = 0
        #: Numbers of requests that must not run.
        self.cancelled = set()

    def may_have_seen(self, number):
        """Return whether a request may have been received."""
        return number < self._floor or number in self._seen

    def record_request(self, number):
        """Record that a request was received."""
        self._seen.add(number)
        if len(self._seen) > MAX_SEEN:
            lowest = min(self._seen)
            self._seen.discard(lowest)
            self._floor = max(self._floor, lowest + 1)

    def record_cancellation(self, number):
        """Record that a request must not run; return whether there was room."""
        if number in self.cancelled:
            return True
        if len(self.cancelled) >= MAX_CANCELLED:
            return False
        self.cancelled.add(number)
        return True


class FlowHistory:
    """Hold the histories of the owners of one flow; evict only where that is safe.

    An owner's history without cancellations may be evicted: the owner sends each
    request once, and later cancellations of its requests are rejected.
    """

    __slots__ = ("_is_incomplete", "_owners")

    def __init__(self, *, is_incomplete=False):
        self._owners = {}
        #: Whether owners without a history here may have sent requests.
        self._is_incomplete = is_incomplete

    def is_empty(self):
        """Return whether there is no history to keep."""
        return not self._owners and not self._is_incomplete

    def has_cancellations(self):
        """Return whether there is a cancellation, which must stay in effect."""
        return any(history.cancelled for history in self._owners.values())

    def is_cancelled(self, owner_incarnation, number):
        """Return whether a request was cancelled."""
        history = self._owners.get(owner_incarnation)
        return history is not None and number in history.cancelled

    def may_have_seen(self, owner_incarnation, number):
        """Return whether a request may have been received."""
        history = self._owners.get(owner_incarnation)
        return self._is_incomplete if history is None else history.may_have_seen(number)

    def is_duplicate(self, owner_incarnation, number):
        """Return whether the history of the owner may contain a request."""
        history = self._owners.get(owner_incarnation)
        return history is not None and history.may_have_seen(number)

    def record_request(self, owner_incarnation, number):
        """Record that a request was received."""
        history = self._history(owner_incarnation)
        if history is None:
            self._is_incomplete = True
        else:
            history.record_request(number)

    def record_cancellation(self, owner_incarnation, number):
        """Record that a request must not run; return whether there was room."""
        history = self._history(owner_incarnation)
        return history is not None and history.record_cancellation(number)

    def _history(self, owner_incarnation):
        history = self._owners.get(owner_incarnation)
        if history is not None:
            return history
        if len(self._owners) >= MAX_OWNERS and not self._evict_one():
            return None
        return self._owners.setdefault(owner_incarnation, OwnerHistory())

    def _evict_one(self):
        for owner_incarnation, history in self._owners.items():
            if not history.cancelled:
                del self._owners[owner_incarnation]
                self._is_incomplete = True
                return True
        return False


class EndedHistory(Record):
    """Hold the history of an ended flow."""

    __slots__ = ("history", "ended_ms")


class EndedHistories:
    """Hold histories of ended flows for as long as their tickets may be valid.

    Histories with cancellations are never evicted earlier. Of the others the oldest
    are evicted when there are too many; new histories are then marked as incomplete
    until the tickets of the evicted flows have expired.
    """

    __slots__ = ("_evictable", "_last_eviction_ms", "_life_ms", "_pinned")

    def __init__(self, *, life_ms):
        self._life_ms = life_ms
        self._pinned = {}
        self._evictable = {}
        self._last_eviction_ms = None

    def __len__(self):
        """Return the number of histories."""
        return len(self._pinned) + len(self._evictable)

    def is_full(self):
        """Return whether there is no room for another history with cancellations."""
        return len(self._pinned) >= MAX_ENDED

    def get(self, flow_id):
        """Return the history of an ended flow, or None."""
        held = self._pinned.get(flow_id) or self._evictable.get(flow_id)
        return None if held is None else held.history

    def put(self, flow_id, history, *, now_ms):
        """Add the history of an ended flow, unless it is empty."""
        self.pop(flow_id)
        if history.is_empty():
            return
        held = self._pinned if history.has_cancellations() else self._evictable
        held[flow_id] = EndedHistory(history=history, ended_ms=now_ms)
        if len(self._evictable) > MAX_ENDED:
            del self._evictable[next(iter(self._evictable))]
            self._last_eviction_ms = now_ms

    def pop(self, flow_id):
        """Remove and return the history of an ended flow, or None."""
        held = self._pinned.pop(flow_id, None) or self._evictable.pop(flow_id, None)
        return None if held is None else held.history

    def may_have_evicted(self, *, now_ms):
        """Return whether a history may have been evicted within the ticket lifetime."""
        return (
            self._last_eviction_ms is not None
            and now_ms - self._last_eviction_ms < self._life_ms
        )

    def expire(self, *, now_ms):
        """Remove histories whose tickets have expired."""
        for held in (self._pinned, self._evictable):
            while held:
                flow_id = next(iter(held))
                if now_ms - held[flow_id].ended_ms < self._life_ms:
                    break
                del held[flow_id]
