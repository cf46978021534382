"""bench.placement: Requests late or shed by the choice of upstreams, beside naive ones.

Run `.venv/bin/python -m bench.placement`. Each of four zones has six forwarders and two
upstreams of two slots, with 40 requests a second; zone a differs as the row says. A
slot bears 31 requests a second; 20 s are played, the first 4 s aren't counted.
"""

import argparse
import itertools
import random

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


def placement(load, seed):
    """Return the replay of a load."""
    _, per_s, factors = load
    own = ZoneLoad(name="zone-a", forwarders=6, per_s=per_s, upstreams=factors)
    others = OTHERS
    if load is LOADS[-1]:
        others = [
            ZoneLoad(name=zone.name, forwarders=6, per_s=per_s, upstreams=[1, 1])
            for zone in OTHERS
        ]
    return Placement(zones=[own, *others], seed=seed)


def replace_choice(pool, choose):
    """Let a pool choose among all ready upstreams in a naive way."""

    class NaivePool(type(pool)):
        __slots__ = ()

        def choose(self, service, now_ms, tried=(), **_sources):
            """Return an upstream that wasn't tried, if there is one."""
            upstreams = [one for one in self.all() if one not in tried]
            return choose(upstreams or list(self.all()), now_ms)

    pool.__class__ = NaivePool


def play(load, choose=None):
    """Return the shares of bad and of crossing requests, as text."""
    outcomes = []
    for seed in SEEDS:
        replay = placement(load, seed)
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
    argparse.ArgumentParser(description=__doc__).parse_args()
    names = [name for name, _ in NAIVE]
    header = ["zone a", *names, "load and zone"]
    print(f"| {' | '.join(header)} |")
    print("| --- " * len(header) + "|")
    for load in LOADS:
        cells = [load[0], *(play(load, choose) for _, choose in NAIVE)]
        cells.append(play(load))
        print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
