"""knapweeddeal.flowmigrator: Flows that move from a leaving or lost upstream."""

from collections import deque

from knapweeddeal.actions import ToUpstream
from knapweeddeal.entrycontext import ticket_upstream_key
from knapweeddeal.messages.upstream import FlowClose, FlowOpen
from knapweeddeal.record import Record

__all__ = ["FlowMigrator"]

#: Moves that one entry starts a second, and at once.
MOVES_PER_S = 500
BURST_MOVES = 100
#: Time in which the new upstream must answer.
MOVE_MS = 1_000
#: Upstreams that are asked for one move.
MAX_MOVE_TRIES = 3
#: New tickets are sent again this often, at this distance.
REPEATS = 2
REPEAT_MS = 300
#: Failed streams in a row, over this time at least, after which one is lost.
LOST_FAILURES = 2
LOST_MS = 500
#: Lost upstreams that are remembered.
MAX_LOST = 10_000


class PendingMove(Record):
    """Hold a move that waits for the new upstream's word."""

    __slots__ = ("flow", "tried", "until_ms")


class Departure(Record):
    """Hold what is left to do at the upstream that a flow moved away from."""

    __slots__ = ("at_ms", "flow", "left", "repeats")


class Failures(Record):
    """Count the failures of the stream to an upstream since it last stood."""

    __slots__ = ("since_ms", "count")


class FlowMigrator:
    """Move flows, make-before-break and paced, whenever a packet shows the need."""

    def __init__(self, *, context):
        self._context = context
        self.owner = None
        self._pending = {}
        self._departures = deque()
        self._failures = {}
        self._tokens = BURST_MOVES
        self._refilled_ms = None

    def __len__(self):
        """Return how many moves and departures are under way."""
        return len(self._pending) + len(self._departures)

    # Queries

    def is_lost(self, key, *, now_ms):
        """Tell whether an upstream is lost, as far as its stream shows."""
        failures = self._failures.get(key)
        return (
            failures is not None
            and failures.count >= LOST_FAILURES
            and now_ms - failures.since_ms >= LOST_MS
        )

    def must_migrate(self, key, *, now_ms):
        """Tell whether flows have to move away from an upstream."""
        return self._context.is_leaving(key) or self.is_lost(key, now_ms=now_ms)

    def is_migrating(self, flow):
        """Tell whether a flow is being moved."""
        return flow.flow_id in self._pending

    # Streams

    def stream_up(self, key):
        """Note that a stream stands."""
        self._failures.pop(key, None)

    def stream_down(self, key, *, now_ms):
        """Note that a stream failed."""
        failures = self._failures.setdefault(key, Failures(since_ms=now_ms, count=0))
        failures.count += 1
        while len(self._failures) > MAX_LOST:
            del self._failures[next(iter(self._failures))]

    # Moving

    def migrate_if_due(self, flow, ticket, *, now_ms):
        """Move a flow if it has to, or repeat its new ticket."""
        if ticket_upstream_key(ticket) != flow.upstream:
            return [self.owner.ticket_update_action(flow)]
        if not self.must_migrate(flow.upstream, now_ms=now_ms):
            return []
        return self._start(flow, now_ms)

    def _start(self, flow, now_ms):
        if self.is_migrating(flow) or not self._take_token(now_ms):
            return []
        pending = PendingMove(flow=flow, tried=[], until_ms=now_ms + MOVE_MS)
        return self._try(pending, now_ms)

    def _try(self, pending, now_ms):
        flow = pending.flow
        self._pending.pop(flow.flow_id, None)
        if len(pending.tried) >= MAX_MOVE_TRIES:
            return []
        tried = [flow.upstream, *pending.tried]
        chosen = self._context.select_upstream(
            flow.upstream.service, tried, now_ms=now_ms
        )
        if chosen is None:
            self._context.count("moves_without_upstream")
            return []
        pending.tried.append(chosen.key)
        self._pending[flow.flow_id] = pending
        request = FlowOpen(
            flow_id=flow.flow_id,
            caller_host=flow.caller.host,
            caller_port=flow.caller.port,
        )
        return [ToUpstream(key=chosen.key, message=request)]

    def handle_accepted(self, message, key, *, now_ms):
        """Put a flow on its new upstream; return None if no move waits for this."""
        pending = self._pending.get(message.flow_id)
        upstream = self._context.directory.get(key)
        if pending is None or upstream is None or pending.tried[-1] != key:
            return None
        del self._pending[message.flow_id]
        flow = pending.flow
        planned = not self.is_lost(flow.upstream, now_ms=now_ms)
        self._context.count("flows_moved" if planned else "flows_broken")
        departure = Departure(
            at_ms=now_ms + REPEAT_MS, flow=flow, left=flow.upstream, repeats=REPEATS
        )
        self.owner.flows.set_upstream(flow, key, upstream.address)
        flow.issued_ms = max(self._context.wall_clock_ms(), flow.issued_ms + 1)
        self._departures.append(departure)
        return [self.owner.ticket_update_action(flow)]

    def handle_shed(self, message, key, *, now_ms):
        """Ask another upstream; return None if no move waits for this."""
        pending = self._pending.get(message.flow_id)
        if pending is None or pending.tried[-1] != key:
            return None
        return self._try(pending, now_ms)

    # Time

    def tick(self, *, now_ms):
        """Repeat new tickets, close flows that moved away, give up late moves."""
        self._expire(now_ms)
        actions = []
        while self._departures and self._departures[0].at_ms <= now_ms:
            actions += self._process_departure(self._departures.popleft(), now_ms)
        return actions

    def _expire(self, now_ms):
        while self._pending:
            flow_id = next(iter(self._pending))
            if self._pending[flow_id].until_ms > now_ms:
                return
            del self._pending[flow_id]

    def _process_departure(self, departure, now_ms):
        flow, left = departure.flow, departure.left
        if flow.upstream == left:
            return []
        if departure.repeats:
            departure.repeats -= 1
            self._postpone(departure, now_ms)
            return [self.owner.ticket_update_action(flow)]
        if self.owner.has_in_flight_at(flow, left):
            self._postpone(departure, now_ms)
            return []
        if not self._context.is_stream_up(left):
            return []
        return [ToUpstream(key=left, message=FlowClose(flow_id=flow.flow_id))]

    def _postpone(self, departure, now_ms):
        departure.at_ms = now_ms + REPEAT_MS
        self._departures.append(departure)

    def _take_token(self, now_ms):
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) * MOVES_PER_S / 1000
            self._tokens = min(BURST_MOVES, self._tokens + gained)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
