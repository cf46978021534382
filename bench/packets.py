"""bench.packets: What a forwarder spends on a packet, beside a bare curio relay.

Run `.venv/bin/python -m bench.packets`. Bursts wait in a socket and are carried to
another one; `us` is the processor time for one datagram, `ratio` that time over the
relay's in the same run.
"""

import argparse
import random
import socket
import statistics
import time

import curio
from curio import socket as curio_socket

from knapweeddeal.packetsocket import bind_packet_socket, forward_pending
from tests.packetfakes import ForwarderHarness, packet, route, state, syn

HOST = "127.0.0.1"
BURST = 60
BURSTS = 300


def bound():
    """Return a socket that swallows datagrams."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind((HOST, 0))
    result.setblocking(False)
    return result


def empty(port):
    """Drop what waits."""
    try:
        while True:
            port.recv(4_096)
    except BlockingIOError:
        return


class Trial:
    """Carry bursts of one kind of datagram and time them."""

    def __init__(self, *, make):
        self._make = make
        self._sink = bound()
        self._source = bound()

    async def relay(self):
        """Return the time of one datagram through a bare relay."""
        target = self._sink.getsockname()
        async with curio_socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
            port.bind((HOST, 0))

            async def carry():
                for _ in range(BURST):
                    data, _ = await port.recvfrom(4_096)
                    await port.sendto(data, target)

            return await self._timed(port.getsockname(), carry)

    async def forward(self, *, upstreams):
        """Return the time of one datagram through a forwarder."""
        host, number = self._sink.getsockname()
        told = [state(n, host=host, port=number) for n in range(1, upstreams + 1)]
        world = ForwarderHarness(
            routes=[route()], states=told, number=random.Random(1).random
        )
        port = bind_packet_socket((HOST, 0))

        async def carry():
            forward_pending(port, world.forwarder, world.metrics)

        return await self._timed(port.getsockname(), carry)

    async def _timed(self, address, carry):
        spent_s = 0.0
        for number in range(BURSTS):
            for place in range(BURST):
                self._source.sendto(self._make(number * BURST + place), address)
            began_s = time.process_time()
            await carry()
            spent_s += time.process_time() - began_s
            empty(self._sink)
        return 1e6 * spent_s / (BURST * BURSTS)


def later_packet(number):
    """Return a packet of one of many open flows."""
    echo = (1).to_bytes(4, "little")
    return packet(port=number % 30_000 + 1, echo=echo, data=b"x" * 500)


def opening(number):
    """Return a SYN of a new flow."""
    return syn(port=number % 60_000 + 1)


def measure():
    """Return a row of name and time for each kind."""
    bare = curio.run(Trial(make=later_packet).relay)
    rows = [("bare relay", bare)]
    later = Trial(make=later_packet)
    rows.append(("later packet", curio.run(lambda: later.forward(upstreams=7))))
    rows += [open_row(upstreams) for upstreams in (7, 17, 72)]
    return rows


def open_row(upstreams):
    """Return the row of a SYN to a service with some upstreams in the own zone."""
    trial = Trial(make=opening)
    spent = curio.run(lambda: trial.forward(upstreams=upstreams))
    return f"SYN, {upstreams} near upstreams", spent


def main():
    """Print the median of some runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    runs = [measure() for _ in range(options.runs)]
    print("| what | us | range | ratio to the relay |")
    print("| --- | --- | --- | --- |")
    for place, (name, _) in enumerate(runs[0]):
        times = [run[place][1] for run in runs]
        ratios = [run[place][1] / run[0][1] for run in runs]
        middle = statistics.median(times)
        print(
            f"| {name} | {middle:.1f} | {min(times):.1f} to {max(times):.1f}"
            f" | {statistics.median(ratios):.2f} |"
        )


if __name__ == "__main__":
    main()
