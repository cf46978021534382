"""bench.egress: Waits behind a narrow link with the egress queue, a FIFO and neither.

Run `.venv/bin/python -m bench.egress`. Callers upload 40,000 bytes each through one
forwarder with a link of 1.4 Mbit/s while others send short requests; the modelled link
queues some bytes and drops what doesn't fit. Nothing is random, so one run is enough.
"""

import argparse

from knapweeddeal.egressqueue import MIN_BURST_BYTES, PACED_SHARE, EgressQueue
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetroutes import RouteTable
from knapweeddeal.tokenbucket import TokenBucket
from tests.admissionreplay import terms
from tests.egressreplay import Caller, FifoQueue, Link, Replay, UnpacedQueue
from tests.packetfakes import QuietLog, route, routes_push

MBPS = 1.4
LINK_QUEUE_BYTES = 8_000
UPLOAD_BYTES, SHORT_BYTES = 40_000, 900
PLAYED_MS = 20_000
SHORT_REQUESTS = 10
UPLOADS = (1, 2, 4, 12)


def fair_queue():
    """Return the product's egress queue."""
    return EgressQueue(metrics=Metrics(), log=QuietLog(), link_mbps=MBPS)


def fifo_queue():
    """Return a FIFO queue of the same rate."""
    rate = PACED_SHARE * MBPS * 125
    return FifoQueue(bucket=TokenBucket(rate=rate, burst_bytes=MIN_BURST_BYTES))


QUEUES = (("none", UnpacedQueue), ("FIFO", fifo_queue), ("egress queue", fair_queue))


def play(make_queue, uploads):
    """Return the longest waits of uploads and of short requests, and drops."""
    link = Link(mbps=MBPS, queue_bytes=LINK_QUEUE_BYTES)
    long = [Caller(port=n + 1, size_bytes=UPLOAD_BYTES) for n in range(uploads)]
    short = [
        Caller(port=100 + n, size_bytes=SHORT_BYTES, start_ms=30 + 20 * n)
        for n in range(SHORT_REQUESTS)
    ]
    Replay(queue=make_queue(), link=link, callers=[*long, *short]).run(PLAYED_MS)
    return longest(long), longest(short), link.dropped


def play_priorities(priorities, uploads):
    """Return the longest waits of uploads and of short requests by priority.

    Half of the callers use a route of the first priority, half one of the second.
    """
    ports = (501, 502)
    routes = [
        route(port=port, terms=terms("single", priority, 0, 0))
        for port, priority in zip(ports, priorities, strict=True)
    ]
    table, queue = RouteTable(), fair_queue()
    table.apply(routes_push(*routes))
    queue.set_routes(table)
    callers = {
        (kind, to): [
            Caller(port=base + n + 1, size_bytes=size, start_ms=n * gap_ms, to=to)
            for n in range(count)
        ]
        for to in ports
        for kind, base, size, count, gap_ms in (
            ("upload", 0, UPLOAD_BYTES, uploads // 2, 0),
            ("short", 500, SHORT_BYTES, SHORT_REQUESTS // 2, 20),
        )
    }
    link = Link(mbps=MBPS, queue_bytes=LINK_QUEUE_BYTES)
    everyone = [caller for group in callers.values() for caller in group]
    Replay(queue=queue, link=link, callers=everyone).run(PLAYED_MS)
    return [longest(callers[k, to]) for to in ports for k in ("upload", "short")]


def longest(callers):
    """Return the longest wait as text."""
    waits_ms = [caller.wait_ms for caller in callers]
    return f"over {PLAYED_MS}" if None in waits_ms else f"{max(waits_ms)}"


def main():
    """Print a row for each queue and number of uploads."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| uploads | queue | upload, ms | short request, ms | dropped in the link |")
    print("| --- | --- | --- | --- | --- |")
    for uploads in UPLOADS:
        for name, make_queue in QUEUES:
            cells = (uploads, name, *play(make_queue, uploads))
            print(f"| {' | '.join(map(str, cells))} |")
    print("\n| uploads | priorities | upload, ms | short | upload, 2nd | short, 2nd |")
    print("| --- | --- | --- | --- | --- | --- |")
    for uploads in UPLOADS[1:]:
        for priorities in ((1, 1), (1, 2)):
            cells = (uploads, priorities, *play_priorities(priorities, uploads))
            print(f"| {' | '.join(map(str, cells))} |")


if __name__ == "__main__":
    main()
