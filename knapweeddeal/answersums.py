"""knapweeddeal.answersums: Answer counts of all forwarders, and the marks they lead to.

A control replica sums the counts of its forwarders, exchanges the sums with the other
replicas, and marks the upstreams whose home it is as failing.
"""

from knapweeddeal.logs import Log
from knapweeddeal.messages.packets import AnswerCounts
from knapweeddeal.outlierdetector import AnswerTotal, OutlierDetector

__all__ = ["AnswerSums"]

log = Log(prefix="directory")


class AnswerSums:
    """Feed the outlier detector with counts, and mark upstreams in the directory."""

    __slots__ = ("_detector", "_own_identity", "_starts", "_table", "_totals_sent")

    def __init__(self, *, table, own_identity):
        self._table = table
        self._own_identity = own_identity
        self._detector = OutlierDetector()
        #: Start of the process that the counts of each suspect are of.
        self._starts = {}
        #: Whether the last totals for the other replicas weren't empty.
        self._totals_sent = False

    def add_counts(self, counts, now_ms):
        """Add the counts of a forwarder, `RequestCount` items."""
        counts = {
            entry.upstream_id: (entry.answered, entry.unanswered)
            for entry in self._exclude_failing(counts)
        }
        self._detector.add_counts(counts, now_ms)

    def set_replica_totals(self, message, now_ms):
        """Replace the totals of another replica."""
        totals = {
            entry.upstream_id: AnswerTotal(
                answered=entry.answered, unanswered=entry.unanswered
            )
            for entry in self._exclude_failing(message.counts)
        }
        self._detector.set_replica_totals(message.sender, totals, now_ms)

    def pop_totals(self):
        """Return a message with totals for the other replicas, or None.

        Empty totals are sent once, to replace the last ones.
        """
        totals = self._detector.local_totals()
        if not totals and not self._totals_sent:
            return None
        self._totals_sent = bool(totals)
        counts = {name: (s.answered, s.unanswered) for name, s in totals.items()}
        return AnswerCounts.of(sender=self._own_identity, counts=counts)

    def mark_failing(self, now_ms):
        """Update the marks of upstreams; return the changed states."""
        self._forget_restarted()
        suspects = self._detector.suspects()
        services = self._table.peers_by_service(suspects)
        failing = self._detector.detect_failing(services, now_ms)
        changed = self._table.mark_failing(failing, suspects)
        for state in changed:
            total = self._detector.last_total(state.upstream_id)
            log.info(
                "changed the failing mark of an upstream",
                upstream=state.upstream_id,
                failing=state.failing,
                answered=total.answered,
                unanswered=total.unanswered,
            )
        return changed

    def _forget_restarted(self):
        """Forget the counts and ejections of upstreams that were started again."""
        states = [self._table.get(one) for one in self._detector.suspects()]
        starts = {one.upstream_id: one.born_ms for one in states if one is not None}
        for upstream_id, born_ms in starts.items():
            if self._starts.get(upstream_id, born_ms) != born_ms:
                self._detector.forget(upstream_id)
        self._starts = starts

    def clear(self, upstream_id):
        """Forget the counts of an upstream."""
        self._detector.clear(upstream_id)

    def _exclude_failing(self, counts):
        """Return the counts of upstreams that aren't marked as failing.

        Counts of a marked one are of requests sent before it was marked.
        """
        return [
            entry
            for entry in counts
            if (state := self._table.get(entry.upstream_id)) is None
            or not state.failing
        ]
