"""knapweeddeal.entryqueries: Answers of an entry to operators' queries."""

import json
from functools import singledispatchmethod

from knapweeddeal.messages.operator import (
    DumpAnswer,
    DumpRequest,
    FailureAnswer,
    MetricsRequest,
    RefusalsAnswer,
    RefusalsRequest,
    UpstreamsAnswer,
    UpstreamsRequest,
)
from knapweeddeal.record import printed_name
from knapweeddeal.refusals import matches_query
from knapweeddeal.statedump import dump_text, to_jsonable

__all__ = ["EntryQueries"]

#: Upstreams in one answer.
MAX_UPSTREAMS = 10_000


class EntryQueries:
    """Answer queries from the state of an entry without changing it."""

    __slots__ = ("_core", "_metrics", "_state")

    def __init__(self, *, core, metrics, state):
        self._core = core
        self._metrics = metrics
        #: Returns the sections of the state dump that aren't part of the core.
        self._state = state

    @singledispatchmethod
    def answer(self, message):
        """Return the answer to a query."""
        return FailureAnswer(
            code="bad_message",
            text="an entry doesn't answer this message",
            field="message",
            value=printed_name(message),
        )

    @answer.register
    def _(self, message: DumpRequest):
        core = self._core
        state = {
            **self._state(),
            "identity": core.identity,
            "services": core.services,
            "upstreams": [_upstream(upstream) for upstream in core.directory.all()],
            "metrics": self._metrics.summary(),
            "flows": len(core.flows),
        }
        return DumpAnswer(text=dump_text(state, max_bytes=message.max_bytes))

    @answer.register
    def _(self, message: MetricsRequest):
        return DumpAnswer(text=json.dumps(self._metrics.summary()))

    @answer.register
    def _(self, message: RefusalsRequest):
        held = self._core.context.refusal_replication.unacknowledged()
        found = [record for record in held if matches_query(record, message)]
        return RefusalsAnswer(records=found[: message.limit])

    @answer.register
    def _(self, message: UpstreamsRequest):
        lines = [
            json.dumps(_upstream(upstream))
            for upstream in self._core.directory.all()
            if message.service in ("", upstream.key.service)
        ]
        return UpstreamsAnswer(lines=lines[:MAX_UPSTREAMS])


def _upstream(upstream):
    announce = upstream.announce
    return {
        "service": announce.service,
        "upstream_id": announce.upstream_id,
        "zone": announce.zone,
        "address": f"{announce.host}:{announce.port}",
        "state": announce.state,
        "stream": upstream.ready,
        "outstanding": upstream.outstanding,
        "connections": upstream.connections,
        "lease_until_ms": to_jsonable(upstream.lease_until_ms),
    }
