"""knapweeddeal.handover: Transfer of ledgers to a successor on a planned stop."""

from collections import deque

from knapweeddeal.actions import Address, ToPeer, ToStream
from knapweeddeal.entrycontext import relay_action, ticket_address, ticket_upstream_key
from knapweeddeal.errors import BadTicketError
from knapweeddeal.flowtable import Flow
from knapweeddeal.ledger import ANSWERED, FORWARDED, LEDGER_NOT_RUN, LEDGER_UNKNOWN
from knapweeddeal.messages.caller import KeepAlive
from knapweeddeal.messages.peer import (
    FlowRecord,
    HandOver,
    HandOverAck,
    HandOverOffer,
    HandOverRequest,
    LedgerRecord,
    Successions,
)
from knapweeddeal.record import Record
from knapweeddeal.successions import succession_to, successor_address

__all__ = ["Candidate", "HandoverSender", "HandoverReceiver"]

#: States of a planned stop in order. An entry waits for hand-overs to itself to end
#: (WAITING), requests a successor (ASKING), transfers its flows (HANDING) and
#: announces the successor (TELLING) before it stops.
SERVING = "serving"
WAITING = "waiting"
ASKING = "asking"
HANDING = "handing"
TELLING = "telling"
STOPPED = "stopped"

#: Time within which a successor must answer.
RESPONSE_TIMEOUT_MS = 3_000
#: Time without a message after which a hand-over to this entry counts as ended.
RECEIVE_TIMEOUT_MS = 10_000
#: Time for which datagrams are still relayed after the hand-over has ended.
RELAY_GRACE_MS = 1_000
#: Limits on the flows and the answer bytes of a batch and on batches in flight.
MAX_BATCH_FLOWS = 200
MAX_BATCH_ANSWER_BYTES = 1 << 20
MAX_UNACKNOWLEDGED_BATCHES = 4


class Candidate(Record):
    """Name and address of an entry that may become the successor."""

    __slots__ = ("name", "address")


class Batch(Record):
    """Hold flows that were sent to the successor and not yet acknowledged."""

    __slots__ = ("flows", "sent_ms")


