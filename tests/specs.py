"""tests.specs: Search the specifications for states that must never be."""

import functools
import re
from collections import Counter
from pathlib import Path

import maude

__all__ = ["Found", "explore", "guards", "loaded", "rule_labels", "traces", "written"]

SPECS = Path(__file__).resolve().parent.parent / "specs"

maude.init(advise=False)
_loaded = set()


class Found:
    """Hold what a search met: states, rules that fired, traces by fault."""

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


def written(name):
    """Return how many rules and equations stand in a spec's text."""
    text = "".join(
        (SPECS / f"{file}.maude").read_text(encoding="utf-8") for file in ("base", name)
    )
    return tuple(
        len(re.findall(rf"^  c?{kind} ", text, flags=re.MULTILINE))
        for kind in ("rl", "eq")
    )


def loaded(name):
    """Return how many rules and equations of its own Maude took from a spec."""
    modules = (_module("base"), _module(name))
    return (
        sum(module.getNrOriginalRules() for module in modules),
        sum(module.getNrOriginalEquations() for module in modules),
    )


def rule_labels(name):
    """Return the labels of a spec's rules."""
    return {rule.getLabel() for rule in _module(name).getRules()}


def guards(name):
    """Return the guards of a spec."""
    term = _module(name).parseTerm("all")
    term.reduce()
    return set(str(term).split(" ; "))


@functools.cache
def explore(name, start, *, until="", max_states=None):
    """Search from a start term, at most until one fault or some states."""
    module = _module(name)
    term = module.parseTerm(start)
    if term is None:
        raise ValueError(f"no start term: {start}")
    found = Found()
    search = term.search(maude.ANY_STEPS, module.parseTerm("S:State"))
    for state, _, path, _ in search:
        found.states += 1
        if found.states > 1:
            found.rules.add(search.getRule(search.getStateNr()).getLabel())
        if str(state.symbol()) == "wrong":
            fault = str(next(state.arguments()))
            found.traces.setdefault(fault, [rule.getLabel() for rule in path()[1::2]])
        if until in found.traces or found.states == max_states:
            break
    return found


class Step:
    """Hold one step of a trace: its rule, what it took away, what it added."""

    __slots__ = ("added", "rule", "taken")

    def __init__(self, *, rule, before, after):
        self.rule = rule
        self.taken = before - after
        self.added = after - before

    def arguments(self, symbol, side="added"):
        """Return the arguments of one changed item, as texts; or None."""
        for item in getattr(self, side):
            if str(item.symbol()) == symbol:
                return [str(argument) for argument in item.arguments()]
        return None


def items(state):
    """Return the items of a state."""
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
    """Yield the trace to a fault, or to every so many states, and its last items."""
    module = _module(name)
    term = module.parseTerm(start)
    search = term.search(maude.ANY_STEPS, module.parseTerm("S:State"))
    for place, (state, _, path, _) in enumerate(search):
        wrong = str(state.symbol()) == "wrong"
        if until and wrong and str(next(state.arguments())) == until:
            yield _steps(path()), items(state)
            return
        if not until and not wrong and place % every == every - 1:
            yield _steps(path()), items(state)
