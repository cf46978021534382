"""demo: Stand-ins for fabric and upstreams, and a run of the whole on loopback."""
