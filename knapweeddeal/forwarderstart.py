"""knapweeddeal.forwarderstart: Start of a forwarder before its event loop runs.

At a small share of a core, importing the event loop takes longer than the rest of the
start. So packets are forwarded before it is imported, and between its modules.
"""

import importlib
import random
import select
import socket

import msgpack

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.forwardercore import ForwarderCore, Subscription
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import encode, from_wire
from knapweeddeal.messages.packets import ForwarderHello
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetsocket import PacketSocket
from knapweeddeal.replicaselector import ReplicaSelector

__all__ = ["prepare"]

log = Log(prefix="forwarder")

#: Longest time for which packets are forwarded before the event loop is imported: the
#: burst after an outage is over by then, and subscriptions can be delayed so long.
MAX_EARLY_FORWARDING_MS = 1_000
#: Time without a packet after which the burst is over.
IDLE_MS = 100
#: Time in which a running seed answers, also over a link of 1.4 Mbit/s.
SEED_ANSWER_MS = 100
#: Time limit for a connection: a VM without power drops the SYN, and the kernel
#: retransmits it only after 1 s.
CONNECT_TIMEOUT_MS = 150
#: Pause after a seed refused a connection: its VM is up, and its process starts within
#: 0.3 s.
RETRY_MS = 20
#: Time between checks of connections that are being opened.
POLL_INTERVAL_MS = 10
READ_BYTES = 64 * 1024
#: Modules that the event loop imports, each with a large part of the import time.
LOOP_MODULES = (
    "logging",
    "concurrent.futures",
    "inspect",
    "hmac",
    "curio",
    "knapweeddeal.forwarderprocess",
)


def prepare(settings, udp_socket):
    """Return the packet socket, core and selector for `forwarderprocess.run`.

    Forwards the packets of a bound UDP socket during the imports.
    """
    metrics = Metrics()
    selector = ReplicaSelector(
        seeds=settings.seed_addresses, zone=settings.zone, random=random.random
    )
    core = ForwarderCore(
        settings=settings, selector=selector, random=random.random, metrics=metrics
    )
    packet_socket = PacketSocket(
        udp_socket=udp_socket,
        forwarder=core.forwarder,
        egress=core.egress,
        metrics=metrics,
    )
    seeds = SeedConnections(settings=settings, core=core)
    _forward_until_idle(packet_socket, core, seeds)
    for name in LOOP_MODULES:
        seeds.poll()
        packet_socket.forward_pending()
        importlib.import_module(name)
    seeds.close()
    return packet_socket, core, selector


def _forward_until_idle(packet_socket, core, seeds):
    """Poll the seeds and forward packets until the core is ready and none arrive.

    Returns after `MAX_EARLY_FORWARDING_MS` at the latest. Importing one module of the
    event loop takes as long as a request may take, so the modules are imported after
    the burst that follows an outage.
    """
    now_ms = monotonic_ms()
    deadline_ms, idle_deadline_ms = now_ms + MAX_EARLY_FORWARDING_MS, now_ms + IDLE_MS
    while now_ms < min(deadline_ms, idle_deadline_ms):
        due_ms = packet_socket.next_due_ms(now_ms) or now_ms + POLL_INTERVAL_MS
        wait_ms = max(min(due_ms - now_ms, POLL_INTERVAL_MS), 0)
        select.select([packet_socket, *seeds.open_connections], [], [], wait_ms / 1000)
        seeds.poll()
        received = packet_socket.forward_pending()
        now_ms = monotonic_ms()
        if received or not core.is_ready:
            idle_deadline_ms = now_ms + IDLE_MS


