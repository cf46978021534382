"""knapweeddeal.outlierdetector: Which upstreams fail, by what all forwarders saw.

One forwarder of a hundred sees a request to an upstream every few seconds; the sum of
all shows within a second that an upstream takes flows and answers nothing.
"""

from collections import deque

from knapweeddeal.ejection import BASE_EJECTION_MS, EJECTION_RESET_MS, MAX_EJECTION_MS
from knapweeddeal.record import Record

__all__ = ["OutlierDetector", "AnswerTotal"]

#: Time over which requests are summed.
WINDOW_MS = 2_000
#: Longest use of another replica's sums: it sends them twice a second.
FRESH_MS = 1_500
#: Unanswered requests, and their share, from which an upstream counts as failing.
LEAST_UNANSWERED = 3
FAILING_SHARE = 0.3
#: The same for one that failed before and is tried again.
LEAST_AGAIN = 1
#: An upstream fails only if its share is so many times that of its service: a full
#: service answers late everywhere.
FACTOR = 3.0
#: Share of a service's upstreams that count as failing at once, at most.
MAX_SHARE = 0.25


class AnswerTotal(Record):
    """Hold the answered and unanswered requests at one upstream."""

    __slots__ = ("answered", "unanswered")

    @property
    def share(self):
        """Return the share of requests without an answer."""
        return self.unanswered / max(self.answered + self.unanswered, 1)


NOTHING = AnswerTotal(answered=0, unanswered=0)


class Verdict(Record):
    """Hold until when an upstream counts as failing, how often it did, and why."""

    __slots__ = ("times", "total", "until_ms")


class OutlierDetector:
    """Sum what forwarders saw, and tell which upstreams fail."""

    __slots__ = ("_heard", "_others", "_verdicts")

    def __init__(self):
        #: (time, answered, unanswered) of this replica's forwarders, by upstream.
        self._heard = {}
        #: Sums of other replicas with the time they came, by replica.
        self._others = {}
        self._verdicts = {}

    # Commands.

    def add_counts(self, counts, now_ms):
        """Take (answered, unanswered) by upstream, as one forwarder saw them."""
        for upstream_id, (answered, unanswered) in counts.items():
            heard = self._heard.setdefault(upstream_id, deque())
            heard.append((now_ms, answered, unanswered))

    def set_replica_totals(self, replica, sums, now_ms):
        """Take another replica's sums of upstreams with unanswered requests."""
        self._others[replica] = (now_ms, sums)

    def clear(self, upstream_id):
        """Forget what was seen of an upstream before it was found failing."""
        self._heard.pop(upstream_id, None)
        for _, sums in self._others.values():
            sums.pop(upstream_id, None)

    def detect_failing(self, services, now_ms):
        """Return the upstreams that fail now; `services` lists ready ones by name."""
        self._forget(now_ms)
        failing = set()
        for upstream_ids in services.values():
            failing |= self._judge_service(upstream_ids, now_ms)
        return failing

    # Queries.

    def suspects(self):
        """Return the upstreams that a verdict may change: few of all."""
        found = set(self._verdicts) | set(self.local_totals())
        for _, sums in self._others.values():
            found |= set(sums)
        return found

    def last_total(self, upstream_id):
        """Return the sum that led to the last verdict on an upstream."""
        verdict = self._verdicts.get(upstream_id)
        return verdict.total if verdict else NOTHING

    def local_totals(self):
        """Return the sums of this replica's forwarders, where any went unanswered."""
        own = {upstream_id: self._own(upstream_id) for upstream_id in self._heard}
        return {upstream_id: one for upstream_id, one in own.items() if one.unanswered}

    def total(self, upstream_id):
        """Return the sum of all replicas for one upstream."""
        others = [sums.get(upstream_id, NOTHING) for _, sums in self._others.values()]
        return _add([self._own(upstream_id), *others])

    def _own(self, upstream_id):
        heard = self._heard.get(upstream_id, ())
        return AnswerTotal(
            answered=sum(entry[1] for entry in heard),
            unanswered=sum(entry[2] for entry in heard),
        )

    # One service.

    def _judge_service(self, upstream_ids, now_ms):
        totals = {one: self.total(one) for one in upstream_ids}
        room = int(MAX_SHARE * len(upstream_ids))
        held = [one for one in upstream_ids if self._is_held(one, now_ms)]
        worst = sorted(totals, key=lambda one: totals[one].unanswered, reverse=True)
        for one in worst:
            if len(held) >= room or not totals[one].unanswered:
                break
            others = _add(total for other, total in totals.items() if other != one)
            if one not in held and self._fails(one, totals[one], others):
                self._condemn(one, totals[one], now_ms)
                held.append(one)
        return set(held)

    def _fails(self, upstream_id, total, others):
        least = LEAST_AGAIN if upstream_id in self._verdicts else LEAST_UNANSWERED
        if total.unanswered < least:
            return False
        return total.share >= max(FAILING_SHARE, FACTOR * others.share)

    def _is_held(self, upstream_id, now_ms):
        verdict = self._verdicts.get(upstream_id)
        return verdict is not None and now_ms < verdict.until_ms

    def _condemn(self, upstream_id, total, now_ms):
        """Hold an upstream back; what was seen before counts no more."""
        before = self._verdicts.get(upstream_id)
        times = before.times + 1 if before else 0
        until_ms = now_ms + min(BASE_EJECTION_MS << times, MAX_EJECTION_MS)
        self._verdicts[upstream_id] = Verdict(
            times=times, total=total, until_ms=until_ms
        )
        self.clear(upstream_id)

    def _forget(self, now_ms):
        for replica, (heard_ms, _) in list(self._others.items()):
            if now_ms - heard_ms >= FRESH_MS:
                del self._others[replica]
        for upstream_id, heard in list(self._heard.items()):
            while heard and now_ms - heard[0][0] >= WINDOW_MS:
                heard.popleft()
            if not heard:
                del self._heard[upstream_id]
        for upstream_id, verdict in list(self._verdicts.items()):
            if now_ms - verdict.until_ms >= EJECTION_RESET_MS:
                del self._verdicts[upstream_id]


def _add(parts):
    parts = list(parts)
    return AnswerTotal(
        answered=sum(part.answered for part in parts),
        unanswered=sum(part.unanswered for part in parts),
    )
