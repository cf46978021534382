"""knapweeddeal.owner: The flows that an entry owns and their requests."""

from knapweeddeal.actions import Dial, ToCaller, ToUpstream
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import (
    answer_actions,
    outcome_action,
    ticket_address,
    ticket_upstream_key,
)
from knapweeddeal.flowtable import Flow
from knapweeddeal.ledger import (
    ANSWERED,
    FORWARDED,
    LEDGER_NOT_RUN,
    LEDGER_UNKNOWN,
    RECORD_PENDING,
    RECORDED,
    UNRECORDED,
    AnswerCache,
    Ledger,
)
from knapweeddeal.messages.caller import (
    NOT_RUN,
    RESEND,
    UNKNOWN,
    Cancel,
    Request,
    TicketUpdate,
)
from knapweeddeal.messages.upstream import Work, WorkCancel
from knapweeddeal.record import Record
from knapweeddeal.ticket import Ticket

__all__ = ["Owner", "Refusal"]


class Refusal(Record):
    """Hold the action to perform once a refusal is recorded; `ledger` may be None."""

    __slots__ = ("ledger", "number", "action")


class Owner:
    """Own flows and settle their requests; send non-idempotent ones at most once.

    `settle(message, ticket, caller, now_ms=...)` is called for a request whose
    ledger entry may have been evicted; `is_lost(key, now_ms=...)` returns whether
    an upstream is lost.
    """

    def __init__(self, *, context, settle, is_lost):
        self._context = context
        self._settle = settle
        self._is_lost = is_lost
        self._identity = context.identity
        self.flows = context.flows
        self.answer_cache = AnswerCache(
            max_answers=context.limits.max_answers,
            max_bytes=context.limits.max_answer_bytes,
        )
        self._in_flight = {}
        self._last_removed_issued_ms = 0

    # Flows

    def is_full(self):
        """Return whether the flow table is full."""
        return len(self.flows) >= self._context.limits.max_flows

    def add_flow(self, flow_id, key, address, caller, *, now_ms):
        """Create, store and return a flow."""
        return self._create_flow(
            flow_id, key, address, caller, self._context.wall_clock_ms(), now_ms
        )

    def adopt(self, ticket, caller, *, now_ms):
        """Return the flow of a ticket; create it if it isn't held."""
        held = self.flows.get(self._identity.incarnation, ticket.flow_id)
        if held is not None:
            return held
        issued_ms = max(self._context.wall_clock_ms(), self._last_removed_issued_ms + 1)
        return self._create_flow(
            ticket.flow_id,
            ticket_upstream_key(ticket),
            ticket_address(ticket),
            caller,
            issued_ms,
            now_ms,
        )

    def _create_flow(self, flow_id, key, address, caller, issued_ms, now_ms):
        flow = Flow(
            flow_id=flow_id,
            owner_incarnation=self._identity.incarnation,
            upstream=key,
            address=address,
            caller=caller,
            valid_since_ms=issued_ms,
            ticket_issued_ms=issued_ms,
            last_used_ms=now_ms,
            ledger=None,
        )
        self.flows.put(flow)
        return flow

    def install(self, flow):
        """Store a flow that another owner handed over."""
        self.flows.put(flow)

    def find(self, ticket):
        """Return the flow that a ticket belongs to, or None."""
        flow = self.flows.get(ticket.owner_incarnation, ticket.flow_id)
        if flow is None or ticket.issued_ms < flow.valid_since_ms:
            return None
        return flow

    def holds(self, flow):
        """Return whether a flow is still held."""
        return self.flows.get(flow.owner_incarnation, flow.flow_id) is flow

    def release(self, flow):
        """Remove a flow that another owner has taken over."""
        self.flows.remove(flow)

    def refresh(self, flow):
        """Advance the issue time of a flow's ticket to now."""
        flow.ticket_issued_ms = max(
            self._context.wall_clock_ms(), flow.ticket_issued_ms
        )

    def remove_flow(self, flow):
        """Remove a flow and its ledger."""
        self.flows.remove(flow)
        self._discard_ledger(flow)

    def _discard_ledger(self, flow):
        self._last_removed_issued_ms = max(
            self._last_removed_issued_ms, flow.ticket_issued_ms
        )
        if flow.ledger is None:
            return
        for number, entry in list(flow.ledger.items()):
            if entry.state == FORWARDED:
                self._remove_in_flight(entry.upstream, flow, number)
        flow.ledger.clear()

    def expire(self, *, now_ms):
        """Remove idle flows and their ledgers."""
        for flow in self.flows.expire(now_ms=now_ms):
            self._context.count("flows_expired")
            self._discard_ledger(flow)

    def ledger(self, flow):
        """Return the ledger of a flow; create it on first use."""
        if flow.ledger is None:
            flow.ledger = Ledger(answer_cache=self.answer_cache)
        return flow.ledger

    def seal(self, flow, issued_ms=None):
        """Return the sealed ticket of a flow."""
        key, identity = flow.upstream, self._identity
        ticket = Ticket(
            service=key.service,
            flow_id=flow.flow_id,
            upstream_id=key.upstream_id,
            upstream_incarnation=key.incarnation,
            upstream_host=flow.address.host,
            upstream_port=flow.address.port,
            owner_id=identity.entry_id,
            owner_incarnation=flow.owner_incarnation,
            owner_host=identity.address.host,
            owner_port=identity.address.port,
            issued_ms=flow.ticket_issued_ms if issued_ms is None else issued_ms,
        )
        return self._context.sealer.seal(ticket)

    def ticket_update_action(self, flow):
        """Return the action that sends a flow's caller its ticket."""
        service = flow.upstream.service
        message = TicketUpdate(
            service=service, flow_id=flow.flow_id, ticket=self.seal(flow)
        )
        return ToCaller(service=service, caller=flow.caller, message=message)

    # Messages of callers

    @methoddispatch
    def handle_message(self, message, ticket, caller, *, now_ms):
        """Handle a message of a caller whose flow this entry owns."""
        return self._context.drop("unexpected")

    @handle_message.register
    def _(self, message: Request, ticket, caller, *, now_ms):
        flow = self.find(ticket)
        if flow is None:
            return self._settle(message, ticket, caller, now_ms=now_ms)
        flow.caller = caller
        self.flows.touch(flow, now_ms=now_ms)
        ledger = self.ledger(flow)
        ledger.raise_floor(message.floor)
        number = message.number
        if ledger.is_settled(number):
            return self._context.drop("settled")
        entry = ledger.get(number)
        if entry is not None and not entry.retryable:
            return self._replay(flow, number, entry)
        if ledger.may_have_been_evicted(number):
            return self._settle(message, ticket, caller, now_ms=now_ms)
        return self._forward(message, ticket, flow, now_ms)

    @handle_message.register
    def _(self, message: Cancel, ticket, caller, *, now_ms):
        flow = self.find(ticket)
        if flow is None:
            return self._settle(message, ticket, caller, now_ms=now_ms)
        flow.caller = caller
        ledger = self.ledger(flow)
        if ledger.is_settled(message.number) or ledger.may_have_been_evicted(
            message.number
        ):
            return self._context.drop("settled")
        entry = ledger.get(message.number)
        if entry is None:
            if not ledger.ensure_capacity():
                return self._context.drop("ledger_full")
            return self._refuse(flow, message.number, "cancelled")
        if entry.state != FORWARDED:
            return self._replay(flow, message.number, entry)
        cancel = WorkCancel(
            flow_id=flow.flow_id,
            owner_incarnation=flow.owner_incarnation,
            number=message.number,
        )
        return [ToUpstream(key=entry.upstream, message=cancel)]

    def _forward(self, message, ticket, flow, now_ms):
        if not flow.ledger.ensure_capacity():
            return [self._outcome_action(flow, message.number, RESEND, "ledger_full")]
        if not message.deadline_ms:
            return self._refuse(flow, message.number, "deadline")
        key = ticket_upstream_key(ticket)
        if message.idempotent and not self._context.is_stream_up(key):
            key = flow.upstream
        if not self._context.is_stream_up(key):
            return self._cannot_forward(message, ticket, flow, key, now_ms)
        if not self._context.admits(key, message.deadline_ms, now_ms=now_ms):
            return self._refuse(flow, message.number, "expected_late")
        return self._send(message, flow, key, now_ms)

    def _cannot_forward(self, message, ticket, flow, key, now_ms):
        # Only the ticket's upstream may receive this request: another entry that
        # cancels it there must be able to trust the answer.
        migrated_or_lost = key != flow.upstream or self._is_lost(key, now_ms=now_ms)
        if migrated_or_lost and not message.idempotent:
            return self._refuse(flow, message.number, "upstream_lost")
        return [
            Dial(key=key, address=ticket_address(ticket)),
            self._outcome_action(flow, message.number, RESEND, "upstream_unreachable"),
        ]

    def _send(self, message, flow, key, now_ms):
        flow.ledger.forward(message.number, idempotent=message.idempotent, upstream=key)
        upstream = self._context.directory.get(key)
        sent = None
        if upstream is not None:
            upstream.outstanding += 1
            sent = self._context.admission.record_sent(upstream, now_ms=now_ms)
        numbers = self._in_flight.setdefault(key, {}).setdefault(flow, {})
        numbers[message.number] = sent
        work = Work(
            flow_id=flow.flow_id,
            owner_incarnation=flow.owner_incarnation,
            number=message.number,
            idempotent=message.idempotent,
            deadline_ms=message.deadline_ms,
            caller_host=flow.caller.host,
            caller_port=flow.caller.port,
            body=message.body,
        )
        return [ToUpstream(key=key, message=work)]

    def _replay(self, flow, number, entry):
        if entry.state == ANSWERED:
            return self._answer_actions(flow, number, entry.answer)
        if entry.state == LEDGER_UNKNOWN:
            return [self._outcome_action(flow, number, UNKNOWN, entry.reason)]
        if entry.state == LEDGER_NOT_RUN and entry.record == RECORDED:
            return [self._outcome_action(flow, number, NOT_RUN, entry.reason)]
        if entry.state == LEDGER_NOT_RUN and entry.record == UNRECORDED:
            return self._queue_record(flow, number, entry.reason)
        return []

    def _refuse(self, flow, number, reason):
        ledger = self.ledger(flow)
        if ledger.may_have_run(number):
            ledger.mark_unknown(number, ledger.get(number).reason)
            return self._replay(flow, number, ledger.get(number))
        ledger.refuse(number, reason)
        return self._queue_record(flow, number, reason)

    def _queue_record(self, flow, number, reason):
        action = self._outcome_action(flow, number, NOT_RUN, reason)
        refusal = Refusal(ledger=flow.ledger, number=number, action=action)
        if self._context.refuse(refusal, flow.flow_id, number, reason):
            flow.ledger.set_record_state(number, RECORD_PENDING)
        return []

    def release_refusal(self, refusal):
        """Return the action of a refusal whose record a second process has stored."""
        if refusal.ledger is not None:
            refusal.ledger.set_record_state(refusal.number, RECORDED)
        return refusal.action

    def _outcome_action(self, flow, number, kind, reason):
        return outcome_action(
            flow.upstream.service, flow.caller, flow.flow_id, number, kind, reason
        )

    def _answer_actions(self, flow, number, body):
        return answer_actions(
            flow.upstream.service, flow.caller, flow.flow_id, number, body
        )

    # Messages of upstreams

    def handle_answer(self, message, key, *, now_ms):
        """Store an answer and send it to the caller."""
        sent = self._sent_record(message, key)
        flow = self._pop_in_flight(message, key)
        if flow is None:
            return []
        upstream = self._context.directory.get(key)
        if upstream is not None and sent is not None:
            self._context.admission.record_answer(upstream, sent, now_ms=now_ms)
            self._context.record_wait("request", sent.sent_ms, now_ms=now_ms)
        flow.ledger.answer(message.number, message.body)
        return self._answer_actions(flow, message.number, message.body)

    def handle_shed(self, message, key):
        """Refuse a request that its upstream shed."""
        flow = self._pop_in_flight(message, key)
        if flow is None:
            return []
        return self._refuse(flow, message.number, message.reason)

    def handle_cancelled(self, message, key):
        """Refuse a request that its upstream confirmed as cancelled."""
        flow = self._pop_in_flight(message, key) if message.stands else None
        if flow is None:
            return []
        return self._refuse(flow, message.number, "cancelled")

    def stream_down(self, key):
        """Settle the requests in flight on a stream that broke."""
        actions = []
        for flow, numbers in self._in_flight.pop(key, {}).items():
            for number in sorted(numbers):
                actions += self._settle_broken_stream(flow, number)
        return actions

    def handle_unsent(self, work, key):
        """Undo the forwarding of a request that never left this process."""
        flow = self._pop_in_flight(work, key)
        if flow is None:
            return []
        self._undo_forward(flow, work.number)
        return [self._outcome_action(flow, work.number, RESEND, "upstream_busy")]

    def _undo_forward(self, flow, number):
        """Undo an unsent forwarding; an earlier one may still have run."""
        ledger = flow.ledger
        if ledger.may_have_run(number):
            ledger.mark_unknown(number, ledger.get(number).reason, idempotent=True)
        else:
            ledger.remove_request(number)

    def has_in_flight_at(self, flow, key):
        """Return whether a request of a flow is in flight at an upstream."""
        return flow in self._in_flight.get(key, ())

    def _settle_broken_stream(self, flow, number):
        entry = flow.ledger.get(number)
        if entry.idempotent:
            flow.ledger.mark_unknown(number, "stream_broke", idempotent=True)
            return [self._outcome_action(flow, number, RESEND, "stream_broke")]
        self._context.count("requests_unknown")
        flow.ledger.mark_unknown(number, "stream_broke")
        return [self._outcome_action(flow, number, UNKNOWN, "stream_broke")]

    def _sent_record(self, message, key):
        """Return the admission record of a request in flight, or None."""
        flow = self.flows.get(message.owner_incarnation, message.flow_id)
        return self._in_flight.get(key, {}).get(flow, {}).get(message.number)

    def _pop_in_flight(self, message, key):
        flow = self.flows.get(message.owner_incarnation, message.flow_id)
        numbers = self._in_flight.get(key, {}).get(flow, ())
        if message.number not in numbers:
            return None
        self._remove_in_flight(key, flow, message.number)
        return flow

    def _remove_in_flight(self, key, flow, number):
        flows = self._in_flight.get(key, {})
        numbers = flows.get(flow, {})
        numbers.pop(number, None)
        if not numbers:
            flows.pop(flow, None)
        if not flows:
            self._in_flight.pop(key, None)
        upstream = self._context.directory.get(key)
        if upstream is not None and upstream.outstanding:
            upstream.outstanding -= 1
