"""knapweeddeal.entrycontext: State that the parts of an entry's core share."""

from knapweeddeal.actions import Address, ToCaller, ToPeer, UpstreamKey
from knapweeddeal.admission import Admission
from knapweeddeal.balance import Balancer
from knapweeddeal.directory import Directory
from knapweeddeal.ejection import Ejection
from knapweeddeal.errors import BadMessageError, BadTicketError
from knapweeddeal.flowtable import FlowTable
from knapweeddeal.messages import decode
from knapweeddeal.messages.caller import MAX_BODY_BYTES, AnswerPart, Outcome
from knapweeddeal.messages.peer import RefusalRecord, Relay
from knapweeddeal.messages.upstream import LEAVING
from knapweeddeal.record import Record
from knapweeddeal.refusalreplication import RefusalReplication

__all__ = [
    "EntryContext",
    "Identity",
    "answer_actions",
    "outcome_action",
    "relay_action",
    "ticket_address",
    "ticket_upstream_key",
]

US_PER_MS = 1_000


class Identity(Record):
    """Name an entry process: id, incarnation, zone and stream address."""

    __slots__ = ("entry_id", "incarnation", "zone", "address")


class Relayed(Record):
    """Hold a caller's message that another entry relayed, and its opened ticket."""

    __slots__ = ("message", "ticket", "caller")


class EntryContext:
    """Hold the state and the helpers that the parts of an entry's core share."""

    __slots__ = (
        "admission",
        "balancer",
        "count",
        "directory",
        "draining",
        "ejection",
        "flows",
        "identity",
        "limits",
        "refusal_replication",
        "record_us",
        "refusals",
        "rng",
        "sealer",
        "services",
        "wall_clock_ms",
    )

    def __init__(self, *, identity, sealer, limits, rng, wall_clock_ms, count, timers):
        self.identity = identity
        self.sealer = sealer
        self.limits = limits
        self.rng = rng
        self.wall_clock_ms = wall_clock_ms
        #: Increments the counter of a name.
        self.count = count
        #: Records a duration in microseconds under a name.
        self.record_us = timers
        self.directory = Directory(
            lease_ms=limits.lease_ms,
            name=identity.entry_id,
            zone=identity.zone,
            lease_request_ms=limits.lease_ask_ms,
            registrars_per_zone=limits.registrars_per_zone,
        )
        #: Flows that this entry owns.
        self.flows = FlowTable(idle_ms=limits.flow_idle_ms)
        self.balancer = Balancer(zone=identity.zone, own_flows=self.flows.count)
        self.admission = Admission()
        self.refusal_replication = RefusalReplication(count=count)
        #: Refusals held back until a second process has stored their record.
        self.refusals = self.refusal_replication.queue
        self.ejection = Ejection(share=limits.max_ejected_percent / 100)
        #: Confirmed services by name.
        self.services = {}
        #: Ids of upstreams that an operator drains, by service.
        self.draining = {}

    def apply_configuration(self, configuration):
        """Apply a confirmed configuration."""
        self.services = {entry.name: entry for entry in configuration.services}
        self.draining = {
            entry.name: frozenset(entry.draining) for entry in configuration.services
        }

    def record_wait(self, name, since_ms, *, now_ms):
        """Record the time since `since_ms` under a name."""
        self.record_us(name, (now_ms - since_ms) * US_PER_MS)

    def drop(self, reason):
        """Count a message that is dropped; return no actions."""
        self.count(f"dropped_{reason}")
        return []

    def open_ticket(self, data):
        """Return the ticket sealed in some bytes, or raise BadTicketError."""
        return self.sealer.open(data, now_ms=self.wall_clock_ms())

    def open_relay(self, relay):
        """Return what a relay carries, or None if it carries no valid ticket."""
        caller = Address(host=relay.caller_host, port=relay.caller_port)
        try:
            message = decode(relay.datagram)
            ticket = self.open_ticket(message.ticket)
        except (BadMessageError, BadTicketError, AttributeError):
            return None
        return Relayed(message=message, ticket=ticket, caller=caller)

    def is_leaving(self, key):
        """Return whether an upstream is leaving or being drained."""
        if key.upstream_id in self.draining.get(key.service, ()):
            return True
        upstream = self.directory.get(key)
        return upstream is not None and upstream.announce.state == LEAVING

    def is_stream_up(self, key):
        """Return whether the stream to an upstream is open."""
        return self.directory.has_stream(key)

    def select_upstream(self, service, tried, *, now_ms):
        """Return an upstream that isn't in `tried` for a new flow, or None."""
        usable = [
            upstream
            for upstream in self.directory.eligible(service, now_ms=now_ms)
            if self.is_stream_up(upstream.key) and not self.is_leaving(upstream.key)
        ]
        unhealthy = [u.key for u in usable if u.is_polled_unhealthy(now_ms=now_ms)]
        usable = self.ejection.usable(usable, unhealthy, now_ms=now_ms)
        usable = [u for u in usable if u.key not in tried]
        chosen = self.balancer.choose(usable, rng=self.rng, now_ms=now_ms)
        if chosen is not None:
            self.balancer.record_flow_request(chosen.key, now_ms=now_ms)
        return chosen

    def record_load(self, key, message, *, now_ms):
        """Record the load that an upstream reports on the data path."""
        self.ejection.record_success(key)
        upstream = self.directory.get(key)
        if upstream is not None:
            upstream.record_load(message.connections, now_ms=now_ms)
            self.balancer.record_report(key, message.outstanding, now_ms=now_ms)
            self.admission.record_report(upstream, message.outstanding, now_ms=now_ms)

    def admits(self, key, deadline_ms, *, now_ms):
        """Return whether an upstream is expected to answer within a deadline."""
        upstream = self.directory.get(key)
        return upstream is None or self.admission.admits(
            upstream, deadline_ms=deadline_ms, now_ms=now_ms
        )

    def refuse(self, refusal, flow_id, number, reason):
        """Hold a refusal until its record is stored; return whether there was room."""
        action = refusal.action
        record = RefusalRecord(
            record_id=self.rng.getrandbits(64),
            caller=f"{action.caller.host}:{action.caller.port}",
            service=action.service,
            flow_id=flow_id,
            number=number,
            refused_ms=self.wall_clock_ms(),
            entry_id=self.identity.entry_id,
            reason=reason,
        )
        return self.refusals.add(record, refusal)


