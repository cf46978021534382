"""knapweeddeal.caller: The reference side of a caller: flows, requests, pushes."""

import curio
from curio import socket

from knapweeddeal.errors import BadMessageError, UnreachableError
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.caller import (
    NOT_RUN,
    RESEND,
    UNKNOWN,
    AnswerPart,
    Cancel,
    Close,
    KeepAlive,
    KeepAliveAck,
    Open,
    Opened,
    OpenRefused,
    Outcome,
    Push,
    Renew,
    Request,
    TicketUpdate,
)
from knapweeddeal.record import Record

__all__ = ["ANSWER", "CallerFlow", "Result", "open_flow"]

#: The request ran and this is its whole answer.
ANSWER = "answer"

MAX_DATAGRAM_BYTES = 2048
FIRST_RETRY_MS = 150
MAX_RETRY_MS = 600
KEEP_ALIVE_MS = 1_000
#: Answers `resend` after which the caller asks for another owner.
RENEW_AFTER = 2


class Result(Record):
    """Hold the outcome of a request: kind, reason and body."""

    __slots__ = ("kind", "reason", "body")


class Pending(Record):
    """Hold a request under way and the parts of its answer so far.

    `numbers` are all that it was sent under, `refused` those that didn't run.
    """

    __slots__ = (
        "message",
        "numbers",
        "parts",
        "refused",
        "resends",
        "result",
        "wake",
    )


