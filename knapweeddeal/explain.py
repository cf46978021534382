"""knapweeddeal.explain: The decisions on one flow, read from saved logs."""

import json

from knapweeddeal.errors import BadSettingError
from knapweeddeal.record import Record

__all__ = ["Explanation", "explain"]


class Decision(Record):
    """Hold one line on the flow, and what its process believed of the upstream."""

    __slots__ = ("belief", "line", "process")


class Explanation(Record):
    """Hold the decisions on a flow in order, and how many lines were left out."""

    __slots__ = ("decisions", "flow", "left_out")


class Process:
    """Follow what one process believes while its lines are read."""

    __slots__ = ("_beliefs", "name")

    def __init__(self, *, name):
        self.name = name
        self._beliefs = {}

    def follow(self, line):
        """Learn from a line."""
        if "upstream" in line and "flow" not in line:
            self._beliefs[line["upstream"]] = line

    def belief(self, line):
        """Return the last line on the upstream of a decision, or None."""
        return self._beliefs.get(line.get("upstream"))


def explain(flow, paths):
    """Return the decisions on a flow in log files, one file for each process.

    `flow` is what a caller knows: its own IP:PORT, or more of the id in the lines.
    Raises BadSettingError if a file can't be read.
    """
    decisions, left_out = [], 0
    for path in paths:
        process = Process(name=str(path))
        for line in _lines(path):
            left_out += line.get("left_out", 0) + line.get("dropped", 0)
            if _is_on(line, flow):
                decisions.append(
                    Decision(
                        process=process.name, line=line, belief=process.belief(line)
                    )
                )
            process.follow(line)
            process.name = line.get("name", process.name)
    decisions.sort(key=lambda decision: decision.line.get("wall_ms", 0))
    return Explanation(flow=flow, decisions=decisions, left_out=left_out)


def _is_on(line, flow):
    text = str(line.get("flow", ""))
    return text == flow or text.startswith((f"{flow}>", f"{flow}#"))


def _lines(path):
    """Return the log lines in a file; what comes before a brace is a collector's."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            texts = [text[text.find("{") :] for text in file if "{" in text]
    except OSError as error:
        raise BadSettingError(
            error.strerror or str(error), field="logs", value=path
        ) from None
    return [line for line in map(_parse, texts) if line is not None]


def _parse(text):
    """Return the object in a line, or None for what isn't a log line."""
    try:
        line = json.loads(text)
    except ValueError:
        return None
    return line if type(line) is dict and "text" in line else None
