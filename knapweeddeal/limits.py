"""knapweeddeal.limits: Limits on the size and the lifetime of an entry's state."""

__all__ = ["Limits"]


class Limits:
    """Bound the state of an entry; times are in milliseconds."""

    __slots__ = (
        "flow_idle_ms",
        "lease_ask_ms",
        "lease_ms",
        "max_answer_bytes",
        "max_answers",
        "max_ejected_percent",
        "max_flows",
        "max_opens",
        "registrars_per_zone",
        "stop_ms",
    )

    def __init__(
        self,
        *,
        lease_ms=2_000,
        lease_ask_ms=500,
        registrars_per_zone=2,
        flow_idle_ms=600_000,
        max_flows=400_000,
        max_opens=20_000,
        max_answers=200_000,
        max_answer_bytes=48 * 1024 * 1024,
        max_ejected_percent=34,
        stop_ms=10_000,
    ):
        #: Life of an upstream's lease, and time between requests for it.
        self.lease_ms = lease_ms
        self.lease_ask_ms = lease_ask_ms
        #: Registrars in each zone; 0 makes every entry a registrar.
        self.registrars_per_zone = registrars_per_zone
        #: Time without packets after which a flow is removed.
        self.flow_idle_ms = flow_idle_ms
        #: Flows owned; further opens are refused.
        self.max_flows = max_flows
        #: Pending opens; further ones are dropped.
        self.max_opens = max_opens
        #: Answers stored over all flows; the oldest are evicted first.
        self.max_answers = max_answers
        #: Bytes of the answers stored over all flows.
        self.max_answer_bytes = max_answer_bytes
        #: Percentage of a pool that may be ejected (kept from new flows) for failures.
        self.max_ejected_percent = max_ejected_percent
        #: Longest time that a planned stop waits for requests in flight.
        self.stop_ms = stop_ms

    @property
    def refresh_ms(self):
        """Return the age from which the next keep-alive replaces a ticket."""
        return self.flow_idle_ms // 2
