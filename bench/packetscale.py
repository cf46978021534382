"""bench.packetscale: Growth of the packet path's costs with upstreams and routes.

Run `.venv/bin/python -m bench.packetscale`. Memory is measured by tracemalloc, as
slopes between two sizes: 10,000 and 50,000 upstreams, 1,000 and 3,100 routes. Times
are processor time, the least of some runs.
"""

import json
import time
import tracemalloc

from knapweeddeal.messages.base import encode
from knapweeddeal.messages.packets import (
    DirectoryBatch,
    UpstreamHeartbeat,
    UpstreamsPush,
)
from knapweeddeal.packetroutes import RouteTable
from knapweeddeal.packetupstreams import UpstreamPool
from knapweeddeal.platform.reports import decode_report
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import ZONE, route, routes_push, state
from tests.test_platform import REPORT

SIZES = (10_000, 50_000)
RUNS = 5
SERVICES = 3_100


def states(count):
    """Return upstream states of many services, each with its own address."""
    return [
        state(
            n,
            service=f"service-{n % SERVICES}",
            host=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}",
        )
        for n in range(1, count + 1)
    ]


def pool_of(upstream_states):
    """Return a forwarder's pool of these upstreams."""
    pool = UpstreamPool(zone=ZONE, random=lambda: 0.5)
    pool.apply_states(upstream_states, 0, current=True)
    return pool


def routes_of(count):
    """Return a forwarder's table of some routes."""
    table = RouteTable()
    table.apply(
        routes_push(
            *(
                route(f"service-{n}", host=f"198.18.{n >> 8}.{n & 255}")
                for n in range(count)
            )
        )
    )
    return table


def bytes_each(make, sizes):
    """Return the bytes per item, as the slope of memory between two sizes."""
    traced_bytes = []
    for size in sizes:
        tracemalloc.start()
        kept = make(size)
        traced_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (traced_bytes[1] - traced_bytes[0]) / (sizes[1] - sizes[0])


def least_us(work, count):
    """Return the least processor time of one call in microseconds."""
    times = []
    for _ in range(RUNS):
        began_s = time.process_time()
        for _ in range(count):
            work()
        times.append(time.process_time() - began_s)
    return 1e6 * min(times) / count


def main():
    """Print the table."""
    states_by_size = {size: states(size) for size in SIZES}
    body = json.dumps(REPORT).encode()
    table = UpstreamTable(own_identity=1, report_ms=1_200)
    for upstream_state in states_by_size[SIZES[1]]:
        table.apply_state(upstream_state, 0)
    sequence = iter(range(2, 10**9))

    def apply_report():
        table.apply_state(state(1, sequence=next(sequence)), 0)

    heartbeat = UpstreamHeartbeat(
        upstream_id="i-47e88f0189", born_ms=2**40, sequence=1_000
    )
    heartbeats = DirectoryBatch(
        sender=2**62, batch_id=0, states=[], beats=[heartbeat] * 100
    )
    push = UpstreamsPush(whole=False, states=[state(1, home=2**62)])
    large_pool = pool_of(states_by_size[SIZES[1]])
    slot_counts = [iter(range(10, 10**9))]

    def apply_change():
        large_pool.apply_states(
            [state(1, status="ready", slots=next(slot_counts[0]))], 0, current=True
        )

    rows = [
        (
            "upstream at a forwarder, bytes",
            bytes_each(lambda n: pool_of(states_by_size[n]), SIZES),
        ),
        ("route at a forwarder, bytes", bytes_each(routes_of, (1_000, 3_100))),
        ("push of one upstream, bytes", len(encode(push))),
        ("beat between replicas, bytes", len(encode(heartbeats)) / 100),
        (
            "report read, us",
            least_us(lambda: decode_report("i-1", body, home=1), 2_000),
        ),
        ("report taken, 50,000 upstreams, us", least_us(apply_report, 2_000)),
        (
            "change taken by a forwarder, 50,000 upstreams, us",
            least_us(apply_change, 200),
        ),
    ]
    print("| what | figure |")
    print("| --- | --- |")
    for name, figure in rows:
        print(f"| {name} | {figure:.0f} |")


if __name__ == "__main__":
    main()
