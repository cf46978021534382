"""knapweeddeal.ejection: Ejection of failing upstreams from new flows."""

from knapweeddeal.record import Record

__all__ = ["BASE_EJECTION_MS", "EJECTION_RESET_MS", "MAX_EJECTION_MS", "Ejection"]

#: Consecutive failures after which an upstream is ejected.
MAX_FAILURES = 3
#: Duration of the first ejection; each one that soon follows lasts twice as long, up
#: to MAX_EJECTION_MS.
BASE_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
#: Time without an ejection after which the duration starts over.
EJECTION_RESET_MS = 300_000


class FailureHistory(Record):
    """Hold the consecutive failures of an upstream and its last ejection."""

    __slots__ = ("ejections", "failures", "key", "until_ms")


class Ejection:
    """Eject upstreams for failures seen in the data path.

    At most `share` of a pool is ejected at a time, so that failures common to all
    upstreams don't empty the pool. A shed flow is no failure. An ejection ends by
    itself; each one soon after another lasts longer.
    """

    __slots__ = ("_histories", "_share")

    def __init__(self, *, share):
        self._share = share
        self._histories = {}

    # Commands

    def record_success(self, key):
        """Record that an upstream served a request or flow."""
        history = self._histories.get(key)
        if history is not None:
            history.failures = 0

    def record_failure(self, key, *, now_ms):
        """Record that the stream to an upstream broke or that it didn't answer."""
        history = self._histories.get(key)
        if history is None:
            history = FailureHistory(key=key, failures=0, ejections=0, until_ms=now_ms)
            self._histories[key] = history
        if history.until_ms > now_ms:
            return
        history.failures += 1
        if history.failures >= MAX_FAILURES:
            history.failures = 0
            history.until_ms = now_ms + min(
                MAX_EJECTION_MS, BASE_EJECTION_MS << history.ejections
            )
            history.ejections += 1

    def sweep(self, *, now_ms):
        """Drop histories whose last ejection ended before the reset time."""
        for key, history in list(self._histories.items()):
            if history.until_ms + EJECTION_RESET_MS <= now_ms:
                del self._histories[key]

    # Queries

    def usable(self, upstreams, suspect=(), *, now_ms):
        """Return a pool without its ejected and then its suspect upstreams.

        If the share doesn't allow excluding all, suspect upstreams stay in first, then
        the ejected ones whose ejection ends soonest.
        """
        ejected = [
            history
            for history in map(self._histories.get, (u.key for u in upstreams))
            if history is not None and history.until_ms > now_ms
        ]
        if not ejected and not suspect:
            return upstreams
        ejected.sort(key=lambda history: history.until_ms, reverse=True)
        worst_first = [*(history.key for history in ejected), *suspect]
        worst_first = list(dict.fromkeys(worst_first))
        excluded = set(worst_first[: int(len(upstreams) * self._share)])
        return [upstream for upstream in upstreams if upstream.key not in excluded]

    def ejected(self, *, now_ms):
        """Return the keys of the ejected upstreams."""
        return [h.key for h in self._histories.values() if h.until_ms > now_ms]
