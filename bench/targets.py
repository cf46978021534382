"""bench.targets: Targets of the policy, and the check whether it meets them."""

__all__ = ["TARGETS", "Target"]


class Target:
    """Compare one figure of some trials with a limit."""

    __slots__ = ("_figure", "_is_met", "limit", "scenarios", "text")

    def __init__(self, *, text, scenarios, limit, figure, is_met):
        self.text = text
        self.scenarios = scenarios
        self.limit = limit
        self._figure = figure
        self._is_met = is_met

    def row(self, size, scenario, trials, perfect):
        """Return the table row of this target in one scenario."""
        measured = self._figure(trials, perfect)
        met = "yes" if self._is_met(measured, self.limit) else "no"
        return [self.text, size, scenario, self.limit, measured, met]


def _worst(column, aggregate):
    return lambda trials, perfect: aggregate(trial[column] for trial in trials)


def _median_ratio(trials, perfect):
    ratios = sorted(
        trial["peak now"] / other["peak now"]
        for trial, other in zip(trials, perfect, strict=True)
    )
    return ratios[len(ratios) // 2]


def _at_most(measured, limit):
    return measured <= limit


def _at_least(measured, limit):
    return measured >= limit


TARGETS = (
    Target(
        text="flows broken by planned changes",
        scenarios=("churn",),
        limit=0,
        figure=_worst("broken planned", max),
        is_met=_at_most,
    ),
    Target(
        text="flows broken by two lost entries",
        scenarios=("churn",),
        limit=0,
        figure=_worst("broken unplanned", max),
        is_met=_at_most,
    ),
    Target(
        text="peak over that of perfect knowledge (median of seeds)",
        scenarios=("even", "heavy", "shed", "cut"),
        limit=1.15,
        figure=_median_ratio,
        is_met=_at_most,
    ),
    Target(
        text="work finished in time, share of capacity",
        scenarios=("overload", "heavy overload"),
        limit=0.95,
        figure=_worst("in time", min),
        is_met=_at_least,
    ),
    Target(
        text="refusals told that aren't in the journal",
        scenarios=("overload", "heavy overload", "shed by all", "loss"),
        limit=0,
        figure=_worst("unjournalled", max),
        is_met=_at_most,
    ),
)
