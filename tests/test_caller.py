"""tests.test_caller: Tests of the reference caller against a scripted entry."""

import random

import curio
import testscenarios
import testtools
from curio import socket

from knapweeddeal.caller import ANSWER, open_flow
from knapweeddeal.errors import UnreachableError
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.caller import (
    NOT_RUN,
    RESEND,
    UNKNOWN,
    AnswerPart,
    Close,
    Open,
    Opened,
    OpenRefused,
    Outcome,
    Request,
    TicketUpdate,
)

SERVICE = "records"
HOST = "127.0.0.1"


class Entry:
    """Answer each datagram by a script, and record it."""

    def __init__(self, *, script):
        self.received = []
        self._script = script
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((HOST, 0))
        self.address = self._socket.getsockname()

    async def run(self):
        """Serve until cancelled."""
        while True:
            data, caller = await self._socket.recvfrom(4096)
            message = decode(data)
            self.received.append(message)
            for answer in self._script(message):
                await self._socket.sendto(encode(answer), caller)

    def received_of(self, message_class):
        """Return the received messages of a class."""
        return [message for message in self.received if type(message) is message_class]


def opened(message, flow_id=5, ticket=b"one"):
    """Return the answer to an open."""
    return Opened(service=SERVICE, nonce=message.nonce, flow_id=flow_id, ticket=ticket)


def part(message, part, parts, body):
    """Return a part of an answer to a request."""
    return AnswerPart(
        service=SERVICE,
        flow_id=message.flow_id,
        number=message.number,
        part=part,
        parts=parts,
        body=body,
    )


def outcome(message, kind):
    """Return an outcome of a request."""
    return Outcome(
        service=SERVICE,
        flow_id=message.flow_id,
        number=message.number,
        kind=kind,
        reason="r",
    )


def ticket_update(message):
    """Return a message with a new ticket for the flow of a request."""
    return TicketUpdate(service=SERVICE, flow_id=message.flow_id, ticket=b"two")


async def run_on_flow(entry, action):
    """Run an action on an open flow of an entry."""
    task = await curio.spawn(entry.run)
    try:
        flow = await open_flow(
            SERVICE, entry.address, rng=random.Random(1), deadline_ms=3_000
        )
        result = await action(flow)
        await flow.close()
        return result
    finally:
        await task.cancel()


def run_script(script, action):
    """Return the entry and the result of an action on an open flow."""

    def with_open(message):
        return [opened(message)] if type(message) is Open else script(message)

    entry = Entry(script=with_open)
    return entry, curio.run(run_on_flow, entry, action)


class AnswerParts(testscenarios.TestWithScenarios, testtools.TestCase):
    """An answer is assembled from its parts in any order, also if parts repeat.

    Parts of other requests or flows must not get into it.
    """

    scenarios = [
        ("in order", {"order": (0, 1, 2)}),
        ("out of order", {"order": (2, 0, 1)}),
        ("duplicated", {"order": (1, 1, 0, 0, 2)}),
    ]

    def test_assembled_answer(self):
        bodies = (b"a", b"b", b"c")

        def script(message):
            if type(message) is not Request:
                return []
            first, *rest = self.order
            other = message.replace(number=message.number + 1)
            foreign = message.replace(flow_id=99)
            return [
                part(message, first, 3, bodies[first]),
                part(other, first, 3, b"of another request"),
                part(foreign, first, 3, b"of another flow"),
                *(part(message, index, 3, bodies[index]) for index in rest),
            ]

        _, result = run_script(script, lambda flow: flow.request(b""))
        self.assertEqual((ANSWER, b"abc"), (result.kind, result.body))


