"""knapweeddeal.flowmigrator: Migration of flows off leaving or lost upstreams."""

from collections import deque

from knapweeddeal.actions import ToUpstream
from knapweeddeal.entrycontext import ticket_upstream_key
from knapweeddeal.messages.upstream import FlowClose, FlowOpen
from knapweeddeal.record import Record

__all__ = ["FlowMigrator"]

#: Token bucket for the migrations that one entry starts: rate and burst size.
MIGRATIONS_PER_S = 500
MIGRATION_BURST = 100
#: Time within which the new upstream must answer.
OPEN_TIMEOUT_MS = 1_000
#: Upstreams that are tried for one migration.
MAX_OPEN_ATTEMPTS = 3
#: Repetitions of a new ticket, and the interval between them.
TICKET_UPDATE_REPEATS = 2
TICKET_UPDATE_INTERVAL_MS = 300
#: An upstream is lost after this many stream failures in a row over at least this
#: time.
LOST_MIN_FAILURES = 2
LOST_MIN_MS = 500
#: Upstreams whose stream failures are remembered.
MAX_FAILING_UPSTREAMS = 10_000


class PendingMigration(Record):
    """Hold a migration that waits for the new upstream's answer."""

    __slots__ = ("flow", "attempted", "until_ms")


class OldUpstreamCleanup(Record):
    """Hold the remaining ticket updates and the close at the old upstream of a flow."""

    __slots__ = ("at_ms", "flow", "old_upstream", "repeats")


class StreamFailures(Record):
    """Count the failures of the stream to an upstream since it was last up."""

    __slots__ = ("since_ms", "count")


class FlowMigrator:
    """Migrate flows on their next packet: make-before-break and rate-limited."""

    def __init__(self, *, context):
        self._context = context
        self.owner = None
        self._pending = {}
        self._cleanups = deque()
        self._failures = {}
        self._tokens = MIGRATION_BURST
        self._refilled_ms = None

    def __len__(self):
        """Return how many migrations and cleanups are in progress."""
        return len(self._pending) + len(self._cleanups)

    # Queries

    def is_lost(self, key, *, now_ms):
        """Return whether an upstream is lost, judged by the failures of its stream."""
        failures = self._failures.get(key)
        return (
            failures is not None
            and failures.count >= LOST_MIN_FAILURES
            and now_ms - failures.since_ms >= LOST_MIN_MS
        )

    def must_migrate(self, key, *, now_ms):
        """Return whether flows must migrate off an upstream."""
        return self._context.is_leaving(key) or self.is_lost(key, now_ms=now_ms)

    def is_migrating(self, flow):
        """Return whether a migration of a flow is in progress."""
        return flow.flow_id in self._pending

    # Streams

    def stream_up(self, key):
        """Reset the failures of an upstream whose stream was established."""
        self._failures.pop(key, None)

    def stream_down(self, key, *, now_ms):
        """Record a stream failure of an upstream."""
        failures = self._failures.setdefault(
            key, StreamFailures(since_ms=now_ms, count=0)
        )
        failures.count += 1
        while len(self._failures) > MAX_FAILING_UPSTREAMS:
            del self._failures[next(iter(self._failures))]

    # Migration

    def migrate_if_due(self, flow, ticket, *, now_ms):
        """Migrate a flow off a leaving or lost upstream, or repeat its new ticket."""
        if ticket_upstream_key(ticket) != flow.upstream:
            return [self.owner.ticket_update_action(flow)]
        if not self.must_migrate(flow.upstream, now_ms=now_ms):
            return []
        return self._start(flow, now_ms)

    def _start(self, flow, now_ms):
        if self.is_migrating(flow) or not self._take_token(now_ms):
            return []
        pending = PendingMigration(
            flow=flow, attempted=[], until_ms=now_ms + OPEN_TIMEOUT_MS
        )
        return self._request_open(pending, now_ms)

    def _request_open(self, pending, now_ms):
        flow = pending.flow
        self._pending.pop(flow.flow_id, None)
        if len(pending.attempted) >= MAX_OPEN_ATTEMPTS:
            return []
        attempted = [flow.upstream, *pending.attempted]
        chosen = self._context.select_upstream(
            flow.upstream.service, attempted, now_ms=now_ms
        )
        if chosen is None:
            self._context.count("moves_without_upstream")
            return []
        pending.attempted.append(chosen.key)
        self._pending[flow.flow_id] = pending
        request = FlowOpen(
            flow_id=flow.flow_id,
            caller_host=flow.caller.host,
            caller_port=flow.caller.port,
        )
        return [ToUpstream(key=chosen.key, message=request)]

    def handle_accepted(self, message, key, *, now_ms):
        """Switch a flow to its new upstream; return None if no migration is pending."""
        pending = self._pending.get(message.flow_id)
        upstream = self._context.directory.get(key)
        if pending is None or upstream is None or pending.attempted[-1] != key:
            return None
        del self._pending[message.flow_id]
        flow = pending.flow
        planned = not self.is_lost(flow.upstream, now_ms=now_ms)
        self._context.count("flows_moved" if planned else "flows_broken")
        cleanup = OldUpstreamCleanup(
            at_ms=now_ms + TICKET_UPDATE_INTERVAL_MS,
            flow=flow,
            old_upstream=flow.upstream,
            repeats=TICKET_UPDATE_REPEATS,
        )
        self.owner.flows.set_upstream(flow, key, upstream.address)
        flow.ticket_issued_ms = max(
            self._context.wall_clock_ms(), flow.ticket_issued_ms + 1
        )
        self._cleanups.append(cleanup)
        return [self.owner.ticket_update_action(flow)]

    def handle_shed(self, message, key, *, now_ms):
        """Try another upstream; return None if no migration is pending."""
        pending = self._pending.get(message.flow_id)
        if pending is None or pending.attempted[-1] != key:
            return None
        return self._request_open(pending, now_ms)

    # Time

    def tick(self, *, now_ms):
        """Repeat new tickets, close migrated flows, drop migrations that timed out."""
        self._expire(now_ms)
        actions = []
        while self._cleanups and self._cleanups[0].at_ms <= now_ms:
            actions += self._process_cleanup(self._cleanups.popleft(), now_ms)
        return actions

    def _expire(self, now_ms):
        while self._pending:
            flow_id = next(iter(self._pending))
            if self._pending[flow_id].until_ms > now_ms:
                return
            del self._pending[flow_id]

    def _process_cleanup(self, cleanup, now_ms):
        flow, old_upstream = cleanup.flow, cleanup.old_upstream
        if flow.upstream == old_upstream:
            return []
        if cleanup.repeats:
            cleanup.repeats -= 1
            self._postpone(cleanup, now_ms)
            return [self.owner.ticket_update_action(flow)]
        if self.owner.has_in_flight_at(flow, old_upstream):
            self._postpone(cleanup, now_ms)
            return []
        if not self._context.is_stream_up(old_upstream):
            return []
        return [ToUpstream(key=old_upstream, message=FlowClose(flow_id=flow.flow_id))]

    def _postpone(self, cleanup, now_ms):
        cleanup.at_ms = now_ms + TICKET_UPDATE_INTERVAL_MS
        self._cleanups.append(cleanup)

    def _take_token(self, now_ms):
        if self._refilled_ms is not None:
            refill = (now_ms - self._refilled_ms) * MIGRATIONS_PER_S / 1000
            self._tokens = min(MIGRATION_BURST, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
