"""tests.specs: Search the specifications for states that violate their invariants."""

import functools
import re
from collections import Counter
from pathlib import Path

import maude

__all__ = [
    "SearchResult",
    "count_in_text",
    "count_loaded",
    "explore",
    "guards",
    "rule_labels",
    "traces",
]

SPECS = Path(__file__).resolve().parent.parent / "specs"

maude.init(advise=False)
_loaded = set()


class SearchResult:
    """Hold the result of a search: states, fired rules, traces by fault."""

    __slots__ = ("rules", "states", "traces")

    def __init__(self):
        self.states = 0
        self.rules = set()
        self.traces = {}


def _module(name):
    if name not in _loaded:
        maude.load(str(SPECS / f"{name}.maude"))
        _loaded.add(name)
    return maude.getModule(name.upper())


def count_in_text(name):
    """Return the numbers of rules and equations in the texts of base and a spec."""
    text = "".join(
        (SPECS / f"{file}.maude").read_text(encoding="utf-8") for file in ("base", name)
    )
    return tuple(
        len(re.findall(rf"^  c?{kind} ", text, flags=re.MULTILINE))
        for kind in ("rl", "eq")
    )


def count_loaded(name):
    """Return the numbers of rules and equations loaded from base and a spec."""
    modules = (_module("base"), _module(name))
    return (
        sum(module.getNrOriginalRules() for module in modules),
        sum(module.getNrOriginalEquations() for module in modules),
    )


def rule_labels(name):
    """Return the labels of a spec's rules."""
    return {rule.getLabel() for rule in _module(name).getRules()}


def guards(name):
    """Return the names of a spec's guards."""
    term = _module(name).parseTerm("all")
    term.reduce()
    return set(str(term).split(" ; "))


@functools.cache
def explore(name, start, *, until="", max_states=None):
    """Search from a start term, at most until a fault or a number of states."""
    module = _module(name)
    term = module.parseTerm(start)
    if term is None:
        raise ValueError(f"expected a start term of the spec, got {start}")
    result = SearchResult()
    search = term.search(maude.ANY_STEPS, module.parseTerm("S:State"))
    for state, _, path, _ in search:
        result.states += 1
        if result.states > 1:
            result.rules.add(search.getRule(search.getStateNr()).getLabel())
        if str(state.symbol()) == "wrong":
            fault = str(next(state.arguments()))
            result.traces.setdefault(fault, [rule.getLabel() for rule in path()[1::2]])
        if until in result.traces or result.states == max_states:
            break
    return result


class Step:
    """Hold one step of a trace: its rule, the items it removed and added."""

    __slots__ = ("added", "rule", "taken")

    def __init__(self, *, rule, before, after):
        self.rule = rule
        self.taken = before - after
        self.added = after - before

    def arguments(self, symbol, side="added"):
        """Return the arguments of one changed item as strings, or None."""
        for item in getattr(self, side):
            if str(item.symbol()) == symbol:
                return [str(argument) for argument in item.arguments()]
        return None


def items(state):
    """Return the items of a state, none for a fault."""
    if str(state.symbol()) == "wrong":
        return Counter()
    _, content = state.arguments()
    if str(content.symbol()) != "__":
        return Counter([content])
    return Counter(content.arguments())


def _steps(path):
    states = [items(state) for state in path[::2]]
    return [
        Step(rule=rule.getLabel(), before=before, after=after)
        for rule, before, after in zip(path[1::2], states, states[1:], strict=False)
    ]


def traces(name, start, *, until="", every=1):
    """Yield the trace and last items of a fault, or of each `every`-th other state."""
    module = _module(name)
    term = module.parseTerm(start)
    search = term.search(maude.ANY_STEPS, module.parseTerm("S:State"))
    for index, (state, _, path, _) in enumerate(search):
        is_fault = str(state.symbol()) == "wrong"
        if until and is_fault and str(next(state.arguments())) == until:
            yield _steps(path()), items(state)
            return
        if not until and not is_fault and index % every == every - 1:
            yield _steps(path()), items(state)
