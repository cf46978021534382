"""bench.policy: The balancing policy and other strategies under load and faults.

Run as `python -m bench.policy [SCENARIO ...]`; without names all run.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from bench.choosers import CHOOSERS
from bench.scenarios import SCENARIOS
from bench.tables import print_head, print_table, spread
from bench.targets import TARGETS
from bench.world import Setup, Size, World

__all__ = ["COLUMNS", "FAR_CALLERS", "NEAR_CALLERS", "SIZES", "results"]

SEEDS = (1, 2, 3, 4, 5)
#: Trials that run at the same time.
WORKERS = 4

FAR_CALLERS = Size(
    name="callers-3ms-7", entries=12, upstreams=7, max_connections=4_000, caller_ms=3
)
NEAR_CALLERS = Size(
    name="callers-1ms-7", entries=19, upstreams=7, max_connections=4_200, caller_ms=1
)
SIZES = {
    size.name: size
    for size in (
        FAR_CALLERS,
        NEAR_CALLERS,
        Size(
            name="callers-3ms-4",
            entries=12,
            upstreams=4,
            max_connections=4_000,
            caller_ms=3,
        ),
        Size(
            name="callers-1ms-4",
            entries=19,
            upstreams=4,
            max_connections=4_200,
            caller_ms=1,
        ),
    )
}

#: Columns, and the functions that read them from a trial's figures.
COLUMNS = {
    "peak now": lambda f: f.peak,
    "peak 5 s": lambda f: f.window_peak,
    "conn peak": lambda f: f.connection_peak,
    "p50 ms": lambda f: f.wait_ms(50),
    "p99 ms": lambda f: f.wait_ms(99),
    "p99.9 ms": lambda f: f.wait_ms(99.9),
    "refused": lambda f: f.refused,
    "stalled": lambda f: f.stalled,
    "asks/open": lambda f: f.open_attempts / max(1, f.opens),
    "sent/request": lambda f: f.forwards_measured / max(1, f.requests),
    "in time": lambda f: f.share_in_time,
    "late": lambda f: f.late,
    "broken planned": lambda f: f.broken_planned,
    "broken unplanned": lambda f: f.broken_unplanned,
    "unjournalled": lambda f: f.not_in_journal,
}


def run_trial(size_name, scenario_name, chooser_name, seed):
    """Run one trial and return its columns."""
    setup = Setup(
        size=SIZES[size_name],
        chooser=CHOOSERS[chooser_name],
        seed=seed,
        **SCENARIOS[scenario_name].overrides,
    )
    figures = World(setup).run()
    return {name: float(read(figures)) for name, read in COLUMNS.items()}


def results(size_names, scenario_names, chooser_names, seeds=SEEDS):
    """Return the columns of all trials by (size, scenario, chooser)."""
    with ProcessPoolExecutor(WORKERS) as workers:
        running = {
            (size, scenario, chooser): [
                workers.submit(run_trial, size, scenario, chooser, seed)
                for seed in seeds
            ]
            for size in size_names
            for scenario in scenario_names
            for chooser in chooser_names
        }
        return {
            name: [future.result() for future in futures]
            for name, futures in running.items()
        }


def print_results(trials_by_setup):
    """Print a table for each size and scenario."""
    groups = dict.fromkeys((size, scenario) for size, scenario, _ in trials_by_setup)
    for size, scenario in groups:
        rows = [
            [
                chooser,
                *(spread([trial[column] for trial in trials]) for column in COLUMNS),
            ]
            for (a, b, chooser), trials in trials_by_setup.items()
            if (a, b) == (size, scenario)
        ]
        title = f"{size}, {scenario}: {SCENARIOS[scenario].text}"
        print_table(title, ["chooser", *COLUMNS], rows)


def target_rows(trials_by_setup):
    """Yield a row for each target and size that was measured."""
    for (size, scenario, chooser), trials in trials_by_setup.items():
        if chooser != "policy":
            continue
        for target in TARGETS:
            if scenario in target.scenarios:
                perfect = trials_by_setup[size, scenario, "perfect, both"]
                yield target.row(size, scenario, trials, perfect)


def main():
    """Run trials and print their tables."""
    started_s = time.monotonic()
    names = [name for name in sys.argv[1:] if name in SCENARIOS] or list(SCENARIOS)
    print_head("python -m bench.policy")
    print(f"seeds {SEEDS}; cells are median (range) over seeds")
    sizes = [FAR_CALLERS.name, NEAR_CALLERS.name]
    trials_by_setup = results(sizes, names, CHOOSERS)
    print_results(trials_by_setup)
    print_table(
        "Targets, on the worst seed",
        ["target", "size", "scenario", "limit", "found", "met"],
        target_rows(trials_by_setup),
    )
    small_sizes = [name for name in SIZES if name not in sizes]
    fault_free = [name for name in names if name in ("even", "heavy")]
    print_results(results(small_sizes, fault_free, CHOOSERS))
    print(f"\n{time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
