"""knapweeddeal.controlclient: Requests to control replicas and leader search."""

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
    "ProcessAnswers",
    "request_each",
    "request_leader",
    "request_one",
    "collect_refusals",
]

#: Timeout of a connection attempt.
CONNECT_TIMEOUT_MS = 1_000
#: Timeout per replica; a working one answers or reports an error sooner.
ATTEMPT_TIMEOUT_MS = 3_000
#: Consecutive rounds in which all replicas fail before the search gives up. One round
#: is too few: an election or a pause of the VMs makes all of them fail once.
MAX_FAILED_ROUNDS = 2
#: Pause between rounds over all replicas.
ROUND_PAUSE_MS = 50


async def request_leader(
    addresses, message, *, timeout_ms, attempt_ms=ATTEMPT_TIMEOUT_MS
):
    """Return the leader's answer; raise its error or the error of the search.

    A command may be sent more than once; its request id makes retries safe.
    """
    search = LeaderSearch(
        addresses=list(addresses), deadline_ms=monotonic_ms() + timeout_ms
    )
    while True:
        address = search.next_address()
        try:
            wait_ms = min(search.remaining_ms(), attempt_ms)
            return await request_one(address, message, timeout_ms=wait_ms)
        except (NotLeaderError, NoQuorumError, UnreachableError) as error:
            search.record_failure(address, error)
        if search.is_exhausted():
            raise search.error()
        await curio.sleep(search.pause_ms() / 1000)


async def request_one(address, message, *, timeout_ms):
    """Return the answer of one process; raise its error or UnreachableError."""
    try:
        async with curio.timeout_after(timeout_ms / 1000):
            answer = await _exchange(
                address, message, min(CONNECT_TIMEOUT_MS, timeout_ms)
            )
    except curio.TaskTimeout:
        raise UnreachableError(
            "did not answer in time", field="address", value=address
        ) from None
    if isinstance(answer, FailureAnswer):
        raise error_from_code(
            answer.code, answer.text, field=answer.field, value=answer.value
        )
    return answer


class ProcessAnswer(Record):
    """Hold the answer of one process, or its error."""

    __slots__ = ("address", "answer", "error")


class ProcessAnswers(Record):
    """Hold the answers of several processes, in the order of the request."""

    __slots__ = ("answers",)

    @property
    def exit_status(self):
        """Return the exit status of the first error, or 0."""
        errors = [one.error for one in self.answers if one.error is not None]
        return errors[0].exit_status if errors else 0


async def request_each(addresses, message, *, timeout_ms):
    """Return the answers and errors of several processes; raise if all have one."""
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(_answer_or_error, address, message, timeout_ms)
            for address in addresses
        ]
    answers = []
    for address, task in zip(addresses, tasks, strict=True):
        failed = isinstance(task.result, KnapweeddealError)
        answers.append(
            ProcessAnswer(
                address="{}:{}".format(*address),
                answer=None if failed else task.result,
                error=task.result if failed else None,
            )
        )
    if all(one.error is not None for one in answers):
        raise answers[0].error
    return ProcessAnswers(answers=answers)


class RefusalSearchResult(Record):
    """Hold the refusals found and the addresses of the replicas that failed."""

    __slots__ = ("records", "failed_addresses")


async def collect_refusals(addresses, message, *, timeout_ms):
    """Return the refusals of all replicas; raise an error if none answers.

    Each replica holds only the refusals that entries sent to it.
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
    """Choose the next address to try, and keep the most informative error."""

    __slots__ = ("_addresses", "_error", "_failed", "_failed_rounds", "_leader_hint")
    __slots__ += ("_next_position", "_deadline_ms")

    def __init__(self, *, addresses, deadline_ms):
        self._addresses = addresses
        self._deadline_ms = deadline_ms
        self._leader_hint = None
        self._next_position = 0
        #: Replicas that failed since the last failed round or the last NotLeaderError.
        self._failed = set()
        self._failed_rounds = 0
        self._error = None

    def next_address(self):
        """Return the hinted leader if there is one, else the next address in turn."""
        if self._leader_hint is not None:
            address, self._leader_hint = self._leader_hint, None
            return address
        address = self._addresses[self._next_position % len(self._addresses)]
        self._next_position += 1
        return address

    def record_failure(self, address, error):
        """Record the failure of an attempt, and its leader hint if it has one."""
        self._failed.add(address)
        if isinstance(error, NotLeaderError):
            self._failed = set()
            self._failed_rounds = 0
            self._record_leader_hint(address, error)
        elif self._failed >= set(self._addresses):
            self._failed = set()
            self._failed_rounds += 1
        if not isinstance(error, NotLeaderError) or self._error is None:
            has_no_quorum_error = isinstance(self._error, NoQuorumError)
            self._error = self._error if has_no_quorum_error else error

    def _record_leader_hint(self, address, error):
        if not error.value:
            return
        leader = address_option("leader", error.value, None)
        if leader != address:
            self._leader_hint = leader

    def remaining_ms(self):
        """Return the time until the deadline, at least 1 ms."""
        return max(self._deadline_ms - monotonic_ms(), 1)

    def pause_ms(self):
        """Return the pause before the next attempt."""
        at_end = self._next_position % len(self._addresses) == 0
        return ROUND_PAUSE_MS if at_end and self._leader_hint is None else 0

    def is_exhausted(self):
        """Return whether to give up: at the deadline or after rounds without quorum."""
        if monotonic_ms() >= self._deadline_ms:
            return True
        has_failed = self._failed_rounds >= MAX_FAILED_ROUNDS
        return has_failed and isinstance(self._error, NoQuorumError)

    def error(self):
        """Return the error to raise."""
        if isinstance(self._error, NotLeaderError):
            return NoQuorumError(
                "no leader found among the control replicas", field="leader"
            )
        return self._error
