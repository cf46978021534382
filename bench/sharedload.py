"""bench.sharedload: Bytes and processor time of the load that forwarders share.

Run `.venv/bin/python -m bench.sharedload`. Forwarders send 6 requests a second each to
upstreams of two slots, one for every two forwarders in services of 20; an eighth of the
upstreams of one service is slow, and one of its zones is crowded. `report` is one
forwarder's report as it is now and as `AnswerCounts`, twice a second. `sums` is what a
replica sends to each other one, `push` what it sends to each forwarder that reports to
it, both twice a second and only under load. Times are the processor time of a
replica's interval in calm operation and under load, and of a forwarder for one push
and one choice without and with figures.
"""

import argparse
import functools
import random
import statistics
import time

from knapweeddeal.answertracker import RequestTotal
from knapweeddeal.loadsums import LoadSums
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.loads import RequestCounts
from knapweeddeal.messages.packets import AnswerCounts
from knapweeddeal.packetupstreams import UpstreamPool
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import state

SIZES = (133, 300, 5_900)
REPLICAS = 6
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE_SIZE = 20
REQUESTS_PER_S = 6
SERVICE_MS = 33
#: Forwarders of a replica whose requests all go to one service under load.
BUSY_FORWARDERS = 20
ROUNDS = 6
CHOICES = 3_000


def make_states(forwarders):
    """Return the states of the upstreams, in services of `SERVICE_SIZE`."""
    return [
        state(
            number,
            service=f"service-{number // SERVICE_SIZE}",
            zone=ZONES[number % len(ZONES)],
            host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
            home=1,
        )
        for number in range(max(forwarders // 2, SERVICE_SIZE))
    ]


def make_report(rng, states, *, loaded):
    """Return a forwarder's totals of half a second."""
    totals = {}
    for _ in range(REQUESTS_PER_S // 2):
        chosen = rng.choice(states)
        number = int(chosen.upstream_id[2:], 16)
        response_ms = SERVICE_MS
        if loaded and number < SERVICE_SIZE:
            response_ms *= 40 if number % 8 == 0 else 12
        totals[chosen.upstream_id] = RequestTotal(
            answered=1, rejected=0, response_ms=response_ms, timed=1, unanswered=0
        )
    return totals


def spent_us(action):
    """Return the processor time of an action in microseconds, and its result."""
    began_s = time.process_time()
    result = action()
    return 1e6 * (time.process_time() - began_s), result


def run_replica(forwarders, *, loaded):
    """Return time of an interval, sums and push of a replica, and report sizes."""
    rng = random.Random(7)
    states = make_states(forwarders)
    busy = [one for one in states if one.service == "service-0"] if loaded else states
    table = UpstreamTable(own_identity=1, report_ms=1_000)
    for one in states:
        table.apply_state(one, 0)
    loads = LoadSums(table=table, own_identity=1)
    times, before, after, sums, push = [], [], [], None, None
    for tick in range(1, ROUNDS + 1):
        for index in range(forwarders // REPLICAS):
            # Two in a hundred forwarders' requests crowd the first service.
            chosen = (
                busy if loaded and index % 50 < 40 and forwarders < 1_000 else states
            )
            report = make_report(rng, chosen, loaded=loaded)
            counts = {name: (one.answered, 0) for name, one in report.items()}
            before.append(len(encode(AnswerCounts.of(sender=0, counts=counts))))
            data = encode(RequestCounts.of(report))
            after.append(len(data))
            loads.add_counts(ZONES[0], decode(data).counts)
        now_ms = 500 * tick
        spent, sums = spent_us(functools.partial(loads.advance, now_ms))
        push_spent, push = spent_us(functools.partial(loads.push, now_ms))
        times.append(spent + push_spent)
    sizes = [len(encode(one)) if one is not None else 0 for one in (sums, push)]
    return {
        "states": states,
        "push": push,
        "tick_us": statistics.median(times),
        "report": statistics.mean(after),
        "before": statistics.mean(before),
        "sums_bytes": sizes[0],
        "push_bytes": sizes[1],
    }


def run_forwarder(states, push):
    """Return time of a push, and of a choice without and with figures."""
    service = "service-0"
    pool = UpstreamPool(zone=ZONES[0], random=random.Random(1).random)
    pool.apply_states(states, 0, current=True)
    choose = lambda: [pool.choose(service, 0) for _ in range(CHOICES)]  # noqa: E731
    without, _ = spent_us(choose)
    if push is None:
        return 0.0, without / CHOICES, without / CHOICES
    data = encode(push)
    apply = lambda: [  # noqa: E731
        pool.shared_loads.apply(decode(data), 0) for _ in range(100)
    ]
    apply()
    push_us, _ = spent_us(apply)
    shared, _ = spent_us(choose)
    return push_us / 100, without / CHOICES, shared / CHOICES


def main():
    """Print a row for each number of forwarders, calm and under load."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    header = [
        "forwarders",
        "load",
        "report, bytes (before)",
        "sums, bytes",
        "push, bytes",
        "interval, us",
        "push, us",
        "choice, us (without figures)",
    ]
    print(f"| {' | '.join(header)} |")
    print("| --- " * len(header) + "|")
    for size in SIZES:
        for loaded in (False, True):
            row = run_replica(size, loaded=loaded)
            push_us, without, shared = run_forwarder(row["states"], row["push"])
            cells = [
                str(size),
                "crowded, slow" if loaded else "calm",
                f"{row['report']:.1f} ({row['before']:.1f})",
                str(row["sums_bytes"]),
                str(row["push_bytes"]),
                f"{row['tick_us']:.0f}",
                f"{push_us:.0f}",
                f"{shared:.1f} ({without:.1f})",
            ]
            print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
