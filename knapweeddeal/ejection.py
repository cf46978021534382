"""knapweeddeal.ejection: Upstreams kept from new flows for their failures."""

from knapweeddeal.record import Record

__all__ = ["BASE_EJECTION_MS", "EJECTION_RESET_MS", "MAX_EJECTION_MS", "Ejection"]

#: Failures in a row that eject an upstream.
MAX_FAILURES = 3
#: Time of the first ejection; each one that follows soon takes twice as long.
BASE_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
#: Time without an ejection after which the next one is a first one.
EJECTION_RESET_MS = 300_000


class FailureHistory(Record):
    """Hold the failures of an upstream and its last ejection."""

    __slots__ = ("ejections", "failures", "key", "until_ms")


class Ejection:
    """Judge upstreams by what the data path shows of them.

    At most `share` of a pool is ejected at a time, so that failures that hit all
    alike take nobody out. A turned away flow is no failure. Upstreams come back by
    themselves; each ejection soon after another one takes longer.
    """

    __slots__ = ("_histories", "_share")

    def __init__(self, *, share):
        self._share = share
        self._histories = {}

    # Commands

    def record_success(self, key):
        """Note that an upstream did what it was asked for."""
        history = self._histories.get(key)
        if history is not None:
            history.failures = 0

    def record_failure(self, key, *, now_ms):
        """Note that an upstream's stream broke or that it didn't answer."""
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
        """Forget what is long past."""
        for key, history in list(self._histories.items()):
            if history.until_ms + EJECTION_RESET_MS <= now_ms:
                del self._histories[key]

    # Queries

    def usable(self, upstreams, doubtful=(), *, now_ms):
        """Return a pool without those that are ejected, then those that are doubtful.

        If the share doesn't allow for all, those whose ejection ends first stay in.
        """
        ejected = [
            history
            for history in map(self._histories.get, (u.key for u in upstreams))
            if history is not None and history.until_ms > now_ms
        ]
        if not ejected and not doubtful:
            return upstreams
        ejected.sort(key=lambda history: history.until_ms, reverse=True)
        worst_first = [*(history.key for history in ejected), *doubtful]
        worst_first = list(dict.fromkeys(worst_first))
        out = set(worst_first[: int(len(upstreams) * self._share)])
        return [upstream for upstream in upstreams if upstream.key not in out]

    def ejected(self, *, now_ms):
        """Return the keys of the upstreams under ejection."""
        return [h.key for h in self._histories.values() if h.until_ms > now_ms]
