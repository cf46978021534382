"""knapweeddeal.impact: Ask the entries whom a plan would affect."""

from knapweeddeal.messages.replication import ImpactAnswer, ImpactAsk
from knapweeddeal.record import Record

__all__ = ["Impacts", "Round"]

#: Most rounds at a time; a plan beyond them is made without waiting.
MAX_ROUNDS = 64
#: Most upstreams that an answer names.
MAX_UPSTREAMS = 10_000


class Round(Record):
    """Collect answers until all sources answered or the time is over.

    `purpose` is what the owner gave; it comes back with the sums.
    """

    __slots__ = ("entries", "flows", "purpose", "sources", "until_ms", "upstreams")
    __slots__ += ("zones",)

    def add(self, source, answer):
        """Add a source's answer once."""
        if source not in self.sources:
            return
        self.sources.discard(source)
        self.flows += answer.flows
        self.entries += answer.entries
        self.zones.update(answer.zones)
        self.upstreams.update(answer.upstreams)

    def answer(self, ask_id):
        """Return the sums as one answer."""
        return ImpactAnswer(
            ask_id=ask_id,
            flows=self.flows,
            entries=self.entries,
            upstreams=sorted(self.upstreams)[:MAX_UPSTREAMS],
            zones=sorted(self.zones),
        )


class Impacts:
    """Run rounds; the owner sends the asks and takes the rounds that are done."""

    __slots__ = ("_next_id", "_rounds")

    def __init__(self):
        self._rounds = {}
        self._next_id = 1

    def start(self, services, sources, until_ms, purpose):
        """Start a round and return the ask for each source."""
        ask_id = self._next_id
        self._next_id += 1
        is_full = len(self._rounds) >= MAX_ROUNDS
        self._rounds[ask_id] = Round(
            purpose=purpose,
            sources=set() if is_full else set(sources),
            until_ms=until_ms,
            flows=0,
            entries=0,
            upstreams=set(),
            zones=set(),
        )
        return ImpactAsk(ask_id=ask_id, services=services)

    def add(self, source, answer):
        """Take a source's answer."""
        found = self._rounds.get(answer.ask_id)
        if found is not None:
            found.add(source, answer)

    def gone(self, source):
        """Wait no longer for a source."""
        for found in self._rounds.values():
            found.sources.discard(source)

    def take_done(self, now_ms):
        """Return the rounds that are done, and forget them."""
        done = [
            ask_id
            for ask_id, found in self._rounds.items()
            if not found.sources or now_ms >= found.until_ms
        ]
        return [self._rounds.pop(ask_id) for ask_id in done]

    def next_ms(self):
        """Return when the next round ends at the latest, or None."""
        return min((found.until_ms for found in self._rounds.values()), default=None)
