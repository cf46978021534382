"""knapweeddeal.ledger: What an owner knows of the requests on one flow."""

from knapweeddeal.record import Record

__all__ = [
    "ANSWERED",
    "FORWARDED",
    "LEDGER_NOT_RUN",
    "LEDGER_UNKNOWN",
    "Entry",
    "Ledger",
]

FORWARDED = "forwarded"
ANSWERED = "answered"
LEDGER_NOT_RUN = "not_run"
LEDGER_UNKNOWN = "unknown"


class Entry(Record):
    """Hold the state of one request."""

    __slots__ = ("state", "idempotent", "reason", "answer", "recorded")


class Ledger:
    """Hold requests by number; numbers below the floor are settled for good."""

    __slots__ = ("_entries", "floor")

    def __init__(self):
        self._entries = {}
        self.floor = 0

    def get(self, number):
        """Return the entry of a request, or None."""
        return self._entries.get(number)

    def settled(self, number):
        """Tell whether the caller has settled a request."""
        return number < self.floor

    def items(self):
        """Return numbers and entries."""
        return self._entries.items()

    def raise_floor(self, floor):
        """Forget the requests below a floor that the caller settled."""
        if floor <= self.floor:
            return
        self.floor = floor
        for number in [number for number in self._entries if number < floor]:
            del self._entries[number]

    def forward(self, number, *, idempotent):
        """Note that a request is forwarded."""
        self._put(number, FORWARDED, idempotent=idempotent)

    def answer(self, number, body):
        """Keep an answer."""
        self._put(number, ANSWERED, answer=body)

    def refuse(self, number, reason):
        """Put a tombstone: the request must never be forwarded from now on."""
        self._put(number, LEDGER_NOT_RUN, reason=reason)

    def mark_recorded(self, number):
        """Note that a second process holds the record of a refusal."""
        entry = self._entries.get(number)
        if entry is not None:
            entry.recorded = True

    def lose(self, number, reason):
        """Note that nobody can say whether a request ran."""
        self._put(number, LEDGER_UNKNOWN, reason=reason)

    def forget(self, number):
        """Drop an idempotent request, so that it may be forwarded again."""
        self._entries.pop(number, None)

    def _put(self, number, state, *, idempotent=False, reason="", answer=b""):
        self._entries[number] = Entry(
            state=state,
            idempotent=idempotent,
            reason=reason,
            answer=answer,
            recorded=False,
        )
