"""knapweeddeal.flowtable: The flows that an entry owns, in order of last use."""

from collections import Counter

from knapweeddeal.record import Record

__all__ = ["Flow", "FlowTable"]

#: Idle flows that are removed in one call.
MAX_EXPIRED = 2_000


class Flow(Record):
    """Hold a flow that this entry owns.

    Tickets issued before `valid_since_ms` belong to an earlier `Flow` of the same flow,
    which this entry has removed with its ledger.
    """

    __slots__ = (
        "flow_id",
        "owner_incarnation",
        "upstream",
        "address",
        "caller",
        "valid_since_ms",
        "ticket_issued_ms",
        "last_used_ms",
        "ledger",
    )

    __eq__ = object.__eq__
    __hash__ = object.__hash__


class FlowTable:
    """Hold flows by owner incarnation and flow id, least recently used first."""

    __slots__ = ("_counts", "_idle_ms", "_tables")

    def __init__(self, *, idle_ms):
        self._idle_ms = idle_ms
        self._tables = {}
        self._counts = Counter()

    def __len__(self):
        """Return the number of flows."""
        return sum(map(len, self._tables.values()))

    def __iter__(self):
        """Yield every flow."""
        for table in self._tables.values():
            yield from table.values()

    def get(self, owner_incarnation, flow_id):
        """Return a flow, or None."""
        table = self._tables.get(owner_incarnation)
        return None if table is None else table.get(flow_id)

    def put(self, flow):
        """Add a flow, or replace the one with the same id."""
        table = self._tables.setdefault(flow.owner_incarnation, {})
        replaced = table.pop(flow.flow_id, None)
        if replaced is not None:
            self._decrement_count(replaced.upstream)
        table[flow.flow_id] = flow
        self._counts[flow.upstream] += 1

    def set_upstream(self, flow, key, address):
        """Assign a flow to another upstream."""
        if self.get(flow.owner_incarnation, flow.flow_id) is flow:
            self._decrement_count(flow.upstream)
            self._counts[key] += 1
        flow.upstream = key
        flow.address = address

    def counts(self):
        """Return the number of flows by upstream."""
        return dict(self._counts)

    def count(self, key):
        """Return the number of flows at one upstream."""
        return self._counts[key]

    def _decrement_count(self, key):
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]

    def touch(self, flow, *, now_ms):
        """Mark a flow as just used."""
        flow.last_used_ms = now_ms
        table = self._tables[flow.owner_incarnation]
        table[flow.flow_id] = table.pop(flow.flow_id)

    def remove(self, flow):
        """Remove a flow."""
        table = self._tables.get(flow.owner_incarnation, {})
        if table.get(flow.flow_id) is not flow:
            return
        del table[flow.flow_id]
        self._decrement_count(flow.upstream)
        if not table:
            del self._tables[flow.owner_incarnation]

    def expire(self, *, now_ms):
        """Remove and return idle flows, at most `MAX_EXPIRED` in one call."""
        expired = []
        for table in list(self._tables.values()):
            for flow in table.values():
                is_idle = now_ms - flow.last_used_ms >= self._idle_ms
                if not is_idle or len(expired) >= MAX_EXPIRED:
                    break
                expired.append(flow)
        for flow in expired:
            self.remove(flow)
        return expired
