"""knapweeddeal.platform.configurations: Documents that operators send and read."""

from knapweeddeal.errors import BadMessageError, InvalidIntentError
from knapweeddeal.messages.packets import (
    PacketConfiguration,
    PacketRoute,
    ServiceShare,
)
from knapweeddeal.packetconfigurations import check_routes
from knapweeddeal.platform.fields import decode_object, number, split_address, text

__all__ = ["decode_configuration"]

MAX_WEIGHT = 1_000_000


def decode_configuration(body):
    """Return the configuration in a document.

    Raises BadMessageError for a document that can't be read, and InvalidIntentError
    for one that contradicts itself.
    """
    document = decode_object(body)
    services = {text(entry, "name") for entry in _objects(document, "services")}
    routes = [_route(entry, services) for entry in _objects(document, "routes")]
    check_routes(routes)
    if type(document.get("limits")) is not dict:
        raise BadMessageError("not an object", field="limits")
    return PacketConfiguration(
        # The operator's number of this document, not that of any software.
        revision=number(document, "version", minimum=1),
        routes=routes,
        document=body,
    )


def _route(entry, services):
    text(entry, "name")
    number(entry, "timeoutMs", minimum=1)
    # An address and a port of the fabric, although they are called host and path.
    host, port = split_address("host", f"{text(entry, 'host')}:{_port(entry)}")
    shares = _shares(entry)
    for share in shares:
        if share.service not in services:
            raise InvalidIntentError(
                "unknown service", field="service", value=share.service
            )
    return PacketRoute(host=host, port=port, shares=shares, former=[])


def _port(entry):
    prefix = text(entry, "pathPrefix")
    port = prefix.strip("/")
    if prefix != f"/{port}/" or not port.isdecimal():
        raise BadMessageError(
            "not a port between slashes", field="pathPrefix", value=prefix
        )
    return port


def _shares(entry):
    if entry.get("split") is None:
        return [ServiceShare(service=text(entry, "service"), weight=1)]
    if entry.get("service") is not None:
        raise InvalidIntentError("both a service and a split", field="split")
    shares = [
        ServiceShare(
            service=text(part, "service"),
            weight=number(part, "weight", maximum=MAX_WEIGHT),
        )
        for part in _objects(entry, "split")
    ]
    if not shares:
        raise BadMessageError("empty", field="split")
    return shares


def _objects(document, name):
    entries = document.get(name)
    if type(entries) is not list or any(type(entry) is not dict for entry in entries):
        raise BadMessageError("not a list of objects", field=name)
    return entries
