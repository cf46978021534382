"""knapweeddeal.explain: Extraction of the decisions on one flow from saved logs."""

import json

from knapweeddeal.errors import BadSettingError
from knapweeddeal.record import Record

__all__ = ["Explanation", "explain"]


class Decision(Record):
    """Hold one log line on the flow and the upstream state that preceded it."""

    __slots__ = ("belief", "line", "process")


class Explanation(Record):
    """Hold the decisions on a flow in time order, and the number of omitted lines."""

    __slots__ = ("decisions", "flow", "left_out")


class ProcessLog:
    """Track the last logged state of each upstream while one log is read."""

    __slots__ = ("_upstream_lines", "name")

    def __init__(self, *, name):
        self.name = name
        self._upstream_lines = {}

    def record(self, line):
        """Keep a line that describes an upstream."""
        if "upstream" in line and "flow" not in line:
            self._upstream_lines[line["upstream"]] = line

    def upstream_line(self, line):
        """Return the last line on the upstream that a decision names, or None."""
        return self._upstream_lines.get(line.get("upstream"))


def explain(flow, paths):
    """Return the decisions on a flow in log files, one file for each process.

    `flow` is the IP:PORT of the caller or a longer prefix of the logged flow id.
    Raises BadSettingError if a file can't be read.
    """
    decisions, left_out = [], 0
    for path in paths:
        log = ProcessLog(name=str(path))
        for line in _lines(path):
            left_out += line.get("left_out", 0) + line.get("dropped", 0)
            if _matches_flow(line, flow):
                decisions.append(
                    Decision(
                        process=log.name, line=line, belief=log.upstream_line(line)
                    )
                )
            log.record(line)
            log.name = line.get("name", log.name)
    decisions.sort(key=lambda decision: decision.line.get("wall_ms", 0))
    return Explanation(flow=flow, decisions=decisions, left_out=left_out)


def _matches_flow(line, flow):
    text = str(line.get("flow", ""))
    return text == flow or text.startswith((f"{flow}>", f"{flow}#"))


def _lines(path):
    """Return the log lines in a file, without the prefix that a collector adds."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            texts = [text[text.find("{") :] for text in file if "{" in text]
    except OSError as error:
        raise BadSettingError(
            error.strerror or str(error), field="logs", value=path
        ) from None
    return [line for line in map(_parse, texts) if line is not None]


def _parse(text):
    """Return the JSON object in a line, or None if it isn't a log line."""
    try:
        line = json.loads(text)
    except ValueError:
        return None
    return line if type(line) is dict and "text" in line else None
