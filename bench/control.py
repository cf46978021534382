"""bench.control: Confirm latency, failover and restart of control replicas."""

import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

import curio

from bench.tables import print_head, print_table, spread
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensuslog import (
    is_command,
    pack_command,
    pack_noop,
    unpack_command,
)
from knapweeddeal.controlclient import request_one
from knapweeddeal.errors import NoQuorumError, NotLeaderError, UnreachableError
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import (
    AppendAnswer,
    AppendRequest,
    ConfigurationPush,
    LogRecord,
)
from knapweeddeal.messages.operator import (
    ConfirmRequest,
    IntentStep,
    PlanRequest,
    StatusRequest,
)
from knapweeddeal.messages.replication import ConfirmRecord, PlanRecord, SnapshotFile
from knapweeddeal.storage import DataFolder
from knapweeddeal.stream import connect
from tests.processes import ControlProcesses

#: Confirms in one round, and rounds.
ROUND_CONFIRMS = 300
ROUNDS = 3
#: Leaders that are stopped one after another.
FAILOVERS = 10
#: Numbers of changes in the log before a restart.
CHANGES = (300, 1_000, 14_000)
#: Services expected after two years.
SERVICES = 3_100
IDLE_S = 5
LEADER_TIMEOUT_S = 20
PLAN_LIFE_MS = 600_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def step(number):
    """Return a step that creates a service, or changes its address in later passes."""
    pass_number, offset = divmod(number, SERVICES)
    host = f"10.{pass_number}.{offset >> 8}.{offset & 255}"
    return IntentStep(
        action="change-service" if pass_number else "create-service",
        service=f"service-{offset}",
        host=host,
        port=443,
        upstream_id="",
    )


def percentile(values, fraction):
    """Return a percentile, given as a fraction, of values in any order."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


async def confirm_many(address, start, count):
    """Plan and confirm on one stream; return the confirm times in milliseconds."""
    stream = await connect(address, timeout_ms=1_000)
    spent_ms = []
    for number in range(start, start + count):
        await stream.send(
            PlanRequest(request_id=f"p{number}", operator="ana", steps=[step(number)])
        )
        plan = await stream.receive()
        began_s = time.perf_counter()
        await stream.send(
            ConfirmRequest(
                request_id=f"c{number}", operator="ana", plan_id=plan.plan_id
            )
        )
        await stream.receive()
        spent_ms.append((time.perf_counter() - began_s) * 1000)
    await stream.close()
    return spent_ms


def confirm_latency():
    """Measure the confirm latency with 3 and 5 replicas."""
    rows = []
    for count in (3, 5):
        group = ControlProcesses(count=count, timing={"election_ms": 500})
        try:
            leader = group.wait_for_leader().leader
            rounds = [
                curio.run(
                    confirm_many,
                    group.addresses[leader],
                    round_number * ROUND_CONFIRMS,
                    ROUND_CONFIRMS,
                )
                for round_number in range(ROUNDS)
            ]
        finally:
            group.close()
        percentiles = [
            spread([percentile(values, fraction) for values in rounds])
            for fraction in (0.5, 0.99, 1.0)
        ]
        rows.append([count, *percentiles])
    print_table(
        f"confirm, ms, median of {ROUNDS} rounds of {ROUND_CONFIRMS} (least to most)",
        ["replicas", "p50", "p99", "longest"],
        rows,
    )


async def wait_for_confirm(addresses, number):
    """Return the milliseconds until a new leader commits a plan."""
    began_s = time.perf_counter()
    request = PlanRequest(request_id=f"f{number}", operator="ana", steps=[step(number)])
    while time.perf_counter() - began_s < LEADER_TIMEOUT_S:
        for address in addresses:
            try:
                await request_one(address, request, timeout_ms=2_000)
            except (NoQuorumError, NotLeaderError, UnreachableError):
                continue
            return (time.perf_counter() - began_s) * 1000
        await curio.sleep(0.005)
    raise SystemExit(f"no leader committed a plan within {LEADER_TIMEOUT_S} s")


def failover_time():
    """Measure the unavailability after a crash and a planned stop of the leader."""
    rows = []
    for name in ("crash", "planned stop"):
        group = ControlProcesses(count=3, timing={"election_ms": 500})
        spent_ms = []
        try:
            for number in range(FAILOVERS):
                leader = group.wait_for_leader().leader
                remaining = [a for n, a in group.addresses.items() if n != leader]
                daemon = group.daemons[leader]
                daemon.kill() if name == "crash" else daemon.stop()
                spent_ms.append(curio.run(wait_for_confirm, remaining, number))
                daemon.start()
                time.sleep(1)
        finally:
            group.close()
        rows.append([name, FAILOVERS, spread(spent_ms)])
    print_table(
        "time until a command is committed again, ms, election_ms 500",
        ["leader's end", "trials", "median (least to most)"],
        rows,
    )


def records_of(changes):
    """Return the log of some changes, each one planned and confirmed."""
    records = [LogRecord(index=1, term=1, command=pack_noop())]
    for number in range(changes):
        plan = PlanRecord(
            operator="ana",
            request_id=f"p{number}",
            steps=[step(number)],
            upstreams=[],
            zones=[],
            flows=0,
            planned_ms=number,
            life_ms=PLAN_LIFE_MS,
        )
        index = records[-1].index + 1
        confirm = ConfirmRecord(
            operator="ana",
            request_id=f"c{number}",
            plan_id=f"plan-{index}",
            confirmed_ms=number,
        )
        for record in (plan, confirm):
            command = pack_command(encode(record))
            index = records[-1].index + 1
            records.append(LogRecord(index=index, term=1, command=command))
    return records


def replay(state, records):
    """Apply the commands of a log."""
    for record in records:
        if is_command(record):
            state.apply(record.index, decode(unpack_command(record)))


def restart_time():
    """Measure opening and applying a data folder, without and with a snapshot."""
    rows = []
    for changes in CHANGES:
        records = records_of(changes)
        path = Path(tempfile.mkdtemp(prefix="restart-"))
        try:
            folder = DataFolder(path=path, new_identity=lambda: 1)
            folder.append(records, commit_index=records[-1].index)
            folder.close()
            log_only_s, state = timed_open(path)
            folder = DataFolder(path=path, new_identity=lambda: 1)
            snapshot = SnapshotFile(
                last_index=records[-1].index,
                last_term=1,
                replicas=[],
                data=state.encode_snapshot(),
            )
            began_s = time.perf_counter()
            folder.set_snapshot(snapshot, [])
            write_s = time.perf_counter() - began_s
            folder.close()
            snapshot_s, _ = timed_open(path)
        finally:
            shutil.rmtree(path)
        megabytes = len(snapshot.data) / 1e6
        rows.append(
            [changes, log_only_s * 1000, snapshot_s * 1000, megabytes, write_s * 1000]
        )
    print_table(
        "restart against changes: open and apply",
        ["changes", "log only, ms", "snapshot, ms", "snapshot, MB", "its write, ms"],
        rows,
    )


def timed_open(path):
    """Return the seconds to open and apply a data folder, and the resulting state."""
    began_s = time.perf_counter()
    folder = DataFolder(path=path, new_identity=lambda: 1)
    state = ConfigurationState()
    if folder.snapshot is not None:
        state.restore(folder.snapshot.data)
    replay(state, folder.records)
    folder.close()
    return time.perf_counter() - began_s, state


def processor_ms(pid):
    """Return the processor time of a process in milliseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").split()
    return (int(fields[13]) + int(fields[14])) * 1000 / TICKS_PER_S


