"""knapweeddeal.statedump: JSON state dumps of bounded size."""

import functools
import json

from knapweeddeal.record import Record

__all__ = ["dump_text", "to_jsonable"]

#: Items shown of each list or map at first; halved until the dump fits.
INITIAL_MAX_ITEMS = 1_000
#: Levels of nesting shown.
MAX_DEPTH = 8
#: Characters shown of a text, or of a byte string in hex.
MAX_TEXT_CHARS = 200
#: Placeholder for omitted content.
OMITTED = "..."


def dump_text(state, *, max_bytes):
    """Return a state as JSON text of at most `max_bytes`."""
    max_items = INITIAL_MAX_ITEMS
    while max_items:
        text = json.dumps(to_jsonable(state, max_items=max_items))
        if len(text.encode()) <= max_bytes:
            return text
        max_items //= 2
    return json.dumps({"cut": f"the state is larger than {max_bytes} bytes"})


@functools.singledispatch
def to_jsonable(value, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    """Return a value as JSON-ready maps and lists, long and deep ones truncated."""
    return str(value)[:MAX_TEXT_CHARS] if depth else OMITTED


@to_jsonable.register(type(None))
@to_jsonable.register(bool)
@to_jsonable.register(int)
@to_jsonable.register(float)
def _(value, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    return value


@to_jsonable.register
def _(value: bytes, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    return value[: MAX_TEXT_CHARS // 2].hex()


@to_jsonable.register
def _(value: str, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    return value[:MAX_TEXT_CHARS]


@to_jsonable.register
def _(value: Record, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    fields = {name: getattr(value, name) for name in value.__slots__}
    return to_jsonable(fields, max_items=max_items, depth=depth)


@to_jsonable.register
def _(value: dict, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    return _truncated_map(value, max_items, depth - 1) if depth else OMITTED


@to_jsonable.register(list)
@to_jsonable.register(tuple)
@to_jsonable.register(set)
@to_jsonable.register(frozenset)
def _(value, *, max_items=INITIAL_MAX_ITEMS, depth=MAX_DEPTH):
    return _truncated_list(list(value), max_items, depth - 1) if depth else OMITTED


def _truncated_map(items, max_items, depth):
    kept = list(items.items())[:max_items]
    shown = {str(k): to_jsonable(v, max_items=max_items, depth=depth) for k, v in kept}
    if len(items) > max_items:
        shown[OMITTED] = f"{len(items) - max_items} more"
    return shown


def _truncated_list(items, max_items, depth):
    shown = [
        to_jsonable(v, max_items=max_items, depth=depth) for v in items[:max_items]
    ]
    if len(items) > max_items:
        shown.append(f"... {len(items) - max_items} more")
    return shown
