"""knapweeddeal.messages.base: Typed messages, their field checks and their codec."""

import importlib

import msgpack

from knapweeddeal.errors import BadMessageError
from knapweeddeal.record import Record

__all__ = [
    "FAMILIES",
    "REGISTRY",
    "Blob",
    "EncodedMessage",
    "Flag",
    "ListOf",
    "Message",
    "Nested",
    "OneOf",
    "Text",
    "Integer",
    "decode",
    "encode",
    "from_wire",
    "load_families",
]

#: Modules of message classes; all are imported when a tag is not registered yet.
FAMILIES = (
    "caller",
    "cold",
    "control",
    "evacuation",
    "loads",
    "member",
    "operator",
    "packets",
    "peer",
    "replication",
    "upstream",
)

#: Message classes by wire tag.
REGISTRY = {}

#: Largest unsigned 64-bit integer.
MAX_UINT64 = 2**64 - 1


class Text:
    """Check a text field."""

    __slots__ = ("max_chars",)

    def __init__(self, *, max_chars=128):
        self.max_chars = max_chars

    def unpack(self, name, value):
        """Return the value, or raise BadMessageError if it is invalid."""
        if type(value) is not str or len(value) > self.max_chars:
            raise BadMessageError(
                "expected a string within the length limit", field=name, value=value
            )
        return value


