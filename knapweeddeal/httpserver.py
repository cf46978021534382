"""knapweeddeal.httpserver: An HTTP/1.1 server for short requests."""

import contextlib

import curio
import h11

from knapweeddeal.listener import accept_connections, bind_listener
from knapweeddeal.logs import Log
from knapweeddeal.record import Record

__all__ = ["HttpRequest", "HttpResponse", "read_request", "serve_http"]

READ_BYTES = 64 * 1024
#: Largest request line and headers.
MAX_HEAD_BYTES = 16 * 1024
#: Largest request body.
MAX_BODY_BYTES = 4 * 1024 * 1024
#: Events read in a row before the task yields: a body may come in chunks of one byte.
MAX_EVENTS_BEFORE_YIELD = 64
#: Longest wait for the next request on a connection.
IDLE_TIMEOUT_S = 60
#: Connections of one server at a time. A process has up to two servers, several hundred
#: streams, and 1,335 descriptors on the smallest VMs.
MAX_CONNECTIONS = 400

log = Log(prefix="http")


class HttpRequest(Record):
    """Hold a complete request.

    `session` is a dictionary for values that the handler keeps for a connection.
    """

    __slots__ = ("body", "method", "session", "target")


class HttpResponse(Record):
    """Hold a complete response; `location` is set only for redirects."""

    __slots__ = ("body", "content_type", "location", "status")

    def __init__(
        self, *, status, body=b"", content_type="application/json", location=""
    ):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.location = location

    def events(self):
        """Return the response as h11 events."""
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
        ]
        if self.location:
            headers.append(("Location", self.location))
        return [
            h11.Response(status_code=self.status, headers=headers),
            h11.Data(data=self.body),
            h11.EndOfMessage(),
        ]


class BodyTooLargeError(Exception):
    """Report a request body over the limit."""


async def serve_http(address, handler, *, metrics=None):
    """Serve requests for ever with the responses of `await handler(request)`.

    Raises BadSettingError if the address can't be bound.
    """
    waiting = _WaitingConnections(metrics=metrics)

    async def handle_connection(connection):
        async with waiting.limit():
            await _serve_connection(connection, handler, waiting)

    listener = await bind_listener(address)
    await accept_connections(listener, handle_connection, metrics=metrics)


class _WaitingConnections:
    """Limit the connections of a server by closing those that wait for a request.

    The longest wait ends first: clients that do nothing would otherwise keep the
    descriptors from those that send requests.
    """

    __slots__ = ("_metrics", "_open", "_tasks")

    def __init__(self, *, metrics):
        self._metrics = metrics
        self._open = 0
        #: Tasks of waiting connections, the longest wait first.
        self._tasks = {}

    @contextlib.asynccontextmanager
    async def limit(self):
        """Count this task's connection, and close another one over the limit."""
        self._open += 1
        try:
            if self._open > MAX_CONNECTIONS:
                await self._close_longest_wait()
            yield
        finally:
            self._open -= 1

    async def _close_longest_wait(self):
        for task in self._tasks:
            del self._tasks[task]
            if self._metrics is not None:
                self._metrics.count("http_connections_closed")
            await task.cancel(blocking=False)
            return

    async def wait(self, read, *arguments):
        """Return the next request of this task's connection."""
        task = await curio.current_task()
        self._tasks[task] = None
        try:
            return await curio.timeout_after(IDLE_TIMEOUT_S, read, *arguments)
        finally:
            self._tasks.pop(task, None)


async def _serve_connection(connection, handler, waiting):
    state = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    session = {}
    try:
        while True:
            request = await waiting.wait(read_request, connection, state, session)
            if request is None:
                return
            # Neither reading nor answering yields while further requests are buffered.
            await curio.sleep(0)
            await _send(connection, state, await handler(request))
            if state.our_state is h11.MUST_CLOSE:
                return
            state.start_next_cycle()
    except BodyTooLargeError:
        await _send_error(connection, state, 413)
    except h11.RemoteProtocolError as error:
        log.info("rejected a malformed HTTP request", why=str(error))
        await _send_error(connection, state, error.error_status_hint)
    except (OSError, curio.TaskTimeout, h11.LocalProtocolError) as error:
        log.info("closed a connection after an error", why=repr(error))


async def _send_error(connection, state, status):
    """Send an error for an incomplete request; the caller closes the connection."""
    try:
        await _send(connection, state, HttpResponse(status=status, body=b"{}"))
    except (OSError, h11.LocalProtocolError) as error:
        log.info("failed to send an error response", why=repr(error))


async def _send(connection, state, response):
    data = b"".join(state.send(event) or b"" for event in response.events())
    await connection.sendall(data)


async def read_request(connection, state, session):
    """Return the next request, or None at the end of the connection."""
    head, body, events = None, bytearray(), 0
    while True:
        event = state.next_event()
        events += 1
        if events % MAX_EVENTS_BEFORE_YIELD == 0:
            await curio.sleep(0)
        if event is h11.NEED_DATA:
            state.receive_data(await connection.recv(READ_BYTES))
            # Reading doesn't yield while data is there, and a body may have 4 MiB.
            await curio.sleep(0)
        elif type(event) is h11.Request:
            head = event
        elif type(event) is h11.Data:
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise BodyTooLargeError
        elif type(event) is h11.EndOfMessage:
            return HttpRequest(
                method=head.method.decode(),
                target=head.target.decode(),
                body=bytes(body),
                session=session,
            )
        elif type(event) is h11.ConnectionClosed:
            return None
