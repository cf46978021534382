"""soak.proxy: A TCP proxy on loopback that delays, resets, cuts or silences streams."""

import contextlib
import socket
import struct
import threading
import time

__all__ = ["MODES", "Proxy"]

PASS = "pass"
#: What a proxy can do to its streams.
MODES = ("delay", "reset", "silent", "cut-in", "cut-out")
DELAY_S = 0.3
READ_BYTES = 65_536
#: Makes a close send a reset.
LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Carry connections from one address to another, as `mode` says.

    `cut-in` loses what goes to the target, `cut-out` what comes back, `silent` both;
    connections stay open. `reset` ends all of them once.
    """

    def __init__(self, *, address, target):
        self._target = target
        self._pairs = set()
        self.mode = PASS
        self._listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        """Treat streams in another way from now on."""
        self.mode = mode
        if mode == "reset":
            for pair in list(self._pairs):
                self._reset(pair)
            self.mode = PASS

    def close(self):
        """Stop taking connections and end all."""
        # A close alone leaves the address taken while another thread accepts.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for pair in list(self._pairs):
            self._reset(pair)

    def _accept(self):
        while True:
            try:
                front, _ = self._listener.accept()
                back = socket.create_connection(self._target, timeout=2)
            except TimeoutError:
                front.close()
                continue
            except OSError:
                if self._listener.fileno() < 0:
                    return
                front.close()
                continue
            back.settimeout(None)
            pair = (front, back)
            self._pairs.add(pair)
            for source, sink, lost in (
                (front, back, ("silent", "cut-in")),
                (back, front, ("silent", "cut-out")),
            ):
                arguments = (source, sink, lost, pair)
                threading.Thread(
                    target=self._carry, args=arguments, daemon=True
                ).start()

    def _carry(self, source, sink, lost, pair):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    time.sleep(DELAY_S)
                if self.mode in lost:
                    # The rest of this stream would make no sense any more.
                    self._swallow(source)
                    return
                sink.sendall(data)
        self._end(pair)

    @staticmethod
    def _swallow(source):
        with contextlib.suppress(OSError):
            while source.recv(READ_BYTES):
                pass

    def _reset(self, pair):
        for end in pair:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        self._end(pair)

    def _end(self, pair):
        self._pairs.discard(pair)
        for end in pair:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                end.close()
