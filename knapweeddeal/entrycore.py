"""knapweeddeal.entrycore: Decision logic of an entry, without I/O."""

from knapweeddeal.actions import Address, ToCaller, ToControl
from knapweeddeal.dispatch import methoddispatch
from knapweeddeal.entrycontext import EntryContext, Identity
from knapweeddeal.flowcounts import FlowCountReporter
from knapweeddeal.flowmigrator import FlowMigrator
from knapweeddeal.flowopener import FlowOpener
from knapweeddeal.handover import Candidate, HandoverReceiver, HandoverSender
from knapweeddeal.messages.caller import Push
from knapweeddeal.messages.peer import (
    HandOver,
    HandOverAck,
    HandOverOffer,
    HandOverRequest,
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
from knapweeddeal.owner import Owner
from knapweeddeal.requestrecovery import RequestRecovery
from knapweeddeal.router import Router
from knapweeddeal.successions import SuccessionTable

__all__ = ["Candidate", "EntryCore", "Identity"]


class EntryCore:
    """Turn messages and timer ticks into actions for one entry.

    `now_ms` comes from a monotonic clock. The handlers of messages return a list
    of actions; `wall_clock_ms` gives the timestamps in tickets and records.
    """

    def __init__(
        self,
        *,
        identity,
        sealer,
        limits,
        rng,
        wall_clock_ms,
        count,
        timers=lambda _name, _value_us: None,
    ):
        self.context = EntryContext(
            identity=identity,
            sealer=sealer,
            limits=limits,
            rng=rng,
            wall_clock_ms=wall_clock_ms,
            count=count,
            timers=timers,
        )
        self.identity = identity
        self.directory = self.context.directory
        self.refusals = self.context.refusals
        self.migrator = FlowMigrator(context=self.context)
        self.recovery = RequestRecovery(context=self.context, adopt_flow=self._adopt)
        self.owner = Owner(
            context=self.context,
            settle=self.recovery.recover_evicted,
            is_lost=self.migrator.is_lost,
        )
        self.migrator.owner = self.owner
        self.flow_opener = FlowOpener(context=self.context, owner=self.owner)
        self.successions = SuccessionTable(life_ms=limits.flow_idle_ms)
        self.handover_receiver = HandoverReceiver(
            context=self.context, owner=self.owner, successions=self.successions
        )
        self.handover_sender = HandoverSender(
            context=self.context,
            owner=self.owner,
            successions=self.successions,
            handover_receiver=self.handover_receiver,
            is_migrating=self.migrator.is_migrating,
        )
        self.router = Router(
            context=self.context,
            flow_opener=self.flow_opener,
            owner=self.owner,
            migrator=self.migrator,
            recovery=self.recovery,
            handover_sender=self.handover_sender,
        )

        self._flow_count_reporter = FlowCountReporter(name=identity.entry_id)

    def _adopt(self, ticket, caller, *, now_ms):
        return self.router.adopt(ticket, caller, now_ms=now_ms)

    # Queries

    @property
    def flows(self):
        """Return the flows that this entry owns."""
        return self.owner.flows

    @property
    def services(self):
        """Return the confirmed services by name."""
        return self.context.services

    # Configuration and directory

    def apply_configuration(self, configuration):
        """Apply a confirmed configuration."""
        self.context.apply_configuration(configuration)

    def apply_announce(self, announce, *, now_ms):
        """Apply an upstream's announcement and return dials for its stream."""
        self.directory.apply_announcement(announce, now_ms=now_ms)
        return self.directory.dials_for([announce], now_ms=now_ms)

    def set_zone_peers(self, addresses):
        """Set the addresses of the entries that may store refusal records."""
        self.context.refusal_replication.set_zone_peers(addresses)

    # Streams of upstreams

    def stream_up(self, key):
        """Record that the stream to an upstream is open."""
        self.migrator.stream_up(key)
        self.directory.stream_up(key)

    def stream_down(self, key, *, now_ms):
        """Settle the requests and opens in flight on a stream that broke."""
        self.context.ejection.record_failure(key, now_ms=now_ms)
        self.context.admission.remove_upstream(key)
        self.migrator.stream_down(key, now_ms=now_ms)
        self.directory.stream_down(key)
        return [
            *self.owner.stream_down(key),
            *self.flow_opener.stream_down(key, now_ms=now_ms),
        ]

    @methoddispatch
    def handle_unsent(self, message, key, *, now_ms):
        """Handle a message to an upstream that never left this process."""
        return []

    @handle_unsent.register
    def _(self, message: Work, key, *, now_ms):
        return self.owner.handle_unsent(message, key)

    @handle_unsent.register
    def _(self, message: FlowOpen, key, *, now_ms):
        return self._handle_flow_shed(message, key, now_ms)

    # Messages of callers and upstreams

    def from_caller(self, service, caller, data, *, now_ms):
        """Handle a datagram that was received on a service's address."""
        return self.router.from_caller(service, caller, data, now_ms=now_ms)

    @methoddispatch
    def from_upstream(self, message, key, *, now_ms):
        """Handle a message received on an upstream's stream."""
        return self.context.drop("unexpected")

    @from_upstream.register
    def _(self, message: FlowAccepted, key, *, now_ms):
        self.context.record_load(key, message, now_ms=now_ms)
        actions = self.migrator.handle_accepted(message, key, now_ms=now_ms)
        if actions is None:
            return self.flow_opener.handle_accepted(message, key, now_ms=now_ms)
        return actions

    @from_upstream.register
    def _(self, message: FlowShed, key, *, now_ms):
        self.context.record_load(key, message, now_ms=now_ms)
        self.context.balancer.record_shed(key, now_ms=now_ms)
        return self._handle_flow_shed(message, key, now_ms)

    def _handle_flow_shed(self, message, key, now_ms):
        actions = self.migrator.handle_shed(message, key, now_ms=now_ms)
        if actions is None:
            return self.flow_opener.handle_shed(message, key, now_ms=now_ms)
        return actions

    @from_upstream.register
    def _(self, message: WorkAnswer, key, *, now_ms):
        self.context.record_load(key, message, now_ms=now_ms)
        return [
            *self.owner.handle_answer(message, key, now_ms=now_ms),
            *self.recovery.handle_answer(message, key),
        ]

    @from_upstream.register
    def _(self, message: WorkShed, key, *, now_ms):
        self.context.record_load(key, message, now_ms=now_ms)
        return self.owner.handle_shed(message, key)

    @from_upstream.register
    def _(self, message: WorkCancelled, key, *, now_ms):
        return [
            *self.owner.handle_cancelled(message, key),
            *self.recovery.handle_cancelled(message, key),
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
        """Handle a message from another entry or a control replica."""
        return self.context.drop("unexpected")

    @from_peer.register
    def _(self, message: Relay, peer=None, *, now_ms):
        return self.router.handle_relay(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: RefusalAck, peer=None, *, now_ms):
        return self._handle_refusal_ack(message, by_control=False)

    @from_peer.register
    def _(self, message: RefusalBatch, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.context.refusal_replication.store(message, peer)

    @from_peer.register
    def _(self, message: HandOverRequest, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.handover_receiver.handle_request(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOver, peer=None, *, now_ms):
        if peer is None:
            return self.context.drop("unexpected")
        return self.handover_receiver.handle_batch(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: Succession, peer=None, *, now_ms):
        return self.handover_receiver.handle_succession(message, now_ms=now_ms)

    @from_peer.register
    def _(self, message: Successions, peer=None, *, now_ms):
        return self.handover_receiver.handle_successions(message, peer, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOverOffer, peer=None, *, now_ms):
        return self.handover_sender.handle_offer(message, now_ms=now_ms)

    @from_peer.register
    def _(self, message: HandOverAck, peer=None, *, now_ms):
        return self.handover_sender.handle_ack(message, now_ms=now_ms)

    @methoddispatch
    def from_control(self, message):
        """Handle a message from a control replica."""
        return self.context.drop("unexpected")

    @from_control.register
    def _(self, message: RefusalAck):
        return self._handle_refusal_ack(message, by_control=True)

    def _handle_refusal_ack(self, ack, *, by_control):
        released = self.context.refusal_replication.handle_ack(
            ack.batch, by_control=by_control
        )
        return [self.owner.release_refusal(refusal) for refusal in released]

    def peer_up(self, address):
        """Record that another entry answered on a new stream."""
        self.router.peer_up(address)

    def peer_down(self, address, *, now_ms):
        """Record that another entry couldn't be reached."""
        self.router.peer_down(address, now_ms=now_ms)
        return self.handover_sender.handle_undeliverable(address, now_ms=now_ms)

    @methoddispatch
    def handle_undeliverable(self, message, *, now_ms):
        """Handle a message that wasn't delivered to another entry."""
        return []

    @handle_undeliverable.register
    def _(self, message: Relay, *, now_ms):
        return self.recovery.handle_undeliverable(message, now_ms=now_ms)

    # Time

    def begin_stop(self, candidates, *, now_ms):
        """Begin a planned stop; `candidates` are other entries, preferred first."""
        self.flow_opener.clear()
        return self.handover_sender.begin(candidates, now_ms=now_ms)

    @property
    def stopped(self):
        """Return whether a planned stop is complete."""
        return self.handover_sender.stopped

    def tick(self, *, now_ms):
        """Expire old state and return the periodic actions."""
        self.flow_opener.expire(now_ms=now_ms)
        self.owner.expire(now_ms=now_ms)
        self.recovery.expire(now_ms=now_ms)
        self.successions.expire(now_ms=now_ms)
        self.context.balancer.sweep(now_ms=now_ms)
        return [
            *self.migrator.tick(now_ms=now_ms),
            *self.handover_sender.tick(now_ms=now_ms),
            *self.context.refusal_replication.tick(now_ms=now_ms),
            *self._report_flows(now_ms),
        ]

    def control_up(self):
        """Report all flow counts next: a stream to another control replica opened."""
        self._flow_count_reporter.report_in_full()

    def _report_flows(self, now_ms):
        report = self._flow_count_reporter.report(
            self.flows.counts(), self._zone_of, now_ms=now_ms
        )
        return [] if report is None else [ToControl(message=report)]

    def _zone_of(self, key):
        upstream = self.directory.get(key)
        return "" if upstream is None else upstream.announce.zone
