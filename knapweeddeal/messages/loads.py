"""knapweeddeal.messages.loads: Messages on the load of upstreams and services.

Their numbers stand in flat lists, as a nested message for each upstream takes more
bytes: a forwarder's report is no longer than the `AnswerCounts` that it replaces.
"""

from knapweeddeal.messages.base import Flag, Integer, ListOf, Message, Nested
from knapweeddeal.messages.fields import NAME

__all__ = [
    "RequestCount",
    "RequestCounts",
    "ServiceLoadPush",
    "ServiceSum",
    "UpstreamLoad",
    "UpstreamLoads",
    "UpstreamSum",
    "ZoneDemand",
    "ZoneRoom",
    "ServiceSums",
]

#: Largest share, in thousandths.
MAX_MILLI = 1_000


class RequestCount(Message):
    """Count a forwarder's requests to one upstream; never sent on its own.

    `response_ms` is the mean time until an answer began, 0 if none was timed.
    `rejected` counts answers that were much shorter than the route's usual ones.
    """

    schema = {
        "upstream_id": NAME,
        "answered": Integer(),
        "unanswered": Integer(),
        "response_ms": Integer(),
        "rejected": Integer(),
    }
    __slots__ = tuple(schema)


class RequestCounts(Message):
    """Report the requests that a forwarder saw end since its last message.

    `figures` holds two numbers for each upstream: answered requests and mean response
    time in milliseconds. `failures` holds three for each upstream with any: its index,
    unanswered and rejected requests.
    """

    tag = 210
    schema = {
        "upstream_ids": ListOf(NAME),
        "figures": ListOf(Integer(), max_items=200_000),
        "failures": ListOf(Integer(), max_items=300_000),
    }
    __slots__ = tuple(schema)

    @classmethod
    def of(cls, totals):
        """Return a message made of a tracker's totals by upstream id."""
        figures, failures = [], []
        for index, total in enumerate(totals.values()):
            figures += (total.answered, total.mean_response_ms)
            if total.unanswered or total.rejected:
                failures += (index, total.unanswered, total.rejected)
        return cls(upstream_ids=list(totals), figures=figures, failures=failures)

    @property
    def counts(self):
        """Return the `RequestCount` items; surplus numbers are ignored."""
        failures = {
            index: (unanswered, rejected)
            for index, unanswered, rejected in _groups(self.failures, 3)
        }
        items = enumerate(
            zip(self.upstream_ids, _groups(self.figures, 2), strict=False)
        )
        return [
            RequestCount(
                upstream_id=upstream_id,
                answered=answered,
                unanswered=failures.get(index, (0, 0))[0],
                response_ms=response_ms,
                rejected=failures.get(index, (0, 0))[1],
            )
            for index, (upstream_id, (answered, response_ms)) in items
        ]


class UpstreamSum(Message):
    """Sum the requests that a replica's forwarders sent to one upstream.

    `rate_milli` and `rejected_milli` count thousandths of a request per second.
    """

    tag = 211
    schema = {
        "upstream_id": NAME,
        "rate_milli": Integer(),
        "response_ms": Integer(),
        "rejected_milli": Integer(),
    }
    __slots__ = tuple(schema)


class ZoneDemand(Message):
    """State the requests a second that forwarders of a zone send to a service."""

    tag = 212
    schema = {"zone": NAME, "rate_milli": Integer()}
    __slots__ = tuple(schema)


class ServiceSum(Message):
    """Sum a replica's requests to one service, by upstream and by zone of origin.

    `under_load` is whether its own figures made the replica send them, rather than
    those of another replica.
    """

    tag = 213
    schema = {
        "service": NAME,
        "under_load": Flag(),
        "upstreams": ListOf(Nested(UpstreamSum)),
        "demands": ListOf(Nested(ZoneDemand), max_items=1_000),
    }
    __slots__ = tuple(schema)


class ServiceSums(Message):
    """Send a replica's sums of the services under load to the other replicas."""

    tag = 214
    schema = {"sender": Integer(), "services": ListOf(Nested(ServiceSum))}
    __slots__ = tuple(schema)


class ZoneRoom(Message):
    """State how flows are shared between a zone and others, in thousandths.

    `leave_milli` of the flows of the zone's forwarders go to other zones, as their own
    has no room. `avoid_milli` of the flows from other zones should go elsewhere.
    """

    tag = 215
    schema = {
        "zone": NAME,
        "leave_milli": Integer(maximum=MAX_MILLI),
        "avoid_milli": Integer(maximum=MAX_MILLI),
    }
    __slots__ = tuple(schema)


class UpstreamLoad(Message):
    """State the load of a busy or slow upstream.

    `load_milli` is its load per slot; `slowness_percent` its response time relative to
    its service's median; `divert_milli` the share of flows that should go elsewhere.
    """

    tag = 216
    schema = {
        "upstream_id": NAME,
        "load_milli": Integer(),
        "slowness_percent": Integer(),
        "divert_milli": Integer(maximum=MAX_MILLI),
    }
    __slots__ = tuple(schema)


class ServiceLoadPush(Message):
    """State the load of one service, its busy and slow upstreams, and its zones."""

    tag = 217
    schema = {
        "service": NAME,
        "load_milli": Integer(),
        "rejected_milli": Integer(maximum=MAX_MILLI),
        "response_ms": Integer(),
        "upstreams": ListOf(Nested(UpstreamLoad)),
        "zones": ListOf(Nested(ZoneRoom), max_items=1_000),
    }
    __slots__ = tuple(schema)


class UpstreamLoads(Message):
    """Push the load of services to forwarders; replaces what was pushed of them."""

    tag = 218
    schema = {"services": ListOf(Nested(ServiceLoadPush))}
    __slots__ = tuple(schema)


def _groups(numbers, size):
    """Return the numbers in groups; an incomplete last one is left out."""
    return zip(*[iter(numbers)] * size, strict=False)
