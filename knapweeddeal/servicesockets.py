"""knapweeddeal.servicesockets: The UDP sockets of an entry."""

from collections import deque

import curio
from curio import socket

from knapweeddeal.actions import Address
from knapweeddeal.errors import BadMessageError, BadSettingError
from knapweeddeal.events import AnnounceReceived, CallerDatagram
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.peer import MAX_DATAGRAM_BYTES
from knapweeddeal.messages.upstream import Announce

__all__ = ["ServiceSocket", "receive_announcements"]

#: Datagrams that may wait to be sent from one service's address.
MAX_WAITING = 10_000
#: Datagrams that are taken, or sent, before other tasks get their turn.
MAX_IN_A_ROW = 64


class ServiceSocket:
    """Own the socket of one service's address."""

    __slots__ = (
        "_count",
        "_event",
        "_inbox",
        "_queue",
        "_socket",
        "address",
        "service",
        "task",
    )

    def __init__(self, *, service, address, inbox, counters):
        self.service = service
        self.address = address
        self._inbox = inbox
        self._count = counters
        self._queue = deque()
        self._event = curio.Event()
        self._socket = udp_socket(address)

    def put(self, caller, message):
        """Queue a message to a caller; return False if there is no room.

        The sending task goes on at the next `wake`.
        """
        if len(self._queue) >= MAX_WAITING:
            return False
        self._queue.append((message, caller))
        return True

    async def wake(self):
        """Let the sending task go on."""
        if self._queue and not self._event.is_set():
            await self._event.set()

    async def run(self):
        """Carry datagrams until cancelled."""
        async with self._socket, curio.TaskGroup() as group:
            await group.spawn(self._receive)
            await group.spawn(self._send)

    async def _receive(self):
        while True:
            for _ in range(MAX_IN_A_ROW):
                await self._take_one()
                await self._inbox.wake()
            await curio.sleep(0)

    async def _take_one(self):
        try:
            data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:
            self._count("dropped_socket_error")
            return
        self._took(data, address)

    def _took(self, data, address):
        if len(data) > MAX_DATAGRAM_BYTES:
            self._count("dropped_too_large")
            return
        caller = Address(host=address[0], port=address[1])
        event = CallerDatagram(service=self.service, caller=caller, data=data)
        if self._inbox.put_or_shed(event):
            self._count("dropped_overload")

    async def _send(self):
        while True:
            await self._event.wait()
            self._event.clear()
            sent = 0
            while self._queue:
                message, caller = self._queue.popleft()
                await self._send_one(encode(message), (caller.host, caller.port))
                sent += 1
                if not sent % MAX_IN_A_ROW:
                    await curio.sleep(0)

    async def _send_one(self, data, address):
        try:
            await self._socket.sendto(data, address)
        except (OSError, OverflowError):
            self._count("dropped_send_error")


async def receive_announcements(address, inbox):
    """Take announcements of upstreams until cancelled."""
    async with udp_socket(address) as port:
        while True:
            data, _ = await port.recvfrom(MAX_DATAGRAM_BYTES + 1)
            try:
                message = decode(data)
            except BadMessageError:
                continue
            if type(message) is Announce:
                await inbox.put(AnnounceReceived(announce=message))


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
