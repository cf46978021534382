"""knapweeddeal.packetsocket: The UDP socket of a forwarder."""

import socket

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["bind_packet_socket", "forward_pending"]

log = Log(prefix="forwarder")

#: Receive buffer of the socket; the kernel drops datagrams beyond it.
RECEIVE_BUFFER_BYTES = 512 * 1024
#: Read size; the largest datagram has a prefix of 8 bytes, a header of 32 bytes and
#: 1,200 bytes of data.
MAX_DATAGRAM_BYTES = 2_048
#: Datagrams that are processed before other tasks run.
MAX_PACKETS_PER_TURN = 64


def bind_packet_socket(address):
    """Return a non-blocking UDP socket bound to an address; raise BadSettingError."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        udp_socket.bind(address)
    except OSError as error:
        raise BadSettingError(
            f"can't be bound: {error.strerror}",
            field="[forwarder] packets",
            value=":".join(map(str, address)),
        ) from None
    return udp_socket


def forward_pending(udp_socket, forwarder, metrics):
    """Forward the datagrams received so far; return how many there were."""
    out, now_ms, received = [], monotonic_ms(), 0
    for data in _receive_pending(udp_socket, metrics):
        forwarder.handle_packet(data, now_ms, out)
        received += 1
    forwarder.send_due_hedges(now_ms, out)
    for data, address in out:
        _send(udp_socket, data, address, metrics)
    return received


def _receive_pending(udp_socket, metrics):
    for _ in range(MAX_PACKETS_PER_TURN):
        try:
            data = udp_socket.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            # ICMP error for an earlier datagram sent to a closed port; the socket
            # stays usable.
            metrics.count("receive_errors")
            log.info("failed to receive a datagram", why=str(error))
            continue
        metrics.count("packets_received")
        yield data


def _send(udp_socket, data, address, metrics):
    try:
        udp_socket.sendto(data, address)
    except OSError as error:
        metrics.count("send_errors")
        log.info("failed to send a datagram", to=address, why=str(error))
    else:
        metrics.count("packets_sent")
