"""knapweeddeal.metricsserver: Counters and latencies as text over HTTP."""

import curio

from knapweeddeal.errors import BadSettingError
from knapweeddeal.httpserver import HttpResponse, serve_http
from knapweeddeal.logs import Log

__all__ = ["serve_metrics"]

log = Log(prefix="metrics")

#: Pause after an address that couldn't be bound.
RETRY_INTERVAL_MS = 1_000
CONTENT_TYPE = "text/plain; version=0.0.4"


async def serve_metrics(address, metrics):
    """Answer every request with the text of the metrics, forever."""

    async def answer(_request):
        return HttpResponse(
            status=200, body=metrics.text().encode(), content_type=CONTENT_TYPE
        )

    while True:
        try:
            await serve_http(address, answer, metrics=metrics)
        except BadSettingError as error:
            # Flows must not depend on metrics; their port may be another program's.
            log.warning("failed to serve, will retry", error=error.describe())
            await curio.sleep(RETRY_INTERVAL_MS / 1000)
