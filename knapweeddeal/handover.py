"""knapweeddeal.handover: Ledgers that pass to a successor on a planned stop."""

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

#: States of a planned stop, in their order.
SERVING = "serving"
WAITING = "waiting"
ASKING = "asking"
HANDING = "handing"
TELLING = "telling"
STOPPED = "stopped"

#: Time in which a successor must answer.
ANSWER_MS = 3_000
#: Time in which an entry whose ledgers are being taken must say it is done.
TAKING_MS = 10_000
#: Time after the end of the hand-over in which datagrams are still relayed.
GRACE_MS = 1_000
#: Flows and bytes of kept answers of one batch, and batches on their way.
BATCH_FLOWS = 200
BATCH_BYTES = 1 << 20
MAX_BATCHES = 4


class Candidate(Record):
    """Name another entry that may become the successor."""

    __slots__ = ("name", "address")


class Batch(Record):
    """Hold flows that are on their way to the successor."""

    __slots__ = ("flows", "sent_ms")


class HandoverSender:
    """Hand all flows to a successor, each once its requests in progress are done.

    A flow on its way gets silence; one that arrived is relayed to the successor.
    """

    def __init__(self, *, context, owner, successions, handover_receiver, is_migrating):
        self._context = context
        self._owner = owner
        self.successions = successions
        self._handover_receiver = handover_receiver
        #: Tells whether a flow is being moved.
        self._is_migrating = is_migrating
        self.state = SERVING
        self.succession = None
        self._candidates = deque()
        self._peers = []
        self._asked_ms = 0
        self._until_ms = 0
        self._queue = deque()
        self._frozen = set()
        self._sending = {}
        self._in_transit = set()
        #: Successors' addresses by the flows that they hold.
        self._handed = {}
        self._batch = 0

    @property
    def stopping(self):
        """Tell whether a planned stop has begun."""
        return self.state != SERVING

    @property
    def stopped(self):
        """Tell whether the process may end."""
        return self.state == STOPPED

    def begin(self, candidates, *, now_ms):
        """Begin a planned stop; `candidates` are other entries, the best first."""
        if self.stopping:
            return []
        self._handover_receiver.closed = True
        self._peers = list(candidates)
        self._candidates = deque(candidates)
        self._until_ms = now_ms + self._context.limits.stop_ms
        self.state = WAITING
        return self._tick_waiting(now_ms)

    def _request_handover(self, now_ms):
        self.succession = None
        for batch in self._sending.values():
            self._queue.extend(batch.flows)
        self._sending.clear()
        self._in_transit.clear()
        if not self._candidates:
            self.state = TELLING
            self._asked_ms = now_ms
            self._context.count("stops_without_successor")
            return []
        self.state = ASKING
        self._asked_ms = now_ms
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
        """Return the actions for a flow that isn't served here any longer, or None."""
        if not self.stopping or type(message) is KeepAlive:
            return None
        name = (ticket.owner_incarnation, ticket.flow_id)
        if name in self._handed:
            return [relay_action(self._handed[name], caller, data)]
        if name in self._in_transit:
            return []
        flow = self._owner.find(ticket)
        if flow is None or flow not in self._frozen:
            return None
        known = flow.ledger is not None and flow.ledger.get(message.number)
        return None if known else []

    # The successor's answers

    def handle_offer(self, message, *, now_ms):
        """Take a successor's offer."""
        own = self._context.identity.incarnation
        if self.state != ASKING or message.owner_incarnation != own:
            return []
        if message.succession.successor != self._candidates[0].name:
            return []
        if not message.accepted:
            return self._next_candidate(now_ms)
        self.state = HANDING
        self.succession = message.succession
        address = successor_address(self.succession)
        known = Successions(ask=False, successions=self.successions.all())
        return [ToPeer(address=address, message=known), *self._send(now_ms)]

    def handle_ack(self, message, *, now_ms):
        """Let go of flows that the successor holds."""
        own = self._context.identity.incarnation
        if message.owner_incarnation != own or message.batch not in self._sending:
            return []
        for flow in self._sending.pop(message.batch).flows:
            name = (flow.owner_incarnation, flow.flow_id)
            self._in_transit.discard(name)
            self._handed[name] = successor_address(self.succession)
            self._frozen.discard(flow)
            self._owner.release(flow)
        return self._send(now_ms)

    def handle_undeliverable(self, address, *, now_ms):
        """Ask the next candidate when the successor can't be reached."""
        if self.state not in (ASKING, HANDING):
            return []
        if not self._candidates or self._candidates[0].address != address:
            return []
        return self._next_candidate(now_ms)

    # Time

    def tick(self, *, now_ms):
        """Go on with a planned stop."""
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
        if now_ms - self._asked_ms < ANSWER_MS:
            return []
        return self._next_candidate(now_ms)

    def _tick_handing(self, now_ms):
        late = any(
            now_ms - batch.sent_ms >= ANSWER_MS for batch in self._sending.values()
        )
        return self._next_candidate(now_ms) if late else self._send(now_ms)

    def _tick_telling(self, now_ms):
        waits = self.succession is None and self._in_progress()
        if waits and now_ms < self._until_ms:
            return []
        refusals = len(self._context.refusals) and now_ms < self._until_ms
        if now_ms - self._asked_ms >= GRACE_MS and not refusals:
            self.state = STOPPED
        return []

    def _in_progress(self):
        return any(self._has_pending_requests(flow) for flow in self._owner.flows)

    # Sending

    def _send(self, now_ms):
        actions = []
        while len(self._sending) < MAX_BATCHES:
            flows = self._next_batch(now_ms)
            if not flows:
                break
            actions.append(self._pack(flows, now_ms))
        if self._sending or len(self._owner.flows):
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
            if now_ms < self._until_ms and self._has_pending_requests(flow):
                self._frozen.add(flow)
                self._queue.append(flow)
                continue
            flows.append(flow)
            size += _answer_bytes(flow)
            if len(flows) >= BATCH_FLOWS or size >= BATCH_BYTES:
                break
        return flows

    def _has_pending_requests(self, flow):
        if self._is_migrating(flow):
            return True
        return flow.ledger is not None and flow.ledger.has_pending()

    def _pack(self, flows, now_ms):
        self._batch += 1
        self._sending[self._batch] = Batch(flows=flows, sent_ms=now_ms)
        self._in_transit.update(
            (flow.owner_incarnation, flow.flow_id) for flow in flows
        )
        message = HandOver(
            owner_incarnation=self._context.identity.incarnation,
            batch=self._batch,
            flows=[self._record(flow) for flow in flows],
            last=False,
        )
        return ToPeer(address=successor_address(self.succession), message=message)

    def _record(self, flow):
        ledger = flow.ledger
        return FlowRecord(
            service=flow.upstream.service,
            flow_id=flow.flow_id,
            owner_incarnation=flow.owner_incarnation,
            ticket=self._owner.seal(flow, flow.since_ms),
            floor=0 if ledger is None else ledger.floor,
            requests=[] if ledger is None else _ledger_records(ledger),
        )

    def _announce_succession(self, now_ms):
        self.state = TELLING
        self._asked_ms = now_ms
        self.successions.add(self.succession, now_ms=now_ms)
        return [
            ToPeer(address=peer.address, message=self.succession)
            for peer in self._peers
        ]


