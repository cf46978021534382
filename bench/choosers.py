"""bench.choosers: Balancing strategies that the policy is compared with."""

import hashlib

from knapweeddeal.balance import Balancer

__all__ = ["CHOOSERS", "Chooser"]


class Chooser:
    """Choose at random; the base class of all strategies."""

    def __init__(self, *, zone, fakes, own_flows):
        self.zone = zone
        self.fakes = fakes
        self.own_flows = own_flows

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return one of the upstreams at random."""
        return rng.choice(upstreams) if upstreams else None

    def record_report(self, key, outstanding, *, now_ms):
        """Record a reported load."""

    def record_flow_request(self, key, *, now_ms):
        """Record that a flow was requested from an upstream."""

    def record_shed(self, key, *, now_ms):
        """Record that an upstream shed a flow."""


class RoundRobin(Chooser):
    """Choose the upstreams in turn."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._next = 0

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the next upstream."""
        self._next += 1
        return upstreams[self._next % len(upstreams)] if upstreams else None


class HashByFlow(Chooser):
    """Choose by rendezvous hashing of the flow id."""

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the upstream with the highest hash."""
        if not upstreams:
            return None
        return max(upstreams, key=lambda upstream: _score(flow_id, upstream))


def _score(flow_id, upstream):
    text = f"{flow_id} {upstream.key.upstream_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class FirstVersion(Chooser):
    """Choose as the project's first version did, by two random choices."""

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the less loaded of two, in the own zone if it has upstreams."""
        in_zone = [u for u in upstreams if u.announce.zone == self.zone]
        candidates = in_zone or upstreams
        if not candidates:
            return None
        return min(
            rng.sample(candidates, min(2, len(candidates))), key=_first_version_load
        )


def _first_version_load(upstream):
    announce = upstream.announce
    return (
        upstream.outstanding / announce.slots,
        upstream.connections / announce.max_connections,
    )


class TrueConnections(Chooser):
    """Choose by the true current connections of all upstreams."""

    #: Weight of outstanding requests per slot against the share of connections used.
    weight = 0.0

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the upstream with the least true load."""
        return min(upstreams, key=self._load) if upstreams else None

    def _load(self, upstream):
        fake = self.fakes[upstream.key.incarnation - 1]
        if fake.connections >= fake.max_connections or fake.shed_opens:
            return 1e9
        load = (fake.connections + fake.pending_opens) / fake.max_connections
        return load + self.weight * fake.outstanding / fake.slots


class TrueRequests(TrueConnections):
    """Choose by true requests first, then by connections."""

    weight = 10.0


class TrueLoad(TrueConnections):
    """Choose by connections, with a small weight for requests."""

    weight = 0.01


class Policy(Chooser):
    """Choose with the project's balancer."""

    options = {}

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._balancer = Balancer(
            zone=self.zone, own_flows=self.own_flows, **self.options
        )
        self.record_report = self._balancer.record_report
        self.record_flow_request = self._balancer.record_flow_request
        self.record_shed = self._balancer.record_shed

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the balancer's choice."""
        return self._balancer.choose(upstreams, rng=rng, now_ms=now_ms)


def policy(**options):
    """Return a policy class whose balancer gets some options."""
    return type("Policy", (Policy,), {"options": options})


#: Strategies by their names in tables.
CHOOSERS = {
    "random": Chooser,
    "round robin": RoundRobin,
    "hash by flow": HashByFlow,
    "earlier version": FirstVersion,
    "perfect, connections": TrueConnections,
    "perfect, requests": TrueRequests,
    "perfect, both": TrueLoad,
}
CHOOSERS["policy"] = Policy
