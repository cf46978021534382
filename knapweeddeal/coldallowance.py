"""knapweeddeal.coldallowance: Grants of opening packets to cold upstreams, at the home.

A replica that an upstream reports to is its home, and alone grants permits for opening
packets to it while it is cold. A forwarder uses a permit within `VALID_MS` of the time
when it sent its request, and the request was sent before the grant. So the packets that
arrive in any second were all granted within a window of one second, `VALID_MS` and the
time that a packet takes: grants are limited in any such window.

Two replicas may both take themselves for the home. A tenure, the time in which a
replica is the home without interruption, ends two report intervals after the last
report, or when another replica replicates a later report. A new tenure grants only
after all other replicas have acknowledged it, or after the time in which an earlier
tenure elsewhere has certainly ended and its permits have expired.

This module does no I/O; callers pass the time.
"""

from collections import deque

from knapweeddeal.messages.cold import ColdGrantsNotice
from knapweeddeal.messages.packets import GONE
from knapweeddeal.record import Record

__all__ = [
    "GRANT_WINDOW_MS",
    "TENURE_REPORTS",
    "VALID_MS",
    "ColdGrants",
    "Grant",
]

#: Validity of a permit: callers retransmit a SYN after 200 ms, so no SYN waits longer.
VALID_MS = 200
#: Longest time of a packet between the forwarder's check and the upstream: a forwarder
#: handles up to 64 packets between two readings of its clock, and zones are 1.4 ms
#: apart.
TRANSIT_MS = 50
#: Window in which grants are limited; all packets that arrive in one second were
#: granted in it.
GRANT_WINDOW_MS = 1_000 + VALID_MS + TRANSIT_MS
#: Report intervals after the last report in which a home still grants.
TENURE_REPORTS = 2
#: Time after which an upstream without reports or grants is removed: longer than the
#: window and any tenure.
RETENTION_MS = 60_000
#: `retry_ms` of refusals by a replica that isn't the home: the directory of replicas
#: agrees on a new home within some round trips.
NOT_HOME_RETRY_MS = 100
#: Claims that are kept; the oldest ones were repeated long ago.
MAX_CLAIMS = 1_000


class Grant(Record):
    """Hold a number of permits; after 0, the time until one may be available."""

    __slots__ = ("count", "retry_ms")


class Claim(Record):
    """Hold the tenures that other replicas are to acknowledge.

    `missing` holds the identities of replicas that haven't; `reports` the upstream,
    start and sequence of reports.
    """

    __slots__ = ("missing", "reports")


class Tenure(Record):
    """Hold consecutive reports of one start of an upstream to this replica."""

    __slots__ = (
        "born_ms",
        "first_sequence",
        "grants_from_ms",
        "is_confirmed",
        "last_sequence",
        "reported_ms",
    )


class ColdUpstream:
    """Hold the grants for one upstream, and this replica's tenure as its home."""

    __slots__ = ("blocked_until_ms", "grants", "refused", "tenure", "used_ms")

    def __init__(self, *, now_ms):
        self.tenure = None
        #: Time and count of grants in the window, the oldest first.
        self.grants = deque()
        #: Time before which an earlier home may still grant or its permits be used.
        self.blocked_until_ms = now_ms
        self.refused = 0
        self.used_ms = now_ms

    def count_in_window(self, now_ms):
        """Return the permits granted in the window."""
        while self.grants and now_ms - self.grants[0][0] > GRANT_WINDOW_MS:
            self.grants.popleft()
        return sum(count for _, count in self.grants)


