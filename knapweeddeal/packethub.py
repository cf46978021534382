"""knapweeddeal.packethub: The task of a control replica that serves forwarders.

It keeps the directory of upstreams in memory, replicates changes to the other
replicas, and pushes upstreams and routes to the forwarders subscribed here. It never
waits for the disk, so it keeps running while the replicated log is blocked.
"""

import functools
import traceback

import curio

from knapweeddeal.answersums import AnswerSums
from knapweeddeal.clock import monotonic_ms
from knapweeddeal.coldbound import DEFAULT_COLD_OVER, DEFAULT_COLD_SLACK, ColdBound
from knapweeddeal.coldhome import ColdHome
from knapweeddeal.evacuations import evacuated_names
from knapweeddeal.heldrevisions import HeldRevisions
from knapweeddeal.loadsums import LoadSums
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import EncodedMessage
from knapweeddeal.messages.cold import (
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
    ColdAllowanceRequest,
    ColdGrantsNotice,
)
from knapweeddeal.messages.loads import RequestCounts, ServiceSums
from knapweeddeal.messages.packets import (
    GONE,
    NO_EVACUATIONS,
    READY,
    AnswerCounts,
    ControlState,
    DirectoryAck,
    DirectoryBatch,
    Evacuations,
    PacketConfiguration,
    PacketHints,
    ReplicaNotice,
    RoutesRequest,
    UpstreamsPush,
    ZonesPush,
)
from knapweeddeal.packetconfigurations import configured_services
from knapweeddeal.packetevents import (
    ForwarderDisconnected,
    ForwarderMessageReceived,
    ForwarderSubscribed,
    ReplicaMessageReceived,
    ReplicatedStateChanged,
    UpstreamDeparted,
    UpstreamReported,
)
from knapweeddeal.packetroutes import diff_routes, without_unreadable_routes
from knapweeddeal.record import Record
from knapweeddeal.replicalink import LinkDown, LinkUp
from knapweeddeal.upstreamechoes import log_echo_move
from knapweeddeal.upstreamtable import ACCEPTED, DEFERRED, REFUSED, UpstreamTable

__all__ = ["PacketHub"]

log = Log(prefix="directory")

#: Interval of heartbeats to the other replicas and of checks for silent upstreams.
TICK_INTERVAL_MS = 500
#: Longest wait for acknowledgements of other replicas before a report is confirmed.
REPLICATION_TIMEOUT_MS = 400
#: Maximum age of a reused push of all upstreams, as their `cold_ms` counts down.
FULL_PUSH_REUSE_MS = 100
#: Time for which loads are pushed to a forwarder after it reported requests: it reports
#: to one of its replicas, and only that one pushes them.
REPORTER_LIFE_MS = 10_000
#: Time without an update from the replicated log after which its state is stale.
STATE_STALE_MS = 1_500
DEFAULT_COLD_BOUND = ColdBound(over=DEFAULT_COLD_OVER, slack=DEFAULT_COLD_SLACK)


class PendingConfirmation:
    """Hold a report until all replicas linked at its receipt have acknowledged it."""

    __slots__ = ("received_ms", "missing", "reply", "upstream_id")

    def __init__(self, *, reply, missing, upstream_id, now_ms):
        self.reply = reply
        self.missing = missing
        self.upstream_id = upstream_id
        self.received_ms = now_ms


