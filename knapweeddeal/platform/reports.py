"""knapweeddeal.platform.reports: Status reports of upstreams."""

import functools

from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages.packets import DRAINING, READY, UpstreamState
from knapweeddeal.platform.fields import (
    address,
    decode_object,
    number,
    optional_number,
    read_fields,
    text,
)

__all__ = ["decode_departure", "decode_report"]

#: Status by the state that a report names.
STATUS_BY_STATE = {"ready": READY, "draining": DRAINING}
#: Largest status report or departure. An upstream's have some 300 bytes; they are
#: decoded in the event loop, where long ones would hold up heartbeats.
MAX_REPORT_BYTES = 64 * 1024
#: Hexadecimal digits that fit into the 8-byte upstream id before a packet.
MAX_ID_DIGITS = 16
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000


def _status(report, name):
    state = text(report, name)
    if state not in STATUS_BY_STATE:
        raise BadMessageError("expected ready or draining", field=name, value=state)
    return STATUS_BY_STATE[state]


#: How each field of a status report is read. A report that lacks one, whether it is
#: used here or not, is of another writer and changes nothing.
REPORT_FIELDS = {
    "service": text,
    "addr": address,
    "zone": text,
    "version": text,
    "slots": functools.partial(number, minimum=1, maximum=MAX_SLOTS),
    "state": _status,
    "coldLeftMs": number,
    "seq": number,
    "born": number,
}


def decode_report(upstream_id, body, *, home):
    """Return the state in a status report; raise BadMessageError."""
    report = read_fields(_decode_short(body), REPORT_FIELDS)
    host, port = report["addr"]
    return UpstreamState(
        upstream_id=check_id(upstream_id),
        # Start time of the process; the field `version` is its software version.
        born_ms=report["born"],
        sequence=report["seq"],
        service=report["service"],
        zone=report["zone"],
        host=host,
        port=port,
        slots=report["slots"],
        status=report["state"],
        # Remaining time, not a point in time.
        cold_ms=min(report["coldLeftMs"], MAX_COLD_MS),
        silent=False,
        failing=False,
        home=home,
        hint=False,
        echo_index=0,
    )


def decode_departure(upstream_id, body):
    """Return start and sequence of a departure, or None for each that it lacks."""
    check_id(upstream_id)
    report = _decode_short(body) if body.strip() else {}
    return (
        optional_number(report, "born", default=None),
        optional_number(report, "seq", default=None),
    )


def _decode_short(body):
    if len(body) > MAX_REPORT_BYTES:
        raise BadMessageError(
            f"expected a report of at most {MAX_REPORT_BYTES} bytes",
            field="body",
            value=f"{len(body)} bytes",
        )
    return decode_object(body)


def check_id(upstream_id):
    """Return an id whose digits fit before a packet; raise BadMessageError."""
    digits = upstream_id.rpartition("-")[2]
    is_hex = all(digit in "0123456789abcdefABCDEF" for digit in digits)
    if not 0 < len(digits) <= MAX_ID_DIGITS or not is_hex or len(upstream_id) > 64:
        raise BadMessageError(
            "expected up to 64 characters that end in 1 to 16 hexadecimal digits",
            field="id",
            value=upstream_id,
        )
    return upstream_id
