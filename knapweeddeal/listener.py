"""knapweeddeal.listener: Listening TCP sockets and their accept loop."""

import errno

import curio

from knapweeddeal.clock import monotonic_ms
from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["accept_connections", "bind_listener"]

log = Log(prefix="listener")

#: Connections that wait to be accepted.
BACKLOG = 256
#: Pause after a lack of descriptors or memory, which ends when connections close. The
#: kernel keeps the waiting connections meanwhile.
RETRY_MS = 100
#: Longest wait for an address: a process that was killed keeps its sockets until its
#: last access to the disk has ended.
BIND_WAIT_MS = 10_000
#: Errors of a bind that may pass.
PASSING_BIND_ERRORS = frozenset((errno.EADDRINUSE, errno.EMFILE, errno.ENFILE))
#: Minimum time between two log lines about failed accepts.
LOG_INTERVAL_MS = 1_000
#: Errors of one connection, which the kernel has removed: the next one can be accepted.
CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EPERM))
#: Errors of the listening socket itself, which no retry can mend.
LISTENER_ERRORS = frozenset(
    (errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP)
)


async def bind_listener(address, *, field="listen"):
    """Return a listening socket; raise BadSettingError if the address can't be bound.

    Waits `BIND_WAIT_MS` for an address that is in use. `field` is the setting that the
    error names.
    """
    deadline_ms = monotonic_ms() + BIND_WAIT_MS
    while True:
        try:
            return curio.tcp_server_socket(
                *address, backlog=BACKLOG, reuse_address=True
            )
        except OSError as error:
            if error.errno not in PASSING_BIND_ERRORS or monotonic_ms() >= deadline_ms:
                raise bind_error(error, address, field) from None
        await curio.sleep(RETRY_MS / 1000)


def bind_error(error, address, field):
    """Return the error for an address that can't be bound."""
    return BadSettingError(
        f"can't be bound: {error.strerror}",
        field=field,
        value=":".join(map(str, address)),
    )


async def accept_connections(listener, handler, *, metrics=None):
    """Run `handler(connection)` as a task for each connection, for ever.

    Closes each connection at the end of its task. Failed accepts are logged, counted in
    `metrics`, and retried.
    """
    acceptor = _Acceptor(listener=listener, handler=handler, metrics=metrics)
    async with listener, curio.TaskGroup() as group:
        accepting = await group.spawn(acceptor.run, group)
        async for task in group:
            # Curio keeps a finished task until it is joined.
            task.joined = True
            if task is accepting:
                # Without this task, nothing would be accepted any more.
                raise task.exception


class _Acceptor:
    """Accept the connections of one listening socket."""

    __slots__ = ("_failures", "_handler", "_listener", "_logged_ms", "_metrics")

    def __init__(self, *, listener, handler, metrics):
        self._listener = listener
        self._handler = handler
        self._metrics = metrics
        #: Failed accepts since the last log line, and when that was written.
        self._failures = 0
        self._logged_ms = -LOG_INTERVAL_MS

    async def run(self, group):
        """Accept for ever; raise the OSError of an unusable listening socket."""
        while True:
            try:
                connection, _ = await self._listener.accept()
            except OSError as error:
                if error.errno in LISTENER_ERRORS:
                    raise
                self._report(error)
                if error.errno not in CONNECTION_ERRORS:
                    await curio.sleep(RETRY_MS / 1000)
            else:
                await group.spawn(self._serve, connection)
                del connection

    async def _serve(self, connection):
        async with connection:
            await self._handler(connection)

    def _report(self, error):
        """Count a failed accept, and log it at most once a second."""
        if self._metrics is not None:
            self._metrics.count("accept_errors")
        self._failures += 1
        now_ms = monotonic_ms()
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        log.warning(
            "failed to accept a connection",
            why=str(error),
            count=self._failures,
            address=self._listener.getsockname(),
        )
        self._failures, self._logged_ms = 0, now_ms
