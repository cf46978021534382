"""tests.test_listener: Tests of listening sockets and their accept loop."""

import errno
import itertools
import os
import resource
import socket
import time
from unittest import mock

import curio
import testscenarios
import testtools
from curio.io import Socket

from knapweeddeal import listener
from knapweeddeal.errors import BadSettingError
from knapweeddeal.httpserver import HttpResponse, serve_http
from knapweeddeal.messages import encode
from knapweeddeal.messages.upstream import Heartbeat
from knapweeddeal.metrics import Metrics
from knapweeddeal.metricsserver import serve_metrics
from knapweeddeal.stream import serve
from tests.packetcluster import (
    API,
    METRICS,
    PACKETS,
    READY,
    STREAMS,
    PacketCluster,
)
from tests.processes import free_port, wait_until
from tests.test_packetprocess import PacketCase

HTTP_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
MESSAGE = encode(Heartbeat())
#: Descriptors that a process under test may open.
MAX_DESCRIPTORS = 60


async def echo_first(stream):
    """Return the first message to its sender, and keep the stream open."""
    while True:
        await stream.send(await stream.receive())


async def answer(_request):
    """Return an empty response."""
    return HttpResponse(status=200)


async def serve_messages(address, metrics):
    """Serve streams of messages."""
    await serve(address, echo_first, metrics=metrics)


async def serve_requests(address, metrics):
    """Serve HTTP requests."""
    await serve_http(address, answer, metrics=metrics)


class FailingAccept:
    """Raise errors one after another before connections are accepted."""

    def __init__(self, *errors):
        self._errors = [OSError(number, os.strerror(number)) for number in errors]
        self._accept = Socket.accept

    async def __call__(self, listener):
        """Accept a connection, or raise the next error."""
        if self._errors:
            raise self._errors.pop(0)
        return await self._accept(listener)


class AcceptErrors(testscenarios.TestWithScenarios, testtools.TestCase):
    """A failed accept is retried, also while no other connection is open."""

    scenarios = [
        (
            f"{name} {errno.errorcode[number]}",
            {"number": number, "server": server, "request": request},
        )
        for (name, server, request), number in itertools.product(
            (
                ("streams", serve_messages, MESSAGE),
                ("HTTP", serve_requests, HTTP_REQUEST),
            ),
            (
                errno.EMFILE,
                errno.ENFILE,
                errno.ENOBUFS,
                errno.ENOMEM,
                errno.ECONNABORTED,
                errno.EPROTO,
                errno.EPERM,
                errno.ENETDOWN,
                errno.EHOSTUNREACH,
            ),
        )
    ]

    def test_connection_accepted(self):
        metrics = Metrics()
        failing = FailingAccept(self.number, self.number)
        with mock.patch.object(Socket, "accept", lambda s: failing(s)):
            data = curio.run(self.exchange, metrics)
        self.assertNotEqual(b"", data)
        self.assertEqual(2, metrics.get("accept_errors"))

    async def exchange(self, metrics):
        """Return what the server answers to a request."""
        address = ("127.0.0.1", free_port())
        task = await curio.spawn(self.server, address, metrics, daemon=True)
        await curio.sleep(0.01)
        data = b""
        async with await curio.open_connection(*address) as connection:
            await connection.sendall(self.request)
            async with curio.ignore_after(2):
                data = await connection.recv(4_096)
        await task.cancel()
        return data


class UnusableListener(testscenarios.TestWithScenarios, testtools.TestCase):
    """A server that can't accept any more ends, although a connection is open."""

    scenarios = [
        ("streams", {"server": serve_messages}),
        ("HTTP", {"server": serve_requests}),
    ]

    def test_error_raised(self):
        self.assertEqual(errno.EBADF, curio.run(self.lose_listener))

    async def lose_listener(self):
        """Return the error of a server whose second accept fails."""
        address = ("127.0.0.1", free_port())
        accept, accepted = Socket.accept, []

        async def accept_one(listener):
            if accepted:
                raise OSError(errno.EBADF, os.strerror(errno.EBADF))
            accepted.append(await accept(listener))
            return accepted[0]

        with mock.patch.object(Socket, "accept", accept_one):
            task = await curio.spawn(self.server, address, Metrics())
            await curio.sleep(0.01)
            async with await curio.open_connection(*address), curio.ignore_after(2):
                try:
                    await task.join()
                except curio.TaskError as error:
                    return error.__cause__.errno
        return 0


class DescriptorCase(PacketCase):
    """Base of tests of one process that has no free descriptor."""

    def limit(self, name, host):
        """Select the process under test, and limit its descriptors."""
        self.host, self.daemon = host, self.cluster.daemons[name]
        self.pid = self.daemon.process.pid
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limits)

    def open_idle(self, port):
        """Return connections that send nothing and use up all descriptors."""
        connections = [
            socket.create_connection((self.host, port), timeout=5)
            for _ in range(MAX_DESCRIPTORS)
        ]
        folder = f"/proc/{self.pid}/fd"
        wait_until(lambda: len(os.listdir(folder)) == MAX_DESCRIPTORS)
        return connections

    def close_idle(self, connections):
        """Close connections; check that the process runs and reported no error."""
        for connection in connections:
            connection.close()
        time.sleep(0.3)
        self.assertIsNone(self.daemon.process.poll(), self.daemon.errors())
        self.assertEqual("", self.daemon.errors())


