"""knapweeddeal.options: Helpers that check one setting and raise one clear error."""

import socket

from knapweeddeal.errors import BadSettingError

__all__ = [
    "address_option",
    "addresses_option",
    "choice_option",
    "flag_option",
    "host_option",
    "keys_option",
    "name_option",
    "peers_option",
    "text_option",
    "integer_option",
]


def text_option(_field, value, _option):
    """Return the text as it is."""
    return value


def name_option(field, value, _option):
    """Return a short name of letters, digits, dots, dashes."""
    if (
        not 0 < len(value) <= 64
        or not value.replace("-", "").replace(".", "").isalnum()
    ):
        raise BadSettingError(
            "not a name of letters, digits, - and .", field=field, value=value
        )
    return value


def integer_option(field, value, option):
    """Return a whole number in the option's range."""
    try:
        number = int(value)
    except ValueError:
        raise BadSettingError("not a whole number", field=field, value=value) from None
    if not option.minimum <= number <= option.maximum:
        limits = f"{option.minimum} to {option.maximum}"
        raise BadSettingError(
            f"not in {limits} {option.unit}", field=field, value=value
        )
    return number


def choice_option(field, value, option):
    """Return one of the option's words."""
    if value not in option.choices:
        words = ", ".join(option.choices)
        raise BadSettingError(f"not one of {words}", field=field, value=value)
    return value


def host_option(field, value, _option):
    """Return the text of an IP number."""
    if not _is_ip(value):
        raise BadSettingError("not an IP number", field=field, value=value)
    return value


def address_option(field, value, _option):
    """Return host and port of an IP:PORT text."""
    host, _, port = value.rpartition(":")
    number = int(port) if port.isdecimal() else 0
    if not _is_ip(host) or not 0 < number <= 65535:
        raise BadSettingError("not an address IP:PORT", field=field, value=value)
    return (host, number)


def addresses_option(field, value, option):
    """Return the addresses of a text like `IP:PORT, IP:PORT`."""
    parts = (item.strip() for item in value.split(","))
    return tuple(address_option(field, part, option) for part in parts if part)


def flag_option(field, value, _option):
    """Return a truth value."""
    if value not in ("true", "false"):
        raise BadSettingError("not true or false", field=field, value=value)
    return value == "true"


def peers_option(field, value, option):
    """Return addresses by name of a text like `a=IP:PORT, b=IP:PORT`."""
    peers = {}
    for part in filter(None, (item.strip() for item in value.split(","))):
        name, _, address = part.partition("=")
        name = name_option(field, name.strip(), option)
        if name in peers:
            raise BadSettingError("names a process twice", field=field, value=name)
        peers[name] = address_option(field, address.strip(), option)
    return peers


def keys_option(field, value, option):
    """Return at most two keys by id, the signing one first, of `2:HEX, 1:HEX`."""
    keys = {}
    for part in filter(None, (item.strip() for item in value.split(","))):
        number, _, text = part.partition(":")
        try:
            key_id, key = int(number), bytes.fromhex(text)
        except ValueError:
            raise BadSettingError("not ID:HEX", field=field, value="(hidden)") from None
        if not 0 <= key_id < 256 or not 16 <= len(key) <= 64:
            raise BadSettingError(
                "not an id to 255 and 16 to 64 bytes", field=field, value=key_id
            )
        keys[key_id] = key
    if not 1 <= len(keys) <= option.maximum:
        raise BadSettingError("not one or two keys", field=field, value=len(keys))
    return keys


def _is_ip(text):
    """Tell whether a text is an IP number; `ipaddress` would delay every start."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
        except OSError:
            continue
        return True
    return False
