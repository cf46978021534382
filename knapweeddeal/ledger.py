"""knapweeddeal.ledger: What an owner knows of the requests on one flow."""

from collections import deque

from knapweeddeal.record import Record

__all__ = [
    "ANSWERED",
    "FORWARDED",
    "LEDGER_NOT_RUN",
    "LEDGER_UNKNOWN",
    "MAX_ENTRIES",
    "RECORDED",
    "UNRECORDED",
    "RECORD_PENDING",
    "Entry",
    "AnswerCache",
    "Ledger",
]

FORWARDED = "forwarded"
ANSWERED = "answered"
LEDGER_NOT_RUN = "not_run"
LEDGER_UNKNOWN = "unknown"

#: No second process holds a refusal's record, and none is asked.
UNRECORDED = 0
#: A second process is asked to hold a refusal's record.
RECORD_PENDING = 1
#: A second process holds a refusal's record.
RECORDED = 2

#: Requests that one ledger holds.
MAX_ENTRIES = 256


class Entry(Record):
    """Hold the state of one request; `upstream` is where it was forwarded."""

    __slots__ = ("state", "idempotent", "reason", "answer", "record", "upstream")

    @property
    def retryable(self):
        """Tell whether a request whose run is unknown may be forwarded again."""
        return self.state == LEDGER_UNKNOWN and self.idempotent

    @property
    def is_pending(self):
        """Tell whether the outcome is still to come."""
        return self.state == FORWARDED or self.record == RECORD_PENDING


class AnswerCache:
    """Bound the answers that all ledgers keep; the oldest become `unknown`."""

    __slots__ = ("_entries", "_max_answers", "_max_bytes", "bytes", "dropped")

    def __init__(self, *, max_answers, max_bytes):
        self._entries = deque()
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        #: Bytes kept.
        self.bytes = 0
        #: Answers that were given up for want of room.
        self.dropped = 0

    def __len__(self):
        """Return how many answers are held or wait for their removal."""
        return len(self._entries)

    def add_answer(self, entry):
        """Note an entry that got its answer, and give up the oldest over the bounds."""
        self._entries.append(entry)
        self.bytes += len(entry.answer)
        while self._is_over_limit():
            self._evict(self._entries.popleft())

    def release(self, entry):
        """Note that an entry's answer is no longer needed."""
        self.bytes -= len(entry.answer)
        entry.answer = b""
        entry.state = LEDGER_UNKNOWN

    def _is_over_limit(self):
        if not self._entries:
            return False
        return (
            self._entries[0].state != ANSWERED
            or self.bytes > self._max_bytes
            or len(self._entries) > self._max_answers
        )

    def _evict(self, entry):
        if entry.state == ANSWERED:
            self.release(entry)
            entry.reason = "answer_dropped"
            self.dropped += 1


class Ledger:
    """Hold requests by number; numbers below the floor are settled for good.

    Numbers below the forgotten mark that aren't held may have been forwarded:
    they are `unknown` and are never forwarded.
    """

    __slots__ = ("_entries", "_eviction_mark", "_answer_cache", "floor")

    def __init__(self, *, answer_cache, floor=0):
        self._entries = {}
        self._answer_cache = answer_cache
        self._eviction_mark = 0
        self.floor = floor

    def get(self, number):
        """Return the entry of a request, or None."""
        return self._entries.get(number)

    def is_settled(self, number):
        """Tell whether the caller has settled a request."""
        return number < self.floor

    def may_have_been_evicted(self, number):
        """Tell whether a request may have been held here once."""
        return number < self._eviction_mark and number not in self._entries

    def items(self):
        """Return numbers and entries."""
        return self._entries.items()

    def has_pending(self):
        """Tell whether the outcome of some request is still to come."""
        return any(entry.is_pending for entry in self._entries.values())

    def raise_floor(self, floor):
        """Forget the requests below a floor that the caller settled."""
        if floor <= self.floor:
            return
        self.floor = floor
        for number in [number for number in self._entries if number < floor]:
            self._remove(number)

    def ensure_capacity(self):
        """Forget the oldest settled request if the ledger is full; tell of room."""
        if len(self._entries) < MAX_ENTRIES:
            return True
        number = min(
            (number for number, entry in self._entries.items() if not entry.is_pending),
            default=None,
        )
        if number is None:
            return False
        self._remove(number)
        self._eviction_mark = max(self._eviction_mark, number + 1)
        return True

    def clear(self):
        """Give up every request."""
        for number in list(self._entries):
            self._remove(number)

    def forward(self, number, *, idempotent, upstream):
        """Note that a request is forwarded to an upstream, maybe once more."""
        earlier = self._entries.get(number)
        self._put(
            number,
            FORWARDED,
            idempotent=idempotent,
            upstream=upstream,
            reason="" if earlier is None else earlier.reason,
        )

    def may_have_run(self, number):
        """Tell whether an earlier forwarding of a request has an unknown end."""
        entry = self._entries.get(number)
        return entry is not None and bool(entry.reason)

    def answer(self, number, body):
        """Keep an answer."""
        self._answer_cache.add_answer(self._put(number, ANSWERED, answer=body))

    def refuse(self, number, reason):
        """Put a tombstone: the request must never be forwarded from now on."""
        self._put(number, LEDGER_NOT_RUN, reason=reason)

    def mark_unknown(self, number, reason, *, idempotent=False):
        """Note that nobody can say whether a request ran."""
        self._put(number, LEDGER_UNKNOWN, reason=reason, idempotent=idempotent)

    def set_record_state(self, number, record):
        """Note how far the record of a refusal has come."""
        entry = self._entries.get(number)
        if entry is not None:
            entry.record = record

    def remove_request(self, number):
        """Drop a request that may be forwarded again."""
        self._remove(number)

    def _remove(self, number):
        entry = self._entries.pop(number, None)
        if entry is not None and entry.state == ANSWERED:
            self._answer_cache.release(entry)

    def _put(
        self, number, state, *, idempotent=False, reason="", answer=b"", upstream=None
    ):
        entry = Entry(
            state=state,
            idempotent=idempotent,
            reason=reason,
            answer=answer,
            record=UNRECORDED,
            upstream=upstream,
        )
        self._remove(number)
        self._entries[number] = entry
        return entry
