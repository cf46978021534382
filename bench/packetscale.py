"""bench.packetscale: How packets' costs grow with upstreams, routes and reports.

Run `.venv/bin/python -m bench.packetscale`. Memory by tracemalloc, slopes between
10,000 and 50,000 items; times are processor time, least of some runs.
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
    """Return upstreams of many services at addresses of their own."""
    return [
        state(
            n,
            service=f"service-{n % SERVICES}",
            host=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}",
        )
        for n in range(1, count + 1)
    ]


def pool_of(told):
    """Return a forwarder's pool."""
    pool = UpstreamPool(zone=ZONE, random=lambda: 0.5)
    pool.apply_states(told, 0, current=True)
    return pool


def routes_of(count):
    """Return a forwarder's routes."""
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
    """Return the slope of memory between two sizes."""
    held = []
    for size in sizes:
        tracemalloc.start()
        kept = make(size)
        held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (held[1] - held[0]) / (sizes[1] - sizes[0])


def least_us(work, count):
    """Return the least processor time of one call."""
    times = []
    for _ in range(RUNS):
        began_s = time.process_time()
        for _ in range(count):
            work()
        times.append(time.process_time() - began_s)
    return 1e6 * min(times) / count


def main():
    """Print the table."""
    told = {size: states(size) for size in SIZES}
    body = json.dumps(REPORT).encode()
    table = UpstreamTable(own=1, report_ms=1_200)
    for one in told[SIZES[1]]:
        table.apply_state(one, 0)
    sequence = iter(range(2, 10**9))

    def report():
        table.apply_state(state(1, sequence=next(sequence)), 0)

    beat = UpstreamHeartbeat(upstream_id="i-47e88f0189", born_ms=2**40, sequence=1_000)
    beats = DirectoryBatch(sender=2**62, batch_id=0, states=[], beats=[beat] * 100)
    push = UpstreamsPush(whole=False, states=[state(1, home=2**62)])
    large = pool_of(told[SIZES[1]])
    change = [iter(range(10, 10**9))]

    def one_change():
        large.apply_states(
            [state(1, status="ready", slots=next(change[0]))], 0, current=True
        )

    rows = [
        (
            "upstream at a forwarder, bytes",
            bytes_each(lambda n: pool_of(told[n]), SIZES),
        ),
        ("route at a forwarder, bytes", bytes_each(routes_of, (1_000, 3_100))),
        ("push of one upstream, bytes", len(encode(push))),
        ("beat between replicas, bytes", len(encode(beats)) / 100),
        (
            "report read, us",
            least_us(lambda: decode_report("i-1", body, home=1), 2_000),
        ),
        ("report taken, 50,000 upstreams, us", least_us(report, 2_000)),
        (
            "change taken by a forwarder, 50,000 upstreams, us",
            least_us(one_change, 200),
        ),
    ]
    print("| what | figure |")
    print("| --- | --- |")
    for name, figure in rows:
        print(f"| {name} | {figure:.0f} |")


if __name__ == "__main__":
    main()
