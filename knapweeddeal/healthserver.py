"""knapweeddeal.healthserver: The reference side of an upstream's health address."""

import json

import curio
import h11

__all__ = ["health_response", "serve_health"]

READ_BYTES = 4_096
#: Longest wait for a request.
TIMEOUT_S = 5


def health_response(status, figures):
    """Return an answer as events of HTTP."""
    body = json.dumps(figures).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    return [
        h11.Response(status_code=status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    ]


async def serve_health(address, look):
    """Answer requests for ever; `look()` returns the status and the figures."""

    async def take(connection, _address):
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES)
        try:
            if not await curio.timeout_after(TIMEOUT_S, _request, connection, state):
                return
            events = health_response(*look())
            data = b"".join(state.send(event) or b"" for event in events)
            await connection.sendall(data)
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            return
        finally:
            await connection.close()

    await curio.tcp_server(*address, take, reuse_address=True)


async def _request(connection, state):
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(await connection.recv(READ_BYTES))
        elif type(event) is h11.EndOfMessage:
            return True
        elif type(event) is h11.ConnectionClosed:
            return False
