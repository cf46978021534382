"""A proxy in front of a core machine's port for the streams of other machines."""

import contextlib
import socket
import threading

__all__ = ["CoreLink", "Cut"]

READ_BYTES = 65_536
#: First bytes of a stream from another core machine: a list of three, its kind, and a
#: short text, which is the machine's name.
REPLICA_HELLO = b"\x93\x4c"
SHORT_TEXT = 0xA0
CONNECT_TIMEOUT_S = 1.0


class Cut:
    """Tell which core machines are partitioned from the other core machines."""

    def __init__(self):
        self.names = frozenset()
        self._links = []

    def add(self, link):
        """Add the proxy of a core machine."""
        self._links.append(link)

    def separates(self, one, other):
        """Return whether two core machines can't reach each other."""
        return (one in self.names) != (other in self.names)

    def heal(self):
        """Let all core machines reach each other again."""
        self.names = frozenset()
        for link in self._links:
            link.end_dropped()


class CoreLink:
    """Pass streams to a core machine on, and drop what a cut holds up, silently."""

    def __init__(self, *, name, address, target, cut):
        self.name = name
        self._target = target
        self._cut = cut
        self._dropped = set()
        self._listener = socket.create_server(address, backlog=64)
        cut.add(self)
        threading.Thread(target=self._accept, daemon=True).start()

    def end_dropped(self):
        """Close the connections that a cut held up; their ends have given up."""
        for side in list(self._dropped):
            self._close(side)
        self._dropped.clear()

    def close(self):
        """Stop accepting."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        try:
            first = client.recv(READ_BYTES)
            peer = _replica_name(first)
            if not first or self._is_cut(peer):
                self._drop(client)
                return
            server = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            self._close(client)
            return
        server.settimeout(None)
        with contextlib.suppress(OSError):
            server.sendall(first)
        back = (server, client, peer)
        threading.Thread(target=self._pass_on, args=back, daemon=True).start()
        self._pass_on(client, server, peer)

    def _is_cut(self, peer):
        return peer is not None and self._cut.separates(peer, self.name)

    def _pass_on(self, source, sink, peer):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if self._is_cut(peer):
                    self._drop(source)
                    return
                sink.sendall(data)
        self._close(source)
        self._close(sink)

    def _drop(self, side):
        """Read and discard what arrives until the other end gives up."""
        self._dropped.add(side)
        with contextlib.suppress(OSError):
            while side.recv(READ_BYTES):
                pass
        self._close(side)

    @staticmethod
    def _close(side):
        with contextlib.suppress(OSError):
            side.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            side.close()


def _replica_name(first):
    """Return the name in the first bytes of a core machine's stream, else None."""
    if not first.startswith(REPLICA_HELLO):
        return None
    length = first[2] - SHORT_TEXT
    return first[3 : 3 + length].decode()
