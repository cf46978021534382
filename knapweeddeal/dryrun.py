"""knapweeddeal.dryrun: Where a forwarder would send a new flow now, and why.

This module does no I/O and changes nothing: it runs the decision of the SYN path
(`Forwarder.decide_syn`) with a copy of the random source and describes the result.
"""

import random as random_module

from knapweeddeal.errors import BadMessageError, NoRouteError
from knapweeddeal.messages.operator import WhereAnswer, WhereCandidate, WhereFigure
from knapweeddeal.messages.packets import NO_ROUTE_TERMS, ROUTE_KEY_BYTES, ServiceShare
from knapweeddeal.packetforwarder import (
    SELECTION_REFUSALS,
    UNKNOWN_UPSTREAMS,
    ZONE_EVACUATED,
)
from knapweeddeal.packetheader import flow_key
from knapweeddeal.packetupstreams import OTHER_ZONE_PENALTY, RANK_REASONS

__all__ = ["FIGURES", "MARKS", "copy_of_source", "where"]

ADMITTED = "admitted"
#: Answer to a SYN that is held until routes and upstreams are known.
HELD_REASON = "routes or upstreams aren't known yet"
#: Reasons for the first candidate besides `RANK_REASONS`.
ONLY_CANDIDATE = "the only candidate"
ONLY_IN_ZONE = f"the only one in this zone, with a load below {OTHER_ZONE_PENALTY:g}"
DUPLICATE = "the first SYN of this flow was sent there and isn't answered yet"
WAITS_FOR_PERMIT = "cold, and waits for a permit of the upstream's home"
OWN_ZONE = "in this zone; the next one has less load, in another zone"
ALL_AVOIDED = "; all are avoided"
TIE = "a random number broke the tie with the next one"

MILLI = 1_000
MAX_VALUE_MILLI = 2**63

#: What counts against an upstream: each name with a query of (upstream, now_ms).
MARKS = (
    ("other zone", lambda upstream, now_ms: not upstream.is_same_zone),
    ("cold", lambda upstream, now_ms: upstream.is_cold(now_ms)),
    (
        "refused a permit",
        lambda upstream, now_ms: now_ms < upstream.refused_until_ms,
    ),
    ("no answer to a SYN", lambda upstream, now_ms: upstream.is_suspect(now_ms)),
    ("silent", lambda upstream, now_ms: upstream.state.silent),
    ("failing", lambda upstream, now_ms: upstream.state.failing),
)
#: Marks of upstreams that are avoided: chosen only if all others are avoided too.
AVOIDED = "avoided"
#: Mark of upstreams that this flow's earlier SYNs were sent to.
TRIED = "tried"

#: Figures of an upstream: each name with a query of (upstream, now_ms) that returns
#: the value and when it was received or counted, or None if there is none.
FIGURES = (
    ("load", lambda upstream, now_ms: (upstream.load_per_slot(now_ms), now_ms)),
    ("score", lambda upstream, now_ms: (upstream.score(now_ms), now_ms)),
    ("open_flows", lambda upstream, now_ms: (upstream.open_flows, now_ms)),
    ("slots", lambda upstream, now_ms: (upstream.state.slots, upstream.state_ms)),
    (
        "cold_ms",
        lambda upstream, now_ms: (
            (upstream.cold_until_ms - now_ms, upstream.state_ms)
            if upstream.is_cold(now_ms)
            else None
        ),
    ),
)


def copy_of_source(random):
    """Return a source that gives the next numbers of a source, which stays as it is.

    `random` is the method of a `random.Random`; any other function is returned as is.
    """
    source = getattr(random, "__self__", None)
    if not isinstance(source, random_module.Random):
        return random
    copy = random_module.Random()
    copy.setstate(source.getstate())
    return copy.random


def where(request, *, forwarder, routes, pool, backlog_ms, random, now_ms):
    """Return what the next SYN of a new flow would get; `random` gives its numbers.

    Raise NoRouteError, or BadMessageError for an address that isn't IPv4.
    """
    caller = (request.caller_host, request.caller_port)
    address = (request.route_host, request.route_port)
    try:
        key = flow_key(caller, address)
    except (OSError, ValueError):
        raise BadMessageError(
            "expected IPv4 addresses", field="flow", value=_flow_text(caller, address)
        ) from None
    answer = WhereAnswer(
        flow=_flow_text(caller, address),
        zone=pool.zone,
        revision=routes.revision,
        current=forwarder.has_leader,
        terms=NO_ROUTE_TERMS,
        shares=[],
        admission="",
        outcome="held",
        reason=HELD_REASON,
        service="",
        upstream="",
        backlog_ms=round(backlog_ms),
        candidates=[],
        more=0,
    )
    if forwarder.is_holding:
        return answer
    route = routes.get(key[:ROUTE_KEY_BYTES])
    if route is None:
        raise _no_route(key, address, routes, forwarder)
    ranked = []
    decision = forwarder.decide_syn(
        key,
        0,
        route,
        now_ms,
        random=random,
        admission=forwarder.copy_admission(),
        ranked=ranked,
    )
    service = decision.service or route.pick_service(random())
    if decision.refusal and not ranked:
        # Refused before an upstream was chosen: shows what else it would have got.
        rated = routes.cold_rate_milli(service) > 0
        pool.choose(service, now_ms, rated=rated, random=random, ranked=ranked)
    ranked = _in_order(ranked, decision.upstream)
    others = _others(ranked, pool, service, now_ms)
    count = len(ranked) + len(others)
    return answer.replace(
        terms=route.terms,
        shares=[
            ServiceShare(service=name, weight=weight)
            for name, weight in zip(route.shares, route.weights, strict=True)
        ],
        admission=_admission(decision),
        outcome=_outcome(decision),
        reason=_reason(decision, ranked, count, now_ms),
        service=service,
        upstream=_upstream_id(decision),
        candidates=_candidates(ranked, others, request.max_candidates, pool, now_ms),
        more=max(count - request.max_candidates, 0),
    )


