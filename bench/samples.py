"""bench.samples: Sample messages and records with values of typical length."""

import ipaddress
import random

import msgpack

from knapweeddeal.messages.caller import KeepAlive, Open, Request
from knapweeddeal.messages.control import (
    Configuration,
    ConfigurationPush,
    ConfigurationRequest,
    ServiceEntry,
)
from knapweeddeal.messages.member import ALIVE, MemberRecord, Ping
from knapweeddeal.messages.peer import (
    AnnounceDigest,
    DirectoryDelta,
    FlowRecord,
    ForwardedAnnounce,
    HandOver,
    LeaseAnswer,
    LeaseRequest,
    RefusalAck,
    RefusalBatch,
    RefusalRecord,
    Relay,
    Succession,
)
from knapweeddeal.messages.upstream import (
    READY,
    Announce,
    FlowAccepted,
    FlowOpen,
    FlowTouch,
    Heartbeat,
    Work,
    WorkAnswer,
)
from knapweeddeal.ticket import Ticket, TicketSealer

__all__ = ["SEALER", "announce", "configuration", "host", "member", "random_id"]
__all__ += ["refusals_by_column", "samples", "service", "ticket"]

NOW_MS = 1_790_000_000_000
RNG = random.Random(7)
SEALER = TicketSealer(keys={1: bytes(32)}, life_ms=86_400_000)


def random_id():
    """Return a random 64-bit number with its highest bit set."""
    return RNG.getrandbits(64) | 1 << 63


def host(number):
    """Return an IPv4 address of typical length."""
    return f"10.{100 + number % 100}.{100 + number // 100 % 100}.{100 + number % 97}"


def announce(number, *, service_name="svc-0001", zone="region-1-zone-1"):
    """Return the announcement of one upstream."""
    return Announce(
        upstream_id=f"upstream-{number:05d}",
        incarnation=random_id(),
        sequence=100_000 + number,
        zone=zone,
        service=service_name,
        host=host(number),
        port=8443,
        health_port=8444,
        slots=2,
        max_connections=4_000,
        state=READY,
        drain_ms=0,
    )


def ticket(number):
    """Return the ticket of one flow."""
    return Ticket(
        service="svc-0001",
        flow_id=random_id(),
        upstream_id=f"upstream-{number % 17:05d}",
        upstream_incarnation=random_id(),
        upstream_host=host(number % 17),
        upstream_port=8443,
        owner_id=f"entry-{number % 5_900:04d}",
        owner_incarnation=random_id(),
        owner_host=host(number),
        owner_port=7001,
        issued_ms=NOW_MS,
    )


def service(number):
    """Return one service of a configuration."""
    return ServiceEntry(
        name=f"svc-{number:04d}",
        host=host(number),
        port=443,
        draining=[f"upstream-{number:05d}"] if number % 50 == 0 else [],
    )


def configuration(services):
    """Return a configuration of some services."""
    entries = [service(number) for number in range(services)]
    return Configuration(version=500_000, services=entries)


def refusal(number):
    """Return the record of one refusal."""
    return RefusalRecord(
        record_id=random_id(),
        caller=f"{host(number)}:{40_000 + number % 9_000}",
        service="svc-0001",
        flow_id=random_id(),
        number=1,
        refused_ms=NOW_MS + number,
        entry_id="entry-0001",
        reason="no_upstream",
    )


def member(number):
    """Return the record of one member."""
    return MemberRecord(
        name=f"entry-{number:04d}",
        incarnation=random_id(),
        counter=10,
        zone="region-1-zone-1",
        host=host(number),
        port=7001,
        state=ALIVE,
    )


def refusals_by_column(size):
    """Return a batch in columnar encoding, with the common fields written once."""
    records = [refusal(number) for number in range(size)]
    callers = b"".join(
        ipaddress.ip_address(record.caller.split(":")[0]).packed
        + int(record.caller.split(":")[1]).to_bytes(2, "big")
        for record in records
    )
    flows = b"".join(record.flow_id.to_bytes(8, "big") for record in records)
    first = records[0]
    shared = [first.entry_id, first.service, first.reason, first.record_id]
    times_ms = [record.refused_ms - first.refused_ms for record in records]
    numbers = [record.number for record in records]
    return msgpack.packb([*shared, first.refused_ms, callers, flows, times_ms, numbers])


