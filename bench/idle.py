"""bench.idle: Processor time of daemons without flows."""

import json
import os
import tempfile
import time
from pathlib import Path

from bench.tables import print_head, print_table, spread
from demo.cluster import Cluster, wait_until

#: Services, their ports and the number of their upstreams.
SERVICES = (("records", 7001, 7), ("archive", 7002, 4))
SETTLE_S = 4
MEASURE_S = 10
RUNS = 3


def start(cluster):
    """Start every process and create the services."""
    for name in cluster.replicas:
        cluster.start_replica(name)
    for name in cluster.entries:
        cluster.start_entry(name)
    cluster.start_fabric([port for _, port, _ in SERVICES])
    number = 0
    for service, port, upstreams in SERVICES:
        for _ in range(upstreams):
            number += 1
            cluster.start_upstream(f"upstream-{number}", number, service)
        plan = wait_until(lambda: plan_service(cluster, service, port))  # noqa: B023
        cluster.operate("confirm", plan["plan_id"])


def plan_service(cluster, service, port):
    """Return the plan that creates a service, or None."""
    address = f"{cluster.host(9, 1)}:{port}"
    done = cluster.operate("--json", "plan", "create-service", service, address)
    return json.loads(done.stdout) if done.returncode == 0 else None


def processor_s(process):
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def measure():
    """Return the share of a core that each daemon uses, by name."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder=folder)
        try:
            start(cluster)
            time.sleep(SETTLE_S)
            daemons = {
                name: cluster.processes[name]
                for name in (*cluster.entries, *cluster.replicas)
            }
            before_s = {name: processor_s(daemon) for name, daemon in daemons.items()}
            time.sleep(MEASURE_S)
            return {
                name: (processor_s(daemon) - before_s[name]) / MEASURE_S
                for name, daemon in daemons.items()
            }
        finally:
            cluster.close()


def main():
    """Print the median and range of the shares by role."""
    print_head("python -m bench.idle")
    runs = [measure() for _ in range(RUNS)]
    rows = [row_of(role, runs) for role in ("entry", "control")]
    title = f"Processor time at rest, load average {os.getloadavg()[0]:.1f}"
    print_table(title, ("role", "readings", "per cent of a core"), rows)


def row_of(role, runs):
    """Return the table row of a role."""
    names = [name for name in runs[0] if name.startswith(role)]
    shares = [100 * run[name] for run in runs for name in names]
    return (role, len(shares), spread(shares))


if __name__ == "__main__":
    main()