def memory_mb(pid):
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def size_at_two_years():
    """Measure idle control replicas that hold 3,100 services."""
    group = ControlProcesses(count=3, timing={"election_ms": 500})
    rows = []
    try:
        leader = group.wait_for_leader().leader
        curio.run(confirm_many, group.addresses[leader], 0, SERVICES)
        before = {n: processor_ms(d.process.pid) for n, d in group.daemons.items()}
        time.sleep(IDLE_S)
        for name, daemon in group.daemons.items():
            spent_ms = processor_ms(daemon.process.pid) - before[name]
            role = "leader" if name == leader else "follower"
            share = spent_ms / IDLE_S / 10
            rows.append([role, memory_mb(daemon.process.pid), f"{share:.2g}"])
        status = group.request_leader(StatusRequest())
    finally:
        group.close()
    print_table(
        f"{status.version} services confirmed, then {IDLE_S} s at rest",
        ["role", "memory, MB", "processor, % of a core"],
        sorted(rows, reverse=True),
    )


def message_sizes():
    """Print the sizes of heartbeats and configuration pushes."""
    state = ConfigurationState()
    replay(state, records_of(SERVICES))
    push = ConfigurationPush(configuration=state.configuration)
    request = AppendRequest(
        term=5,
        leader=1 << 62,
        previous_index=30_000,
        previous_term=5,
        records=[],
        commit_index=30_000,
        round=30_000,
    )
    answer = AppendAnswer(
        term=5, follower=1 << 62, success=True, match_index=30_000, round=30_000
    )
    rows = [
        ["heartbeat", len(encode(request))],
        ["its answer", len(encode(answer))],
        [f"push of {SERVICES} services", len(encode(push))],
    ]
    print_table("sizes of messages, without TCP and IP", ["message", "bytes"], rows)


#: Benchmarks by name; all run if none is named.
PARTS = {
    "confirm": confirm_latency,
    "failover": failover_time,
    "restart": restart_time,
    "size": size_at_two_years,
    "messages": message_sizes,
}


def main():
    """Run the benchmarks that the command line names."""
    names = sys.argv[1:] or list(PARTS)
    print_head(f"python -m bench.control {' '.join(names)}")
    for name in names:
        PARTS[name]()


if __name__ == "__main__":
    main()