def flow_record(number, *, with_ticket):
    """Return the record that a planned stop hands over for a flow without requests."""
    sealed = SEALER.seal(ticket(number)) if with_ticket else b""
    return FlowRecord(
        service="svc-0001",
        flow_id=random_id(),
        owner_incarnation=random_id(),
        ticket=sealed,
        floor=1_000,
        requests=[],
    )


def samples():
    """Return sample messages by their row labels."""
    sealed = SEALER.seal(ticket(1))
    work = {"flow_id": random_id(), "owner_incarnation": random_id(), "number": 1_000}
    load = {"outstanding": 3, "connections": 3_600}
    caller = {"caller_host": host(1), "caller_port": 40_000}
    common = {"service": "svc-0001", "flow_id": random_id(), "ticket": sealed}
    request = Request(
        **common,
        number=1_000,
        floor=1_000,
        attempt=1,
        idempotent=False,
        deadline_ms=10_000,
        body=bytes(200),
    )
    epoch = {"asked_ms": 10**9, "epoch": random_id(), "version": 10**6}
    return {
        "Open": Open(service="svc-0001", nonce=random_id(), deadline_ms=3_000),
        "Request, body 200 B": request,
        "KeepAlive": KeepAlive(**common),
        "Relay of that request": Relay(**caller, datagram=bytes(480)),
        "FlowOpen": FlowOpen(flow_id=random_id(), **caller),
        "FlowAccepted": FlowAccepted(flow_id=random_id(), **load),
        "FlowTouch": FlowTouch(flow_id=random_id(), **caller),
        "Work, body 200 B": Work(
            **work, **caller, idempotent=False, deadline_ms=10_000, body=bytes(200)
        ),
        "WorkAnswer, body 200 B": WorkAnswer(**work, **load, body=bytes(200)),
        "Heartbeat": Heartbeat(),
        "Announce": announce(1),
        "Announced": ForwardedAnnounce(announce=announce(1)),
        "AnnounceSeen (digest)": AnnounceDigest(digest=random_id(), sequence=100_000),
        "LeaseAsk": LeaseRequest(**epoch),
        "LeaseAnswer": LeaseAnswer(**epoch),
        "DirectoryDelta, 1 changed": DirectoryDelta(
            epoch=random_id(),
            since=10**6 - 1,
            version=10**6,
            whole=False,
            changed=[announce(1)],
            gone=[],
        ),
        "Succession": Succession(
            owner_incarnation=random_id(),
            successor="entry-0002",
            successor_incarnation=random_id(),
            successor_host=host(2),
            successor_port=7001,
        ),
        "MemberRecord": member(1),
        "Ping, empty": Ping(
            name="entry-0001",
            incarnation=random_id(),
            number=10**6,
            version=500_000,
            records=[],
            notes=[],
        ),
        "HandOver, 1 flow, no ticket": HandOver(
            owner_incarnation=random_id(),
            batch=1,
            flows=[flow_record(1, with_ticket=False)],
            last=False,
        ),
        "HandOver, 100 flows, tickets": HandOver(
            owner_incarnation=random_id(),
            batch=1,
            flows=[flow_record(n, with_ticket=True) for n in range(100)],
            last=False,
        ),
        "HandOver, 100 flows, no tickets": HandOver(
            owner_incarnation=random_id(),
            batch=1,
            flows=[flow_record(n, with_ticket=False) for n in range(100)],
            last=False,
        ),
        "RefusalBatch, 1": RefusalBatch(batch=1_000, records=[refusal(1)]),
        "RefusalBatch, 100": RefusalBatch(
            batch=1_000, records=[refusal(n) for n in range(100)]
        ),
        "RefusalAck": RefusalAck(batch=1_000),
        "ConfigurationAsk": ConfigurationRequest(
            name="entry-0001",
            incarnation=random_id(),
            zone="region-1-zone-1",
            applied_version=500_000,
        ),
        "ServiceEntry": service(1),
        "ConfigurationPush, 11 services": ConfigurationPush(
            configuration=configuration(11)
        ),
        "ConfigurationPush, 3100 services": ConfigurationPush(
            configuration=configuration(3_100)
        ),
    }
