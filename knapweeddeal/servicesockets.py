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

#: Datagrams that may be queued for sending from one service address.
MAX_QUEUED_DATAGRAMS = 10_000
#: Datagrams received or sent in a row before the task yields to others.
MAX_DATAGRAMS_PER_TURN = 64


class ServiceSocket:
    """Receive and send the datagrams of one service address."""

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

    def __init__(self, *, service, address, inbox, count):
        self.service = service
        self.address = address
        self._inbox = inbox
        self._count = count
        self._queue = deque()
        self._event = curio.Event()
        self._socket = bind_udp_socket(address)

    def put(self, caller, message):
        """Queue a message to a caller; return False if the queue is full.

        The sending task resumes at the next `wake`.
        """
        if len(self._queue) >= MAX_QUEUED_DATAGRAMS:
            return False
        self._queue.append((message, caller))
        return True

    async def wake(self):
        """Resume the sending task."""
        if self._queue and not self._event.is_set():
            await self._event.set()

    async def run(self):
        """Receive and send datagrams until cancelled."""
        async with self._socket, curio.TaskGroup() as group:
            await group.spawn(self._receive)
            await group.spawn(self._send)

    async def _receive(self):
        while True:
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                await self._receive_one()
                await self._inbox.wake()
            await curio.sleep(0)

    async def _receive_one(self):
        try:
            data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:
            self._count("dropped_socket_error")
            return
        self._queue_datagram(data, address)

    def _queue_datagram(self, data, address):
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
                if not sent % MAX_DATAGRAMS_PER_TURN:
                    await curio.sleep(0)

    async def _send_one(self, data, address):
        try:
            await self._socket.sendto(data, address)
        except (OSError, OverflowError):
            self._count("dropped_send_error")


async def receive_announcements(address, inbox):
    """Forward announcements of upstreams to an inbox until cancelled."""
    async with bind_udp_socket(address) as sock:
        while True:
            data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            try:
                message = decode(data)
            except BadMessageError:
                continue
            if type(message) is Announce:
                await inbox.put(AnnounceReceived(announce=message))


def bind_udp_socket(address):
    """Return a bound UDP socket; raise BadSettingError if it can't be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        raise BadSettingError(
            f"can't be bound: {error.strerror}",
            field="address",
            value=f"{address.host}:{address.port}",
        ) from None
    return sock
