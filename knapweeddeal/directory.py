"""knapweeddeal.directory: Upstreams that an entry knows, each under a lease."""

from knapweeddeal.actions import Address, UpstreamKey
from knapweeddeal.messages.upstream import LEAVING

__all__ = ["Directory", "Upstream"]


class Upstream:
    """Hold an upstream's announcement, its lease and what is known of its load."""

    __slots__ = (
        "announce",
        "connections",
        "key",
        "lease_until_ms",
        "outstanding",
        "ready",
    )

    def __init__(self, *, announce, lease_until_ms):
        self.announce = announce
        self.key = UpstreamKey(
            service=announce.service,
            upstream_id=announce.upstream_id,
            incarnation=announce.incarnation,
        )
        self.lease_until_ms = lease_until_ms
        #: Requests that this entry has under way here.
        self.outstanding = 0
        #: Flows, as the upstream last reported.
        self.connections = 0
        #: Whether the stream to it stands.
        self.ready = False

    @property
    def address(self):
        """Return where its stream is opened."""
        return Address(host=self.announce.host, port=self.announce.port)


class Directory:
    """Hold upstreams by key."""

    __slots__ = ("_lease_ms", "_upstreams")

    def __init__(self, *, lease_ms):
        self._lease_ms = lease_ms
        self._upstreams = {}

    def apply(self, announce, *, now_ms):
        """Take an announcement, unless a later one is held."""
        new = Upstream(announce=announce, lease_until_ms=now_ms + self._lease_ms)
        held = self._upstreams.get(new.key)
        if held is None:
            self._upstreams[new.key] = new
        elif held.announce.sequence < announce.sequence:
            held.announce = announce
            held.lease_until_ms = new.lease_until_ms

    def get(self, key):
        """Return an upstream, or None."""
        return self._upstreams.get(key)

    def all(self):
        """Return every upstream."""
        return list(self._upstreams.values())

    def fresh(self, service, *, now_ms):
        """Return the upstreams that may get new flows of a service."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.key.service == service
            and upstream.lease_until_ms > now_ms
            and upstream.announce.state != LEAVING
        ]
