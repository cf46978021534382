"""tests.messagestrategies: Hypothesis strategies for valid and malformed messages."""

from functools import singledispatch

import msgpack
from hypothesis import strategies as st

from knapweeddeal.messages import REGISTRY, base

__all__ = ["any_message", "malformed_bytes", "message_of"]

base.load_families()


@singledispatch
def value_of(kind):
    """Return a strategy for the values that a field check accepts."""
    raise TypeError(kind)


@value_of.register
def _(kind: base.Text):
    return st.text(max_size=min(kind.max_chars, 8))


@value_of.register
def _(kind: base.Integer):
    edges = st.sampled_from((kind.minimum, kind.maximum))
    small = st.integers(kind.minimum, min(kind.maximum, kind.minimum + 3))
    return edges | small | st.integers(kind.minimum, kind.maximum)


@value_of.register
def _(kind: base.Flag):
    return st.booleans()


@value_of.register
def _(kind: base.Blob):
    return st.binary(max_size=min(kind.max_bytes, 16))


@value_of.register
def _(kind: base.OneOf):
    return st.sampled_from(sorted(kind.choices))


@value_of.register
def _(kind: base.Nested):
    return message_of(kind.cls) if kind.cls.tag else any_message()


@value_of.register
def _(kind: base.ListOf):
    return st.lists(value_of(kind.item), max_size=min(kind.max_items, 3))


def message_of(cls):
    """Return a strategy for the messages of one class."""
    fields = {name: value_of(kind) for name, kind in cls.schema.items()}
    return st.builds(cls, **fields)


def any_message(family=None):
    """Return a strategy for all messages, or for those of one family."""
    classes = [
        cls
        for _, cls in sorted(REGISTRY.items())
        if family is None or cls.__module__ == family.__name__
    ]
    return st.sampled_from(classes).flatmap(message_of)


def scalars():
    """Return a strategy for msgpack values other than lists and maps."""
    return st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=4),
        st.binary(max_size=4),
        st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=4)),
        st.builds(msgpack.Timestamp, st.integers(0, 2**33)),
    )


def malformed_bytes():
    """Return a strategy for bytes of messages, valid or malformed, and other data."""
    value = st.recursive(
        scalars(),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=2), inner, max_size=2)
        ),
        max_leaves=12,
    )
    tagged = st.builds(
        lambda tag, rest: [tag, *rest],
        st.sampled_from(sorted(REGISTRY)),
        st.lists(value, max_size=12),
    )
    with_wrong_field = st.builds(_with_field, any_message(), st.integers(0, 11), value)
    whole = st.one_of(value, tagged, with_wrong_field).map(msgpack.packb)
    truncated = st.builds(lambda data, end: data[:end], whole, st.integers(0, 64))
    return st.one_of(st.binary(max_size=64), whole, truncated)


def _with_field(message, index, value):
    wire = message.to_wire()
    wire[index % len(wire)] = value
    return wire