class CallerFlow:
    """Hold one flow of a caller on a socket of its own."""

    def __init__(self, *, service, address, rng):
        self.service = service
        self.flow_id = 0
        self.pushes = curio.Queue()
        self.keepalive_acks = 0
        self.ticket_updates = 0
        self._address = address
        self._rng = rng
        self._ticket = b""
        self._number = 0
        self._settled = set()
        self._floor = 1
        self._pending = {}
        self._opened = curio.Event()
        self._refused = ""
        self._nonce = rng.getrandbits(64)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._task = None
        self._keeper = None

    async def open(self, *, deadline_ms):
        """Open the flow; raise UnreachableError."""
        await self._socket.connect(self._address)
        self._task = await curio.spawn(self._receive)
        message = Open(service=self.service, nonce=self._nonce, deadline_ms=deadline_ms)
        remaining_ms = deadline_ms
        while not self._opened.is_set() and remaining_ms > 0:
            await self._send(message)
            await self._wait(self._opened, FIRST_RETRY_MS)
            remaining_ms -= FIRST_RETRY_MS
        if not self._ticket:
            raise UnreachableError(self._refused or "no answer", field="service")
        self._keeper = await curio.spawn(self._keep_alive)

    async def request(self, body, *, idempotent=False, deadline_ms=5_000):
        """Send a request until it is settled; return its result."""
        self._number += 1
        number = self._number
        message = Request(
            service=self.service,
            flow_id=self.flow_id,
            ticket=self._ticket,
            number=number,
            floor=self._floor,
            attempt=0,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
            body=body,
        )
        pending = Pending(
            message=message,
            numbers={number},
            parts={},
            refused=set(),
            resends=0,
            result=None,
            wake=curio.Event(),
        )
        self._pending[number] = pending
        await self._send_until_settled(pending, deadline_ms)
        for number in pending.numbers:
            del self._pending[number]
            self._settle(number)
        return pending.result or Result(kind=UNKNOWN, reason="timeout", body=b"")

    async def cancel(self, number):
        """Ask that a request under way doesn't run."""
        pending = self._pending.get(number)
        if pending is None:
            return
        await self._send(
            Cancel(
                service=self.service,
                flow_id=self.flow_id,
                ticket=pending.message.ticket,
                number=pending.message.number,
            )
        )

    async def close(self):
        """End the flow."""
        if self._ticket:
            await self._send(self._flow_message(Close))
        for task in (self._keeper, self._task):
            if task is not None:
                await task.cancel()
        await self._socket.close()

    def _flow_message(self, cls):
        return cls(service=self.service, flow_id=self.flow_id, ticket=self._ticket)

    async def _send_until_settled(self, pending, remaining_ms):
        wait_ms = FIRST_RETRY_MS
        while pending.result is None and remaining_ms > 0:
            await self._send(pending.message)
            pending.wake.clear()
            await self._wait(pending.wake, min(wait_ms, remaining_ms))
            remaining_ms -= wait_ms
            wait_ms = min(2 * wait_ms, MAX_RETRY_MS)
            pending.message = self._next_attempt(pending, remaining_ms)
            same_ticket = pending.message.ticket == self._ticket
            if pending.resends >= RENEW_AFTER and same_ticket:
                await self._send(self._flow_message(Renew))

    def _next_attempt(self, pending, remaining_ms):
        """Return the request for its next attempt.

        Only an idempotent request may go with another ticket than its first, and
        then under another number, so that each number has one ticket.
        """
        message = pending.message.replace(
            attempt=pending.message.attempt + 1, deadline_ms=max(0, remaining_ms)
        )
        moved = message.ticket != self._ticket
        if not (message.idempotent and pending.resends and moved):
            return message
        self._number += 1
        self._pending[self._number] = pending
        pending.numbers.add(self._number)
        return message.replace(ticket=self._ticket, number=self._number)

    async def _wait(self, event, wait_ms):
        await curio.ignore_after(wait_ms / 1000, event.wait)

    def _settle(self, number):
        self._settled.add(number)
        while self._floor in self._settled:
            self._settled.discard(self._floor)
            self._floor += 1

    async def _send(self, message):
        try:
            await self._socket.send(encode(message))
        except OSError:
            return

    async def _keep_alive(self):
        while True:
            await curio.sleep(KEEP_ALIVE_MS / 1000)
            await self._send(self._flow_message(KeepAlive))

    async def _receive(self):
        handlers = {
            AnswerPart: self._on_part,
            KeepAliveAck: self._on_kept_alive,
            TicketUpdate: self._on_moved,
            OpenRefused: self._on_open_refused,
            Opened: self._on_opened,
            Outcome: self._on_outcome,
            Push: self._on_push,
        }
        while True:
            try:
                message = decode(await self._socket.recv(MAX_DATAGRAM_BYTES))
            except (BadMessageError, OSError):
                continue
            handler = handlers.get(type(message))
            if handler is not None and message.service == self.service:
                await handler(message)

    async def _on_opened(self, message):
        if message.nonce != self._nonce:
            return
        if not self._ticket:
            self.flow_id = message.flow_id
            self._ticket = message.ticket
            await self._opened.set()
        elif message.flow_id != self.flow_id:
            # Another entry answered a repeated open; its flow isn't wanted.
            await self._send(
                Close(
                    service=self.service,
                    flow_id=message.flow_id,
                    ticket=message.ticket,
                )
            )

    async def _on_open_refused(self, message):
        if message.nonce == self._nonce and not self._ticket:
            self._refused = message.reason
            await self._opened.set()

    async def _on_part(self, message):
        pending = self._pending.get(message.number)
        if pending is None or message.flow_id != self.flow_id:
            return
        if message.part >= message.parts:
            return
        parts = pending.parts.setdefault(message.number, {})
        parts[message.part] = message.body
        if len(parts) == message.parts:
            body = b"".join(parts[part] for part in range(message.parts))
            pending.result = Result(kind=ANSWER, reason="", body=body)
            await pending.wake.set()

    async def _on_outcome(self, message):
        pending = self._pending.get(message.number)
        if pending is None or message.flow_id != self.flow_id:
            return
        if message.kind == RESEND:
            pending.resends += 1
            return
        if message.kind == NOT_RUN:
            pending.refused.add(message.number)
        if message.number != pending.message.number:
            # It speaks of a number that was given up for another one.
            return
        pending.result = _joined_result(pending, message)
        await pending.wake.set()

    async def _on_push(self, message):
        if message.flow_id == self.flow_id:
            await self.pushes.put(message)

    async def _on_moved(self, message):
        if message.flow_id == self.flow_id:
            self._ticket = message.ticket
            self.ticket_updates += 1

    async def _on_kept_alive(self, message):
        if message.flow_id == self.flow_id:
            self.keepalive_acks += 1


def _joined_result(pending, outcome):
    """Return the result of a request, which may have run under another number."""
    if outcome.kind == NOT_RUN and pending.refused != pending.numbers:
        return Result(kind=UNKNOWN, reason="other_ticket", body=b"")
    return Result(kind=outcome.kind, reason=outcome.reason, body=b"")


async def open_flow(service, address, *, rng, deadline_ms=5_000):
    """Return an open flow of a service; raise UnreachableError."""
    flow = CallerFlow(service=service, address=address, rng=rng)
    try:
        await flow.open(deadline_ms=deadline_ms)
    except UnreachableError:
        await flow.close()
        raise
    return flow
