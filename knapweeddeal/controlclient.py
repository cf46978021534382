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
from knapweeddeal.record import Record
from knapweeddeal.stream import connect

__all__ = [
    "RefusalSearchResult",
    "LeaderSearch",
    "request_leader",
    "request_one",
    "collect_refusals",
]

#: Longest wait for a connection.
CONNECT_MS = 1_000
#: Longest wait for one replica; one that works answers or says why not before it.
TRY_MS = 3_000
#: Times that all replicas in a row must fail before the search gives up: an election
#: or a pause of the VMs fails all of them once.
MAX_FAILED_ROUNDS = 2
#: Pause before all replicas are asked once more.
PAUSE_MS = 50


async def request_leader(addresses, message, *, timeout_ms, try_ms=TRY_MS):
    """Return the leader's answer; raise the error that it or the search gave.

    A command may be sent more than once; its request id makes that safe.
    """
    search = LeaderSearch(
        addresses=list(addresses), until_ms=monotonic_ms() + timeout_ms
    )
    while True:
        address = search.next_address()
        try:
            wait_ms = min(search.remaining_ms(), try_ms)
            return await request_one(address, message, timeout_ms=wait_ms)
        except (NotLeaderError, NoQuorumError, UnreachableError) as error:
            search.record_failure(address, error)
        if search.is_exhausted():
            raise search.error()
        await curio.sleep(search.pause_ms() / 1000)


async def request_one(address, message, *, timeout_ms):
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


class RefusalSearchResult(Record):
    """Hold refusals that replicas gave, and the replicas that gave none by fault."""

    __slots__ = ("records", "failed_addresses")


async def collect_refusals(addresses, message, *, timeout_ms):
    """Return the refusals that all replicas hold; raise if none answers.

    Each replica holds what entries handed to it, so one alone knows only a part.
    """
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(_answer_or_error, address, message, timeout_ms)
            for address in addresses
        ]
    by_id, failed_addresses, errors = {}, [], []
    for address, task in zip(addresses, tasks, strict=True):
        answer = task.result
        if isinstance(answer, KnapweeddealError):
            failed_addresses.append(address)
            errors.append(answer)
            continue
        by_id.update((record.record_id, record) for record in answer.records)
    if len(failed_addresses) == len(addresses):
        raise errors[0]
    records = sorted(by_id.values(), key=lambda record: record.refused_ms)
    return RefusalSearchResult(
        records=records[: message.limit or None], failed_addresses=failed_addresses
    )


async def _answer_or_error(address, message, timeout_ms):
    try:
        return await request_one(address, message, timeout_ms=timeout_ms)
    except KnapweeddealError as error:
        return error


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


class LeaderSearch:
    """Choose whom to ask next, and remember the failure that says most."""

    __slots__ = ("_addresses", "_error", "_failed", "_failed_rounds", "_hint")
    __slots__ += ("_place", "_until_ms")

    def __init__(self, *, addresses, until_ms):
        self._addresses = addresses
        self._until_ms = until_ms
        self._hint = None
        self._place = 0
        #: Replicas that failed since the last round of failures, or a named leader.
        self._failed = set()
        self._failed_rounds = 0
        self._error = None

    def next_address(self):
        """Return the leader that was named, or the next address in turn."""
        if self._hint is not None:
            address, self._hint = self._hint, None
            return address
        address = self._addresses[self._place % len(self._addresses)]
        self._place += 1
        return address

    def record_failure(self, address, error):
        """Learn from a failure."""
        self._failed.add(address)
        if isinstance(error, NotLeaderError):
            self._failed = set()
            self._failed_rounds = 0
            self._follow(address, error)
        elif self._failed >= set(self._addresses):
            self._failed = set()
            self._failed_rounds += 1
        if not isinstance(error, NotLeaderError) or self._error is None:
            keep = isinstance(self._error, NoQuorumError)
            self._error = self._error if keep else error

    def _follow(self, address, error):
        if not error.value:
            return
        named = address_option("leader", error.value, None)
        if named != address:
            self._hint = named

    def remaining_ms(self):
        """Return the time that is left."""
        return max(self._until_ms - monotonic_ms(), 1)

    def pause_ms(self):
        """Return how long to wait before the next ask."""
        at_end = self._place % len(self._addresses) == 0
        return PAUSE_MS if at_end and self._hint is None else 0

    def is_exhausted(self):
        """Tell whether to give up: at the end, or when no replica knows a leader."""
        if monotonic_ms() >= self._until_ms:
            return True
        has_failed = self._failed_rounds >= MAX_FAILED_ROUNDS
        return has_failed and isinstance(self._error, NoQuorumError)

    def error(self):
        """Return the failure to raise."""
        if isinstance(self._error, NotLeaderError):
            return NoQuorumError("no leader was found", field="leader")
        return self._error
