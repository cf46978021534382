"""knapweeddeal.platform.fields: Validation of JSON bodies and their fields."""

import json

from knapweeddeal.errors import BadMessageError

__all__ = ["decode_object", "number", "optional_number", "split_address", "text"]

MAX_TEXT_CHARS = 64
MAX_NUMBER = 2**53


def decode_object(body):
    """Return the object in a JSON body; raise BadMessageError."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise BadMessageError("expected JSON", field="body") from None
    if type(value) is not dict:
        raise BadMessageError("expected a JSON object", field="body")
    return value


def text(body, name):
    """Return a text of 1 to 64 characters; raise BadMessageError."""
    value = body.get(name)
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise BadMessageError(
            "expected a text of 1 to 64 characters", field=name, value=value
        )
    return value


def number(body, name, *, minimum=0, maximum=MAX_NUMBER):
    """Return a whole number in a range; raise BadMessageError."""
    value = body.get(name)
    if type(value) is not int or not minimum <= value <= maximum:
        raise BadMessageError(
            "expected a whole number in the allowed range", field=name, value=value
        )
    return value


def optional_number(body, name, *, default):
    """Return a whole number, or a default if the field is missing."""
    return number(body, name) if name in body else default


def split_address(name, value):
    """Return host and port of `IP:PORT`; raise BadMessageError."""
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == 4 and all(p.isdecimal() and int(p) < 256 for p in parts)
    if not is_host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise BadMessageError("expected an address IP:PORT", field=name, value=value)
    return host, int(port)
