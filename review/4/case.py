"""A status report that can't be read ends the control process that gets it."""

import time

from common.peers import Backend, Operator, call, config
from common.system import HEARTBEAT_MS, require, run, wait_until

SERVICE = "bookings"
START_TIMEOUT_S = 20.0
#: Id under which the other writer reports.
WRITER_ID = "i-5d0c77e1"
#: Text that no UTF-8 encodes: one half of a surrogate pair.
UNREADABLE = "\ud800"
REPORT_S = 12.0
#: Times that a process may end by itself in a day, by the rule Fault.
MAX_OWN_ENDS = 2


def case(system, trouble):
    """Let another writer report as often as a backend does; count the own ends."""
    operator = Operator(system=system)
    status = operator.put(config(1, SERVICE), timeout_s=START_TIMEOUT_S)
    require(status == 200, "the first config wasn't acknowledged")
    backend = Backend(system=system, number=1, service=SERVICE, zone="zone-a")
    require(wait_until(lambda: backend.confirmed, 5.0), "no report was confirmed")
    if trouble:
        report_as_other_writer(system, backend)
    else:
        time.sleep(REPORT_S)
    backend.stop()
    ends = {machine.name: machine.own_ends for machine in system.core}
    system.record.write(f"processes that ended by themselves: {ends}")
    if sum(count > MAX_OWN_ENDS for count in ends.values()) * 2 >= len(ends):
        return "Fault: processes ended by themselves on half of the core"
    return ""


def report_as_other_writer(system, backend):
    """Report a service whose name can't be read; call the next daemon if one fails."""
    until_s = time.monotonic() + REPORT_S
    while time.monotonic() < until_s:
        body = backend.report(service=UNREADABLE, addr=f"{system.host(3, 99)}:8080")
        for machine in system.core:
            path = f"/-/instances/{WRITER_ID}"
            status, _ = call("PUT", machine.host, path, body)
            system.record.write(f"other writer: PUT {path}, {machine.host}: {status}")
            if status and status < 500:
                break
        time.sleep(HEARTBEAT_MS / 1000)


if __name__ == "__main__":
    run(case, folder=".")
