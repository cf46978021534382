"""knapweeddeal.coldpermits: A forwarder's permits for cold upstreams, and held SYNs.

Load patterns:

- A zone returns cold, and only cold upstreams are left: each opening packet needs a
  permit of the upstream's home. A permit counts from the time when its request was
  sent, so that a delayed answer can't extend it.
- Far more callers come than cold upstreams bear: an upstream whose home has refused
  isn't asked again for the time that the home states, so refusals stay cheap.

This module does no I/O; callers pass the time.
"""

from collections import deque

from knapweeddeal.messages.cold import ColdAllowanceRequest
from knapweeddeal.record import Record

__all__ = ["MAX_SYN_HOLD_MS", "ColdPermits", "ExpiringPayload", "HeldSyn"]

#: Longest time that a SYN waits for a permit: its retransmission follows then.
MAX_SYN_HOLD_MS = 200
#: Time between checks of held SYNs, as answers arrive in another task.
CHECK_INTERVAL_MS = 5
#: Age of a request from which a retransmitted SYN causes another one: the first is
#: lost or its permits will have expired.
REPEAT_REQUEST_MS = 150
#: Age from which an unanswered request is forgotten; its permits are no longer valid.
REQUEST_RETENTION_MS = 1_000
#: Range of the time for which an upstream isn't asked after a refusal.
MIN_REFUSED_MS, MAX_REFUSED_MS = 20, 500
#: SYNs held at most, over 100 KB; further ones are refused.
MAX_HELD_SYNS = 1_000


class ExpiringPayload(bytes):
    """Hold an opening packet that must not leave from `expires_ms` on."""


class PermitRequest(Record):
    """Hold a request that was sent or waits; `sent_ms` is None until it is sent."""

    __slots__ = ("created_ms", "sent_ms", "upstream")


class HeldSyn(Record):
    """Hold a SYN that waits for a permit, and the upstream that was asked for."""

    __slots__ = ("data", "deadline_ms", "requested_ms", "service", "upstream")


class ColdPermits:
    """Request permits, hold them and the SYNs that wait for them.

    Permits are kept on `PacketUpstream`: `permits` holds their expiry times.
    """

    __slots__ = ("_has_answer", "_last_id", "_metrics", "_next_check_ms", "_requests")
    __slots__ += ("_unsent", "held")

    def __init__(self, *, metrics):
        self._metrics = metrics
        self._last_id = 0
        self._requests = {}
        #: Ids of requests that no stream has taken yet.
        self._unsent = deque()
        #: SYNs by flow key, the oldest first.
        self.held = {}
        self._has_answer = False
        self._next_check_ms = 0

    # SYNs.

    @property
    def next_due_ms(self):
        """Return when held SYNs must be checked next, or None."""
        return self._next_check_ms if self.held else None

    def hold(self, key, data, service, upstream, now_ms):
        """Hold a SYN and request a permit; return False if too many are held.

        A copy takes the place of a held SYN.
        """
        held = self.held.pop(key, None)
        if held is None and len(self.held) >= MAX_HELD_SYNS:
            return False
        requested_ms = held.requested_ms if held is not None else None
        if requested_ms is None or now_ms - requested_ms >= REPEAT_REQUEST_MS:
            self.request(upstream, now_ms)
            requested_ms = now_ms
        elif held is not None:
            upstream = held.upstream
        self.held[key] = HeldSyn(
            data=data,
            deadline_ms=now_ms + MAX_SYN_HOLD_MS,
            requested_ms=requested_ms,
            service=service,
            upstream=upstream,
        )
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        self._metrics.count("cold_syns_held")
        return True

    def pop_late(self, now_ms):
        """Remove and return the SYNs that were held for `MAX_SYN_HOLD_MS`."""
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        late = []
        for key, held in list(self.held.items()):
            if held.deadline_ms > now_ms:
                continue
            late.append(held)
            del self.held[key]
        return late

    def pop_answered(self):
        """Return whether an answer has arrived since the last call."""
        has_answer, self._has_answer = self._has_answer, False
        return has_answer

    # Requests.

    def request(self, upstream, now_ms):
        """Queue a request for one permit."""
        self._last_id += 1
        self._requests[self._last_id] = PermitRequest(
            created_ms=now_ms, sent_ms=None, upstream=upstream
        )
        self._unsent.append(self._last_id)

    @property
    def has_unsent(self):
        """Return whether requests wait for a stream."""
        return bool(self._unsent)

    def pop_requests(self, now_ms):
        """Return the messages to send now; their permits count from now."""
        self.drop_late_requests(now_ms)
        messages = []
        while self._unsent:
            request_id = self._unsent.popleft()
            request = self._requests[request_id]
            request.sent_ms = now_ms
            self._metrics.count("cold_permits_requested")
            message = ColdAllowanceRequest(
                request_id=request_id,
                upstream_id=request.upstream.state.upstream_id,
                count=1,
            )
            messages.append((message, request.upstream.state.home))
        self._expire_requests(now_ms)
        return messages

    def drop_late_requests(self, now_ms):
        """Drop requests that no stream has taken while their SYNs were held."""
        while self._unsent:
            request = self._requests[self._unsent[0]]
            if now_ms - request.created_ms < MAX_SYN_HOLD_MS:
                return
            del self._requests[self._unsent.popleft()]

    def _expire_requests(self, now_ms):
        """Remove the oldest requests, in the order in which they were created."""
        for request_id, request in list(self._requests.items()):
            if now_ms - request.created_ms < REQUEST_RETENTION_MS:
                return
            if request.sent_ms is not None:
                del self._requests[request_id]

    def apply_answer(self, answer, now_ms):
        """Add the permits of an answer, or note a refusal; return the upstream.

        Returns None for an answer to no known request.
        """
        request = self._requests.pop(answer.request_id, None)
        if request is None or request.sent_ms is None:
            return None
        upstream = request.upstream
        self._has_answer = True
        if not answer.count:
            refused_ms = min(max(answer.retry_ms, MIN_REFUSED_MS), MAX_REFUSED_MS)
            upstream.refused_until_ms = now_ms + refused_ms
            self._metrics.count("cold_permits_refused")
            return upstream
        self._metrics.count("cold_permits_granted", answer.count)
        expires_ms = request.sent_ms + answer.valid_ms
        upstream.permits.extend([expires_ms] * answer.count)
        return upstream

    def take(self, upstream, now_ms):
        """Use a permit of an upstream; return its expiry time, or None."""
        permits = upstream.permits
        while permits and permits[0] <= now_ms:
            permits.popleft()
        if not permits:
            return None
        self._metrics.count("cold_permits_used")
        return permits.popleft()
