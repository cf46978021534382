"""soak.proxy: A TCP proxy on loopback that delays, resets or drops streams."""

import contextlib
import socket
import struct
import threading
import time

__all__ = ["MODES", "Proxy"]

PASS = "pass"
#: Faults of streams, the modes besides `pass`.
MODES = ("delay", "reset", "silent", "cut-in", "cut-out")
DELAY_S = 0.3
READ_BYTES = 65_536
#: `SO_LINGER` value that makes a close send a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Forward connections from one address to another, with the faults of a mode.

    `delay` delays all data. `cut-in` drops data to the target, `cut-out` data from
    it, `silent` both; connections stay open. `reset` resets all connections once.
    """

    def __init__(self, *, address, target):
        self._target = target
        self._connections = set()
        self.mode = PASS
        self._listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        """Set the mode; `reset` takes effect at once and leaves the mode `pass`."""
        self.mode = mode
        if mode == "reset":
            for connection in list(self._connections):
                self._reset(connection)
            self.mode = PASS

    def close(self):
        """Stop accepting connections and reset all."""
        # A close alone leaves the address in use while another thread is in accept().
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            self._reset(connection)

    def _accept(self):
        while True:
            try:
                client_side, _ = self._listener.accept()
                target_side = socket.create_connection(self._target, timeout=2)
            except TimeoutError:
                client_side.close()
                continue
            except OSError:
                if self._listener.fileno() < 0:
                    return
                client_side.close()
                continue
            target_side.settimeout(None)
            connection = (client_side, target_side)
            self._connections.add(connection)
            for source, sink, drop_modes in (
                (client_side, target_side, ("silent", "cut-in")),
                (target_side, client_side, ("silent", "cut-out")),
            ):
                arguments = (source, sink, drop_modes, connection)
                threading.Thread(
                    target=self._forward, args=arguments, daemon=True
                ).start()

    def _forward(self, source, sink, drop_modes, connection):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    time.sleep(DELAY_S)
                if self.mode in drop_modes:
                    # Data after the gap could not be parsed as messages.
                    self._discard_input(source)
                    return
                sink.sendall(data)
        self._close_connection(connection)

    @staticmethod
    def _discard_input(source):
        with contextlib.suppress(OSError):
            while source.recv(READ_BYTES):
                pass

    def _reset(self, connection):
        for side in connection:
            with contextlib.suppress(OSError):
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self._close_connection(connection)

    def _close_connection(self, connection):
        self._connections.discard(connection)
        for side in connection:
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                side.close()
