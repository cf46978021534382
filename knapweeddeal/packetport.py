"""knapweeddeal.packetport: The UDP socket of a forwarder."""

import socket

from knapweeddeal.errors import BadSettingError

__all__ = ["bind_packets"]

#: Datagrams that the kernel keeps for this process; more are lost.
RECEIVE_BUFFER_BYTES = 512 * 1024


def bind_packets(address):
    """Return a socket on which packets wait; raise BadSettingError."""
    port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    port.setblocking(False)
    port.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        port.bind(address)
    except OSError as error:
        raise BadSettingError(
            f"can't be bound: {error.strerror}",
            field="[forwarder] packets",
            value=":".join(map(str, address)),
        ) from None
    return port
