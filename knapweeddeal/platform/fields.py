"""knapweeddeal.platform.fields: Validation of JSON bodies and their fields."""

import json
from collections import Counter

from knapweeddeal.errors import BadMessageError
from knapweeddeal.ipaddresses import is_ipv4

__all__ = [
    "decode_object",
    "is_port",
    "address",
    "number",
    "optional_number",
    "optional_text",
    "optional_thousandths",
    "read_fields",
    "split_address",
    "text",
]

MAX_TEXT_CHARS = 64
MAX_NUMBER = 2**53
MAX_FRACTION = 10**9
MAX_PORT = 65_535


def decode_object(body):
    """Return the object in a JSON body; raise BadMessageError.

    Refuses what other readers of JSON refuse or read differently: encodings besides
    UTF-8, `NaN`, `Infinity`, and a key that an object has twice.
    """
    try:
        value = json.loads(
            body.decode(),
            object_pairs_hook=_object,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError):
        raise BadMessageError("expected JSON", field="body") from None
    if type(value) is not dict:
        raise BadMessageError("expected a JSON object", field="body")
    return value


def _object(pairs):
    fields = dict(pairs)
    if len(fields) < len(pairs):
        counts = Counter(name for name, _ in pairs)
        repeated = next(name for name, count in counts.items() if count > 1)
        raise BadMessageError("expected each key once", field="body", value=repeated)
    return fields


def _refuse_constant(name):
    raise BadMessageError("expected a JSON number", field="body", value=name)


def read_fields(body, readers):
    """Return the values of all fields that a message must have, by name.

    `readers` holds the function that reads a field, by its name; raises
    BadMessageError for a field that is missing or of another type.
    """
    return {name: read(body, name) for name, read in readers.items()}


def text(body, name):
    """Return a text of 1 to 64 characters; raise BadMessageError."""
    value = body.get(name)
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise BadMessageError(
            "expected a text of 1 to 64 characters", field=name, value=value
        )
    try:
        value.encode()
    except UnicodeEncodeError:
        # JSON can escape half of a surrogate pair, which no message can carry.
        raise BadMessageError(
            "expected a text that UTF-8 can encode", field=name, value=value
        ) from None
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


def optional_text(body, name):
    """Return a text, or "" if the field is missing; raise BadMessageError."""
    return text(body, name) if name in body else ""


def optional_thousandths(body, name):
    """Return thousandths of a number, or 0 if it is missing; raise BadMessageError."""
    value = body.get(name, 0)
    if type(value) not in (int, float) or not 0 <= value <= MAX_FRACTION:
        raise BadMessageError(
            "expected a number in the allowed range", field=name, value=value
        )
    return round(value * 1_000)


def address(body, name):
    """Return host and port of a field `IP:PORT`; raise BadMessageError."""
    return split_address(name, text(body, name))


def split_address(name, value):
    """Return host and port of `IP:PORT`; raise BadMessageError."""
    host, _, port = value.rpartition(":")
    if not is_ipv4(host) or not is_port(port):
        raise BadMessageError("expected an address IP:PORT", field=name, value=value)
    return host, int(port)


def is_port(text):
    """Return whether a text is a port number in decimal digits."""
    # Texts as `int` reads them may have signs, padding or digits of other scripts.
    is_number = text.isascii() and text.isdecimal() and text[0] != "0"
    return is_number and int(text) <= MAX_PORT
