"""knapweeddeal.plans: Validation of intents and the resulting changes."""

import ipaddress

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.messages.control import Configuration, ServiceEntry
from knapweeddeal.record import Record

__all__ = ["ACTIONS", "Change", "apply_steps"]

#: Characters allowed in a service name besides letters and digits.
NAME_PUNCTUATION = "-._"


class Change(Record):
    """Hold the configuration that results from an intent, and the differences."""

    __slots__ = ("configuration", "differences", "services", "upstreams")


def apply_steps(configuration, steps):
    """Return the Change that the steps make; raise InvalidIntentError."""
    if not steps:
        raise InvalidIntentError(
            "expected at least one step", field="steps", value="[]"
        )
    draft = _Draft(configuration)
    for step in steps:
        ACTIONS[step.action](draft, step)
    return draft.finish(configuration)


class _Draft:
    """Accumulate the changes while the steps are applied in turn."""

    __slots__ = ("differences", "services", "changed_services", "upstreams")

    def __init__(self, configuration):
        self.services = {entry.name: entry for entry in configuration.services}
        self.differences = []
        self.changed_services = {}
        self.upstreams = {}

    def put(self, entry, difference):
        """Add or replace a service."""
        self.services[entry.name] = entry
        self.record_difference(entry.name, difference)

    def record_difference(self, name, difference):
        """Record a difference and the service that it changes."""
        self.changed_services[name] = True
        self.differences.append(difference)

    def finish(self, configuration):
        """Return the change, with the next version."""
        services = [self.services[name] for name in sorted(self.services)]
        return Change(
            configuration=Configuration(
                version=configuration.version + 1, services=services
            ),
            differences=self.differences,
            services=list(self.changed_services),
            upstreams=list(self.upstreams),
        )


def _create_service(draft, step):
    _check_name(step.service)
    if step.service in draft.services:
        raise InvalidIntentError(
            "the service already exists", field="service", value=step.service
        )
    _check_address(draft, step)
    _check_unused(step, "upstream_id")
    entry = ServiceEntry(
        name=step.service, host=_host(step), port=step.port, draining=[]
    )
    draft.put(entry, f"create service {entry.name} at {entry.host}:{entry.port}")


def _change_service(draft, step):
    entry = _existing_service(draft, step)
    _check_address(draft, step)
    _check_unused(step, "upstream_id")
    changed = entry.replace(host=_host(step), port=step.port)
    if changed == entry:
        address = f"{step.host}:{step.port}"
        raise InvalidIntentError(
            "the service already has this address", field="host", value=address
        )
    draft.put(
        changed,
        f"change service {entry.name} from {entry.host}:{entry.port}"
        f" to {changed.host}:{changed.port}",
    )


def _remove_service(draft, step):
    entry = _existing_service(draft, step)
    _check_unused(step, "host", "port", "upstream_id")
    del draft.services[entry.name]
    draft.record_difference(
        entry.name, f"remove service {entry.name} at {entry.host}:{entry.port}"
    )


def _drain_upstream(draft, step):
    entry = _existing_service(draft, step)
    _check_upstream(step)
    if step.upstream_id in entry.draining:
        raise InvalidIntentError(
            "the upstream is already draining",
            field="upstream_id",
            value=step.upstream_id,
        )
    draining = sorted([*entry.draining, step.upstream_id])
    draft.upstreams[step.upstream_id] = True
    draft.put(
        entry.replace(draining=draining),
        f"drain upstream {step.upstream_id} of service {entry.name}",
    )


def _undrain_upstream(draft, step):
    entry = _existing_service(draft, step)
    _check_upstream(step)
    if step.upstream_id not in entry.draining:
        raise InvalidIntentError(
            "the upstream is not draining", field="upstream_id", value=step.upstream_id
        )
    draining = [name for name in entry.draining if name != step.upstream_id]
    draft.upstreams[step.upstream_id] = True
    draft.put(
        entry.replace(draining=draining),
        f"undrain upstream {step.upstream_id} of service {entry.name}",
    )


#: Functions that apply a step to a draft, by action.
ACTIONS = {
    "create-service": _create_service,
    "change-service": _change_service,
    "remove-service": _remove_service,
    "drain-upstream": _drain_upstream,
    "undrain-upstream": _undrain_upstream,
}


def _existing_service(draft, step):
    entry = draft.services.get(step.service)
    if entry is None:
        raise InvalidIntentError("no such service", field="service", value=step.service)
    return entry


def _check_name(name):
    plain = name
    for character in NAME_PUNCTUATION:
        plain = plain.replace(character, "")
    if not plain.isascii() or not plain.isalnum():
        raise InvalidIntentError(
            "expected a name of letters, digits and - . _", field="service", value=name
        )


def _check_address(draft, step):
    host = _host(step)
    if not step.port:
        raise InvalidIntentError(
            "expected a port from 1 to 65535", field="port", value=step.port
        )
    for entry in draft.services.values():
        is_taken = (entry.host, entry.port) == (host, step.port)
        if is_taken and entry.name != step.service:
            raise InvalidIntentError(
                f"service {entry.name} already has this address",
                field="host",
                value=f"{host}:{step.port}",
            )


def _host(step):
    try:
        return str(ipaddress.ip_address(step.host))
    except ValueError:
        raise InvalidIntentError(
            "expected an IP address", field="host", value=step.host
        ) from None


def _check_upstream(step):
    _check_unused(step, "host", "port")
    if not step.upstream_id:
        raise InvalidIntentError(
            "expected an upstream id", field="upstream_id", value=""
        )


def _check_unused(step, *fields):
    for field in fields:
        value = getattr(step, field)
        if value:
            raise InvalidIntentError(
                f"must not be set for {step.action}", field=field, value=value
            )
