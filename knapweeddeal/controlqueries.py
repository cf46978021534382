"""knapweeddeal.controlqueries: Answers of a control replica to queries."""

import functools
import json

from knapweeddeal.commandrecords import PreparedPublication
from knapweeddeal.configurationstate import failure_answer
from knapweeddeal.errors import BadMessageError, InvalidIntentError
from knapweeddeal.evacuations import check_order
from knapweeddeal.messages.evacuation import (
    EvacuateRequest,
    ZonesAnswer,
    ZonesRequest,
)
from knapweeddeal.messages.operator import (
    DumpAnswer,
    DumpRequest,
    MetricsRequest,
    ReplicasAnswer,
    ReplicasRequest,
    ServicesAnswer,
    ServicesRequest,
    StatusAnswer,
    StatusRequest,
)
from knapweeddeal.messages.packets import (
    PublishAnswer,
    PublishedAnswer,
    PublishedRoutesRequest,
    PublishRequest,
)
from knapweeddeal.packetconfigurations import check_routes
from knapweeddeal.statedump import dump_text

__all__ = ["local_answer", "quorum_answer", "replicas_answer"]


@functools.singledispatch
def local_answer(_message, _replica):
    """Return the answer if it needs no leader, else None."""
    return


@local_answer.register
def _(message: DumpRequest, replica):
    return DumpAnswer(text=dump_text(replica.dump(), max_bytes=message.max_bytes))


@local_answer.register
def _(_message: MetricsRequest, replica):
    return DumpAnswer(text=json.dumps(replica.metrics.summary()))


@local_answer.register
def _(message: PublishRequest, replica):
    """Answer at once if the revision isn't newer, as it would change nothing.

    Of a newer one the leader checks the routes, once.
    """
    revision = replica.state.packets.revision
    if message.configuration.revision > revision:
        return None
    try:
        check_routes(message.configuration.routes)
    except InvalidIntentError as error:
        return failure_answer(error)
    return PublishAnswer(revision=revision)


@local_answer.register
def _(publication: PreparedPublication, replica):
    """Answer at once if the revision isn't newer; the routes were checked before."""
    revision = replica.state.packets.revision
    if publication.revision > revision:
        return None
    return PublishAnswer(revision=revision)


@local_answer.register
def _(message: EvacuateRequest, replica):
    """Refuse an invalid order at any replica.

    A valid one always goes through the log, even if it changes nothing here: this
    replica may lack a later order.
    """
    try:
        check_order(
            message, listed=replica.zones, evacuations=replica.state.evacuations
        )
    except InvalidIntentError as error:
        return failure_answer(error)
    return None


@functools.singledispatch
def quorum_answer(message, _replica):
    """Return the leader's answer after its quorum read."""
    raise BadMessageError("expected a query", field="message", value=message)


@quorum_answer.register
def _(_message: StatusRequest, replica):
    return StatusAnswer(
        leader=replica.leader_name(),
        term=replica.node.term,
        version=replica.state.configuration.version,
        commit_index=replica.node.commit_index,
        entries=replica.entry_statuses(),
    )


@quorum_answer.register
def _(_message: ServicesRequest, replica):
    configuration = replica.state.configuration
    return ServicesAnswer(
        version=configuration.version, services=configuration.services
    )


@quorum_answer.register
def _(_message: PublishedRoutesRequest, replica):
    return PublishedAnswer(configuration=replica.state.packets)


@quorum_answer.register
def _(_message: ZonesRequest, replica):
    return ZonesAnswer(evacuations=replica.state.evacuations)


@quorum_answer.register
def _(_message: ReplicasRequest, replica):
    return replicas_answer(replica)


def replicas_answer(replica):
    """Return the leader, the committed members and the candidates."""
    node = replica.node
    return ReplicasAnswer(
        leader=replica.leader_name(),
        members=list(node.log.replicas_at(node.commit_index)),
        candidates=replica.candidates(),
    )
