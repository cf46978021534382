"""knapweeddeal.pendingrequests: Operators' pending requests and the answers due."""

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.errors import NoQuorumError
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.record import Record, printed_name

__all__ = ["Answer", "PendingRequest", "PendingRequests"]

US_PER_MS = 1_000

UNSURE = "no majority answered; it may still take effect, resend the same request id"
UNHEARD = "no majority of the control replicas answered"


class Answer(Record):
    """Address an answer to the ask that it belongs to."""

    __slots__ = ("call_id", "message")


class PendingRequest:
    """Hold an ask that waits: for a leader, a commit or a quorum round."""

    __slots__ = (
        "call_id",
        "received_ms",
        "index",
        "message",
        "term",
        "until_ms",
        "wall_ms",
    )

    def __init__(self, *, call_id, message, received_ms, until_ms, wall_ms):
        self.call_id = call_id
        self.received_ms = received_ms
        self.message = message
        self.until_ms = until_ms
        self.wall_ms = wall_ms
        #: Where the log holds its command, once that is proposed.
        self.index = 0
        self.term = 0


class PendingRequests:
    """Hold asks by what they wait for, until they are answered or too late."""

    __slots__ = ("_answers", "_metrics", "_proposed", "_reading", "_waiting")

    def __init__(self, *, metrics):
        self._metrics = metrics
        #: Asks that wait for a leader.
        self._waiting = []
        #: Asks that wait for a commit, by ask id.
        self._proposed = {}
        #: Asks that wait for a quorum round, by ask id.
        self._reading = {}
        self._answers = []

    # Commands.

    def await_leader(self, pending):
        """Hold an ask until a leader is known."""
        self._waiting.append(pending)

    def await_commit(self, pending, *, index, term):
        """Hold a command until its record is committed."""
        pending.index, pending.term = index, term
        self._proposed[pending.call_id] = pending

    def await_quorum(self, pending):
        """Hold a query until its quorum round ends."""
        self._reading[pending.call_id] = pending

    def pop_waiting(self):
        """Return the asks that wait for a leader, and hold them no longer."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def pop_proposed(self, index):
        """Return the commands proposed at an index, and hold them no longer."""
        due = [p for p in self._proposed.values() if p.index == index]
        for pending in due:
            del self._proposed[pending.call_id]
        return due

    def pop_reading(self, call_id):
        """Return the query of a quorum round or None, and hold it no longer."""
        return self._reading.pop(call_id, None)

    def expire(self, *, now_ms):
        """Refuse what waited too long for a commit or a quorum round."""
        self._expire(self._proposed, UNSURE, now_ms)
        self._expire(self._reading, UNHEARD, now_ms)

    def refuse_without_quorum(self, pending, *, now_ms):
        """Refuse an ask for which no quorum was heard in time."""
        self.reply(pending, failure_answer(NoQuorumError(UNHEARD)), now_ms=now_ms)

    def reply(self, pending, message, *, now_ms):
        """Answer an ask and measure how long it took."""
        self._measure(pending, message, now_ms)
        self.answer(pending.call_id, message)

    def answer(self, call_id, message):
        """Answer an ask by its id."""
        self._answers.append(Answer(call_id=call_id, message=message))

    def pop_answers(self):
        """Return the answers that are due, and forget them."""
        answers, self._answers = self._answers, []
        return answers

    # Queries.

    def deadlines_ms(self):
        """Return when each ask is too late."""
        held = (self._waiting, self._proposed.values(), self._reading.values())
        return [pending.until_ms for pendings in held for pending in pendings]

    def counts(self):
        """Return how many asks wait, by name, for the dump."""
        return {
            "waiting": len(self._waiting),
            "proposed": len(self._proposed),
            "reading": len(self._reading),
        }

    def _expire(self, pendings, text, now_ms):
        late = [p for p in pendings.values() if now_ms >= p.until_ms]
        for pending in late:
            del pendings[pending.call_id]
            self.reply(pending, failure_answer(NoQuorumError(text)), now_ms=now_ms)

    def _measure(self, pending, message, now_ms):
        kind = printed_name(pending.message)
        if isinstance(message, FailureAnswer):
            self._metrics.count(f"{kind}_{message.code}")
            return
        self._metrics.count(kind)
        wait_ms = now_ms - pending.received_ms
        self._metrics.record_us(kind, wait_ms * US_PER_MS)
