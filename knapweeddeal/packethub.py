"""knapweeddeal.packethub: The task of a control replica that serves forwarders.

It keeps the directory of upstreams in memory, replicates changes to the other
replicas, and pushes upstreams and routes to the forwarders subscribed here. It never
waits for the disk, so it keeps running while the replicated log is blocked.
"""

import functools

import curio

from knapweeddeal.answersums import AnswerSums
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.coldallowance import VALID_MS, ColdGrants, Grant
from knapweeddeal.coldbound import DEFAULT_COLD_OVER, DEFAULT_COLD_SLACK, ColdBound
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import EncodedMessage
from knapweeddeal.messages.cold import (
    ColdAllowance,
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
    ColdAllowanceRequest,
    ColdGrantsNotice,
)
from knapweeddeal.messages.packets import (
    GONE,
    AnswerCounts,
    ControlState,
    DirectoryAck,
    DirectoryBatch,
    PacketConfiguration,
    PacketHints,
    ReplicaNotice,
    RoutesRequest,
    UpstreamsPush,
)
from knapweeddeal.packetevents import (
    ForwarderDisconnected,
    ForwarderMessageReceived,
    ForwarderSubscribed,
    ReplicatedStateChanged,
    UpstreamReported,
    UpstreamStateRequested,
)
from knapweeddeal.packetroutes import diff_routes
from knapweeddeal.record import Record
from knapweeddeal.replicalink import LinkDown, LinkUp
from knapweeddeal.upstreamtable import UpstreamTable

__all__ = ["PacketHub"]

log = Log(prefix="directory")

#: Interval of heartbeats to the other replicas and of checks for silent upstreams.
TICK_INTERVAL_MS = 500
#: Longest wait for acknowledgements of other replicas before a report is confirmed.
REPLICATION_TIMEOUT_MS = 400
#: Maximum age of a reused push of all upstreams, as their `cold_ms` counts down.
FULL_PUSH_REUSE_MS = 100
#: Time without an update from the replicated log after which its state is stale.
STATE_STALE_MS = 1_500
#: Time after which a request for permits that was passed on is forgotten.
RELAY_RETENTION_MS = 1_000
#: `retry_ms` of a refusal by a replica that has no link to the home.
NO_HOME_RETRY_MS = 200
DEFAULT_COLD_BOUND = ColdBound(over=DEFAULT_COLD_OVER, slack=DEFAULT_COLD_SLACK)


class PendingConfirmation:
    """Hold a report until all replicas linked at its receipt have acknowledged it."""

    __slots__ = ("received_ms", "missing", "reply", "upstream_id")

    def __init__(self, *, reply, missing, upstream_id, now_ms):
        self.reply = reply
        self.missing = missing
        self.upstream_id = upstream_id
        self.received_ms = now_ms


class Relay(Record):
    """Hold a request for permits that was passed on to the home of an upstream."""

    __slots__ = ("outbox", "received_ms", "request_id")


class Subscriber(Record):
    """Hold a forwarder's name and the configuration last pushed to it."""

    __slots__ = ("configuration", "name")


