"""bench.egress: Waits behind a narrow link with the egress queue, a FIFO and neither.

Run `.venv/bin/python -m bench.egress`. Callers upload 40,000 bytes each through one
forwarder with a link of 1.4 Mbit/s while others send short requests; the modelled link
queues some bytes and drops what doesn't fit. Nothing is random, so one run is enough.
"""

import argparse

from knapweeddeal.egressqueue import MIN_BURST_BYTES, PACED_SHARE, EgressQueue
from knapweeddeal.metrics import Metrics
from knapweeddeal.tokenbucket import TokenBucket
from tests.egressreplay import Caller, FifoQueue, Link, Replay, UnpacedQueue
from tests.packetfakes import QuietLog

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


if __name__ == "__main__":
    main()
