"""knapweeddeal.platform.configurations: Configuration documents of operators."""

from knapweeddeal.errors import BadMessageError, InvalidIntentError
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PacketRoute,
    RouteTerms,
    ServiceShare,
    ServiceTerms,
)
from knapweeddeal.packetconfigurations import check_routes
from knapweeddeal.platform.fields import (
    decode_object,
    is_port,
    number,
    optional_number,
    optional_text,
    optional_thousandths,
    split_address,
    text,
)

__all__ = ["decode_configuration"]

MAX_WEIGHT = 1_000_000


def decode_configuration(body):
    """Return the configuration in a document.

    Raises BadMessageError for a malformed document, and InvalidIntentError for an
    inconsistent one.
    """
    document = decode_object(body)
    services = [_service(entry) for entry in _object_list(document, "services")]
    names = {service.name for service in services}
    routes = [_route(entry, names) for entry in _object_list(document, "routes")]
    check_routes(routes)
    if type(document.get("limits")) is not dict:
        raise BadMessageError("expected an object", field="limits")
    return PacketConfiguration(
        # `version` counts the operator's documents; it is no software version.
        revision=number(document, "version", minimum=1),
        routes=routes,
        document=body,
        services=services,
    )


def _service(entry):
    return ServiceTerms(
        name=text(entry, "name"),
        max_connections=optional_number(entry, "maxConns", default=0),
        # Thousandths of a second are milliseconds.
        cold_start_ms=optional_thousandths(entry, "coldStartS"),
        cold_per_s_milli=optional_thousandths(entry, "coldPerS"),
    )


def _route(entry, services):
    text(entry, "name")
    terms = RouteTerms(
        kind=optional_text(entry, "type"),
        timeout_ms=number(entry, "timeoutMs", minimum=1),
        objective_ms=optional_number(entry, "sloMs", default=0),
        priority=optional_number(entry, "priority", default=0),
    )
    # The fields are called host and path, but hold a fabric address and port.
    host, port = split_address(
        "host", f"{text(entry, 'host')}:{_port_from_prefix(entry)}"
    )
    shares = _shares(entry)
    for share in shares:
        if share.service not in services:
            raise InvalidIntentError(
                "expected a service listed under services",
                field="service",
                value=share.service,
            )
    return PacketRoute(host=host, port=port, shares=shares, former=[], terms=terms)


def _port_from_prefix(entry):
    prefix = text(entry, "pathPrefix")
    port = prefix.strip("/")
    if prefix != f"/{port}/" or not is_port(port):
        raise BadMessageError(
            "expected a port between slashes", field="pathPrefix", value=prefix
        )
    return port


def _shares(entry):
    if entry.get("split") is None:
        return [ServiceShare(service=text(entry, "service"), weight=1)]
    if entry.get("service") is not None:
        raise InvalidIntentError(
            "expected a service or a split, got both", field="split"
        )
    shares = [
        ServiceShare(
            service=text(part, "service"),
            weight=number(part, "weight", maximum=MAX_WEIGHT),
        )
        for part in _object_list(entry, "split")
    ]
    if not shares:
        raise BadMessageError("expected at least one share", field="split")
    return shares


def _object_list(document, name):
    entries = document.get(name)
    if type(entries) is not list or any(type(entry) is not dict for entry in entries):
        raise BadMessageError("expected a list of objects", field=name)
    return entries
