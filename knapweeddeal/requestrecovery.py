"""knapweeddeal.requestrecovery: Outcomes of requests whose owner is lost."""

from knapweeddeal.actions import Dial, ToUpstream
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import (
    answer_actions,
    outcome_action,
    ticket_address,
    ticket_upstream_key,
)
from knapweeddeal.messages.caller import (
    NOT_RUN,
    RESEND,
    UNKNOWN,
    Cancel,
    KeepAlive,
    Request,
)
from knapweeddeal.messages.upstream import WorkCancel
from knapweeddeal.owner import Refusal
from knapweeddeal.record import Record

__all__ = ["RequestRecovery"]

#: First attempt of a request that an entry other than the owner settles.
MIN_RECOVERY_ATTEMPT = 3
#: Attempts after which a request is `unknown` if its upstream can't be reached.
MAX_UNREACHABLE_ATTEMPTS = 12
#: Time within which an upstream must answer a cancellation.
CANCEL_TIMEOUT_MS = 3_000
#: Cancellations that may be pending at a time.
MAX_PENDING_CANCELLATIONS = 20_000


class PendingCancellation(Record):
    """Hold a request that waits for its upstream's answer to a cancellation."""

    __slots__ = ("key", "service", "caller", "until_ms", "reason")


class RequestRecovery:
    """Settle requests that can't reach their owner, with proved outcomes only.

    A non-idempotent request is `not_run` only if the upstream that its ticket
    names will always refuse it under the lost owner's incarnation.
    """

    def __init__(self, *, context, adopt_flow):
        self._context = context
        self._adopt_flow = adopt_flow
        self._pending = {}

    def __len__(self):
        """Return how many cancellations are pending."""
        return len(self._pending)

    def handle_undeliverable(self, relay, *, now_ms):
        """Return the actions for a relayed datagram that didn't reach its owner."""
        relayed = self._context.open_relay(relay)
        if relayed is None:
            return self._context.drop("bad_relay")
        return self.recover_unreachable(
            relayed.message, relayed.ticket, relayed.caller, now_ms=now_ms
        )

    @methoddispatch
    def recover_unreachable(self, message, ticket, caller, *, now_ms):
        """Return the actions for a message whose owner can't be reached."""
        return []

    @recover_unreachable.register
    def _(self, message: KeepAlive, ticket, caller, *, now_ms):
        return self._adopt_flow(ticket, caller, now_ms=now_ms)

    @recover_unreachable.register
    def _(self, message: Request, ticket, caller, *, now_ms):
        if message.attempt < MIN_RECOVERY_ATTEMPT:
            return [self._resend(message, caller, "owner_unreachable")]
        return [
            *self._adopt_flow(ticket, caller, now_ms=now_ms),
            *self._resolve(message, ticket, caller, "owner_lost", now_ms),
        ]

    @recover_unreachable.register
    def _(self, message: Cancel, ticket, caller, *, now_ms):
        return self._resolve(message, ticket, caller, "owner_lost", now_ms)

    def recover_evicted(self, message, ticket, caller, *, now_ms):
        """Return the actions for a message whose flow or ledger entry was evicted."""
        return [
            *self._adopt_flow(ticket, caller, now_ms=now_ms),
            *self._resolve(message, ticket, caller, "flow_forgotten", now_ms),
        ]

    @methoddispatch
    def _resolve(self, message, ticket, caller, reason, now_ms):
        return []

    @_resolve.register
    def _(self, message: Request, ticket, caller, reason, now_ms):
        if message.idempotent:
            return [self._resend(message, caller, reason)]
        reachable = self._context.is_stream_up(ticket_upstream_key(ticket))
        if message.attempt >= MAX_UNREACHABLE_ATTEMPTS and not reachable:
            self._context.count("requests_unknown")
            return [self._outcome(message, caller, UNKNOWN, reason)]
        return self._cancel(message, ticket, caller, reason, now_ms)

    @_resolve.register
    def _(self, message: Cancel, ticket, caller, reason, now_ms):
        return self._cancel(message, ticket, caller, reason, now_ms)

    def _cancel(self, message, ticket, caller, reason, now_ms):
        request_key = (ticket.flow_id, ticket.owner_incarnation, message.number)
        if request_key not in self._pending:
            if len(self._pending) >= MAX_PENDING_CANCELLATIONS:
                return self._context.drop("too_many_settling")
            self._pending[request_key] = PendingCancellation(
                key=ticket_upstream_key(ticket),
                service=ticket.service,
                caller=caller,
                until_ms=now_ms + CANCEL_TIMEOUT_MS,
                reason=reason,
            )
        cancel = WorkCancel(
            flow_id=ticket.flow_id,
            owner_incarnation=ticket.owner_incarnation,
            number=message.number,
        )
        key = ticket_upstream_key(ticket)
        return [
            Dial(key=key, address=ticket_address(ticket)),
            ToUpstream(key=key, message=cancel),
        ]

    def handle_cancelled(self, message, key):
        """Settle a request by the upstream's answer to its cancellation."""
        pending = self._pop_pending(message, key)
        if pending is None:
            return []
        if not message.stands:
            self._context.count("requests_unknown")
            return [self._pending_outcome(pending, message, UNKNOWN)]
        action = self._pending_outcome(pending, message, NOT_RUN)
        refusal = Refusal(ledger=None, number=message.number, action=action)
        self._context.refuse(refusal, message.flow_id, message.number, pending.reason)
        return []

    def handle_answer(self, message, key):
        """Pass on the answer to a request that completed before its cancellation."""
        pending = self._pop_pending(message, key)
        if pending is None:
            return []
        self._context.count("answers_passed_on")
        return answer_actions(
            pending.service,
            pending.caller,
            message.flow_id,
            message.number,
            message.body,
        )

    def expire(self, *, now_ms):
        """Drop cancellations that timed out; the caller sends its request again."""
        while self._pending:
            request_key = next(iter(self._pending))
            if self._pending[request_key].until_ms > now_ms:
                return
            del self._pending[request_key]

    def _pop_pending(self, message, key):
        """Remove and return the cancellation that an upstream answers, or None."""
        request_key = (message.flow_id, message.owner_incarnation, message.number)
        pending = self._pending.get(request_key)
        if pending is None or pending.key != key:
            return None
        return self._pending.pop(request_key)

    def _pending_outcome(self, pending, message, kind):
        return outcome_action(
            pending.service,
            pending.caller,
            message.flow_id,
            message.number,
            kind,
            pending.reason,
        )

    def _resend(self, message, caller, reason):
        return self._outcome(message, caller, RESEND, reason)

    def _outcome(self, message, caller, kind, reason):
        return outcome_action(
            message.service, caller, message.flow_id, message.number, kind, reason
        )
