"""knapweeddeal.healthserver: Reference server of an upstream's health address."""

import json

from knapweeddeal.httpserver import HttpResponse, serve_http

__all__ = ["serve_health"]


async def serve_health(address, look):
    """Answer requests until cancelled; `look()` returns HTTP status and figures."""

    async def answer(_request):
        status, figures = look()
        return HttpResponse(status=status, body=json.dumps(figures).encode())

    await serve_http(address, answer)
