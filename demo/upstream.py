"""demo.upstream: A stand-in upstream that answers, pushes and records its requests."""

import argparse
import json
import secrets
import signal

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.healthserver import serve_health
from knapweeddeal.messages.upstream import LEAVING, READY, Announce
from knapweeddeal.signals import SignalReader
from knapweeddeal.upstream import UpstreamServer

PUSH_MS = 500


class Application:
    """Answer with the service name; append each request to a file."""

    def __init__(self, *, name, service, runs_path, work_ms):
        self._name = name
        self._service = service
        self._runs_path = runs_path
        self._work_ms = work_ms

    async def __call__(self, work):
        """Run one request; the answer to a body `long N` has N bytes of filler."""
        if self._runs_path:
            with open(self._runs_path, "a", encoding="utf-8") as runs:
                print(self._service, work.flow_id, work.number, work.body, file=runs)
        await curio.sleep(self._work_ms / 1000)
        head = b"%s:%s:" % (self._service.encode(), work.body)
        if work.body.startswith(b"long "):
            return head + b"x" * int(work.body.split()[1])
        return head + self._name.encode()


async def push_periodically(server, push_ms):
    """Push to every flow at an interval; return at once if that is 0."""
    while push_ms:
        await curio.sleep(push_ms / 1000)
        for flow_id in list(server.core.flows):
            await server.push(flow_id, server.core.announce.service.encode())


def health_response(options, server):
    """Return a health handler that gives the answer set by option, or real figures."""

    def respond():
        if options.health:
            return json.loads(options.health)
        figures = {
            "outstanding": server.core.outstanding,
            "connections": len(server.core.flows),
        }
        return 200, figures

    return respond


async def run(options):
    """Serve until SIGTERM; then announce the state leaving and wait for the drain."""
    host, _, port = options.listen.rpartition(":")
    announce = Announce(
        upstream_id=options.id,
        incarnation=secrets.randbits(64),
        sequence=0,
        zone=options.zone,
        service=options.service,
        host=host,
        port=int(port),
        health_port=options.health_port,
        slots=options.slots,
        max_connections=options.connections,
        state=READY,
        drain_ms=options.drain_ms,
    )
    application = Application(
        name=options.id,
        service=options.service,
        runs_path=options.runs,
        work_ms=options.work_ms,
    )
    to_host, _, to_port = options.announce.rpartition(":")
    server = UpstreamServer(
        announce=announce,
        announce_to=(to_host, int(to_port)),
        application=application,
        clock_ms=monotonic_ms,
    )
    signals = SignalReader(numbers=[signal.SIGTERM])
    serving = await curio.spawn(server.run)
    pushing = await curio.spawn(push_periodically, server, options.push_ms)
    if options.health_port:
        address = (host, options.health_port)
        await curio.spawn(serve_health, address, health_response(options, server))
    await signals.next()
    server.core.announce = announce.replace(state=LEAVING)
    await curio.sleep(options.drain_ms / 1000)
    await pushing.cancel()
    await serving.cancel()


def main():
    """Run the stand-in with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--announce", required=True)
    parser.add_argument("--health-port", type=int, default=0)
    parser.add_argument(
        "--health", default="", help="fixed health answer: status and figures as JSON"
    )
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--connections", type=int, default=4000)
    parser.add_argument("--work-ms", type=int, default=5)
    parser.add_argument("--drain-ms", type=int, default=5_000)
    parser.add_argument("--runs", default="")
    parser.add_argument("--push-ms", type=int, default=PUSH_MS)
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
