"""knapweeddeal.inspection: State dumps, bounded in size, of any process."""

import json

from knapweeddeal.record import Record

__all__ = ["dump_text", "plain"]

#: Items that a dump shows of each list or map before it gets shorter.
FIRST_MAX_ITEMS = 1_000
#: Levels of nesting that a dump shows.
MAX_DEPTH = 8
#: Length of a text or byte string that a dump shows.
MAX_TEXT_CHARS = 200


def dump_text(state, *, max_bytes):
    """Return a state as JSON text of at most `max_bytes`."""
    max_items = FIRST_MAX_ITEMS
    while max_items:
        text = json.dumps(plain(state, max_items=max_items))
        if len(text.encode()) <= max_bytes:
            return text
        max_items //= 2
    return json.dumps({"cut": f"the state is larger than {max_bytes} bytes"})


def plain(value, *, max_items=FIRST_MAX_ITEMS, depth=MAX_DEPTH):
    """Return a value as JSON-ready maps and lists, long ones cut."""
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, bytes):
        return value[: MAX_TEXT_CHARS // 2].hex()
    if isinstance(value, str):
        return value[:MAX_TEXT_CHARS]
    if depth == 0:
        return "..."
    if isinstance(value, Record):
        value = {name: getattr(value, name) for name in value.__slots__}
    if isinstance(value, dict):
        return _plain_map(value, max_items, depth - 1)
    if isinstance(value, (list, tuple, set, frozenset)):
        return _plain_list(list(value), max_items, depth - 1)
    return str(value)[:MAX_TEXT_CHARS]


def _plain_map(items, max_items, depth):
    kept = list(items.items())[:max_items]
    shown = {str(k): plain(v, max_items=max_items, depth=depth) for k, v in kept}
    if len(items) > max_items:
        shown["..."] = f"{len(items) - max_items} more"
    return shown


def _plain_list(items, max_items, depth):
    shown = [plain(v, max_items=max_items, depth=depth) for v in items[:max_items]]
    if len(items) > max_items:
        shown.append(f"... {len(items) - max_items} more")
    return shown
