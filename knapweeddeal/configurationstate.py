"""knapweeddeal.configurationstate: The replicated state of the control replicas."""

import functools
import hashlib

from knapweeddeal.errors import ConflictError, InvalidIntentError, KnapweeddealError
from knapweeddeal.evacuations import after_order, evacuated_names
from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import Configuration
from knapweeddeal.messages.evacuation import EvacuateAnswer, EvacuationRecord
from knapweeddeal.messages.operator import ConfirmAnswer, FailureAnswer, PlanAnswer
from knapweeddeal.messages.packets import (
    NO_EVACUATIONS,
    PacketConfiguration,
    PublishAnswer,
    PublishRecord,
)
from knapweeddeal.messages.replication import (
    ConfirmRecord,
    MemberCountRecord,
    MembershipRecord,
    NonvoterRecord,
    PlanRecord,
    StateImage,
    StoredPlan,
    StoredResult,
)
from knapweeddeal.packetconfigurations import with_former_services
from knapweeddeal.plans import apply_steps

__all__ = ["ConfigurationState", "failure_answer"]

#: Maximum number of results kept for retries; the oldest are evicted first.
MAX_RESULTS = 10_000
#: Maximum total size in bytes of the answers kept for retries.
MAX_RESULT_BYTES = 16 * 1024 * 1024
#: Maximum number of open and confirmed plans; the oldest are evicted first.
MAX_PLANS = 1_000
#: Maximum number of differences listed in the answer to a plan.
MAX_DIFFERENCES = 1_000


def failure_answer(error):
    """Return the answer that carries an error."""
    return FailureAnswer(
        code=error.code,
        text=error.text[:1024],
        field=error.field[:64],
        value=error.value[:200],
    )


class ConfigurationState:
    """Apply records in log order; equal records give equal states and answers.

    The clock is the highest time in the applied records. A retry with the same request
    id gets the stored answer. Memory is bounded: the oldest results are evicted first.
    A command whose result was evicted still can't take effect twice, as its plan is
    confirmed, expired or evicted.
    """

    __slots__ = ("_clock_ms", "_plans", "_result_bytes", "_results", "configuration")
    __slots__ += ("evacuations", "nonvoters", "packets", "settled_members")

    def __init__(self):
        self.configuration = Configuration(version=0, services=[])
        self.packets = PacketConfiguration(
            revision=0, routes=[], document=b"", services=[]
        )
        self.evacuations = NO_EVACUATIONS
        #: Last number of members that an earlier version recorded, or 0; it is kept
        #: for replicas of that version.
        self.settled_members = 0
        #: Replicas that left the quorum while out of reach and may join it again.
        self.nonvoters = []
        self._clock_ms = 0
        self._plans = {}
        self._results = {}
        self._result_bytes = 0

    # Queries.

    def encode_snapshot(self):
        """Return the encoded state."""
        return encode(
            StateImage(
                configuration=self.configuration,
                clock_ms=self._clock_ms,
                plans=list(self._plans.values()),
                results=list(self._results.values()),
                packets=self.packets,
                evacuations=self.evacuations,
                settled_members=self.settled_members,
                nonvoters=self.nonvoters,
            )
        )

    def stored_answer(self, operator, request_id):
        """Return the stored answer to a request id, or None."""
        result = self._results.get((operator, request_id))
        return decode(result.answer) if result else None

    def counts(self):
        """Return sizes by name, for the dump."""
        return {
            "version": self.configuration.version,
            "packet_revision": self.packets.revision,
            "packet_routes": len(self.packets.routes),
            "evacuation_version": self.evacuations.version,
            "evacuated_zones": evacuated_names(self.evacuations),
            "settled_members": self.settled_members,
            "nonvoters": [replica.name for replica in self.nonvoters],
            "services": len(self.configuration.services),
            "plans": len(self._plans),
            "results": len(self._results),
            "result_bytes": self._result_bytes,
        }

    # Commands.

    def restore(self, data):
        """Replace the state by an encoded one."""
        image = decode(data)
        self.configuration = image.configuration
        self.packets = image.packets
        self.evacuations = image.evacuations
        self.settled_members = image.settled_members
        self.nonvoters = image.nonvoters
        self._clock_ms = image.clock_ms
        self._plans = {plan.plan_id: plan for plan in image.plans}
        self._results = {
            (result.operator, result.request_id): result for result in image.results
        }
        self._result_bytes = sum(len(result.answer) for result in image.results)

    def apply(self, index, record):
        """Apply the record at an index and return its answer."""
        if not record.request_id:
            return self._answer(index, record)
        key = (record.operator, record.request_id)
        digest = _digest(record)
        stored = self._results.get(key)
        if stored is not None:
            return _stored_answer(stored, digest)
        answer = self._answer(index, record)
        self._store_result(key, digest, answer)
        return answer

    def plan(self, index, record):
        """Create a plan based on the configuration in force."""
        self._advance_clock(record.planned_ms)
        change = apply_steps(self.configuration, record.steps)
        plan = StoredPlan(
            plan_id=f"plan-{index}",
            base_version=self.configuration.version,
            steps=record.steps,
            expires_ms=self._clock_ms + record.life_ms,
            confirmed_version=0,
            confirmed_by="",
        )
        self._plans[plan.plan_id] = plan
        while len(self._plans) > MAX_PLANS:
            del self._plans[next(iter(self._plans))]
        return PlanAnswer(
            plan_id=plan.plan_id,
            base_version=plan.base_version,
            differences=change.differences[:MAX_DIFFERENCES],
            services=change.services,
            upstreams=sorted({*change.upstreams, *record.upstreams}),
            zones=record.zones,
            flows=record.flows,
            expires_ms=plan.expires_ms,
        )

    def confirm(self, record):
        """Put a plan in force if its base version is still in force."""
        plan = self._plans.get(record.plan_id)
        if plan is not None and plan.confirmed_version:
            return _repeated_confirm_answer(plan, record)
        self._advance_clock(record.confirmed_ms)
        plan = self._plans.get(record.plan_id)
        if plan is None:
            raise InvalidIntentError(
                "no such plan, or the plan has expired",
                field="plan_id",
                value=record.plan_id,
            )
        if plan.base_version != self.configuration.version:
            raise _conflict_error(self.configuration.version)
        change = apply_steps(self.configuration, plan.steps)
        self.configuration = change.configuration
        version = self.configuration.version
        self._plans[plan.plan_id] = plan.replace(
            confirmed_version=version, confirmed_by=record.operator, steps=[]
        )
        return ConfirmAnswer(plan_id=plan.plan_id, version=version)

    def publish(self, record):
        """Put packet routes in force if their revision is higher."""
        published = record.configuration
        if published.revision > self.packets.revision:
            self.packets = with_former_services(self.packets, published)
        return PublishAnswer(revision=self.packets.revision)

    def evacuate(self, record):
        """Evacuate or readmit a zone; a repeated order changes nothing."""
        self.evacuations = after_order(self.evacuations, record)
        return EvacuateAnswer(version=self.evacuations.version)

    def _answer(self, index, record):
        try:
            return _apply(record, self, index)
        except KnapweeddealError as error:
            return failure_answer(error)

    def _advance_clock(self, now_ms):
        """Advance the clock and remove expired plans."""
        self._clock_ms = max(self._clock_ms, now_ms)
        expired = [
            plan.plan_id
            for plan in self._plans.values()
            if plan.expires_ms <= self._clock_ms
        ]
        for plan_id in expired:
            del self._plans[plan_id]

    def _store_result(self, key, digest, answer):
        operator, request_id = key
        data = encode(answer)
        self._results[key] = StoredResult(
            operator=operator, request_id=request_id, digest=digest, answer=data
        )
        self._result_bytes += len(data)
        while self._has_too_many_results():
            oldest = self._results.pop(next(iter(self._results)))
            self._result_bytes -= len(oldest.answer)

    def _has_too_many_results(self):
        if len(self._results) <= 1:
            return False
        too_large = self._result_bytes > MAX_RESULT_BYTES
        return len(self._results) > MAX_RESULTS or too_large


