"""demo.fabric: A stand-in fabric that forwards each datagram to a random entry."""

import argparse
import random

import curio
from curio import socket

MAX_DATAGRAM_BYTES = 4096


class Fabric:
    """Forward datagrams sent to one address to random hosts, on the same port."""

    def __init__(self, *, address, hosts, rng):
        self._address = address
        self._hosts = hosts
        self._rng = rng
        self._relay_sockets = {}

    async def run(self):
        """Forward datagrams and their replies until cancelled."""
        async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as service_socket:
            service_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            service_socket.bind(self._address)
            async with curio.TaskGroup() as tasks:
                while True:
                    data, caller = await service_socket.recvfrom(MAX_DATAGRAM_BYTES)
                    relay_socket = self._relay_sockets.get(caller)
                    if relay_socket is None:
                        relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                        relay_socket.bind((self._address[0], 0))
                        self._relay_sockets[caller] = relay_socket
                        await tasks.spawn(
                            self._relay_replies, service_socket, relay_socket, caller
                        )
                    host = self._rng.choice(self._hosts)
                    await self._send(relay_socket, data, (host, self._address[1]))

    async def _relay_replies(self, service_socket, relay_socket, caller):
        while True:
            try:
                data, _ = await relay_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            await self._send(service_socket, data, caller)

    async def _send(self, sender, data, address):
        try:
            await sender.sendto(data, address)
        except OSError:
            return


async def run(options):
    """Run one fabric per address."""
    rng = random.Random(options.seed)
    async with curio.TaskGroup() as tasks:
        for text in options.address:
            host, _, port = text.rpartition(":")
            fabric = Fabric(
                address=(host, int(port)), hosts=options.host.split(","), rng=rng
            )
            await tasks.spawn(fabric.run)


def main():
    """Run the stand-in for the addresses of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument(
        "--host", required=True, help="hosts of the entries, separated by commas"
    )
    parser.add_argument("--seed", type=int, default=1)
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
