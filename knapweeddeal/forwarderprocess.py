"""knapweeddeal.forwarderprocess: Tasks of the forwarder process."""

import json
import signal
from functools import singledispatchmethod

import curio
from curio.traps import _read_wait

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadMessageError, KnapweeddealError
from knapweeddeal.forwarderlinks import (
    SUBSCRIPTION_COUNT,
    maintain_subscription,
    send_cold_requests,
)
from knapweeddeal.logs import Log
from knapweeddeal.messages.operator import (
    DumpAnswer,
    DumpRequest,
    FailureAnswer,
    MetricsRequest,
    WhereRequest,
)
from knapweeddeal.record import printed_name
from knapweeddeal.reload import reload_settings, watch_settings
from knapweeddeal.signals import SignalReader
from knapweeddeal.statedump import dump_text
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["run"]

log = Log(prefix="forwarder")

#: Delay of the HTTP servers' import, so that the first routes are received before.
HTTP_DELAY_MS = 300
#: Longest wait for the egress queue at a stop, and the time between checks.
MAX_DRAIN_MS = 1_000
DRAIN_CHECK_INTERVAL_MS = 20
#: Backlog in link time that is logged.
LOGGED_BACKLOG_MS = 100
#: Time between removals of expired flows and upstreams.
EXPIRE_INTERVAL_MS = 1_000


async def run(settings, packet_socket, core, selector):
    """Forward the packets of a socket until SIGTERM; raise BadSettingError."""

    async def apply_settings():
        core.egress.set_rate(settings.link_mbps)
        core.set_admission(settings.admission)
        selector.set_seeds(settings.seed_addresses, monotonic_ms())

    log.info("started", name=settings.name, zone=settings.zone)
    tasks = [
        maintain_subscription(core, selector, settings)
        for _ in range(SUBSCRIPTION_COUNT)
    ]
    await run_until_first(
        _forward(packet_socket, core),
        _serve_http(core, settings),
        serve(
            settings.listen,
            _OperatorQueries(core=core).handle_stream,
            metrics=core.metrics,
        ),
        _expire_periodically(core),
        _watch_signals(core, settings, apply_settings),
        watch_settings(settings, apply_settings),
        *tasks,
    )
    log.info("stopped", name=settings.name, flows=core.forwarder.flow_count)


async def _forward(packet_socket, core):
    """Forward pending packets in batches, as a wait costs more than a packet."""
    while True:
        now_ms = monotonic_ms()
        due_ms = packet_socket.next_due_ms(now_ms)
        if due_ms is None:
            await _read_wait(packet_socket)
        else:
            wait_ms = max(due_ms - now_ms, 0)
            await curio.ignore_after(wait_ms / 1000, _read_wait, packet_socket)
        packet_socket.forward_pending()
        if core.forwarder.cold_permits.has_unsent:
            await send_cold_requests(core)


async def _serve_http(core, settings):
    """Serve readiness and metrics over HTTP.

    The servers are imported late, so that packets are forwarded first after a start.
    """
    await curio.sleep(HTTP_DELAY_MS / 1000)
    from knapweeddeal.httpserver import HttpResponse, serve_http
    from knapweeddeal.metricsserver import serve_metrics

    async def readiness(_request):
        return HttpResponse(status=200 if core.is_ready else 503, body=b"{}")

    servers = [serve_http(settings.ready, readiness, metrics=core.metrics)]
    if settings.metrics is not None:
        servers.append(serve_metrics(settings.metrics, core.metrics))
    await run_until_first(*servers)


async def _expire_periodically(core):
    while True:
        await curio.sleep(EXPIRE_INTERVAL_MS / 1000)
        core.forwarder.expire_flows(monotonic_ms())
        core.pool.expire_upstreams(monotonic_ms())
        if core.egress.backlog_ms >= LOGGED_BACKLOG_MS:
            log.info("egress backlog", **core.egress.dump())


async def _watch_signals(core, settings, apply_settings):
    """Become not ready at SIGTERM; return after `stop_ms`, for routers to notice.

    What then still waits for the link is sent first.
    """
    signals = SignalReader(numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    while await signals.next() == signal.SIGHUP:
        if reload_settings(settings):
            await apply_settings()
    core.stop()
    log.info("stopping", flows=core.forwarder.flow_count, stop_ms=settings.stop_ms)
    await curio.sleep(settings.stop_ms / 1000)
    deadline_ms = monotonic_ms() + MAX_DRAIN_MS
    while core.egress.backlog_bytes and monotonic_ms() < deadline_ms:
        await curio.sleep(DRAIN_CHECK_INTERVAL_MS / 1000)


class _OperatorQueries:
    """Answer operators' queries."""

    __slots__ = ("_core",)

    def __init__(self, *, core):
        self._core = core

    async def handle_stream(self, stream):
        """Answer the queries of a stream in order until it ends."""
        try:
            while True:
                await stream.send(self._answer(await stream.receive()))
        except KnapweeddealError as error:
            log.info("closed the stream from an operator", why=error.describe())

    @singledispatchmethod
    def _answer(self, message):
        raise BadMessageError(
            "expected a message that a forwarder handles",
            field="message",
            value=printed_name(message),
        )

    @_answer.register
    def _(self, message: DumpRequest):
        return DumpAnswer(
            text=dump_text(self._core.dump(), max_bytes=message.max_bytes)
        )

    @_answer.register
    def _(self, message: WhereRequest):
        try:
            return self._core.where(message, monotonic_ms())
        except KnapweeddealError as error:
            return FailureAnswer(
                code=error.code, text=error.text, field=error.field, value=error.value
            )

    @_answer.register
    def _(self, _message: MetricsRequest):
        return DumpAnswer(text=json.dumps(self._core.metrics.summary()))
