"""knapweeddeal.intents: Intents of operators, read from arguments or an INI file."""

import configparser

from knapweeddeal.errors import BadSettingError, InvalidIntentError
from knapweeddeal.messages.operator import IntentStep
from knapweeddeal.options import address_option

__all__ = ["ACTIONS", "intent_step", "read_intent"]

#: Fields of a step by its action, in command-line order.
ACTIONS = {
    "create-service": ("service", "address"),
    "change-service": ("service", "address"),
    "remove-service": ("service",),
    "drain-upstream": ("service", "upstream"),
    "undrain-upstream": ("service", "upstream"),
}


def intent_step(action, values):
    """Return a step of an intent; raise InvalidIntentError for wrong fields."""
    if action not in ACTIONS:
        known = ", ".join(ACTIONS)
        raise InvalidIntentError(
            f"expected one of {known}", field="action", value=action
        )
    for field in ACTIONS[action]:
        if not values.get(field):
            raise InvalidIntentError(f"{action} requires this field", field=field)
    for field in values:
        if field not in ACTIONS[action]:
            raise InvalidIntentError(f"{action} does not take this field", field=field)
    host, port = _address(values.get("address", ""))
    return IntentStep(
        action=action,
        service=values["service"],
        host=host,
        port=port,
        upstream_id=values.get("upstream", ""),
    )


def read_intent(path):
    """Return the steps of an INI file, one per section; raise InvalidIntentError."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = str(error).splitlines()[0]
        raise InvalidIntentError(reason, field="file", value=path) from None
    if not parser.sections():
        raise InvalidIntentError(
            "expected at least one section, found none", field="file", value=path
        )
    return [_section_step(parser[name]) for name in parser.sections()]


def _section_step(section):
    values = dict(section)
    return intent_step(values.pop("action", ""), values)


def _address(text):
    if not text:
        return "", 0
    try:
        return address_option("address", text, None)
    except BadSettingError as error:
        raise InvalidIntentError(error.text, field="address", value=text) from None
