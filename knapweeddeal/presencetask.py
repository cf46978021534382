"""knapweeddeal.presencetask: Tasks and UDP socket of an entry's presence."""

import traceback
from functools import singledispatchmethod

import curio

from knapweeddeal.actions import Address
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.directory import RequestFromRegistrar
from knapweeddeal.errors import BadMessageError
from knapweeddeal.events import (
    AnnounceReceived,
    HealthPolled,
    MemberDatagram,
    Tick,
    VersionApplied,
)
from knapweeddeal.healthpoll import Poll
from knapweeddeal.healthtask import HealthTask
from knapweeddeal.inbox import Inbox
from knapweeddeal.ipaddresses import validated_ip
from knapweeddeal.logs import Log
from knapweeddeal.membership import SendDatagram
from knapweeddeal.messages import decode, encode
from knapweeddeal.record import printed_name
from knapweeddeal.servicesockets import bind_udp_socket
from knapweeddeal.tasks import run_until_first

__all__ = ["PresenceTask"]

LOG = Log(prefix="presence")

MAX_DATAGRAM_BYTES = 8192
#: Capacity of the inbox.
MAX_EVENTS = 10_000
#: Events that are handled before other tasks may run.
MAX_BATCH_EVENTS = 64
TICK_MS = 100


class PresenceTask:
    """Run the presence and its socket; put its events into the entry's inbox."""

    __slots__ = ("_count", "_entry_inbox", "_health", "_presence", "_socket", "inbox")

    def __init__(self, *, presence, address, entry, count):
        self._presence = presence
        self._entry_inbox = entry
        self._count = count
        self._socket = bind_udp_socket(address)
        self.inbox = Inbox(max_events=MAX_EVENTS)
        self._health = HealthTask(inbox=self.inbox, count=count)

    async def run(self):
        """Receive and send datagrams until cancelled."""
        await self._entry_inbox.put_unbounded(self._presence.members_event())
        async with self._socket:
            await run_until_first(
                self._receive(), self._tick(), self._handle_events(), self._health.run()
            )

    async def leave(self):
        """Announce the planned leave of this entry to other entries."""
        await self._perform(self._presence.leave(now_ms=monotonic_ms()))

    async def _receive(self):
        while True:
            try:
                data, source = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._count("dropped_socket_error")
                continue
            source = Address(host=source[0], port=source[1])
            if self.inbox.put_or_shed(MemberDatagram(source=source, data=data)):
                self._count("dropped_overload")
            await self.inbox.wake()

    async def _tick(self):
        while True:
            await curio.sleep(TICK_MS / 1000)
            await self.inbox.put_unbounded(Tick())

    async def _handle_events(self):
        while True:
            for event in await self.inbox.get_batch(MAX_BATCH_EVENTS):
                await self._handle_safely(event)
            await curio.sleep(0)

    async def _handle_safely(self, event):
        """Handle one event; log an error so that it doesn't end the task."""
        try:
            await self._perform(self._handle(event, monotonic_ms()))
        except BadMessageError:
            self._count("dropped_bad_message")
        except Exception:
            self._count("errors")
            LOG.warning(
                "event handling failed",
                event=printed_name(event),
                trace=traceback.format_exc(),
            )

    @singledispatchmethod
    def _handle(self, event, now_ms):
        raise TypeError(f"no handler for event {event!r}")

    @_handle.register
    def _(self, event: MemberDatagram, now_ms):
        message = decode(event.data)
        return self._presence.receive(message, event.source, now_ms=now_ms)

    @_handle.register
    def _(self, event: AnnounceReceived, now_ms):
        return self._presence.handle_announcement(event.announce, now_ms=now_ms)

    @_handle.register
    def _(self, event: HealthPolled, now_ms):
        self._presence.health.record_result(event.name, event.health, now_ms=now_ms)
        return []

    @_handle.register
    def _(self, event: RequestFromRegistrar, now_ms):
        return self._presence.request_from_registrar(
            event.name, event.message, now_ms=now_ms
        )

    @_handle.register
    def _(self, event: VersionApplied, now_ms):
        return self._presence.set_version(event.version)

    @_handle.register
    def _(self, event: Tick, now_ms):
        return self._presence.tick(now_ms=now_ms)

    async def _perform(self, actions):
        for action in actions:
            if type(action) is SendDatagram:
                await self._send(action)
            elif type(action) is Poll:
                await self._health.offer(action)
            else:
                await self._entry_inbox.put_unbounded(action)

    async def _send(self, action):
        host, port = action.address.host, action.address.port
        data = encode(action.message)
        self._count("presence_datagrams_sent")
        self._count("presence_bytes_sent", len(data))
        try:
            await self._socket.sendto(data, (validated_ip(host), port))
        except (OSError, OverflowError, ValueError):
            self._count("dropped_send_error")
