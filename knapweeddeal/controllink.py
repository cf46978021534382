"""knapweeddeal.controllink: The stream of an entry to one of the control replicas."""

import curio

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.events import ConfigurationReceived, ControlMessage, ControlUp
from knapweeddeal.logs import Log
from knapweeddeal.messages.control import ConfigurationPush, ConfigurationRequest
from knapweeddeal.messages.peer import PeerHello
from knapweeddeal.outbox import Outbox
from knapweeddeal.stream import connect
from knapweeddeal.tasks import run_until_first

__all__ = ["ControlLink"]

LOG = Log(prefix="control-link")

#: Interval between reports of the applied version.
REPORT_MS = 1_000


class ControlLink:
    """Own the stream to a control replica; fail over to the next if it breaks."""

    __slots__ = ("_identity", "_inbox", "outbox", "_settings", "_version")

    def __init__(self, *, identity, settings, inbox, version):
        self._identity = identity
        self._settings = settings
        self._inbox = inbox
        self._version = version
        self.outbox = Outbox()

    async def offer(self, message):
        """Queue a message; return False if the queue is full."""
        return await self.outbox.offer(message)

    async def run(self):
        """Keep a stream open to one replica until cancelled."""
        addresses = list(self._settings.control.values())
        offset = self._identity.incarnation % max(1, len(addresses))
        addresses = addresses[offset:] + addresses[:offset]
        last_error = ""
        while True:
            for address in addresses:
                try:
                    await self._run_stream(address)
                except KnapweeddealError as error:
                    if str(error) != last_error:
                        LOG.info("lost the stream to a control replica", why=str(error))
                    last_error = str(error)
                await curio.sleep(self._settings.heartbeat_ms / 1000)

    async def _run_stream(self, address):
        timeout_ms = self._settings.stream_timeout_ms
        stream = await connect(address, timeout_ms=timeout_ms)
        try:
            await stream.send(
                PeerHello(
                    name=self._identity.entry_id,
                    incarnation=self._identity.incarnation,
                    zone=self._identity.zone,
                )
            )
            await self._inbox.put(ControlUp())
            await run_until_first(
                self._receive(stream),
                self.outbox.send_queued_to(stream),
                self._report_periodically(),
            )
        finally:
            await stream.close()

    async def report(self):
        """Queue a report of the applied version, which requests a newer one."""
        await self.outbox.offer(
            ConfigurationRequest(
                name=self._identity.entry_id,
                incarnation=self._identity.incarnation,
                zone=self._identity.zone,
                applied_version=self._version(),
            )
        )

    async def _report_periodically(self):
        while True:
            await self.report()
            await curio.sleep(REPORT_MS / 1000)

    async def _receive(self, stream):
        while True:
            message = await stream.receive()
            if type(message) is ConfigurationPush:
                event = ConfigurationReceived(configuration=message.configuration)
            else:
                event = ControlMessage(message=message)
            await self._inbox.put(event)
