"""knapweeddeal.stream: Streams of messages over TCP, and their server."""

import curio
import msgpack
from curio import socket

from knapweeddeal.errors import (
    BadMessageError,
    StreamClosedError,
    UnreachableError,
)
from knapweeddeal.listener import accept_connections, bind_listener
from knapweeddeal.messages.base import encode, from_wire

__all__ = ["Stream", "connect", "serve"]

#: Most bytes buffered for an incomplete message.
MAX_BUFFER_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024
#: Messages received in a row before the task yields to others.
MAX_MESSAGES_BEFORE_YIELD = 64


class Stream:
    """Carry messages over one TCP connection.

    Only one task may receive and one may send; several senders need a queue.
    """

    __slots__ = ("_messages_since_yield", "_socket", "_unpacker")

    def __init__(self, *, socket):
        self._messages_since_yield = 0
        self._socket = socket
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_BUFFER_BYTES)

    async def send(self, message):
        """Send one message; raise StreamClosedError."""
        await self.send_all((message,))

    async def send_all(self, messages):
        """Send messages in one write; raise StreamClosedError."""
        try:
            await self._socket.sendall(b"".join(map(encode, messages)))
        except OSError as error:
            raise StreamClosedError(str(error)) from None

    async def receive(self):
        """Return the next message; raise StreamClosedError or BadMessageError."""
        await self._yield_sometimes()
        while True:
            message = self._next_buffered()
            if message is not None:
                return message
            await self._read_more()

    async def _yield_sometimes(self):
        """Yield to other tasks now and then, as a busy stream never blocks."""
        self._messages_since_yield += 1
        if self._messages_since_yield >= MAX_MESSAGES_BEFORE_YIELD:
            self._messages_since_yield = 0
            await curio.sleep(0)

    def _next_buffered(self):
        """Return the next complete message in the buffer, or None."""
        try:
            for wire in self._unpacker:
                return from_wire(wire)
        except (ValueError, msgpack.UnpackException) as error:
            raise BadMessageError("invalid msgpack data") from error
        return None

    async def receive_within(self, timeout_ms):
        """Return the next message; raise StreamClosedError if none comes in time."""
        await self._yield_sometimes()
        message = self._next_buffered()
        if message is not None:
            return message
        try:
            return await curio.timeout_after(timeout_ms / 1000, self.receive)
        except curio.TaskTimeout:
            raise StreamClosedError(
                "received no message in time", field="ms", value=timeout_ms
            ) from None

    async def _read_more(self):
        try:
            data = await self._socket.recv(READ_BYTES)
        except OSError as error:
            raise StreamClosedError(str(error)) from None
        if not data:
            raise StreamClosedError("peer closed the connection")
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull:
            raise BadMessageError("message exceeds the receive buffer") from None

    async def close(self):
        """Close the connection."""
        await self._socket.close()


async def connect(address, *, timeout_ms):
    """Return a stream to an address; raise UnreachableError if none opens in time."""
    try:
        connection = _new_socket(address)
    except OSError as error:
        # No descriptor is left; others may close.
        raise _unreachable(address, error) from None
    try:
        await curio.timeout_after(timeout_ms / 1000, connection.connect, address)
        _no_delay(connection)
    except (OSError, curio.TaskTimeout) as error:
        await connection.close()
        raise _unreachable(address, error) from None
    except curio.CancelledError:
        await connection.close()
        raise
    return Stream(socket=connection)


def _unreachable(address, error):
    return UnreachableError(
        str(error), field="address", value=":".join(map(str, address))
    )


async def serve(address, handler, *, metrics=None):
    """Accept streams forever and run `handler(stream)` as a task for each.

    Raises BadSettingError if the address can't be bound.
    """

    async def handle_connection(connection):
        _no_delay(connection)
        await handler(Stream(socket=connection))

    listener = await bind_listener(address)
    await accept_connections(listener, handle_connection, metrics=metrics)


def _new_socket(address):
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM)


def _no_delay(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
