"""tests.directoryfakes: Announcements, and a simulated entry and registrars."""

from knapweeddeal.directory import Directory
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.peer import LeaseAnswer
from knapweeddeal.messages.upstream import READY, Announce
from knapweeddeal.placement import Placement
from knapweeddeal.registrar import Registrar

SILENCE_MS = 2_000
LEASE_MS = 2_000
LEASE_REQUEST_MS = 500
#: Longest time for which a silent upstream may still get new flows.
BOUND_MS = SILENCE_MS + LEASE_MS


def announce(number=1, *, incarnation=1, sequence=1, **changes):
    """Return an announcement."""
    values = {
        "upstream_id": f"upstream-{number}",
        "incarnation": incarnation,
        "sequence": sequence,
        "zone": "zone-a",
        "service": "records",
        "host": "127.0.0.1",
        "port": 7020,
        "health_port": 0,
        "slots": 2,
        "max_connections": 4000,
        "state": READY,
        "drain_ms": 0,
        **changes,
    }
    return Announce(**values)


class RegistrarNetwork:
    """Deliver requests and answers between one entry and registrars in virtual time.

    `rng` draws delay and loss; messages to `unreachable_names` are dropped.
    """

    def __init__(self, *, rng, zones, max_delay_ms=0, loss=0.0, registrars_per_zone=2):
        self.now_ms = 0
        self.rng = rng
        self.zones = zones
        self.unreachable_names = set()
        self.max_delay_ms = max_delay_ms
        self.loss = loss
        self.messages = 0
        self.bytes = 0
        self._in_flight = []
        self.registrars = {}
        for names in zones.values():
            for name in names:
                self.restart(name)
        self.entry = Directory(
            lease_ms=LEASE_MS,
            name="asker",
            lease_request_ms=LEASE_REQUEST_MS,
            registrars_per_zone=registrars_per_zone,
        )
        self.entry.set_members(zones)
        self.placement = Placement(
            names_by_zone=zones, registrars_per_zone=registrars_per_zone
        )

    def restart(self, name):
        """Replace a registrar by an empty one with another epoch."""
        self.registrars[name] = Registrar(
            epoch=self.rng.getrandbits(64), silence_ms=SILENCE_MS, now_ms=self.now_ms
        )

    def send_announcement(self, message):
        """Send an announcement to its registrars."""
        for name in self.placement.registrars_for(message):
            self._post(name, message)

    def run(self, until_ms, *, step_ms=50, each_step=None):
        """Advance the time to `until_ms`, in steps of `step_ms`."""
        while self.now_ms < until_ms:
            self.now_ms += step_ms
            self._deliver()
            self.entry.sweep(now_ms=self.now_ms)
            for request in self.entry.due_lease_requests(now_ms=self.now_ms):
                self._post(request.name, request.message)
            self._deliver()
            if each_step:
                each_step()

    def eligible(self, service="records"):
        """Return the sorted ids of the entry's eligible upstreams."""
        eligible = self.entry.eligible(service, now_ms=self.now_ms)
        return sorted(upstream.key.upstream_id for upstream in eligible)

    def _post(self, name, message):
        data = encode(message)
        self.messages += 1
        self.bytes += len(data)
        if name in self.unreachable_names or self.rng.random() < self.loss:
            return
        delay_ms = self.rng.randint(0, self.max_delay_ms)
        self._in_flight.append((self.now_ms + delay_ms, name, data))

    def _deliver(self):
        while True:
            due = [item for item in self._in_flight if item[0] <= self.now_ms]
            if not due:
                return
            self._in_flight = [i for i in self._in_flight if i[0] > self.now_ms]
            self.rng.shuffle(due)
            for _, name, data in due:
                self._receive(name, decode(data))

    def _receive(self, name, message):
        if type(message).__name__ == "Announce":
            self.registrars[name].record_announcement(message, now_ms=self.now_ms)
        elif type(message).__name__ == "LeaseRequest":
            answer = self.registrars[name].answer(message, now_ms=self.now_ms)
            self._post(name, answer)
        elif type(message) is LeaseAnswer:
            self.entry.apply_lease(name, message, now_ms=self.now_ms)
        else:
            requests = self.entry.apply_delta(name, message, now_ms=self.now_ms)
            for request in requests:
                self._post(request.name, request.message)
