"""knapweeddeal.publications: Packet routes in an operator's INI file."""

import configparser

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PacketRoute,
    RouteTerms,
    ServiceShare,
    ServiceTerms,
)
from knapweeddeal.options import address_option, name_option
from knapweeddeal.packetconfigurations import check_routes

__all__ = ["read_publication"]

HEADER_SECTION = "publication"
#: First word of a section with the terms of a service, before its name.
SERVICE_SECTION = "service"
#: Digits of the largest number that a message carries, 2**63.
MAX_DIGITS = 19


def read_publication(path):
    """Return the configuration in an INI file; raise InvalidIntentError.

    `[publication]` holds `revision`; `[service NAME]` may hold `max_connections`,
    `cold_start_ms` and `cold_per_s_milli`. Every other section is a route, with
    `address` and `services`, a list of names with weights such as
    `records:9, archive:1`, and perhaps `kind`, `timeout_ms`, `objective_ms` and
    `priority`.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            data = file.read()
        parser.read_string(data)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = " ".join(str(error).split())
        raise InvalidIntentError(f"can't be read: {reason}", field=path) from None
    services, routes = [], []
    for name in parser.sections():
        kind, _, service = name.partition(" ")
        if kind == SERVICE_SECTION and service:
            services.append(_service(service, parser[name]))
        elif name != HEADER_SECTION:
            routes.append(_route(parser[name]))
    check_routes(routes)
    revision = parser.get(HEADER_SECTION, "revision", fallback="")
    return PacketConfiguration(
        revision=_whole_number("revision", revision, minimum=1),
        routes=routes,
        document=data.encode(),
        services=services,
    )


def _service(name, section):
    return ServiceTerms(
        name=name_option("service", name, None),
        max_connections=_optional_number(section, "max_connections"),
        cold_start_ms=_optional_number(section, "cold_start_ms"),
        cold_per_s_milli=_optional_number(section, "cold_per_s_milli"),
    )


def _route(section):
    host, port = address_option("address", section.get("address", ""), None)
    items = [item.strip() for item in section.get("services", "").split(",")]
    shares = [_share(item) for item in items]
    terms = RouteTerms(
        kind=section.get("kind", ""),
        timeout_ms=_optional_number(section, "timeout_ms"),
        objective_ms=_optional_number(section, "objective_ms"),
        priority=_optional_number(section, "priority"),
    )
    return PacketRoute(host=host, port=port, shares=shares, former=[], terms=terms)


def _share(item):
    name, _, weight = item.partition(":")
    return ServiceShare(
        service=name_option("services", name, None),
        weight=_whole_number("services", weight or "1", minimum=0),
    )


def _optional_number(section, field):
    return _whole_number(field, section.get(field, "0"), minimum=0)


def _whole_number(field, text, *, minimum):
    # `int` refuses texts of more than 4,300 digits.
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    if not is_number or int(text) < minimum:
        raise InvalidIntentError(
            "expected a whole number in the allowed range", field=field, value=text
        )
    return int(text)
