"""bench.ports: What the sockets of service addresses cost an entry.

Run as `python -m bench.ports`. Each count stands in a process of its own.
"""

import subprocess
import sys
import time

import curio

from bench.capacity import resident_bytes
from bench.tables import print_head, print_table, spread
from knapweeddeal.actions import Address
from knapweeddeal.inbox import Inbox
from knapweeddeal.servicesockets import ServiceSocket

COUNTS = (100, 500, 2_000)
RUNS = 3
MAX_EVENTS = 20_000
WATCH_S = 3.0
FIRST_PORT = 20_000


async def measure(count):
    """Return bytes and processor time a second of idle sockets."""
    inbox = Inbox(max_events=MAX_EVENTS)
    before = resident_bytes()
    async with curio.TaskGroup(wait=None) as tasks:
        for number in range(count):
            address = Address(host="127.83.1.1", port=FIRST_PORT + number)
            port = ServiceSocket(
                service=f"s{number}",
                address=address,
                inbox=inbox,
                counters=lambda name: None,
            )
            await tasks.spawn(port.run)
        await curio.sleep(0.5)
        held = resident_bytes() - before
        spent_s = time.process_time()
        await curio.sleep(WATCH_S)
        spent_s = time.process_time() - spent_s
        await tasks.cancel_remaining()
    return held, spent_s / WATCH_S


def one_run(count):
    """Return the figures of a process of its own."""
    command = [sys.executable, "-m", "bench.ports", str(count)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    held, share = done.stdout.split()
    return int(held) / count, float(share) * 1e6 / count


def rows():
    """Return a row for each count."""
    for count in COUNTS:
        runs = [one_run(count) for _ in range(RUNS)]
        held, spent = zip(*runs, strict=True)
        yield [count, spread(held), spread(spent)]


def main():
    """Print the table."""
    print_head("python -m bench.ports")
    columns = ["sockets", "resident bytes each", "processor us a second each"]
    print_table(f"Idle sockets of services, {RUNS} runs", columns, rows())


if __name__ == "__main__":
    if sys.argv[1:]:
        print(*curio.run(measure, int(sys.argv[1])))
    else:
        main()
