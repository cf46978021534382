"""knapweeddeal.entrylinks: The links and service sockets of an entry."""

from knapweeddeal.actions import (
    Dial,
    ToCaller,
    ToControl,
    ToPeer,
    ToStream,
    ToUpstream,
)
from knapweeddeal.directory import RequestFromRegistrar
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log
from knapweeddeal.peerlink import PeerLink
from knapweeddeal.servicesockets import ServiceSocket
from knapweeddeal.upstreamlink import UpstreamLink

__all__ = ["EntryLinks"]

LOG = Log(prefix="entry")


class EntryLinks:
    """Own the links and service sockets of an entry, for use by one task only."""

    __slots__ = (
        "_control",
        "_count",
        "_heartbeats",
        "_identity",
        "_inbox",
        "_peer_links",
        "_peer_streams",
        "_sockets",
        "_presence",
        "_settings",
        "_links_to_start",
        "_tasks",
        "_senders_to_wake",
        "_handle_unsent",
        "_upstream_links",
    )

    def __init__(
        self,
        *,
        identity,
        settings,
        inbox,
        tasks,
        heartbeats,
        control,
        presence,
        handle_unsent,
        count,
    ):
        self._identity = identity
        self._settings = settings
        self._inbox = inbox
        #: Task group in which links and service sockets run.
        self._tasks = tasks
        self._heartbeats = heartbeats
        #: Outbox to the control replicas.
        self._control = control
        #: Inbox of the presence task.
        self._presence = presence
        #: Returns the actions for a message that can't be sent to its upstream.
        self._handle_unsent = handle_unsent
        self._count = count
        self._sockets = {}
        self._upstream_links = {}
        self._peer_links = {}
        self._peer_streams = {}
        self._senders_to_wake = set()
        self._links_to_start = []

    # Queries

    def state(self):
        """Return the section of the state dump."""
        return {
            "ports": {
                name: service_socket.address
                for name, service_socket in self._sockets.items()
            },
            "upstreams": list(self._upstream_links),
            "peers": list(self._peer_links),
            "peer_streams": len(self._peer_streams),
        }

    # Commands

    async def flush_pending(self):
        """Start new links, and wake the senders whose queues changed."""
        new_links, self._links_to_start = self._links_to_start, []
        for link in new_links:
            await self._tasks.spawn(link.run, daemon=True)
        for sender in self._senders_to_wake:
            await sender.wake()
        self._senders_to_wake.clear()

    def add_stream(self, number, outbox):
        """Register the outbox of a stream that a peer opened."""
        self._peer_streams[number] = outbox

    def remove_stream(self, number):
        """Remove the outbox of a stream that a peer opened."""
        del self._peer_streams[number]

    def remove_upstream(self, key):
        """Remove the link to an upstream; return its unsent messages."""
        link = self._upstream_links.pop(key, None)
        return link.outbox.unsent() if link else []

    async def set_service_addresses(self, wanted):
        """Open and close sockets so that the services have the wanted addresses."""
        for name, service_socket in list(self._sockets.items()):
            if wanted.get(name) != service_socket.address:
                await service_socket.task.cancel()
                del self._sockets[name]
        for name, address in wanted.items():
            if name not in self._sockets:
                await self._open_socket(name, address)

    async def _open_socket(self, name, address):
        try:
            service_socket = ServiceSocket(
                service=name,
                address=address,
                inbox=self._inbox,
                count=self._count,
            )
        except BadSettingError as error:
            LOG.warning("service address can't be bound", service=name, why=str(error))
            return
        service_socket.task = await self._tasks.spawn(service_socket.run, daemon=True)
        self._sockets[name] = service_socket

    # Actions

    @methoddispatch
    def perform(self, action):
        """Perform an action; `flush_pending` wakes senders and starts new links."""
        raise TypeError(f"expected an action of an entry, got {action!r}")

    @perform.register
    def _(self, action: ToCaller):
        service_socket = self._sockets.get(action.service)
        if service_socket is None or not service_socket.put(
            action.caller, action.message
        ):
            self._count("dropped_to_caller")
            return
        self._senders_to_wake.add(service_socket)

    @perform.register
    def _(self, action: Dial):
        if action.key in self._upstream_links:
            return
        link = UpstreamLink(
            key=action.key,
            address=action.address,
            identity=self._identity,
            settings=self._settings,
            inbox=self._inbox,
            heartbeats=self._heartbeats,
        )
        self._upstream_links[action.key] = link
        self._links_to_start.append(link)

    @perform.register
    def _(self, action: ToUpstream):
        link = self._upstream_links.get(action.key)
        if link is not None and link.outbox.put(action.message):
            self._senders_to_wake.add(link.outbox)
            return
        self._count("dropped_to_upstream")
        for alternative in self._handle_unsent(action.message, action.key):
            self.perform(alternative)

    @perform.register
    def _(self, action: ToPeer):
        link = self._peer_links.get(action.address)
        if link is None:
            link = self._add_peer_link(action.address)
        if link.outbox.put(action.message):
            self._senders_to_wake.add(link.outbox)
        else:
            self._count("dropped_to_peer")

    @perform.register
    def _(self, action: ToStream):
        outbox = self._peer_streams.get(action.stream)
        if outbox is None or not outbox.put(action.message):
            self._count("dropped_to_stream")
            return
        self._senders_to_wake.add(outbox)

    @perform.register
    def _(self, action: RequestFromRegistrar):
        self._presence.put_without_wake(action)
        self._senders_to_wake.add(self._presence)

    @perform.register
    def _(self, action: ToControl):
        if not self._control.put(action.message):
            self._count("dropped_to_control")
        self._senders_to_wake.add(self._control)

    def _add_peer_link(self, address):
        link = PeerLink(
            address=address,
            identity=self._identity,
            settings=self._settings,
            inbox=self._inbox,
            on_end=self._remove_peer_link,
        )
        self._peer_links[address] = link
        self._links_to_start.append(link)
        return link

    def _remove_peer_link(self, address):
        self._peer_links.pop(address, None)
