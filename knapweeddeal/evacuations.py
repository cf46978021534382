"""knapweeddeal.evacuations: Orders that evacuate availability zones."""

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.messages.packets import MAX_EVACUATIONS, Evacuation
from knapweeddeal.options import MAX_NAME_LENGTH, is_name

__all__ = ["after_order", "check_order", "evacuated_names"]


def evacuated_names(evacuations):
    """Return the names of the evacuated zones, sorted."""
    return sorted(evacuation.zone for evacuation in evacuations.zones)


def check_order(order, *, listed, evacuations):
    """Raise InvalidIntentError for an order whose zone is malformed or unknown.

    `listed` holds all zones, or nothing if they aren't known. A zone that is evacuated
    may be readmitted although it is no longer listed.
    """
    zone = order.zone
    if len(zone) > MAX_NAME_LENGTH or not is_name(zone):
        raise InvalidIntentError(
            f"expected 1 to {MAX_NAME_LENGTH} letters, digits, -, . and _",
            field="zone",
            value=zone,
        )
    known = {*listed, *evacuated_names(evacuations)}
    if listed and zone not in known:
        raise InvalidIntentError(
            f"expected one of {', '.join(listed)}", field="zone", value=zone
        )


def after_order(evacuations, record):
    """Return the evacuations after a record; the same object if it changes nothing.

    A repeated order keeps the time and the operator of the first one.
    """
    names = evacuated_names(evacuations)
    if (record.zone in names) == record.evacuated:
        return evacuations
    zones = [one for one in evacuations.zones if one.zone != record.zone]
    if record.evacuated:
        if len(zones) >= MAX_EVACUATIONS:
            raise InvalidIntentError(
                f"expected at most {MAX_EVACUATIONS} evacuated zones",
                field="zone",
                value=record.zone,
            )
        zones.append(
            Evacuation(
                zone=record.zone, since_ms=record.ordered_ms, operator=record.operator
            )
        )
    return evacuations.replace(version=evacuations.version + 1, zones=zones)
