"""knapweeddeal.platform.reports: Status reports of upstreams."""

from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages.packets import DRAINING, GONE, READY, UpstreamState
from knapweeddeal.platform.fields import (
    decode_object,
    number,
    optional_number,
    split_address,
    text,
)

__all__ = ["decode_departure", "decode_report"]

#: States on the wire.
STATES = {"ready": READY, "draining": DRAINING}
#: Hexadecimal digits that fit into the 8 bytes before a packet.
MAX_ID_DIGITS = 16
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000


def decode_report(upstream_id, body, *, home):
    """Return the state in a status report; raise BadMessageError."""
    report = decode_object(body)
    state = text(report, "state")
    if state not in STATES:
        raise BadMessageError("not a known state", field="state", value=state)
    host, port = split_address("addr", text(report, "addr"))
    return UpstreamState(
        upstream_id=check_id(upstream_id),
        # When the process started; `version` is that of its software.
        born_ms=number(report, "born"),
        sequence=number(report, "seq"),
        service=text(report, "service"),
        zone=text(report, "zone"),
        host=host,
        port=port,
        slots=number(report, "slots", minimum=1, maximum=MAX_SLOTS),
        status=STATES[state],
        # Time that is left, not a point in time.
        cold_ms=min(optional_number(report, "coldLeftMs", default=0), MAX_COLD_MS),
        silent=False,
        failing=False,
        home=home,
        hint=False,
    )


def decode_departure(upstream_id, body, *, known):
    """Return the last state of an upstream, or None if it was never known.

    A departure may name its start and sequence; without them it ends what is known.
    """
    check_id(upstream_id)
    if known is None:
        return None
    report = decode_object(body) if body.strip() else {}
    return known.replace(
        born_ms=optional_number(report, "born", default=known.born_ms),
        sequence=optional_number(report, "seq", default=known.sequence),
        status=GONE,
        hint=False,
    )


def check_id(upstream_id):
    """Return an id whose hexadecimal digits can stand before a packet."""
    digits = upstream_id.rpartition("-")[2]
    is_hex = all(digit in "0123456789abcdefABCDEF" for digit in digits)
    if not 0 < len(digits) <= MAX_ID_DIGITS or not is_hex or len(upstream_id) > 64:
        raise BadMessageError("not an id", field="id", value=upstream_id)
    return upstream_id
