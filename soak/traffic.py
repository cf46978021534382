"""soak.traffic: Create the callers and upstreams of a run."""

from soak.cluster import ADVERTISED_GROUP, API_PORT, PACKET_PORT, ZONES
from soak.peers import Callers, ReplicaClient, Upstream

__all__ = ["UPSTREAM_PORT", "Traffic"]

UPSTREAM_PORT = 7_005
#: Last octets of addresses: of the callers, and of the first upstream.
CALLERS_HOST_NUMBER, FIRST_UPSTREAM_HOST_NUMBER = 21, 31


class Traffic:
    """Run the callers of some routes, and upstreams for each of their services."""

    def __init__(self, *, cluster, routes, service_host, per_service, problems, seed):
        self.client = ReplicaClient(hosts=cluster.hosts, port=API_PORT, seed=seed)
        self.callers = Callers(
            address=(cluster.host(ADVERTISED_GROUP, CALLERS_HOST_NUMBER), PACKET_PORT),
            forwarders=[(host, PACKET_PORT) for host in cluster.forwarders],
            routes=routes,
            service_host=service_host,
            problems=problems,
            seed=seed,
        )
        services = list(routes.values())
        self._cluster = cluster
        self._problems = problems
        for number in range(per_service * len(services)):
            self._start(
                name=f"i-{number + 1:x}",
                service=services[number % len(services)],
                zone=ZONES[number // len(services) % len(ZONES)],
            )

    def _start(self, *, name, service, zone):
        number = FIRST_UPSTREAM_HOST_NUMBER + len(self.callers.upstreams)
        host = self._cluster.host(ADVERTISED_GROUP, number)
        self.callers.upstreams[host] = Upstream(
            name=name,
            service=service,
            zone=zone,
            address=(host, UPSTREAM_PORT),
            callers=self.callers,
            problems=self._problems,
            client=self.client,
        )

    def add_colliding(self, count):
        """Start upstreams whose ids yield the echoes of the first ones."""
        for other in self.upstreams[:count]:
            number = int(other.name.rpartition("-")[2], 16)
            self._start(
                name=f"i-{number:x}{0:08x}", service=other.service, zone=other.zone
            )

    @property
    def upstreams(self):
        """Return all upstreams."""
        return list(self.callers.upstreams.values())

    def restart(self, upstream):
        """Start an upstream again under its id; return the next process."""
        hosts = {known: host for host, known in self.callers.upstreams.items()}
        successor = upstream.start_again()
        self.callers.upstreams[hosts[upstream]] = successor
        return successor

    def close(self):
        """Stop callers and upstreams."""
        self.callers.close()
        for upstream in self.upstreams:
            upstream.crash()
