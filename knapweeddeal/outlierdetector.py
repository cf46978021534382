"""knapweeddeal.outlierdetector: Outlier detection by the counts of all forwarders.

One forwarder of a hundred sends an upstream a request only every few seconds; the
totals of all show within a second that it accepts flows but doesn't answer.
"""

from collections import deque

from knapweeddeal.ejection import BASE_EJECTION_MS, EJECTION_RESET_MS, MAX_EJECTION_MS
from knapweeddeal.record import Record

__all__ = ["OutlierDetector", "AnswerTotal"]

#: Sliding window over which requests are summed.
WINDOW_MS = 2_000
#: Maximum age of another replica's totals, which it sends twice a second.
REPLICA_TOTALS_LIFE_MS = 1_500
#: Minimum number and share of unanswered requests of a failing upstream.
MIN_UNANSWERED = 3
FAILING_SHARE = 0.3
#: Minimum number, at the same share, for an upstream that was ejected before.
MIN_UNANSWERED_AGAIN = 1
#: Minimum ratio of an upstream's share to the share of the rest of its service: all
#: upstreams of an overloaded service answer late.
SERVICE_SHARE_FACTOR = 3.0
#: Largest share of a service's upstreams that are ejected at once.
MAX_EJECTED_SHARE = 0.25


class AnswerTotal(Record):
    """Hold the answered and unanswered requests at one upstream."""

    __slots__ = ("answered", "unanswered")

    @property
    def share(self):
        """Return the share of requests without an answer."""
        return self.unanswered / max(self.answered + self.unanswered, 1)


NO_REQUESTS = AnswerTotal(answered=0, unanswered=0)


class Ejection(Record):
    """Hold an ejection's end and cause, and the number of earlier ejections."""

    __slots__ = ("repeat_count", "total", "until_ms")


class OutlierDetector:
    """Sum the counts of forwarders, and detect failing upstreams."""

    __slots__ = ("_samples", "_replica_totals", "_ejections")

    def __init__(self):
        #: (time, answered, unanswered) of this replica's forwarders, by upstream.
        self._samples = {}
        #: Other replicas' totals with the time of their receipt, by replica.
        self._replica_totals = {}
        self._ejections = {}

    # Commands.

    def add_counts(self, counts, now_ms):
        """Add one forwarder's counts, (answered, unanswered) by upstream."""
        for upstream_id, (answered, unanswered) in counts.items():
            samples = self._samples.setdefault(upstream_id, deque())
            samples.append((now_ms, answered, unanswered))

    def set_replica_totals(self, replica, totals, now_ms):
        """Set another replica's totals of upstreams with unanswered requests."""
        self._replica_totals[replica] = (now_ms, totals)

    def clear(self, upstream_id):
        """Discard the counts of an upstream from before it was marked as failing."""
        self._samples.pop(upstream_id, None)
        for _, totals in self._replica_totals.values():
            totals.pop(upstream_id, None)

    def forget(self, upstream_id):
        """Discard the counts and ejections of an upstream's earlier process."""
        self.clear(upstream_id)
        self._ejections.pop(upstream_id, None)

    def detect_failing(self, services, now_ms):
        """Return the failing upstreams; `services` holds ready ones by service."""
        self._discard_expired(now_ms)
        failing = set()
        for upstream_ids in services.values():
            failing |= self._detect_in_service(upstream_ids, now_ms)
        return failing

    # Queries.

    def suspects(self):
        """Return the few upstreams that may be ejected, or whose ejection may end."""
        found = set(self._ejections) | set(self.local_totals())
        for _, totals in self._replica_totals.values():
            found |= set(totals)
        return found

    def last_total(self, upstream_id):
        """Return the total that led to the last ejection of an upstream."""
        ejection = self._ejections.get(upstream_id)
        return ejection.total if ejection else NO_REQUESTS

    def local_totals(self):
        """Return this replica's totals of upstreams with unanswered requests."""
        local = {
            upstream_id: self._local_total(upstream_id) for upstream_id in self._samples
        }
        return {name: total for name, total in local.items() if total.unanswered}

    def total(self, upstream_id):
        """Return the total of all replicas for one upstream."""
        others = [
            totals.get(upstream_id, NO_REQUESTS)
            for _, totals in self._replica_totals.values()
        ]
        return _add([self._local_total(upstream_id), *others])

    def _local_total(self, upstream_id):
        samples = self._samples.get(upstream_id, ())
        return AnswerTotal(
            answered=sum(entry[1] for entry in samples),
            unanswered=sum(entry[2] for entry in samples),
        )

    # One service.

    def _detect_in_service(self, upstream_ids, now_ms):
        totals = {upstream_id: self.total(upstream_id) for upstream_id in upstream_ids}
        max_ejected = int(MAX_EJECTED_SHARE * len(upstream_ids))
        ejected = [
            upstream_id
            for upstream_id in upstream_ids
            if self._is_ejected(upstream_id, now_ms)
        ]
        by_unanswered = sorted(
            totals, key=lambda upstream_id: totals[upstream_id].unanswered, reverse=True
        )
        for upstream_id in by_unanswered:
            if len(ejected) >= max_ejected or not totals[upstream_id].unanswered:
                break
            others = _add(
                total for other, total in totals.items() if other != upstream_id
            )
            if upstream_id not in ejected and self._is_outlier(
                upstream_id, totals[upstream_id], others
            ):
                self._eject(upstream_id, totals[upstream_id], now_ms)
                ejected.append(upstream_id)
        return set(ejected)

    def _is_outlier(self, upstream_id, total, others):
        threshold = (
            MIN_UNANSWERED_AGAIN if upstream_id in self._ejections else MIN_UNANSWERED
        )
        if total.unanswered < threshold:
            return False
        return total.share >= max(FAILING_SHARE, SERVICE_SHARE_FACTOR * others.share)

    def _is_ejected(self, upstream_id, now_ms):
        ejection = self._ejections.get(upstream_id)
        return ejection is not None and now_ms < ejection.until_ms

    def _eject(self, upstream_id, total, now_ms):
        """Eject an upstream and discard its counts."""
        previous = self._ejections.get(upstream_id)
        repeat_count = previous.repeat_count + 1 if previous else 0
        until_ms = now_ms + min(BASE_EJECTION_MS << repeat_count, MAX_EJECTION_MS)
        self._ejections[upstream_id] = Ejection(
            repeat_count=repeat_count, total=total, until_ms=until_ms
        )
        self.clear(upstream_id)

    def _discard_expired(self, now_ms):
        for replica, (received_ms, _) in list(self._replica_totals.items()):
            if now_ms - received_ms >= REPLICA_TOTALS_LIFE_MS:
                del self._replica_totals[replica]
        for upstream_id, samples in list(self._samples.items()):
            while samples and now_ms - samples[0][0] >= WINDOW_MS:
                samples.popleft()
            if not samples:
                del self._samples[upstream_id]
        for upstream_id, ejection in list(self._ejections.items()):
            if now_ms - ejection.until_ms >= EJECTION_RESET_MS:
                del self._ejections[upstream_id]


def _add(parts):
    parts = list(parts)
    return AnswerTotal(
        answered=sum(part.answered for part in parts),
        unanswered=sum(part.unanswered for part in parts),
    )