class Subscriber(Record):
    """Hold a forwarder's name and zone, and the routes and evacuations last pushed.

    `reported_ms` is when it last reported requests, or None.
    """

    __slots__ = ("configuration", "evacuation_version", "name", "reported_ms", "zone")


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
        "_evacuations",
        "_events",
        "_forwarders",
        "_held_revisions",
        "_hints",
        "_answers",
        "_links",
        "_loads",
        "_metrics",
        "_own_replica",
        "_replicas",
        "_table",
        "_pending",
        "_full_push",
        "_full_push_ms",
        "_zone",
        "_zones_push",
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
        self._loads = LoadSums(table=self._table, own_identity=own_replica.identity)
        self._configuration = None
        self._held_revisions = HeldRevisions()
        #: The evacuations of the highest version that is known here.
        self._evacuations = NO_EVACUATIONS
        #: The encoded push of their zones.
        self._zones_push = None
        self._current = False
        self._state_received_ms = 0
        self._replicas = [own_replica]
        #: Outboxes to the other replicas, by identity.
        self._links = {}
        self._cold = ColdHome(
            own_identity=own_replica.identity,
            table=self._table,
            links=self._links,
            metrics=metrics,
            bound=cold_bound,
            report_ms=report_ms,
            started_ms=monotonic_ms(),
        )
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
        return {
            "cold": self._cold.dump(now_ms),
            "current": self._is_current(monotonic_ms()),
            "evacuation_version": self._evacuations.version,
            "evacuated_zones": evacuated_names(self._evacuations),
            "forwarders": [f.name for f in self._forwarders.values()],
            "links": [f"{identity:016x}" for identity in self._links],
            "loads": self._loads.dump(),
            "upstreams": self._table.states(monotonic_ms()),
            "waiting": len(self._pending),
        }

    def hints(self):
        """Return the hints that this replica serves first after its next start."""
        configuration = self._configuration
        states = self._table.states(monotonic_ms())
        return PacketHints(
            revision=self._revision,
            routes=configuration.routes if configuration else [],
            states=[state for state in states if state.status != GONE],
            services=configuration.services if configuration else [],
            evacuations=self._evacuations,
        )

    @property
    def _revision(self):
        """Return the revision of the routes that are pushed, or 0."""
        return self._configuration.revision if self._configuration else 0

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
                await self._contain(self._handle, event)
            if monotonic_ms() >= self._next_tick_ms:
                await self._tick(monotonic_ms())

    async def _contain(self, step, argument):
        """Run a step; log an unexpected error, which must not end the process.

        The directory is soft state, and what other events change isn't affected.
        """
        try:
            await step(argument)
        except Exception as error:
            self._metrics.count("hub_errors")
            log.warning(
                "failed to handle an event",
                step=step.__name__,
                argument=type(argument).__name__,
                error=repr(error),
                trace=traceback.format_exc(),
            )

    def _load_hints(self, hints):
        """Restore routes, upstreams and evacuations from before this start."""
        if hints is None:
            log.info("starting without hints")
            return
        now_ms, home = monotonic_ms(), self._own_replica.identity
        states = [_to_hint(state, home) for state in hints.states]
        self._table.apply_states(states, now_ms)
        self._table.pop_unsent(self._table.states(now_ms))
        self._adopt_evacuations(hints.evacuations)
        if hints.revision:
            self._set_configuration(
                PacketConfiguration(
                    revision=hints.revision,
                    routes=hints.routes,
                    document=b"",
                    services=hints.services,
                )
            )
        log.info(
            "restored routes and upstreams from hints",
            revision=hints.revision,
            routes=len(hints.routes),
            upstreams=len(hints.states),
            evacuated=evacuated_names(hints.evacuations),
        )

    async def _tick(self, now_ms):
        self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        for step in (
            self._send_heartbeats,
            self._expire_upstreams,
            self._detect_outliers,
            self._push_loads,
            self._confirm_replicated,
            self._claim_unconfirmed,
            self._request_missing_routes,
        ):
            await self._contain(step, now_ms)
        self._cold.expire(now_ms)

    async def _send_heartbeats(self, _now_ms):
        heartbeats = self._table.pop_heartbeats()
        if heartbeats:
            await self._send_to_replicas(self._batch(heartbeats=heartbeats))

    async def _expire_upstreams(self, now_ms):
        changed = self._table.expire(
            now_ms=now_ms,
            current=self._is_current(now_ms),
            linked=self._links.keys(),
        )
        if not changed:
            return
        await self._push_states(changed)
        gone = [state for state in changed if state.status == GONE]
        if gone:
            await self._replicate(gone, 0, now_ms)

    async def _detect_outliers(self, now_ms):
        """Send answer totals to the replicas and mark outliers as failing."""
        totals = self._answers.pop_totals()
        if totals is not None:
            await self._send_to_replicas(totals)
        changed = self._answers.mark_failing(now_ms)
        if changed:
            await self._push_states(changed)
            await self._replicate(changed, 0, now_ms)

    # Cold upstreams.

    def _members(self, now_ms):
        """Return the identities of all replicas, or None without a leader."""
        if not self._is_current(now_ms):
            return None
        return {replica.identity for replica in self._replicas}

    async def _claim_unconfirmed(self, now_ms):
        """Claim again the homes of cold upstreams that can't be granted for yet."""
        upstream_ids = self._cold.unconfirmed(self._members(now_ms), now_ms)
        if upstream_ids:
            states = [self._table.get(upstream_id) for upstream_id in upstream_ids]
            self._batch_id += 1
            await self._replicate(states, self._batch_id, now_ms)
            self._start_claim(self._batch_id, upstream_ids, now_ms)

    def _start_claim(self, batch_id, upstream_ids, now_ms):
        self._cold.start_claim(batch_id, upstream_ids, now_ms)
        log.info(
            "claimed to be the home of cold upstreams",
            upstreams=upstream_ids,
            replicas=len(self._links),
        )

    async def _send_answer(self, message, outbox):
        """Send an answer to a request for permits if its stream is still there."""
        known = outbox in self._forwarders or outbox in self._links.values()
        if not known:
            return
        await outbox.offer(message)
        if getattr(message, "retry_ms", 0):
            log.info(
                "refused permits for a cold upstream",
                upstream=message.upstream_id,
                home=self._cold.is_home(message.upstream_id),
                retry_ms=message.retry_ms,
            )

    async def _push_loads(self, now_ms):
        """Send sums to the replicas, and loads to the forwarders that report here."""
        sums = self._loads.advance(now_ms)
        if sums is not None:
            await self._send_to_replicas(EncodedMessage(message=sums))
        was_under_load = self._loads.last_push is not None
        loads = self._loads.push(now_ms)
        if was_under_load != (loads is not None):
            log.info(
                "began or ended pushing loads to forwarders",
                services=[one.service for one in loads.services] if loads else [],
            )
        if loads is None:
            return
        push = EncodedMessage(message=loads)
        for outbox, forwarder in self._forwarders.items():
            reported_ms = forwarder.reported_ms
            if reported_ms is not None and now_ms - reported_ms < REPORTER_LIFE_MS:
                self._metrics.count("load_pushes")
                await outbox.offer(push)

    # Events.

    @functools.singledispatchmethod
    async def _handle(self, event):
        raise TypeError(event)

    @_handle.register
    async def _(self, event: UpstreamReported):
        await self._apply_report(event.state, event.reply)

    @_handle.register
    async def _(self, event: UpstreamDeparted):
        upstream_id = event.upstream_id
        last = self._table.get(upstream_id)
        verdict = self._table.judge_departure(upstream_id, event.born_ms)
        self._metrics.count(f"departures_{verdict}")
        log.info(
            f"{verdict} a departure",
            upstream=upstream_id,
            born_ms=event.born_ms,
            known_born_ms=last.born_ms if last else None,
            known_status=last.status if last else None,
        )
        if verdict == ACCEPTED:
            state = self._table.departed_state(upstream_id, event.sequence)
            await self._apply_report(state, event.reply)
            return
        if verdict == DEFERRED:
            self._table.defer_departure(upstream_id)
        await event.reply.put(verdict != REFUSED)

    async def _apply_report(self, state, reply):
        """Apply a state received here; confirm it once other replicas have it."""
        now_ms = monotonic_ms()
        upstream_id = state.upstream_id
        changed = self._table.apply_state(state, now_ms)
        self._metrics.count("reports")
        is_claimed = self._cold.record_report(
            state, members=self._members(now_ms), now_ms=now_ms
        )
        if not changed and not is_claimed:
            await reply.put(True)
            return
        await self._push_states(changed)
        self._batch_id += 1
        await self._replicate(changed or [state], self._batch_id, now_ms)
        if is_claimed:
            self._start_claim(self._batch_id, [upstream_id], now_ms)
        self._pending[self._batch_id] = PendingConfirmation(
            reply=reply,
            missing=set(self._links),
            upstream_id=state.upstream_id,
            now_ms=now_ms,
        )
        await self._confirm_replicated(now_ms)

    @_handle.register
    async def _(self, batch: DirectoryBatch):
        now_ms = monotonic_ms()
        changed = self._table.apply_states(batch.states, now_ms)
        for heartbeat in batch.beats:
            changed += self._table.apply_heartbeat(heartbeat, batch.sender, now_ms)
        self._cold.record_changes(changed)
        if changed:
            await self._push_states(changed)
        outbox = self._links.get(batch.sender)
        if batch.batch_id and outbox is not None:
            for notice in self._cold.answer_claims(batch.states, now_ms):
                if not await outbox.offer(notice):
                    return
            ack = DirectoryAck(
                sender=self._own_replica.identity, batch_id=batch.batch_id
            )
            await outbox.offer(ack)

    @_handle.register
    async def _(self, ack: DirectoryAck):
        self._cold.acknowledge(ack, monotonic_ms())
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
            if self._evacuations.version:
                await event.outbox.offer(self._evacuations)
            await event.outbox.offer(self._control_state())
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
            name=event.hello.name,
            zone=event.hello.zone,
            configuration=existing,
            evacuation_version=0,
            reported_ms=None,
        )
        log.info("accepted a subscription of a forwarder", name=event.hello.name)
        await event.outbox.offer(self._control_state())
        # Before the upstreams, which a forwarder may select once it knows them.
        await self._push_zones(event.outbox)
        await self._push_routes(event.outbox)
        await event.outbox.offer(self._all_upstreams_push(monotonic_ms()))

    @_handle.register
    async def _(self, message: AnswerCounts):
        self._answers.set_replica_totals(message, monotonic_ms())

    @_handle.register
    async def _(self, message: Evacuations):
        await self._set_evacuations(message)

    @_handle.register
    async def _(self, message: ServiceSums):
        self._loads.set_replica_sums(message, monotonic_ms())

    @_handle.register
    async def _(self, event: ForwarderMessageReceived):
        forwarder = self._forwarders.get(event.outbox)
        if forwarder is None:
            return
        if isinstance(event.message, AnswerCounts):
            # A forwarder of an earlier version.
            self._answers.add_counts(event.message.counts, monotonic_ms())
            return
        if isinstance(event.message, RequestCounts):
            now_ms = monotonic_ms()
            forwarder.reported_ms = now_ms
            counts = event.message.counts
            self._answers.add_counts(counts, now_ms)
            self._loads.add_counts(forwarder.zone, counts)
            return
        if isinstance(event.message, ColdAllowanceRequest):
            now_ms = monotonic_ms()
            await self._send_answer(
                *self._cold.answer_request(event.message, event.outbox, now_ms)
            )
            return
        if isinstance(event.message, RoutesRequest):
            forwarder.configuration = None
        await self._push_routes(event.outbox)
        await self._push_zones(event.outbox)
        await event.outbox.offer(self._control_state())

    @_handle.register
    async def _(self, relay: ColdAllowanceRelay):
        await self._send_answer(*self._cold.answer_relay(relay, monotonic_ms()))

    @_handle.register
    async def _(self, answer: ColdAllowanceRelayAnswer):
        await self._send_answer(*self._cold.pass_answer_back(answer))

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
        await self._set_evacuations(event.evacuations)
        await self._adopt_configuration(event.configuration)
        if was_current != event.current:
            for outbox in self._forwarders:
                await outbox.offer(self._control_state())
            if event.current:
                await self._push_silent(monotonic_ms())

    @_handle.register
    async def _(self, event: ReplicaMessageReceived):
        now_ms, message = monotonic_ms(), event.message
        if isinstance(message, ControlState):
            self._held_revisions.record(event.sender, message.revision, now_ms)
        elif isinstance(message, RoutesRequest):
            await self._send_routes(self._links.get(event.sender))
        elif await self._adopt_configuration(message):
            self._metrics.count("routes_from_replicas")
            log.warning(
                "got routes from another replica, as the log here is behind",
                revision=message.revision,
                replica=f"{event.sender:016x}",
            )

    async def _send_routes(self, outbox):
        """Send the routes to a replica, without the document that its log has."""
        if outbox is not None and self._configuration is not None:
            await outbox.offer(self._configuration.replace(document=b""))

    async def _request_missing_routes(self, now_ms):
        """Request routes that others have and the own log hasn't applied in time."""
        identity = self._held_revisions.due_request(self._revision, self._links, now_ms)
        if identity is not None:
            await self._links[identity].offer(RoutesRequest())

    async def _adopt_configuration(self, configuration):
        """Push a committed configuration if it is newer; return whether it is."""
        if not self._is_newer(configuration):
            return False
        changed = self._set_configuration(configuration)
        self._diffs = {}
        for outbox in self._forwarders:
            await self._push_routes(outbox)
        await self._send_to_replicas(self._control_state())
        await self._hints.mark_dirty()
        if changed:
            await self._push_states(changed)
            await self._replicate(changed, 0, monotonic_ms())
        return True

    async def _set_evacuations(self, evacuations):
        """Adopt evacuations of a higher version, and push them at once.

        They go to the other replicas too: one whose log waits for its disk still
        pushes what others have committed.
        """
        if evacuations.version <= self._evacuations.version:
            return
        self._adopt_evacuations(evacuations)
        self._metrics.count("evacuation_changes")
        for outbox in self._forwarders:
            await self._push_zones(outbox)
        await self._send_to_replicas(evacuations)
        await self._hints.mark_dirty()
        self._log_evacuations()

    def _adopt_evacuations(self, evacuations):
        self._evacuations = evacuations
        names = evacuated_names(evacuations)
        self._loads.evacuated = frozenset(names)
        push = ZonesPush(version=evacuations.version, zones=names)
        self._zones_push = EncodedMessage(message=push)

    def _log_evacuations(self):
        """Log the evacuated zones, as a warning if no other zone has an upstream."""
        evacuated = evacuated_names(self._evacuations)
        states = self._table.states(monotonic_ms())
        serving = {state.zone for state in states if state.status == READY}
        log.info(
            "evacuated zones changed",
            version=self._evacuations.version,
            evacuated=evacuated,
            forwarders=len(self._forwarders),
        )
        if serving and serving <= set(evacuated):
            log.warning(
                "every zone with ready upstreams is evacuated", evacuated=evacuated
            )

    def _set_configuration(self, configuration):
        """Adopt a configuration; return the upstreams that changed with it."""
        self._configuration = without_unreadable_routes(configuration)
        left_out = len(configuration.routes) - len(self._configuration.routes)
        if left_out:
            log.warning(
                "left out routes with an address that can't be read",
                revision=configuration.revision,
                routes=left_out,
            )
        self._cold.services = {terms.name: terms for terms in configuration.services}
        return self._table.set_services(configured_services(configuration))

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
            revision=self._revision,
            replicas=self._replicas,
        )

    async def _push_zones(self, outbox):
        """Push the evacuated zones to a forwarder unless it has them.

        With each heartbeat it is tried again, as a full outbox refuses a push.
        Nothing is sent before the first order, so earlier versions can read all.
        """
        forwarder, version = self._forwarders[outbox], self._evacuations.version
        if forwarder.evacuation_version == version:
            return
        if await outbox.offer(self._zones_push):
            forwarder.evacuation_version = version

    async def _replicate(self, states, batch_id, now_ms):
        states = self._table.with_remaining_cold(states, now_ms)
        await self._send_to_replicas(self._batch(states=states, batch_id=batch_id))

    async def _send_to_replicas(self, message):
        for outbox in self._links.values():
            await outbox.offer(message)

    async def _push_states(self, states):
        self._full_push = None
        for move in self._table.pop_echo_moves():
            log_echo_move(move, log=log, metrics=self._metrics)
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
        """Push the routes to a forwarder unless it has them.

        With each heartbeat it is tried again, as a full outbox refuses a push.
        """
        forwarder, configuration = self._forwarders[outbox], self._configuration
        if forwarder.configuration is configuration or not self._revision:
            return
        push = await self._routes_push(forwarder.configuration)
        if await outbox.offer(push):
            forwarder.configuration = configuration

    async def _routes_push(self, previous):
        """Return the encoded push from a previous configuration to the present one.

        It is made in a thread, as the streams to other replicas and the replicated log
        share the event loop. Only this task changes what it is made of.
        """
        base = previous.revision if previous else 0
        if base not in self._diffs:
            self._diffs[base] = await curio.run_in_thread(
                _encode_routes_push, previous, self._configuration
            )
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


def _encode_routes_push(previous, configuration):
    return EncodedMessage(message=diff_routes(previous, configuration))


def _to_hint(state, home):
    """Return a state marked as a hint, neither silent nor failing."""
    return state.replace(home=home, hint=True, silent=False, failing=False)
