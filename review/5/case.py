"""A report of another writer, of a service that no config names, removes a backend."""

import time

from common.peers import Backend, Flow, Operator, call, config
from common.system import require, run, wait_until

SERVICE = "bookings"
UNKNOWN_SERVICE = "other-system"
WRITER_ID = "i-5d0c77e1"
START_TIMEOUT_S = 20.0
#: Time after which everything was in touch for `contactMs`, 4 s.
SETTLE_S = 5.0
#: Pause of the clients before their next request.
PAUSE_S = 4.0


def case(system, trouble):
    """Report an unknown service at a backend's address while flows are open there."""
    operator = Operator(system=system)
    status = operator.put(config(1, SERVICE), timeout_s=START_TIMEOUT_S)
    require(status == 200, "the first config wasn't acknowledged")
    backends = [
        Backend(system=system, number=number, service=SERVICE, zone="zone-a")
        for number in (1, 2)
    ]
    for backend in backends:
        require(wait_until(lambda b=backend: b.confirmed, 5.0), "no confirmed report")
    time.sleep(SETTLE_S)
    flows = [Flow(system=system, number=number) for number in range(1, 7)]
    for flow in flows:
        require(wait_until(flow.open, 5.0), "no flow opened")
        require(flow.request() == "answer", "the first request wasn't answered")
    if trouble:
        send_as_other_writer(system, backends[0])
    time.sleep(PAUSE_S)
    outcomes = [flow.request() for flow in flows]
    for backend in backends:
        backend.stop()
    resets = outcomes.count("reset by the system")
    if resets:
        return f"FLOW: the system reset {resets} open flows whose backend lives"
    return ""


def send_as_other_writer(system, backend):
    """Send one report with an unknown service and the address of a backend."""
    body = backend.report(service=UNKNOWN_SERVICE, born=backend.born_ms + 1_000, seq=1)
    host = system.core[0].host
    status, _ = call("PUT", host, f"/-/instances/{WRITER_ID}", body)
    system.record.write(f"other writer: PUT {WRITER_ID} {body}, {host}: {status}")


if __name__ == "__main__":
    run(case, folder=".")
