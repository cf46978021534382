"""bench.placement: Requests late or shed by the choice of upstreams, beside naive ones.

Run `.venv/bin/python -m bench.placement`. Each of four zones has six forwarders and two
upstreams of two slots, with 40 requests a second; zone a differs as the row says. A
slot bears 28 requests a second; 20 s are played, the first 4 s aren't counted. The last
column adds the load of other forwarders, which two replicas of each zone sum and push.
With `--large`, zones have 44 forwarders and 20 upstreams.
"""

import argparse
import itertools
import random

from bench.loadexchange import LoadExchange
from tests.placementreplay import Placement, ZoneLoad

DURATION_MS, COUNTED_FROM_MS = 20_000, 4_000
SEEDS = (1, 2, 3)
OTHERS = [
    ZoneLoad(name=f"zone-{letter}", forwarders=6, per_s=40, upstreams=[1, 1])
    for letter in "bcd"
]
#: Requests a second and factors of the upstreams in zone a.
LOADS = (
    ("calm", 40, [1, 1]),
    ("a slow upstream (x 8)", 60, [8, 1]),
    ("a crowded zone", 150, [1, 1]),
    ("a single upstream", 70, [1]),
    ("burst of 1.7 everywhere", 68, [1, 1]),
)


def choose_random(rng):
    """Return a choice of any upstream."""
    return lambda upstreams, now_ms: rng.choice(upstreams)


def choose_in_turn(rng):
    """Return a choice of one after another, from a random one on."""
    numbers = itertools.count(rng.randrange(100))
    return lambda upstreams, now_ms: upstreams[next(numbers) % len(upstreams)]


def choose_of_two(rng):
    """Return a choice of the less loaded of two."""
    return lambda upstreams, now_ms: min(
        rng.sample(upstreams, 2), key=lambda upstream: upstream.score(now_ms)
    )


NAIVE = (
    ("random", choose_random),
    ("round robin", choose_in_turn),
    ("two choices", choose_of_two),
)


LARGE_OTHERS = [
    ZoneLoad(name=f"zone-{letter}", forwarders=44, per_s=190, upstreams=[1] * 20)
    for letter in "bc"
]
LARGE_LOADS = (
    ("calm", 190, [1] * 20, 1),
    ("a crowded zone", 900, [1] * 20, 1),
    ("4 of 20 upstreams slow (x 5)", 190, [5] * 4 + [1] * 16, 1),
    ("the same, 8 requests a flow", 190, [5] * 4 + [1] * 16, 8),
)


def large_placement(load, seed, exchange):
    """Return the replay of a load with 133 forwarders."""
    _, per_s, factors, requests_per_flow = load
    own = ZoneLoad(name="zone-a", forwarders=45, per_s=per_s, upstreams=factors)
    return Placement(
        zones=[own, *LARGE_OTHERS],
        seed=seed,
        exchange=exchange,
        requests_per_flow=requests_per_flow,
    )


def placement(load, seed, exchange=None):
    """Return the replay of a load."""
    if load in LARGE_LOADS:
        return large_placement(load, seed, exchange)
    _, per_s, factors = load
    own = ZoneLoad(name="zone-a", forwarders=6, per_s=per_s, upstreams=factors)
    others = OTHERS
    if load is LOADS[-1]:
        others = [
            ZoneLoad(name=zone.name, forwarders=6, per_s=per_s, upstreams=[1, 1])
            for zone in OTHERS
        ]
    return Placement(zones=[own, *others], seed=seed, exchange=exchange)


def replace_choice(pool, choose):
    """Let a pool choose among all ready upstreams in a naive way."""

    class NaivePool(type(pool)):
        __slots__ = ()

        def choose(self, service, now_ms, tried=(), **_sources):
            """Return an upstream that wasn't tried, if there is one."""
            upstreams = [one for one in self.all() if one not in tried]
            return choose(upstreams or list(self.all()), now_ms)

    pool.__class__ = NaivePool


def play(load, choose=None, *, shared=False):
    """Return the shares of bad and of crossing requests, as text."""
    outcomes = []
    for seed in SEEDS[:1] if load in LARGE_LOADS else SEEDS:
        exchange = LoadExchange(seed=seed) if shared else None
        replay = placement(load, seed, exchange)
        if choose is not None:
            for pool in replay.pools:
                replace_choice(pool, choose(random.Random(seed)))
        outcomes.append(
            replay.play(duration_ms=DURATION_MS, counted_from_ms=COUNTED_FROM_MS)
        )
    requests = sum(outcome.requests for outcome in outcomes)
    bad = sum(outcome.late + outcome.shed for outcome in outcomes)
    crossed = sum(outcome.crossed for outcome in outcomes)
    return f"{100 * bad / requests:.1f} % ({100 * crossed / requests:.0f} %)"


def main():
    """Print a row for each load: late or shed, and in brackets across zones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--large", action="store_true")
    options = parser.parse_args()
    names = [name for name, _ in NAIVE]
    header = ["zone a", *names, "load and zone", "with others' load"]
    print(f"| {' | '.join(header)} |")
    print("| --- " * len(header) + "|")
    for load in LARGE_LOADS if options.large else LOADS:
        cells = [load[0], *(play(load, choose) for _, choose in NAIVE)]
        cells += [play(load), play(load, shared=True)]
        print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
