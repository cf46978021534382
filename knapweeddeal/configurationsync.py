"""knapweeddeal.configurationsync: The highest confirmed configuration, passed on."""

from knapweeddeal.messages.control import ConfigurationPush
from knapweeddeal.record import Record
from knapweeddeal.timeconstants import NEVER_MS

__all__ = ["RequestFromPeer", "ConfigurationSync"]

#: Time after which an ask that brought nothing is repeated.
ASK_MS = 500
#: Peers whose versions a process that starts waits to see.
MIN_PEERS = 2


class RequestFromPeer(Record):
    """Ask the shell to ask an entry, by name, for its configuration."""

    __slots__ = ("name", "applied_version")


class ConfigurationSync:
    """Keep the highest confirmed configuration and never a lower one.

    A process that starts holds back what it got for at most `wait_ms`, until it saw
    the versions of some peers and has the highest of them.
    """

    __slots__ = (
        "_asked_ms",
        "_asked_version",
        "_deadline_ms",
        "_held",
        "_peers",
        "_wanted_peers",
        "_wanted_version",
        "applied_version",
    )

    def __init__(self, *, seeds, wait_ms, now_ms):
        self.applied_version = 0
        self._held = None
        self._deadline_ms = now_ms + wait_ms
        self._wanted_peers = min(MIN_PEERS, seeds)
        self._peers = set()
        #: Highest version that a peer showed.
        self._wanted_version = 0
        self._asked_ms = NEVER_MS
        self._asked_version = 0

    # Commands

    def offer(self, configuration):
        """Take a confirmed configuration, if it is higher than the one held."""
        if configuration.version > self.version:
            self._held = configuration

    def observe_version(self, name, version, *, now_ms):
        """Note a peer's applied version; return the ask for it, if one is due."""
        if len(self._peers) < self._wanted_peers:
            self._peers.add(name)
        self._wanted_version = max(self._wanted_version, version)
        if version <= self.version or not self._is_due(version, now_ms):
            return []
        self._asked_ms = now_ms
        self._asked_version = version
        return [RequestFromPeer(name=name, applied_version=self.version)]

    def mark_applied(self, version):
        """Note that a version is in force here."""
        self.applied_version = max(self.applied_version, version)

    # Queries

    @property
    def version(self):
        """Return the highest version held, or 0."""
        return self._held.version if self._held else 0

    def due_configuration(self, *, now_ms):
        """Return the configuration to put in force now, or None."""
        if self.version <= self.applied_version:
            return None
        if self.applied_version or self._is_settled(now_ms):
            return self._held
        return None

    def answer(self, applied_version):
        """Return the push for a peer that has a lower version, or None."""
        if applied_version >= self.version:
            return None
        return ConfigurationPush(configuration=self._held)

    def _is_due(self, version, now_ms):
        return version > self._asked_version or now_ms - self._asked_ms >= ASK_MS

    def _is_settled(self, now_ms):
        if now_ms >= self._deadline_ms:
            return True
        seen = len(self._peers) >= self._wanted_peers
        return seen and self.version >= self._wanted_version
