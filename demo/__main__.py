"""demo.__main__: Run requests and packets through a system on loopback."""

import json
import logging
import random
import sys
import tempfile
import time

import curio

from demo import packets
from demo.cluster import Cluster, wait_until
from knapweeddeal.caller import ANSWER, open_flow

#: Services of the run and their ports.
SERVICES = {"records": 7001, "archive": 7002}
UPSTREAMS_PER_SERVICE = 2
FLOWS_PER_SERVICE = 5
REQUESTS_PER_FLOW = 10
LONG_ANSWER_BYTES = 5_000


class Report:
    """Count the results of the requests of a run."""

    def __init__(self):
        self.answered = 0
        self.wrong = 0
        self.other = []
        self.pushes = 0

    def record(self, service, result, body):
        """Count the result of one request."""
        if result.kind != ANSWER:
            self.other.append(f"{result.kind}:{result.reason}")
        elif result.body.startswith(b"%s:%s:" % (service.encode(), body)):
            self.answered += 1
        else:
            self.wrong += 1


def start(cluster):
    """Start every process of the run."""
    for name in cluster.replicas:
        cluster.start_replica(name)
    for name in cluster.entries:
        cluster.start_entry(name)
    cluster.start_fabric(SERVICES.values())
    number = 0
    for service in SERVICES:
        for _ in range(UPSTREAMS_PER_SERVICE):
            number += 1
            cluster.start_upstream(f"upstream-{number}", number, service)


def configure(cluster):
    """Create the services by plan and confirm; print both."""
    for service, port in SERVICES.items():
        address = f"{cluster.host(9, 1)}:{port}"

        def plan(service=service, address=address):
            done = cluster.operate("--json", "plan", "create-service", service, address)
            return json.loads(done.stdout) if done.returncode == 0 else None

        planned = wait_until(plan)
        print(f"plan {planned['plan_id']}: {'; '.join(planned['differences'])}")
        done = cluster.operate("--json", "confirm", planned["plan_id"])
        print(f"confirmed: version {json.loads(done.stdout)['version']}")


def applied_everywhere(cluster):
    """Return the status lines if every entry applied the last version, or None."""
    status = json.loads(cluster.operate("--json", "status").stdout)
    versions = [entry["applied_version"] for entry in status["entries"]]
    if versions != [status["version"]] * len(cluster.entries):
        return None
    return cluster.operate("status").stdout.strip()


async def run_flow(service, address, rng, report):
    """Open a flow, send requests on it, the last with a long answer; await a push."""
    flow = await open_flow(service, address, rng=rng, deadline_ms=15_000)
    for number in range(REQUESTS_PER_FLOW):
        body = b"request %d" % number
        if number == REQUESTS_PER_FLOW - 1:
            body = b"long %d" % LONG_ANSWER_BYTES
        report.record(service, await flow.request(body), body)
    push = await curio.timeout_after(5, flow.pushes.get)
    report.pushes += push.body == service.encode()
    await flow.close()


async def run_flows(cluster, report):
    """Run several flows to each service concurrently."""
    rng = random.Random(1)
    async with curio.TaskGroup() as tasks:
        for service, port in SERVICES.items():
            for _ in range(FLOWS_PER_SERVICE):
                address = cluster.service_address(port)
                await tasks.spawn(run_flow, service, address, rng, report)


def run():
    """Run, report, and return whether all answers were complete and pushes arrived."""
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    began_s = time.monotonic()
    report = Report()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder=folder)
        try:
            start(cluster)
            configure(cluster)
            curio.run(run_flows, cluster, report)
            print(wait_until(lambda: applied_everywhere(cluster)))
        finally:
            cluster.close()
    flows = FLOWS_PER_SERVICE * len(SERVICES)
    expected = flows * REQUESTS_PER_FLOW
    print(f"flows: {flows}, each on {len(cluster.entries)} entries")
    print(f"whole answers: {report.answered} of {expected}, wrong: {report.wrong}")
    print(f"other outcomes: {report.other or 'none'}")
    print(f"flows that got a push: {report.pushes} of {flows}")
    print(f"time: {time.monotonic() - began_s:.1f} s")
    return report.answered == expected and report.pushes == flows


def main():
    """Run flows of requests, then opaque packets; return 0 if both succeeded."""
    passed = run()
    print()
    passed = packets.run() and passed
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
