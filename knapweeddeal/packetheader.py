"""knapweeddeal.packetheader: The packet fields that the system reads and writes."""

import socket
import struct

__all__ = [
    "ACK",
    "ECHO_SLICE",
    "FIN",
    "FLOW_SLICE",
    "PACKET_HEADER_BYTES",
    "ROUTE_SLICE",
    "RST",
    "SYN",
    "describe_flow",
    "flow_caller_host",
    "build_reset",
    "route_key",
]

SYN = 8
ACK = 2
FIN = 16
RST = 64

#: Flags, pad, echo, data bytes, sequence, ack, the two ports and hosts, sum.
HEAD = struct.Struct("<BBIHIIHIHII")
PACKET_HEADER_BYTES = HEAD.size

#: Bytes of a head that name the upstream, the route, and the flow.
ECHO_SLICE = slice(2, 6)
ROUTE_SLICE = slice(16, 22)
FLOW_SLICE = slice(16, 28)

ROUTE_KEY = struct.Struct("<HI")
ENDS = struct.Struct("<HIHI")


def route_key(host, port):
    """Return the bytes by which a packet names a route."""
    return ROUTE_KEY.pack(port, _number(host))


def flow_caller_host(data):
    """Return the host of the caller of a packet."""
    return socket.inet_ntoa(data[24:28][::-1])


def describe_flow(data):
    """Return caller, route and sequence of a packet's flow, as logs show it."""
    port, host, caller_port, caller = ENDS.unpack_from(data, 16)
    sequence = int.from_bytes(data[8:12], "little")
    return f"{_text(caller)}:{caller_port}>{_text(host)}:{port}#{sequence}"


def build_reset(data):
    """Return the packet that resets the flow of a caller's packet."""
    ack = int.from_bytes(data[12:16], "little")
    port, host, caller_port, caller = ENDS.unpack_from(data, 16)
    return HEAD.pack(RST, 0, 0, 0, ack, 0, caller_port, caller, port, host, 0)


def _number(host):
    return int.from_bytes(socket.inet_aton(host), "big")


def _text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))
