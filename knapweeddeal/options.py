"""knapweeddeal.options: Checks of setting values."""

from knapweeddeal.errors import BadSettingError
from knapweeddeal.ipaddresses import is_ip

__all__ = [
    "MAX_NAME_LENGTH",
    "address_option",
    "addresses_option",
    "choice_option",
    "decimal_option",
    "flag_option",
    "host_option",
    "keys_option",
    "name_option",
    "names_option",
    "peers_option",
    "text_option",
    "integer_option",
    "is_name",
]

MAX_NAME_LENGTH = 64
MAX_PORT_DIGITS = 5
#: Removes the punctuation that names may have.
NAME_PUNCTUATION = str.maketrans("", "", "-._")


def text_option(field, value, _option):
    """Return the text unchanged; no path may hold a NUL."""
    if "\0" in value:
        raise BadSettingError("expected a text without NUL", field=field, value=value)
    return value


def is_name(text):
    """Return whether a text has letters or digits, and else only `-`, `.` and `_`."""
    return text.translate(NAME_PUNCTUATION).isalnum()


def name_option(field, value, _option):
    """Return a name of at most 64 letters, digits, dashes, dots and underscores."""
    if len(value) > MAX_NAME_LENGTH or not is_name(value):
        raise BadSettingError(
            f"expected 1 to {MAX_NAME_LENGTH} letters, digits, -, . and _",
            field=field,
            value=value,
        )
    return value


def names_option(field, value, option):
    """Return the names of a text like `zone-a, zone-b`."""
    parts = (item.strip() for item in value.split(","))
    return tuple(name_option(field, part, option) for part in parts if part)


def integer_option(field, value, option):
    """Return a whole number in the option's range, also of a text like `1200.0`."""
    try:
        number = _whole_number(value)
    except (ValueError, OverflowError):
        raise BadSettingError(
            "expected a whole number", field=field, value=value
        ) from None
    _check_range(field, value, number, option)
    return number


def _whole_number(value):
    if value.lstrip("+-").isdecimal():
        return int(value)
    # Templates render a number as the platform holds it, which may be a float.
    number = float(value)
    if not number.is_integer():
        raise ValueError(value)
    return int(number)


def decimal_option(field, value, option):
    """Return a decimal number in the option's range."""
    try:
        number = float(value)
    except ValueError:
        raise BadSettingError("expected a number", field=field, value=value) from None
    _check_range(field, value, number, option)
    return number


def _check_range(field, value, number, option):
    """Raise BadSettingError for a number out of the option's range, or not a number."""
    if not option.minimum <= number <= option.maximum:
        limits = f"{option.minimum} to {option.maximum}"
        raise BadSettingError(
            f"expected {limits} {option.unit}", field=field, value=value
        )


def choice_option(field, value, option):
    """Return one of the option's choices."""
    if value not in option.choices:
        allowed = ", ".join(option.choices)
        raise BadSettingError(f"expected one of {allowed}", field=field, value=value)
    return value


def host_option(field, value, _option):
    """Return the text of an IP address."""
    if not is_ip(value):
        raise BadSettingError("expected an IP address", field=field, value=value)
    return value


def address_option(field, value, _option):
    """Return host and port of an IP:PORT text."""
    host, _, port = value.rpartition(":")
    number = _port_number(port)
    if not is_ip(host) or not 0 < number <= 65535:
        raise BadSettingError("expected an address IP:PORT", field=field, value=value)
    return (host, number)


def _port_number(text):
    """Return the number of up to five ASCII digits, or 0."""
    is_port = len(text) <= MAX_PORT_DIGITS and text.isascii() and text.isdecimal()
    return int(text) if is_port else 0


def addresses_option(field, value, option):
    """Return the addresses of a text like `IP:PORT, IP:PORT`."""
    parts = (item.strip() for item in value.split(","))
    return tuple(address_option(field, part, option) for part in parts if part)


def flag_option(field, value, _option):
    """Return the boolean of `true` or `false`."""
    if value not in ("true", "false"):
        raise BadSettingError("expected true or false", field=field, value=value)
    return value == "true"


def peers_option(field, value, option):
    """Return addresses by name of a text like `a=IP:PORT, b=IP:PORT`."""
    peers = {}
    for part in filter(None, (item.strip() for item in value.split(","))):
        name, _, address = part.partition("=")
        name = name_option(field, name.strip(), option)
        if name in peers:
            raise BadSettingError("duplicate process name", field=field, value=name)
        peers[name] = address_option(field, address.strip(), option)
    return peers


def keys_option(field, value, option):
    """Return keys by id of a text like `2:HEX, 1:HEX`, the signing key first."""
    keys = {}
    for part in filter(None, (item.strip() for item in value.split(","))):
        number, _, text = part.partition(":")
        try:
            key_id, key = int(number), bytes.fromhex(text)
        except ValueError:
            raise BadSettingError(
                "expected ID:HEX", field=field, value="(hidden)"
            ) from None
        if not 0 <= key_id < 256 or not 16 <= len(key) <= 64:
            raise BadSettingError(
                "expected an id from 0 to 255 and a key of 16 to 64 bytes",
                field=field,
                value=key_id,
            )
        if key_id in keys:
            raise BadSettingError("duplicate key id", field=field, value=key_id)
        keys[key_id] = key
    if not 1 <= len(keys) <= option.maximum:
        raise BadSettingError("expected one or two keys", field=field, value=len(keys))
    return keys