class SeedConnections:
    """Connect to all seeds; send hellos one by one until the core is ready."""

    __slots__ = (
        "_addresses",
        "_connections",
        "_core",
        "_hello",
        "_next_hello_ms",
        "_retry_at_ms",
    )

    def __init__(self, *, settings, core):
        self._addresses = settings.seed_addresses
        self._core = core
        self._hello = encode(
            ForwarderHello(name=settings.name, zone=settings.zone, revision=0)
        )
        self._connections = []
        #: Earliest time of the next hello: all routes may fill a link for some time.
        self._next_hello_ms = 0
        #: When a seed that failed is connected to again, by its address.
        self._retry_at_ms = {}

    @property
    def open_connections(self):
        """Return the connections to wait for."""
        return self._connections or ()

    def poll(self):
        """Connect, send hellos and receive messages without blocking."""
        if self._connections is None:
            return
        if not self._core.is_ready:
            self._connect(monotonic_ms())
        readable, writable, _ = select.select(
            self._connections, self._connections, [], 0
        )
        if not self._core.is_ready:
            self._send_next_hello(writable)
        now_ms = monotonic_ms()
        for connection in readable:
            connection.receive()
        for connection in self._connections:
            connection.check_timeout(now_ms, is_connected=connection in writable)
        for connection in [
            connection for connection in self._connections if connection.failure
        ]:
            self._drop_failed(connection, now_ms)

    def _connect(self, now_ms):
        connected = {connection.address for connection in self._connections}
        for address in self._addresses:
            if address not in connected and self._retry_at_ms.get(address, 0) <= now_ms:
                self._open(address, now_ms)

    def _open(self, address, now_ms):
        """Open a connection; a lack of descriptors counts as a failure of the seed."""
        try:
            connection = SeedConnection(address=address, core=self._core)
        except OSError as error:
            self._note_failure(address, str(error), now_ms)
        else:
            self._connections.append(connection)

    def _drop_failed(self, connection, now_ms):
        """Close a connection that failed."""
        self._note_failure(connection.address, connection.failure, now_ms)
        connection.close()
        self._connections.remove(connection)

    def _note_failure(self, address, why, now_ms):
        """Schedule the next attempt; log only the first failure of a seed."""
        if address not in self._retry_at_ms:
            log.info(
                "failed to query a seed during the start", replica=address, why=why
            )
        self._retry_at_ms[address] = now_ms + RETRY_MS

    def _send_next_hello(self, writable):
        """Send a hello to one seed, unless the last one may still be answered."""
        unused = [connection for connection in writable if not connection.is_hello_sent]
        is_waiting = any(connection.is_hello_sent for connection in self._connections)
        if not unused or (is_waiting and monotonic_ms() < self._next_hello_ms):
            return
        unused[0].send(self._hello)
        self._next_hello_ms = monotonic_ms() + SEED_ANSWER_MS

    def close(self):
        """Close all connections; the tasks of the process open their own."""
        for connection in self._connections or ():
            connection.close()
        self._connections = None


class SeedConnection:
    """Hold a non-blocking connection to a seed."""

    __slots__ = ("_started_ms", "_core", "_socket", "_subscription", "_unpacker")
    __slots__ += ("address", "failure", "is_hello_sent")

    def __init__(self, *, address, core):
        self.address = address
        self.is_hello_sent = False
        #: Why the connection failed, or "".
        self.failure = ""
        self._core = core
        self._started_ms = monotonic_ms()
        self._subscription = Subscription(address=address, now_ms=self._started_ms)
        self._unpacker = msgpack.Unpacker()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.connect_ex(address)

    def fileno(self):
        """Return the file descriptor, for `select`."""
        return self._socket.fileno()

    def send(self, hello):
        """Send the hello over an established connection."""
        self.is_hello_sent = True
        try:
            self._socket.sendall(hello)
        except OSError as error:
            self.failure = str(error)

    def check_timeout(self, now_ms, *, is_connected):
        """Set `failure` if the connection isn't established in time."""
        is_late = now_ms - self._started_ms >= CONNECT_TIMEOUT_MS
        if is_late and not is_connected and not self.is_hello_sent and not self.failure:
            self.failure = "connection not established within the time limit"

    def receive(self):
        """Pass the received messages to the core."""
        if self.failure:
            return
        try:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError("end of stream")
            self._unpacker.feed(data)
            for wire in self._unpacker:
                self._handle_message(from_wire(wire))
        except BlockingIOError:
            return
        except Exception as error:
            # Another seed may send what can be handled.
            self.failure = repr(error)

    def _handle_message(self, message):
        self._core.handle_message(message, self._subscription, monotonic_ms())

    def close(self):
        """Close the connection."""
        self._socket.close()