class HandoverSender:
    """Hand all flows to a successor, each once its pending requests are done.

    Datagrams of a flow in transit are dropped; those of a transferred flow are
    relayed to the successor.
    """

    def __init__(self, *, context, owner, successions, handover_receiver, is_migrating):
        self._context = context
        self._owner = owner
        self.successions = successions
        self._handover_receiver = handover_receiver
        #: Predicate: whether a flow is being migrated to another upstream.
        self._is_migrating = is_migrating
        self.state = SERVING
        self.succession = None
        self._candidates = deque()
        self._peers = []
        self._state_entered_ms = 0
        self._deadline_ms = 0
        self._queue = deque()
        self._draining = set()
        self._unacknowledged = {}
        self._in_transit = set()
        #: Addresses of successors by the flows they acknowledged.
        self._transferred = {}
        self._last_batch = 0

    @property
    def stopping(self):
        """Return whether a planned stop has begun."""
        return self.state != SERVING

    @property
    def stopped(self):
        """Return whether the process may exit."""
        return self.state == STOPPED

    def begin(self, candidates, *, now_ms):
        """Begin a planned stop; `candidates` are other entries, preferred first."""
        if self.stopping:
            return []
        self._handover_receiver.closed = True
        self._peers = list(candidates)
        self._candidates = deque(candidates)
        self._deadline_ms = now_ms + self._context.limits.stop_ms
        self.state = WAITING
        return self._tick_waiting(now_ms)

    def _request_handover(self, now_ms):
        self.succession = None
        for batch in self._unacknowledged.values():
            self._queue.extend(batch.flows)
        self._unacknowledged.clear()
        self._in_transit.clear()
        if not self._candidates:
            self.state = TELLING
            self._state_entered_ms = now_ms
            self._context.count("stops_without_successor")
            return []
        self.state = ASKING
        self._state_entered_ms = now_ms
        request = HandOverRequest(
            name=self._context.identity.entry_id,
            owner_incarnation=self._context.identity.incarnation,
            flows=len(self._owner.flows),
        )
        return [ToPeer(address=self._candidates[0].address, message=request)]

    def _next_candidate(self, now_ms):
        self._candidates.popleft()
        return self._request_handover(now_ms)

    # Datagrams of callers

    def divert(self, message, ticket, caller, data):
        """Return the actions for a flow that is no longer served here, or None."""
        if not self.stopping or type(message) is KeepAlive:
            return None
        flow_key = (ticket.owner_incarnation, ticket.flow_id)
        if flow_key in self._transferred:
            return [relay_action(self._transferred[flow_key], caller, data)]
        if flow_key in self._in_transit:
            return []
        flow = self._owner.find(ticket)
        if flow is None or flow not in self._draining:
            return None
        entry = flow.ledger is not None and flow.ledger.get(message.number)
        return None if entry else []

    # Messages of the successor

    def handle_offer(self, message, *, now_ms):
        """Start the transfer, or request another candidate if this one declined."""
        own_incarnation = self._context.identity.incarnation
        if self.state != ASKING or message.owner_incarnation != own_incarnation:
            return []
        if message.succession.successor != self._candidates[0].name:
            return []
        if not message.accepted:
            return self._next_candidate(now_ms)
        self.state = HANDING
        self.succession = message.succession
        address = successor_address(self.succession)
        successions = Successions(ask=False, successions=self.successions.all())
        return [ToPeer(address=address, message=successions), *self._send(now_ms)]

    def handle_ack(self, message, *, now_ms):
        """Release the flows of a batch that the successor acknowledged."""
        own_incarnation = self._context.identity.incarnation
        if (
            message.owner_incarnation != own_incarnation
            or message.batch not in self._unacknowledged
        ):
            return []
        for flow in self._unacknowledged.pop(message.batch).flows:
            flow_key = (flow.owner_incarnation, flow.flow_id)
            self._in_transit.discard(flow_key)
            self._transferred[flow_key] = successor_address(self.succession)
            self._draining.discard(flow)
            self._owner.release(flow)
        return self._send(now_ms)

    def handle_undeliverable(self, address, *, now_ms):
        """Fail over to the next candidate if the successor can't be reached."""
        if self.state not in (ASKING, HANDING):
            return []
        if not self._candidates or self._candidates[0].address != address:
            return []
        return self._next_candidate(now_ms)

    # Time

    def tick(self, *, now_ms):
        """Advance a planned stop."""
        return getattr(self, f"_tick_{self.state}")(now_ms)

    def _tick_serving(self, now_ms):
        return []

    def _tick_stopped(self, now_ms):
        return []

    def _tick_waiting(self, now_ms):
        return (
            []
            if self._handover_receiver.is_receiving(now_ms=now_ms)
            else self._request_handover(now_ms)
        )

    def _tick_asking(self, now_ms):
        if now_ms - self._state_entered_ms < RESPONSE_TIMEOUT_MS:
            return []
        return self._next_candidate(now_ms)

    def _tick_handing(self, now_ms):
        timed_out = any(
            now_ms - batch.sent_ms >= RESPONSE_TIMEOUT_MS
            for batch in self._unacknowledged.values()
        )
        return self._next_candidate(now_ms) if timed_out else self._send(now_ms)

    def _tick_telling(self, now_ms):
        requests_pending = self.succession is None and self._has_pending_flow()
        if requests_pending and now_ms < self._deadline_ms:
            return []
        refusals_pending = len(self._context.refusals) and now_ms < self._deadline_ms
        if now_ms - self._state_entered_ms >= RELAY_GRACE_MS and not refusals_pending:
            self.state = STOPPED
        return []

    def _has_pending_flow(self):
        return any(self._has_pending_requests(flow) for flow in self._owner.flows)

    # Sending

    def _send(self, now_ms):
        actions = []
        while len(self._unacknowledged) < MAX_UNACKNOWLEDGED_BATCHES:
            flows = self._next_batch(now_ms)
            if not flows:
                break
            actions.append(self._send_batch(flows, now_ms))
        if self._unacknowledged or len(self._owner.flows):
            return actions
        return [*actions, *self._announce_succession(now_ms)]

    def _next_batch(self, now_ms):
        if not self._queue:
            self._queue.extend(
                flow
                for flow in self._owner.flows
                if (flow.owner_incarnation, flow.flow_id) not in self._in_transit
            )
        flows, size = [], 0
        for _ in range(len(self._queue)):
            flow = self._queue.popleft()
            if not self._owner.holds(flow):
                continue
            if now_ms < self._deadline_ms and self._has_pending_requests(flow):
                self._draining.add(flow)
                self._queue.append(flow)
                continue
            flows.append(flow)
            size += _answer_bytes(flow)
            if len(flows) >= MAX_BATCH_FLOWS or size >= MAX_BATCH_ANSWER_BYTES:
                break
        return flows

    def _has_pending_requests(self, flow):
        if self._is_migrating(flow):
            return True
        return flow.ledger is not None and flow.ledger.has_pending()

    def _send_batch(self, flows, now_ms):
        self._last_batch += 1
        self._unacknowledged[self._last_batch] = Batch(flows=flows, sent_ms=now_ms)
        self._in_transit.update(
            (flow.owner_incarnation, flow.flow_id) for flow in flows
        )
        message = HandOver(
            owner_incarnation=self._context.identity.incarnation,
            batch=self._last_batch,
            flows=[self._flow_record(flow) for flow in flows],
            last=False,
        )
        return ToPeer(address=successor_address(self.succession), message=message)

    def _flow_record(self, flow):
        ledger = flow.ledger
        return FlowRecord(
            service=flow.upstream.service,
            flow_id=flow.flow_id,
            owner_incarnation=flow.owner_incarnation,
            ticket=self._owner.seal(flow, flow.valid_since_ms),
            floor=0 if ledger is None else ledger.floor,
            requests=[] if ledger is None else _ledger_records(ledger),
        )

    def _announce_succession(self, now_ms):
        self.state = TELLING
        self._state_entered_ms = now_ms
        self.successions.add(self.succession, now_ms=now_ms)
        return [
            ToPeer(address=peer.address, message=self.succession)
            for peer in self._peers
        ]


