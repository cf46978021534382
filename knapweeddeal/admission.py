"""knapweeddeal.admission: Admission of requests by their expected latency."""

from knapweeddeal.record import Record

__all__ = ["Admission"]

#: Share of a deadline that the expected latency of a request may use.
DEADLINE_SHARE = 0.5
#: Answers over which latencies are averaged.
AVERAGED_ANSWERS = 32


class SentRequest(Record):
    """Hold when a request was sent, and the expected queue length at its upstream."""

    __slots__ = ("sent_ms", "queue_length")


class LatencyEstimate:
    """Estimate the latency and queue length of one upstream."""

    __slots__ = (
        "answers",
        "outstanding",
        "reported_ms",
        "sent_since_report",
        "slots",
        "mean_latency_ms",
        "mean_rounds",
    )

    def __init__(self, *, slots):
        self.slots = slots
        self.answers = 0
        #: Mean time from a request to its answer.
        self.mean_latency_ms = 0.0
        #: Mean number of requests that a slot worked on in that time.
        self.mean_rounds = 1.0
        #: Requests at the upstream by its last report, and requests sent since.
        self.outstanding = 0
        self.reported_ms = 0
        self.sent_since_report = 0

    def queue_length(self, now_ms):
        """Return the estimated number of requests at the upstream now."""
        queued = self.outstanding + self.sent_since_report
        if not self.answers:
            return queued
        slot_ms = max(1.0, self.mean_latency_ms / self.mean_rounds)
        drained = (now_ms - self.reported_ms) * self.slots / slot_ms
        return max(0.0, queued - drained)

    def expected_ms(self, now_ms):
        """Return the expected latency of one further request."""
        return (
            self.mean_latency_ms
            / self.mean_rounds
            * self.rounds_behind(self.queue_length(now_ms))
        )

    def rounds_behind(self, queue_length):
        """Return how many requests a slot handles until one behind a queue is done."""
        return max(1.0, (queue_length + 1) / self.slots)


class Admission:
    """Admit requests by a latency estimate from past answers and reported queues."""

    __slots__ = ("_deadline_share", "_estimates")

    def __init__(self, *, deadline_share=DEADLINE_SHARE):
        self._deadline_share = deadline_share
        self._estimates = {}

    # Commands

    def record_sent(self, upstream, *, now_ms):
        """Record that a request is sent; return the token for `record_answer`."""
        estimate = self._estimate(upstream)
        sent = SentRequest(sent_ms=now_ms, queue_length=estimate.queue_length(now_ms))
        estimate.sent_since_report += 1
        return sent

    def record_answer(self, upstream, sent, *, now_ms):
        """Record the answer to a request that `record_sent` recorded."""
        estimate = self._estimate(upstream)
        estimate.answers += 1
        weight = 1.0 / min(estimate.answers, AVERAGED_ANSWERS)
        estimate.mean_latency_ms += weight * (
            now_ms - sent.sent_ms - estimate.mean_latency_ms
        )
        estimate.mean_rounds += weight * (
            estimate.rounds_behind(sent.queue_length) - estimate.mean_rounds
        )

    def record_report(self, upstream, outstanding, *, now_ms):
        """Record the number of outstanding requests that an upstream reported."""
        estimate = self._estimate(upstream)
        estimate.outstanding = outstanding
        estimate.reported_ms = now_ms
        estimate.sent_since_report = 0

    def remove_upstream(self, key):
        """Drop the estimate of an upstream, for example after its stream broke."""
        self._estimates.pop(key, None)

    # Queries

    def admits(self, upstream, *, deadline_ms, now_ms):
        """Return whether a slot is free or the answer is expected well in time."""
        estimate = self._estimates.get(upstream.key)
        if estimate is None or estimate.queue_length(now_ms) < estimate.slots:
            # A free slot is always used: estimates improve only with answers.
            return True
        return estimate.expected_ms(now_ms) <= deadline_ms * self._deadline_share

    def _estimate(self, upstream):
        estimate = self._estimates.get(upstream.key)
        if estimate is None:
            estimate = LatencyEstimate(slots=upstream.announce.slots)
            self._estimates[upstream.key] = estimate
        return estimate
