"""knapweeddeal.healthreader: Reader of an upstream's health and load over HTTP."""

import json

import h11

from knapweeddeal.errors import BadMessageError
from knapweeddeal.record import Record

__all__ = ["Health", "HealthReader", "health_request"]

PATH = "/health"
#: Longest response body that is accepted.
MAX_BODY_BYTES = 4_096
MAX_COUNT = 1_000_000
STATUS_OK = 200


class Health(Record):
    """Hold the health and load that an upstream reports."""

    __slots__ = ("connections", "healthy", "outstanding")


def health_request(host):
    """Return an HTTP connection state and the bytes of a health request."""
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_BODY_BYTES)
    request = h11.Request(
        method="GET",
        target=PATH,
        headers=[("Host", host), ("Connection", "close")],
    )
    data = connection.send(request) + connection.send(h11.EndOfMessage())
    return connection, data


class HealthReader:
    """Parse the bytes of a response; raise BadMessageError if they are malformed."""

    __slots__ = ("_body", "_connection", "_status")

    def __init__(self, *, connection):
        self._connection = connection
        self._status = 0
        self._body = b""

    def feed(self, data):
        """Parse bytes (empty at the end); return the health once complete, or None."""
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if type(event) in (h11.EndOfMessage, h11.ConnectionClosed):
                    return self._health()
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            raise BadMessageError(
                "expected an HTTP response", field="health", value=error
            ) from None

    def _handle_event(self, event):
        if type(event) is h11.Response:
            self._status = event.status_code
        elif type(event) is h11.Data:
            self._body += event.data
        if len(self._body) > MAX_BODY_BYTES:
            raise BadMessageError(
                "expected a body of at most 4096 bytes",
                field="health",
                value=len(self._body),
            )

    def _health(self):
        try:
            figures = json.loads(self._body)
        except (ValueError, RecursionError):
            raise BadMessageError("expected a JSON body", field="health") from None
        if type(figures) is not dict:
            raise BadMessageError("expected a JSON object", field="health")
        return Health(
            healthy=self._status == STATUS_OK,
            outstanding=_count(figures, "outstanding"),
            connections=_count(figures, "connections"),
        )


def _count(figures, name):
    value = figures.get(name)
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise BadMessageError(
            "expected a whole number from 0 to 1000000", field=name, value=value
        )
    return value