class ColdGrants:
    """Grant permits for cold upstreams whose home this replica is."""

    __slots__ = ("_bound", "_claims", "_started_ms", "_tenure_ms", "_upstreams")

    def __init__(self, *, bound, report_ms, started_ms):
        self._bound = bound
        self._tenure_ms = report_ms * TENURE_REPORTS
        #: Start of this process: permits granted before may still be in use.
        self._started_ms = started_ms
        self._upstreams = {}
        #: Claims by the batch in which their reports were replicated.
        self._claims = {}

    # Reports.

    def record_report(self, state, now_ms):
        """Record a report received directly; return whether a new tenure begins.

        A gap in the sequence means that another replica may have received a report.
        """
        upstream = self._upstream(state.upstream_id, now_ms)
        tenure = upstream.tenure
        if state.status == GONE:
            upstream.tenure = None
            return False
        is_alive = tenure is not None and self._is_alive(tenure, now_ms)
        if is_alive and tenure.born_ms == state.born_ms:
            if state.sequence <= tenure.last_sequence:
                return False
            if state.sequence == tenure.last_sequence + 1:
                tenure.last_sequence = state.sequence
                tenure.reported_ms = now_ms
                return False
        upstream.tenure = Tenure(
            born_ms=state.born_ms,
            first_sequence=state.sequence,
            last_sequence=state.sequence,
            reported_ms=now_ms,
            grants_from_ms=now_ms + self._tenure_ms + GRANT_WINDOW_MS,
            is_confirmed=False,
        )
        return True

    def end_tenure(self, upstream_id):
        """End the tenure, as another replica has become the home.

        It doesn't resume: replicas that hold the same report may each name another
        home, so that the directory here may name this replica again.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None:
            upstream.tenure = None

    def _is_alive(self, tenure, now_ms):
        return now_ms - tenure.reported_ms < self._tenure_ms

    def unconfirmed(self, now_ms):
        """Return the ids of upstreams whose tenure still waits to grant."""
        return [one for one in self._upstreams if self.is_unconfirmed(one, now_ms)]

    def is_unconfirmed(self, upstream_id, now_ms):
        """Return whether this replica is the home and waits to grant."""
        upstream = self._upstreams.get(upstream_id)
        tenure = upstream.tenure if upstream is not None else None
        return (
            tenure is not None
            and not tenure.is_confirmed
            and self._is_alive(tenure, now_ms)
            and now_ms < tenure.grants_from_ms
        )

    # Claims.

    def start_claim(self, batch_id, upstream_ids, replicas, now_ms):
        """Claim tenures; `replicas` holds the identities that must acknowledge."""
        reports = []
        for upstream_id in upstream_ids:
            tenure = self._upstreams[upstream_id].tenure
            reports.append((upstream_id, tenure.born_ms, tenure.last_sequence))
        self._claims[batch_id] = Claim(missing=set(replicas), reports=reports)
        while len(self._claims) > MAX_CLAIMS:
            del self._claims[next(iter(self._claims))]
        self._confirm_if_complete(batch_id, now_ms)

    def acknowledge(self, batch_id, sender, now_ms):
        """Record that a replica has applied a batch: it no longer grants."""
        claim = self._claims.get(batch_id)
        if claim is not None:
            claim.missing.discard(sender)
            self._confirm_if_complete(batch_id, now_ms)

    def _confirm_if_complete(self, batch_id, now_ms):
        if self._claims[batch_id].missing:
            return
        for upstream_id, born_ms, sequence in self._claims.pop(batch_id).reports:
            upstream = self._upstreams.get(upstream_id)
            tenure = upstream.tenure if upstream is not None else None
            if tenure is None or tenure.born_ms != born_ms or tenure.is_confirmed:
                continue
            if sequence >= tenure.first_sequence:
                tenure.is_confirmed = True
                tenure.grants_from_ms = min(tenure.grants_from_ms, now_ms)

    def drop_replica(self, identity):
        """Drop the claims that a disconnected replica hasn't acknowledged."""
        self._claims = {
            batch_id: claim
            for batch_id, claim in self._claims.items()
            if identity not in claim.missing
        }

    def answer_claim(self, upstream_id, *, is_home, now_ms):
        """Return the notice to a replica that becomes the home, or None.

        `is_home`: whether this replica has a later report and remains the home.
        """
        upstream = self._upstreams.get(upstream_id)
        wait_ms = max(self._started_ms + GRANT_WINDOW_MS - now_ms, 0)
        count = 0
        if upstream is not None:
            count = upstream.count_in_window(now_ms)
            wait_ms = max(wait_ms, upstream.blocked_until_ms - now_ms)
            tenure = upstream.tenure
            if is_home and tenure is not None and self._is_alive(tenure, now_ms):
                left_ms = tenure.reported_ms + self._tenure_ms - now_ms
                wait_ms = max(wait_ms, left_ms + GRANT_WINDOW_MS)
        if not count and not wait_ms:
            return None
        return ColdGrantsNotice(upstream_id=upstream_id, count=count, wait_ms=wait_ms)

    def apply_notice(self, notice, now_ms):
        """Count the permits of an earlier home, and wait as it says."""
        upstream = self._upstream(notice.upstream_id, now_ms)
        if notice.count:
            upstream.grants.append((now_ms, notice.count))
        until_ms = now_ms + notice.wait_ms
        upstream.blocked_until_ms = max(upstream.blocked_until_ms, until_ms)

    # Grants.

    def grant(self, upstream_id, count, cold_per_s_milli, *, is_home, now_ms):
        """Return the permits granted of `count` requested ones."""
        upstream = self._upstream(upstream_id, now_ms)
        tenure = upstream.tenure
        if not is_home or tenure is None or not self._is_alive(tenure, now_ms):
            return self._refuse(upstream, NOT_HOME_RETRY_MS)
        start_ms = max(
            tenure.grants_from_ms,
            upstream.blocked_until_ms,
            self._started_ms + GRANT_WINDOW_MS,
        )
        if now_ms < start_ms:
            return self._refuse(upstream, min(start_ms - now_ms, NOT_HOME_RETRY_MS))
        used = upstream.count_in_window(now_ms)
        granted = min(count, max(self._bound.count(cold_per_s_milli) - used, 0))
        if not granted:
            oldest_ms = upstream.grants[0][0] if upstream.grants else now_ms
            return self._refuse(upstream, oldest_ms + GRANT_WINDOW_MS + 1 - now_ms)
        upstream.grants.append((now_ms, granted))
        return Grant(count=granted, retry_ms=0)

    def _refuse(self, upstream, retry_ms):
        upstream.refused += 1
        return Grant(count=0, retry_ms=retry_ms)

    def _upstream(self, upstream_id, now_ms):
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            upstream = self._upstreams[upstream_id] = ColdUpstream(now_ms=now_ms)
        upstream.used_ms = now_ms
        return upstream

    def expire(self, now_ms):
        """Remove upstreams without reports or grants."""
        for upstream_id, upstream in list(self._upstreams.items()):
            if now_ms - upstream.used_ms >= RETENTION_MS:
                del self._upstreams[upstream_id]

    def dump(self, rates, now_ms):
        """Return allowance and use of upstreams for the dump.

        `rates` holds the stated rates of cold upstreams by id, in thousandths.
        """
        return [
            self._dump_upstream(upstream_id, rate, now_ms)
            for upstream_id, rate in rates.items()
            if upstream_id in self._upstreams
        ]

    def _dump_upstream(self, upstream_id, rate, now_ms):
        upstream = self._upstreams[upstream_id]
        tenure = upstream.tenure
        return {
            "upstream": upstream_id,
            "bound": self._bound.count(rate),
            "granted": upstream.count_in_window(now_ms),
            "refused": upstream.refused,
            "home": tenure is not None and self._is_alive(tenure, now_ms),
            "confirmed": tenure is not None and tenure.is_confirmed,
            "grants_from_ms": tenure.grants_from_ms if tenure is not None else None,
            "blocked_until_ms": upstream.blocked_until_ms,
        }
