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
    """Answer each datagram as a script says; keep what came."""

    def __init__(self, *, script):
        self.came = []
        self._script = script
        self._port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._port.bind((HOST, 0))
        self.address = self._port.getsockname()

    async def run(self):
        """Serve until cancelled."""
        while True:
            data, caller = await self._port.recvfrom(4096)
            message = decode(data)
            self.came.append(message)
            for answer in self._script(message):
                await self._port.sendto(encode(answer), caller)

    def of(self, cls):
        """Return the messages of a class that came."""
        return [message for message in self.came if type(message) is cls]


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


def moved(message):
    """Return a new ticket for a request's flow."""
    return TicketUpdate(service=SERVICE, flow_id=message.flow_id, ticket=b"two")


async def use(entry, action):
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


def run(script, action):
    """Return the entry and the result of an action on an open flow."""

    def with_open(message):
        return [opened(message)] if type(message) is Open else script(message)

    entry = Entry(script=with_open)
    return entry, curio.run(use, entry, action)


class Answers(testscenarios.TestWithScenarios, testtools.TestCase):
    """Parts make up the answer to their own request, in any order."""

    scenarios = [
        ("in order", {"order": (0, 1, 2)}),
        ("crossed", {"order": (2, 0, 1)}),
        ("twice", {"order": (1, 1, 0, 0, 2)}),
    ]

    def test_parts(self):
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

        _, result = run(script, lambda flow: flow.request(b""))
        self.assertEqual((ANSWER, b"abc"), (result.kind, result.body))


class Attempts(testscenarios.TestWithScenarios, testtools.TestCase):
    """Only an idempotent request goes with another ticket than its first."""

    scenarios = [
        ("non-idempotent", {"idempotent": False, "tickets": {b"one"}}),
        ("idempotent", {"idempotent": True, "tickets": {b"one", b"two"}}),
    ]

    def test_tickets(self):
        def script(message):
            if type(message) is not Request:
                return []
            if message.attempt < 2:
                return [moved(message), outcome(message, RESEND)]
            return [part(message, 0, 1, b"done")]

        entry, result = run(
            script, lambda flow: flow.request(b"", idempotent=self.idempotent)
        )
        requests = entry.of(Request)
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
    """An outcome settles a request and raises the floor."""

    scenarios = [(kind, {"kind": kind}) for kind in (NOT_RUN, UNKNOWN)]

    def test_settles(self):
        def script(message):
            return [outcome(message, self.kind)] if type(message) is Request else []

        async def twice(flow):
            first = await flow.request(b"")
            await flow.request(b"")
            return first

        entry, result = run(script, twice)
        self.assertEqual((self.kind, "r"), (result.kind, result.reason))
        self.assertEqual([1, 2], [message.floor for message in entry.of(Request)])

    def test_silence_is_unknown(self):
        _, result = run(lambda _: [], lambda flow: flow.request(b"", deadline_ms=200))
        self.assertEqual((UNKNOWN, "timeout"), (result.kind, result.reason))


class TwoNumbers(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request that went under two tickets is `not_run` only if both say so."""

    scenarios = [
        ("both", {"old": NOT_RUN, "kind": NOT_RUN, "reason": "r"}),
        ("old one silent", {"old": None, "kind": UNKNOWN, "reason": "other_ticket"}),
        (
            "old one unknown",
            {"old": UNKNOWN, "kind": UNKNOWN, "reason": "other_ticket"},
        ),
    ]

    def test_joined(self):
        def script(message):
            if type(message) is not Request:
                return []
            if message.ticket == b"one":
                return [moved(message), outcome(message, RESEND)]
            old = message.replace(number=1)
            told = [outcome(old, self.old)] if self.old else []
            return [*told, outcome(message, NOT_RUN)]

        entry, result = run(script, lambda flow: flow.request(b"", idempotent=True))
        self.assertEqual({1, 2}, {message.number for message in entry.of(Request)})
        self.assertEqual((self.kind, self.reason), (result.kind, result.reason))


class Opens(testtools.TestCase):
    """An open is answered once, refused, or given up."""

    def test_second_flow_is_closed(self):
        def script(message):
            if type(message) is Open:
                return [opened(message), opened(message, flow_id=6, ticket=b"two")]
            return [part(message, 0, 1, b"")] if type(message) is Request else []

        entry = Entry(script=script)
        curio.run(use, entry, lambda flow: flow.request(b""))
        self.assertIn((6, b"two"), [(m.flow_id, m.ticket) for m in entry.of(Close)])

    def test_refused(self):
        def script(message):
            return [OpenRefused(service=SERVICE, nonce=message.nonce, reason="shed")]

        error = self.assertRaises(
            UnreachableError, curio.run, use, Entry(script=script), None
        )
        self.assertEqual("shed", error.text)
