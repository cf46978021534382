"""knapweeddeal.render: Formatting of answers as text lines or as JSON."""

import json
from datetime import UTC, datetime
from functools import singledispatch

from knapweeddeal.controlclient import ProcessAnswers
from knapweeddeal.explain import Explanation
from knapweeddeal.messages.evacuation import EvacuateAnswer, ZonesAnswer
from knapweeddeal.messages.operator import (
    ConfirmAnswer,
    DumpAnswer,
    PlanAnswer,
    RefusalsAnswer,
    ReplicasAnswer,
    ServicesAnswer,
    StatusAnswer,
    UpstreamsAnswer,
    WhereAnswer,
)
from knapweeddeal.messages.packets import PublishAnswer, PublishedAnswer
from knapweeddeal.statedump import to_jsonable

__all__ = ["as_json", "as_lines", "error_json"]

#: Time without a report after which an entry is shown as silent.
SILENT_MS = 5_000
#: Maximum number of items that an answer shows of a list.
MAX_ITEMS = 100_000
#: Fields of a log line that an explanation omits or shows in another place.
OMITTED_FIELDS = ("wall_ms", "boot_ms", "level", "text", "flow", "name")


def as_json(answer):
    """Return an answer as one JSON text."""
    if type(answer) is DumpAnswer:
        return answer.text
    if type(answer) is UpstreamsAnswer:
        return json.dumps([json.loads(line) for line in answer.lines])
    if type(answer) is ProcessAnswers:
        return json.dumps([_process_json(one) for one in answer.answers])
    return json.dumps(to_jsonable(answer, max_items=MAX_ITEMS))


def error_json(error):
    """Return an error as a map for JSON."""
    return {
        "code": error.code,
        "text": error.text,
        "field": error.field,
        "value": error.value,
    }


def _process_json(one):
    if one.error is not None:
        return {"at": one.address, "error": error_json(one.error)}
    return {"at": one.address, **to_jsonable(one.answer, max_items=MAX_ITEMS)}


@singledispatch
def as_lines(answer):
    """Return an answer as lines of text."""
    return [as_json(answer)]


@as_lines.register
def _(answer: PlanAnswer):
    return [
        f"plan {answer.plan_id} on version {answer.base_version}",
        *(f"  {difference}" for difference in answer.differences),
        f"services affected: {_listed(answer.services)}",
        f"upstreams affected: {_listed(answer.upstreams)}",
        f"availability zones affected: {_listed(answer.zones)}",
        f"flows affected: {answer.flows}",
        f"can be confirmed until {_time(answer.expires_ms)}",
    ]


@as_lines.register
def _(answer: ConfirmAnswer):
    return [f"plan {answer.plan_id} is in force as version {answer.version}"]


@as_lines.register
def _(answer: StatusAnswer):
    lines = [
        f"version {answer.version}, led by {answer.leader or 'nobody'}"
        f" in term {answer.term}"
    ]
    for entry in sorted(answer.entries, key=lambda entry: entry.name):
        marks = []
        if entry.applied_version < answer.version:
            marks.append("lags")
        if entry.age_ms > SILENT_MS:
            marks.append(f"silent for {entry.age_ms} ms")
        mark = f" ({', '.join(marks)})" if marks else ""
        lines.append(
            f"  {entry.name} in {entry.zone}: version {entry.applied_version}{mark}"
        )
    return lines


@as_lines.register
def _(answer: ServicesAnswer):
    lines = [f"version {answer.version}"]
    for service in answer.services:
        drained = f", draining {_listed(service.draining)}" if service.draining else ""
        lines.append(f"  {service.name} at {service.host}:{service.port}{drained}")
    return lines


@as_lines.register
def _(answer: PublishAnswer):
    return [f"revision {answer.revision} is in force"]


@as_lines.register
def _(answer: PublishedAnswer):
    lines = [f"revision {answer.configuration.revision}"]
    for route in answer.configuration.routes:
        shares = [f"{share.service}:{share.weight}" for share in route.shares]
        former = f", before {_listed(route.former)}" if route.former else ""
        lines.append(f"  {route.host}:{route.port} to {_listed(shares)}{former}")
    return lines


@as_lines.register
def _(answer: EvacuateAnswer):
    return [f"version {answer.version} of the evacuated zones is in force"]