class HandoverReceiver:
    """Receive the ledgers of entries that stop as planned."""

    def __init__(self, *, context, owner, successions):
        self._context = context
        self._owner = owner
        self._successions = successions
        self._last_activity_ms = {}
        #: Whether this entry is stopping and declines hand-overs.
        self.closed = False

    def is_receiving(self, *, now_ms):
        """Return whether a hand-over to this entry is still in progress."""
        return any(
            now_ms - at_ms < RECEIVE_TIMEOUT_MS
            for at_ms in self._last_activity_ms.values()
        )

    def handle_request(self, message, peer, *, now_ms):
        """Accept or decline the hand-over that another entry requests."""
        free_capacity = self._context.limits.max_flows - len(self._owner.flows)
        accepted = not self.closed and message.flows <= free_capacity
        if accepted:
            self._last_activity_ms[message.owner_incarnation] = now_ms
        offer = HandOverOffer(
            owner_incarnation=message.owner_incarnation,
            accepted=accepted,
            succession=succession_to(self._context.identity, message.owner_incarnation),
        )
        return [ToStream(stream=peer.stream, message=offer)]

    def handle_batch(self, message, peer, *, now_ms):
        """Install the flows of a batch and acknowledge it."""
        if message.owner_incarnation not in self._last_activity_ms:
            return self._context.drop("hand_over_unasked")
        self._last_activity_ms[message.owner_incarnation] = now_ms
        for record in message.flows:
            self._install(record, now_ms)
        ack = HandOverAck(
            owner_incarnation=message.owner_incarnation, batch=message.batch
        )
        return [ToStream(stream=peer.stream, message=ack)]

    def _install(self, record, now_ms):
        try:
            ticket = self._context.open_ticket(record.ticket)
        except BadTicketError:
            self._context.count("dropped_handed_over")
            return
        flow = Flow(
            flow_id=record.flow_id,
            owner_incarnation=record.owner_incarnation,
            upstream=ticket_upstream_key(ticket),
            address=ticket_address(ticket),
            caller=Address(host="", port=0),
            valid_since_ms=ticket.issued_ms,
            ticket_issued_ms=ticket.issued_ms,
            last_used_ms=now_ms,
            ledger=None,
        )
        self._owner.install(flow)
        if not record.floor and not record.requests:
            return
        ledger = self._owner.ledger(flow)
        ledger.raise_floor(record.floor)
        for request in record.requests:
            INSTALLERS[request.state](ledger, request)

    def handle_succession(self, succession, *, now_ms):
        """Store the succession that ends a hand-over."""
        self._last_activity_ms.pop(succession.owner_incarnation, None)
        self._successions.add(succession, now_ms=now_ms)
        return []

    def handle_successions(self, message, peer, *, now_ms):
        """Store successions of another entry; return all if it requests them."""
        for succession in message.successions:
            self._successions.add(succession, now_ms=now_ms)
        if not message.ask or peer is None:
            return []
        answer = Successions(ask=False, successions=self._successions.all())
        return [ToStream(stream=peer.stream, message=answer)]


#: Functions that install a transferred record in a ledger, by its state. A request
#: that was still in flight when the stop timed out becomes unknown: the successor has
#: no stream on which its answer could arrive.
INSTALLERS = {
    FORWARDED: lambda ledger, record: ledger.mark_unknown(
        record.number, "owner_stopped"
    ),
    ANSWERED: lambda ledger, record: ledger.answer(record.number, record.answer),
    LEDGER_NOT_RUN: lambda ledger, record: ledger.refuse(record.number, record.reason),
    LEDGER_UNKNOWN: lambda ledger, record: ledger.mark_unknown(
        record.number, record.reason
    ),
}


def _ledger_records(ledger):
    return [
        LedgerRecord(
            number=number, state=entry.state, reason=entry.reason, answer=entry.answer
        )
        for number, entry in ledger.items()
    ]


def _answer_bytes(flow):
    if flow.ledger is None:
        return 0
    return sum(len(entry.answer) for _, entry in flow.ledger.items())