def _flow_text(caller, address):
    return "{}:{}>{}:{}".format(*caller, *address)


def _no_route(key, address, routes, forwarder):
    is_dropped = key[:ROUTE_KEY_BYTES] in routes.dropped
    fate = "reset" if is_dropped or forwarder.has_leader else "dropped"
    return NoRouteError(
        f"no such route in revision {routes.revision}; a SYN is {fate}",
        field="route",
        value="{}:{}".format(*address),
    )


def _admission(decision):
    if not decision.refusal or decision.refusal in SELECTION_REFUSALS:
        return ADMITTED
    return f"reset: {decision.refusal}"


def _upstream_id(decision):
    """Return the id of the upstream that gets the SYN, now or with a permit, or ""."""
    return "" if decision.refusal else decision.upstream.state.upstream_id


def _outcome(decision):
    if decision.is_duplicate:
        return "duplicate"
    if decision.waits_for_permit:
        return "held"
    if not decision.refusal:
        return "sent"
    return "dropped" if decision.refusal == UNKNOWN_UPSTREAMS else "reset"


def _in_order(ranked, chosen):
    """Return ranked upstreams by rank, the chosen one first."""
    return sorted(ranked, key=lambda one: (one.upstream is not chosen, one.rank))


def _reason(decision, ranked, count, now_ms):
    """Return why the first candidate comes first, or why there is none."""
    if decision.is_duplicate:
        return DUPLICATE
    if decision.refusal:
        return decision.refusal
    if decision.waits_for_permit:
        return WAITS_FOR_PERMIT
    if len(ranked) == 1:
        return ONLY_CANDIDATE if count == 1 else ONLY_IN_ZONE
    first, following = ranked[:2]
    position = next(
        (
            index
            for index, (own, other) in enumerate(
                zip(first.rank, following.rank, strict=True)
            )
            if own != other
        ),
        len(first.rank) - 1,
    )
    reason = RANK_REASONS[position]
    if position == len(first.rank) - 1:
        reason = _score_reason(first.upstream, following.upstream, now_ms)
    return reason + (ALL_AVOIDED if first.upstream.is_avoided(now_ms) else "")


def _score_reason(first, following, now_ms):
    if first.score(now_ms) >= following.score(now_ms):
        return TIE
    is_own_zone_first = first.is_same_zone and not following.is_same_zone
    if is_own_zone_first and (
        following.load_per_slot(now_ms) < first.load_per_slot(now_ms)
    ):
        return OWN_ZONE
    return RANK_REASONS[-1]


def _others(ranked, pool, service, now_ms):
    """Return the ready upstreams that weren't ranked, by score.

    Those of evacuated zones are never ranked.
    """
    ready = pool.candidates(service)
    considered = {id(one.upstream) for one in ranked}
    others = [upstream for upstream in ready if id(upstream) not in considered]
    others.sort(
        key=lambda upstream: (
            pool.is_evacuated(upstream),
            upstream.is_avoided(now_ms),
            upstream.score(now_ms),
        )
    )
    return others


def _candidates(ranked, others, max_candidates, pool, now_ms):
    """Describe the first upstreams, those that were ranked before the others."""
    left = max(max_candidates - len(ranked), 0)
    return [
        *(
            _candidate(one.upstream, pool, now_ms, tried=one.rank[0])
            for one in ranked[:max_candidates]
        ),
        *(_candidate(one, pool, now_ms, considered=False) for one in others[:left]),
    ]


def _candidate(upstream, pool, now_ms, *, considered=True, tried=False):
    state = upstream.state
    marks = [name for name, applies in MARKS if applies(upstream, now_ms)]
    if upstream.is_avoided(now_ms):
        marks.insert(0, AVOIDED)
    if tried:
        marks.insert(0, TRIED)
    if pool.is_evacuated(upstream):
        marks.insert(0, ZONE_EVACUATED)
    figures = []
    for name, measure in FIGURES:
        measured = measure(upstream, now_ms)
        if measured is not None:
            figures.append(_figure(name, *measured, now_ms))
    shared = pool.shared_loads.upstream_figures(state, now_ms)
    if shared is not None:
        values, received_ms = shared
        for name, value in values.items():
            figures.append(_figure(name, value, received_ms, now_ms))
    return WhereCandidate(
        upstream=state.upstream_id,
        zone=state.zone,
        host=state.host,
        port=state.port,
        considered=considered,
        marks=marks,
        figures=figures,
    )


def _figure(name, value, since_ms, now_ms):
    return WhereFigure(
        name=name,
        value_milli=min(round(value * MILLI), MAX_VALUE_MILLI),
        age_ms=max(now_ms - since_ms, 0),
    )
