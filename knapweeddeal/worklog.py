"""knapweeddeal.worklog: What an upstream ran and what it will never run, bounded."""

from knapweeddeal.record import Record

__all__ = ["EndedLogs", "FlowLog", "OwnerLog"]

#: Numbers that one owner's log holds one by one.
MAX_SEEN = 64
#: Cancellations that stand, for one owner and flow.
MAX_CANCELLED = 64
#: Owners that one flow's log holds.
MAX_OWNERS = 16
#: Logs of ended flows, for each of both kinds.
MAX_ENDED = 100_000


class OwnerLog:
    """Hold the requests of one owner on one flow.

    Numbers below the floor may have been seen; the log doesn't know any more.
    """

    __slots__ = ("_floor", "_seen", "cancelled")

    def __init__(self):
        self._seen = set()
        self._floor = 0
        #: Numbers that will never run.
        self.cancelled = set()

    def seen(self, number):
        """Tell whether a request may have been taken."""
        return number < self._floor or number in self._seen

    def see(self, number):
        """Note that a request is taken."""
        self._seen.add(number)
        if len(self._seen) > MAX_SEEN:
            lowest = min(self._seen)
            self._seen.discard(lowest)
            self._floor = max(self._floor, lowest + 1)

    def promise(self, number):
        """Note that a request never runs; tell whether there was room to."""
        if number in self.cancelled:
            return True
        if len(self.cancelled) >= MAX_CANCELLED:
            return False
        self.cancelled.add(number)
        return True


class FlowLog:
    """Hold the logs of the owners of one flow; forget only what is safe.

    A log without cancellations may be forgotten: its owner sends each request
    once, and a cancellation under it doesn't stand any more.
    """

    __slots__ = ("_forgot", "_owners")

    def __init__(self, *, forgot=False):
        self._owners = {}
        #: Whether owners that aren't held may have sent requests.
        self._forgot = forgot

    def empty(self):
        """Tell whether there is nothing to remember."""
        return not self._owners and not self._forgot

    def cancels(self):
        """Tell whether a cancellation has to stand for good."""
        return any(log.cancelled for log in self._owners.values())

    def cancelled(self, owner_incarnation, number):
        """Tell whether a request must not run."""
        log = self._owners.get(owner_incarnation)
        return log is not None and number in log.cancelled

    def seen(self, owner_incarnation, number):
        """Tell whether a request may have been taken."""
        log = self._owners.get(owner_incarnation)
        return self._forgot if log is None else log.seen(number)

    def repeated(self, owner_incarnation, number):
        """Tell whether a request is held as taken."""
        log = self._owners.get(owner_incarnation)
        return log is not None and log.seen(number)

    def see(self, owner_incarnation, number):
        """Note that a request is taken."""
        log = self._log(owner_incarnation)
        if log is None:
            self._forgot = True
        else:
            log.see(number)

    def promise(self, owner_incarnation, number):
        """Note that a request never runs; tell whether there was room to."""
        log = self._log(owner_incarnation)
        return log is not None and log.promise(number)

    def _log(self, owner_incarnation):
        log = self._owners.get(owner_incarnation)
        if log is not None:
            return log
        if len(self._owners) >= MAX_OWNERS and not self._forget_one():
            return None
        return self._owners.setdefault(owner_incarnation, OwnerLog())

    def _forget_one(self):
        for owner_incarnation, log in self._owners.items():
            if not log.cancelled:
                del self._owners[owner_incarnation]
                self._forgot = True
                return True
        return False


class EndedLog(Record):
    """Hold the log of a flow that ended."""

    __slots__ = ("log", "ended_ms")


class EndedLogs:
    """Hold logs of ended flows while a ticket of theirs may still be good.

    Logs with cancellations are never forgotten before; of the others the oldest
    go when there are too many, and from then on a new log admits that it may
    lack something.
    """

    __slots__ = ("_binding", "_forgot_ms", "_life_ms", "_plain")

    def __init__(self, *, life_ms):
        self._life_ms = life_ms
        self._binding = {}
        self._plain = {}
        self._forgot_ms = None

    def __len__(self):
        """Return how many logs are held."""
        return len(self._binding) + len(self._plain)

    def full(self):
        """Tell whether there is no room for another log with cancellations."""
        return len(self._binding) >= MAX_ENDED

    def get(self, flow_id):
        """Return the log of an ended flow, or None."""
        held = self._binding.get(flow_id) or self._plain.get(flow_id)
        return None if held is None else held.log

    def put(self, flow_id, log, *, now_ms):
        """Hold the log of a flow that ended."""
        self.pop(flow_id)
        if log.empty():
            return
        held = self._binding if log.cancels() else self._plain
        held[flow_id] = EndedLog(log=log, ended_ms=now_ms)
        if len(self._plain) > MAX_ENDED:
            del self._plain[next(iter(self._plain))]
            self._forgot_ms = now_ms

    def pop(self, flow_id):
        """Return the log of an ended flow and hold it no longer; or None."""
        held = self._binding.pop(flow_id, None) or self._plain.pop(flow_id, None)
        return None if held is None else held.log

    def forgot(self, *, now_ms):
        """Tell whether a log may have been forgotten too early."""
        return self._forgot_ms is not None and now_ms - self._forgot_ms < self._life_ms

    def expire(self, *, now_ms):
        """Forget logs whose tickets have expired."""
        for held in (self._binding, self._plain):
            while held:
                flow_id = next(iter(held))
                if now_ms - held[flow_id].ended_ms < self._life_ms:
                    break
                del held[flow_id]
