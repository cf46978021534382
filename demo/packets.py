"""demo.packets: Run opaque packets through forwarders on loopback."""

import subprocess
import sys
import time

from demo.cluster import ROOT, default_base
from soak.cluster import STREAM_PORT, Cluster, wait_until
from soak.peers import Problems
from soak.traffic import Traffic

__all__ = ["run"]

SERVICE_HOST = "198.18.0.1"
#: Services by route ports.
ROUTES = {443: "records", 444: "archive"}
UPSTREAMS_PER_SERVICE = 2
#: Flows to open before, and again after, a forwarder is killed and started.
FLOWS_PER_PHASE = 50
START_TIMEOUT_S = 20.0


def publication(revision):
    """Return the text of the file that the operator publishes."""
    lines = ["[publication]", f"revision = {revision}"]
    for port, service in ROUTES.items():
        lines += [f"[{service}]", f"address = {SERVICE_HOST}:{port}"]
        lines += [f"services = {service}"]
    return "\n".join(lines) + "\n"


def publish(cluster):
    """Publish the routes by the command-line tool; return whether that succeeded."""
    path = cluster.folder / "routes.ini"
    path.write_text(publication(1), encoding="utf-8")
    control = ",".join(f"{host}={host}:{STREAM_PORT}" for host in cluster.hosts)
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


def show_where(cluster, callers):
    """Ask all forwarders where a flow would go; return whether all answered."""
    host = callers.address[0]
    port = next(iter(ROUTES))
    forwarders = ",".join(f"{name}:{STREAM_PORT}" for name in cluster.forwarders)
    done = subprocess.run(
        [sys.executable, "-m", "knapweeddeal.cmdline", "where", f"{host}:1105"]
        + ["--route", f"{SERVICE_HOST}:{port}", "--at", forwarders],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(f"where:\n{(done.stdout + done.stderr).rstrip()}")
    return done.returncode == 0


def run():
    """Run, report, and return whether all guarantees held."""
    began_s = time.monotonic()
    problems = Problems()
    problems.watch_threads()
    cluster = Cluster(base=default_base(), fault_injection=False)
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
        done = wait_until(lambda: publish(cluster), timeout_s=START_TIMEOUT_S)
        done = done and _run_traffic(cluster, callers)
        done = done and show_where(cluster, callers)
    finally:
        traffic.close()
        cluster.close(keep=False)
    print(f"packets: {callers.opened} flows opened, {callers.served} answers")
    print(f"broken promises: {problems.found or 'none'}")
    print(f"time: {time.monotonic() - began_s:.1f} s")
    return done and not problems.found


def _run_traffic(cluster, callers):
    """Open flows, kill and start a forwarder; return whether enough flows opened."""
    if not wait_until(
        lambda: callers.opened >= FLOWS_PER_PHASE, timeout_s=START_TIMEOUT_S
    ):
        return False
    forwarder = next(iter(cluster.forwarders.values()))
    forwarder.end()
    forwarder.start()
    target = callers.opened + FLOWS_PER_PHASE
    return wait_until(lambda: callers.opened >= target, timeout_s=START_TIMEOUT_S)
