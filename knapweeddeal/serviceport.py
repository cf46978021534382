"""knapweeddeal.serviceport: The UDP sockets of an entry."""

import curio
from curio import socket

from knapweeddeal.actions import Address
from knapweeddeal.errors import BadMessageError, BadSettingError
from knapweeddeal.events import AnnounceCame, CallerDatagram
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.peer import MAX_DATAGRAM_BYTES
from knapweeddeal.messages.upstream import Announce

__all__ = ["ServicePort", "take_announcements"]

#: Datagrams that may wait to be sent from one service's address.
MAX_WAITING = 10_000


class ServicePort:
    """Own the socket of one service's address."""

    __slots__ = ("_inbox", "_queue", "_socket", "address", "service", "task")

    def __init__(self, *, service, address, inbox):
        self.service = service
        self.address = address
        self._inbox = inbox
        self._queue = curio.Queue(maxsize=MAX_WAITING)
        self._socket = udp_socket(address)

    async def offer(self, caller, message):
        """Queue a message to a caller; return False if there is no room."""
        if self._queue.full():
            return False
        await self._queue.put((encode(message), (caller.host, caller.port)))
        return True

    async def run(self):
        """Carry datagrams until cancelled."""
        async with self._socket, curio.TaskGroup() as group:
            await group.spawn(self._receive)
            await group.spawn(self._send)

    async def _receive(self):
        while True:
            data, (host, port) = await self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            caller = Address(host=host, port=port)
            await self._inbox.put(
                CallerDatagram(service=self.service, caller=caller, data=data)
            )

    async def _send(self):
        while True:
            data, address = await self._queue.get()
            try:
                await self._socket.sendto(data, address)
            except OSError:
                continue


async def take_announcements(address, inbox):
    """Take announcements of upstreams until cancelled."""
    async with udp_socket(address) as port:
        while True:
            data, _ = await port.recvfrom(MAX_DATAGRAM_BYTES + 1)
            try:
                message = decode(data)
            except BadMessageError:
                continue
            if type(message) is Announce:
                await inbox.put(AnnounceCame(announce=message, direct=True))


def udp_socket(address):
    """Return a bound UDP socket; raise BadSettingError."""
    port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    port.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    try:
        port.bind((address.host, address.port))
    except OSError as error:
        raise BadSettingError(
            f"can't be bound: {error.strerror}",
            field="address",
            value=f"{address.host}:{address.port}",
        ) from None
    return port
