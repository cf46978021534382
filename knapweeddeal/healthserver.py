"""knapweeddeal.healthserver: Reference server of an upstream's health address."""

import json

from knapweeddeal.httpserver import HttpResponse, serve_http

__all__ = ["serve_health"]


async def serve_health(address, read_health):
    """Serve until cancelled; `read_health()` returns the HTTP status and figures."""

    async def answer(_request):
        status, figures = read_health()
        return HttpResponse(status=status, body=json.dumps(figures).encode())

    await serve_http(address, answer)