class Attempts(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only an idempotent request may be sent again with a new ticket.

    The owner of the new ticket could otherwise run a request a second time.
    """

    scenarios = [
        ("non-idempotent", {"idempotent": False, "tickets": {b"one"}}),
        ("idempotent", {"idempotent": True, "tickets": {b"one", b"two"}}),
    ]

    def test_tickets_of_attempts(self):
        def script(message):
            if type(message) is not Request:
                return []
            if message.attempt < 2:
                return [ticket_update(message), outcome(message, RESEND)]
            return [part(message, 0, 1, b"done")]

        entry, result = run_script(
            script, lambda flow: flow.request(b"", idempotent=self.idempotent)
        )
        requests = entry.received_of(Request)
        self.assertEqual(ANSWER, result.kind)
        self.assertEqual([0, 1, 2], [message.attempt for message in requests])
        self.assertEqual(self.tickets, {message.ticket for message in requests})
        numbers = {(message.number, message.ticket) for message in requests}
        self.assertEqual(len(self.tickets), len(numbers))
        self.assertEqual(len(self.tickets), len({number for number, _ in numbers}))
        deadlines = [message.deadline_ms for message in requests]
        self.assertEqual(sorted(deadlines, reverse=True), deadlines)
        self.assertLess(deadlines[-1], deadlines[0])


class Outcomes(testscenarios.TestWithScenarios, testtools.TestCase):
    """An outcome settles a request, which raises the floor of later requests."""

    scenarios = [(kind, {"kind": kind}) for kind in (NOT_RUN, UNKNOWN)]

    def test_request_is_settled(self):
        def script(message):
            return [outcome(message, self.kind)] if type(message) is Request else []

        async def request_twice(flow):
            first = await flow.request(b"")
            await flow.request(b"")
            return first

        entry, result = run_script(script, request_twice)
        self.assertEqual((self.kind, "r"), (result.kind, result.reason))
        self.assertEqual(
            [1, 2], [message.floor for message in entry.received_of(Request)]
        )

    def test_no_answer_gives_unknown(self):
        _, result = run_script(
            lambda _: [], lambda flow: flow.request(b"", deadline_ms=200)
        )
        self.assertEqual((UNKNOWN, "timeout"), (result.kind, result.reason))


class OutcomeUnderTwoTickets(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request sent under two tickets is `not_run` only if both owners report it.

    Otherwise the request may have run under the old ticket, and a caller that
    repeats it would run it twice.
    """

    scenarios = [
        ("both not run", {"old": NOT_RUN, "kind": NOT_RUN, "reason": "r"}),
        (
            "no outcome for old ticket",
            {"old": None, "kind": UNKNOWN, "reason": "other_ticket"},
        ),
        (
            "old ticket unknown",
            {"old": UNKNOWN, "kind": UNKNOWN, "reason": "other_ticket"},
        ),
    ]

    def test_combined_outcome(self):
        def script(message):
            if type(message) is not Request:
                return []
            if message.ticket == b"one":
                return [ticket_update(message), outcome(message, RESEND)]
            old = message.replace(number=1)
            old_outcomes = [outcome(old, self.old)] if self.old else []
            return [*old_outcomes, outcome(message, NOT_RUN)]

        entry, result = run_script(
            script, lambda flow: flow.request(b"", idempotent=True)
        )
        self.assertEqual(
            {1, 2}, {message.number for message in entry.received_of(Request)}
        )
        self.assertEqual((self.kind, self.reason), (result.kind, result.reason))


class Opens(testtools.TestCase):
    """A second answer to an open must not leak a flow; a refusal gives its reason."""

    def test_second_flow_is_closed(self):
        def script(message):
            if type(message) is Open:
                return [opened(message), opened(message, flow_id=6, ticket=b"two")]
            return [part(message, 0, 1, b"")] if type(message) is Request else []

        entry = Entry(script=script)
        curio.run(run_on_flow, entry, lambda flow: flow.request(b""))
        self.assertIn(
            (6, b"two"), [(m.flow_id, m.ticket) for m in entry.received_of(Close)]
        )

    def test_refusal_gives_reason(self):
        def script(message):
            return [OpenRefused(service=SERVICE, nonce=message.nonce, reason="shed")]

        error = self.assertRaises(
            UnreachableError, curio.run, run_on_flow, Entry(script=script), None
        )
        self.assertEqual("shed", error.text)
