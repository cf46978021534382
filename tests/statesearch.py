"""tests.statesearch: Search all states that a model reaches for a violated rule."""

from collections import deque

__all__ = ["SearchResult", "search"]


class SearchResult:
    """Hold the number of states, the actions that occurred, and a counterexample.

    `trace` holds the actions that lead to the violation, or is None.
    """

    __slots__ = ("actions", "states", "trace", "violation")

    def __init__(self):
        self.states = 0
        self.actions = set()
        self.trace = None
        self.violation = ""


def search(initial, *, max_states):
    """Search breadth-first from a model's initial state; stop at a violation.

    A model has `key()`, a hashable value that is equal for equal states; `violation()`,
    a text or ""; and `steps()`, which yields pairs of an action and the next model.
    Raises ValueError if there are more than `max_states`.
    """
    result = SearchResult()
    parents = {initial.key(): (None, None)}
    waiting = deque([initial])
    while waiting:
        model = waiting.popleft()
        result.states += 1
        result.violation = model.violation()
        if result.violation:
            result.trace = _trace(parents, model.key())
            return result
        for action, following in model.steps():
            result.actions.add(action[0])
            key = following.key()
            if key in parents:
                continue
            if len(parents) >= max_states:
                raise ValueError(f"more than {max_states} states")
            parents[key] = (model.key(), action)
            waiting.append(following)
    return result


def _trace(parents, key):
    """Return the actions that lead to a state."""
    actions = []
    while True:
        key, action = parents[key]
        if key is None:
            return actions[::-1]
        actions.append(action)