class Integer:
    """Check an integer field."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, *, minimum=0, maximum=MAX_UINT64):
        self.minimum = minimum
        self.maximum = maximum

    def unpack(self, name, value):
        """Return the value, or raise BadMessageError if it is invalid."""
        if type(value) is not int or not self.minimum <= value <= self.maximum:
            raise BadMessageError(
                "expected an integer in the allowed range", field=name, value=value
            )
        return value


class Flag:
    """Check a boolean field."""

    __slots__ = ()

    def unpack(self, name, value):
        """Return the value, or raise BadMessageError if it is invalid."""
        if type(value) is not bool:
            raise BadMessageError("expected a boolean", field=name, value=value)
        return value


class Blob:
    """Check a byte string field."""

    __slots__ = ("max_bytes",)

    def __init__(self, *, max_bytes=1 << 20):
        self.max_bytes = max_bytes

    def unpack(self, name, value):
        """Return the value, or raise BadMessageError if it is invalid."""
        if type(value) is not bytes or len(value) > self.max_bytes:
            raise BadMessageError(
                "expected a byte string within the size limit", field=name, value=value
            )
        return value


class OneOf:
    """Check a text field against a list of allowed values."""

    __slots__ = ("choices",)

    def __init__(self, *choices):
        self.choices = frozenset(choices)

    def unpack(self, name, value):
        """Return the value, or raise BadMessageError if it is invalid."""
        if type(value) is not str or value not in self.choices:
            raise BadMessageError(
                "expected one of the allowed values", field=name, value=value
            )
        return value


class Nested:
    """Check a field that holds another message."""

    __slots__ = ("cls",)

    def __init__(self, cls):
        self.cls = cls

    def pack(self, value):
        """Return the wire form of a value."""
        return value.to_wire()

    def unpack(self, name, value):
        """Return the decoded message, or raise BadMessageError."""
        message = from_wire(value)
        if not isinstance(message, self.cls):
            raise BadMessageError("unexpected message class", field=name, value=message)
        return message


class ListOf:
    """Check a list field and each of its items."""

    __slots__ = ("item", "max_items")

    def __init__(self, item, *, max_items=100_000):
        self.item = item
        self.max_items = max_items

    def pack(self, value):
        """Return the wire form of a value."""
        pack = getattr(self.item, "pack", None)
        return [pack(item) for item in value] if pack else list(value)

    def unpack(self, name, value):
        """Return the checked items, or raise BadMessageError."""
        if type(value) is not list or len(value) > self.max_items:
            raise BadMessageError(
                "expected a list within the size limit", field=name, value=value
            )
        return [self.item.unpack(name, item) for item in value]


class Message(Record):
    """Hold the fields that a subclass declares in its schema.

    A subclass sets `tag`, `schema` and `__slots__ = tuple(schema)`. Constructors
    take every field by keyword and check only the names: decoding checks values.
    Fields that were added to a stored message are its last ones and have `defaults`,
    so that what was written without them can still be read.
    """

    __slots__ = ()

    #: Wire tag; 0 for a class that is never sent on its own.
    tag = 0
    #: Field checks by field name, in wire order.
    schema = {}
    #: Wire values of the last fields that may be missing, in wire order.
    defaults = ()

    def __init_subclass__(cls):
        """Register the class under its tag and prepare its codec."""
        super().__init_subclass__()
        cls._set_fields = staticmethod(_lazy_field_setter(cls))
        cls._packers = tuple(
            getattr(kind, "pack", None) for kind in cls.schema.values()
        )
        cls._needs_no_packing = not any(cls._packers)
        if cls.tag in REGISTRY:
            raise TypeError(f"message tag {cls.tag} is already registered")
        if cls.tag:
            REGISTRY[cls.tag] = cls

    def to_wire(self):
        """Return the message as a list for msgpack: its tag, then its fields."""
        values = self._values(self)
        if self._needs_no_packing:
            return [self.tag, *values]
        packed = (
            pack(value) if pack else value
            for pack, value in zip(self._packers, values, strict=True)
        )
        return [self.tag, *packed]


def _lazy_field_setter(cls):
    """Return a function that replaces itself with the compiled setter when called.

    Compiling on first use saves start time: a process uses only a few of the classes
    that it imports.
    """

    def set_fields(message, wire):
        cls._set_fields = staticmethod(_compile_field_setter(cls.schema))
        return cls._set_fields(message, wire)

    return set_fields


def _compile_field_setter(schema):
    """Return a function that checks an unpacked list and sets a message's fields.

    It is compiled for speed, as it runs for every message of every packet.
    """
    lines = ["def set_fields(message, wire):"]
    scope = {}
    for index, (name, kind) in enumerate(schema.items(), start=1):
        scope[f"unpack_{index}"] = kind.unpack
        lines.append(f"    message.{name} = unpack_{index}({name!r}, wire[{index}])")
    exec("\n".join([*lines, "    return message"]), scope)
    return scope["set_fields"]


def load_families():
    """Import all families, which registers their messages."""
    for family in FAMILIES:
        importlib.import_module(f"knapweeddeal.messages.{family}")


def from_wire(wire):
    """Return the message that an unpacked list holds, or raise BadMessageError."""
    if type(wire) is not list or not wire or type(wire[0]) is not int:
        raise BadMessageError("expected a list that starts with an integer tag")
    cls = REGISTRY.get(wire[0])
    if cls is None:
        load_families()
        cls = REGISTRY.get(wire[0])
    if cls is None:
        raise BadMessageError("unknown message tag", field="tag", value=wire[0])
    missing = len(cls.schema) + 1 - len(wire)
    if 0 < missing <= len(cls.defaults):
        wire = [*wire, *cls.defaults[-missing:]]
    elif missing:
        raise BadMessageError("wrong number of fields", field="tag", value=wire[0])
    message = cls.__new__(cls)
    cls._set_fields(message, wire)
    return message


class EncodedMessage:
    """Hold a message and its bytes, encoded once for many streams."""

    __slots__ = ("data", "message")

    def __init__(self, *, message):
        self.message = message
        self.data = encode(message)


def encode(message):
    """Return the bytes of a message, or raise BadMessageError if it has none."""
    if type(message) is EncodedMessage:
        return message.data
    try:
        return msgpack.packb(message.to_wire())
    except (OverflowError, UnicodeEncodeError) as error:
        raise BadMessageError(
            "expected texts that UTF-8 can encode and integers of 64 bits",
            field=type(message).__name__,
            value=error,
        ) from None


def decode(data):
    """Return the message that bytes encode, or raise BadMessageError."""
    try:
        wire = msgpack.unpackb(data)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise BadMessageError("invalid msgpack data") from error
    return from_wire(wire)
