"""knapweeddeal.caller: Reference implementation of a caller."""

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

#: Kind of result with the complete answer of a request that ran.
ANSWER = "answer"

MAX_DATAGRAM_BYTES = 2048
FIRST_RETRY_MS = 150
MAX_RETRY_MS = 600
KEEP_ALIVE_MS = 1_000
#: Number of `resend` outcomes after which the caller requests another owner.
RENEW_AFTER_RESENDS = 2


class Result(Record):
    """Hold the outcome of a request: kind, reason and body."""

    __slots__ = ("kind", "reason", "body")


class PendingRequest(Record):
    """Hold a request in progress and the parts of its answer received so far.

    `numbers` are all numbers under which the request was sent; `not_run_numbers` are
    those with the outcome `not_run`.
    """

    __slots__ = (
        "message",
        "numbers",
        "parts",
        "not_run_numbers",
        "resend_count",
        "result",
        "wake",
    )


class CallerFlow:
    """Manage one flow of a caller on its own socket."""

    def __init__(self, *, service, address, rng):
        self.service = service
        self.flow_id = 0
        self.pushes = curio.Queue()
        self.keepalive_acks = 0
        self.ticket_updates = 0
        self._address = address
        self._rng = rng
        self._ticket = b""
        self._last_number = 0
        self._settled = set()
        self._floor = 1
        self._pending = {}
        self._opened = curio.Event()
        self._refusal_reason = ""
        self._nonce = rng.getrandbits(64)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._receive_task = None
        self._keepalive_task = None

    async def open(self, *, deadline_ms):
        """Open the flow; raise UnreachableError if no entry accepts it in time."""
        await self._socket.connect(self._address)
        self._receive_task = await curio.spawn(self._receive)
        message = Open(service=self.service, nonce=self._nonce, deadline_ms=deadline_ms)
        remaining_ms = deadline_ms
        while not self._opened.is_set() and remaining_ms > 0:
            await self._send(message)
            await self._wait(self._opened, FIRST_RETRY_MS)
            remaining_ms -= FIRST_RETRY_MS
        if not self._ticket:
            raise UnreachableError(
                self._refusal_reason or "received no answer within the deadline",
                field="service",
            )
        self._keepalive_task = await curio.spawn(self._keep_alive)

    async def request(self, body, *, idempotent=False, deadline_ms=5_000):
        """Send a request, with retries until it is settled; return its result."""
        self._last_number += 1
        number = self._last_number
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
        pending = PendingRequest(
            message=message,
            numbers={number},
            parts={},
            not_run_numbers=set(),
            resend_count=0,
            result=None,
            wake=curio.Event(),
        )
        self._pending[number] = pending
        await self._send_until_settled(pending, deadline_ms)
        for number in pending.numbers:
            del self._pending[number]
            self._mark_settled(number)
        return pending.result or Result(kind=UNKNOWN, reason="timeout", body=b"")

    async def cancel(self, number):
        """Request the cancellation of a request in progress."""
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
        """Close the flow and its socket."""
        if self._ticket:
            await self._send(self._flow_message(Close))
        for task in (self._keepalive_task, self._receive_task):
            if task is not None:
                await task.cancel()
        await self._socket.close()

    def _flow_message(self, message_class):
        return message_class(
            service=self.service, flow_id=self.flow_id, ticket=self._ticket
        )

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
            if pending.resend_count >= RENEW_AFTER_RESENDS and same_ticket:
                await self._send(self._flow_message(Renew))

    def _next_attempt(self, pending, remaining_ms):
        """Return the message for the next attempt of a request.

        Only an idempotent request may be sent with a new ticket. It then gets a new
        number, so that each number belongs to one ticket.
        """
        message = pending.message.replace(
            attempt=pending.message.attempt + 1, deadline_ms=max(0, remaining_ms)
        )
        has_new_ticket = message.ticket != self._ticket
        if not (message.idempotent and pending.resend_count and has_new_ticket):
            return message
        self._last_number += 1
        self._pending[self._last_number] = pending
        pending.numbers.add(self._last_number)
        return message.replace(ticket=self._ticket, number=self._last_number)

    async def _wait(self, event, wait_ms):
        await curio.ignore_after(wait_ms / 1000, event.wait)

    def _mark_settled(self, number):
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
            AnswerPart: self._on_answer_part,
            KeepAliveAck: self._on_keepalive_ack,
            TicketUpdate: self._on_ticket_update,
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
            # Another entry answered a repeated open; close the surplus flow.
            await self._send(
                Close(
                    service=self.service,
                    flow_id=message.flow_id,
                    ticket=message.ticket,
                )
            )

    async def _on_open_refused(self, message):
        if message.nonce == self._nonce and not self._ticket:
            self._refusal_reason = message.reason
            await self._opened.set()

    async def _on_answer_part(self, message):
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
            pending.resend_count += 1
            return
        if message.kind == NOT_RUN:
            pending.not_run_numbers.add(message.number)
        if message.number != pending.message.number:
            # The outcome is for a number that a later attempt replaced.
            return
        pending.result = _combined_result(pending, message)
        await pending.wake.set()

    async def _on_push(self, message):
        if message.flow_id == self.flow_id:
            await self.pushes.put(message)

    async def _on_ticket_update(self, message):
        if message.flow_id == self.flow_id:
            self._ticket = message.ticket
            self.ticket_updates += 1

    async def _on_keepalive_ack(self, message):
        if message.flow_id == self.flow_id:
            self.keepalive_acks += 1


def _combined_result(pending, outcome):
    """Return the result of a request that may have run under another number."""
    if outcome.kind == NOT_RUN and pending.not_run_numbers != pending.numbers:
        return Result(kind=UNKNOWN, reason="other_ticket", body=b"")
    return Result(kind=outcome.kind, reason=outcome.reason, body=b"")


async def open_flow(service, address, *, rng, deadline_ms=5_000):
    """Open a flow of a service; raise UnreachableError if that fails in time."""
    flow = CallerFlow(service=service, address=address, rng=rng)
    try:
        await flow.open(deadline_ms=deadline_ms)
    except UnreachableError:
        await flow.close()
        raise
    return flow
