"""knapweeddeal.signals: Delivery of signals to a task."""

import signal
import socket

from curio.io import Socket

__all__ = ["SignalReader"]


class SignalReader:
    """Return the signals that the process receives, one after another.

    The interpreter writes each signal's number to a socket, which wakes the event
    loop, so no code of the program runs inside a signal handler.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self, *, numbers):
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        reader.setblocking(False)
        self._reader = Socket(reader)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _ignore)

    async def next(self):
        """Wait for the next signal and return it."""
        data = await self._reader.recv(1)
        return signal.Signals(data[0])


def _ignore(_number, _frame):
    """Do nothing, as the signal's number is written to the socket."""
