"""bench.relay: A bare curio relay of datagrams, and an echo server behind it."""

import argparse

import curio
from curio import socket

MAX_DATAGRAM_BYTES = 4096


async def echo(address):
    """Send every datagram back."""
    async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(address)
        while True:
            data, sender = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            await sock.sendto(data, sender)


async def relay(address, target):
    """Relay datagrams between callers and the target.

    The caller's address is sent in front of the data, so the relay keeps no state.
    """
    async with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as front,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as back,
        curio.TaskGroup() as tasks,
    ):
        front.bind(address)
        back.bind((address[0], 0))
        await tasks.spawn(relay_to_target, front, back, target)
        await tasks.spawn(relay_to_callers, front, back)


async def relay_to_target(front, back, target):
    """Relay datagrams from callers to the target."""
    while True:
        data, (host, port) = await front.recvfrom(MAX_DATAGRAM_BYTES)
        await back.sendto(b"%s:%d|%s" % (host.encode(), port, data), target)


async def relay_to_callers(front, back):
    """Relay answers from the target to the callers."""
    while True:
        data, _ = await back.recvfrom(MAX_DATAGRAM_BYTES)
        sender, _, body = data.partition(b"|")
        host, _, port = sender.partition(b":")
        await front.sendto(body, (host.decode(), int(port)))


def main():
    """Run a relay or an echo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--target", default="")
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    if not options.target:
        curio.run(echo, (host, int(port)))
    to_host, _, to_port = options.target.rpartition(":")
    curio.run(relay, (host, int(port)), (to_host, int(to_port)))


if __name__ == "__main__":
    main()
