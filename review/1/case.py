"""A config with an address that can't be read is acknowledged and ends all replicas."""

import time

from common.peers import ROUTE_HOST, Operator, config
from common.system import require, run

SERVICE = "bookings"
START_TIMEOUT_S = 20.0
GOOD_HOST, BAD_HOST = "127.0.9.8", "127.0.9.08"
#: Time to observe the processes: longer than `applyMs`, 3 s, and `contactMs`, 4 s.
OBSERVE_S = 10.0
#: Time for which the operator tries to read the config back.
READ_S = 12.0
#: Times that a process may end by itself in a day, by the rule Fault.
MAX_OWN_ENDS = 2


def case(system, trouble):
    """Send a config whose second route has a zero-padded address; read it back."""
    operator = Operator(system=system)
    status = operator.put(config(1, SERVICE), timeout_s=START_TIMEOUT_S)
    require(status == 200, "the first config wasn't acknowledged")
    time.sleep(3.0)
    hosts = (ROUTE_HOST, BAD_HOST if trouble else GOOD_HOST)
    document = config(2, SERVICE, hosts)
    status = operator.put(document, timeout_s=10.0)
    time.sleep(OBSERVE_S)
    read = operator.read(timeout_s=READ_S)
    ends = {machine.name: machine.own_ends for machine in system.core}
    system.record.write(f"processes that ended by themselves: {ends}")
    version = read["version"] if read else None
    system.record.write(f"config 2 had status {status}; read back: {version}")
    if status == 200 and read != document:
        return "CONFIG: an acknowledged config isn't read back"
    if trouble and status == 200:
        return "CONFIG: an invalid config was acknowledged"
    if sum(count > MAX_OWN_ENDS for count in ends.values()) * 2 >= len(ends):
        return "Fault: processes ended by themselves on half of the core"
    return ""


if __name__ == "__main__":
    run(case, folder=".")
