"""knapweeddeal.packetsocket: The UDP socket of a forwarder."""

import socket

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["bind_packet_socket", "forward_pending"]

log = Log(prefix="forwarder")

#: Datagrams that the kernel keeps for this process; more are lost.
RECEIVE_BUFFER_BYTES = 512 * 1024
#: Largest datagram: an 8-byte prefix, a head of 32 bytes and 1,200 bytes of data.
MAX_DATAGRAM_BYTES = 2_048
#: Datagrams that are taken before other tasks get their turn.
MAX_IN_A_ROW = 64


def bind_packet_socket(address):
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


def forward_pending(port, forwarder, metrics):
    """Take what has come and send what it leads to; return how much came."""
    out, now_ms, taken = [], monotonic_ms(), 0
    for data in _received(port, metrics):
        forwarder.handle_packet(data, now_ms, out)
        taken += 1
    forwarder.send_due_hedges(now_ms, out)
    for data, address in out:
        _send(port, data, address, metrics)
    return taken


def _received(port, metrics):
    for _ in range(MAX_IN_A_ROW):
        try:
            data = port.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            # An earlier datagram met a closed port; the socket itself is sound.
            metrics.count("receive_errors")
            log.info("can't receive", why=str(error))
            continue
        metrics.count("packets_received")
        yield data


def _send(port, data, address, metrics):
    try:
        port.sendto(data, address)
    except OSError as error:
        metrics.count("send_errors")
        log.info("can't send", to=address, why=str(error))
    else:
        metrics.count("packets_sent")
