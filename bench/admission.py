"""bench.admission: What callers get from a service that lacks capacity, by policy.

Run `.venv/bin/python -m bench.admission`. Callers of three classes try three times;
upstreams run 2 requests, queue 8 and reject others. Naive policies see the same
figures: `none` leaves rejections to the upstreams, `random` refuses the rejected share
of all flows, `strict priority` and `shortest first` refuse the lowest classes first,
until that share is reached.
"""

import argparse

from tests.admissionreplay import (
    DOWNLOAD,
    LONG,
    UNSAFE,
    AdmissionReplay,
    terms,
)

DURATION_MS, BURST = 12_000, (3_000, 8_000)
SEEDS = (1, 2, 3)
CLASSES = (LONG, UNSAFE, DOWNLOAD)


def normal(number, now_ms):
    """Return the factor of a normal upstream."""
    return 1.0


def slow_in_burst(number, now_ms):
    """Return the factor of an upstream, 40 % of which are slow during the burst."""
    is_slow = number % 5 < 2 and BURST[0] <= now_ms < BURST[1]
    return 4.0 if is_slow else 1.0


def burst(traffic, factor):
    """Return a class whose rate is multiplied during the burst."""
    return traffic.replace(bursts=((*BURST, factor),))


def with_terms(traffic, **changes):
    """Return a class with changed terms."""
    return traffic.replace(terms=traffic.terms.replace(**changes))


#: A class of low priority that takes most of the work, and one of high priority.
BULK = LONG.replace(terms=terms("bulk", 3, 519, 3_200), requests=1)
#: Name, classes and slowness of each load.
LOADS = (
    ("calm", CLASSES, normal),
    (
        "8 times the load, 40 % slow",
        [burst(t, 8.0) for t in CLASSES],
        slow_in_burst,
    ),
    (
        "6 times the load, 40 % slow",
        [burst(t, 6.0) for t in CLASSES],
        slow_in_burst,
    ),
    (
        "4 times the load, 40 % slow",
        [burst(t, 4.0) for t in CLASSES],
        slow_in_burst,
    ),
    (
        "8 times, one request per flow",
        [burst(t.replace(requests=1), 8.0) for t in CLASSES],
        slow_in_burst,
    ),
    ("one class bursts, 20 times", [burst(BULK, 20.0), UNSAFE, DOWNLOAD], normal),
    (
        "the unsafe class bursts, 40 times",
        [LONG, burst(UNSAFE, 40.0), DOWNLOAD],
        normal,
    ),
    (
        "deadlines below the wait",
        [
            burst(with_terms(LONG, timeout_ms=150, objective_ms=100), 8.0),
            burst(UNSAFE, 8.0),
            burst(DOWNLOAD, 8.0),
        ],
        slow_in_burst,
    ),
    (
        "the same priority for all",
        [burst(with_terms(t, priority=1), 8.0) for t in CLASSES],
        slow_in_burst,
    ),
)


class NaivePolicy:
    """Hold what naive policies share; `refuse` returns a reason or None."""

    def __init__(self, service_load, rng):
        self._service_load = service_load
        self._rng = rng
        self._flows = {}

    def refuse(self, service, flow_terms, flow_key, now_ms):
        """Refuse as many flows as the upstreams rejected requests."""
        self._flows[flow_terms] = self._flows.get(flow_terms, 0) + 1
        load = self._service_load(service, now_ms)
        if load is None or not load.rejected_share:
            return None
        return self._choose(flow_terms, load.rejected_share)

    def record_response(self, service, flow_terms, response_ms, now_ms):
        """Ignore an answer."""


class NoAdmission(NaivePolicy):
    """Admit all flows."""

    def _choose(self, flow_terms, share):
        return None


class RandomShedding(NaivePolicy):
    """Refuse flows of all classes alike."""

    def _choose(self, flow_terms, share):
        return "random" if self._rng.random() < share else None


class OrderedShedding(NaivePolicy):
    """Refuse all flows of the lowest classes; a subclass gives their order."""

    def _choose(self, flow_terms, share):
        left = share * sum(self._flows.values())
        for lowest in sorted(self._flows, key=self._order, reverse=True):
            if lowest == flow_terms:
                refused = min(left / self._flows[lowest], 1.0)
                return "order" if self._rng.random() < refused else None
            left = max(left - self._flows[lowest], 0)
        return None


class StrictPriority(OrderedShedding):
    """Refuse the classes of the lowest priority."""

    def _order(self, flow_terms):
        return flow_terms.priority


class ShortestFirst(OrderedShedding):
    """Refuse the classes with the longest service times."""

    SERVICE_MS = {"download": 4.2, "long": 26, "bulk": 26, "single": 33}

    def _order(self, flow_terms):
        return self.SERVICE_MS[flow_terms.kind]


POLICIES = (
    ("none", NoAdmission),
    ("random shedding", RandomShedding),
    ("strict priority", StrictPriority),
    ("shortest first", ShortestFirst),
    ("admission control", None),
)


def print_load(name, traffic, slowness, seeds):
    """Print a table of a load: a row for each policy and class, sums over seeds."""
    print(f"\n{name}\n")
    print("| policy | worth | class | requests | in time | late | refused | failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for policy, make_policy in POLICIES:
        replays = [
            AdmissionReplay(
                traffic=traffic, make_policy=make_policy, seed=seed, slowness=slowness
            ).play(DURATION_MS)
            for seed in seeds
        ]
        worth = " ".join(f"{replay.worth:.0f}" for replay in replays)
        for kind in replays[0].outcomes:
            outcomes = [replay.outcomes[kind] for replay in replays]
            counts = [
                sum(getattr(outcome, count) for outcome in outcomes)
                for count in ("requests", "in_time", "late", "refused", "failed")
            ]
            print(f"| {policy} | {worth} | {kind} | {' | '.join(map(str, counts))} |")
            policy = worth = ""


def main():
    """Print a table for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--loads", nargs="+", help="words in the names of loads")
    options = parser.parse_args()
    for name, traffic, slowness in LOADS:
        if not options.loads or any(word in name for word in options.loads):
            print_load(name, traffic, slowness, options.seeds)


if __name__ == "__main__":
    main()
