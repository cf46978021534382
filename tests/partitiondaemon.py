"""tests.partitiondaemon: A daemon whose network can be partitioned.

Run as `python -m tests.partitiondaemon SETTINGS CUT`; CUT is a file with the currently
unreachable hosts, one per line.
"""

import sys
from pathlib import Path

from knapweeddeal import daemon, presencetask, stream
from knapweeddeal.errors import StreamClosedError


class UnreachableHosts:
    """Contain the hosts that the partition currently makes unreachable."""

    def __init__(self, path):
        self._path = Path(path)

    def __contains__(self, host):
        """Return whether a host is unreachable."""
        return self._path.exists() and host in self._path.read_text("utf-8").split()


class PartitionedSocket:
    """Wrap a datagram socket; drop datagrams from and to unreachable hosts."""

    def __init__(self, real, unreachable_hosts):
        self._real = real
        self._unreachable_hosts = unreachable_hosts

    async def __aenter__(self):
        """Enter the context of the wrapped socket."""
        return await self._real.__aenter__()

    async def __aexit__(self, *rest):
        """Leave the context of the wrapped socket."""
        return await self._real.__aexit__(*rest)

    async def sendto(self, data, address):
        """Send a datagram, unless the host is unreachable."""
        if address[0] not in self._unreachable_hosts:
            await self._real.sendto(data, address)

    async def recvfrom(self, size):
        """Return the next datagram from a reachable host."""
        while True:
            data, source = await self._real.recvfrom(size)
            if source[0] not in self._unreachable_hosts:
                return data, source


class PartitionedStream(stream.Stream):
    """Raise StreamClosedError if the peer is unreachable."""

    __slots__ = ()

    unreachable_hosts = ()

    async def send_all(self, messages):
        """Send messages, unless the peer is unreachable."""
        self._check()
        await super().send_all(messages)

    async def receive(self):
        """Return the next message, unless the peer is unreachable."""
        message = await super().receive()
        self._check()
        return message

    def _check(self):
        if self._socket.getpeername()[0] in self.unreachable_hosts:
            raise StreamClosedError("peer is unreachable in the partition")


def main(settings_path, unreachable_path):
    """Run the daemon with a network that can be partitioned."""
    unreachable_hosts = UnreachableHosts(unreachable_path)
    PartitionedStream.unreachable_hosts = unreachable_hosts
    stream.Stream = PartitionedStream
    open_socket = presencetask.bind_udp_socket
    presencetask.bind_udp_socket = lambda address: PartitionedSocket(
        open_socket(address), unreachable_hosts
    )
    return daemon.main([settings_path])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
