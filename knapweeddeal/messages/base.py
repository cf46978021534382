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

#: Families of messages; a process that meets an unknown tag loads all of them.
FAMILIES = (
    "caller",
    "control",
    "member",
    "operator",
    "packets",
    "peer",
    "replication",
    "upstream",
)

#: Message classes by wire tag.
REGISTRY = {}

#: Largest 64-bit whole number.
MAX_WHOLE = 2**64 - 1


class Text:
    """Check a text field."""

    __slots__ = ("max_chars",)

    def __init__(self, *, max_chars=128):
        self.max_chars = max_chars

    def unpack(self, name, value):
        """Return a value that passes the check, or raise BadMessageError."""
        if type(value) is not str or len(value) > self.max_chars:
            raise BadMessageError("not a short text", field=name, value=value)
        return value


class Integer:
    """Check a whole number field."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, *, minimum=0, maximum=MAX_WHOLE):
        self.minimum = minimum
        self.maximum = maximum

    def unpack(self, name, value):
        """Return a value that passes the check, or raise BadMessageError."""
        if type(value) is not int or not self.minimum <= value <= self.maximum:
            raise BadMessageError(
                "not a whole number in range", field=name, value=value
            )
        return value


class Flag:
    """Check a truth value field."""

    __slots__ = ()

    def unpack(self, name, value):
        """Return a value that passes the check, or raise BadMessageError."""
        if type(value) is not bool:
            raise BadMessageError("not a truth value", field=name, value=value)
        return value


class Blob:
    """Check a byte string field."""

    __slots__ = ("max_bytes",)

    def __init__(self, *, max_bytes=1 << 20):
        self.max_bytes = max_bytes

    def unpack(self, name, value):
        """Return a value that passes the check, or raise BadMessageError."""
        if type(value) is not bytes or len(value) > self.max_bytes:
            raise BadMessageError("not a byte string in range", field=name, value=value)
        return value


class OneOf:
    """Check a text field against a closed list."""

    __slots__ = ("choices",)

    def __init__(self, *choices):
        self.choices = frozenset(choices)

    def unpack(self, name, value):
        """Return a value that passes the check, or raise BadMessageError."""
        if type(value) is not str or value not in self.choices:
            raise BadMessageError("not one of the known words", field=name, value=value)
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
        """Return the message in a value, or raise BadMessageError."""
        message = from_wire(value)
        if not isinstance(message, self.cls):
            raise BadMessageError("holds another message", field=name, value=message)
        return message


class ListOf:
    """Check a list whose items all pass one check."""

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
            raise BadMessageError("not a list in range", field=name, value=value)
        return [self.item.unpack(name, item) for item in value]


class Message(Record):
    """Hold the fields that a subclass declares in its schema.

    A subclass sets `tag`, `schema` and `__slots__ = tuple(schema)`; constructors
    take every field by keyword and check names only: the codec checks values.
    """

    __slots__ = ()

    #: Wire tag; 0 for a class that never travels on its own.
    tag = 0
    #: Field checks by field name, in wire order.
    schema = {}

    def __init_subclass__(cls):
        """Register the class by its tag and prepare its codec."""
        super().__init_subclass__()
        cls._fill = staticmethod(_first_filler(cls))
        cls._packs = tuple(getattr(kind, "pack", None) for kind in cls.schema.values())
        cls._plain = not any(cls._packs)
        if cls.tag in REGISTRY:
            raise TypeError(f"tag {cls.tag} stands twice")
        if cls.tag:
            REGISTRY[cls.tag] = cls

    def to_wire(self):
        """Return the list that msgpack carries."""
        values = self._values(self)
        if self._plain:
            return [self.tag, *values]
        packed = (
            pack(value) if pack else value
            for pack, value in zip(self._packs, values, strict=True)
        )
        return [self.tag, *packed]


def _first_filler(cls):
    """Return a function that compiles the class's filler, installs and calls it.

    A process uses a few of the classes that it imports.
    """

    def fill(message, wire):
        cls._fill = staticmethod(_filler(cls.schema))
        return cls._fill(message, wire)

    return fill


def _filler(schema):
    """Return a function that checks an unpacked list into a message's fields.

    It is compiled, as every message of every packet passes through one.
    """
    lines = ["def fill(message, wire):"]
    scope = {}
    for place, (name, kind) in enumerate(schema.items(), start=1):
        scope[f"unpack_{place}"] = kind.unpack
        lines.append(f"    message.{name} = unpack_{place}({name!r}, wire[{place}])")
    exec("\n".join([*lines, "    return message"]), scope)
    return scope["fill"]


def load_families():
    """Register the messages of all families."""
    for family in FAMILIES:
        importlib.import_module(f"knapweeddeal.messages.{family}")


def from_wire(wire):
    """Return the message in an unpacked list, or raise BadMessageError."""
    if type(wire) is not list or not wire or type(wire[0]) is not int:
        raise BadMessageError("not a tagged list")
    cls = REGISTRY.get(wire[0])
    if cls is None:
        load_families()
        cls = REGISTRY.get(wire[0])
    if cls is None:
        raise BadMessageError("unknown tag", field="tag", value=wire[0])
    if len(wire) != len(cls.schema) + 1:
        raise BadMessageError("wrong number of fields", field="tag", value=wire[0])
    message = cls.__new__(cls)
    cls._fill(message, wire)
    return message


class EncodedMessage:
    """Hold a message that goes out on many streams, and its bytes."""

    __slots__ = ("data", "message")

    def __init__(self, *, message):
        self.message = message
        self.data = encode(message)


def encode(message):
    """Return the bytes of a message."""
    if type(message) is EncodedMessage:
        return message.data
    return msgpack.packb(message.to_wire())


def decode(data):
    """Return the message in some bytes, or raise BadMessageError."""
    try:
        wire = msgpack.unpackb(data)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise BadMessageError("not msgpack") from error
    return from_wire(wire)
