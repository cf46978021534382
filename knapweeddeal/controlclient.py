"""knapweeddeal.controlclient: Ask the control replicas, whichever leads."""

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import (
    KnapweeddealError,
    NoQuorumError,
    NotLeaderError,
    UnreachableError,
    error_from_code,
)
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.options import address_option
from knapweeddeal.stream import connect

__all__ = ["ask", "ask_one"]

#: Longest wait for a connection.
CONNECT_MS = 1_000
#: Longest wait for one replica; one that works answers or says why not before it.
TRY_MS = 3_000
#: Pause before all replicas are asked once more.
PAUSE_MS = 50
#: Rounds in which every replica that answers says that there is no quorum.
MAX_ROUNDS_WITHOUT_QUORUM = 2


async def ask(addresses, message, *, timeout_ms, try_ms=TRY_MS):
    """Return the leader's answer; raise the error that it or the search gave.

    A command may be sent more than once; its request id makes that safe.
    """
    search = _Search(addresses=list(addresses), until_ms=monotonic_ms() + timeout_ms)
    while True:
        address = search.next_address()
        try:
            wait_ms = min(search.left_ms(), try_ms)
            return await ask_one(address, message, timeout_ms=wait_ms)
        except (NotLeaderError, NoQuorumError, UnreachableError) as error:
            search.failed(address, error)
        if search.is_over():
            raise search.error()
        await curio.sleep(search.pause_ms() / 1000)


async def ask_one(address, message, *, timeout_ms):
    """Return one process's answer; raise the error in it, or UnreachableError."""
    try:
        async with curio.timeout_after(timeout_ms / 1000):
            answer = await _exchange(address, message, min(CONNECT_MS, timeout_ms))
    except curio.TaskTimeout:
        raise UnreachableError(
            "didn't answer in time", field="address", value=address
        ) from None
    if isinstance(answer, FailureAnswer):
        raise error_from_code(
            answer.code, answer.text, field=answer.field, value=answer.value
        )
    return answer


async def _exchange(address, message, connect_ms):
    stream = await connect(address, timeout_ms=connect_ms)
    try:
        await stream.send(message)
        return await stream.receive()
    except KnapweeddealError as error:
        raise UnreachableError(
            error.describe(), field="address", value=address
        ) from None
    finally:
        await stream.close()


class _Search:
    """Choose whom to ask next, and remember the failure that says most."""

    __slots__ = ("_addresses", "_error", "_hint", "_place", "_rounds", "_until_ms")
    __slots__ += ("_quiet",)

    def __init__(self, *, addresses, until_ms):
        self._addresses = addresses
        self._until_ms = until_ms
        self._hint = None
        self._place = 0
        self._rounds = 0
        self._quiet = 0
        self._error = None

    def next_address(self):
        """Return the leader that was named, or the next address in turn."""
        if self._hint is not None:
            address, self._hint = self._hint, None
            return address
        address = self._addresses[self._place % len(self._addresses)]
        self._place += 1
        return address

    def failed(self, address, error):
        """Learn from a failure."""
        if isinstance(error, NotLeaderError):
            self._quiet = 0
            self._follow(address, error)
        if isinstance(error, NoQuorumError):
            self._quiet += 1
        if not isinstance(error, NotLeaderError) or self._error is None:
            keep = isinstance(self._error, NoQuorumError)
            self._error = self._error if keep else error

    def _follow(self, address, error):
        if not error.value:
            return
        named = address_option("leader", error.value, None)
        if named != address:
            self._hint = named

    def left_ms(self):
        """Return the time that is left."""
        return max(self._until_ms - monotonic_ms(), 1)

    def pause_ms(self):
        """Return how long to wait before the next ask."""
        at_end = self._place % len(self._addresses) == 0
        return PAUSE_MS if at_end and self._hint is None else 0

    def is_over(self):
        """Tell whether to give up."""
        most = MAX_ROUNDS_WITHOUT_QUORUM * len(self._addresses)
        return monotonic_ms() >= self._until_ms or self._quiet >= most

    def error(self):
        """Return the failure to raise."""
        if isinstance(self._error, NotLeaderError):
            return NoQuorumError("no leader was found", field="leader")
        return self._error
