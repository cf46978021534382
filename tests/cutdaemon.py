"""tests.cutdaemon: A daemon whose net can be cut, for tests.

Run as `python -m tests.cutdaemon SETTINGS CUT`; CUT is a file of the hosts that
can't be reached at the moment, one a line.
"""

import sys
from pathlib import Path

from knapweeddeal import daemon, presenceport, stream
from knapweeddeal.errors import StreamClosedError


class Cut:
    """Tell which hosts can't be reached now."""

    def __init__(self, path):
        self._path = Path(path)

    def __contains__(self, host):
        """Tell whether a host can't be reached."""
        return self._path.exists() and host in self._path.read_text("utf-8").split()


class CutSocket:
    """Stand before a datagram socket; drop what would cross the cut."""

    def __init__(self, real, cut):
        self._real = real
        self._cut = cut

    async def __aenter__(self):
        """Enter as the socket does."""
        return await self._real.__aenter__()

    async def __aexit__(self, *rest):
        """Leave as the socket does."""
        return await self._real.__aexit__(*rest)

    async def sendto(self, data, address):
        """Send, unless the address is cut off."""
        if address[0] not in self._cut:
            await self._real.sendto(data, address)

    async def recvfrom(self, size):
        """Return the next datagram from this side."""
        while True:
            data, source = await self._real.recvfrom(size)
            if source[0] not in self._cut:
                return data, source


class CutStream(stream.Stream):
    """Break when the other end is cut off."""

    __slots__ = ()

    cut = ()

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
        if self._socket.getpeername()[0] in self.cut:
            raise StreamClosedError("cut off")


def main(settings_path, cut_path):
    """Run the daemon over a net that can be cut."""
    cut = Cut(cut_path)
    CutStream.cut = cut
    stream.Stream = CutStream
    open_socket = presenceport.udp_socket
    presenceport.udp_socket = lambda address: CutSocket(open_socket(address), cut)
    return daemon.main([settings_path])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
