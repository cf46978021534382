"""knapweeddeal.forwarderstart: A forwarder's first moments.

The event loop takes most of the start: at a small share of a core, longer than all
else. So packets are forwarded before it is loaded, and between the parts of it.
"""

import importlib
import random
import select
import socket

import msgpack

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadMessageError
from knapweeddeal.forwardercore import ForwarderCore, Subscription
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import encode, from_wire
from knapweeddeal.messages.packets import ForwarderHello
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetsocket import bind_packet_socket, forward_pending
from knapweeddeal.replicaselector import ReplicaSelector

__all__ = ["prepare"]

log = Log(prefix="forwarder")

#: Longest time for which packets are forwarded before the event loop is loaded: the
#: rush after an outage is over by then, and streams of replicas can wait so long.
FIRST_MS = 1_000
#: Time without a packet after which there is no rush.
QUIET_MS = 100
#: Time in which a seed that is there answers, also over a link of 1.4 Mbit/s.
ASK_MS = 100
#: Longest wait for a connection: a VM without power drops what opens it, and the
#: kernel sends it again only after 1 s.
CONNECT_MS = 150
#: Pause after a seed refused: its VM is up, and its process begins within 0.3 s.
RETRY_MS = 20
#: Time between looks at connections that are being opened.
POLL_MS = 10
READ_BYTES = 64 * 1024
#: Modules that the event loop imports, each a fair part of the time.
LOOP_MODULES = (
    "logging",
    "concurrent.futures",
    "inspect",
    "pickle",
    "multiprocessing.connection",
    "hmac",
    "curio",
    "knapweeddeal.forwarderprocess",
)


def prepare(settings):
    """Return what the process's tasks need; forward packets while it loads.

    Raises BadSettingError if the address for packets can't be bound.
    """
    port = bind_packet_socket(settings.packets)
    metrics = Metrics()
    choice = ReplicaSelector(
        seeds=settings.seed_addresses, zone=settings.zone, random=random.random
    )
    core = ForwarderCore(
        settings=settings, choice=choice, random=random.random, metrics=metrics
    )
    seeds = SeedConnections(settings=settings, core=core)
    _forward_first(port, core, seeds)
    for name in LOOP_MODULES:
        seeds.poll()
        forward_pending(port, core.forwarder, metrics)
        importlib.import_module(name)
    seeds.close()
    return port, core, choice


def _forward_first(port, core, seeds):
    """Ask seeds until enough is known, and forward packets as long as they come.

    Each part of the event loop takes as long to load as a request may take, so they
    are loaded after the rush that follows an outage.
    """
    forwarder = core.forwarder
    now_ms = monotonic_ms()
    until_ms, quiet_until_ms = now_ms + FIRST_MS, now_ms + QUIET_MS
    while now_ms < min(until_ms, quiet_until_ms):
        due_ms = forwarder.next_due_ms or now_ms + POLL_MS
        wait_ms = max(min(due_ms - now_ms, POLL_MS), 0)
        select.select([port, *seeds.open_asks], [], [], wait_ms / 1000)
        seeds.poll()
        taken = forward_pending(port, forwarder, core.metrics)
        now_ms = monotonic_ms()
        if taken or not core.is_ready:
            quiet_until_ms = now_ms + QUIET_MS


class SeedConnections:
    """Connect to all seeds, ask one after another until enough is known, and listen."""

    __slots__ = (
        "_addresses",
        "_connections",
        "_core",
        "_hello",
        "_next_ms",
        "_retry_ms",
    )

    def __init__(self, *, settings, core):
        self._addresses = settings.seed_addresses
        self._core = core
        self._hello = encode(
            ForwarderHello(name=settings.name, zone=settings.zone, revision=0)
        )
        self._connections = []
        #: When the next seed is asked: all routes may fill a link for some time.
        self._next_ms = 0
        #: When a seed that failed is tried again, by its address.
        self._retry_ms = {}

    @property
    def open_asks(self):
        """Return the connections that may bring something."""
        return self._connections or ()

    def poll(self):
        """Go on with what can be done without waiting."""
        if self._connections is None:
            return
        if not self._core.is_ready:
            self._connect(monotonic_ms())
        readable, writable, _ = select.select(
            self._connections, self._connections, [], 0
        )
        if not self._core.is_ready:
            self._ask_next(writable)
        now_ms = monotonic_ms()
        for connection in readable:
            connection.receive()
        for connection in self._connections:
            connection.check(now_ms, is_connected=connection in writable)
        for connection in [
            connection for connection in self._connections if connection.failure
        ]:
            self._give_up(connection, now_ms)

    def _connect(self, now_ms):
        asked = {connection.address for connection in self._connections}
        for address in self._addresses:
            if address not in asked and self._retry_ms.get(address, 0) <= now_ms:
                self._connections.append(
                    SeedConnection(address=address, core=self._core)
                )

    def _give_up(self, connection, now_ms):
        """End a connection that failed; say so the first time."""
        if connection.address not in self._retry_ms:
            log.info(
                "can't ask a control replica yet",
                replica=connection.address,
                why=connection.failure,
            )
        self._retry_ms[connection.address] = now_ms + RETRY_MS
        connection.close()
        self._connections.remove(connection)

    def _ask_next(self, writable):
        """Ask one seed, unless another one was asked just now and may answer."""
        unasked = [connection for connection in writable if not connection.sent]
        waits = any(connection.sent for connection in self._connections)
        if not unasked or (waits and monotonic_ms() < self._next_ms):
            return
        unasked[0].send(self._hello)
        self._next_ms = monotonic_ms() + ASK_MS

    def close(self):
        """End all connections; the tasks of the process open theirs."""
        for connection in self._connections or ():
            connection.close()
        self._connections = None


class SeedConnection:
    """Hold one connection to a seed."""

    __slots__ = ("_began_ms", "_core", "_socket", "_subscription", "_unpacker")
    __slots__ += ("address", "failure", "sent")

    def __init__(self, *, address, core):
        self.address = address
        self.sent = False
        #: Why nothing more comes, or "".
        self.failure = ""
        self._core = core
        self._began_ms = monotonic_ms()
        self._subscription = Subscription(address=address, now_ms=self._began_ms)
        self._unpacker = msgpack.Unpacker()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.connect_ex(address)

    def fileno(self):
        """Return the descriptor to wait for."""
        return self._socket.fileno()

    def send(self, hello):
        """Ask, once the connection stands."""
        self.sent = True
        try:
            self._socket.sendall(hello)
        except OSError as error:
            self.failure = str(error)

    def check(self, now_ms, *, is_connected):
        """Fail if the connection doesn't stand in time."""
        is_late = now_ms - self._began_ms >= CONNECT_MS
        if is_late and not is_connected and not self.sent and not self.failure:
            self.failure = "no connection in time"

    def receive(self):
        """Take what has come."""
        if self.failure:
            return
        try:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError("end of stream")
            self._unpacker.feed(data)
            for wire in self._unpacker:
                self._take(from_wire(wire))
        except BlockingIOError:
            return
        except (OSError, ValueError, BadMessageError) as error:
            self.failure = str(error)

    def _take(self, message):
        self._core.handle_message(message, self._subscription, monotonic_ms())

    def close(self):
        """End the connection."""
        self._socket.close()
