"""tests.test_httpserver: Tests of the HTTP server."""

from itertools import pairwise
from unittest import mock

import curio
import h11
import testscenarios
import testtools

from knapweeddeal import httpserver
from knapweeddeal.httpserver import (
    MAX_BODY_BYTES,
    HttpResponse,
    read_request,
    serve_http,
)
from tests.processes import free_port

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
PUT = b"PUT /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
CLOSE = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def echo(request):
    """Answer with the method, target and body of the request."""
    text = f"{request.method} {request.target} {request.body.decode()}"
    return HttpResponse(status=200, body=text.encode())


class Requests(testscenarios.TestWithScenarios, testtools.TestCase):
    """Malformed and oversized requests get an error status; others are answered."""

    scenarios = [
        ("get", {"data": CLOSE, "statuses": [b"200"], "body": b"GET /a "}),
        ("body", {"data": PUT + CLOSE, "statuses": [b"200"] * 2, "body": b"/b abc"}),
        ("kept open", {"data": GET + GET + CLOSE, "statuses": [b"200"] * 3}),
        ("not HTTP", {"data": b"\0\1\2\r\n\r\n", "statuses": [b"400"]}),
        (
            "head too long",
            {"data": b"GET /" + b"a" * 40_000, "statuses": [b"431"]},
        ),
        (
            "body too long",
            {
                "data": b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n"
                + b"x" * (MAX_BODY_BYTES + 1),
                "statuses": [b"413"],
            },
        ),
        ("truncated", {"data": GET[:-4], "statuses": [b"400"], "half_closed": True}),
    ]
    body = b""
    half_closed = False

    def test_response(self):
        answer = curio.run(self.exchange)
        statuses = [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(self.statuses, statuses)
        self.assertIn(self.body, answer)

    async def exchange(self):
        """Send the data, and return all that the server answers."""
        address = ("127.0.0.1", free_port())
        server = await curio.spawn(serve_http, address, echo, daemon=True)
        await curio.sleep(0.01)
        connection = await curio.open_connection(*address)
        await connection.sendall(self.data)
        if self.half_closed:
            await connection.shutdown(1)
        answer = b""
        async with curio.ignore_after(2):
            while part := await connection.recv(65_536):
                answer += part
        await connection.close()
        await server.cancel()
        return answer


class BufferedConnection:
    """Stand in for a connection whose data has arrived, so that reads don't block."""

    def __init__(self, data):
        self.data = data

    async def recv(self, size):
        """Return the next bytes."""
        part, self.data = self.data[:size], self.data[size:]
        return part


class LargeBody(testtools.TestCase):
    """Other tasks run while a body is read that has arrived already.

    A replica lost its leadership while it read one document.
    """

    BODY_BYTES = 1 << 20
    CHUNKS = 10_000
    MIN_TURNS = 10

    def test_turns(self):
        head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        body, turns = self.read(head % self.BODY_BYTES + b"x" * self.BODY_BYTES)
        self.assertEqual(self.BODY_BYTES, len(body))
        self.assertGreater(len(set(turns)), self.MIN_TURNS)

    def test_chunks_of_one_byte(self):
        head = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        body, turns = self.read(head + b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n")
        self.assertEqual(self.CHUNKS, len(body))
        self.assertGreater(len(turns), self.MIN_TURNS)

    def read(self, data):
        """Return the body in some data, and what was left at each turn of a task."""
        connection = BufferedConnection(data)
        turns = []

        async def take_turns():
            while True:
                turns.append(len(connection.data))
                await curio.sleep(0)

        async def run():
            other = await curio.spawn(take_turns, daemon=True)
            request = await read_request(connection, h11.Connection(h11.SERVER), {})
            await other.cancel()
            return request

        return curio.run(run).body, turns


class BufferedRequests(testtools.TestCase):
    """Other tasks run between requests that have arrived already.

    One connection with many small requests held up the heartbeats of a replica.
    """

    REQUESTS = 500
    MAX_REQUESTS_IN_A_ROW = 10

    def test_turns(self):
        handled, handled_by_turn = [], []

        async def count(request):
            handled.append(request)
            return HttpResponse(status=200)

        async def take_turns():
            while True:
                handled_by_turn.append(len(handled))
                await curio.sleep(0)

        async def run():
            address = ("127.0.0.1", free_port())
            server = await curio.spawn(serve_http, address, count, daemon=True)
            await curio.sleep(0.01)
            connection = await curio.open_connection(*address)
            other = await curio.spawn(take_turns, daemon=True)
            await connection.sendall(GET * self.REQUESTS + CLOSE)
            while await connection.recv(1 << 20):
                pass
            await connection.close()
            await other.cancel()
            await server.cancel()

        curio.run(run)
        self.assertEqual(self.REQUESTS + 1, len(handled))
        in_a_row = max(after - before for before, after in pairwise(handled_by_turn))
        self.assertLessEqual(in_a_row, self.MAX_REQUESTS_IN_A_ROW)


class ConnectionLimit(testscenarios.TestWithScenarios, testtools.TestCase):
    """Clients that wait, or send slowly, don't keep descriptors from others."""

    scenarios = [
        ("idle", {"data": b""}),
        ("after a request", {"data": GET}),
        ("half a head", {"data": GET[:10]}),
        ("half a body", {"data": PUT[:-1]}),
    ]
    LIMIT = 4

    def test_longest_wait_closed(self):
        with mock.patch.object(httpserver, "MAX_CONNECTIONS", self.LIMIT, create=True):
            closed = curio.run(self.open_connections)
        self.assertEqual([True, True, False, False, False, False], closed)

    async def open_connections(self):
        """Return which of six connections the server has closed."""
        address = ("127.0.0.1", free_port())
        server = await curio.spawn(serve_http, address, echo, daemon=True)
        await curio.sleep(0.01)
        connections = []
        for _ in range(self.LIMIT + 2):
            connections.append(await curio.open_connection(*address))
            await connections[-1].sendall(self.data)
            await curio.sleep(0.01)
        closed = [await self.is_closed(connection) for connection in connections]
        for connection in connections:
            await connection.close()
        await server.cancel()
        return closed

    @staticmethod
    async def is_closed(connection):
        """Return whether the server ended a connection."""
        async with curio.ignore_after(0.1):
            while await connection.recv(4_096):
                pass
            return True
        return False


class BusyConnection(testtools.TestCase):
    """A connection that sends requests outlives those that wait longer."""

    def test_kept(self):
        with mock.patch.object(httpserver, "MAX_CONNECTIONS", 3, create=True):
            self.assertEqual(20, curio.run(self.count_answers))

    async def count_answers(self):
        """Return the answers to 20 requests beside 20 idle connections."""
        address = ("127.0.0.1", free_port())
        server = await curio.spawn(serve_http, address, echo, daemon=True)
        await curio.sleep(0.01)
        busy, answers = await curio.open_connection(*address), 0
        idle = []
        for _ in range(20):
            idle.append(await curio.open_connection(*address))
            await curio.sleep(0.01)
            await busy.sendall(GET)
            answers += (await busy.recv(4_096)).startswith(b"HTTP/1.1 200")
        for connection in (busy, *idle):
            await connection.close()
        await server.cancel()
        return answers