class PacketHub:
    """Own the directory of upstreams and the outboxes of forwarders."""

    __slots__ = (
        "_batch_id",
        "_cold",
        "_next_tick_ms",
        "_configuration",
        "_state_received_ms",
        "_current",
        "_diffs",
        "_events",
        "_forwarders",
        "_hints",
        "_answers",
        "_links",
        "_metrics",
        "_own_replica",
        "_replicas",
        "_table",
        "_pending",
        "_relay_id",
        "_relays",
        "_full_push",
        "_full_push_ms",
        "_zone",
    )

    def __init__(
        self,
        *,
        own_replica,
        zone,
        report_ms,
        events,
        metrics,
        hints,
        cold_bound=DEFAULT_COLD_BOUND,
    ):
        self._own_replica = own_replica
        self._hints = hints
        self._zone = zone
        self._events = events
        self._metrics = metrics
        self._table = UpstreamTable(
            own_identity=own_replica.identity, report_ms=report_ms
        )
        self._answers = AnswerSums(table=self._table, own_identity=own_replica.identity)
        now_ms = monotonic_ms()
        self._cold = ColdGrants(
            bound=cold_bound, report_ms=report_ms, started_ms=now_ms
        )
        #: Requests for permits that were passed on, by id; ids of an earlier process
        #: of this replica aren't used again.
        self._relays = {}
        self._relay_id = now_ms << 20
        self._configuration = None
        self._current = False
        self._state_received_ms = 0
        self._replicas = [own_replica]
        #: Outboxes to the other replicas, by identity.
        self._links = {}
        #: The `Subscriber` of each forwarder, by its outbox.
        self._forwarders = {}
        self._pending = {}
        self._batch_id = 0
        self._next_tick_ms = 0
        #: Encoded pushes that lead to the present configuration, by base revision.
        self._diffs = {}
        #: The last encoded push of all upstreams, and when it was encoded.
        self._full_push = None
        self._full_push_ms = 0

    # Queries.

    def dump(self):
        """Return the state of the hub for the dump."""
        now_ms = monotonic_ms()
        rates = {
            upstream_id: self._cold_rate_milli(upstream_id)
            for upstream_id in self._table.cold_ids(now_ms)
        }
        return {
            "cold": self._cold.dump(rates, now_ms),
            "current": self._is_current(monotonic_ms()),
            "forwarders": [f.name for f in self._forwarders.values()],
            "links": [f"{identity:016x}" for identity in self._links],
            "upstreams": self._table.states(monotonic_ms()),
            "waiting": len(self._pending),
        }

    def hints(self):
        """Return the hints that this replica serves first after its next start."""
        configuration = self._configuration
        states = self._table.states(monotonic_ms())
        return PacketHints(
            revision=configuration.revision if configuration else 0,
            routes=configuration.routes if configuration else [],
            states=[state for state in states if state.status != GONE],
            services=configuration.services if configuration else [],
        )

    def _cold_rate_milli(self, upstream_id):
        """Return the rate that an upstream's service states for cold ones, or 0."""
        state, configuration = self._table.get(upstream_id), self._configuration
        if state is None or configuration is None:
            return 0
        for terms in configuration.services:
            if terms.name == state.service:
                return terms.cold_per_s_milli
        return 0

    def _is_home(self, upstream_id):
        state = self._table.get(upstream_id)
        return state is not None and state.home == self._own_replica.identity

    def _is_current(self, now_ms):
        return self._current and now_ms - self._state_received_ms < STATE_STALE_MS

    # The loop.

    async def run(self):
        """Handle events for ever."""
        self._load_hints(self._hints.read())
        while True:
            wait_ms = max(self._next_tick_ms - monotonic_ms(), 0)
            event = await curio.ignore_after(wait_ms / 1000, self._events.get)
            if event is not None:
                await self._handle(event)
            if monotonic_ms() >= self._next_tick_ms:
                await self._tick(monotonic_ms())

    def _load_hints(self, hints):
        """Restore routes and upstreams from hints written before this start."""
        if hints is None:
            log.info("starting without hints")
            return
        now_ms, home = monotonic_ms(), self._own_replica.identity
        for state in hints.states:
            self._table.apply_state(_to_hint(state, home), now_ms)
        self._table.pop_unsent(self._table.states(now_ms))
        if hints.revision:
            self._configuration = PacketConfiguration(
                revision=hints.revision,
                routes=hints.routes,
                document=b"",
                services=hints.services,
            )
        log.info(
            "restored routes and upstreams from hints",
            revision=hints.revision,
            routes=len(hints.routes),
            upstreams=len(hints.states),
        )

    async def _tick(self, now_ms):
        self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        heartbeats = self._table.pop_heartbeats()
        if heartbeats:
            await self._send_to_replicas(self._batch(heartbeats=heartbeats))
        current = self._is_current(now_ms)
        silent = self._table.expire(
            now_ms=now_ms, current=current, linked=self._links.keys()
        )
        if silent:
            await self._push_states(silent)
        await self._detect_outliers(now_ms)
        await self._confirm_replicated(now_ms)
        await self._claim_unconfirmed(now_ms)
        self._cold.expire(now_ms)
        self._expire_relays(now_ms)

    async def _detect_outliers(self, now_ms):
        """Send answer totals to the replicas and mark outliers as failing."""
        totals = self._answers.pop_totals()
        if totals is not None:
            await self._send_to_replicas(totals)
        changed = self._answers.mark_failing(now_ms)
        if changed:
            await self._push_states(changed)
            states = self._table.with_remaining_cold(changed, now_ms)
            await self._send_to_replicas(self._batch(states=states))

    # Cold upstreams.

    async def _claim_unconfirmed(self, now_ms):
        """Claim the homes of cold upstreams that can't be granted for yet."""
        upstream_ids = [
            upstream_id
            for upstream_id in self._cold.unconfirmed(now_ms)
            if self._is_claimable(upstream_id, now_ms)
        ]
        if upstream_ids:
            states = [self._table.get(upstream_id) for upstream_id in upstream_ids]
            states = self._table.with_remaining_cold(states, now_ms)
            self._batch_id += 1
            await self._send_to_replicas(
                self._batch(states=states, batch_id=self._batch_id)
            )
            self._start_claim(self._batch_id, upstream_ids, now_ms)

    def _is_claimable(self, upstream_id, now_ms):
        """Return whether all replicas can acknowledge a claim of an upstream's home.

        Without a leader, this replica may not know all of them.
        """
        identities = {replica.identity for replica in self._replicas}
        missing = identities - self._links.keys() - {self._own_replica.identity}
        return (
            self._is_current(now_ms)
            and not missing
            and self._is_home(upstream_id)
            and self._cold_rate_milli(upstream_id) > 0
        )

    def _start_claim(self, batch_id, upstream_ids, now_ms):
        self._cold.start_claim(batch_id, upstream_ids, self._links.keys(), now_ms)
        log.info(
            "claimed to be the home of cold upstreams",
            upstreams=upstream_ids,
            replicas=len(self._links),
        )

    async def _answer_claims(self, states, outbox, now_ms):
        """Notify a new home of earlier grants; return False if that isn't possible."""
        for state in states:
            if self._cold_rate_milli(state.upstream_id) <= 0:
                continue
            notice = self._cold.answer_claim(
                state.upstream_id,
                is_home=self._is_home(state.upstream_id),
                now_ms=now_ms,
            )
            if notice is not None and not await outbox.offer(notice):
                return False
        return True

    def _grant(self, upstream_id, count, now_ms):
        """Return the permits that this replica grants as the home of an upstream."""
        grant = self._cold.grant(
            upstream_id,
            count,
            self._cold_rate_milli(upstream_id),
            is_home=self._is_home(upstream_id),
            now_ms=now_ms,
        )
        self._metrics.count("cold_permits_granted", grant.count)
        if not grant.count:
            self._metrics.count("cold_permits_refused")
            log.info(
                "refused permits for a cold upstream",
                upstream=upstream_id,
                home=self._is_home(upstream_id),
                retry_ms=grant.retry_ms,
            )
        return grant

    async def _request_permits(self, request, outbox):
        """Answer a forwarder's request, or pass it on to the upstream's home."""
        now_ms = monotonic_ms()
        self._metrics.count("cold_permits_requested")
        state = self._table.get(request.upstream_id)
        if state is None or state.home == self._own_replica.identity:
            grant = self._grant(request.upstream_id, request.count, now_ms)
            await outbox.offer(_allowance(request, grant))
            return
        link = self._links.get(state.home)
        if link is None:
            self._metrics.count("cold_permits_refused")
            grant = Grant(count=0, retry_ms=NO_HOME_RETRY_MS)
            await outbox.offer(_allowance(request, grant))
            return
        self._relay_id += 1
        self._relays[self._relay_id] = Relay(
            outbox=outbox, received_ms=now_ms, request_id=request.request_id
        )
        self._metrics.count("cold_requests_relayed")
        await link.offer(
            ColdAllowanceRelay(
                sender=self._own_replica.identity,
                relay_id=self._relay_id,
                upstream_id=request.upstream_id,
                count=request.count,
            )
        )

    def _expire_relays(self, now_ms):
        for relay_id, relay in list(self._relays.items()):
            if now_ms - relay.received_ms < RELAY_RETENTION_MS:
                return
            del self._relays[relay_id]

    # Events.

    @functools.singledispatchmethod
    async def _handle(self, event):
        raise TypeError(event)

    @_handle.register
    async def _(self, event: UpstreamReported):
        state, now_ms = event.state, monotonic_ms()
        upstream_id = state.upstream_id
        was_home = self._is_home(upstream_id)
        changed = self._table.apply_state(state, now_ms)
        self._metrics.count("reports")
        is_claimed = self._record_direct_report(state, was_home, now_ms)
        if not changed and not is_claimed:
            await event.reply.put(True)
            return
        await self._push_states(changed)
        self._batch_id += 1
        states = self._table.with_remaining_cold(changed or [state], now_ms)
        await self._send_to_replicas(
            self._batch(states=states, batch_id=self._batch_id)
        )
        if is_claimed:
            self._start_claim(self._batch_id, [upstream_id], now_ms)
        self._pending[self._batch_id] = PendingConfirmation(
            reply=event.reply,
            missing=set(self._links),
            upstream_id=state.upstream_id,
            now_ms=now_ms,
        )
        await self._confirm_replicated(now_ms)

    def _record_direct_report(self, state, was_home, now_ms):
        """Record a report received here; return whether to claim the home."""
        applied = self._table.get(state.upstream_id)
        if applied is None or applied.version_key != state.version_key:
            return False
        begins = self._cold.record_report(state, was_home=was_home, now_ms=now_ms)
        is_cold = state.cold_ms > 0
        return begins and is_cold and self._is_claimable(state.upstream_id, now_ms)

    @_handle.register
    async def _(self, event: UpstreamStateRequested):
        await event.reply.put(self._table.get(event.upstream_id))

    @_handle.register
    async def _(self, batch: DirectoryBatch):
        now_ms = monotonic_ms()
        changed = []
        for state in batch.states:
            changed += self._table.apply_state(state, now_ms)
        for heartbeat in batch.beats:
            changed += self._table.apply_heartbeat(heartbeat, batch.sender, now_ms)
        if changed:
            await self._push_states(changed)
        outbox = self._links.get(batch.sender)
        if batch.batch_id and outbox is not None:
            if not await self._answer_claims(batch.states, outbox, now_ms):
                return
            ack = DirectoryAck(
                sender=self._own_replica.identity, batch_id=batch.batch_id
            )
            await outbox.offer(ack)

    @_handle.register
    async def _(self, ack: DirectoryAck):
        self._cold.acknowledge(ack.batch_id, ack.sender, monotonic_ms())
        pending = self._pending.get(ack.batch_id)
        if pending is not None:
            pending.missing.discard(ack.sender)
            await self._confirm_replicated(monotonic_ms())

    @_handle.register
    async def _(self, event: LinkUp):
        identity = event.state.replica.identity
        is_new = identity not in self._links
        self._links[identity] = event.outbox
        if is_new:
            states = self._table.states(monotonic_ms())
            await event.outbox.offer(self._batch(states=states))
            log.info("connected to a replica", replica=event.state.replica.name)
            for outbox in self._links.values():
                await outbox.offer(ReplicaNotice(replica=event.state.replica))

    @_handle.register
    async def _(self, event: LinkDown):
        if self._links.get(event.identity) is event.outbox:
            del self._links[event.identity]
            self._cold.drop_replica(event.identity)
            log.warning("lost the link to a replica", identity=f"{event.identity:016x}")
            for pending in self._pending.values():
                pending.missing.discard(event.identity)
            await self._confirm_replicated(monotonic_ms())

    @_handle.register
    async def _(self, event: ForwarderSubscribed):
        existing = (
            self._configuration if self._has_current_routes(event.hello) else None
        )
        self._forwarders[event.outbox] = Subscriber(
            name=event.hello.name, configuration=existing
        )
        log.info("accepted a subscription of a forwarder", name=event.hello.name)
        await event.outbox.offer(self._control_state())
        if existing is None:
            await self._push_routes(event.outbox)
        await event.outbox.offer(self._all_upstreams_push(monotonic_ms()))

    @_handle.register
    async def _(self, message: AnswerCounts):
        self._answers.set_replica_totals(message, monotonic_ms())

    @_handle.register
    async def _(self, event: ForwarderMessageReceived):
        if event.outbox not in self._forwarders:
            return
        if isinstance(event.message, AnswerCounts):
            self._answers.add_counts(event.message, monotonic_ms())
            return
        if isinstance(event.message, ColdAllowanceRequest):
            await self._request_permits(event.message, event.outbox)
            return
        if isinstance(event.message, RoutesRequest):
            self._forwarders[event.outbox].configuration = None
            await self._push_routes(event.outbox)
        await event.outbox.offer(self._control_state())

    @_handle.register
    async def _(self, relay: ColdAllowanceRelay):
        grant = self._grant(relay.upstream_id, relay.count, monotonic_ms())
        outbox = self._links.get(relay.sender)
        if outbox is not None:
            await outbox.offer(
                ColdAllowanceRelayAnswer(
                    relay_id=relay.relay_id,
                    upstream_id=relay.upstream_id,
                    count=grant.count,
                    valid_ms=VALID_MS,
                    retry_ms=grant.retry_ms,
                )
            )

    @_handle.register
    async def _(self, answer: ColdAllowanceRelayAnswer):
        relay = self._relays.pop(answer.relay_id, None)
        if relay is not None and relay.outbox in self._forwarders:
            await relay.outbox.offer(_allowance(relay, answer, answer.upstream_id))

    @_handle.register
    async def _(self, notice: ColdGrantsNotice):
        self._cold.apply_notice(notice, monotonic_ms())
        log.info(
            "learned of earlier grants for a cold upstream",
            upstream=notice.upstream_id,
            count=notice.count,
            wait_ms=notice.wait_ms,
        )

    @_handle.register
    async def _(self, event: ForwarderDisconnected):
        subscriber = self._forwarders.pop(event.outbox, None)
        if subscriber is not None:
            log.info("lost the stream from a forwarder", name=subscriber.name)

    @_handle.register
    async def _(self, event: ReplicatedStateChanged):
        now_ms = monotonic_ms()
        was_current = self._is_current(now_ms)
        self._state_received_ms = now_ms
        self._current = event.current
        self._replicas = event.replicas
        if self._is_newer(event.configuration):
            self._configuration = event.configuration
            self._diffs = {}
            for outbox in self._forwarders:
                await self._push_routes(outbox)
            await self._hints.mark_dirty()
        if was_current != event.current:
            for outbox in self._forwarders:
                await outbox.offer(self._control_state())
            if event.current:
                await self._push_silent(now_ms)

    def _is_newer(self, configuration):
        """Return whether a configuration is newer: hints may be ahead of the log."""
        existing = self._configuration
        return existing is None or configuration.revision > existing.revision

    # Messages out.

    def _batch(self, *, states=(), heartbeats=(), batch_id=0):
        return DirectoryBatch(
            sender=self._own_replica.identity,
            batch_id=batch_id,
            states=list(states),
            beats=list(heartbeats),
        )

    def _control_state(self):
        return ControlState(
            zone=self._zone,
            current=self._is_current(monotonic_ms()),
            revision=self._configuration.revision if self._configuration else 0,
            replicas=self._replicas,
        )

    async def _send_to_replicas(self, message):
        for outbox in self._links.values():
            await outbox.offer(message)

    async def _push_states(self, states):
        self._full_push = None
        for state in states:
            if state.failing:
                self._answers.clear(state.upstream_id)
            log.info(
                "received a new state of an upstream",
                upstream=state.upstream_id,
                service=state.service,
                zone=state.zone,
                status=state.status,
                silent=state.silent,
                failing=state.failing,
                cold_ms=state.cold_ms,
                born_ms=state.born_ms,
                sequence=state.sequence,
                home=f"{state.home:016x}",
                forwarders=len(self._forwarders),
            )
        await self._hints.mark_dirty()
        unsent = self._table.pop_unsent(states)
        if not unsent:
            return
        unsent = self._table.with_remaining_cold(unsent, monotonic_ms())
        push = EncodedMessage(message=UpstreamsPush(whole=False, states=unsent))
        for outbox in self._forwarders:
            await outbox.offer(push)

    async def _push_silent(self, now_ms):
        """Push silent upstreams again: forwarders ignore them without a leader."""
        states = [state for state in self._table.states(now_ms) if state.silent]
        if not states:
            return
        push = EncodedMessage(message=UpstreamsPush(whole=False, states=states))
        for outbox in self._forwarders:
            await outbox.offer(push)

    def _all_upstreams_push(self, now_ms):
        """Return a push of all upstreams, reused when many forwarders subscribe."""
        if self._full_push is None or now_ms - self._full_push_ms >= FULL_PUSH_REUSE_MS:
            push = UpstreamsPush(whole=True, states=self._table.states(now_ms))
            self._full_push = EncodedMessage(message=push)
            self._full_push_ms = now_ms
        return self._full_push

    def _has_current_routes(self, hello):
        """Return whether a forwarder has these routes already, from another replica."""
        configuration = self._configuration
        return configuration is not None and hello.revision == configuration.revision

    async def _push_routes(self, outbox):
        configuration = self._configuration
        if configuration is None or not configuration.revision:
            return
        forwarder = self._forwarders[outbox]
        previous, forwarder.configuration = forwarder.configuration, configuration
        await outbox.offer(self._routes_push(previous))

    def _routes_push(self, previous):
        """Return the encoded push from a previous configuration to the present one."""
        base = previous.revision if previous else 0
        if base not in self._diffs:
            push = diff_routes(previous, self._configuration)
            self._diffs[base] = EncodedMessage(message=push)
        return self._diffs[base]

    # Confirmations.

    async def _confirm_replicated(self, now_ms):
        """Confirm reports that every linked replica acknowledged, or that timed out."""
        for batch_id, pending in list(self._pending.items()):
            is_late = now_ms - pending.received_ms >= REPLICATION_TIMEOUT_MS
            if pending.missing and not is_late:
                continue
            del self._pending[batch_id]
            if pending.missing:
                log.warning(
                    "confirmed a report without acknowledgements of some replicas",
                    upstream=pending.upstream_id,
                    missing=len(pending.missing),
                )
            self._metrics.record_us(
                "report_replication", (now_ms - pending.received_ms) * 1000
            )
            await pending.reply.put(True)


def _allowance(request, grant, upstream_id=None):
    """Return the answer to a forwarder's request."""
    return ColdAllowance(
        request_id=request.request_id,
        upstream_id=upstream_id or request.upstream_id,
        count=grant.count,
        valid_ms=VALID_MS,
        retry_ms=grant.retry_ms,
    )


def _to_hint(state, home):
    """Return a state marked as a hint, neither silent nor failing."""
    return state.replace(home=home, hint=True, silent=False, failing=False)
