"""soak.traffic: The callers and upstreams of a run."""

from soak.cluster import API, KNOWN, PACKETS
from soak.peers import Callers, Calls, Upstream

__all__ = ["Traffic"]

UPSTREAM_PORT = 7_005
#: Numbers of hosts: that of the callers, and the first one of upstreams.
CALLERS, FIRST_UPSTREAM = 21, 31


class Traffic:
    """Hold the callers of some routes, and upstreams for each of their services."""

    def __init__(self, *, cluster, routes, service_host, per_service, problems, seed):
        self.calls = Calls(hosts=cluster.hosts, port=API, seed=seed)
        self.callers = Callers(
            address=(cluster.host(KNOWN, CALLERS), PACKETS),
            forwarders=[(host, PACKETS) for host in cluster.forwarders],
            routes=routes,
            service_host=service_host,
            problems=problems,
            seed=seed,
        )
        services = list(routes.values())
        for number in range(per_service * len(services)):
            host = cluster.host(KNOWN, FIRST_UPSTREAM + number)
            self.callers.upstreams[host] = Upstream(
                name=f"i-{number + 1:x}",
                service=services[number % len(services)],
                address=(host, UPSTREAM_PORT),
                caller=self.callers,
                problems=problems,
                calls=self.calls,
            )

    @property
    def upstreams(self):
        """Return all upstreams."""
        return list(self.callers.upstreams.values())

    def close(self):
        """Stop all."""
        self.callers.close()
        for upstream in self.upstreams:
            upstream.crash()
