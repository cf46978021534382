"""Set up a small deployment with backends and clients for a case."""

import os
import signal
import sys
import time
import traceback
from pathlib import Path

from review.lab3.peers import SERVICE_HOST, Backend, Clients, Record
from review.lab3.system import ZONES, System

__all__ = ["BROKEN", "COULD_NOT_RUN", "HELD", "Case", "document"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Longest time of a run, a little below the limit for scripts.
LIMIT_S = 112
BACKEND_GROUP, CLIENT_GROUP = 3, 4
#: Ports of the routes by service, and the kinds of their requests.
ROUTES = {"desk": 8_443, "archive": 8_080}
KINDS = {"desk": "unsafe", "archive": "download"}


def document(version, routes=None):
    """Return a config with one route for each service."""
    routes = ROUTES if routes is None else routes
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "host": SERVICE_HOST,
                "pathPrefix": f"/{port}/",
                "type": KINDS[service],
                "timeoutMs": 3_005,
                "sloMs": 200,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for service, port in routes.items()
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 4_000,
                "protocol": "h1",
                "tls": False,
            }
            for name in ROUTES
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


class Case:
    """Run the system, `per_service` backends of each service, and clients."""

    def __init__(self, *, folder, per_service=4, **sizes):
        """Prepare a run; `sizes` are the arguments of `System`."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(folder) / "record.txt")
        self.system = System(**sizes)
        self.backends = []
        self.clients = None
        self._per_service = per_service

    def add_backend(self, *, service, zone, backend_id=None, daemon=None):
        """Start a backend, which reports to a core machine first if one is given."""
        position = len(self.backends) + 1
        backend = Backend(
            system=self.system,
            record=self.record,
            backend_id=backend_id or f"i-7f3a9{position:03x}",
            service=service,
            zone=zone,
            ip=self.system.address(BACKEND_GROUP, position),
            client_ip=self.system.address(CLIENT_GROUP, 1),
            daemon=daemon,
        )
        self.backends.append(backend)
        if self.clients is not None:
            self.clients.backends[backend.ip] = backend
        return backend

    def start(self):
        """Start everything; return whether the system serves."""
        system = self.system
        system.start()
        client_ip = system.address(CLIENT_GROUP, 1)
        for service in ROUTES:
            for number in range(self._per_service):
                self.add_backend(service=service, zone=ZONES[number % len(ZONES)])
        if not system.publish(document(7)):
            return False
        self.record.write("operator: version 7 is confirmed")
        if not system.wait_ready():
            return False
        self.clients = Clients(
            system=system, record=self.record, ip=client_ip, zone=ZONES[0]
        )
        self.clients.backends = {backend.ip: backend for backend in self.backends}
        # Until the backends have reported, and the machines are in touch.
        time.sleep(5)
        return True

    def close(self):
        """End everything."""
        if self.clients is not None:
            self.clients.close()
        for backend in self.backends:
            backend.close()
        self.system.close()

    def run(self, body):
        """Run a case and exit with its result; an error says nothing on the rule."""
        result = COULD_NOT_RUN
        signal.signal(signal.SIGALRM, _end_late)
        signal.alarm(LIMIT_S)
        try:
            if self.start():
                result = body(self)
            else:
                self.record.write("the system doesn't serve after its start")
        except Exception:
            self.record.write(f"the case failed: {traceback.format_exc()}")
        finally:
            signal.alarm(0)
            self.close()
        names = {HELD: "the rule held", BROKEN: "the rule was broken"}
        self.record.write(names.get(result, "the case could not run"))
        print(names.get(result, "the case could not run"))
        sys.exit(result)


def _end_late(_number, _frame):
    raise TimeoutError(f"the case takes longer than {LIMIT_S} s")