class HandoverReceiver:
    """Take the ledgers of entries that stop as planned."""

    def __init__(self, *, context, owner, successions):
        self._context = context
        self._owner = owner
        self._successions = successions
        self._taking = {}
        #: Whether this entry stops itself and takes nothing new.
        self.closed = False

    def is_receiving(self, *, now_ms):
        """Tell whether some entry hasn't yet said that its hand-over is done."""
        return any(now_ms - at_ms < TAKING_MS for at_ms in self._taking.values())

    def handle_request(self, message, peer, *, now_ms):
        """Offer to take an entry's ledgers, or decline."""
        room = self._context.limits.max_flows - len(self._owner.flows)
        accepted = not self.closed and message.flows <= room
        if accepted:
            self._taking[message.owner_incarnation] = now_ms
        offer = HandOverOffer(
            owner_incarnation=message.owner_incarnation,
            accepted=accepted,
            succession=succession_to(self._context.identity, message.owner_incarnation),
        )
        return [ToStream(stream=peer.stream, message=offer)]

    def handle_batch(self, message, peer, *, now_ms):
        """Hold flows that are handed over, and acknowledge them."""
        if message.owner_incarnation not in self._taking:
            return self._context.drop("hand_over_unasked")
        self._taking[message.owner_incarnation] = now_ms
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
            since_ms=ticket.issued_ms,
            issued_ms=ticket.issued_ms,
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
        """Take the word on a succession."""
        self._taking.pop(succession.owner_incarnation, None)
        self._successions.add(succession, now_ms=now_ms)
        return []

    def handle_successions(self, message, peer, *, now_ms):
        """Take the successions that another entry holds; answer if it asks."""
        for succession in message.successions:
            self._successions.add(succession, now_ms=now_ms)
        if not message.ask or peer is None:
            return []
        answer = Successions(ask=False, successions=self._successions.all())
        return [ToStream(stream=peer.stream, message=answer)]


#: How a ledger takes a record that is handed over, by its state. What was still
#: under way when the stop's time ran out is unknown: its answer has no stream.
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
