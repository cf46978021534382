"""knapweeddeal.flowopener: Flow opens that wait for an upstream to accept them."""

from knapweeddeal.actions import ToCaller, ToUpstream
from knapweeddeal.messages.caller import Opened, OpenRefused
from knapweeddeal.messages.upstream import FlowClose, FlowOpen
from knapweeddeal.owner import Refusal
from knapweeddeal.record import Record

__all__ = ["FlowOpener"]

#: Upstreams that are tried for one open.
MAX_OPEN_TRIES = 2
#: Time after which an open without an answer is dropped.
OPEN_TIMEOUT_MS = 5_000


class PendingOpen(Record):
    """Hold a pending open; the last upstream in `tried` hasn't answered yet."""

    __slots__ = (
        "flow_id",
        "service",
        "nonce",
        "caller",
        "tried",
        "received_ms",
        "deadline_ms",
        "expires_ms",
    )

    __eq__ = object.__eq__
    __hash__ = object.__hash__


class FlowOpener:
    """Request new flows from upstreams and answer the callers."""

    def __init__(self, *, context, owner):
        self._context = context
        self._owner = owner
        self._by_flow = {}
        self._by_nonce = {}
        self._by_upstream = {}

    def __len__(self):
        """Return the number of pending opens."""
        return len(self._by_flow)

    def open(self, message, caller, *, now_ms):
        """Handle a caller's request for a new flow."""
        open_id = (message.nonce, caller.host, caller.port)
        if open_id in self._by_nonce:
            return []
        if len(self._by_flow) >= self._context.limits.max_opens:
            return self._context.drop("too_many_opens")
        pending = PendingOpen(
            flow_id=self._context.rng.getrandbits(64),
            service=message.service,
            nonce=message.nonce,
            caller=caller,
            tried=[],
            received_ms=now_ms,
            deadline_ms=now_ms + message.deadline_ms,
            expires_ms=now_ms + OPEN_TIMEOUT_MS,
        )
        if self._owner.is_full():
            return self._refuse(pending, "too_many_flows")
        self._by_nonce[open_id] = pending
        self._by_flow[pending.flow_id] = pending
        return self._request_flow(pending, now_ms)

    def handle_accepted(self, message, key, *, now_ms):
        """Add the flow that an upstream accepted and send the caller its ticket."""
        pending = self._by_flow.get(message.flow_id)
        upstream = self._context.directory.get(key)
        if pending is None or upstream is None or pending.tried[-1] != key:
            return self._close_unwanted(message, key)
        self._remove(pending)
        if pending.deadline_ms <= now_ms:
            return self._close_unwanted(message, key)
        flow = self._owner.add_flow(
            pending.flow_id, key, upstream.address, pending.caller, now_ms=now_ms
        )
        self._context.count("flows_opened")
        self._context.record_wait("open", pending.received_ms, now_ms=now_ms)
        opened = Opened(
            service=key.service,
            nonce=pending.nonce,
            flow_id=flow.flow_id,
            ticket=self._owner.seal(flow),
        )
        return [ToCaller(service=key.service, caller=pending.caller, message=opened)]

    def _close_unwanted(self, message, key):
        own_incarnation = self._context.identity.incarnation
        flow = self._owner.flows.get(own_incarnation, message.flow_id)
        if flow is not None and flow.upstream == key:
            return []
        self._context.count("opens_late")
        return [ToUpstream(key=key, message=FlowClose(flow_id=message.flow_id))]

    def handle_shed(self, message, key, *, now_ms):
        """Try another upstream for an open that was shed, or refuse the open."""
        pending = self._by_flow.get(message.flow_id)
        if pending is None or pending.tried[-1] != key:
            return []
        return self._try_next(pending, now_ms)

    def stream_down(self, key, *, now_ms):
        """Try other upstreams for the opens that waited for a broken stream."""
        actions = []
        for pending in list(self._by_upstream.get(key, ())):
            actions += self._try_next(pending, now_ms)
        return actions

    def expire(self, *, now_ms):
        """Drop the opens that have expired."""
        while self._by_flow:
            pending = next(iter(self._by_flow.values()))
            if pending.expires_ms > now_ms:
                return
            self._context.count("opens_expired")
            if pending.tried:
                self._context.ejection.record_failure(pending.tried[-1], now_ms=now_ms)
            self._remove(pending)

    def clear(self):
        """Drop all pending opens."""
        for pending in list(self._by_flow.values()):
            self._remove(pending)

    def _try_next(self, pending, now_ms):
        self._stop_waiting(pending)
        if pending.deadline_ms <= now_ms:
            self._remove(pending)
            return self._context.drop("open_deadline")
        return self._request_flow(pending, now_ms)

    def _request_flow(self, pending, now_ms):
        chosen = None
        if len(pending.tried) < MAX_OPEN_TRIES:
            chosen = self._context.select_upstream(
                pending.service, pending.tried, now_ms=now_ms
            )
        if chosen is None:
            self._remove(pending)
            return self._refuse(pending, "shed" if pending.tried else "no_upstream")
        pending.tried.append(chosen.key)
        self._by_upstream.setdefault(chosen.key, {})[pending] = None
        request = FlowOpen(
            flow_id=pending.flow_id,
            caller_host=pending.caller.host,
            caller_port=pending.caller.port,
        )
        return [ToUpstream(key=chosen.key, message=request)]

    def _stop_waiting(self, pending):
        if not pending.tried:
            return
        waiting = self._by_upstream.get(pending.tried[-1], {})
        waiting.pop(pending, None)
        if not waiting:
            self._by_upstream.pop(pending.tried[-1], None)

    def _remove(self, pending):
        self._stop_waiting(pending)
        self._by_flow.pop(pending.flow_id, None)
        open_id = (pending.nonce, pending.caller.host, pending.caller.port)
        self._by_nonce.pop(open_id, None)

    def _refuse(self, pending, reason):
        refused = OpenRefused(
            service=pending.service, nonce=pending.nonce, reason=reason
        )
        action = ToCaller(
            service=pending.service, caller=pending.caller, message=refused
        )
        refusal = Refusal(ledger=None, number=0, action=action)
        self._context.refuse(refusal, pending.flow_id, 0, reason)
        return []
