"""A departure that a partition held up removes the backend that restarted meanwhile."""

import time

from common.peers import Backend, Flow, Operator, config
from common.proxy import Proxy
from common.system import PORTS, require, run, wait_until

SERVICE = "bookings"
START_TIMEOUT_S = 20.0
#: Time between the confirmation of `draining` and the departure: `drainMs` and more.
DRAIN_S = 3.5
#: Time for which the backend's machine is cut off; the sheets' `node_cut` is longer.
CUT_S = 5.0
#: Time after its departure at which a backend without a confirmation exits.
EXIT_S = 3.0
#: Pause of the client before its next request: less than `idleTimeoutMs`, 15 s. When it
#: ends, the cut has been over for more than `contactMs`, 4 s.
PAUSE_S = 8.0


def case(system, trouble):
    """Restart a backend under its id, and cut off its machine meanwhile."""
    operator = Operator(system=system)
    status = operator.put(config(1, SERVICE), timeout_s=START_TIMEOUT_S)
    require(status == 200, "the first config wasn't acknowledged")
    paths = [
        Proxy(
            address=(system.host(5, number), PORTS["control"]),
            target=(machine.host, PORTS["control"]),
            record=system.record,
        )
        for number, machine in enumerate(system.core, 1)
    ]
    old = Backend(system=system, number=1, service=SERVICE, zone="zone-a", paths=paths)
    require(wait_until(lambda: old.confirmed, 5.0), "no report was confirmed")
    old.drain()
    require(wait_until(lambda: old.confirmed, 5.0), "draining wasn't confirmed")
    time.sleep(DRAIN_S)

    began_s = time.monotonic()
    set_cut(system, paths, trouble)
    old.depart(timeout_s=EXIT_S)
    old.stop()
    new = Backend(system=system, number=1, service=SERVICE, zone="zone-a", paths=paths)
    if trouble:
        time.sleep(max(began_s + CUT_S - time.monotonic(), 0))
    set_cut(system, paths, False)
    require(wait_until(lambda: new.confirmed, 5.0), "no report was confirmed")
    flow = Flow(system=system, number=1)
    require(wait_until(flow.open, 5.0), "no flow opened")
    require(flow.request() == "answer", "the first request wasn't answered")
    time.sleep(PAUSE_S)
    outcome = flow.request()
    # Not judged: whether the backend, which reports all the while, gets new flows.
    Flow(system=system, number=2).open()
    new.stop()
    if outcome == "reset by the system":
        return "FLOW: the system reset an open flow whose backend lives"
    return ""


def set_cut(system, paths, value):
    """Begin or end the cut."""
    for path in paths:
        path.cut = value
    system.record.write(
        "the backend's machine is " + ("cut off" if value else "joined")
    )


if __name__ == "__main__":
    run(case, folder=".")
