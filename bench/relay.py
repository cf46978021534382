"""bench.relay: A bare curio relay of datagrams, and an echo to relay to."""

import argparse

import curio
from curio import socket

MAX_DATAGRAM_BYTES = 4096


async def echo(address):
    """Send every datagram back."""
    async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
        port.bind(address)
        while True:
            data, sender = await port.recvfrom(MAX_DATAGRAM_BYTES)
            await port.sendto(data, sender)


async def relay(address, target):
    """Hand every datagram of a caller to the target, and its answers back.

    The caller's address travels before the data, so the relay keeps no state.
    """
    async with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as front,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as back,
        curio.TaskGroup() as tasks,
    ):
        front.bind(address)
        back.bind((address[0], 0))
        await tasks.spawn(forth, front, back, target)
        await tasks.spawn(home, front, back)


async def forth(front, back, target):
    """Carry datagrams towards the target."""
    while True:
        data, (host, port) = await front.recvfrom(MAX_DATAGRAM_BYTES)
        await back.sendto(b"%s:%d|%s" % (host.encode(), port, data), target)


async def home(front, back):
    """Carry answers towards the callers."""
    while True:
        data, _ = await back.recvfrom(MAX_DATAGRAM_BYTES)
        head, _, body = data.partition(b"|")
        host, _, port = head.partition(b":")
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
