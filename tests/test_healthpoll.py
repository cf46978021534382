"""tests.test_healthpoll: Tests of health polls and of malformed responses."""

import json

import curio
import testscenarios
import testtools

from knapweeddeal.directory import Upstream
from knapweeddeal.errors import BadMessageError
from knapweeddeal.healthpoll import (
    MAX_FIGURES,
    MAX_POLLS_PER_CALL,
    REPEAT_MS,
    HealthPoll,
    Poll,
)
from knapweeddeal.healthreader import Health, HealthReader, health_request
from knapweeddeal.healthserver import serve_health
from knapweeddeal.healthtask import HealthTask
from knapweeddeal.inbox import Inbox
from knapweeddeal.messages.peer import LoadRequest, LoadSample, UpstreamName
from tests.directoryfakes import announce
from tests.processes import free_port

POLL_MS = 1_000
FIGURES = b'{"outstanding": 3, "connections": 40}'
HEAD = b"HTTP/1.1 200 OK\r\n"


def http_response(body, status=b"200 OK"):
    """Return an HTTP response."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def read(data, size):
    """Return the health that a reader returns for bytes fed in pieces."""
    connection, _ = health_request("127.0.0.1")
    reader = HealthReader(connection=connection)
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    for piece in [*pieces, b""]:
        health = reader.feed(piece)
        if health is not None:
            return health
    return None


class ValidResponses(testscenarios.TestWithScenarios, testtools.TestCase):
    """Responses of several HTTP framings are read, in pieces of any size."""

    chunked = (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n25\r\n" + FIGURES + b"\r\n0\r\n\r\n"
    )
    scenarios = testscenarios.multiply_scenarios(
        [
            ("content length", {"data": http_response(FIGURES), "healthy": True}),
            (
                "unhealthy",
                {"data": http_response(FIGURES, b"503 No"), "healthy": False},
            ),
            ("chunked", {"data": chunked, "healthy": True}),
            (
                "until the connection closes",
                {"data": HEAD + b"\r\n" + FIGURES, "healthy": True},
            ),
        ],
        [(f"{size} bytes", {"size": size}) for size in (1, 7, 4096)],
    )

    def test_read(self):
        expected = Health(healthy=self.healthy, outstanding=3, connections=40)
        self.assertEqual(expected, read(self.data, self.size))


class MalformedResponses(testscenarios.TestWithScenarios, testtools.TestCase):
    """Malformed responses raise BadMessageError and no other error.

    An unexpected error would end the task that polls.
    """

    scenarios = [
        ("empty", {"data": b""}),
        ("garbage", {"data": b"\x00\xff" * 50 + b"\r\n\r\n"}),
        ("endless head", {"data": HEAD + b"A: b\r\n" * 10_000}),
        ("cut short", {"data": http_response(FIGURES)[:-3]}),
        ("body too long", {"data": http_response(b" " * 5_000 + FIGURES)}),
        ("not JSON", {"data": http_response(b"fine")}),
        ("deep JSON", {"data": http_response(b"[" * 4_000)}),
        ("list", {"data": http_response(b"[3, 40]")}),
        ("missing count", {"data": http_response(b'{"outstanding": 3}')}),
        ("text", {"data": http_response(b'{"outstanding": "3", "connections": 40}')}),
        (
            "negative",
            {"data": http_response(b'{"outstanding": -3, "connections": 40}')},
        ),
        (
            "fraction",
            {"data": http_response(b'{"outstanding": 0.5, "connections": 40}')},
        ),
        (
            "boolean",
            {"data": http_response(b'{"outstanding": true, "connections": 40}')},
        ),
        (
            "count above the limit",
            {"data": http_response(b'{"outstanding": 3, "connections": 4000000}')},
        ),
        (
            "not finite",
            {"data": http_response(b'{"outstanding": NaN, "connections": 4}')},
        ),
    ]

    def test_raises(self):
        self.assertRaises(BadMessageError, read, self.data, 4096)


def health(outstanding=0, connections=0):
    """Return the health of a healthy upstream."""
    return Health(healthy=True, outstanding=outstanding, connections=connections)


def health_poll(count):
    """Return a HealthPoll of `count` upstreams, and their names."""
    poll = HealthPoll(poll_ms=POLL_MS)
    announces = [announce(number, health_port=80) for number in range(count)]
    poll.set_upstreams(announces, now_ms=0)
    return poll, [
        UpstreamName(service=a.service, upstream_id=a.upstream_id) for a in announces
    ]


class Schedule(testtools.TestCase):
    """Polls start at a bounded rate, with backoff for upstreams that don't answer."""

    def test_each_upstream_is_polled_at_a_bounded_rate(self):
        poll, names = health_poll(20)
        polled_names = []
        for now_ms in range(0, POLL_MS, 100):
            started = poll.due_polls(now_ms=now_ms)
            self.assertLessEqual(len(started), MAX_POLLS_PER_CALL)
            polled_names += [item.name for item in started]
        self.assertEqual(sorted(map(str, names)), sorted(map(str, polled_names)))

    def test_backoff(self):
        poll, (name,) = health_poll(1)
        starts = []
        for now_ms in range(0, 60_000, 100):
            if poll.due_polls(now_ms=now_ms):
                poll.record_result(name, None, now_ms=now_ms)
                starts.append(now_ms // 1_000)
        self.assertEqual([0, 1, 3, 7, 15, 31, 47], starts)

    def test_upstream_without_health_port(self):
        poll = HealthPoll(poll_ms=POLL_MS)
        poll.set_upstreams([announce()], now_ms=0)
        self.assertEqual([], poll.due_polls(now_ms=0))

    def test_removed_upstream(self):
        poll, (name,) = health_poll(1)
        poll.set_upstreams([], now_ms=1)
        poll.record_result(name, health(), now_ms=2)
        self.assertEqual([], poll.due_polls(now_ms=10_000))


class Report(testtools.TestCase):
    """Reports hold figures that moved by a step or are REPEAT_MS old, in parts."""

    def figures(self, poll, version, now_ms):
        request = LoadRequest(asked_ms=5, version=version)
        report = poll.report(request, now_ms=now_ms)
        return report.version, [figure.connections for figure in report.figures]

    def test_small_move_is_reported_later(self):
        poll, (name,) = health_poll(1)
        poll.record_result(name, health(connections=10), now_ms=0)
        version, figures = self.figures(poll, 0, 0)
        self.assertEqual([10], figures)
        poll.record_result(name, health(connections=11), now_ms=1_000)
        self.assertEqual((version, []), self.figures(poll, version, 1_000))
        poll.record_result(name, health(connections=1_011), now_ms=2_000)
        version, figures = self.figures(poll, version, 2_000)
        self.assertEqual([1_011], figures)
        poll.record_result(name, health(connections=1_012), now_ms=2_000 + REPEAT_MS)
        self.assertEqual([1_012], self.figures(poll, version, 7_000)[1])

    def test_reports_are_split(self):
        poll, names = health_poll(2 * MAX_FIGURES + 1)
        for number, name in enumerate(names):
            poll.record_result(name, health(connections=number), now_ms=0)
        version, reported = 0, []
        for _ in range(3):
            version, figures = self.figures(poll, version, 0)
            reported += figures
        self.assertEqual(list(range(2 * MAX_FIGURES + 1)), reported)

    def test_report_holds_age(self):
        poll, (name,) = health_poll(1)
        poll.record_result(name, health(), now_ms=100)
        report = poll.report(LoadRequest(asked_ms=5, version=99), now_ms=350)
        self.assertEqual([250], [figure.age_ms for figure in report.figures])


class LoadSources(testscenarios.TestWithScenarios, testtools.TestCase):
    """Recent reports on the data path take precedence over polls; old polls expire.

    `reported` and `polled` are (time, connections); the time now is 20,000 ms.
    """

    scenarios = [
        ("poll alone", {"reported": None, "polled": (19_000, 7), "want": 7}),
        (
            "recent report",
            {"reported": (18_500, 5), "polled": (19_000, 7), "want": 5},
        ),
        ("old report", {"reported": (9_000, 5), "polled": (19_000, 7), "want": 7}),
        (
            "poll older than the report",
            {"reported": (19_500, 5), "polled": (19_000, 7), "want": 5},
        ),
        (
            "expired poll",
            {"reported": None, "polled": (2_000, 7), "want": 7, "expired": True},
        ),
    ]
    expired = False

    def test_connections_and_health(self):
        upstream = Upstream(announce=announce(), lease_ms=1)
        if self.reported:
            upstream.record_load(self.reported[1], now_ms=self.reported[0])
        polled_ms, connections = self.polled
        figure = LoadSample(
            name=UpstreamName(service="records", upstream_id="upstream-1"),
            healthy=False,
            outstanding=0,
            connections=connections,
            age_ms=20_000 - polled_ms,
        )
        upstream.record_polled_load(figure, now_ms=20_000)
        self.assertEqual(self.want, upstream.connections)
        newer_report = self.reported and self.reported[0] > polled_ms
        is_unhealthy = not newer_report and not self.expired
        self.assertEqual(is_unhealthy, upstream.is_polled_unhealthy(now_ms=20_000))


class OverSockets(testtools.TestCase):
    """The polling tasks read the reference server and continue after failed polls."""

    def poll(self, serve, *, host="127.0.0.1", count=8):
        port = free_port()

        async def main():
            inbox = Inbox(max_events=100)
            counted = []
            task = HealthTask(inbox=inbox, count=counted.append)
            server = await curio.spawn(serve, ("127.0.0.1", port))
            runner = await curio.spawn(task.run)
            events = []
            while len(events) < count:
                await task.offer(Poll(name="u", host=host, port=port))
                events += await inbox.get_batch(1)
            await runner.cancel()
            await server.cancel()
            return [event.health for event in events], counted

        return curio.run(main)

    async def serve(self, address):
        await serve_health(address, lambda: (200, json.loads(FIGURES)))

    def test_reference_server(self):
        self.assertEqual(health(3, 40), self.poll(self.serve)[0][-1])

    def test_malformed_response(self):
        async def send_garbage(connection, _address):
            await connection.sendall(b"\xff" * 100 + b"\r\n\r\n")
            await connection.close()

        async def serve(address):
            await curio.tcp_server(*address, send_garbage, reuse_address=True)

        healths, counted = self.poll(serve)
        self.assertEqual([None] * 8, healths)
        self.assertIn("health_nonsense", counted)

    def test_host_name_is_not_resolved(self):
        healths, _ = self.poll(self.serve, host="localhost")
        self.assertEqual([None] * 8, healths)
