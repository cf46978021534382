"""knapweeddeal.packetsocket: The UDP socket of a forwarder."""

import errno
import socket
import time

from knapweeddeal.clock import earliest, monotonic_ms
from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["PacketSocket", "bind_packet_socket"]

log = Log(prefix="forwarder")

#: Longest wait for an address that is in use, and the pause between attempts.
BIND_WAIT_MS = 10_000
BIND_RETRY_MS = 20
#: Receive buffer of the socket; the kernel drops datagrams beyond it.
RECEIVE_BUFFER_BYTES = 512 * 1024
#: Read size; the largest datagram has a prefix of 8 bytes, a header of 32 bytes and
#: 1,200 bytes of data.
MAX_DATAGRAM_BYTES = 2_048
#: Datagrams that are processed before other tasks run.
MAX_PACKETS_PER_TURN = 64


def bind_packet_socket(address):
    """Return a non-blocking UDP socket bound to an address; raise BadSettingError.

    Waits `BIND_WAIT_MS` for an address that is in use, as listeners do.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    deadline_ms = monotonic_ms() + BIND_WAIT_MS
    while True:
        try:
            udp_socket.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or monotonic_ms() >= deadline_ms:
                udp_socket.close()
                raise BadSettingError(
                    f"can't be bound: {error.strerror}",
                    field="[forwarder] packets",
                    value=":".join(map(str, address)),
                ) from None
        else:
            return udp_socket
        time.sleep(BIND_RETRY_MS / 1000)


class PacketSocket:
    """Receive and send datagrams as the forwarder and its egress queue decide."""

    __slots__ = ("_egress", "_forwarder", "_metrics", "_socket")

    def __init__(self, *, udp_socket, forwarder, egress, metrics):
        self._forwarder = forwarder
        self._egress = egress
        self._metrics = metrics
        self._socket = udp_socket

    def fileno(self):
        """Return the file descriptor, for `select`."""
        return self._socket.fileno()

    def close(self):
        """Close the socket."""
        self._socket.close()

    def next_due_ms(self, now_ms):
        """Return when `forward_pending` must be called next, or None."""
        return earliest(self._forwarder.next_due_ms, self._egress.next_due_ms(now_ms))

    def forward_pending(self):
        """Forward the datagrams received so far; return how many there were."""
        out, now_ms, received = [], monotonic_ms(), 0
        self._forwarder.release_held(now_ms, out)
        for data in self._receive_pending():
            received += 1
            try:
                self._forwarder.handle_packet(data, now_ms, out)
            except Exception as error:
                # One packet must not end the process, which forwards all others.
                self._report_fault(error)
        self._forwarder.release_permitted(now_ms, out)
        self._forwarder.send_due_hedges(now_ms, out)
        for data, address in self._egress.release(out, now_ms):
            self._send(data, address)
        return received

    def _report_fault(self, error):
        # Imported late, as it isn't needed for the first packets.
        import traceback

        self._metrics.count("packet_errors")
        log.warning(
            "failed to handle a packet",
            error=repr(error),
            trace="".join(traceback.format_exception(error)),
        )

    def _receive_pending(self):
        for _ in range(MAX_PACKETS_PER_TURN):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # ICMP error for an earlier datagram sent to a closed port; the socket
                # stays usable.
                self._metrics.count("receive_errors")
                log.info("failed to receive a datagram", why=str(error))
                continue
            self._metrics.count("packets_received")
            yield data

    def _send(self, data, address):
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._metrics.count("send_errors")
            log.info("failed to send a datagram", to=address, why=str(error))
        else:
            self._metrics.count("packets_sent")
