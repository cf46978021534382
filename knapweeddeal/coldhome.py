"""knapweeddeal.coldhome: What a control replica does for opening packets to cold ones.

It claims the homes of cold upstreams that report to it, answers the claims of other
replicas, and answers forwarders' requests for permits or passes them on to the home.
This module does no I/O: it returns the messages to send.
"""

from knapweeddeal.coldallowance import VALID_MS, ColdGrants, Grant
from knapweeddeal.messages.cold import (
    ColdAllowance,
    ColdAllowanceRelay,
    ColdAllowanceRelayAnswer,
)
from knapweeddeal.record import Record

__all__ = ["ColdHome"]

#: Time after which a request that was passed on is forgotten.
RELAY_RETENTION_MS = 1_000
#: `retry_ms` of a refusal by a replica that has no link to the home.
NO_HOME_RETRY_MS = 200


class Relay(Record):
    """Hold a request that was passed on to the home of an upstream."""

    __slots__ = ("outbox", "received_ms", "request_id", "upstream_id")


class ColdHome:
    """Decide on claims and requests; `links` holds outboxes of replicas by identity."""

    __slots__ = ("_grants", "_links", "_metrics", "_own_identity", "_relay_id")
    __slots__ += ("_relays", "_table", "services")

    def __init__(
        self, *, own_identity, table, links, metrics, bound, report_ms, started_ms
    ):
        self._own_identity = own_identity
        self._table = table
        self._links = links
        self._metrics = metrics
        self._grants = ColdGrants(
            bound=bound, report_ms=report_ms, started_ms=started_ms
        )
        #: Terms of services by name.
        self.services = {}
        #: Requests that were passed on, by id; ids of an earlier process of this
        #: replica aren't used again.
        self._relays = {}
        self._relay_id = started_ms << 20

    # Queries.

    def dump(self, now_ms):
        """Return allowance and use of each cold upstream for the dump."""
        ids = self._table.cold_ids(now_ms)
        return self._grants.dump({one: self._rate_milli(one) for one in ids}, now_ms)

    def is_home(self, upstream_id):
        """Return whether the last report of an upstream was received here."""
        state = self._table.get(upstream_id)
        return state is not None and state.home == self._own_identity

    def _rate_milli(self, upstream_id):
        """Return the rate that an upstream's service states for cold ones, or 0."""
        state = self._table.get(upstream_id)
        terms = self.services.get(state.service) if state is not None else None
        return terms.cold_per_s_milli if terms is not None else 0

    # Claims.

    def record_changes(self, states):
        """Note states that another replica has replicated: it may be the home now."""
        for state in states:
            if state.home != self._own_identity:
                self._grants.end_tenure(state.upstream_id)

    def record_report(self, state, *, members, now_ms):
        """Record a report received here; return whether to claim the home.

        `members` holds the identities of all replicas, or is None without a leader, as
        this replica may not know all of them then.
        """
        upstream_id = state.upstream_id
        applied = self._table.get(upstream_id)
        if applied is None or applied.version_key != state.version_key:
            return False
        self._grants.record_report(state, now_ms)
        # An upstream may become cold in a tenure that began while it was warm.
        is_waiting = self._grants.is_unconfirmed(upstream_id, now_ms)
        is_cold = state.cold_ms > 0
        return is_waiting and is_cold and self._is_claimable(upstream_id, members)

    def unconfirmed(self, members, now_ms):
        """Return the ids of cold upstreams whose home is to be claimed again."""
        unconfirmed = self._grants.unconfirmed(now_ms)
        if not unconfirmed:
            return []
        cold = set(self._table.cold_ids(now_ms))
        return [
            upstream_id
            for upstream_id in unconfirmed
            if upstream_id in cold and self._is_claimable(upstream_id, members)
        ]

    def _is_claimable(self, upstream_id, members):
        if members is None or members - self._links.keys() - {self._own_identity}:
            return False
        return self.is_home(upstream_id) and self._rate_milli(upstream_id) > 0

    def start_claim(self, batch_id, upstream_ids, now_ms):
        """Claim homes with a batch that is sent to all linked replicas."""
        self._grants.start_claim(batch_id, upstream_ids, self._links.keys(), now_ms)

    def acknowledge(self, ack, now_ms):
        """Handle a replica's acknowledgement of a batch."""
        self._grants.acknowledge(ack.batch_id, ack.sender, now_ms)

    def drop_replica(self, identity):
        """Drop the claims that a disconnected replica hasn't acknowledged."""
        self._grants.drop_replica(identity)

    def answer_claims(self, states, now_ms):
        """Return the notices to send before a batch with states is acknowledged."""
        notices = [
            self._grants.answer_claim(
                state.upstream_id,
                is_home=self.is_home(state.upstream_id),
                now_ms=now_ms,
            )
            for state in states
            if self._rate_milli(state.upstream_id) > 0
        ]
        return [notice for notice in notices if notice is not None]

    def apply_notice(self, notice, now_ms):
        """Count the grants of an earlier home."""
        self._grants.apply_notice(notice, now_ms)

    # Requests.

    def answer_request(self, request, outbox, now_ms):
        """Return the message for a forwarder's request, and the outbox for it."""
        self._metrics.count("cold_permits_requested")
        state = self._table.get(request.upstream_id)
        if state is None or state.home == self._own_identity:
            grant = self._grant(request.upstream_id, request.count, now_ms)
            return _allowance(request, grant), outbox
        link = self._links.get(state.home)
        if link is None:
            self._metrics.count("cold_permits_refused")
            grant = Grant(count=0, retry_ms=NO_HOME_RETRY_MS)
            return _allowance(request, grant), outbox
        self._relay_id += 1
        self._relays[self._relay_id] = Relay(
            outbox=outbox,
            received_ms=now_ms,
            request_id=request.request_id,
            upstream_id=request.upstream_id,
        )
        self._metrics.count("cold_requests_relayed")
        relay = ColdAllowanceRelay(
            sender=self._own_identity,
            relay_id=self._relay_id,
            upstream_id=request.upstream_id,
            count=request.count,
        )
        return relay, link

    def answer_relay(self, relay, now_ms):
        """Return the message for a request passed on, and the outbox or None."""
        grant = self._grant(relay.upstream_id, relay.count, now_ms)
        answer = ColdAllowanceRelayAnswer(
            relay_id=relay.relay_id,
            upstream_id=relay.upstream_id,
            count=grant.count,
            valid_ms=VALID_MS,
            retry_ms=grant.retry_ms,
        )
        return answer, self._links.get(relay.sender)

    def pass_answer_back(self, answer):
        """Return the message for the forwarder that requested, and its outbox."""
        relay = self._relays.pop(answer.relay_id, None)
        if relay is None:
            return None, None
        return _allowance(relay, answer), relay.outbox

    def _grant(self, upstream_id, count, now_ms):
        grant = self._grants.grant(
            upstream_id,
            count,
            self._rate_milli(upstream_id),
            is_home=self.is_home(upstream_id),
            now_ms=now_ms,
        )
        self._metrics.count("cold_permits_granted", grant.count)
        if not grant.count:
            self._metrics.count("cold_permits_refused")
        return grant

    def expire(self, now_ms):
        """Remove what isn't needed any more."""
        self._grants.expire(now_ms)
        for relay_id, relay in list(self._relays.items()):
            if now_ms - relay.received_ms < RELAY_RETENTION_MS:
                return
            del self._relays[relay_id]


def _allowance(request, grant):
    """Return the answer to a forwarder's request."""
    return ColdAllowance(
        request_id=request.request_id,
        upstream_id=request.upstream_id,
        count=grant.count,
        valid_ms=VALID_MS,
        retry_ms=grant.retry_ms,
    )
