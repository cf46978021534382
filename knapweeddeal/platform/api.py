"""knapweeddeal.platform.api: The HTTP API for upstreams and operators."""

import functools
import json

import curio

from knapweeddeal.clock import monotonic_us
from knapweeddeal.errors import (
    BadMessageError,
    InvalidIntentError,
    KnapweeddealError,
    NoQuorumError,
    NotDrainingError,
    NotLeaderError,
    error_from_code,
)
from knapweeddeal.httpserver import HttpResponse
from knapweeddeal.logs import Log
from knapweeddeal.messages.evacuation import EvacuateAnswer, EvacuateRequest
from knapweeddeal.messages.operator import FailureAnswer
from knapweeddeal.messages.packets import (
    PublishAnswer,
    PublishedAnswer,
    PublishedRoutesRequest,
)
from knapweeddeal.packetevents import UpstreamDeparted, UpstreamReported
from knapweeddeal.platform.publisher import Publisher
from knapweeddeal.platform.reports import decode_departure, decode_report

__all__ = ["PlatformApi"]

log = Log(prefix="api")

CONFIGURATION_PATH = "/-/config"
UPSTREAMS_PREFIX = "/-/instances/"
EVACUATION_PREFIX = "/-/evacuate/"
#: Operator that is recorded for HTTP calls, which don't name one.
OPERATOR = "api"
#: Timeout of a call: operators and upstreams try another replica after 1 s.
ANSWER_TIMEOUT_MS = 850

#: Histograms of calls by method. Callers choose the method, and a histogram for each
#: text would use up the memory.
LATENCY_NAMES = {
    name: f"api_{name.lower()}" for name in ("PUT", "GET", "POST", "DELETE")
}
OTHER = "api_other"

#: Key in a session of the upstream that reported last: its id and start. A departure
#: has no body, so only its connection shows which process sent it.
REPORTER = "reporter"

OK = 200
TEMPORARY_REDIRECT = 307
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
UNAVAILABLE = 503


class PlatformApi:
    """Translate HTTP requests into messages, and answers into HTTP responses."""

    __slots__ = ("_send_request", "_hub_events", "_identity", "_metrics", "_port")
    __slots__ += ("_publisher",)

    def __init__(self, *, send_request, replica, hub_events, identity, port, metrics):
        #: Coroutine function that sends an operator's message to the replica.
        self._send_request = send_request
        self._hub_events = hub_events
        self._identity = identity
        #: Port of this API, the same on all VMs.
        self._port = port
        self._metrics = metrics
        self._publisher = Publisher(
            send_request=send_request, replica=replica, metrics=metrics
        )

    async def handle_request(self, request):
        """Return the HTTP response to a request, and record its duration."""
        started_us = monotonic_us()
        response = await self._answer(request)
        elapsed_us = monotonic_us() - started_us
        self._metrics.record_us(LATENCY_NAMES.get(request.method, OTHER), elapsed_us)
        return response

    async def _answer(self, request):
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_MS / 1000):
                return await self._dispatch(request)
        except KnapweeddealError as error:
            return self._error_response(request, error)
        except curio.TaskTimeout:
            return self._error_response(
                request, NoQuorumError("no answer before the timeout")
            )

    async def _dispatch(self, request):
        path = request.target.partition("?")[0]
        if path == CONFIGURATION_PATH:
            handlers = {"PUT": self._publish, "GET": self._read}
            argument = request.body
        elif path.startswith(UPSTREAMS_PREFIX):
            upstream_id = path[len(UPSTREAMS_PREFIX) :]
            handlers = {"PUT": self._report, "DELETE": self._depart}
            argument = (upstream_id, request)
        elif path.startswith(EVACUATION_PREFIX):
            handlers = {"POST": self._evacuate, "DELETE": self._readmit}
            argument = path[len(EVACUATION_PREFIX) :]
        else:
            return HttpResponse(status=NOT_FOUND, body=b"{}")
        handler = handlers.get(request.method)
        if handler is None:
            error = BadMessageError(
                f"expected {' or '.join(handlers)}",
                field="method",
                value=request.method,
            )
            return self._error_response(request, error, status=METHOD_NOT_ALLOWED)
        return await handler(argument)

    # Operators.

    async def _publish(self, body):
        return _response(await self._publisher.publish(body))

    async def _read(self, _body):
        return _response(await self._send_request(PublishedRoutesRequest()))

    async def _evacuate(self, zone):
        return await self._order(zone, evacuated=True)

    async def _readmit(self, zone):
        return await self._order(zone, evacuated=False)

    async def _order(self, zone, *, evacuated):
        # Without a request id: an order that is sent again changes nothing by itself.
        answer = await self._send_request(
            EvacuateRequest(
                operator=OPERATOR, request_id="", zone=zone, evacuated=evacuated
            )
        )
        response = _response(answer)
        log.info(
            "confirmed an order on a zone",
            zone=zone,
            evacuated=evacuated,
            version=answer.version,
        )
        return response

    # Upstreams.

    async def _report(self, argument):
        upstream_id, request = argument
        state = decode_report(upstream_id, request.body, home=self._identity)
        request.session[REPORTER] = (upstream_id, state.born_ms)
        return await self._confirm(UpstreamReported(state=state, reply=curio.Queue()))

    async def _depart(self, argument):
        upstream_id, request = argument
        born_ms, sequence = decode_departure(upstream_id, request.body)
        if born_ms is None:
            born_ms = _reported_start(request.session, upstream_id)
        return await self._confirm(
            UpstreamDeparted(
                upstream_id=upstream_id,
                born_ms=born_ms,
                sequence=sequence,
                reply=curio.Queue(),
            )
        )

    async def _confirm(self, event):
        """Return the response to an event once the hub confirms it."""
        await self._hub_events.put(event)
        if not await event.reply.get():
            raise NotDrainingError(
                "another replica may know more", field="id", value=event.upstream_id
            )
        return HttpResponse(status=OK, body=b"{}")

    # Failures.

    def _error_response(self, request, error, *, status=None):
        self._metrics.count(f"api_{error.code}")
        log.info(
            "answered a call with an error",
            method=request.method,
            target=request.target,
            error=error.describe(),
        )
        body = json.dumps({"error": error.describe()}).encode()
        if isinstance(error, NotLeaderError) and error.value:
            host = error.value.rpartition(":")[0]
            return HttpResponse(
                status=TEMPORARY_REDIRECT,
                location=f"http://{host}:{self._port}{request.target}",
                body=body,
            )
        if status is None:
            is_client_error = isinstance(error, (BadMessageError, InvalidIntentError))
            status = BAD_REQUEST if is_client_error else UNAVAILABLE
        return HttpResponse(status=status, body=body)


def _reported_start(session, upstream_id):
    """Return the start that an upstream reported over a connection, or None."""
    reporter_id, born_ms = session.get(REPORTER, (None, None))
    return born_ms if reporter_id == upstream_id else None


@functools.singledispatch
def _response(answer):
    raise KnapweeddealError(
        "expected an answer to an operator", field="answer", value=type(answer)
    )


@_response.register
def _(answer: FailureAnswer):
    raise error_from_code(
        answer.code, answer.text, field=answer.field, value=answer.value
    )


@_response.register
def _(_answer: PublishAnswer):
    return HttpResponse(status=OK, body=b"{}")


@_response.register
def _(_answer: EvacuateAnswer):
    return HttpResponse(status=OK, body=b"{}")


@_response.register
def _(answer: PublishedAnswer):
    if not answer.configuration.revision:
        raise NoQuorumError("no configuration has been published yet")
    return HttpResponse(status=OK, body=answer.configuration.document)
