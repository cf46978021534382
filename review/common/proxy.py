"""review.common.proxy: A TCP proxy that holds bytes up, as a partition does."""

import contextlib
import socket
import threading
import time

__all__ = ["Proxy"]


class Proxy:
    """Forward connections to a target, unless they are cut off.

    A connection that is opened during a cut hangs. What is sent then over one that was
    open before arrives after the cut, with the next retransmission of TCP: so it is
    unless the sender resets the connection or loses power.
    """

    #: After a cut of 5 s, the sixth retransmission comes 6.2 s after the first copy.
    RETRANSMIT_S = 1.2

    def __init__(self, *, address, target, record):
        self.host = address[0]
        self._cut = False
        self._hanging = []
        self._record = record
        self._target = target
        self._listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def cut(self):
        """Return whether bytes are held back."""
        return self._cut

    @cut.setter
    def cut(self, value):
        self._cut = value

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            if self._cut:
                self._hanging.append(client)
                continue
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        with contextlib.suppress(OSError):
            server = socket.create_connection(self._target)
            threading.Thread(
                target=self._copy, args=(server, client, False), daemon=True
            ).start()
            self._copy(client, server, True)

    def _copy(self, source, sink, holds):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65_536)
                if holds and self._cut:
                    self._hold(data)
                if not data:
                    break
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _hold(self, data):
        while self._cut:
            time.sleep(0.01)
        time.sleep(self.RETRANSMIT_S)
        if data:
            line = data.partition(b"\r\n")[0].decode(errors="replace")
            self._record.write(f"held up until now: {line}, to {self._target[0]}")
