"""knapweeddeal.entrycore: The decisions of an entry, message in and actions out."""

from functools import singledispatchmethod

from knapweeddeal.actions import (
    Address,
    Dial,
    ToCaller,
    ToControl,
    ToPeer,
    ToUpstream,
    UpstreamKey,
)
from knapweeddeal.balance import choose
from knapweeddeal.directory import Directory
from knapweeddeal.errors import BadMessageError, BadTicketError
from knapweeddeal.ledger import (
    ANSWERED,
    FORWARDED,
    LEDGER_NOT_RUN,
    LEDGER_UNKNOWN,
    Ledger,
)
from knapweeddeal.messages import decode
from knapweeddeal.messages.caller import (
    MAX_BODY_BYTES,
    NOT_RUN,
    RESEND,
    UNKNOWN,
    AnswerPart,
    Cancel,
    Close,
    KeepAlive,
    KeptAlive,
    Moved,
    Open,
    Opened,
    OpenRefused,
    Outcome,
    Push,
    Renew,
    Request,
)
from knapweeddeal.messages.peer import RefusalAck, RefusalRecord, Relay
from knapweeddeal.messages.upstream import (
    FlowAccepted,
    FlowClose,
    FlowOpen,
    FlowShed,
    FlowTouch,
    UpstreamPush,
    Work,
    WorkAnswer,
    WorkCancel,
    WorkCancelled,
    WorkShed,
)
from knapweeddeal.record import Record
from knapweeddeal.refusals import RefusalQueue
from knapweeddeal.ticket import Ticket

__all__ = ["EntryCore", "Flow", "FlowKey", "Identity"]

#: Upstreams that are asked for one open.
MAX_OPEN_TRIES = 2


class Identity(Record):
    """Name an entry process: id, incarnation, zone and stream address."""

    __slots__ = ("entry_id", "incarnation", "zone", "address")


class FlowKey(Record):
    """Name a flow under one owner incarnation."""

    __slots__ = ("flow_id", "owner_incarnation")


class Flow(Record):
    """Hold a flow that this entry owns."""

    __slots__ = ("service", "upstream", "caller", "ticket", "ledger")


class PendingOpen(Record):
    """Hold an open that waits for an upstream's word."""

    __slots__ = ("service", "nonce", "caller", "tried", "until_ms", "renewed")


class Refusal(Record):
    """Hold what follows once a refusal is recorded."""

    __slots__ = ("flow_key", "number", "action")