class DescriptorShortage(testscenarios.TestWithScenarios, DescriptorCase):
    """A process without free descriptors goes on, and serves as soon as it has some."""

    scenarios = [
        (name, {"role": role, "port": port})
        for name, role, port in (
            ("readiness of a forwarder", "forwarder", READY),
            ("metrics of a forwarder", "forwarder", METRICS),
            ("streams of a forwarder", "forwarder", STREAMS),
            ("HTTP interface of a replica", "replica", API),
            ("streams of a replica", "replica", STREAMS),
        )
    ]

    def setUp(self):
        super().setUp()
        if self.role == "forwarder":
            self.limit("forwarder", self.cluster.host(11))
        else:
            self.limit(self.cluster.replicas[0], self.cluster.replicas[0])

    def test_serves_again(self):
        connections = self.open_idle(self.port)
        time.sleep(0.3)
        self.close_idle(connections)
        wait_until(lambda: self.cluster.dump(self.host), "a dump")
        wait_until(lambda: self.cluster.readiness() == 200, "a ready forwarder")


class ReconnectionShortage(DescriptorCase):
    """A process that lacks descriptors when it reconnects tries again later."""

    def test_forwarder(self):
        self.limit("forwarder", self.cluster.host(11))
        connections = self.open_idle(READY)
        for host in self.cluster.replicas:
            self.cluster.restart(host)
        time.sleep(1)
        self.close_idle(connections)
        wait_until(
            lambda: len(self.cluster.dump(self.host)["subscriptions"]) == 2,
            "two subscriptions",
        )

    def test_replica(self):
        """Without its links to the others, a replica can't be part of a quorum."""
        first, second, third = self.cluster.replicas
        self.limit(first, first)
        connections = self.open_idle(API)
        self.cluster.restart(second)
        self.cluster.restart(third)
        time.sleep(1)
        self.close_idle(connections)
        self.cluster.daemons[third].kill()
        self.cluster.publish(6)


def is_listening(address):
    """Return whether a connection to an address opens."""
    try:
        socket.create_connection(address, timeout=1).close()
    except OSError:
        return False
    return True


class AddressInUse(testscenarios.TestWithScenarios, testtools.TestCase):
    """A process whose address another one still has waits instead of ending."""

    scenarios = [
        (name, {"number": number, "port": port, "kind": kind})
        for name, number, port, kind in (
            ("streams of a forwarder", 11, STREAMS, socket.SOCK_STREAM),
            ("readiness of a forwarder", 11, READY, socket.SOCK_STREAM),
            ("metrics of a forwarder", 11, METRICS, socket.SOCK_STREAM),
            ("packets of a forwarder", 11, PACKETS, socket.SOCK_DGRAM),
            ("streams of a replica", 1, STREAMS, socket.SOCK_STREAM),
            ("HTTP interface of a replica", 1, API, socket.SOCK_STREAM),
        )
    ]

    def test_waits(self):
        cluster = PacketCluster()
        self.addCleanup(cluster.close)
        with socket.socket(socket.AF_INET, self.kind) as other:
            # Connections of an earlier test may be in TIME_WAIT.
            if self.kind == socket.SOCK_STREAM:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((cluster.host(self.number), self.port))
            if self.kind == socket.SOCK_STREAM:
                other.listen()
            cluster.start()
            time.sleep(2)
        for number in (1, 11):
            address = (cluster.host(number), STREAMS)
            wait_until(lambda a=address: is_listening(a), "streams")
        wait_until(lambda: is_listening((cluster.host(1), API)), "an HTTP interface")
        wait_until(lambda: cluster.readiness() == 503, "readiness")
        wait_until(lambda: is_listening((cluster.host(11), METRICS)), "metrics")
        for name, daemon in cluster.daemons.items():
            self.assertIsNone(daemon.process.poll(), name)


class AddressOfAnother(testtools.TestCase):
    """An address that stays in use ends the process, except that of metrics."""

    def setUp(self):
        super().setUp()
        self.patch(listener, "BIND_WAIT_MS", 200)
        other = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other.close)
        self.address = other.getsockname()

    def test_streams(self):
        self.assertRaises(BadSettingError, curio.run, serve, self.address, echo_first)

    def test_requests(self):
        self.assertRaises(BadSettingError, curio.run, serve_http, self.address, answer)

    def test_metrics(self):
        async def serve_for_a_second():
            async with curio.timeout_after(1):
                await serve_metrics(self.address, Metrics())

        self.assertRaises(curio.TaskTimeout, curio.run, serve_for_a_second)
