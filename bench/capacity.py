"""bench.capacity: Slopes of memory, message size and processor time.

Run as `python -m bench.capacity`. Each memory figure comes from a fresh process.
"""

import random
import subprocess
import sys
import time

from bench import samples
from bench.tables import print_head, print_table, spread
from knapweeddeal.actions import Address, ToUpstream, UpstreamKey
from knapweeddeal.balance import Balancer
from knapweeddeal.directory import Directory
from knapweeddeal.entrycore import EntryCore, Identity
from knapweeddeal.entryprocess import run as _run  # noqa: F401 - for its memory
from knapweeddeal.limits import Limits
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.caller import KeepAlive, Open, Request
from knapweeddeal.messages.upstream import FlowAccepted, WorkAnswer

SIZES = (10_000, 50_000, 200_000)
REPEATS = 5
#: Shortest time of one timed loop.
LOOP_S = 0.05
SERVICE = "svc-0001"
CALLER = Address(host="10.1.1.1", port=40_000)
PAGE_BYTES = 4_096


def resident_bytes():
    """Return the memory that this process holds."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def entry(upstreams):
    """Return an entry that knows so many upstreams of one service."""
    core = EntryCore(
        identity=Identity(
            entry_id="entry-0001",
            incarnation=samples.big(),
            zone="region-1-zone-1",
            address=Address(host="10.1.1.2", port=7001),
        ),
        sealer=samples.SEALER,
        limits=Limits(max_flows=10**6, max_answers=10**6, max_answer_bytes=10**9),
        rng=random.Random(1),
        wall_clock_ms=lambda: samples.NOW_MS,
        counters=lambda name, number=1: None,
    )
    core.apply_configuration(samples.configuration(11))
    for number in range(upstreams):
        announce = samples.announce(number)
        core.directory.apply_announcement(announce, now_ms=0)
        core.stream_up(
            UpstreamKey(
                service=SERVICE,
                upstream_id=announce.upstream_id,
                incarnation=announce.incarnation,
            )
        )
    return core


def open_flow(core, number):
    """Open one flow and return the answer to its caller."""
    open_message = encode(Open(service=SERVICE, nonce=number, deadline_ms=3_000))
    caller = Address(host=samples.host(number), port=40_000 + number % 9_000)
    asked = next(
        action
        for action in core.from_caller(SERVICE, caller, open_message, now_ms=1)
        if type(action) is ToUpstream
    )
    accepted = FlowAccepted(flow_id=asked.message.flow_id, outstanding=0, connections=1)
    return core.from_upstream(accepted, asked.key, now_ms=1)[-1].message


# Memory, each in a process of its own


def hold_flows(size):
    """Hold flows without requests."""
    core = entry(17)
    for number in range(size):
        open_flow(core, number)
    return core


def hold_ledger_entries(size):
    """Hold answered requests with answers of 200 bytes, ten on a flow."""
    core = hold_flows(size // 10)
    for flow in core.flows:
        ledger = core.owner.ledger(flow)
        for number in range(1, 11):
            ledger.forward(number, idempotent=False, upstream=flow.upstream)
            ledger.answer(number, samples.RNG.randbytes(200))
    return core


def hold_upstreams(size):
    """Hold announced upstreams."""
    directory = Directory(lease_ms=2_000)
    for number in range(size):
        announce = samples.announce(number, service_name=f"svc-{number // 17:04d}")
        directory.apply_announcement(decode(encode(announce)), now_ms=0)
    return directory


def hold_services(size):
    """Hold received configurations of a thousand services each."""
    wire = encode(samples.configuration(1_000))
    return [decode(wire) for _ in range(size // 1_000)]


def hold_members(size):
    """Hold received member records by name."""
    received = (decode(encode(samples.member(number))) for number in range(size))
    return {f"{member.name}-{member.incarnation}": member for member in received}


def hold_successions(size):
    """Hold successions as a map by owner incarnation."""
    base = samples.samples()["Succession"]
    received = [
        decode(encode(base.replace(owner_incarnation=samples.big())))
        for _ in range(size)
    ]
    return {message.owner_incarnation: message for message in received}


HOLDERS = {
    "flow without requests": hold_flows,
    "kept answer of 200 B, 1/10 flow": hold_ledger_entries,
    "upstream in the directory": hold_upstreams,
    "service in a configuration": hold_services,
    "member record": hold_members,
    "succession": hold_successions,
}


def held_bytes(name, size):
    """Return what holding costs, measured in a fresh process."""
    command = [sys.executable, "-m", "bench.capacity", "hold", name, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return int(done.stdout)


def print_held(name, size):
    """Print the growth of this process."""
    if name == "process":
        print(resident_bytes())
        return None
    samples.samples()
    entry(1)
    before = resident_bytes()
    held = HOLDERS[name](size)
    print(resident_bytes() - before)
    return held


def memory_rows():
    """Return bytes an item by size, and the slope between neighbouring sizes."""
    for name in HOLDERS:
        rows = {size: held_bytes(name, size) for size in SIZES}
        slopes = [
            (rows[high] - rows[low]) / (high - low)
            for low, high in ((SIZES[0], SIZES[1]), (SIZES[1], SIZES[2]))
        ]
        cells = [f"{rows[size] / size:.0f}" for size in SIZES]
        yield [name, *cells, *(f"{slope:.0f}" for slope in slopes)]


# Processor time


def microseconds(call):
    """Return the processor time of one call, REPEATS times."""
    results = []
    count = 1
    while len(results) < REPEATS:
        started_s = time.process_time()
        for _ in range(count):
            call()
        spent_s = time.process_time() - started_s
        if spent_s < LOOP_S:
            count *= 2
            continue
        results.append(spent_s / count * 1e6)
    return results


def message_rows():
    """Return size and codec time of each message."""
    for name, message in samples.samples().items():
        wire = encode(message)
        packing = microseconds(lambda message=message: encode(message))
        unpacking = microseconds(lambda wire=wire: decode(wire))
        yield [name, len(wire), spread(packing), spread(unpacking)]


def ticket_rows():
    """Return the time of sealing and opening a ticket."""
    ticket = samples.ticket(1)
    sealed = samples.SEALER.seal(ticket)
    yield [
        "seal a ticket",
        f"{len(sealed)} B",
        spread(microseconds(lambda: samples.SEALER.seal(ticket))),
    ]
    yield [
        "open a ticket",
        f"{len(sealed)} B",
        spread(
            microseconds(lambda: samples.SEALER.open(sealed, now_ms=samples.NOW_MS))
        ),
    ]


def open_rows():
    """Return the time of a whole open by the number of known upstreams."""
    for upstreams in (4, 7, 17, 24, 72, 1_000, 5_000):
        core = entry(upstreams)
        numbers = iter(range(10**9))

        def one(core=core, numbers=numbers):
            open_flow(core, next(numbers))

        yield ["open a flow", f"{upstreams} upstreams", spread(microseconds(one))]


def pending_rows():
    """Return the time of an open beside others that wait."""
    for pending in (10, 1_000):
        core = entry(17)
        for number in range(pending):
            open_message = Open(
                service=SERVICE, nonce=10**12 + number, deadline_ms=3_000
            )
            core.from_caller(SERVICE, CALLER, encode(open_message), now_ms=1)
        numbers = iter(range(10**9))

        def one(core=core, numbers=numbers):
            open_flow(core, next(numbers))

        yield ["open a flow", f"{pending} waiting opens", spread(microseconds(one))]


def announce_rows():
    """Return the time of an announcement by the number of known upstreams."""
    for upstreams in (11, 72, 1_000, 5_000):
        core = entry(upstreams)
        announce = core.directory.all()[0].announce

        def one(core=core, announce=announce):
            announce.sequence += 1
            core.apply_announce(announce, now_ms=1)

        yield ["announcement", f"{upstreams} upstreams", spread(microseconds(one))]


def choose_rows():
    """Return the time of a choice by the length of the list."""
    rng = random.Random(1)
    balancer = Balancer(zone="region-1-zone-1", own_flows=lambda key: 10)
    for upstreams in (4, 7, 17, 24, 72, 1_000):
        eligible = entry(upstreams).directory.eligible(SERVICE, now_ms=1)

        def one(eligible=eligible):
            balancer.choose(eligible, rng=rng, now_ms=10**6)

        yield ["choose", f"list of {upstreams}", spread(microseconds(one))]


def work_rows():
    """Return the time of a request with its answer, and of a keep-alive."""
    core = entry(17)
    opened = open_flow(core, 1)
    numbers = iter(range(1, 10**9))

    def one():
        number = next(numbers)
        request = Request(
            service=SERVICE,
            flow_id=opened.flow_id,
            ticket=opened.ticket,
            number=number,
            floor=number,
            attempt=1,
            idempotent=False,
            deadline_ms=10_000,
            body=bytes(200),
        )
        actions = core.from_caller(SERVICE, CALLER, encode(request), now_ms=1)
        sent = next(action for action in actions if type(action) is ToUpstream)
        answer = WorkAnswer(
            flow_id=opened.flow_id,
            owner_incarnation=sent.message.owner_incarnation,
            number=number,
            body=bytes(200),
            outstanding=1,
            connections=1,
        )
        core.from_upstream(answer, sent.key, now_ms=1)

    keep = KeepAlive(service=SERVICE, flow_id=opened.flow_id, ticket=opened.ticket)
    wire = encode(keep)
    yield ["request and its answer", "at the owner", spread(microseconds(one))]

    def touch():
        core.from_caller(SERVICE, CALLER, wire, now_ms=1)

    yield ["keep-alive", "17 upstreams", spread(microseconds(touch))]


def loss_rows():
    """Return the time of a broken stream by the number of flows held."""
    for flows in (1_000, 32_000):
        core = hold_flows(flows)
        key = core.directory.all()[0].key

        def one(core=core, key=key):
            core.stream_down(key, now_ms=1)

        yield ["a stream breaks", f"{flows} flows", spread(microseconds(one))]


def configuration_rows():
    """Return the time of taking a whole configuration."""
    core = entry(1)
    for services in (11, 3_100):
        wire = encode(samples.configuration(services))

        def one(wire=wire):
            core.apply_configuration(decode(wire))

        name = "decode and apply a configuration"
        yield [name, f"{services} services", spread(microseconds(one))]


DECISIONS = (
    ticket_rows,
    open_rows,
    pending_rows,
    choose_rows,
    announce_rows,
    work_rows,
    loss_rows,
    configuration_rows,
)


def main():
    """Print all tables."""
    print_head("python -m bench.capacity")
    print_table(
        f"Messages: bytes, and microseconds of one call, median (range) of {REPEATS}",
        ["message", "bytes", "encode us", "decode us"],
        message_rows(),
    )
    column_bytes = len(samples.refusals_by_column(100))
    print(f"\nTrial: 100 refusals by column: {column_bytes} B")
    itself = [held_bytes("process", 0) for _ in range(REPEATS)]
    print(f"An entry's modules and the bench itself: {spread(itself)} B resident")
    print_table(
        f"Decisions: microseconds of one call, median (range) of {REPEATS}",
        ["decision", "size", "us"],
        [row for rows in DECISIONS for row in rows()],
    )
    print_table(
        "Memory: resident bytes an item, each cell a fresh process",
        ["item", *(f"at {size}" for size in SIZES), "slope low", "slope high"],
        memory_rows(),
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["hold"]:
        print_held(sys.argv[2], int(sys.argv[3]))
    else:
        main()
