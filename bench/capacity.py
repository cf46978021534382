"""bench.capacity: Growth of memory, message sizes and processor time with load.

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
#: Shortest processor time of one timed loop.
LOOP_S = 0.05
SERVICE = "svc-0001"
CALLER = Address(host="10.1.1.1", port=40_000)
PAGE_BYTES = 4_096


def resident_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def entry(upstreams):
    """Return an entry with connected upstreams of one service in its directory."""
    core = EntryCore(
        identity=Identity(
            entry_id="entry-0001",
            incarnation=samples.random_id(),
            zone="region-1-zone-1",
            address=Address(host="10.1.1.2", port=7001),
        ),
        sealer=samples.SEALER,
        limits=Limits(max_flows=10**6, max_answers=10**6, max_answer_bytes=10**9),
        rng=random.Random(1),
        wall_clock_ms=lambda: samples.NOW_MS,
        count=lambda name, number=1: None,
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
    open_action = next(
        action
        for action in core.from_caller(SERVICE, caller, open_message, now_ms=1)
        if type(action) is ToUpstream
    )
    accepted = FlowAccepted(
        flow_id=open_action.message.flow_id, outstanding=0, connections=1
    )
    return core.from_upstream(accepted, open_action.key, now_ms=1)[-1].message


# Memory, each in a process of its own


def build_flows(size):
    """Return an entry that owns flows without requests."""
    core = entry(17)
    for number in range(size):
        open_flow(core, number)
    return core


def build_ledger_entries(size):
    """Return an entry that keeps answers of 200 bytes, ten on each flow."""
    core = build_flows(size // 10)
    for flow in core.flows:
        ledger = core.owner.ledger(flow)
        for number in range(1, 11):
            ledger.forward(number, idempotent=False, upstream=flow.upstream)
            ledger.answer(number, samples.RNG.randbytes(200))
    return core


def build_upstreams(size):
    """Return a directory of announced upstreams."""
    directory = Directory(lease_ms=2_000)
    for number in range(size):
        announce = samples.announce(number, service_name=f"svc-{number // 17:04d}")
        directory.apply_announcement(decode(encode(announce)), now_ms=0)
    return directory


def build_services(size):
    """Return decoded configurations of a thousand services each."""
    wire = encode(samples.configuration(1_000))
    return [decode(wire) for _ in range(size // 1_000)]


def build_members(size):
    """Return decoded member records by name and incarnation."""
    received = (decode(encode(samples.member(number))) for number in range(size))
    return {f"{member.name}-{member.incarnation}": member for member in received}


def build_successions(size):
    """Return decoded successions by owner incarnation."""
    base = samples.samples()["Succession"]
    received = [
        decode(encode(base.replace(owner_incarnation=samples.random_id())))
        for _ in range(size)
    ]
    return {message.owner_incarnation: message for message in received}


BUILDERS = {
    "flow without requests": build_flows,
    "kept answer of 200 B, 1/10 flow": build_ledger_entries,
    "upstream in the directory": build_upstreams,
    "service in a configuration": build_services,
    "member record": build_members,
    "succession": build_successions,
}


def measured_bytes(name, size):
    """Return the memory of some items in bytes, measured in a fresh process."""
    command = [sys.executable, "-m", "bench.capacity", "hold", name, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return int(done.stdout)


def print_growth(name, size):
    """Print the memory growth from building items; return these to keep them."""
    if name == "process":
        print(resident_bytes())
        return None
    samples.samples()
    entry(1)
    before = resident_bytes()
    items = BUILDERS[name](size)
    print(resident_bytes() - before)
    return items


def memory_rows():
    """Yield the bytes per item at each size, and the slopes between the sizes."""
    for name in BUILDERS:
        rows = {size: measured_bytes(name, size) for size in SIZES}
        slopes = [
            (rows[high] - rows[low]) / (high - low)
            for low, high in ((SIZES[0], SIZES[1]), (SIZES[1], SIZES[2]))
        ]
        cells = [f"{rows[size] / size:.0f}" for size in SIZES]
        yield [name, *cells, *(f"{slope:.0f}" for slope in slopes)]


# Processor time


def microseconds(call):
    """Return the processor time of one call in microseconds, REPEATS times."""
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
    """Yield the size and the encode and decode time of each message."""
    for name, message in samples.samples().items():
        wire = encode(message)
        encode_us = microseconds(lambda message=message: encode(message))
        decode_us = microseconds(lambda wire=wire: decode(wire))
        yield [name, len(wire), spread(encode_us), spread(decode_us)]


def ticket_rows():
    """Yield the time to seal and to open a ticket."""
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
    """Yield the time to open a flow, by the number of upstreams."""
    for upstreams in (4, 7, 17, 24, 72, 1_000, 5_000):
        core = entry(upstreams)
        numbers = iter(range(10**9))

        def run_once(core=core, numbers=numbers):
            open_flow(core, next(numbers))

        yield ["open a flow", f"{upstreams} upstreams", spread(microseconds(run_once))]


def pending_rows():
    """Yield the time to open a flow, by the number of other pending opens."""
    for pending in (10, 1_000):
        core = entry(17)
        for number in range(pending):
            open_message = Open(
                service=SERVICE, nonce=10**12 + number, deadline_ms=3_000
            )
            core.from_caller(SERVICE, CALLER, encode(open_message), now_ms=1)
        numbers = iter(range(10**9))

        def run_once(core=core, numbers=numbers):
            open_flow(core, next(numbers))

        yield [
            "open a flow",
            f"{pending} waiting opens",
            spread(microseconds(run_once)),
        ]


def announce_rows():
    """Yield the time to apply an announcement, by the number of upstreams."""
    for upstreams in (11, 72, 1_000, 5_000):
        core = entry(upstreams)
        announce = core.directory.all()[0].announce

        def run_once(core=core, announce=announce):
            announce.sequence += 1
            core.apply_announce(announce, now_ms=1)

        yield ["announcement", f"{upstreams} upstreams", spread(microseconds(run_once))]


def choose_rows():
    """Yield the time to choose an upstream, by the number of eligible ones."""
    rng = random.Random(1)
    balancer = Balancer(zone="region-1-zone-1", own_flows=lambda key: 10)
    for upstreams in (4, 7, 17, 24, 72, 1_000):
        eligible = entry(upstreams).directory.eligible(SERVICE, now_ms=1)

        def run_once(eligible=eligible):
            balancer.choose(eligible, rng=rng, now_ms=10**6)

        yield ["choose", f"list of {upstreams}", spread(microseconds(run_once))]


def work_rows():
    """Yield the time of a request with its answer, and of a keep-alive."""
    core = entry(17)
    opened = open_flow(core, 1)
    numbers = iter(range(1, 10**9))

    def run_once():
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

    keep_alive = KeepAlive(
        service=SERVICE, flow_id=opened.flow_id, ticket=opened.ticket
    )
    wire = encode(keep_alive)
    yield ["request and its answer", "at the owner", spread(microseconds(run_once))]

    def send_keep_alive():
        core.from_caller(SERVICE, CALLER, wire, now_ms=1)

    yield ["keep-alive", "17 upstreams", spread(microseconds(send_keep_alive))]


def loss_rows():
    """Yield the time to handle a lost stream, by the number of owned flows."""
    for flows in (1_000, 32_000):
        core = build_flows(flows)
        key = core.directory.all()[0].key

        def run_once(core=core, key=key):
            core.stream_down(key, now_ms=1)

        yield ["a stream breaks", f"{flows} flows", spread(microseconds(run_once))]


def configuration_rows():
    """Yield the time to decode and apply a whole configuration."""
    core = entry(1)
    for services in (11, 3_100):
        wire = encode(samples.configuration(services))

        def run_once(wire=wire):
            core.apply_configuration(decode(wire))

        name = "decode and apply a configuration"
        yield [name, f"{services} services", spread(microseconds(run_once))]


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
    baseline = [measured_bytes("process", 0) for _ in range(REPEATS)]
    print(f"An entry's modules and the bench itself: {spread(baseline)} B resident")
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
        print_growth(sys.argv[2], int(sys.argv[3]))
    else:
        main()
