"""knapweeddeal.configurationsync: Exchange of confirmed configurations by peers."""

from knapweeddeal.messages.control import ConfigurationPush
from knapweeddeal.record import Record
from knapweeddeal.timeconstants import NEVER_MS

__all__ = ["RequestFromPeer", "ConfigurationSync"]

#: Time after which a request without result is repeated.
REQUEST_RETRY_MS = 500
#: Peers whose versions a starting process awaits before it applies a configuration.
MIN_SEEN_PEERS = 2


class RequestFromPeer(Record):
    """Action: request the configuration of the entry with this name."""

    __slots__ = ("name", "applied_version")


class ConfigurationSync:
    """Keep the confirmed configuration with the highest version.

    A starting process delays its first configuration for at most `wait_ms`, until it
    has received the versions of some peers and holds the highest of them.
    """

    __slots__ = (
        "_requested_ms",
        "_requested_version",
        "_deadline_ms",
        "_configuration",
        "_seen_peers",
        "_required_peers",
        "_highest_peer_version",
        "applied_version",
    )

    def __init__(self, *, seeds, wait_ms, now_ms):
        self.applied_version = 0
        self._configuration = None
        self._deadline_ms = now_ms + wait_ms
        self._required_peers = min(MIN_SEEN_PEERS, seeds)
        self._seen_peers = set()
        #: Highest version that a peer reported.
        self._highest_peer_version = 0
        self._requested_ms = NEVER_MS
        self._requested_version = 0

    # Commands

    def offer(self, configuration):
        """Store a confirmed configuration if it is newer than the stored one."""
        if configuration.version > self.version:
            self._configuration = configuration

    def observe_version(self, name, version, *, now_ms):
        """Record a peer's applied version; return a request for it if one is due."""
        if len(self._seen_peers) < self._required_peers:
            self._seen_peers.add(name)
        self._highest_peer_version = max(self._highest_peer_version, version)
        if version <= self.version or not self._is_request_due(version, now_ms):
            return []
        self._requested_ms = now_ms
        self._requested_version = version
        return [RequestFromPeer(name=name, applied_version=self.version)]

    def mark_applied(self, version):
        """Record that a version was applied in this process."""
        self.applied_version = max(self.applied_version, version)

    # Queries

    @property
    def version(self):
        """Return the version of the stored configuration, or 0."""
        return self._configuration.version if self._configuration else 0

    def due_configuration(self, *, now_ms):
        """Return the configuration to apply now, or None."""
        if self.version <= self.applied_version:
            return None
        if self.applied_version or self._is_initial_wait_over(now_ms):
            return self._configuration
        return None

    def answer(self, applied_version):
        """Return the push for a peer with a lower version, or None."""
        if applied_version >= self.version:
            return None
        return ConfigurationPush(configuration=self._configuration)

    def _is_request_due(self, version, now_ms):
        return (
            version > self._requested_version
            or now_ms - self._requested_ms >= REQUEST_RETRY_MS
        )

    def _is_initial_wait_over(self, now_ms):
        if now_ms >= self._deadline_ms:
            return True
        enough_peers = len(self._seen_peers) >= self._required_peers
        return enough_peers and self.version >= self._highest_peer_version
