"""knapweeddeal.metricsserver: Counters and latencies as text over HTTP."""

from knapweeddeal.httpserver import HttpResponse, serve_http

__all__ = ["serve_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4"


async def serve_metrics(address, metrics):
    """Answer every request with the text of the metrics, forever."""

    async def answer(_request):
        return HttpResponse(
            status=200, body=metrics.text().encode(), content_type=CONTENT_TYPE
        )

    await serve_http(address, answer, metrics=metrics)
