"""A backend is replaced; the id of the new one breaks the flows of another one."""

import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

from lab import (  # noqa: E402
    BOUNDS,
    SERVER_PORT,
    CannotRunError,
    Lab,
    document,
    number_of,
    run_case,
    wait_until,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("127.18.0.1", 443)
SERVICE = "records"
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
FLOWS = 60


def case(record):
    """Return the flows of the other backend that were reset."""
    with Lab(record=record, zones=ZONES) as lab:
        lab.start(document(1, {ROUTE: SERVICE}, [SERVICE]))
        # The last bytes of the addresses are 9 and 10.
        replaced = start(lab, 9, starts=1, zone=ZONES[0])
        other = start(lab, 10, starts=1, zone=ZONES[1])
        start(lab, 12, starts=1, zone=ZONES[2])
        client = lab.client()
        flows = open_flows(client, other, record)
        if TROUBLE:
            replace(lab, replaced)
        else:
            time.sleep(BOUNDS["drainMs"] / 1000 + 3.0)
        time.sleep(2.0)
        for flow in flows:
            client.request(flow, f"second-{flow.port}", 1.0)
        return [
            f"FLOW: {flow.port} of a backend that lives was {flow.ended}"
            for flow in flows
            if flow.ended.startswith("reset by")
        ]


def start(lab, number, *, starts, zone, port=SERVER_PORT):
    """Start a backend; its id holds its address, and how often one started there."""
    host = lab.cluster.address(4, number)
    name = f"i-{number_of(host):08x}{starts:08x}"
    return lab.backend(name=name, service=SERVICE, zone=zone, host=host, port=port)


def open_flows(client, backend, record):
    """Open flows and use each once; return those of the backend."""
    flows = [client.open(ROUTE) for _ in range(FLOWS)]
    for flow in flows:
        client.request(flow, f"first-{flow.port}")
    name = backend.name.encode()
    mine = [flow for flow in flows if flow.answers and flow.answers[0].endswith(name)]
    record.write("flows of the backend that stays", id=backend.name, count=len(mine))
    if len(mine) < 5:
        raise CannotRunError("too few flows at the backend that stays")
    return mine


def replace(lab, replaced):
    """Replace a backend as planned: the new one starts first, the old one drains."""
    start(lab, 9, starts=2, zone=ZONES[0], port=SERVER_PORT + 1)
    time.sleep(1.0)
    replaced.drain()
    wait_until(lambda: replaced.drain_confirmed_s, "draining wasn't confirmed")
    time.sleep(BOUNDS["drainMs"] / 1000 + 0.5)
    replaced.leave()


if __name__ == "__main__":
    run_case(case, HERE)
