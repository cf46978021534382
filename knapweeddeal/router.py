"""knapweeddeal.router: Routing of callers' datagrams inside an entry."""

from knapweeddeal.actions import Address, Dial, ToCaller, ToPeer, ToUpstream
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import relay_action, ticket_address, ticket_upstream_key
from knapweeddeal.errors import BadMessageError, BadTicketError
from knapweeddeal.messages import decode
from knapweeddeal.messages.caller import (
    Cancel,
    Close,
    KeepAlive,
    KeepAliveAck,
    Open,
    Renew,
    Request,
)
from knapweeddeal.messages.upstream import FlowClose, FlowTouch, Heartbeat
from knapweeddeal.reachability import Reachability
from knapweeddeal.successions import successor_address

__all__ = ["Router"]


class Router:
    """Validate each datagram and pass it to the part or entry that handles it."""

    def __init__(
        self, *, context, flow_opener, owner, migrator, recovery, handover_sender
    ):
        self._context = context
        self._flow_opener = flow_opener
        self._owner = owner
        self._migrator = migrator
        self._recovery = recovery
        self._handover_sender = handover_sender
        self._successions = handover_sender.successions
        self._reachability = Reachability()

    def from_caller(self, service, caller, data, *, now_ms):
        """Handle a datagram that was received on a service's address."""
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
        if self._handover_sender.stopping:
            return self._context.drop("open_while_stopping")
        return self._flow_opener.open(message, caller, now_ms=now_ms)

    @_route.register(Request)
    @_route.register(Cancel)
    def _(self, message, caller, data, now_ms):
        ticket = self._open_ticket(message)
        if ticket is None:
            return []
        actions = self._handover_sender.divert(message, ticket, caller, data)
        if actions is not None:
            return actions
        if self._is_owned_here(ticket):
            return self._handle_at_owner(message, ticket, caller, now_ms)
        return self._relay_or_recover(message, ticket, caller, data, now_ms)

    @_route.register
    def _(self, message: KeepAlive, caller, data, now_ms):
        ticket = self._open_ticket(message)
        if ticket is None:
            return []
        key = ticket_upstream_key(ticket)
        touch = FlowTouch(
            flow_id=ticket.flow_id, caller_host=caller.host, caller_port=caller.port
        )
        ack = KeepAliveAck(service=ticket.service, flow_id=ticket.flow_id)
        return [
            Dial(key=key, address=ticket_address(ticket)),
            ToUpstream(key=key, message=touch),
            ToCaller(service=ticket.service, caller=caller, message=ack),
            *self._renew_or_migrate(message, ticket, caller, data, now_ms),
        ]

    @_route.register
    def _(self, message: Renew, caller, data, now_ms):
        ticket = self._open_ticket(message)
        if ticket is None:
            return []
        if self._handover_sender.stopping:
            return self._context.drop("renew_while_stopping")
        return self.adopt(ticket, caller, now_ms=now_ms)

    @_route.register
    def _(self, message: Close, caller, data, now_ms):
        ticket = self._open_ticket(message)
        if ticket is None:
            return []
        close = FlowClose(flow_id=ticket.flow_id)
        actions = [ToUpstream(key=ticket_upstream_key(ticket), message=close)]
        if self._is_owned_here(ticket):
            return [*actions, *self._handle_at_owner(message, ticket, caller, now_ms)]
        return [
            *actions,
            *self._relay_or_recover(message, ticket, caller, data, now_ms),
        ]

    def _open_ticket(self, message):
        try:
            ticket = self._context.open_ticket(message.ticket)
        except BadTicketError as error:
            self._context.count(f"dropped_{error.code}")
            return None
        if not _ticket_matches_flow(ticket, message):
            self._context.count("dropped_wrong_flow")
            return None
        return ticket

    # Owners

    def _is_owned_here(self, ticket):
        return self._current_owner(ticket)[0] == self._context.identity.incarnation

    def _current_owner(self, ticket):
        """Return incarnation and address of a ticket's owner or of its successor."""
        succession = self._successions.resolve(ticket.owner_incarnation)
        if succession is not None:
            return succession.successor_incarnation, successor_address(succession)
        address = Address(host=ticket.owner_host, port=ticket.owner_port)
        return ticket.owner_incarnation, address

    def _relay_or_recover(self, message, ticket, caller, data, now_ms):
        _, address = self._current_owner(ticket)
        reachable = self._reachability.is_reachable(address, now_ms=now_ms)
        if reachable and address != self._context.identity.address:
            return [relay_action(address, caller, data)]
        return [
            *self._probe_if_due(address, now_ms),
            *self._recovery.recover_unreachable(message, ticket, caller, now_ms=now_ms),
        ]

    def _probe_if_due(self, address, now_ms):
        if not self._reachability.claim_probe(address, now_ms=now_ms):
            return []
        return [ToPeer(address=address, message=Heartbeat())]

    def peer_down(self, address, *, now_ms):
        """Record that a peer couldn't be reached."""
        self._reachability.mark_unreachable(address, now_ms=now_ms)

    def peer_up(self, address):
        """Record that a peer answered."""
        self._reachability.mark_reachable(address)

    @methoddispatch
    def _handle_at_owner(self, message, ticket, caller, now_ms):
        return self._context.drop("unexpected")

    @_handle_at_owner.register(Request)
    @_handle_at_owner.register(Cancel)
    def _(self, message, ticket, caller, now_ms):
        actions = self._owner.handle_message(message, ticket, caller, now_ms=now_ms)
        return [*actions, *self._migrate_or_adopt(ticket, now_ms)]

    @_handle_at_owner.register
    def _(self, message: KeepAlive, ticket, caller, now_ms):
        flow = self._owner.find(ticket)
        if flow is None:
            return self.adopt(ticket, caller, now_ms=now_ms)
        flow.caller = caller
        self._owner.flows.touch(flow, now_ms=now_ms)
        if self._is_refresh_due(ticket) and not self._handover_sender.stopping:
            self._owner.refresh(flow)
            return [
                self._owner.ticket_update_action(flow),
                *self._migrate_or_adopt(ticket, now_ms),
            ]
        return self._migrate_or_adopt(ticket, now_ms)

    @_handle_at_owner.register
    def _(self, message: Close, ticket, caller, now_ms):
        flow = self._owner.find(ticket)
        if flow is None:
            return []
        self._owner.remove_flow(flow)
        if flow.upstream == ticket_upstream_key(ticket):
            return []
        close = FlowClose(flow_id=flow.flow_id)
        return [ToUpstream(key=flow.upstream, message=close)]

    def _migrate_or_adopt(self, ticket, now_ms):
        if self._handover_sender.stopping:
            return []
        flow = self._owner.find(ticket)
        if flow is None:
            return []
        if flow.owner_incarnation != self._context.identity.incarnation:
            return self.adopt(ticket, flow.caller, now_ms=now_ms)
        return self._migrator.migrate_if_due(flow, ticket, now_ms=now_ms)

    def _renew_or_migrate(self, message, ticket, caller, data, now_ms):
        """Renew an old ticket, and start the migration of a flow if it is due."""
        if self._handover_sender.stopping:
            return []
        if self._is_owned_here(ticket):
            return self._handle_at_owner(message, ticket, caller, now_ms)
        succeeded = self._successions.resolve(ticket.owner_incarnation) is not None
        if succeeded or self._is_refresh_due(ticket):
            return self.adopt(ticket, caller, now_ms=now_ms)
        if self._migrator.must_migrate(ticket_upstream_key(ticket), now_ms=now_ms):
            return self._relay_or_recover(message, ticket, caller, data, now_ms)
        return []

    def _is_refresh_due(self, ticket):
        age_ms = self._context.wall_clock_ms() - ticket.issued_ms
        return age_ms >= self._context.limits.refresh_ms

    def adopt(self, ticket, caller, *, now_ms):
        """Take over the ownership of a flow and send the caller its new ticket."""
        if self._handover_sender.stopping:
            return []
        own_incarnation = self._context.identity.incarnation
        if (
            self._owner.is_full()
            and self._owner.flows.get(own_incarnation, ticket.flow_id) is None
        ):
            return self._context.drop("too_many_flows")
        flow = self._owner.adopt(ticket, caller, now_ms=now_ms)
        flow.caller = caller
        self._owner.flows.touch(flow, now_ms=now_ms)
        actions = [self._owner.ticket_update_action(flow)]
        if self._migrator.must_migrate(flow.upstream, now_ms=now_ms):
            actions += self._migrator.migrate_if_due(flow, ticket, now_ms=now_ms)
        return actions

    # Relayed datagrams

    def handle_relay(self, relay, peer, *, now_ms):
        """Handle a caller's datagram that another entry relayed."""
        relayed = self._context.open_relay(relay)
        if relayed is None:
            return self._context.drop("bad_relay")
        message, ticket, caller = relayed.message, relayed.ticket, relayed.caller
        if not _ticket_matches_flow(ticket, message):
            return self._context.drop("wrong_flow")
        actions = self._handover_sender.divert(message, ticket, caller, relay.datagram)
        if actions is not None:
            return actions
        if self._may_handle_relayed(ticket, peer):
            return self._handle_at_owner(message, ticket, caller, now_ms)
        return self._recovery.recover_unreachable(
            message, ticket, caller, now_ms=now_ms
        )

    def _may_handle_relayed(self, ticket, peer):
        """Return whether a relayed datagram may be handled here.

        It may if this entry is the owner or its successor, or if the owner itself
        relays it because it has just handed the flow over.
        """
        incarnation, _ = self._current_owner(ticket)
        if incarnation == self._context.identity.incarnation:
            return True
        return peer is not None and peer.incarnation == incarnation


def _ticket_matches_flow(ticket, message):
    return ticket.service == message.service and ticket.flow_id == message.flow_id