class EntryCore:
    """Decide for one entry.

    Every method takes `now_ms` from a clock that never jumps and returns a list
    of actions; `wall_clock_ms` stands in tickets and records.
    """

    def __init__(self, *, identity, sealer, lease_ms, rng, wall_clock_ms, counters):
        self.identity = identity
        self.directory = Directory(lease_ms=lease_ms)
        self.refusals = RefusalQueue()
        self.flows = {}
        self.services = {}
        self._sealer = sealer
        self._rng = rng
        self._wall_clock_ms = wall_clock_ms
        self._count = counters
        self._opens = {}

    # Configuration and directory

    def apply_configuration(self, configuration):
        """Put a confirmed configuration in force."""
        self.services = {entry.name: entry for entry in configuration.services}

    def apply_announce(self, announce, *, now_ms):
        """Take an upstream's announcement and see that its stream stands."""
        self.directory.apply(announce, now_ms=now_ms)
        return [
            Dial(key=upstream.key, address=upstream.address)
            for upstream in self.directory.all()
            if not upstream.ready and upstream.lease_until_ms > now_ms
        ]

    def stream_up(self, key):
        """Note that the stream to an upstream stands."""
        upstream = self.directory.get(key)
        if upstream is not None:
            upstream.ready = True

    def stream_down(self, key, *, now_ms):
        """Settle what was under way on a stream that broke."""
        upstream = self.directory.get(key)
        if upstream is not None:
            upstream.ready = False
            upstream.outstanding = 0
        actions = []
        for flow_key, flow in self.flows.items():
            if flow.upstream == key:
                actions += self._lose_flow_work(flow_key, flow)
        return actions

    def _lose_flow_work(self, flow_key, flow):
        actions = []
        for number, entry in list(flow.ledger.items()):
            if entry.state != FORWARDED:
                continue
            if entry.idempotent:
                flow.ledger.forget(number)
                kind = RESEND
            else:
                flow.ledger.lose(number, "stream_broke")
                kind = UNKNOWN
            actions.append(self._outcome(flow_key, flow, number, kind, "stream_broke"))
        return actions

    # Datagrams of callers

    def from_caller(self, service, caller, data, *, now_ms):
        """Decide on a datagram that came to a service's address."""
        try:
            message = decode(data)
        except BadMessageError:
            return self._drop("bad_message")
        if getattr(message, "service", None) != service or service not in self.services:
            return self._drop("wrong_service")
        if type(message) is Open:
            return self._open(message, caller, now_ms)
        return self._with_ticket(message, caller, data, now_ms)

    def _with_ticket(self, message, caller, data, now_ms):
        try:
            ticket = self._sealer.open(
                getattr(message, "ticket", b""), now_ms=self._wall_clock_ms()
            )
        except BadTicketError as error:
            return self._drop(error.code)
        if ticket.service != message.service or ticket.flow_id != message.flow_id:
            return self._drop("wrong_flow")
        if type(message) in (KeepAlive, Renew, Close):
            return self._on_flow(message, ticket, caller, now_ms)
        if ticket.owner_incarnation == self.identity.incarnation:
            return self._on_owner(message, ticket, caller, now_ms)
        return [self._relay(ticket, caller, data)]

    def _relay(self, ticket, caller, data):
        address = Address(host=ticket.owner_host, port=ticket.owner_port)
        relay = Relay(caller_host=caller.host, caller_port=caller.port, datagram=data)
        return ToPeer(address=address, message=relay)

    def _drop(self, reason):
        self._count(f"dropped_{reason}")
        return []

    # Opening a flow

    def _open(self, message, caller, now_ms):
        for pending in self._opens.values():
            if pending.nonce == message.nonce and pending.caller == caller:
                return []
        flow_id = self._rng.getrandbits(64)
        pending = PendingOpen(
            service=message.service,
            nonce=message.nonce,
            caller=caller,
            tried=[],
            until_ms=now_ms + message.deadline_ms,
            renewed=False,
        )
        return self._try_open(flow_id, pending, now_ms)

    def _try_open(self, flow_id, pending, now_ms):
        fresh = self.directory.fresh(pending.service, now_ms=now_ms)
        usable = [u for u in fresh if u.ready and u.key not in pending.tried]
        chosen = choose(usable, zone=self.identity.zone, rng=self._rng)
        if chosen is None or len(pending.tried) >= MAX_OPEN_TRIES:
            self._opens.pop(flow_id, None)
            return self._refuse_open(flow_id, pending)
        pending.tried.append(chosen.key)
        self._opens[flow_id] = pending
        ask = FlowOpen(
            flow_id=flow_id,
            caller_host=pending.caller.host,
            caller_port=pending.caller.port,
        )
        return [ToUpstream(key=chosen.key, message=ask)]

    def _refuse_open(self, flow_id, pending):
        reason = "shed" if pending.tried else "no_upstream"
        refused = OpenRefused(
            service=pending.service, nonce=pending.nonce, reason=reason
        )
        return self._refuse(
            FlowKey(flow_id=flow_id, owner_incarnation=self.identity.incarnation),
            0,
            reason,
            ToCaller(service=pending.service, caller=pending.caller, message=refused),
        )

    def _refuse(self, flow_key, number, reason, action):
        record = RefusalRecord(
            record_id=self._rng.getrandbits(64),
            caller=f"{action.caller.host}:{action.caller.port}",
            service=action.service,
            flow_id=flow_key.flow_id,
            number=number,
            refused_ms=self._wall_clock_ms(),
            entry_id=self.identity.entry_id,
            reason=reason,
        )
        then = Refusal(flow_key=flow_key, number=number, action=action)
        self.refusals.add(record, then)
        return []

    def _seal(self, flow_id, key, address):
        ticket = Ticket(
            service=key.service,
            flow_id=flow_id,
            upstream_id=key.upstream_id,
            upstream_incarnation=key.incarnation,
            upstream_host=address.host,
            upstream_port=address.port,
            owner_id=self.identity.entry_id,
            owner_incarnation=self.identity.incarnation,
            owner_host=self.identity.address.host,
            owner_port=self.identity.address.port,
            issued_ms=self._wall_clock_ms(),
        )
        return self._sealer.seal(ticket)

    # Packets that any entry may handle

    @singledispatchmethod
    def _on_flow(self, message, ticket, caller, now_ms):
        return self._drop("unexpected")

    @_on_flow.register
    def _(self, message: KeepAlive, ticket, caller, now_ms):
        touch = FlowTouch(
            flow_id=ticket.flow_id, caller_host=caller.host, caller_port=caller.port
        )
        kept = KeptAlive(service=ticket.service, flow_id=ticket.flow_id)
        return [
            *self._to_ticket_upstream(ticket, touch),
            ToCaller(service=ticket.service, caller=caller, message=kept),
        ]

    @_on_flow.register
    def _(self, message: Close, ticket, caller, now_ms):
        key = FlowKey(
            flow_id=ticket.flow_id, owner_incarnation=ticket.owner_incarnation
        )
        self.flows.pop(key, None)
        close = FlowClose(flow_id=ticket.flow_id)
        return self._to_ticket_upstream(ticket, close)

    @_on_flow.register
    def _(self, message: Renew, ticket, caller, now_ms):
        key = _ticket_upstream(ticket)
        address = Address(host=ticket.upstream_host, port=ticket.upstream_port)
        sealed = self._own(ticket.flow_id, key, address, caller)
        moved = Moved(service=ticket.service, flow_id=ticket.flow_id, ticket=sealed)
        return [ToCaller(service=ticket.service, caller=caller, message=moved)]

    def _own(self, flow_id, upstream_key, address, caller):
        flow_key = FlowKey(flow_id=flow_id, owner_incarnation=self.identity.incarnation)
        held = self.flows.get(flow_key)
        if held is not None:
            return held.ticket
        sealed = self._seal(flow_id, upstream_key, address)
        self.flows[flow_key] = Flow(
            service=upstream_key.service,
            upstream=upstream_key,
            caller=caller,
            ticket=sealed,
            ledger=Ledger(),
        )
        return sealed

    def _to_ticket_upstream(self, ticket, message):
        key = _ticket_upstream(ticket)
        address = Address(host=ticket.upstream_host, port=ticket.upstream_port)
        return [Dial(key=key, address=address), ToUpstream(key=key, message=message)]

    # Packets for the owner of a flow

    @singledispatchmethod
    def _on_owner(self, message, ticket, caller, now_ms):
        return self._drop("unexpected")

    @_on_owner.register
    def _(self, message: Request, ticket, caller, now_ms):
        flow_key = _ticket_flow(ticket)
        flow = self.flows.get(flow_key)
        if flow is None:
            return self._forgotten(message, caller)
        flow.caller = caller
        flow.ledger.raise_floor(message.floor)
        if flow.ledger.settled(message.number):
            return self._drop("settled")
        entry = flow.ledger.get(message.number)
        if entry is None:
            return self._forward(message, flow_key, flow)
        return self._replay(flow_key, flow, message.number, entry)

    @_on_owner.register
    def _(self, message: Cancel, ticket, caller, now_ms):
        flow_key = _ticket_flow(ticket)
        flow = self.flows.get(flow_key)
        if flow is None or flow.ledger.settled(message.number):
            return self._drop("settled")
        entry = flow.ledger.get(message.number)
        if entry is None:
            return self._refuse_request(flow_key, flow, message.number, "cancelled")
        if entry.state != FORWARDED:
            return self._replay(flow_key, flow, message.number, entry)
        cancel = WorkCancel(
            flow_id=flow_key.flow_id,
            owner_incarnation=flow_key.owner_incarnation,
            number=message.number,
        )
        return [ToUpstream(key=flow.upstream, message=cancel)]

    def _forgotten(self, message, caller):
        kind = RESEND if message.idempotent else UNKNOWN
        outcome = Outcome(
            service=message.service,
            flow_id=message.flow_id,
            number=message.number,
            kind=kind,
            reason="flow_forgotten",
        )
        return [ToCaller(service=message.service, caller=caller, message=outcome)]

    def _forward(self, message, flow_key, flow):
        upstream = self.directory.get(flow.upstream)
        if upstream is None or not upstream.ready:
            outcome = self._outcome(
                flow_key, flow, message.number, RESEND, "upstream_unreachable"
            )
            return [outcome]
        flow.ledger.forward(message.number, idempotent=message.idempotent)
        upstream.outstanding += 1
        work = Work(
            flow_id=flow_key.flow_id,
            owner_incarnation=flow_key.owner_incarnation,
            number=message.number,
            idempotent=message.idempotent,
            deadline_ms=message.deadline_ms,
            caller_host=flow.caller.host,
            caller_port=flow.caller.port,
            body=message.body,
        )
        return [ToUpstream(key=flow.upstream, message=work)]

    def _replay(self, flow_key, flow, number, entry):
        if entry.state == ANSWERED:
            return self._parts(flow_key, flow, number, entry.answer)
        if entry.state == LEDGER_UNKNOWN:
            return [self._outcome(flow_key, flow, number, UNKNOWN, entry.reason)]
        if entry.state == LEDGER_NOT_RUN and entry.recorded:
            return [self._outcome(flow_key, flow, number, NOT_RUN, entry.reason)]
        return []

    def _refuse_request(self, flow_key, flow, number, reason):
        flow.ledger.refuse(number, reason)
        action = self._outcome(flow_key, flow, number, NOT_RUN, reason)
        return self._refuse(flow_key, number, reason, action)

    def _outcome(self, flow_key, flow, number, kind, reason):
        outcome = Outcome(
            service=flow.service,
            flow_id=flow_key.flow_id,
            number=number,
            kind=kind,
            reason=reason,
        )
        return ToCaller(service=flow.service, caller=flow.caller, message=outcome)

    def _parts(self, flow_key, flow, number, body):
        pieces = [
            body[start : start + MAX_BODY_BYTES]
            for start in range(0, len(body), MAX_BODY_BYTES)
        ] or [b""]
        return [
            ToCaller(
                service=flow.service,
                caller=flow.caller,
                message=AnswerPart(
                    service=flow.service,
                    flow_id=flow_key.flow_id,
                    number=number,
                    part=part,
                    parts=len(pieces),
                    body=piece,
                ),
            )
            for part, piece in enumerate(pieces)
        ]

    # Messages of upstreams

    @singledispatchmethod
    def from_upstream(self, message, key, *, now_ms):
        """Decide on a message that came on an upstream's stream."""
        return self._drop("unexpected")

    @from_upstream.register
    def _(self, message: FlowAccepted, key, *, now_ms):
        self._note_load(key, message)
        pending = self._opens.pop(message.flow_id, None)
        upstream = self.directory.get(key)
        if pending is None or upstream is None:
            return []
        sealed = self._own(message.flow_id, key, upstream.address, pending.caller)
        opened = Opened(
            service=key.service,
            nonce=pending.nonce,
            flow_id=message.flow_id,
            ticket=sealed,
        )
        return [ToCaller(service=key.service, caller=pending.caller, message=opened)]

    @from_upstream.register
    def _(self, message: FlowShed, key, *, now_ms):
        self._note_load(key, message)
        pending = self._opens.get(message.flow_id)
        if pending is None:
            return []
        return self._try_open(message.flow_id, pending, now_ms)

    @from_upstream.register
    def _(self, message: WorkAnswer, key, *, now_ms):
        flow_key, flow = self._work_flow(message, key)
        if flow is None:
            return []
        flow.ledger.answer(message.number, message.body)
        return self._parts(flow_key, flow, message.number, message.body)

    @from_upstream.register
    def _(self, message: WorkShed, key, *, now_ms):
        flow_key, flow = self._work_flow(message, key)
        if flow is None:
            return []
        return self._refuse_request(flow_key, flow, message.number, message.reason)

    @from_upstream.register
    def _(self, message: WorkCancelled, key, *, now_ms):
        flow_key = FlowKey(
            flow_id=message.flow_id, owner_incarnation=message.owner_incarnation
        )
        flow = self.flows.get(flow_key)
        entry = flow.ledger.get(message.number) if flow else None
        if entry is None or entry.state != FORWARDED or not message.stands:
            return []
        self._release_slot(key)
        return self._refuse_request(flow_key, flow, message.number, "cancelled")

    @from_upstream.register
    def _(self, message: UpstreamPush, key, *, now_ms):
        push = Push(
            service=key.service,
            flow_id=message.flow_id,
            sequence=message.sequence,
            body=message.body,
        )
        caller = Address(host=message.caller_host, port=message.caller_port)
        return [ToCaller(service=key.service, caller=caller, message=push)]

    def _work_flow(self, message, key):
        self._note_load(key, message)
        flow_key = FlowKey(
            flow_id=message.flow_id, owner_incarnation=message.owner_incarnation
        )
        flow = self.flows.get(flow_key)
        entry = flow.ledger.get(message.number) if flow else None
        if entry is None or entry.state != FORWARDED:
            return flow_key, None
        self._release_slot(key)
        return flow_key, flow

    def _note_load(self, key, message):
        upstream = self.directory.get(key)
        if upstream is not None:
            upstream.connections = message.connections

    def _release_slot(self, key):
        upstream = self.directory.get(key)
        if upstream is not None and upstream.outstanding:
            upstream.outstanding -= 1

    # Messages of peers and replicas

    @singledispatchmethod
    def from_peer(self, message, *, now_ms):
        """Decide on a message of another entry or a control replica."""
        return self._drop("unexpected")

    @from_peer.register
    def _(self, message: Relay, *, now_ms):
        caller = Address(host=message.caller_host, port=message.caller_port)
        try:
            inner = decode(message.datagram)
            ticket = self._sealer.open(inner.ticket, now_ms=self._wall_clock_ms())
        except (BadMessageError, BadTicketError, AttributeError):
            return self._drop("bad_relay")
        if ticket.owner_incarnation != self.identity.incarnation:
            return self.undeliverable(message)
        return self._on_owner(inner, ticket, caller, now_ms)

    @from_peer.register
    def _(self, message: RefusalAck, *, now_ms):
        actions = []
        for refusal in self.refusals.release(message.batch):
            flow = self.flows.get(refusal.flow_key)
            if flow is not None:
                flow.ledger.mark_recorded(refusal.number)
            actions.append(refusal.action)
        return actions

    def undeliverable(self, relay):
        """Ask a caller to send again what didn't reach its flow's owner."""
        if type(relay) is not Relay:
            return []
        inner = decode(relay.datagram)
        if type(inner) is not Request:
            return []
        caller = Address(host=relay.caller_host, port=relay.caller_port)
        outcome = Outcome(
            service=inner.service,
            flow_id=inner.flow_id,
            number=inner.number,
            kind=RESEND,
            reason="owner_unreachable",
        )
        return [ToCaller(service=inner.service, caller=caller, message=outcome)]

    def tick(self, *, now_ms):
        """Do what time alone asks for."""
        expired = [f for f, p in self._opens.items() if p.until_ms <= now_ms]
        for flow_id in expired:
            del self._opens[flow_id]
        return [
            ToControl(message=batch) for batch in self.refusals.batches(now_ms=now_ms)
        ]


def _ticket_upstream(ticket):
    return UpstreamKey(
        service=ticket.service,
        upstream_id=ticket.upstream_id,
        incarnation=ticket.upstream_incarnation,
    )


def _ticket_flow(ticket):
    return FlowKey(flow_id=ticket.flow_id, owner_incarnation=ticket.owner_incarnation)
