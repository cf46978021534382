"""knapweeddeal.forwarderprocess: A forwarder of packets as a process."""

import json
import random
import signal
from functools import singledispatchmethod

import curio
from curio.traps import _read_wait

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadMessageError, KnapweeddealError
from knapweeddeal.forwardercore import ForwarderCore
from knapweeddeal.forwarderlinks import LINKS, keep_link
from knapweeddeal.inspection import dump_text
from knapweeddeal.logs import Log
from knapweeddeal.messages.operator import DumpAnswer, DumpAsk, MetricsAsk
from knapweeddeal.metrics import Metrics
from knapweeddeal.reload import reload_settings, watch_settings
from knapweeddeal.replicachoice import ReplicaChoice
from knapweeddeal.signals import SignalReader
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["run"]

log = Log(prefix="forwarder")

#: Largest datagram: an 8-byte prefix, a head of 32 bytes and 1,200 bytes of data.
MAX_DATAGRAM_BYTES = 2_048
#: Time for the first routes to come, before what can wait is imported.
FIRST_MS = 300
#: Datagrams that are taken before other tasks get their turn.
MAX_IN_A_ROW = 64
#: Time between sweeps of idle flows.
SWEEP_MS = 1_000


async def run(settings, port):
    """Forward the packets of a socket until SIGTERM; raise BadSettingError."""
    metrics = Metrics()
    choice = ReplicaChoice(
        seeds=settings.seed_addresses, zone=settings.zone, random=random.random
    )
    core = ForwarderCore(
        settings=settings, choice=choice, random=random.random, metrics=metrics
    )

    async def learn_seeds():
        choice.learn(settings.seed_addresses)
        choice.forget_failed(set(settings.seed_addresses), monotonic_ms())

    log.info("started", name=settings.name, zone=settings.zone)
    tasks = [keep_link(core, choice, settings) for _ in range(LINKS)]
    await run_until_first(
        _forward(port, core, metrics),
        _serve_http(core, settings),
        serve(settings.listen, _Operator(core=core).take),
        _sweep(core),
        _watch_signals(core, settings, learn_seeds),
        watch_settings(settings, learn_seeds),
        *tasks,
    )
    log.info("stopped", name=settings.name, flows=core.forwarder.flow_count)


async def _forward(port, core, metrics):
    """Take what has come in one go: a wait costs more than a packet."""
    take, out = core.forwarder.take, []
    while True:
        await _read_wait(port)
        now_ms = monotonic_ms()
        for data in _received(port, metrics):
            take(data, now_ms, out)
        _send_all(port, out, metrics)
        out.clear()


def _received(port, metrics):
    for _ in range(MAX_IN_A_ROW):
        try:
            data = port.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            # An earlier datagram met a closed port; the socket itself is sound.
            metrics.count("receive_errors")
            log.info("can't receive", why=str(error))
            continue
        metrics.count("packets_received")
        yield data


def _send_all(port, out, metrics):
    for data, address in out:
        try:
            port.sendto(data, address)
        except OSError as error:
            metrics.count("send_errors")
            log.info("can't send", to=address, why=str(error))
        else:
            metrics.count("packets_sent")


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
        core.forwarder.forget(monotonic_ms())


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
            "not for a forwarder", field="message", value=type(message).__name__
        )

    @_answer.register
    def _(self, message: DumpAsk):
        return DumpAnswer(
            text=dump_text(self._core.dump(), max_bytes=message.max_bytes)
        )

    @_answer.register
    def _(self, _message: MetricsAsk):
        return DumpAnswer(text=json.dumps(self._core.metrics.summary()))