@functools.singledispatch
def _apply(record, _state, _index):
    raise InvalidIntentError("unknown record type", field="record", value=type(record))


@_apply.register
def _(record: PlanRecord, state, index):
    return state.plan(index, record)


@_apply.register
def _(record: ConfirmRecord, state, _index):
    return state.confirm(record)


@_apply.register
def _(record: PublishRecord, state, _index):
    return state.publish(record)


@_apply.register
def _(record: EvacuationRecord, state, _index):
    return state.evacuate(record)


@_apply.register
def _(record: MembershipRecord, _state, _index):
    return record


@_apply.register
def _(record: MemberCountRecord, state, _index):
    state.settled_members = record.members
    return record


@_apply.register
def _(record: NonvoterRecord, state, _index):
    state.nonvoters = record.replicas
    return record


def _conflict_error(version):
    return ConflictError(
        f"version {version} was confirmed first", field="version", value=version
    )


def _repeated_confirm_answer(plan, record):
    if plan.confirmed_by != record.operator:
        raise _conflict_error(plan.confirmed_version)
    return ConfirmAnswer(plan_id=plan.plan_id, version=plan.confirmed_version)


def _stored_answer(stored, digest):
    if stored.digest == digest:
        return decode(stored.answer)
    return failure_answer(
        InvalidIntentError(
            "the request id was already used for another command",
            field="request_id",
            value=stored.request_id,
        )
    )


@functools.singledispatch
def _intent_bytes(record):
    """Return the operator's request as bytes, without what the leader added."""
    return encode(record)


@_intent_bytes.register
def _(record: PlanRecord):
    return b"plan" + b"".join(encode(step) for step in record.steps)


@_intent_bytes.register
def _(record: ConfirmRecord):
    return b"confirm" + record.plan_id.encode()


@_intent_bytes.register
def _(record: EvacuationRecord):
    kind = b"evacuate" if record.evacuated else b"readmit"
    return kind + record.zone.encode()


def _digest(record):
    return hashlib.blake2b(_intent_bytes(record), digest_size=16).digest()
