"""knapweeddeal.router: Which of a caller's datagrams goes where."""

from knapweeddeal.actions import Address, Dial, ToCaller, ToPeer, ToUpstream
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import relay_to, ticket_address, ticket_upstream
from knapweeddeal.errors import BadMessageError, BadTicketError
from knapweeddeal.messages import decode
from knapweeddeal.messages.caller import (
    Cancel,
    Close,
    KeepAlive,
    KeptAlive,
    Open,
    Renew,
    Request,
)
from knapweeddeal.messages.upstream import FlowClose, FlowTouch, Heartbeat
from knapweeddeal.reachability import Reachability
from knapweeddeal.successions import successor_address

__all__ = ["Router"]


class Router:
    """Check each datagram and hand it to the part, or the entry, that decides."""

    def __init__(self, *, context, opening, owner, moves, resolution, handing):
        self._context = context
        self._opening = opening
        self._owner = owner
        self._moves = moves
        self._resolution = resolution
        self._handing = handing
        self._successions = handing.successions
        self._reachability = Reachability()

    def from_caller(self, service, caller, data, *, now_ms):
        """Decide on a datagram that came to a service's address."""
        try:
            message = decode(data)
        except BadMessageError:
            return self._context.drop("bad_message")
        if getattr(message, "service", None) != service:
            return self._context.drop("wrong_service")
        if service not in self._context.services:
            return self._context.drop("unknown_service")
        return self._route(message, caller, data, now_ms)

    @methoddispatch
    def _route(self, message, caller, data, now_ms):
        return self._context.drop("unexpected")

    @_route.register
    def _(self, message: Open, caller, data, now_ms):
        if self._handing.stopping:
            return self._context.drop("open_while_stopping")
        return self._opening.open(message, caller, now_ms=now_ms)

    @_route.register(Request)
    @_route.register(Cancel)
    def _(self, message, caller, data, now_ms):
        ticket = self._ticket(message)
        if ticket is None:
            return []
        actions = self._handing.divert(message, ticket, caller, data)
        if actions is not None:
            return actions
        if self._owned(ticket):
            return self._at_owner(message, ticket, caller, now_ms)
        return self._to_owner(message, ticket, caller, data, now_ms)

    @_route.register
    def _(self, message: KeepAlive, caller, data, now_ms):
        ticket = self._ticket(message)
        if ticket is None:
            return []
        key = ticket_upstream(ticket)
        touch = FlowTouch(
            flow_id=ticket.flow_id, caller_host=caller.host, caller_port=caller.port
        )
        kept = KeptAlive(service=ticket.service, flow_id=ticket.flow_id)
        return [
            Dial(key=key, address=ticket_address(ticket)),
            ToUpstream(key=key, message=touch),
            ToCaller(service=ticket.service, caller=caller, message=kept),
            *self._check(message, ticket, caller, data, now_ms),
        ]

    @_route.register
    def _(self, message: Renew, caller, data, now_ms):
        ticket = self._ticket(message)
        if ticket is None:
            return []
        if self._handing.stopping:
            return self._context.drop("renew_while_stopping")
        return self.adopt(ticket, caller, now_ms=now_ms)

    @_route.register
    def _(self, message: Close, caller, data, now_ms):
        ticket = self._ticket(message)
        if ticket is None:
            return []
        close = FlowClose(flow_id=ticket.flow_id)
        actions = [ToUpstream(key=ticket_upstream(ticket), message=close)]
        if self._owned(ticket):
            return [*actions, *self._at_owner(message, ticket, caller, now_ms)]
        return [*actions, *self._to_owner(message, ticket, caller, data, now_ms)]

    def _ticket(self, message):
        try:
            ticket = self._context.open_ticket(message.ticket)
        except BadTicketError as error:
            self._context.count(f"dropped_{error.code}")
            return None
        if not _is_of_flow(ticket, message):
            self._context.count("dropped_wrong_flow")
            return None
        return ticket

    # Owners

    def _owned(self, ticket):
        return self._owner_of(ticket)[0] == self._context.identity.incarnation

    def _owner_of(self, ticket):
        """Return incarnation and address of the process that answers for an owner."""
        succession = self._successions.resolve(ticket.owner_incarnation)
        if succession is not None:
            return succession.successor_incarnation, successor_address(succession)
        address = Address(host=ticket.owner_host, port=ticket.owner_port)
        return ticket.owner_incarnation, address

    def _to_owner(self, message, ticket, caller, data, now_ms):
        _, address = self._owner_of(ticket)
        reached = self._reachability.reaches(address, now_ms=now_ms)
        if reached and address != self._context.identity.address:
            return [relay_to(address, caller, data)]
        return [
            *self._probe(address, now_ms),
            *self._resolution.unreachable(message, ticket, caller, now_ms=now_ms),
        ]

    def _probe(self, address, now_ms):
        if not self._reachability.take_probe(address, now_ms=now_ms):
            return []
        return [ToPeer(address=address, message=Heartbeat())]

    def peer_down(self, address, *, now_ms):
        """Note that a peer couldn't be reached."""
        self._reachability.failed(address, now_ms=now_ms)

    def peer_up(self, address):
        """Note that a peer answered."""
        self._reachability.answered(address)

    @methoddispatch
    def _at_owner(self, message, ticket, caller, now_ms):
        return self._context.drop("unexpected")

    @_at_owner.register(Request)
    @_at_owner.register(Cancel)
    def _(self, message, ticket, caller, now_ms):
        actions = self._owner.take(message, ticket, caller, now_ms=now_ms)
        return [*actions, *self._check_here(ticket, now_ms)]

    @_at_owner.register
    def _(self, message: KeepAlive, ticket, caller, now_ms):
        flow = self._owner.find(ticket)
        if flow is None:
            return self.adopt(ticket, caller, now_ms=now_ms)
        flow.caller = caller
        self._owner.flows.touch(flow, now_ms=now_ms)
        if self._old(ticket) and not self._handing.stopping:
            self._owner.refresh(flow)
            return [self._owner.moved(flow), *self._check_here(ticket, now_ms)]
        return self._check_here(ticket, now_ms)

    @_at_owner.register
    def _(self, message: Close, ticket, caller, now_ms):
        flow = self._owner.find(ticket)
        if flow is None:
            return []
        self._owner.forget(flow)
        if flow.upstream == ticket_upstream(ticket):
            return []
        close = FlowClose(flow_id=flow.flow_id)
        return [ToUpstream(key=flow.upstream, message=close)]

    def _check_here(self, ticket, now_ms):
        if self._handing.stopping:
            return []
        flow = self._owner.find(ticket)
        if flow is None:
            return []
        if flow.owner_incarnation != self._context.identity.incarnation:
            return self.adopt(ticket, flow.caller, now_ms=now_ms)
        return self._moves.check(flow, ticket, now_ms=now_ms)

    def _check(self, message, ticket, caller, data, now_ms):
        """Renew an old ticket, and see that a flow that has to move does."""
        if self._handing.stopping:
            return []
        if self._owned(ticket):
            return self._at_owner(message, ticket, caller, now_ms)
        succeeded = self._successions.resolve(ticket.owner_incarnation) is not None
        if succeeded or self._old(ticket):
            return self.adopt(ticket, caller, now_ms=now_ms)
        if self._moves.due(ticket_upstream(ticket), now_ms=now_ms):
            return self._to_owner(message, ticket, caller, data, now_ms)
        return []

    def _old(self, ticket):
        age_ms = self._context.wall_clock_ms() - ticket.issued_ms
        return age_ms >= self._context.limits.refresh_ms

    def adopt(self, ticket, caller, *, now_ms):
        """Become the owner of a flow for what comes next; tell the caller."""
        if self._handing.stopping:
            return []
        own = self._context.identity.incarnation
        if self._owner.full() and self._owner.flows.get(own, ticket.flow_id) is None:
            return self._context.drop("too_many_flows")
        flow = self._owner.adopt(ticket, caller, now_ms=now_ms)
        flow.caller = caller
        self._owner.flows.touch(flow, now_ms=now_ms)
        actions = [self._owner.moved(flow)]
        if self._moves.due(flow.upstream, now_ms=now_ms):
            actions += self._moves.check(flow, ticket, now_ms=now_ms)
        return actions

    # Relays

    def relayed(self, relay, peer, *, now_ms):
        """Decide on a caller's datagram that another entry handed on."""
        relayed = self._context.open_relay(relay)
        if relayed is None:
            return self._context.drop("bad_relay")
        message, ticket, caller = relayed.message, relayed.ticket, relayed.caller
        if not _is_of_flow(ticket, message):
            return self._context.drop("wrong_flow")
        actions = self._handing.divert(message, ticket, caller, relay.datagram)
        if actions is not None:
            return actions
        if self._answers_for(ticket, peer):
            return self._at_owner(message, ticket, caller, now_ms)
        return self._resolution.unreachable(message, ticket, caller, now_ms=now_ms)

    def _answers_for(self, ticket, peer):
        """Tell whether a relay may be served here.

        It may if this entry succeeded the owner, or if the owner itself, which
        handed the flow over a moment ago, relays it.
        """
        incarnation, _ = self._owner_of(ticket)
        if incarnation == self._context.identity.incarnation:
            return True
        return peer is not None and peer.incarnation == incarnation


def _is_of_flow(ticket, message):
    return ticket.service == message.service and ticket.flow_id == message.flow_id
