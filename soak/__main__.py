"""soak.__main__: Run the soak for some seeds; the exit status counts what was found."""

import argparse
import random
import sys
import time

from soak.cluster import Cluster, wait_until
from soak.faults import FAULTS, Faults, can_spare
from soak.peers import CALM_S, DRAIN_S, Operator, Problems
from soak.traffic import Traffic

SERVICES = ("records", "archive")
UPSTREAMS_PER_SERVICE = 3
SERVICE_HOST = "198.18.0.1"
FIRST_PORT = 443
#: Time for the system to start, and to serve after the last fault.
READY_S = 20.0
RECOVER_S = 12.0
#: Longest pause of the operator between revisions, and some more.
PUBLISH_GAP_S = 1.0
#: Time for which flows are watched after a departure must be in force.
WATCH_S = 1.0
#: Second numbers of the loopback addresses of runs.
BASES = range(150, 198)


def document(revision):
    """Return an operator's document: the routes stay, another one comes and goes."""
    ports = {FIRST_PORT + n: service for n, service in enumerate(SERVICES)}
    if revision % 2:
        ports[8_000 + revision % 50] = SERVICES[0]
    return {
        "version": revision,
        "routes": [
            {
                "name": f"r-{port}",
                "host": SERVICE_HOST,
                "pathPrefix": f"/{port}/",
                "type": "safe",
                "timeoutMs": 1_000,
                "service": service,
            }
            for port, service in ports.items()
        ],
        "services": [{"name": name} for name in SERVICES],
        "limits": {},
    }


def run(seed, *, base, seconds, kinds):
    """Run one seed; return what was found, faults and figures."""
    problems = Problems()
    cluster = Cluster(base=base)
    rng = random.Random(seed)
    traffic = Traffic(
        cluster=cluster,
        routes={FIRST_PORT + n: service for n, service in enumerate(SERVICES)},
        service_host=SERVICE_HOST,
        per_service=UPSTREAMS_PER_SERVICE,
        problems=problems,
        seed=seed,
    )
    callers, upstreams = traffic.callers, traffic.upstreams
    faults = Faults(
        cluster=cluster, callers=callers, upstreams=upstreams, random=rng, kinds=kinds
    )
    operator = Operator(
        calls=traffic.calls, make=document, problems=problems, seed=seed
    )
    try:
        cluster.start()
        if not wait_until(lambda: callers.served > 20, timeout_s=READY_S):
            problems.add("never served")
        faults.run(seconds)
        check_recovery(callers, operator, problems)
        check_departure(callers, upstreams, problems)
        check_kept(cluster, operator, problems)
        for process in cluster.processes:
            if process.ended_by_itself():
                problems.add("ended by itself", process=process.name)
    finally:
        operator.close()
        traffic.close()
        cluster.close(keep=bool(problems.found))
    figures = {
        "opened": callers.opened,
        "served": callers.served,
        "confirmed": operator.confirmed,
        "reads": operator.reads,
    }
    return problems.found, faults.injected, figures, cluster.folder


def check_recovery(callers, operator, problems):
    """Check that flows open and what was confirmed is read, soon after all faults."""
    opened, wanted = callers.opened, operator.confirmed
    if not wait_until(lambda: callers.opened > opened + 20, timeout_s=RECOVER_S):
        problems.add("doesn't serve after faults", opened=callers.opened - opened)
    if not wait_until(lambda: operator.read_once() >= wanted, timeout_s=RECOVER_S):
        problems.add("not read after faults", confirmed=wanted)


def check_kept(cluster, operator, problems):
    """Check that what is confirmed last survives a kill of all replicas at once."""
    operator.close()
    time.sleep(PUBLISH_GAP_S)
    before = operator.confirmed
    operator.publish_once()
    for replica in cluster.replicas.values():
        replica.kill()
    for replica in cluster.replicas.values():
        replica.end()
        replica.start()
    wanted = operator.confirmed
    if wanted == before:
        problems.add("not confirmed after faults", confirmed=before)
    if not wait_until(lambda: operator.read_once() >= wanted, timeout_s=RECOVER_S):
        problems.add("lost after a kill of all", confirmed=wanted)


def check_departure(callers, upstreams, problems):
    """Check that an upstream which leaves now gets no new flow after a while."""
    staying = [upstream for upstream in upstreams if upstream.is_staying]
    leaving = next((u for u in staying if can_spare(u, staying)), None)
    if leaving is None:
        return
    callers.faults_until_s = time.monotonic() - CALM_S
    leaving.drain()
    if not wait_until(lambda: leaving.drained_s, timeout_s=RECOVER_S):
        problems.add("departure isn't confirmed", upstream=leaving.name)
        return
    time.sleep(DRAIN_S + WATCH_S)


def main():
    """Run seeds one after another."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int, help="seeds; fresh ones if none")
    parser.add_argument("--fresh", type=int, default=1, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=12, help="time of faults")
    parser.add_argument(
        "--base", type=int, default=0, help="second number of addresses"
    )
    parser.add_argument(
        "--kinds",
        nargs="+",
        choices=FAULTS,
        default=list(FAULTS),
        help="faults to draw from; a seed means the same with the same ones",
    )
    options = parser.parse_args()
    fresh = random.SystemRandom()
    seeds = options.seeds or [fresh.getrandbits(32) for _ in range(options.fresh)]
    first = fresh.randrange(len(BASES))
    failed = 0
    for place, seed in enumerate(seeds):
        # Sockets of the run before may still be closing.
        base = options.base or BASES[(first + place) % len(BASES)]
        began_s = time.monotonic()
        found, injected, figures, folder = run(
            seed, base=base, seconds=options.seconds, kinds=options.kinds
        )
        spent_s = time.monotonic() - began_s
        verdict = "FAILED" if found else "passed"
        print(f"seed {seed}: {verdict} in {spent_s:.0f} s, {figures}", flush=True)
        if found:
            failed += 1
            print("  faults:", ", ".join(injected))
            print("  logs:", folder)
            for line in found:
                print(" ", line)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
