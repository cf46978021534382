"""bench.loader: A load generator with a fixed window of datagrams in flight."""

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
#: Silence after which the datagrams in flight count as lost and every slot sends again.
STALL_S = 0.5
PADDING = b"x" * 64


class Window:
    """Build the next datagram of each slot; a slot is one datagram in flight."""

    def __init__(self, *, kind, size, rng):
        self._kind = kind
        self._size = size
        self._rng = rng
        self.tickets = {}
        #: Opens that were refused; their slots stay in use.
        self.refused = 0
        self._numbers = {}

    def first(self):
        """Return the first datagram of every slot."""
        if self._kind in ("relay", "open"):
            return [self.next(None) for _ in range(self._size)]
        return [self.next(flow_id) for flow_id in self.tickets]

    def next(self, flow_id):
        """Return the next datagram for a slot."""
        return getattr(self, f"_{self._kind}")(flow_id)

    def classify(self, data):
        """Return whether a datagram counts as a reply, and the slot that it frees."""
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


def open_flows(sock, window, count):
    """Open flows until the window has enough tickets."""
    while len(window.tickets) < count:
        sock.send(window._open(None))
        if select.select([sock], [], [], STALL_S)[0]:
            message = decode(sock.recv(4096))
            if type(message) is Opened:
                window.tickets[message.flow_id] = message.ticket


def measure(sock, window, seconds):
    """Send for some seconds; return the counts of replies, refusals and stalls."""
    for data in window.first():
        sock.send(data)
    count, stalls, began_s = 0, 0, time.monotonic()
    while time.monotonic() - began_s < seconds:
        if not select.select([sock], [], [], STALL_S)[0]:
            stalls += 1
            for data in window.first():
                sock.send(data)
            continue
        counts, slot = window.classify(sock.recv(4096))
        if counts:
            count += 1
            sock.send(window.next(slot))
    return {
        "count": count - window.refused,
        "refused": window.refused,
        "stalls": stalls,
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
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect((host, int(number)))
        window = Window(
            kind=options.kind, size=options.window, rng=random.Random(options.seed)
        )
        if options.kind in ("keepalive", "request"):
            open_flows(sock, window, options.window)
        print(json.dumps(measure(sock, window, options.seconds)))


if __name__ == "__main__":
    main()
