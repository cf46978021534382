"""Render the project's templates of settings, as the platform does."""

import json
import re

__all__ = ["render"]

SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(text, fields):
    """Return a template with its sections and values filled in."""
    text = SECTION.sub(lambda match: _section(match, fields), text)
    return VALUE.sub(lambda match: _value(match, fields), text)


def _section(match, fields):
    table = _find(fields, match[1]) or {}
    parts = []
    for number, key in enumerate(table, 1):
        part = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(key))
        parts.append(part.replace("{{,}}", "," if number < len(table) else ""))
    return "".join(parts)


def _value(match, fields):
    value = _find(fields, match[1])
    if match[2]:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def _find(fields, path):
    for key in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(key)] if int(key) < len(fields) else None
        else:
            fields = fields.get(key) if isinstance(fields, dict) else None
    return fields
