"""knapweeddeal.requestrecovery: Cancellation of requests whose owner is lost."""

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

#: Attempts of a caller before another entry than the owner settles its request.
SETTLING_ATTEMPT = 3
#: Attempts after which a request is `unknown` if its upstream can't be reached.
LAST_ATTEMPT = 12
#: Time in which an upstream must answer a cancellation.
SETTLE_MS = 3_000
#: Requests that may wait to be settled.
MAX_SETTLING = 20_000


class Settling(Record):
    """Hold a request that waits for its upstream's word on the cancellation."""

    __slots__ = ("key", "service", "caller", "until_ms", "reason")


class RequestRecovery:
    """Settle what can't reach its owner, without a claim that isn't proved.

    A non-idempotent request is `not_run` only if the upstream that its ticket
    names will refuse it for good under the lost owner's incarnation.
    """

    def __init__(self, *, context, adopt):
        self._context = context
        self._adopt = adopt
        self._settling = {}

    def __len__(self):
        """Return how many requests wait to be settled."""
        return len(self._settling)

    def handle_undeliverable(self, relay, *, now_ms):
        """Decide on a relayed datagram that didn't reach its flow's owner."""
        relayed = self._context.open_relay(relay)
        if relayed is None:
            return self._context.drop("bad_relay")
        return self.recover_unreachable(
            relayed.message, relayed.ticket, relayed.caller, now_ms=now_ms
        )

    @methoddispatch
    def recover_unreachable(self, message, ticket, caller, *, now_ms):
        """Decide on a message whose owner can't be reached."""
        return []

    @recover_unreachable.register
    def _(self, message: KeepAlive, ticket, caller, *, now_ms):
        return self._adopt(ticket, caller, now_ms=now_ms)

    @recover_unreachable.register
    def _(self, message: Request, ticket, caller, *, now_ms):
        if message.attempt < SETTLING_ATTEMPT:
            return [self._resend(message, caller, "owner_unreachable")]
        return [
            *self._adopt(ticket, caller, now_ms=now_ms),
            *self._settle(message, ticket, caller, "owner_lost", now_ms),
        ]

    @recover_unreachable.register
    def _(self, message: Cancel, ticket, caller, *, now_ms):
        return self._settle(message, ticket, caller, "owner_lost", now_ms)

    def recover_evicted(self, message, ticket, caller, *, now_ms):
        """Decide on a message whose record this entry, the owner, has forgotten."""
        return [
            *self._adopt(ticket, caller, now_ms=now_ms),
            *self._settle(message, ticket, caller, "flow_forgotten", now_ms),
        ]

    @methoddispatch
    def _settle(self, message, ticket, caller, reason, now_ms):
        return []

    @_settle.register
    def _(self, message: Request, ticket, caller, reason, now_ms):
        if message.idempotent:
            return [self._resend(message, caller, reason)]
        reachable = self._context.is_stream_up(ticket_upstream_key(ticket))
        if message.attempt >= LAST_ATTEMPT and not reachable:
            self._context.count("requests_unknown")
            return [self._outcome(message, caller, UNKNOWN, reason)]
        return self._cancel(message, ticket, caller, reason, now_ms)

    @_settle.register
    def _(self, message: Cancel, ticket, caller, reason, now_ms):
        return self._cancel(message, ticket, caller, reason, now_ms)

    def _cancel(self, message, ticket, caller, reason, now_ms):
        name = (ticket.flow_id, ticket.owner_incarnation, message.number)
        if name not in self._settling:
            if len(self._settling) >= MAX_SETTLING:
                return self._context.drop("too_many_settling")
            self._settling[name] = Settling(
                key=ticket_upstream_key(ticket),
                service=ticket.service,
                caller=caller,
                until_ms=now_ms + SETTLE_MS,
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
        """Take an upstream's word on a cancellation."""
        settling = self._pop_settling(message, key)
        if settling is None:
            return []
        if not message.stands:
            self._context.count("requests_unknown")
            return [self._told(settling, message, UNKNOWN)]
        action = self._told(settling, message, NOT_RUN)
        refusal = Refusal(ledger=None, number=message.number, action=action)
        self._context.refuse(refusal, message.flow_id, message.number, settling.reason)
        return []

    def handle_answer(self, message, key):
        """Pass on an answer that the upstream gave to the cancellation."""
        settling = self._pop_settling(message, key)
        if settling is None:
            return []
        self._context.count("answers_passed_on")
        return answer_actions(
            settling.service,
            settling.caller,
            message.flow_id,
            message.number,
            message.body,
        )

    def expire(self, *, now_ms):
        """Give up what no upstream answered; the caller sends again."""
        while self._settling:
            name = next(iter(self._settling))
            if self._settling[name].until_ms > now_ms:
                return
            del self._settling[name]

    def _pop_settling(self, message, key):
        """Return what waits for an upstream's word or None, and hold it no longer."""
        name = (message.flow_id, message.owner_incarnation, message.number)
        settling = self._settling.get(name)
        if settling is None or settling.key != key:
            return None
        return self._settling.pop(name)

    def _told(self, settling, message, kind):
        return outcome_action(
            settling.service,
            settling.caller,
            message.flow_id,
            message.number,
            kind,
            settling.reason,
        )

    def _resend(self, message, caller, reason):
        return self._outcome(message, caller, RESEND, reason)

    def _outcome(self, message, caller, kind, reason):
        return outcome_action(
            message.service, caller, message.flow_id, message.number, kind, reason
        )
