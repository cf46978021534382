"""knapweeddeal.balance: The choice of an upstream for a new flow."""

__all__ = ["choose"]

#: Upstreams that are compared for one choice.
SAMPLE_SIZE = 2


def choose(upstreams, *, zone, rng):
    """Return an upstream of a list, or None if it is empty."""
    near = [upstream for upstream in upstreams if upstream.announce.zone == zone]
    pool = near or upstreams
    if not pool:
        return None
    sample = rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
    return min(sample, key=_load)


def _load(upstream):
    announce = upstream.announce
    return (
        upstream.outstanding / announce.slots,
        upstream.connections / announce.max_connections,
    )
