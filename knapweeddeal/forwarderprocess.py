"""knapweeddeal.forwarderprocess: A forwarder of packets as a process."""

import json
import signal
from functools import singledispatchmethod

import curio
from curio.traps import _read_wait

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadMessageError, KnapweeddealError
from knapweeddeal.forwarderlinks import SUBSCRIPTION_COUNT, maintain_subscription
from knapweeddeal.logs import Log
from knapweeddeal.messages.operator import DumpAnswer, DumpRequest, MetricsRequest
from knapweeddeal.packetsocket import forward_pending
from knapweeddeal.record import printed_name
from knapweeddeal.reload import reload_settings, watch_settings
from knapweeddeal.signals import SignalReader
from knapweeddeal.statedump import dump_text
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["run"]

log = Log(prefix="forwarder")

#: Time for the first routes to come, before what can wait is imported.
FIRST_MS = 300
#: Time between sweeps of idle flows.
SWEEP_MS = 1_000


async def run(settings, port, core, choice):
    """Forward the packets of a socket until SIGTERM; raise BadSettingError."""

    async def learn_seeds():
        choice.add_addresses(settings.seed_addresses)
        choice.remove_failed(set(settings.seed_addresses), monotonic_ms())

    log.info("started", name=settings.name, zone=settings.zone)
    tasks = [
        maintain_subscription(core, choice, settings) for _ in range(SUBSCRIPTION_COUNT)
    ]
    await run_until_first(
        _forward(port, core),
        _serve_http(core, settings),
        serve(settings.listen, _Operator(core=core).take),
        _sweep(core),
        _watch_signals(core, settings, learn_seeds),
        watch_settings(settings, learn_seeds),
        *tasks,
    )
    log.info("stopped", name=settings.name, flows=core.forwarder.flow_count)


async def _forward(port, core):
    """Take what has come in one go: a wait costs more than a packet."""
    forwarder = core.forwarder
    while True:
        due_ms = forwarder.next_due_ms
        if due_ms is None:
            await _read_wait(port)
        else:
            wait_ms = max(due_ms - monotonic_ms(), 0)
            await curio.ignore_after(wait_ms / 1000, _read_wait, port)
        forward_pending(port, forwarder, core.metrics)


async def _serve_http(core, settings):
    """Tell whether this forwarder serves, and its metrics.

    The library is imported late: packets that already come go first.
    """
    await curio.sleep(FIRST_MS / 1000)
    from knapweeddeal.httpserver import HttpResponse, serve_http
    from knapweeddeal.metricsserver import serve_metrics

    async def readiness(_request):
        return HttpResponse(status=200 if core.is_ready else 503, body=b"{}")

    servers = [serve_http(settings.ready, readiness)]
    if settings.metrics is not None:
        servers.append(serve_metrics(settings.metrics, core.metrics))
    await run_until_first(*servers)


async def _sweep(core):
    while True:
        await curio.sleep(SWEEP_MS / 1000)
        core.forwarder.expire_flows(monotonic_ms())
        core.pool.expire_upstreams(monotonic_ms())


async def _watch_signals(core, settings, learn_seeds):
    """Turn not ready at SIGTERM, and end when routers had time to notice."""
    signals = SignalReader(numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    while await signals.next() == signal.SIGHUP:
        if reload_settings(settings):
            await learn_seeds()
    core.stop()
    log.info("stops", flows=core.forwarder.flow_count, stop_ms=settings.stop_ms)
    await curio.sleep(settings.stop_ms / 1000)


class _Operator:
    """Answer an operator's queries."""

    __slots__ = ("_core",)

    def __init__(self, *, core):
        self._core = core

    async def take(self, stream):
        """Answer one query after another until the stream ends."""
        try:
            while True:
                await stream.send(self._answer(await stream.receive()))
        except KnapweeddealError as error:
            log.info("ends an operator's stream", why=error.describe())

    @singledispatchmethod
    def _answer(self, message):
        raise BadMessageError(
            "not for a forwarder", field="message", value=printed_name(message)
        )

    @_answer.register
    def _(self, message: DumpRequest):
        return DumpAnswer(
            text=dump_text(self._core.dump(), max_bytes=message.max_bytes)
        )

    @_answer.register
    def _(self, _message: MetricsRequest):
        return DumpAnswer(text=json.dumps(self._core.metrics.summary()))
