"""knapweeddeal.pendingasks: Operators' asks that wait, and the answers that are due."""

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.errors import NoQuorumError
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.record import Record

__all__ = ["Answer", "Pending", "PendingAsks"]

US_PER_MS = 1_000

UNSURE = "no majority answered; it may still take effect, resend the same request id"
UNHEARD = "no majority of the control replicas answered"


class Answer(Record):
    """Address an answer to the ask that it belongs to."""

    __slots__ = ("ask_id", "message")


class Pending:
    """Hold an ask that waits: for a leader, a commit or a quorum round."""

    __slots__ = (
        "ask_id",
        "asked_ms",
        "index",
        "message",
        "term",
        "until_ms",
        "wall_ms",
    )

    def __init__(self, *, ask_id, message, asked_ms, until_ms, wall_ms):
        self.ask_id = ask_id
        self.asked_ms = asked_ms
        self.message = message
        self.until_ms = until_ms
        self.wall_ms = wall_ms
        #: Where the log holds its command, once that is proposed.
        self.index = 0
        self.term = 0


class PendingAsks:
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
        self._proposed[pending.ask_id] = pending

    def await_quorum(self, pending):
        """Hold a query until its quorum round ends."""
        self._reading[pending.ask_id] = pending

    def take_waiting(self):
        """Return the asks that wait for a leader, and hold them no longer."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def take_proposed(self, index):
        """Return the commands proposed at an index, and hold them no longer."""
        due = [p for p in self._proposed.values() if p.index == index]
        for pending in due:
            del self._proposed[pending.ask_id]
        return due

    def take_reading(self, ask_id):
        """Return the query of a quorum round or None, and hold it no longer."""
        return self._reading.pop(ask_id, None)

    def expire(self, *, now_ms):
        """Refuse what waited too long for a commit or a quorum round."""
        self._expire(self._proposed, UNSURE, now_ms)
        self._expire(self._reading, UNHEARD, now_ms)

    def refuse_unheard(self, pending, *, now_ms):
        """Refuse an ask for which no quorum was heard in time."""
        self.reply(pending, failure_answer(NoQuorumError(UNHEARD)), now_ms=now_ms)

    def reply(self, pending, message, *, now_ms):
        """Answer an ask and measure how long it took."""
        self._measure(pending, message, now_ms)
        self.answer(pending.ask_id, message)

    def answer(self, ask_id, message):
        """Answer an ask by its id."""
        self._answers.append(Answer(ask_id=ask_id, message=message))

    def take_answers(self):
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
            del pendings[pending.ask_id]
            self.reply(pending, failure_answer(NoQuorumError(text)), now_ms=now_ms)

    def _measure(self, pending, message, now_ms):
        kind = type(pending.message).__name__
        if isinstance(message, FailureAnswer):
            self._metrics.count(f"{kind}_{message.code}")
            return
        self._metrics.count(kind)
        wait_ms = now_ms - pending.asked_ms
        self._metrics.record_us(kind, wait_ms * US_PER_MS)
