"""demo.packets: Run opaque packets through forwarders on loopback."""

import subprocess
import sys
import time

from demo.cluster import ROOT, default_base
from soak.cluster import STREAMS, Cluster, wait_until
from soak.peers import Problems
from soak.traffic import Traffic

__all__ = ["run"]

SERVICE_HOST = "198.18.0.1"
#: Services by the ports of their routes.
ROUTES = {443: "records", 444: "archive"}
UPSTREAMS_PER_SERVICE = 2
#: Flows that are opened while a forwarder is killed and started again.
WANTED_FLOWS = 50
START_S = 20.0


def publication(revision):
    """Return the operator's file."""
    lines = ["[publication]", f"revision = {revision}"]
    for port, service in ROUTES.items():
        lines += [f"[{service}]", f"address = {SERVICE_HOST}:{port}"]
        lines += [f"services = {service}"]
    return "\n".join(lines) + "\n"


def publish(cluster):
    """Put the routes in force by the command-line tool; return whether it worked."""
    path = cluster.folder / "routes.ini"
    path.write_text(publication(1), encoding="utf-8")
    control = ",".join(f"{host}={host}:{STREAMS}" for host in cluster.hosts)
    done = subprocess.run(
        [sys.executable, "-m", "knapweeddeal.cmdline"]
        + ["--control", control, "publish", path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(f"publish: {(done.stdout or done.stderr).strip()}")
    return done.returncode == 0


def run():
    """Run, report, and return whether all was as promised."""
    began_s = time.monotonic()
    problems = Problems()
    cluster = Cluster(base=default_base(), faulty=False)
    traffic = Traffic(
        cluster=cluster,
        routes=ROUTES,
        service_host=SERVICE_HOST,
        per_service=UPSTREAMS_PER_SERVICE,
        problems=problems,
        seed=1,
    )
    callers = traffic.callers
    try:
        cluster.start()
        done = wait_until(lambda: publish(cluster), timeout_s=START_S)
        done = done and _use(cluster, callers)
    finally:
        traffic.close()
        cluster.close(keep=False)
    print(f"packets: {callers.opened} flows opened, {callers.served} answers")
    print(f"broken promises: {problems.found or 'none'}")
    print(f"time: {time.monotonic() - began_s:.1f} s")
    return done and not problems.found


def _use(cluster, callers):
    """Open flows while a forwarder is killed; return whether enough were opened."""
    if not wait_until(lambda: callers.opened >= WANTED_FLOWS, timeout_s=START_S):
        return False
    forwarder = next(iter(cluster.forwarders.values()))
    forwarder.end()
    forwarder.start()
    wanted = callers.opened + WANTED_FLOWS
    return wait_until(lambda: callers.opened >= wanted, timeout_s=START_S)
