"""Another writer sends a status report that takes very long to refuse."""

import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

from lab import (  # noqa: E402
    BOUNDS,
    CONTROL_PORT,
    CannotRunError,
    Lab,
    call,
    call_following,
    document,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("127.18.0.1", 443)
SERVICE = "records"
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
#: Labels in the report of the other writer; it has about 1.6 MB.
LABELS = 80_000
#: Time for which the operator reads the config back.
READ_BACK_S = 2 * BOUNDS["contactMs"] / 1000
FIRST_BACKOFF_S = 0.1


def case(record):
    """Return what the operator and the daemons broke."""
    with Lab(record=record, zones=ZONES) as lab:
        config = document(1, {ROUTE: SERVICE}, [SERVICE])
        lab.start(config)
        lab.backend(
            name="i-7f3a9101",
            service=SERVICE,
            zone=ZONES[0],
            host=lab.cluster.address(4, 1),
        )
        lab.client()
        if not read_back(lab, record, config, 2.0):
            raise CannotRunError("the config can't be read before the report")
        report(lab, record)
        # Longer than contactMs after the report.
        time.sleep(BOUNDS["contactMs"] / 1000)
        broken = []
        if not read_back(lab, record, config, READ_BACK_S):
            broken.append(f"CONFIG: read back for {READ_BACK_S} s, it doesn't come")
        for daemon in lab.cluster.cores:
            if daemon.has_ended:
                raise CannotRunError(f"{daemon.name} has ended")
        return broken


def report(lab, record):
    """Send the report to one daemon after the other until one answers."""
    labels = [f'"label-{number:06d}": ""' for number in range(LABELS)]
    if TROUBLE:
        # The last key comes twice.
        labels.append(labels[-1])
    fields = {"service": "elsewhere", "state": "ready", "seq": 1}
    body = f'{json.dumps(fields)[:-1]}, "labels": {{{", ".join(labels)}}}}}'.encode()
    pause_s = FIRST_BACKOFF_S
    for host in lab.cores:
        status, _, _ = call(host, CONTROL_PORT, "PUT", "/-/instances/i-5", body)
        record.write("report", at=host, bytes=len(body), status=status or "none in 1 s")
        if status:
            return
        time.sleep(pause_s)
        pause_s *= 2


def read_back(lab, record, config, duration_s):
    """Read the config at all daemons; return whether it comes within a time."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        for host in lab.cores:
            status, data, _ = call_following(host, "GET", "/-/config")
            record.write("operator read the config", at=host, status=status or "none")
            if status == 200:
                if json.loads(data) != config:
                    raise CannotRunError("another config was read")
                return True
        time.sleep(0.1)
    return False


if __name__ == "__main__":
    run_case(case, HERE)
