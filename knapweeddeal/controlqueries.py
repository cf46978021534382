"""knapweeddeal.controlqueries: What a control replica answers to queries."""

import functools
import json

from knapweeddeal.errors import BadMessageError
from knapweeddeal.inspection import dump_text
from knapweeddeal.messages.operator import (
    DumpAnswer,
    DumpAsk,
    MetricsAsk,
    ReplicasAnswer,
    ReplicasAsk,
    ServicesAnswer,
    ServicesAsk,
    StatusAnswer,
    StatusAsk,
)
from knapweeddeal.messages.packets import (
    PublishAnswer,
    PublishAsk,
    PublishedAnswer,
    PublishedAsk,
)

__all__ = ["local_answer", "quorum_answer", "replicas_answer"]


@functools.singledispatch
def local_answer(_message, _replica):
    """Return the answer that needs no leader, or None."""
    return


@local_answer.register
def _(message: DumpAsk, replica):
    return DumpAnswer(text=dump_text(replica.dump(), max_bytes=message.max_bytes))


@local_answer.register
def _(_message: MetricsAsk, replica):
    return DumpAnswer(text=json.dumps(replica.metrics.summary()))


@local_answer.register
def _(message: PublishAsk, replica):
    """Confirm a revision that is in force or was overtaken: it changes nothing."""
    revision = replica.state.packets.revision
    if message.configuration.revision > revision:
        return None
    return PublishAnswer(revision=revision)


@functools.singledispatch
def quorum_answer(message, _replica):
    """Return the answer of a leader whose quorum round ended."""
    raise BadMessageError("not a query", field="message", value=message)


@quorum_answer.register
def _(_message: StatusAsk, replica):
    return StatusAnswer(
        leader=replica.leader_name(),
        term=replica.node.term,
        version=replica.state.configuration.version,
        commit_index=replica.node.commit_index,
        entries=replica.entry_statuses(),
    )


@quorum_answer.register
def _(_message: ServicesAsk, replica):
    configuration = replica.state.configuration
    return ServicesAnswer(
        version=configuration.version, services=configuration.services
    )


@quorum_answer.register
def _(_message: PublishedAsk, replica):
    return PublishedAnswer(configuration=replica.state.packets)


@quorum_answer.register
def _(_message: ReplicasAsk, replica):
    return replicas_answer(replica)


def replicas_answer(replica):
    """Return who counts and who could."""
    node = replica.node
    return ReplicasAnswer(
        leader=replica.leader_name(),
        members=list(node.log.replicas_at(node.commit_index)),
        candidates=replica.candidates(),
    )
