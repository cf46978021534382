"""bench.packets: Processor time of a forwarder per packet, against a bare relay.

Run `.venv/bin/python -m bench.packets`. Bursts are queued in a socket and forwarded to
another one; `us` is the processor time per datagram, `ratio` that time divided by the
relay's in the same run.
"""

import argparse
import random
import socket
import statistics
import time

import curio
from curio import socket as curio_socket

from knapweeddeal.messages.packets import NO_ROUTE_TERMS
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetadmission import PacketAdmission
from knapweeddeal.packetsocket import PacketSocket, bind_packet_socket
from tests.admissionreplay import UNSAFE, ServiceLoad
from tests.packetfakes import (
    ForwarderHarness,
    QuietLog,
    packet,
    route,
    state,
    syn,
)

HOST = "127.0.0.1"
BURST = 60
BURSTS = 300
#: Rate of a link that is wider than the load.
WIDE_LINK_MBPS = 400_000


def bound_socket():
    """Return a non-blocking socket on a free loopback port."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind((HOST, 0))
    result.setblocking(False)
    return result


def drain_socket(sock):
    """Discard all queued datagrams."""
    try:
        while True:
            sock.recv(4_096)
    except BlockingIOError:
        return


class Trial:
    """Forward bursts of one kind of datagram and time them."""

    def __init__(self, *, make_packet):
        self._make_packet = make_packet
        self._sink = bound_socket()
        self._source = bound_socket()

    async def relay(self):
        """Return the microseconds per datagram through a bare relay."""
        target = self._sink.getsockname()
        async with curio_socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((HOST, 0))

            async def forward_burst():
                for _ in range(BURST):
                    data, _ = await sock.recvfrom(4_096)
                    await sock.sendto(data, target)

            return await self._timed(sock.getsockname(), forward_burst)

    async def forward(self, *, upstreams, link_mbps=None, admission=None):
        """Return the microseconds per datagram through a forwarder."""
        host, number = self._sink.getsockname()
        upstream_states = [
            state(n, host=host, port=number) for n in range(1, upstreams + 1)
        ]
        harness = ForwarderHarness(
            routes=[route(terms=UNSAFE.terms if admission else NO_ROUTE_TERMS)],
            states=upstream_states,
            number=random.Random(1).random,
            link_mbps=link_mbps,
            admission=admission,
        )
        udp_socket = bind_packet_socket((HOST, 0))
        packet_socket = PacketSocket(
            udp_socket=udp_socket,
            forwarder=harness.forwarder,
            egress=harness.egress,
            metrics=harness.metrics,
        )

        async def forward_burst():
            packet_socket.forward_pending()

        return await self._timed(udp_socket.getsockname(), forward_burst)

    async def _timed(self, address, forward_burst):
        spent_s = 0.0
        for number in range(BURSTS):
            for index in range(BURST):
                self._source.sendto(self._make_packet(number * BURST + index), address)
            began_s = time.process_time()
            await forward_burst()
            spent_s += time.process_time() - began_s
            drain_socket(self._sink)
        return 1e6 * spent_s / (BURST * BURSTS)


def established_packet(number):
    """Return a packet of one of many open flows."""
    echo = (1).to_bytes(4, "little")
    return packet(port=number % 30_000 + 1, echo=echo, data=b"x" * 500)


def new_flow_syn(number):
    """Return a SYN of a new flow."""
    return syn(port=number % 60_000 + 1)


def measure():
    """Return a row of name and time for each kind."""
    baseline = curio.run(Trial(make_packet=established_packet).relay)
    rows = [("bare relay", baseline)]
    established = Trial(make_packet=established_packet)
    rows.append(("later packet", curio.run(lambda: established.forward(upstreams=7))))
    paced = Trial(make_packet=established_packet)
    rows.append(
        (
            "later packet, paced to a wide link",
            curio.run(lambda: paced.forward(upstreams=7, link_mbps=WIDE_LINK_MBPS)),
        )
    )
    rows += [open_row(upstreams) for upstreams in (7, 17, 72)]
    rows.append(
        (
            "later packet, route with terms",
            curio.run(lambda: established.forward(upstreams=7, admission=busy())),
        )
    )
    opened = Trial(make_packet=new_flow_syn)
    rows.append(
        (
            "SYN, 17 near upstreams, route with terms, service busy",
            curio.run(lambda: opened.forward(upstreams=17, admission=busy())),
        )
    )
    return rows


def busy():
    """Return the admission to a service that lacks capacity."""
    load = ServiceLoad(
        load_per_slot=4.5, rejected_share=0.5, response_ms=170, age_ms=200
    )
    return PacketAdmission(
        service_load=lambda service, now_ms: load, metrics=Metrics(), log=QuietLog()
    )


def open_row(upstreams):
    """Return the row of a SYN to a service with some upstreams in its own zone."""
    trial = Trial(make_packet=new_flow_syn)
    spent = curio.run(lambda: trial.forward(upstreams=upstreams))
    return f"SYN, {upstreams} near upstreams", spent


def main():
    """Print median and range of some runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    runs = [measure() for _ in range(options.runs)]
    print("| what | us | range | ratio to the relay |")
    print("| --- | --- | --- | --- |")
    for index, (name, _) in enumerate(runs[0]):
        times = [run[index][1] for run in runs]
        ratios = [run[index][1] / run[0][1] for run in runs]
        median_us = statistics.median(times)
        print(
            f"| {name} | {median_us:.1f} | {min(times):.1f} to {max(times):.1f}"
            f" | {statistics.median(ratios):.2f} |"
        )


if __name__ == "__main__":
    main()
