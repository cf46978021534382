"""bench.ports: Memory and processor time of an entry's idle service sockets.

Run as `python -m bench.ports`. Each count is measured in a process of its own.
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
MEASURE_S = 3.0
FIRST_PORT = 20_000


async def measure(count):
    """Return the bytes of idle sockets, and their processor time per second."""
    inbox = Inbox(max_events=MAX_EVENTS)
    before = resident_bytes()
    async with curio.TaskGroup(wait=None) as tasks:
        for number in range(count):
            address = Address(host="127.83.1.1", port=FIRST_PORT + number)
            service_socket = ServiceSocket(
                service=f"s{number}",
                address=address,
                inbox=inbox,
                count=lambda name: None,
            )
            await tasks.spawn(service_socket.run)
        await curio.sleep(0.5)
        memory_bytes = resident_bytes() - before
        spent_s = time.process_time()
        await curio.sleep(MEASURE_S)
        spent_s = time.process_time() - spent_s
        await tasks.cancel_remaining()
    return memory_bytes, spent_s / MEASURE_S


def one_run(count):
    """Return bytes and microseconds per second for each socket, from a new process."""
    command = [sys.executable, "-m", "bench.ports", str(count)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    memory_bytes, share = done.stdout.split()
    return int(memory_bytes) / count, float(share) * 1e6 / count


def rows():
    """Yield a row for each count."""
    for count in COUNTS:
        runs = [one_run(count) for _ in range(RUNS)]
        memory_bytes, spent = zip(*runs, strict=True)
        yield [count, spread(memory_bytes), spread(spent)]


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
