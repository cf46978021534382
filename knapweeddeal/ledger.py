"""knapweeddeal.ledger: State of the requests on one flow at its owner."""

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

#: A refusal's record is neither queued for a second process nor stored there.
UNRECORDED = 0
#: A refusal's record is queued for a second process, which hasn't confirmed it.
RECORD_PENDING = 1
#: A second process has confirmed a refusal's record.
RECORDED = 2

#: Capacity of one ledger, in requests.
MAX_ENTRIES = 256


class Entry(Record):
    """Hold the state of one request; it was forwarded to `upstream`."""

    __slots__ = ("state", "idempotent", "reason", "answer", "record", "upstream")

    @property
    def retryable(self):
        """Return whether a request of unknown outcome may be forwarded again."""
        return self.state == LEDGER_UNKNOWN and self.idempotent

    @property
    def is_pending(self):
        """Return whether the outcome is pending."""
        return self.state == FORWARDED or self.record == RECORD_PENDING


class AnswerCache:
    """Limit the answers stored over all ledgers; evicted ones become `unknown`."""

    __slots__ = ("_entries", "_max_answers", "_max_bytes", "bytes", "dropped")

    def __init__(self, *, max_answers, max_bytes):
        self._entries = deque()
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        #: Bytes of the stored answers.
        self.bytes = 0
        #: Answers that were evicted.
        self.dropped = 0

    def __len__(self):
        """Return the number of answers, including released ones still in the queue."""
        return len(self._entries)

    def add_answer(self, entry):
        """Add an answered entry and evict the oldest answers over the limits."""
        self._entries.append(entry)
        self.bytes += len(entry.answer)
        while self._is_over_limit():
            self._evict(self._entries.popleft())

    def release(self, entry):
        """Free the answer of an entry, whose state becomes `unknown`."""
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
    """Hold requests by number; the caller has settled all numbers below the floor.

    Numbers below the eviction mark that aren't held may have been forwarded:
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
        """Return whether the caller has settled a request."""
        return number < self.floor

    def may_have_been_evicted(self, number):
        """Return whether the entry of a request may have been evicted."""
        return number < self._eviction_mark and number not in self._entries

    def items(self):
        """Return pairs of a number and its entry."""
        return self._entries.items()

    def has_pending(self):
        """Return whether the outcome of any request is pending."""
        return any(entry.is_pending for entry in self._entries.values())

    def raise_floor(self, floor):
        """Remove the requests below a floor: the caller has settled them."""
        if floor <= self.floor:
            return
        self.floor = floor
        for number in [number for number in self._entries if number < floor]:
            self._remove(number)

    def ensure_capacity(self):
        """Evict the lowest non-pending number if full; return whether there is room."""
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
        """Remove all requests."""
        for number in list(self._entries):
            self._remove(number)

    def forward(self, number, *, idempotent, upstream):
        """Record that a request is forwarded to an upstream, possibly again."""
        previous = self._entries.get(number)
        self._put(
            number,
            FORWARDED,
            idempotent=idempotent,
            upstream=upstream,
            reason="" if previous is None else previous.reason,
        )

    def may_have_run(self, number):
        """Return whether a previous forwarding of a request has an unknown outcome."""
        entry = self._entries.get(number)
        return entry is not None and bool(entry.reason)

    def answer(self, number, body):
        """Store the answer to a request."""
        self._answer_cache.add_answer(self._put(number, ANSWERED, answer=body))

    def refuse(self, number, reason):
        """Store a tombstone, so that a request is never forwarded from now on."""
        self._put(number, LEDGER_NOT_RUN, reason=reason)

    def mark_unknown(self, number, reason, *, idempotent=False):
        """Record that it is unknown whether a request ran."""
        self._put(number, LEDGER_UNKNOWN, reason=reason, idempotent=idempotent)

    def set_record_state(self, number, record):
        """Set the replication state of a refusal's record."""
        entry = self._entries.get(number)
        if entry is not None:
            entry.record = record

    def remove_request(self, number):
        """Remove a request, so that it may be forwarded again."""
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
