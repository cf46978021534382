"""knapweeddeal.flowvalue: The order of flows where capacity is short.

The value of a flow is the weight of its priority divided by the work that it needs, so
that the callers of some capacity get the most from it. This module does no I/O and
holds no state.
"""

from knapweeddeal.record import Record

__all__ = ["WaitingFlow", "flow_rank", "link_band", "pick_waiting", "value_per_work"]

#: Ratio of the weights of two adjacent priorities. A finite ratio lets many short
#: requests precede a long one of the next priority.
PRIORITY_RATIO = 2.0
#: Priorities beyond this weigh the same, so that no weight underflows.
MAX_PRIORITY = 15
#: Last band of a link, which all further priorities share, so that the minimum shares
#: of the bands leave most of the link to the first one.
LAST_LINK_BAND = 3
#: Lower bound of the service time. Times are in whole milliseconds, and the network
#: accounts for a part of them.
MIN_SERVICE_MS = 1.0


class WaitingFlow(Record):
    """Hold a flow that waits for capacity; `service_ms` is None if it is unknown."""

    __slots__ = ("arrived_ms", "key", "service_ms", "terms")


def value_per_work(terms, service_ms):
    """Return the weight of a priority per millisecond of service; higher is better."""
    weight = PRIORITY_RATIO ** -min(terms.priority, MAX_PRIORITY)
    return weight / max(service_ms, MIN_SERVICE_MS)


def link_band(terms, priorities):
    """Return the band of a flow on a link, from the priorities in use; 0 goes first.

    Terms that state no `kind` belong to the first band, so that their flows aren't
    delayed by others. Within a band flows take turns by bytes, which are the work that
    a link does.
    """
    if not terms.kind:
        return 0
    return min(priorities.index(terms.priority), LAST_LINK_BAND)


def flow_rank(terms, service_ms, waited_ms):
    """Return the sort key of a flow that has waited for a time; the lowest goes first.

    A flow that can't meet its deadline comes last. Among flows of equal value those
    that can meet their objective precede late ones, and the least slack goes first.
    """
    deadline_slack_ms = terms.timeout_ms - waited_ms - service_ms
    objective_slack_ms = terms.objective_ms - waited_ms - service_ms
    is_late = bool(terms.objective_ms) and objective_slack_ms < 0
    has_objective = bool(terms.objective_ms) and not is_late
    return (
        bool(terms.timeout_ms) and deadline_slack_ms < 0,
        -value_per_work(terms, service_ms),
        is_late,
        objective_slack_ms if has_objective else deadline_slack_ms,
    )


def pick_waiting(flows, count, now_ms):
    """Return up to `count` waiting flows, the highest value first.

    A flow that can't meet its deadline isn't picked, as its answer would be useless.
    One whose service time is unknown is taken to need the mean of the others.
    """
    known_ms = [flow.service_ms for flow in flows if flow.service_ms is not None]
    mean_ms = sum(known_ms) / len(known_ms) if known_ms else MIN_SERVICE_MS
    ranked = []
    for number, flow in enumerate(flows):
        service_ms = mean_ms if flow.service_ms is None else flow.service_ms
        rank = flow_rank(flow.terms, service_ms, now_ms - flow.arrived_ms)
        is_expired = rank[0]
        if not is_expired:
            ranked.append((rank, number, flow))
    ranked.sort(key=lambda entry: entry[:2])
    return [flow for _, _, flow in ranked[:count]]
