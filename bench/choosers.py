"""bench.choosers: Ways of choosing an upstream that the policy is measured against."""

import hashlib

from knapweeddeal.balance import Balancer

__all__ = ["CHOOSERS", "Chooser"]


class Chooser:
    """Choose without any knowledge; the base of all ways."""

    def __init__(self, *, zone, fakes, own_flows):
        self.zone = zone
        self.fakes = fakes
        self.own_flows = own_flows

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return one of the upstreams at random."""
        return rng.choice(upstreams) if upstreams else None

    def record_report(self, key, outstanding, *, now_ms):
        """Take a reported load."""

    def record_flow_request(self, key, *, now_ms):
        """Note a flow that is asked for."""

    def record_shed(self, key, *, now_ms):
        """Note that a flow was turned away."""


class RoundRobin(Chooser):
    """Choose one after another."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self._next = 0

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the next upstream."""
        self._next += 1
        return upstreams[self._next % len(upstreams)] if upstreams else None


class HashByFlow(Chooser):
    """Choose by the flow's id."""

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the upstream with the highest hash."""
        if not upstreams:
            return None
        return max(upstreams, key=lambda upstream: _score(flow_id, upstream))


def _score(flow_id, upstream):
    text = f"{flow_id} {upstream.key.upstream_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class Earlier(Chooser):
    """Choose as the project's first version did."""

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the better of two, in the own zone if it has any."""
        near = [u for u in upstreams if u.announce.zone == self.zone]
        pool = near or upstreams
        if not pool:
            return None
        return min(rng.sample(pool, min(2, len(pool))), key=_earlier_load)


def _earlier_load(upstream):
    announce = upstream.announce
    return (
        upstream.outstanding / announce.slots,
        upstream.connections / announce.max_connections,
    )


class Perfect(Chooser):
    """Choose by the true load of all upstreams at this moment."""

    #: Weight of true requests per slot against true connections per limit.
    weight = 0.0

    def choose(self, upstreams, *, rng, now_ms, flow_id):
        """Return the upstream with the least true load."""
        return min(upstreams, key=self._load) if upstreams else None

    def _load(self, upstream):
        fake = self.fakes[upstream.key.incarnation - 1]
        if fake.connections >= fake.max_connections or fake.shed_opens:
            return 1e9
        load = (fake.connections + fake.coming) / fake.max_connections
        return load + self.weight * fake.outstanding / fake.slots


class PerfectRequests(Perfect):
    """Choose by true requests first."""

    weight = 10.0


class PerfectBoth(Perfect):
    """Choose by both."""

    weight = 0.01


class Policy(Chooser):
    """Choose by the project's balancer."""

    options = {}

    def __init__(self, **parts):
        super().__init__(**parts)
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
    """Return a policy chooser with some options."""
    return type("Policy", (Policy,), {"options": options})


#: Ways by their names in tables.
CHOOSERS = {
    "random": Chooser,
    "round robin": RoundRobin,
    "hash by flow": HashByFlow,
    "earlier version": Earlier,
    "perfect, connections": Perfect,
    "perfect, requests": PerfectRequests,
    "perfect, both": PerfectBoth,
}
CHOOSERS["policy"] = Policy
