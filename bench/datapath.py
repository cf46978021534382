"""bench.datapath: Throughput of one entry, compared with a bare relay.

Run `.venv/bin/python -m bench.datapath`. The loaders keep a window of datagrams
in flight, so the measured process is never idle. `us` is its processor time for one
round trip. Entry and relay are measured in the same run.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time

from demo.cluster import Cluster, wait_until

SERVICE = "records"
PORT = 7001
UPSTREAMS = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid):
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Bench:
    """Run a cluster with one entry and a relay, and measure both."""

    def __init__(self, *, folder, options):
        self._options = options
        self.cluster = Cluster(folder=folder, entries=1, replicas=1)
        self.relay_address = f"{self.cluster.host(8, 1)}:7001"
        self.entry_address = f"{self.cluster.host(2, 1)}:{PORT}"

    def start(self):
        """Start relay, echo, control replica, entry, fabric and upstreams."""
        echo = f"{self.cluster.host(8, 2)}:7001"
        self.cluster.start("echo", "bench.relay", echo)
        self.cluster.start("relay", "bench.relay", self.relay_address, "--target", echo)
        self.cluster.start_replica("control-1")
        self.cluster.start_entry("entry-1")
        self.cluster.start_fabric([PORT])
        for number in range(1, UPSTREAMS + 1):
            self.cluster.start_upstream(
                f"upstream-{number}",
                number,
                SERVICE,
                *("--connections", "1000000", "--slots", "64", "--work-ms", "0"),
                *("--runs", "", "--push-ms", "0"),
            )
        host, port = self.cluster.service_address(PORT)
        planned = wait_until(
            lambda: self._operate("plan", "create-service", SERVICE, f"{host}:{port}")
        )
        self._operate("confirm", planned["plan_id"])

    def _operate(self, *arguments):
        done = self.cluster.operate("--json", *arguments)
        return json.loads(done.stdout) if done.returncode == 0 else None

    def load(self, kind, address, name):
        """Return round trips per second, and processor microseconds for each."""
        pid = self.cluster.processes[name].pid
        loaders = [
            subprocess.Popen(
                [
                    *(sys.executable, "-m", "bench.loader", kind, address),
                    *("--seconds", str(self._options.seconds), "--seed", str(seed)),
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
            for seed in range(self._options.loaders)
        ]
        time.sleep(self._options.seconds * 0.25)
        began, began_s = processor_s(pid), time.monotonic()
        time.sleep(self._options.seconds * 0.5)
        busy_s, window_s = processor_s(pid) - began, time.monotonic() - began_s
        done = [json.loads(loader.communicate()[0]) for loader in loaders]
        rate = sum(item["count"] / item["seconds"] for item in done)
        return {
            "kind": kind,
            "per_s": round(rate),
            "busy": round(busy_s / window_s, 2),
            "us": round(1e6 * busy_s / window_s / rate, 1) if rate else None,
            "refused": sum(item["refused"] for item in done),
            "stalls": sum(item["stalls"] for item in done),
        }

    def run(self):
        """Measure the relay and each kind of datagram once."""
        baseline = self.load("relay", self.relay_address, "relay")
        rows = [baseline]
        for kind in ("keepalive", "request", "open"):
            row = self.load(kind, self.entry_address, "entry-1")
            row["rate_ratio"] = round(row["per_s"] / baseline["per_s"], 3)
            row["us_ratio"] = round(row["us"] / baseline["us"], 1)
            rows.append(row)
        rows[-1]["rss_mb"] = round(resident_mb(self.cluster.processes["entry-1"].pid))
        return rows


def main():
    """Run the measurement some times and print a line for each kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--loaders", type=int, default=3)
    options = parser.parse_args()
    for number in range(options.runs):
        with tempfile.TemporaryDirectory() as folder:
            bench = Bench(folder=folder, options=options)
            try:
                bench.start()
                time.sleep(1)
                for row in bench.run():
                    print(json.dumps({"run": number + 1, **row}), flush=True)
            finally:
                bench.cluster.close()


if __name__ == "__main__":
    main()
