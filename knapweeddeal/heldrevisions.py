"""knapweeddeal.heldrevisions: Revisions of the routes that other replicas hold."""

from collections import Counter

__all__ = ["HeldRevisions"]

#: Time that the own log has to apply a revision that another replica holds. A healthy
#: log takes a few heartbeats of the leader; forwarders have 3 s to get it.
LOG_DELAY_MS = 700
#: Time without an answer after which another request is sent.
REQUEST_INTERVAL_MS = 1_000


class HeldRevisions:
    """Track revisions above the own one, and when to request them.

    A replica applies a record after its own sync and once a leader has told it that
    the record is committed. With slow disks both can take seconds.
    """

    __slots__ = ("_held", "_next_request_ms", "_requests", "_since_ms")

    def __init__(self):
        #: Highest revision by identity of a replica, while it is above the own one.
        self._held = {}
        #: When each of these revisions was first heard of.
        self._since_ms = {}
        #: Number of requests to each of these replicas.
        self._requests = Counter()
        self._next_request_ms = 0

    def record(self, identity, revision, now_ms):
        """Record the revision that a replica holds."""
        self._held[identity] = revision
        self._since_ms.setdefault(revision, now_ms)

    def due_request(self, own_revision, linked, now_ms):
        """Return the linked replica to request routes from now, or None."""
        self._forget_up_to(own_revision)
        if now_ms < self._next_request_ms:
            return None
        if now_ms - min(self._since_ms.values(), default=now_ms) < LOG_DELAY_MS:
            return None
        ahead = [identity for identity in self._held if identity in linked]
        if not ahead:
            return None
        self._next_request_ms = now_ms + REQUEST_INTERVAL_MS
        # One that was requested from may not answer, so others are first then.
        chosen = min(ahead, key=lambda i: (self._requests[i], -self._held[i]))
        self._requests[chosen] += 1
        return chosen

    def _forget_up_to(self, own_revision):
        self._held = {i: r for i, r in self._held.items() if r > own_revision}
        self._since_ms = {r: t for r, t in self._since_ms.items() if r > own_revision}
        if not self._held:
            self._requests.clear()
