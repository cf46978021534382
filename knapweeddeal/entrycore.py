"""knapweeddeal.entrycore: The decisions of an entry, message in and actions out."""

from knapweeddeal.actions import Address, ToCaller, ToControl
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import EntryContext, Identity
from knapweeddeal.flowcounts import FlowCountReporter
from knapweeddeal.handover import Candidate, HandingOver, TakingOver
from knapweeddeal.messages.caller import Push
from knapweeddeal.messages.peer import (
    HandOver,
    HandOverAck,
    HandOverAsk,
    HandOverOffer,
    RefusalAck,
    RefusalBatch,
    Relay,
    Succession,
    Successions,
)
from knapweeddeal.messages.upstream import (
    FlowAccepted,
    FlowOpen,
    FlowShed,
    UpstreamPush,
    Work,
    WorkAnswer,
    WorkCancelled,
    WorkShed,
)
from knapweeddeal.moves import Moves
from knapweeddeal.opening import Opening
from knapweeddeal.owner import Owner
from knapweeddeal.resolution import Resolution
from knapweeddeal.router import Router
from knapweeddeal.successions import SuccessionTable

__all__ = ["Candidate", "EntryCore", "Identity"]


class EntryCore:
    """Decide for one entry.

    Every method takes `now_ms` from a clock that never jumps and returns a list
    of actions; `wall_clock_ms` stands in tickets and records.
    """

    def __init__(
        self,
        *,
        identity,
        sealer,
        limits,
        rng,
        wall_clock_ms,
        counters,
        timers=lambda _name, _value_us: None,
    ):
        self.context = EntryContext(
            identity=identity,
            sealer=sealer,
            limits=limits,
            rng=rng,
            wall_clock_ms=wall_clock_ms,
            counters=counters,
            timers=timers,
        )
        self.identity = identity
        self.directory = self.context.directory
        self.refusals = self.context.refusals
        self.moves = Moves(context=self.context)
        self.resolution = Resolution(context=self.context, adopt=self._adopt)
        self.owner = Owner(
            context=self.context,
            settle=self.resolution.forgotten,
            lost=self.moves.lost,
        )
        self.moves.owner = self.owner
        self.opening = Opening(context=self.context, owner=self.owner)
        self.successions = SuccessionTable(life_ms=limits.flow_idle_ms)
        self.taking = TakingOver(
            context=self.context, owner=self.owner, successions=self.successions
        )
        self.handing = HandingOver(
            context=self.context,
            owner=self.owner,
            successions=self.successions,
            taking=self.taking,
            busy=self.moves.pending,
        )
        self.router = Router(
            context=self.context,
            opening=self.opening,
            owner=self.owner,
            moves=self.moves,
            resolution=self.resolution,
            handing=self.handing,
        )

        self._flow_reports = FlowCountReporter(name=identity.entry_id)

    def _adopt(self, ticket, caller, *, now_ms):
        return self.router.adopt(ticket, caller, now_ms=now_ms)

    # Queries

    @property
    def flows(self):
        """Return the flows that are owned here."""
        return self.owner.flows

    @property
    def services(self):
        """Return the confirmed services by name."""
        return self.context.services

    # Configuration and directory

    def apply_configuration(self, configuration):
        """Put a confirmed configuration in force."""
        self.context.apply_configuration(configuration)

    def apply_announce(self, announce, *, now_ms):
        """Take an upstream's announcement and see that its stream stands."""
        self.directory.apply(announce, now_ms=now_ms)
        return self.directory.dials_of([announce], now_ms=now_ms)

    def set_neighbours(self, addresses):
        """Take the addresses of the entries that may hold records of refusals."""
        self.context.holding.set_neighbours(addresses)

    # Streams of upstreams

    def stream_up(self, key):
        """Note that the stream to an upstream stands."""
        self.moves.stream_up(key)
        self.directory.stream_up(key)

    def stream_down(self, key, *, now_ms):
        """Settle what was under way on a stream that broke."""
        self.context.ejection.fail(key, now_ms=now_ms)
        self.context.admission.forget(key)
        self.moves.stream_down(key, now_ms=now_ms)
        self.directory.stream_down(key)
        return [
            *self.owner.stream_down(key),
            *self.opening.stream_down(key, now_ms=now_ms),
        ]

    @methoddispatch
    def unsent(self, message, key, *, now_ms):
        """Decide on a message to an upstream that never left this process."""
        return []

    @unsent.register
    def _(self, message: Work, key, *, now_ms):
        return self.owner.unsent(message, key)

    @unsent.register
    def _(self, message: FlowOpen, key, *, now_ms):
        return self._shed(message, key, now_ms)

    # Messages of callers and upstreams

    def from_caller(self, service, caller, data, *, now_ms):
        """Decide on a datagram that came to a service's address."""
        return self.router.from_caller(service, caller, data, now_ms=now_ms)

    @methoddispatch
    def from_upstream(self, message, key, *, now_ms):
        """Decide on a message that came on an upstream's stream."""
        return self.context.drop("unexpected")

    @from_upstream.register
    def _(self, message: FlowAccepted, key, *, now_ms):
        self.context.note_load(key, message, now_ms=now_ms)
        actions = self.moves.accepted(message, key, now_ms=now_ms)
        if actions is None:
            return self.opening.accepted(message, key, now_ms=now_ms)
        return actions

    @from_upstream.register
    def _(self, message: FlowShed, key, *, now_ms):
        self.context.note_load(key, message, now_ms=now_ms)
        self.context.balancer.shed(key, now_ms=now_ms)
        return self._shed(message, key, now_ms)

    def _shed(self, message, key, now_ms):
        actions = self.moves.shed(message, key, now_ms=now_ms)
        if actions is None:
            return self.opening.shed(message, key, now_ms=now_ms)
        return actions

    @from_upstream.register
    def _(self, message: WorkAnswer, key, *, now_ms):
        self.context.note_load(key, message, now_ms=now_ms)
        return [
            *self.owner.answered(message, key, now_ms=now_ms),
            *self.resolution.answered(message, key),
        ]

    @from_upstream.register
    def _(self, message: WorkShed, key, *, now_ms):
        self.context.note_load(key, message, now_ms=now_ms)
        return self.owner.shed(message, key)

    @from_upstream.register
    def _(self, message: WorkCancelled, key, *, now_ms):
        return [
            *self.owner.cancelled(message, key),
            *self.resolution.cancelled(message, key),
        ]

    @from_upstream.register
    def _(self, message: UpstreamPush, key, *, now_ms):
        push = Push(
            service=key.service,
            flow_id=message.flow_id,
            sequence=message.sequence,
            body=message.body,
        )
        caller = Address(host=message.caller_host, port=message.caller_port)
        return [ToCaller(service=key.service, caller=caller, message=push)]

    # Messages of peers and replicas

    @methoddispatch
    def from_peer(self, message, peer=None, *, now_ms):
        """Decide on a message of another entry or a control replica."""
        return self.context.drop("unexpected")

    @from_peer.register
    def _(self, message: Relay, peer=None, *, now_ms):
        return self.router.relayed(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: RefusalAck, peer=None, *, now_ms):
        return self._records_held(message, by_control=False)

    @from_peer.register
    def _(self, message: RefusalBatch, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.context.holding.hold(message, peer)

    @from_peer.register
    def _(self, message: HandOverAsk, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.taking.asked(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOver, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.taking.take(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: Succession, peer=None, *, now_ms):
        return self.taking.told(message, now_ms=now_ms)

    @from_peer.register
    def _(self, message: Successions, peer=None, *, now_ms):
        return self.taking.told_all(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOverOffer, peer=None, *, now_ms):
        return self.handing.offered(message, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOverAck, peer=None, *, now_ms):
        return self.handing.acknowledged(message, now_ms=now_ms)

    @methoddispatch
    def from_control(self, message):
        """Decide on a message of a control replica."""
        return self.context.drop("unexpected")

    @from_control.register
    def _(self, message: RefusalAck):
        return self._records_held(message, by_control=True)

    def _records_held(self, ack, *, by_control):
        released = self.context.holding.acknowledged(ack.batch, by_control=by_control)
        return [self.owner.recorded(refusal) for refusal in released]

    def peer_up(self, address):
        """Note that another entry answered on a new stream."""
        self.router.peer_up(address)

    def peer_down(self, address, *, now_ms):
        """Note that another entry couldn't be reached."""
        self.router.peer_down(address, now_ms=now_ms)
        return self.handing.undeliverable(address, now_ms=now_ms)

    @methoddispatch
    def undeliverable(self, message, *, now_ms):
        """Decide on a message that didn't reach another entry."""
        return []

    @undeliverable.register
    def _(self, message: Relay, *, now_ms):
        return self.resolution.undeliverable(message, now_ms=now_ms)

    # Time

    def begin_stop(self, candidates, *, now_ms):
        """Begin a planned stop; `candidates` are other entries, the best first."""
        self.opening.clear()
        return self.handing.begin(candidates, now_ms=now_ms)

    @property
    def stopped(self):
        """Tell whether a planned stop is done."""
        return self.handing.stopped

    def tick(self, *, now_ms):
        """Do what time alone asks for."""
        self.opening.expire(now_ms=now_ms)
        self.owner.expire(now_ms=now_ms)
        self.resolution.expire(now_ms=now_ms)
        self.successions.expire(now_ms=now_ms)
        self.context.balancer.sweep(now_ms=now_ms)
        return [
            *self.moves.tick(now_ms=now_ms),
            *self.handing.tick(now_ms=now_ms),
            *self.context.holding.tick(now_ms=now_ms),
            *self._report_flows(now_ms),
        ]

    def control_up(self):
        """Note that another control replica listens from now on."""
        self._flow_reports.start_over()

    def _report_flows(self, now_ms):
        report = self._flow_reports.report(
            self.flows.counts(), self._zone_of, now_ms=now_ms
        )
        return [] if report is None else [ToControl(message=report)]

    def _zone_of(self, key):
        upstream = self.directory.get(key)
        return "" if upstream is None else upstream.announce.zone
