"""knapweeddeal.limits: What an entry holds at most, and for how long."""

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
        #: Life of an upstream's lease, and time between asks for it.
        self.lease_ms = lease_ms
        self.lease_ask_ms = lease_ask_ms
        #: Registrars of one zone; 0 makes every entry one.
        self.registrars_per_zone = registrars_per_zone
        #: Time after which a flow that no packet reached is forgotten.
        self.flow_idle_ms = flow_idle_ms
        #: Flows owned; over it new opens are refused.
        self.max_flows = max_flows
        #: Opens under way; over it new ones are dropped.
        self.max_opens = max_opens
        #: Answers kept over all flows; the oldest go first.
        self.max_answers = max_answers
        #: Bytes of the answers kept over all flows.
        self.max_answer_bytes = max_answer_bytes
        #: Share of a pool that may be kept from new flows for failures.
        self.max_ejected_percent = max_ejected_percent
        #: Longest time that a planned stop waits for requests in progress.
        self.stop_ms = stop_ms

    @property
    def refresh_ms(self):
        """Return the age at which a ticket is replaced by the next keep-alive."""
        return self.flow_idle_ms // 2
