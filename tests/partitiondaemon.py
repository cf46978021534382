"""tests.partitiondaemon: A daemon whose net can be cut, for tests.

Run as `python -m tests.partitiondaemon SETTINGS CUT`; CUT is a file of the hosts that
can't be reached at the moment, one a line.
"""

import sys
from pathlib import Path

from knapweeddeal import daemon, presencetask, stream
from knapweeddeal.errors import StreamClosedError


class UnreachableHosts:
    """Tell which hosts can't be reached now."""

    def __init__(self, path):
        self._path = Path(path)

    def __contains__(self, host):
        """Tell whether a host can't be reached."""
        return self._path.exists() and host in self._path.read_text("utf-8").split()


class PartitionedSocket:
    """Stand before a datagram socket; drop what would cross the cut."""

    def __init__(self, real, unreachable_hosts):
        self._real = real
        self._unreachable_hosts = unreachable_hosts

    async def __aenter__(self):
        """Enter as the socket does."""
        return await self._real.__aenter__()

    async def __aexit__(self, *rest):
        """Leave as the socket does."""
        return await self._real.__aexit__(*rest)

    async def sendto(self, data, address):
        """Send, unless the address is cut off."""
        if address[0] not in self._unreachable_hosts:
            await self._real.sendto(data, address)

    async def recvfrom(self, size):
        """Return the next datagram from this side."""
        while True:
            data, source = await self._real.recvfrom(size)
            if source[0] not in self._unreachable_hosts:
                return data, source


class PartitionedStream(stream.Stream):
    """Break when the other end is cut off."""

    __slots__ = ()

    unreachable_hosts = ()

    async def send_all(self, messages):
        """Send messages, unless the other end is cut off."""
        self._check()
        await super().send_all(messages)

    async def receive(self):
        """Return the next message, unless the other end is cut off."""
        message = await super().receive()
        self._check()
        return message

    def _check(self):
        if self._socket.getpeername()[0] in self.unreachable_hosts:
            raise StreamClosedError("cut off")


def main(settings_path, unreachable_path):
    """Run the daemon over a net that can be cut."""
    unreachable_hosts = UnreachableHosts(unreachable_path)
    PartitionedStream.unreachable_hosts = unreachable_hosts
    stream.Stream = PartitionedStream
    open_socket = presencetask.udp_socket
    presencetask.udp_socket = lambda address: PartitionedSocket(
        open_socket(address), unreachable_hosts
    )
    return daemon.main([settings_path])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
