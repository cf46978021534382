"""knapweeddeal.entryconfiguration: Application of a configuration at an entry."""

from knapweeddeal.actions import Address
from knapweeddeal.events import VersionApplied
from knapweeddeal.logs import Log

__all__ = ["EntryConfiguration"]

LOG = Log(prefix="entry")


class EntryConfiguration:
    """Apply a synchronized configuration to the sockets and the core, and report it."""

    __slots__ = (
        "_control",
        "_core",
        "_links",
        "_presence",
        "_settings",
        "configuration_sync",
    )

    def __init__(self, *, settings, configuration_sync, core, links, control, presence):
        self._settings = settings
        self._core = core
        self._links = links
        self._control = control
        #: Inbox of the presence task.
        self._presence = presence
        self.configuration_sync = configuration_sync

    async def offer(self, configuration, *, now_ms):
        """Receive a confirmed configuration and apply it if it is due."""
        self.configuration_sync.offer(configuration)
        await self.apply_due(now_ms=now_ms)

    async def apply_due(self, *, now_ms):
        """Apply the configuration that is due, if any."""
        configuration = self.configuration_sync.due_configuration(now_ms=now_ms)
        if configuration is not None:
            await self._apply(configuration)

    async def _apply(self, configuration):
        await self._links.set_service_addresses(self._addresses(configuration))
        self._core.apply_configuration(configuration)
        self.configuration_sync.mark_applied(configuration.version)
        await self._presence.put_unbounded(
            VersionApplied(version=configuration.version)
        )
        await self._control.report()
        LOG.info("applied a configuration", version=configuration.version)

    def _addresses(self, configuration):
        host = self._settings.service_host
        return {
            service.name: Address(host=host or service.host, port=service.port)
            for service in configuration.services
        }
