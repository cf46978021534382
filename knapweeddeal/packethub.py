"""knapweeddeal.packethub: The task of a control replica that serves forwarders.

It keeps the directory of upstreams in memory, hands changes to the other replicas
and to the forwarders that subscribed here, and pushes routes. It waits for no disk,
so it goes on while the replicated log can't.
"""

import functools

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.logs import Log
from knapweeddeal.messages.base import EncodedMessage
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
from knapweeddeal.outlierdetector import AnswerTotal, OutlierDetector
from knapweeddeal.packetroutes import diff_routes
from knapweeddeal.record import Record
from knapweeddeal.replicalink import LinkDown, LinkUp
from knapweeddeal.upstreamtable import UpstreamTable

__all__ = [
    "ReplicatedStateChanged",
    "ForwarderDisconnected",
    "ForwarderMessageReceived",
    "ForwarderSubscribed",
    "PacketHub",
    "UpstreamStateRequested",
    "UpstreamReported",
]

log = Log(prefix="directory")

#: Time between beats that are handed to the other replicas, and looks at silence.
TICK_INTERVAL_MS = 500
#: Longest wait for other replicas to hold a departure before it is confirmed.
REPLICATE_MS = 400
#: Longest use of one push of all upstreams: how long one stays cold changes with time.
WHOLE_MS = 100
#: Time without news from the replicated log after which its state isn't current.
CORE_SILENT_MS = 1_500


class UpstreamReported(Record):
    """Carry an upstream's report; `reply` gets a word once it may be confirmed."""

    __slots__ = ("reply", "state")


class UpstreamStateRequested(Record):
    """Ask for the state of an upstream; `reply` gets it, or None."""

    __slots__ = ("reply", "upstream_id")


class ForwarderSubscribed(Record):
    """Tell that a forwarder subscribed."""

    __slots__ = ("hello", "outbox")


class ForwarderMessageReceived(Record):
    """Carry what a forwarder sent: a heartbeat, or an ask for routes."""

    __slots__ = ("message", "outbox")


class ForwarderDisconnected(Record):
    """Tell that a forwarder's stream ended."""

    __slots__ = ("outbox",)


class ReplicatedStateChanged(Record):
    """Tell what the replicated log holds: routes, members and whether it leads on."""

    __slots__ = ("configuration", "current", "replicas")


class Waiting:
    """Hold a report until the replicas that were linked have acknowledged it."""

    __slots__ = ("began_ms", "missing", "reply", "upstream_id")

    def __init__(self, *, reply, missing, upstream_id, now_ms):
        self.reply = reply
        self.missing = missing
        self.upstream_id = upstream_id
        self.began_ms = now_ms


class Subscriber(Record):
    """Hold a subscribed forwarder's name and the routes that it was sent."""

    __slots__ = ("configuration", "name")


