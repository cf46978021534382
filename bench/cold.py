"""bench.cold: Requests late or shed by the penalty of cold upstreams.

Run `.venv/bin/python -m bench.cold`. Each of three zones has six forwarders and eight
upstreams of two slots; a quarter of zone a's has just returned cold, and its requests
take some times as long. Services state no rate. 2 s are played, the time for which an
upstream is cold; the rows give the use of the slots of a zone.
"""

import argparse
from unittest import mock

from knapweeddeal import packetupstreams
from tests.placementreplay import SLOTS, WORK_MS, Placement, ZoneLoad

COLD_MS, UPSTREAMS, COLD = 2_000, 8, 2
SEEDS = range(8)
USES = (0.3, 0.6, 0.85, 1.1, 2.0)
FACTORS = (1.0, 2.0, 4.0)
PENALTIES = (0.0, 0.5, 1.0, 2.0, 4.0)
#: Mean of the random factor on the work of a request in the replay.
MEAN_FACTOR = 1.133


def play(use, factor, penalty):
    """Return the share of late or shed requests in percent."""
    per_s = use * UPSTREAMS * SLOTS * 1_000 / WORK_MS / MEAN_FACTOR
    requests = bad = 0
    for seed in SEEDS:
        factors = [factor] * COLD + [1.0] * (UPSTREAMS - COLD)
        zones = [
            ZoneLoad(
                name=f"zone-{letter}",
                forwarders=6,
                per_s=per_s,
                upstreams=factors if letter == "a" else [1.0] * UPSTREAMS,
            )
            for letter in "abc"
        ]
        with mock.patch.object(packetupstreams, "COLD_PENALTY", penalty):
            replay = Placement(zones=zones, seed=seed)
            _mark_cold(replay)
            outcome = replay.play(duration_ms=COLD_MS)
        requests += outcome.requests
        bad += outcome.late + outcome.shed
    return 100 * bad / requests


def _mark_cold(replay):
    """Let the forwarders know which upstreams are cold."""
    for pool in replay.pools:
        cold = [one.state.replace(cold_ms=COLD_MS) for one in list(pool.all())[:COLD]]
        pool.apply_states(cold, 0, current=True)


def main():
    """Print a row for each use and slowness, a column for each penalty."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    header = ["use", "cold takes", *(f"penalty {penalty}" for penalty in PENALTIES)]
    print(f"| {' | '.join(header)} |")
    print("| --- " * len(header) + "|")
    for use in USES:
        for factor in FACTORS:
            cells = [f"{play(use, factor, penalty):.2f} %" for penalty in PENALTIES]
            row = [f"{use}", f"x {factor:g}", *cells]
            print(f"| {' | '.join(row)} |", flush=True)


if __name__ == "__main__":
    main()
