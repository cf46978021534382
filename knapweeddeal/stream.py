"""knapweeddeal.stream: Streams of messages over TCP, and the server that takes them."""

import curio
import msgpack
from curio import socket

from knapweeddeal.errors import (
    BadMessageError,
    BadSettingError,
    StreamClosedError,
    UnreachableError,
)
from knapweeddeal.messages.base import encode, from_wire

__all__ = ["Stream", "connect", "serve"]

#: Most bytes that wait in a stream for the rest of a message.
MAX_BUFFER_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024
#: Messages that are received before other tasks get their turn.
MAX_IN_A_ROW = 64


class Stream:
    """Carry messages over one TCP connection.

    One task receives and one task sends; senders share a stream by a queue.
    """

    __slots__ = ("_in_a_row", "_socket", "_unpacker")

    def __init__(self, *, socket):
        self._in_a_row = 0
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
            message = self._received()
            if message is not None:
                return message
            await self._fill()

    async def _yield_sometimes(self):
        """Let other tasks run: a busy stream always has a message ready."""
        self._in_a_row += 1
        if self._in_a_row >= MAX_IN_A_ROW:
            self._in_a_row = 0
            await curio.sleep(0)

    def _received(self):
        """Return the next message that has come whole, or None."""
        try:
            for wire in self._unpacker:
                return from_wire(wire)
        except (ValueError, msgpack.UnpackException) as error:
            raise BadMessageError("not msgpack") from error
        return None

    async def receive_within(self, timeout_ms):
        """Return the next message; raise StreamClosedError if none comes in time."""
        await self._yield_sometimes()
        message = self._received()
        if message is not None:
            return message
        try:
            return await curio.timeout_after(timeout_ms / 1000, self.receive)
        except curio.TaskTimeout:
            raise StreamClosedError("silent", field="ms", value=timeout_ms) from None

    async def _fill(self):
        try:
            data = await self._socket.recv(READ_BYTES)
        except OSError as error:
            raise StreamClosedError(str(error)) from None
        if not data:
            raise StreamClosedError("end of stream")
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull:
            raise BadMessageError("message too large") from None

    async def close(self):
        """Close the connection."""
        await self._socket.close()


async def connect(address, *, timeout_ms):
    """Return a stream to an address; raise UnreachableError."""
    connection = _new_socket(address)
    try:
        await curio.timeout_after(timeout_ms / 1000, connection.connect, address)
    except (OSError, curio.TaskTimeout) as error:
        await connection.close()
        raise UnreachableError(
            str(error), field="address", value=":".join(map(str, address))
        ) from None
    except curio.CancelledError:
        await connection.close()
        raise
    _no_delay(connection)
    return Stream(socket=connection)


async def serve(address, handler):
    """Take streams for ever; run `handler(stream)` as a task for each.

    Raises BadSettingError if the address can't be bound.
    """
    listener = _listen(address)

    async def take(connection, _address):
        _no_delay(connection)
        stream = Stream(socket=connection)
        try:
            await handler(stream)
        finally:
            await stream.close()

    await curio.network.run_server(listener, take)


def _new_socket(address):
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM)


def _listen(address):
    try:
        return curio.tcp_server_socket(*address, reuse_address=True)
    except OSError as error:
        raise BadSettingError(
            f"can't be bound: {error.strerror}",
            field="listen",
            value=":".join(map(str, address)),
        ) from None


def _no_delay(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
