"""demo.fabric: A stand-in fabric that hands each datagram to a random entry."""

import argparse
import random

import curio
from curio import socket

MAX_DATAGRAM_BYTES = 4096


class Fabric:
    """Spray what comes to one address over hosts on the same port."""

    def __init__(self, *, address, hosts, rng):
        self._address = address
        self._hosts = hosts
        self._rng = rng
        self._callers = {}

    async def run(self):
        """Carry datagrams until cancelled."""
        async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as front:
            front.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            front.bind(self._address)
            async with curio.TaskGroup() as tasks:
                while True:
                    data, caller = await front.recvfrom(MAX_DATAGRAM_BYTES)
                    back = self._callers.get(caller)
                    if back is None:
                        back = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                        back.bind((self._address[0], 0))
                        self._callers[caller] = back
                        await tasks.spawn(self._answer, front, back, caller)
                    host = self._rng.choice(self._hosts)
                    await self._send(back, data, (host, self._address[1]))

    async def _answer(self, front, back, caller):
        while True:
            try:
                data, _ = await back.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            await self._send(front, data, caller)

    async def _send(self, port, data, address):
        try:
            await port.sendto(data, address)
        except OSError:
            return


async def run(options):
    """Run one fabric for each address."""
    rng = random.Random(options.seed)
    async with curio.TaskGroup() as tasks:
        for text in options.address:
            host, _, port = text.rpartition(":")
            fabric = Fabric(
                address=(host, int(port)), hosts=options.host.split(","), rng=rng
            )
            await tasks.spawn(fabric.run)


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--host", required=True, help="entries, with commas")
    parser.add_argument("--seed", type=int, default=1)
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
