"""soak.__main__: Run the soak for some seeds; exit with status 1 if one fails."""

import argparse
import random
import sys
import time

from soak.cluster import FORWARDERS, REPLICAS, ZONES, Cluster, wait_until
from soak.faults import FAULTS, Faults, can_evacuate, can_remove
from soak.peers import (
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    FAULT_FREE_S,
    Operator,
    Problems,
)
from soak.strangers import Strangers
from soak.traffic import Traffic

SERVICES = ("records", "archive")
UPSTREAMS_PER_SERVICE = 3
#: Upstreams that start later with the echoes of the first ones.
COLLIDING = 3
SERVICE_HOST = "198.18.0.1"
FIRST_PORT = 443
#: Limits for the first flows after a start and for recovery after the last fault.
START_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0
#: Longer than the longest pause of the operator between revisions, 0.6 s.
PUBLISH_INTERVAL_S = 1.0
#: Time for which flows are observed after a drain must have taken effect.
OBSERVE_S = 1.0
#: Time for which open flows are observed after a late departure; forwarders reset them
#: a second after an upstream is gone.
DEPARTURE_OBSERVE_S = 2.5
#: Second octets of the loopback addresses that runs use.
LOOPBACK_BASES = range(150, 198)


def make_document(revision):
    """Return a configuration whose base routes stay; odd revisions add a route."""
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


def run(seed, *, base, seconds, kinds, replicas):
    """Run one seed; return violations, injected faults, counts and the log folder."""
    problems = Problems()
    problems.watch_threads()
    cluster = Cluster(base=base, replicas=replicas)
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
    operator = Operator(
        client=traffic.client, make_document=make_document, problems=problems, seed=seed
    )
    faults = Faults(
        cluster=cluster,
        callers=callers,
        upstreams=upstreams,
        operator=operator,
        strangers=Strangers(
            cluster=cluster,
            traffic=traffic,
            make_document=make_document,
            problems=problems,
            random=random.Random(seed),
        ),
        random=rng,
        kinds=kinds,
    )
    try:
        cluster.start()
        if not wait_until(lambda: callers.served > 20, timeout_s=START_TIMEOUT_S):
            problems.add("no flow was served after the start")
        traffic.add_colliding(COLLIDING)
        faults.run(seconds)
        check_recovery(callers, operator, problems)
        check_drain(callers, upstreams, problems)
        check_departure(traffic, problems)
        upstreams = traffic.upstreams
        evacuated = check_evacuation(callers, upstreams, operator, problems)
        check_durability(cluster, operator, problems)
        if evacuated:
            check_readmission(evacuated, cluster, traffic, operator, problems)
        for process in cluster.processes:
            if process.ended_unexpectedly():
                problems.add("process ended unexpectedly", process=process.name)
    finally:
        operator.close()
        traffic.close()
        cluster.close(keep=bool(problems.found))
    figures = {
        "opened": callers.opened,
        "served": callers.served,
        "confirmed": operator.confirmed,
        "reads": operator.reads,
        "orders": operator.orders,
    }
    return problems.found, faults.injected, figures, cluster.folder


def check_recovery(callers, operator, problems):
    """Check that flows open and the confirmed revision is read after all faults."""
    opened, expected = callers.opened, operator.confirmed
    if not wait_until(
        lambda: callers.opened > opened + 20, timeout_s=RECOVERY_TIMEOUT_S
    ):
        problems.add(
            "too few flows opened after the faults", opened=callers.opened - opened
        )
    if not wait_until(
        lambda: operator.read_once() >= expected, timeout_s=RECOVERY_TIMEOUT_S
    ):
        problems.add("confirmed revision not read after the faults", confirmed=expected)


def check_durability(cluster, operator, problems):
    """Check that the last confirmed revision survives a kill of all replicas."""
    operator.close()
    time.sleep(PUBLISH_INTERVAL_S)
    before = operator.confirmed
    operator.publish_once()
    for replica in cluster.replicas.values():
        replica.kill()
    for replica in cluster.replicas.values():
        replica.end()
        replica.start()
    expected = operator.confirmed
    if expected == before:
        problems.add("no revision confirmed after the faults", confirmed=before)
    if not wait_until(
        lambda: operator.read_once() >= expected, timeout_s=RECOVERY_TIMEOUT_S
    ):
        problems.add(
            "confirmed revision lost after a kill of all replicas", confirmed=expected
        )


