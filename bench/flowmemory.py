"""bench.flowmemory: Memory of an entry per flow and per ledger entry.

Run `.venv/bin/python -m bench.flowmemory`. Each size is measured in a process of
its own, by its resident memory; slopes are between the smallest and largest size.
"""

import argparse
import gc
import json
import os
import subprocess
import sys

from knapweeddeal.actions import Address
from knapweeddeal.messages import encode
from knapweeddeal.messages.caller import Open
from knapweeddeal.messages.upstream import FlowAccepted
from tests.entrycluster import SERVICE, EntryCluster

SIZES = (10_000, 50_000, 200_000)
ANSWER = b"x" * 64
MAX_FLOWS = 1_000_000


def resident_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def open_flows(cluster, count):
    """Open flows at an entry, each of them accepted by an upstream."""
    core = cluster.entries["a"]
    upstream = cluster.key("u1")
    message = Open(service=SERVICE, nonce=0, deadline_ms=1_000)
    for number in range(count):
        caller = Address(
            host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", port=1024
        )
        data = encode(message.replace(nonce=number))
        (open_action,) = core.from_caller(SERVICE, caller, data, now_ms=cluster.now_ms)
        accepted = FlowAccepted(
            flow_id=open_action.message.flow_id, outstanding=0, connections=0
        )
        core.from_upstream(accepted, upstream, now_ms=cluster.now_ms)


def answer_requests(cluster):
    """Record one answered request in the ledger of each flow."""
    owner = cluster.entries["a"].owner
    for flow in owner.flows:
        ledger = owner.ledger(flow)
        ledger.forward(1, idempotent=False, upstream=flow.upstream)
        ledger.answer(1, bytes(ANSWER))


def measure(count):
    """Return the bytes that flows take, and that their ledger entries add."""
    cluster = EntryCluster(
        entries=("a",),
        max_flows=MAX_FLOWS,
        max_answers=MAX_FLOWS,
        max_answer_bytes=1 << 30,
    )
    gc.collect()
    empty = resident_bytes()
    open_flows(cluster, count)
    gc.collect()
    flows = resident_bytes()
    answer_requests(cluster)
    gc.collect()
    return {
        "flows": count,
        "flow_bytes": flows - empty,
        "ledger_bytes": resident_bytes() - flows,
    }


def slope(rows, name):
    """Return the bytes per item, between the smallest and the largest size."""
    first, last = rows[0], rows[-1]
    return round((last[name] - first[name]) / (last["flows"] - first["flows"]), 1)


def main():
    """Measure every size in a fresh process and print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    if options.count:
        print(json.dumps(measure(options.count)))
        return
    for run in range(options.runs):
        rows = [_in_process(size) for size in SIZES]
        for row in rows:
            print(json.dumps({"run": run + 1, **row}))
        slopes = {name: slope(rows, name) for name in ("flow_bytes", "ledger_bytes")}
        print(json.dumps({"run": run + 1, "slopes": slopes}), flush=True)


def _in_process(count):
    done = subprocess.run(
        [sys.executable, "-m", "bench.flowmemory", "--count", str(count)],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


if __name__ == "__main__":
    main()