@as_lines.register
def _(answer: ZonesAnswer):
    evacuations = answer.evacuations
    lines = [f"version {evacuations.version}"]
    lines += [
        f"  {one.zone} evacuated since {_time(one.since_ms)} by {one.operator}"
        for one in evacuations.zones
    ]
    return lines if evacuations.zones else [*lines, "  no zone is evacuated"]


@as_lines.register
def _(answer: Explanation):
    lines = [f"flow {answer.flow}: {len(answer.decisions)} decisions"]
    for decision in answer.decisions:
        lines.append(f"{_time(decision.line['wall_ms'])} {decision.process}")
        lines.append(f"  {_fields(decision.line)}")
        if decision.belief is not None:
            lines.append(f"  believed then: {_fields(decision.belief)}")
    if answer.left_out:
        lines.append(f"{answer.left_out} lines were left out of these logs")
    return lines


@as_lines.register
def _(answer: ProcessAnswers):
    lines = []
    for one in answer.answers:
        shown = as_lines(one.answer) if one.error is None else [str(one.error)]
        lines += [f"at {one.address}", *(f"  {line}" for line in shown)]
    return lines


@as_lines.register
def _(answer: WhereAnswer):
    goal = (
        f"{answer.outcome} to {answer.upstream}"
        if answer.upstream
        else (answer.outcome)
    )
    shares = [f"{share.service}:{share.weight}" for share in answer.shares]
    current = "" if answer.current else ", no replica with a leader"
    return [
        f"flow {answer.flow}: {goal}: {answer.reason}",
        f"revision {answer.revision}{current}, route to {_listed(shares)}"
        f"{_terms(answer.terms)}, service {answer.service or 'none'}",
        f"admission: {answer.admission or 'none yet'}; link backlog"
        f" {answer.backlog_ms} ms",
        *(
            f"{number}. {_candidate(candidate)}"
            for number, candidate in enumerate(answer.candidates, 1)
        ),
        *([f"and {answer.more} more"] if answer.more else []),
    ]


@as_lines.register
def _(answer: ReplicasAnswer):
    lines = [f"led by {answer.leader or 'nobody'}"]
    lines += [f"  member {_replica(member)}" for member in answer.members]
    lines += [f"  could join: {_replica(replica)}" for replica in answer.candidates]
    return lines


@as_lines.register
def _(answer: RefusalsAnswer):
    return [
        f"{_time(record.refused_ms)} {record.service} caller {record.caller}"
        f" flow {record.flow_id} request {record.number}"
        f" by {record.entry_id}: {record.reason}"
        for record in answer.records
    ] or ["no refusals"]


@as_lines.register
def _(answer: UpstreamsAnswer):
    return list(answer.lines) or ["no upstreams"]


@as_lines.register
def _(answer: DumpAnswer):
    return json.dumps(json.loads(answer.text), indent=2).splitlines()


def _fields(line):
    """Return the message and the remaining fields of a log line as one text."""
    shown = [f"{k}={v}" for k, v in line.items() if k not in OMITTED_FIELDS]
    return ", ".join([line["text"], *shown])


def _terms(terms):
    if not terms.kind:
        return ""
    return (
        f" ({terms.kind}, priority {terms.priority}, objective {terms.objective_ms} ms,"
        f" timeout {terms.timeout_ms} ms)"
    )


def _candidate(candidate):
    marks = list(candidate.marks)
    if not candidate.considered:
        marks.append("not considered")
    figures = [
        f"{figure.name} {figure.value_milli / 1_000:g}"
        + (f" ({figure.age_ms} ms old)" if figure.age_ms else "")
        for figure in candidate.figures
    ]
    mark = f" [{', '.join(marks)}]" if marks else ""
    return (
        f"{candidate.upstream} at {candidate.host}:{candidate.port} in"
        f" {candidate.zone}{mark}: {', '.join(figures)}"
    )


def _listed(names):
    return ", ".join(names) or "none"


def _replica(replica):
    return f"{replica.name} {replica.identity} at {replica.host}:{replica.port}"


def _time(time_ms):
    moment = datetime.fromtimestamp(time_ms / 1000, tz=UTC)
    return moment.isoformat(timespec="milliseconds")