class PacketHub:
    """Own the directory and the forwarders' outboxes."""

    __slots__ = (
        "_batch_id",
        "_beat_ms",
        "_configuration",
        "_core_ms",
        "_current",
        "_diffs",
        "_events",
        "_forwarders",
        "_hints",
        "_judge",
        "_links",
        "_metrics",
        "_own",
        "_replicas",
        "_sums_sent",
        "_table",
        "_waiting",
        "_whole",
        "_whole_ms",
        "_zone",
    )

    def __init__(self, *, own, zone, report_ms, events, metrics, hints):
        self._own = own
        self._hints = hints
        self._zone = zone
        self._events = events
        self._metrics = metrics
        self._table = UpstreamTable(own=own.identity, report_ms=report_ms)
        self._judge = OutlierDetector()
        #: Whether the other replicas hold sums of this one that aren't empty.
        self._sums_sent = False
        self._configuration = None
        self._current = False
        self._core_ms = 0
        self._replicas = [own]
        #: Outboxes to the other replicas, by identity.
        self._links = {}
        #: What each subscribed forwarder has, by its outbox.
        self._forwarders = {}
        self._waiting = {}
        self._batch_id = 0
        self._beat_ms = 0
        #: Pushes between the last configurations, by their revisions.
        self._diffs = {}
        #: The last push of all upstreams, and when it was made.
        self._whole = None
        self._whole_ms = 0

    # Queries.

    def dump(self):
        """Return the state by name, for the dump."""
        return {
            "current": self._is_current(monotonic_ms()),
            "forwarders": [f.name for f in self._forwarders.values()],
            "links": [f"{identity:016x}" for identity in self._links],
            "upstreams": self._table.states(monotonic_ms()),
            "waiting": len(self._waiting),
        }

    def hints(self):
        """Return what the next start of this replica tells forwarders at first."""
        configuration = self._configuration
        states = self._table.states(monotonic_ms())
        return PacketHints(
            revision=configuration.revision if configuration else 0,
            routes=configuration.routes if configuration else [],
            states=[state for state in states if state.status != GONE],
        )

    def _is_current(self, now_ms):
        return self._current and now_ms - self._core_ms < CORE_SILENT_MS

    # The loop.

    async def run(self):
        """Take events for ever."""
        self._remember(self._hints.read())
        while True:
            wait_ms = max(self._beat_ms - monotonic_ms(), 0)
            event = await curio.ignore_after(wait_ms / 1000, self._events.get)
            if event is not None:
                await self._take(event)
            if monotonic_ms() >= self._beat_ms:
                await self._tick(monotonic_ms())

    def _remember(self, hints):
        """Begin with what was told before this start."""
        if hints is None:
            log.info("remembers nothing")
            return
        now_ms, home = monotonic_ms(), self._own.identity
        for state in hints.states:
            self._table.apply_state(_as_hint(state, home), now_ms)
        self._table.pop_unsent(self._table.states(now_ms))
        if hints.revision:
            self._configuration = PacketConfiguration(
                revision=hints.revision, routes=hints.routes, document=b""
            )
        log.info(
            "remembers routes and upstreams",
            revision=hints.revision,
            routes=len(hints.routes),
            upstreams=len(hints.states),
        )

    async def _tick(self, now_ms):
        self._beat_ms = now_ms + TICK_INTERVAL_MS
        beats = self._table.pop_heartbeats()
        if beats:
            await self._to_replicas(self._batch(beats=beats))
        current = self._is_current(now_ms)
        silent = self._table.expire(
            now_ms=now_ms, current=current, linked=self._links.keys()
        )
        if silent:
            await self._spread(silent)
        await self._judge_answers(now_ms)
        await self._release(now_ms)

    async def _judge_answers(self, now_ms):
        """Share what forwarders saw, and mark the upstreams that fail."""
        sums = self._judge.local_totals()
        if sums or self._sums_sent:
            self._sums_sent = bool(sums)
            counts = {name: (s.answered, s.unanswered) for name, s in sums.items()}
            message = AnswerCounts.of(sender=self._own.identity, counts=counts)
            await self._to_replicas(message)
        suspects = self._judge.suspects()
        services = self._table.peers_by_service(suspects)
        failing = self._judge.detect_failing(services, now_ms)
        changed = self._table.mark_failing(failing, suspects)
        for state in changed:
            total = self._judge.last_total(state.upstream_id)
            log.info(
                "judges an upstream by its answers",
                upstream=state.upstream_id,
                failing=state.failing,
                answered=total.answered,
                unanswered=total.unanswered,
            )
        if changed:
            await self._spread(changed)
            await self._to_replicas(self._batch(states=changed))

    # Events.

    @functools.singledispatchmethod
    async def _take(self, event):
        raise TypeError(event)

    @_take.register
    async def _(self, event: UpstreamReported):
        state, now_ms = event.state, monotonic_ms()
        changed = self._table.apply_state(state, now_ms)
        self._metrics.count("reports")
        if not changed:
            await event.reply.put(True)
            return
        await self._spread(changed)
        self._batch_id += 1
        await self._to_replicas(self._batch(states=changed, batch_id=self._batch_id))
        self._waiting[self._batch_id] = Waiting(
            reply=event.reply,
            missing=set(self._links),
            upstream_id=state.upstream_id,
            now_ms=now_ms,
        )
        await self._release(now_ms)

    @_take.register
    async def _(self, event: UpstreamStateRequested):
        await event.reply.put(self._table.get(event.upstream_id))

    @_take.register
    async def _(self, batch: DirectoryBatch):
        now_ms = monotonic_ms()
        changed = []
        for state in batch.states:
            changed += self._table.apply_state(state, now_ms)
        for beat in batch.beats:
            changed += self._table.apply_heartbeat(beat, batch.sender, now_ms)
        if changed:
            await self._spread(changed)
        outbox = self._links.get(batch.sender)
        if batch.batch_id and outbox is not None:
            ack = DirectoryAck(sender=self._own.identity, batch_id=batch.batch_id)
            await outbox.offer(ack)

    @_take.register
    async def _(self, ack: DirectoryAck):
        waiting = self._waiting.get(ack.batch_id)
        if waiting is not None:
            waiting.missing.discard(ack.sender)
            await self._release(monotonic_ms())

    @_take.register
    async def _(self, event: LinkUp):
        identity = event.state.replica.identity
        is_new = identity not in self._links
        self._links[identity] = event.outbox
        if is_new:
            states = self._table.states(monotonic_ms())
            await event.outbox.offer(self._batch(states=states))
            log.info("reaches a replica", replica=event.state.replica.name)
            for outbox in self._links.values():
                await outbox.offer(ReplicaNotice(replica=event.state.replica))

    @_take.register
    async def _(self, event: LinkDown):
        if self._links.get(event.identity) is event.outbox:
            del self._links[event.identity]
            log.warning("loses a replica", identity=f"{event.identity:016x}")
            for waiting in self._waiting.values():
                waiting.missing.discard(event.identity)
            await self._release(monotonic_ms())

    @_take.register
    async def _(self, event: ForwarderSubscribed):
        held = self._configuration if self._is_held(event.hello) else None
        self._forwarders[event.outbox] = Subscriber(
            name=event.hello.name, configuration=held
        )
        log.info("serves a forwarder", name=event.hello.name)
        await event.outbox.offer(self._state())
        if held is None:
            await self._push_routes(event.outbox)
        await event.outbox.offer(self._all_upstreams(monotonic_ms()))

    @_take.register
    async def _(self, message: AnswerCounts):
        sums = {
            one.upstream_id: AnswerTotal(
                answered=one.answered, unanswered=one.unanswered
            )
            for one in self._unmarked(message)
        }
        self._judge.set_replica_totals(message.sender, sums, monotonic_ms())

    def _unmarked(self, message):
        """Return the counts of upstreams that aren't marked as failing.

        What comes of a marked one was asked before.
        """
        states = [self._table.get(one.upstream_id) for one in message.counts]
        return [
            one
            for one, state in zip(message.counts, states, strict=True)
            if state is None or not state.failing
        ]

    def _take_answers(self, message, now_ms):
        counts = {
            one.upstream_id: (one.answered, one.unanswered)
            for one in self._unmarked(message)
        }
        self._judge.add_counts(counts, now_ms)

    @_take.register
    async def _(self, event: ForwarderMessageReceived):
        if event.outbox not in self._forwarders:
            return
        if isinstance(event.message, AnswerCounts):
            self._take_answers(event.message, monotonic_ms())
            return
        if isinstance(event.message, RoutesRequest):
            self._forwarders[event.outbox].configuration = None
            await self._push_routes(event.outbox)
        await event.outbox.offer(self._state())

    @_take.register
    async def _(self, event: ForwarderDisconnected):
        gone = self._forwarders.pop(event.outbox, None)
        if gone is not None:
            log.info("loses a forwarder", name=gone.name)

    @_take.register
    async def _(self, event: ReplicatedStateChanged):
        now_ms = monotonic_ms()
        was_current = self._is_current(now_ms)
        self._core_ms = now_ms
        self._current = event.current
        self._replicas = event.replicas
        if self._is_later(event.configuration):
            self._configuration = event.configuration
            self._diffs = {}
            for outbox in self._forwarders:
                await self._push_routes(outbox)
            await self._hints.mark_dirty()
        if was_current != event.current:
            for outbox in self._forwarders:
                await outbox.offer(self._state())

    def _is_later(self, configuration):
        """Tell whether to take routes: the log may still be behind a hint of it."""
        held = self._configuration
        return held is None or configuration.revision > held.revision

    # Messages out.

    def _batch(self, *, states=(), beats=(), batch_id=0):
        return DirectoryBatch(
            sender=self._own.identity,
            batch_id=batch_id,
            states=list(states),
            beats=list(beats),
        )

    def _state(self):
        return ControlState(
            zone=self._zone,
            current=self._is_current(monotonic_ms()),
            revision=self._configuration.revision if self._configuration else 0,
            replicas=self._replicas,
        )

    async def _to_replicas(self, message):
        for outbox in self._links.values():
            await outbox.offer(message)

    async def _spread(self, states):
        self._whole = None
        for state in states:
            if state.failing:
                self._judge.clear(state.upstream_id)
            log.info(
                "learns of an upstream",
                upstream=state.upstream_id,
                service=state.service,
                status=state.status,
                silent=state.silent,
                failing=state.failing,
                born_ms=state.born_ms,
                sequence=state.sequence,
                home=f"{state.home:016x}",
                forwarders=len(self._forwarders),
            )
        await self._hints.mark_dirty()
        untold = self._table.pop_unsent(states)
        if not untold:
            return
        push = EncodedMessage(message=UpstreamsPush(whole=False, states=untold))
        for outbox in self._forwarders:
            await outbox.offer(push)

    def _all_upstreams(self, now_ms):
        """Return a push of all upstreams; many forwarders ask in the same moment."""
        if self._whole is None or now_ms - self._whole_ms >= WHOLE_MS:
            push = UpstreamsPush(whole=True, states=self._table.states(now_ms))
            self._whole = EncodedMessage(message=push)
            self._whole_ms = now_ms
        return self._whole

    def _is_held(self, hello):
        """Tell whether a forwarder has the routes already, from another replica."""
        configuration = self._configuration
        return configuration is not None and hello.revision == configuration.revision

    async def _push_routes(self, outbox):
        configuration = self._configuration
        if configuration is None or not configuration.revision:
            return
        forwarder = self._forwarders[outbox]
        known, forwarder.configuration = forwarder.configuration, configuration
        await outbox.offer(self._routes_push(known))

    def _routes_push(self, known):
        """Return what leads from a configuration that was pushed to this one."""
        base = known.revision if known else 0
        if base not in self._diffs:
            push = diff_routes(known, self._configuration)
            self._diffs[base] = EncodedMessage(message=push)
        return self._diffs[base]

    # Confirmations.

    async def _release(self, now_ms):
        """Confirm the reports that all linked replicas hold, or waited enough for."""
        for batch_id, waiting in list(self._waiting.items()):
            late = now_ms - waiting.began_ms >= REPLICATE_MS
            if waiting.missing and not late:
                continue
            del self._waiting[batch_id]
            if waiting.missing:
                log.warning(
                    "confirms a report that some replicas didn't acknowledge",
                    upstream=waiting.upstream_id,
                    missing=len(waiting.missing),
                )
            self._metrics.record_us(
                "report_replication", (now_ms - waiting.began_ms) * 1000
            )
            await waiting.reply.put(True)


def _as_hint(state, home):
    """Return a state as it is remembered."""
    return state.replace(home=home, hint=True, silent=False, failing=False)
