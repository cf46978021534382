"""bench.loader: A process that keeps a window of datagrams under way and counts."""

import argparse
import json
import random
import select
import socket
import time

from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.caller import (
    AnswerPart,
    KeepAlive,
    KeepAliveAck,
    Open,
    Opened,
    OpenRefused,
    Request,
)

SERVICE = "records"
#: Silence after which a datagram counts as lost and another is sent.
LOST_S = 0.5
PADDING = b"x" * 64


class Window:
    """Hold one slot for each flow: what to send next, and when it was sent."""

    def __init__(self, *, kind, size, rng):
        self._kind = kind
        self._size = size
        self._rng = rng
        self.tickets = {}
        #: Opens that were refused; their slots go on.
        self.refused = 0
        self._numbers = {}

    def first(self):
        """Return the first datagrams of a measurement."""
        if self._kind in ("relay", "open"):
            return [self.next(None) for _ in range(self._size)]
        return [self.next(flow_id) for flow_id in self.tickets]

    def next(self, flow_id):
        """Return the next datagram for a slot."""
        return getattr(self, f"_{self._kind}")(flow_id)

    def taken(self, data):
        """Return whether a datagram counts, and the slot that it frees."""
        if self._kind == "relay":
            return True, None
        message = decode(data)
        if type(message) in (Opened, OpenRefused):
            self.refused += type(message) is OpenRefused
            return self._kind == "open", None
        counts = type(message) in (AnswerPart, KeepAliveAck)
        return counts, getattr(message, "flow_id", None)

    def _relay(self, _slot):
        return PADDING * 4

    def _open(self, _slot):
        nonce = self._rng.getrandbits(63)
        return encode(Open(service=SERVICE, nonce=nonce, deadline_ms=2_000))

    def _keepalive(self, flow_id):
        ticket = self.tickets[flow_id]
        return encode(KeepAlive(service=SERVICE, flow_id=flow_id, ticket=ticket))

    def _request(self, flow_id):
        number = self._numbers.get(flow_id, 0) + 1
        self._numbers[flow_id] = number
        return encode(
            Request(
                service=SERVICE,
                flow_id=flow_id,
                ticket=self.tickets[flow_id],
                number=number,
                floor=number,
                attempt=0,
                idempotent=False,
                deadline_ms=5_000,
                body=PADDING,
            )
        )


def open_flows(port, window, count):
    """Open flows until there are enough."""
    while len(window.tickets) < count:
        port.send(window._open(None))
        if select.select([port], [], [], LOST_S)[0]:
            message = decode(port.recv(4096))
            if type(message) is Opened:
                window.tickets[message.flow_id] = message.ticket


def measure(port, window, seconds):
    """Return how many replies counted in some time."""
    for data in window.first():
        port.send(data)
    count, lost, began_s = 0, 0, time.monotonic()
    while time.monotonic() - began_s < seconds:
        if not select.select([port], [], [], LOST_S)[0]:
            lost += 1
            for data in window.first():
                port.send(data)
            continue
        counts, slot = window.taken(port.recv(4096))
        if counts:
            count += 1
            port.send(window.next(slot))
    return {
        "count": count - window.refused,
        "refused": window.refused,
        "stalls": lost,
        "seconds": time.monotonic() - began_s,
    }


def main():
    """Measure and print the count."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("relay", "open", "keepalive", "request"))
    parser.add_argument("address")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--window", type=int, default=64)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    host, _, number = options.address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
        port.connect((host, int(number)))
        window = Window(
            kind=options.kind, size=options.window, rng=random.Random(options.seed)
        )
        if options.kind in ("keepalive", "request"):
            open_flows(port, window, options.window)
        print(json.dumps(measure(port, window, options.seconds)))


if __name__ == "__main__":
    main()
