"""A planned restart of a service's only backend, under load, ends all replicas."""

import threading
import time

from common.peers import Backend, Flow, Operator, config
from common.system import require, run, wait_until

SERVICE = "sheets"
START_TIMEOUT_S = 20.0
#: Work of a request, and the clients that send one after another on long flows: more
#: than two slots bear without a queue.
WORK_S, CLIENTS = 0.039, 6
#: Time under load before each restart.
LOAD_S = 6.0
RESTARTS = 3
#: Time between the confirmation of `draining` and the departure: `drainMs` and more.
DRAIN_S = 3.5
#: Times that a process may end by itself in a day, by the rule Fault.
MAX_OWN_ENDS = 2


class Load:
    """Keep clients that send requests on flows until stopped."""

    def __init__(self, *, system):
        self._system = system
        self._running = True
        self._threads = [
            threading.Thread(target=self._send, args=(first,), daemon=True)
            for first in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def _send(self, number):
        while self._running:
            # Each flow of a client has another address, as it has another port.
            number = number % 240 + CLIENTS
            flow = Flow(system=self._system, number=number, is_quiet=True)
            if flow.open():
                while self._running and flow.request() == "answer":
                    pass
            flow.close()
            time.sleep(0.3)

    def stop(self):
        """Stop all clients."""
        self._running = False
        for thread in self._threads:
            thread.join()


def case(system, trouble):
    """Restart the backend three times as planned while clients send requests."""
    operator = Operator(system=system)
    status = operator.put(config(1, SERVICE), timeout_s=START_TIMEOUT_S)
    require(status == 200, "the first config wasn't acknowledged")
    backend = start_backend(system)
    load = Load(system=system)
    for _ in range(RESTARTS):
        time.sleep(LOAD_S)
        if trouble:
            backend = restart(system, backend)
        else:
            time.sleep(DRAIN_S + 1.0)
    time.sleep(2.0)
    load.stop()
    backend.stop()
    ends = {machine.name: machine.own_ends for machine in system.core}
    system.record.write(f"processes that ended by themselves: {ends}")
    if sum(count > MAX_OWN_ENDS for count in ends.values()) * 2 >= len(ends):
        return "Fault: processes ended by themselves on half of the core"
    return ""


def start_backend(system):
    """Start the backend; return it once a report was confirmed."""
    backend = Backend(
        system=system, number=1, service=SERVICE, zone="zone-a", work_s=WORK_S
    )
    require(wait_until(lambda: backend.confirmed, 10.0), "no report was confirmed")
    return backend


def restart(system, backend):
    """Restart the backend under its id as planned; return the new one."""
    backend.drain()
    require(wait_until(lambda: backend.confirmed, 10.0), "draining wasn't confirmed")
    time.sleep(DRAIN_S)
    backend.depart(timeout_s=5.0)
    backend.stop()
    return start_backend(system)


if __name__ == "__main__":
    run(case, folder=".")