def outcome_action(service, caller, flow_id, number, kind, reason):
    """Return the action that sends a caller an outcome."""
    message = Outcome(
        service=service, flow_id=flow_id, number=number, kind=kind, reason=reason
    )
    return ToCaller(service=service, caller=caller, message=message)


def relay_action(address, caller, data):
    """Return the action that relays a caller's datagram to another entry."""
    relay = Relay(caller_host=caller.host, caller_port=caller.port, datagram=data)
    return ToPeer(address=address, message=relay)


def answer_actions(service, caller, flow_id, number, body):
    """Return the actions that send a caller an answer, split into parts."""
    pieces = [
        body[start : start + MAX_BODY_BYTES]
        for start in range(0, len(body), MAX_BODY_BYTES)
    ] or [b""]
    return [
        ToCaller(
            service=service,
            caller=caller,
            message=AnswerPart(
                service=service,
                flow_id=flow_id,
                number=number,
                part=part,
                parts=len(pieces),
                body=piece,
            ),
        )
        for part, piece in enumerate(pieces)
    ]


def ticket_upstream_key(ticket):
    """Return the key of a ticket's upstream."""
    return UpstreamKey(
        service=ticket.service,
        upstream_id=ticket.upstream_id,
        incarnation=ticket.upstream_incarnation,
    )


def ticket_address(ticket):
    """Return the address of a ticket's upstream."""
    return Address(host=ticket.upstream_host, port=ticket.upstream_port)
