"""knapweeddeal.publications: Packet routes in an operator's INI file."""

import configparser

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PacketRoute,
    ServiceShare,
)
from knapweeddeal.options import address_option, name_option
from knapweeddeal.packetconfigurations import check_routes

__all__ = ["read_publication"]

HEADER_SECTION = "publication"


def read_publication(path):
    """Return the configuration in an INI file; raise InvalidIntentError.

    `[publication]` holds `revision`; every other section is a route, with `address`
    and `services`, a list of names with weights such as `records:9, archive:1`.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            data = file.read()
        parser.read_string(data)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = " ".join(str(error).split())
        raise InvalidIntentError(f"can't be read: {reason}", field=path) from None
    routes = [
        _route(parser[name]) for name in parser.sections() if name != HEADER_SECTION
    ]
    check_routes(routes)
    revision = parser.get(HEADER_SECTION, "revision", fallback="")
    return PacketConfiguration(
        revision=_whole_number("revision", revision, minimum=1),
        routes=routes,
        document=data.encode(),
    )


def _route(section):
    host, port = address_option("address", section.get("address", ""), None)
    items = [item.strip() for item in section.get("services", "").split(",")]
    shares = [_share(item) for item in items]
    return PacketRoute(host=host, port=port, shares=shares, former=[])


def _share(item):
    name, _, weight = item.partition(":")
    return ServiceShare(
        service=name_option("services", name, None),
        weight=_whole_number("services", weight or "1", minimum=0),
    )


def _whole_number(field, text, *, minimum):
    if not text.isdecimal() or int(text) < minimum:
        raise InvalidIntentError(
            "expected a whole number in the allowed range", field=field, value=text
        )
    return int(text)