def check_drain(callers, upstreams, problems):
    """Check that a draining upstream gets no new flow after the drain limit."""
    serving = [upstream for upstream in upstreams if upstream.is_serving]
    draining = next((u for u in serving if can_remove(u, serving)), None)
    if draining is None:
        return
    callers.faults_until_s = time.monotonic() - FAULT_FREE_S
    draining.drain()
    if not wait_until(lambda: draining.drain_confirmed_s, timeout_s=RECOVERY_TIMEOUT_S):
        problems.add("drain not confirmed", upstream=draining.name)
        return
    time.sleep(DRAIN_LIMIT_S + OBSERVE_S)


def check_departure(traffic, problems):
    """Check that late departures of a process don't end flows of the next one.

    The next one has the same id and is draining too. The callers record open flows
    that are reset.
    """
    serving = [upstream for upstream in traffic.upstreams if upstream.is_serving]
    earlier = next((u for u in serving if can_remove(u, serving)), None)
    if earlier is None:
        return
    kept, new = traffic.client.connect(), traffic.client.connect()
    earlier.drain()
    if not wait_until(lambda: earlier.drain_confirmed_s, timeout_s=RECOVERY_TIMEOUT_S):
        problems.add("drain not confirmed", upstream=earlier.name)
        return
    earlier.call_over(kept, "PUT")
    successor = traffic.restart(earlier)
    if not wait_until(lambda: successor.opening_packets, timeout_s=RECOVERY_TIMEOUT_S):
        problems.add("no flow opened after a restart", upstream=successor.name)
    time.sleep(OBSERVE_S)
    successor.drain()
    if not wait_until(
        lambda: successor.drain_confirmed_s, timeout_s=RECOVERY_TIMEOUT_S
    ):
        problems.add("drain not confirmed", upstream=successor.name)
    for connection in (kept, new):
        earlier.call_over(connection, "DELETE")
        connection.close()
    time.sleep(DEPARTURE_OBSERVE_S)


def check_evacuation(callers, upstreams, operator, problems):
    """Check that an evacuated zone gets no opening packet; leave it evacuated.

    Return the zone, or None if no zone may be evacuated.
    """
    for zone in list(callers.evacuated_s):
        operator.readmit(zone, callers)
    zones = [zone for zone in ZONES[:FORWARDERS] if can_evacuate(zone, upstreams)]
    if not zones:
        return None
    callers.faults_until_s = time.monotonic() - FAULT_FREE_S
    if not operator.evacuate(zones[0], callers):
        problems.add("evacuation not confirmed", zone=zones[0])
        return None
    time.sleep(EVACUATION_LIMIT_S + OBSERVE_S)
    return zones[0]


def check_readmission(zone, cluster, traffic, operator, problems):
    """Check that an evacuation holds after a restart and ends with its withdrawal."""
    callers = traffic.callers
    for forwarder in cluster.forwarders.values():
        forwarder.end()
        forwarder.start()
    opened = callers.opened
    if not wait_until(
        lambda: callers.opened > opened + 20, timeout_s=RECOVERY_TIMEOUT_S
    ):
        problems.add("too few flows opened beside an evacuated zone", zone=zone)
    if not operator.readmit(zone, callers):
        problems.add("readmission not confirmed", zone=zone)
        return
    serving = [u for u in traffic.upstreams if u.zone == zone and u.is_serving]
    before = sum(u.opening_packets for u in serving)
    if serving and not wait_until(
        lambda: sum(u.opening_packets for u in serving) > before,
        timeout_s=RECOVERY_TIMEOUT_S,
    ):
        problems.add("no flow opened in a readmitted zone", zone=zone)


def main():
    """Run seeds one after another; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "seeds", nargs="*", type=int, help="seeds; random ones if none is given"
    )
    parser.add_argument("--fresh", type=int, default=1, help="number of random seeds")
    parser.add_argument(
        "--seconds", type=float, default=12, help="time for which faults are injected"
    )
    parser.add_argument(
        "--replicas", type=int, default=REPLICAS, help="number of control replicas"
    )
    parser.add_argument(
        "--base", type=int, default=0, help="second octet of the loopback addresses"
    )
    parser.add_argument(
        "--kinds",
        nargs="+",
        choices=FAULTS,
        default=list(FAULTS),
        help="kinds of faults to draw from; a seed repeats only with the same kinds",
    )
    options = parser.parse_args()
    fresh = random.SystemRandom()
    seeds = options.seeds or [fresh.getrandbits(32) for _ in range(options.fresh)]
    first = fresh.randrange(len(LOOPBACK_BASES))
    failed = 0
    for index, seed in enumerate(seeds):
        # Sockets of the previous run may still be closing.
        base = options.base or LOOPBACK_BASES[(first + index) % len(LOOPBACK_BASES)]
        began_s = time.monotonic()
        found, injected, figures, folder = run(
            seed,
            base=base,
            seconds=options.seconds,
            kinds=options.kinds,
            replicas=options.replicas,
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
