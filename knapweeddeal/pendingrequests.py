"""knapweeddeal.pendingrequests: Pending operator requests and the answers to them."""

from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.errors import NoQuorumError
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.record import Record, printed_name

__all__ = ["Answer", "PendingRequest", "PendingRequests"]

US_PER_MS = 1_000

OUTCOME_UNKNOWN = (
    "no majority of the control replicas answered; the command may still take effect,"
    " retry with the same request id"
)
NO_MAJORITY = "no majority of the control replicas answered"


class Answer(Record):
    """Pair an answer with the call id of its request."""

    __slots__ = ("call_id", "message")


class PendingRequest:
    """Hold a request that waits for a leader, a commit or a quorum read."""

    __slots__ = (
        "call_id",
        "received_ms",
        "index",
        "message",
        "term",
        "deadline_ms",
        "wall_ms",
    )

    def __init__(self, *, call_id, message, received_ms, deadline_ms, wall_ms):
        self.call_id = call_id
        self.received_ms = received_ms
        self.message = message
        self.deadline_ms = deadline_ms
        self.wall_ms = wall_ms
        #: Log index and term of the proposed command; 0 before it is proposed.
        self.index = 0
        self.term = 0


class PendingRequests:
    """Hold requests by what they wait for, until they are answered or expire."""

    __slots__ = ("_answers", "_metrics", "_proposed", "_reading", "_waiting")

    def __init__(self, *, metrics):
        self._metrics = metrics
        #: Requests that wait for a leader.
        self._waiting = []
        #: Commands that wait for a commit, by call id.
        self._proposed = {}
        #: Queries that wait for a quorum read, by call id.
        self._reading = {}
        self._answers = []

    # Commands.

    def await_leader(self, pending):
        """Hold a request until a leader is known."""
        self._waiting.append(pending)

    def await_commit(self, pending, *, index, term):
        """Hold a command until its record is committed."""
        pending.index, pending.term = index, term
        self._proposed[pending.call_id] = pending

    def await_quorum(self, pending):
        """Hold a query until its quorum read ends."""
        self._reading[pending.call_id] = pending

    def pop_waiting(self):
        """Return and remove the requests that wait for a leader."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def pop_proposed(self, index):
        """Return and remove the commands proposed at an index."""
        proposed = [p for p in self._proposed.values() if p.index == index]
        for pending in proposed:
            del self._proposed[pending.call_id]
        return proposed

    def pop_reading(self, call_id):
        """Return and remove the query of a quorum read; None if there is none."""
        return self._reading.pop(call_id, None)

    def expire(self, *, now_ms):
        """Fail the requests that waited too long for a commit or a quorum read."""
        self._expire(self._proposed, OUTCOME_UNKNOWN, now_ms)
        self._expire(self._reading, NO_MAJORITY, now_ms)

    def refuse_without_quorum(self, pending, *, now_ms):
        """Fail a request because no quorum answered in time."""
        self.reply(pending, failure_answer(NoQuorumError(NO_MAJORITY)), now_ms=now_ms)

    def reply(self, pending, message, *, now_ms):
        """Answer a request and record its latency."""
        self._measure(pending, message, now_ms)
        self.answer(pending.call_id, message)

    def answer(self, call_id, message):
        """Queue an answer to a call id."""
        self._answers.append(Answer(call_id=call_id, message=message))

    def pop_answers(self):
        """Return and remove the queued answers."""
        answers, self._answers = self._answers, []
        return answers

    # Queries.

    def deadlines_ms(self):
        """Return the deadline of each pending request."""
        groups = (self._waiting, self._proposed.values(), self._reading.values())
        return [pending.deadline_ms for pendings in groups for pending in pendings]

    def counts(self):
        """Return the numbers of pending requests by name, for the dump."""
        return {
            "waiting": len(self._waiting),
            "proposed": len(self._proposed),
            "reading": len(self._reading),
        }

    def _expire(self, pendings, text, now_ms):
        expired = [p for p in pendings.values() if now_ms >= p.deadline_ms]
        for pending in expired:
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
