"""bench.scenarios: Loads and faults under which the policy is measured."""

__all__ = ["SCENARIOS", "Scenario"]


class Scenario:
    """Describe the load and the faults of a trial."""

    __slots__ = ("overrides", "text")

    def __init__(self, *, text, **overrides):
        self.text = text
        self.overrides = overrides


def _delay_and_misreport(world):
    for fake in world.upstreams:
        fake.report_lag_ms = 5_000.0
    world.upstreams[1].reported_share = 0.0


def _misreport(number, reported_share):
    def apply(world):
        world.upstreams[number].reported_share = reported_share

    return apply


def _join_cold(world):
    world.add_upstream(
        cold_factor=4.0,
        cold_ms=20_000.0,
        cold_until_ms=world.event_queue.now_ms + 20_000.0,
    )


def _shed(world):
    world.upstreams[2].shed_opens = 1.0
    world.upstreams[2].shed_requests = 0.5


def _stop_shedding(world):
    world.upstreams[2].shed_opens = 0.0
    world.upstreams[2].shed_requests = 0.0


def _shed_all(world):
    for fake in world.upstreams:
        fake.shed_opens = 0.7


def _drain(world):
    world.drain_upstream(0, 20_000.0)


def _fail_entries(world):
    world.fail_entry(0)
    world.fail_entry(5)


SCENARIOS = {
    "even": Scenario(text="70 % of the slots' work"),
    "heavy": Scenario(
        text="heavy-tailed times, 5 % of the flows send half of the requests",
        heavy=True,
        load=0.6,
    ),
    "lag": Scenario(
        text="reported loads 5 s old, one upstream reports 0 always",
        events=((0.0, _delay_and_misreport),),
    ),
    "lie": Scenario(
        text="the only upstream of its zone reports 0 always",
        events=((0.0, _misreport(3, 0.0)),),
    ),
    "half": Scenario(
        text="one upstream reports half of its load",
        events=((0.0, _misreport(1, 0.5)),),
    ),
    "half alone": Scenario(
        text="the only upstream of its zone reports half of its load",
        events=((0.0, _misreport(3, 0.5)),),
    ),
    "cold": Scenario(
        text="an upstream joins empty and four times slower, warm after 20 s",
        events=((20.0, _join_cold),),
    ),
    "shed": Scenario(
        text="one upstream sheds all opens and half of the requests for 20 s",
        events=((20.0, _shed), (40.0, _stop_shedding)),
        load=0.6,
    ),
    "shed by all": Scenario(
        text="every upstream sheds 70 % of the opens",
        events=((20.0, _shed_all),),
        load=0.6,
    ),
    "cut": Scenario(
        text="a zone is cut off for 15 s",
        events=(
            (25.0, lambda world: world.partition("zone-1")),
            (40.0, lambda world: world.partition(None)),
        ),
    ),
    "churn": Scenario(
        text="an upstream leaves as planned, one joins, two entries die, one joins",
        events=(
            (20.0, _join_cold),
            (22.0, _drain),
            (25.0, _fail_entries),
            (30.0, lambda world: world.add_entry()),
        ),
        load=0.6,
        connection_share=0.6,
    ),
    "loss": Scenario(
        text="an upstream is lost, its callers open again within 2 s",
        events=((25.0, lambda world: world.fail_upstream(3)),),
        load=0.6,
        connection_share=0.6,
    ),
    "overload": Scenario(
        text="twice the work that the slots can do",
        load=2.0,
    ),
    "heavy overload": Scenario(
        text="twice the work, heavy-tailed times and callers",
        load=2.0,
        heavy=True,
    ),
}
