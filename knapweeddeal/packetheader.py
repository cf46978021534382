"""knapweeddeal.packetheader: Fields of the packet header."""

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
    "UPSTREAM_PREFIX_BYTES",
    "describe_flow",
    "flow_caller_host",
    "flow_key",
    "build_reset",
    "packet_identity",
    "route_key",
]

SYN = 8
ACK = 2
FIN = 16
RST = 64

#: Flags, padding, echo, data length, sequence, acknowledgement, port and IP address
#: of the destination and then of the source, checksum.
HEADER = struct.Struct("<BBIHIIHIHII")
PACKET_HEADER_BYTES = HEADER.size
#: Bytes before a packet that name the upstream it is for.
UPSTREAM_PREFIX_BYTES = 8

#: Positions in the header of the upstream's echo, the route key and the flow key.
ECHO_SLICE = slice(2, 6)
ROUTE_SLICE = slice(16, 22)
FLOW_SLICE = slice(16, 28)

ROUTE_KEY = struct.Struct("<HI")
ENDPOINTS = struct.Struct("<HIHI")


def route_key(host, port):
    """Return a route's key as it is encoded in the packet header."""
    return ROUTE_KEY.pack(port, _ip_to_int(host))


def flow_key(caller, route):
    """Return a flow's key as it is encoded in the packet header: route, then caller.

    `caller` and `route` are pairs of host and port.
    """
    return route_key(*route) + route_key(*caller)


def flow_caller_host(data):
    """Return the IP address of a packet's caller."""
    return socket.inet_ntoa(data[24:28][::-1])


def describe_flow(data):
    """Return caller, route and sequence number of a packet, formatted for logs."""
    port, host, caller_port, caller = ENDPOINTS.unpack_from(data, 16)
    sequence = int.from_bytes(data[8:12], "little")
    return f"{_int_to_ip(caller)}:{caller_port}>{_int_to_ip(host)}:{port}#{sequence}"


def packet_identity(data):
    """Return what a packet shares with its copies: flags, length and sequence."""
    return data[:1] + data[6:12]


def build_reset(data):
    """Return the packet that resets the flow of a caller's packet."""
    ack = int.from_bytes(data[12:16], "little")
    port, host, caller_port, caller = ENDPOINTS.unpack_from(data, 16)
    return HEADER.pack(RST, 0, 0, 0, ack, 0, caller_port, caller, port, host, 0)


def _ip_to_int(host):
    return int.from_bytes(socket.inet_aton(host), "big")


def _int_to_ip(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))
