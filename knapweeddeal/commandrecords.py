"""knapweeddeal.commandrecords: Log records of operators' commands."""

import functools

from knapweeddeal.errors import BadMessageError, InvalidIntentError
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import MAX_COMMAND_BYTES
from knapweeddeal.messages.evacuation import EvacuateRequest, EvacuationRecord
from knapweeddeal.messages.operator import ConfirmRequest, PlanRequest
from knapweeddeal.messages.packets import PublishRecord, PublishRequest
from knapweeddeal.messages.replication import ConfirmRecord, PlanRecord
from knapweeddeal.packetconfigurations import check_routes
from knapweeddeal.plans import apply_steps
from knapweeddeal.record import Record

__all__ = [
    "EncodedCommand",
    "PreparedPublication",
    "command_record",
    "encode_command",
    "prepare_publication",
]

#: Largest encoded record; the log adds some bytes to it.
MAX_RECORD_BYTES = MAX_COMMAND_BYTES - 64


class EncodedCommand(Record):
    """Hold the bytes of a command, and the record that every replica reads in them."""

    __slots__ = ("data", "record")


class PreparedPublication:
    """Publish a configuration that was checked and encoded outside the event loop.

    `position` is the index and term of its record in the log, or None: a publication
    that is submitted again waits for the record that it has there.
    """

    __slots__ = ("command", "position")

    def __init__(self, *, command):
        self.command = command
        self.position = None

    @property
    def revision(self):
        """Return the revision of the configuration."""
        return self.command.record.configuration.revision


def prepare_publication(configuration):
    """Return the publication of a configuration whose routes were checked."""
    record = PublishRecord(operator="", request_id="", configuration=configuration)
    return PreparedPublication(command=encode_command(record))


def encode_command(record):
    """Return the encoded record, or raise BadMessageError if no replica can read it.

    Fields are only checked when a message is decoded. A record that can't be decoded
    must not get into the log, as each replica would fail on it, also after a restart.
    """
    data = encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise BadMessageError(
            f"expected a command of at most {MAX_RECORD_BYTES} bytes",
            field="bytes",
            value=len(data),
        )
    return EncodedCommand(data=data, record=decode(data))


@functools.singledispatch
def command_record(message, _replica, *, wall_ms):
    """Return the log record of a command."""
    raise BadMessageError(
        "message type not accepted by a control replica", field="message", value=message
    )


@command_record.register
def _(message: PlanRequest, replica, *, wall_ms):
    affected = _affected(message.steps, replica)
    return PlanRecord(
        operator=message.operator,
        request_id=message.request_id,
        steps=message.steps,
        upstreams=affected.upstreams,
        zones=affected.zones,
        flows=affected.flows,
        planned_ms=wall_ms,
        life_ms=replica.plan_life_ms,
    )


@command_record.register
def _(message: ConfirmRequest, _replica, *, wall_ms):
    return ConfirmRecord(
        operator=message.operator,
        request_id=message.request_id,
        plan_id=message.plan_id,
        confirmed_ms=wall_ms,
    )


@command_record.register
def _(message: PublishRequest, _replica, *, wall_ms):
    check_routes(message.configuration.routes)
    return PublishRecord(
        operator="", request_id="", configuration=message.configuration
    )


@command_record.register
def _(message: EvacuateRequest, _replica, *, wall_ms):
    return EvacuationRecord(
        operator=message.operator,
        request_id=message.request_id,
        zone=message.zone,
        evacuated=message.evacuated,
        ordered_ms=wall_ms,
    )


def _affected(steps, replica):
    """Return what a plan affects, as far as this replica's flow counts show."""
    old = replica.state.configuration
    try:
        new = apply_steps(old, steps).configuration
    except InvalidIntentError:
        # The state machine rejects the plan with the same error on every replica.
        new = old
    return replica.affected(old, new)
