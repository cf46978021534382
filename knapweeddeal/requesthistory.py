"""knapweeddeal.requesthistory: Bounded record of requests run and cancelled."""

from knapweeddeal.record import Record

__all__ = ["EndedHistories", "FlowHistory", "OwnerHistory"]

#: Numbers that one owner's log holds one by one.
MAX_SEEN = 64
#: Cancellations that stand, for one owner and flow.
MAX_CANCELLED = 64
#: Owners that one flow's log holds.
MAX_OWNERS = 16
#: Logs of ended flows, for each of both kinds.
MAX_ENDED = 100_000


class OwnerHistory:
    """Hold the requests of one owner on one flow.

    Numbers below the floor may have been seen; the log doesn't know any more.
    """

    __slots__ = ("_floor", "_seen", "cancelled")

    def __init__(self):
        self._seen = set()
        self._floor = 0
        #: Numbers that will never run.
        self.cancelled = set()

    def may_have_seen(self, number):
        """Tell whether a request may have been taken."""
        return number < self._floor or number in self._seen

    def record_request(self, number):
        """Note that a request is taken."""
        self._seen.add(number)
        if len(self._seen) > MAX_SEEN:
            lowest = min(self._seen)
            self._seen.discard(lowest)
            self._floor = max(self._floor, lowest + 1)

    def record_cancellation(self, number):
        """Note that a request never runs; tell whether there was room to."""
        if number in self.cancelled:
            return True
        if len(self.cancelled) >= MAX_CANCELLED:
            return False
        self.cancelled.add(number)
        return True


class FlowHistory:
    """Hold the logs of the owners of one flow; forget only what is safe.

    A log without cancellations may be forgotten: its owner sends each request
    once, and a cancellation under it doesn't stand any more.
    """

    __slots__ = ("_is_incomplete", "_owners")

    def __init__(self, *, is_incomplete=False):
        self._owners = {}
        #: Whether owners that aren't held may have sent requests.
        self._is_incomplete = is_incomplete

    def is_empty(self):
        """Tell whether there is nothing to remember."""
        return not self._owners and not self._is_incomplete

    def has_cancellations(self):
        """Tell whether a cancellation has to stand for good."""
        return any(history.cancelled for history in self._owners.values())

    def is_cancelled(self, owner_incarnation, number):
        """Tell whether a request must not run."""
        history = self._owners.get(owner_incarnation)
        return history is not None and number in history.cancelled

    def may_have_seen(self, owner_incarnation, number):
        """Tell whether a request may have been taken."""
        history = self._owners.get(owner_incarnation)
        return self._is_incomplete if history is None else history.may_have_seen(number)

    def is_duplicate(self, owner_incarnation, number):
        """Tell whether a request is held as taken."""
        history = self._owners.get(owner_incarnation)
        return history is not None and history.may_have_seen(number)

    def record_request(self, owner_incarnation, number):
        """Note that a request is taken."""
        history = self._history(owner_incarnation)
        if history is None:
            self._is_incomplete = True
        else:
            history.record_request(number)

    def record_cancellation(self, owner_incarnation, number):
        """Note that a request never runs; tell whether there was room to."""
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
    """Hold the log of a flow that ended."""

    __slots__ = ("history", "ended_ms")


class EndedHistories:
    """Hold logs of ended flows while a ticket of theirs may still be good.

    Logs with cancellations are never forgotten before; of the others the oldest
    go when there are too many, and from then on a new log admits that it may
    lack something.
    """

    __slots__ = ("_binding", "_evicted_ms", "_life_ms", "_plain")

    def __init__(self, *, life_ms):
        self._life_ms = life_ms
        self._binding = {}
        self._plain = {}
        self._evicted_ms = None

    def __len__(self):
        """Return how many logs are held."""
        return len(self._binding) + len(self._plain)

    def is_full(self):
        """Tell whether there is no room for another log with cancellations."""
        return len(self._binding) >= MAX_ENDED

    def get(self, flow_id):
        """Return the log of an ended flow, or None."""
        held = self._binding.get(flow_id) or self._plain.get(flow_id)
        return None if held is None else held.history

    def put(self, flow_id, history, *, now_ms):
        """Hold the log of a flow that ended."""
        self.pop(flow_id)
        if history.is_empty():
            return
        held = self._binding if history.has_cancellations() else self._plain
        held[flow_id] = EndedHistory(history=history, ended_ms=now_ms)
        if len(self._plain) > MAX_ENDED:
            del self._plain[next(iter(self._plain))]
            self._evicted_ms = now_ms

    def pop(self, flow_id):
        """Return the log of an ended flow and hold it no longer; or None."""
        held = self._binding.pop(flow_id, None) or self._plain.pop(flow_id, None)
        return None if held is None else held.history

    def may_have_evicted(self, *, now_ms):
        """Tell whether a log may have been forgotten too early."""
        return (
            self._evicted_ms is not None and now_ms - self._evicted_ms < self._life_ms
        )

    def expire(self, *, now_ms):
        """Forget logs whose tickets have expired."""
        for held in (self._binding, self._plain):
            while held:
                flow_id = next(iter(held))
                if now_ms - held[flow_id].ended_ms < self._life_ms:
                    break
                del held[flow_id]
