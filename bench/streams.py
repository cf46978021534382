"""bench.streams: Memory and processor time of idle streams, per stream end.

Run as `python -m bench.streams`. Each count is measured in a process of its own,
which has both ends of every stream; a figure is half of the cost of the pair.
"""

import resource
import subprocess
import sys
import time

import curio

from bench import samples
from bench.capacity import PAGE_BYTES, resident_bytes
from bench.tables import print_head, print_table
from knapweeddeal.actions import Address, UpstreamKey
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.entrycore import Identity
from knapweeddeal.heartbeats import Heartbeats
from knapweeddeal.inbox import Inbox
from knapweeddeal.settings import OPTIONS, Settings
from knapweeddeal.upstream import UpstreamServer
from knapweeddeal.upstreamlink import UpstreamLink

COUNTS = (100, 200, 400)
RUNS = 3
MAX_EVENTS = 20_000
MEASURE_S = 5.0
PORT = 28_443
TIMEOUT_S = 20.0


def settings():
    """Return the timing settings with their defaults."""
    timing = (option for option in OPTIONS if option.section == "timing")
    return Settings(
        path="", values={option.key: int(option.default) for option in timing}
    )


async def application(work):
    """Answer with the request's body."""
    return work.body


async def measure(count):
    """Return bytes and processor time per second of idle streams, and lost streams."""
    announce = samples.announce(1).replace(host="127.0.0.1", port=PORT)
    server = UpstreamServer(
        announce=announce,
        announce_to=("127.0.0.1", PORT + 1),
        application=application,
        clock_ms=monotonic_ms,
    )
    identity = Identity(
        entry_id="entry-0001",
        incarnation=samples.random_id(),
        zone="zone",
        address=Address(host="127.0.0.1", port=1),
    )
    key = UpstreamKey(
        service=announce.service,
        upstream_id=announce.upstream_id,
        incarnation=announce.incarnation,
    )
    inbox = Inbox(max_events=MAX_EVENTS)
    async with curio.TaskGroup(wait=None) as tasks:
        heartbeats = Heartbeats(settings=settings())
        await tasks.spawn(server.run)
        await tasks.spawn(heartbeats.run)
        await curio.sleep(0.2)
        before = resident_bytes()
        for _ in range(count):
            link = UpstreamLink(
                key=key,
                address=Address(host=announce.host, port=announce.port),
                identity=identity,
                settings=settings(),
                inbox=inbox,
                heartbeats=heartbeats,
            )
            await tasks.spawn(link.run)
        async with curio.timeout_after(TIMEOUT_S):
            connected = 0
            while connected < count:
                connected += len(await inbox.get_batch(MAX_EVENTS))
        await curio.sleep(1)
        memory_bytes = resident_bytes() - before
        spent_s, started_s = time.process_time(), time.monotonic()
        await curio.sleep(MEASURE_S)
        spent_s = time.process_time() - spent_s
        share = spent_s / (time.monotonic() - started_s)
        broken = inbox.qsize()
        await tasks.cancel_remaining()
    return memory_bytes, share, broken


def one_run(count):
    """Return the figures per stream end, from a new process."""
    command = [sys.executable, "-m", "bench.streams", str(count)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    memory_bytes, share, broken = done.stdout.split()
    return int(memory_bytes) / count / 2, float(share) * 1e6 / count / 2, int(broken)


def rows():
    """Yield a row for each count."""
    for count in COUNTS:
        runs = [one_run(count) for _ in range(RUNS)]
        memory_bytes = [run[0] for run in runs]
        spent = [run[1] for run in runs]
        yield [
            count,
            f"{min(memory_bytes):.0f} to {max(memory_bytes):.0f}",
            f"{min(spent):.0f} to {max(spent):.0f}",
            sum(run[2] for run in runs),
        ]


def main():
    """Print the table."""
    print_head("python -m bench.streams")
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    print(f"pages of {PAGE_BYTES} B, {files} open files allowed")
    print_table(
        f"Idle streams with heartbeats every 500 ms, {RUNS} runs, per stream end",
        ["streams", "resident bytes", "processor us a second", "broken"],
        rows(),
    )


if __name__ == "__main__":
    if sys.argv[1:]:
        print(*curio.run(measure, int(sys.argv[1])))
    else:
        main()
