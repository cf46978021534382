"""knapweeddeal.record: The base of plain classes with slots."""

import operator

__all__ = ["Record"]


class Record:
    """Hold the fields that a subclass names in its slots.

    Constructors take every field by keyword.
    """

    __slots__ = ()

    def __init_subclass__(cls):
        """Prepare access to all fields."""
        names = tuple(cls.__slots__)
        cls._names = names
        getter = operator.attrgetter(*names) if names else lambda _: ()
        cls._values = staticmethod(
            getter if len(names) != 1 else lambda record: (getter(record),)
        )
        if "__init__" not in cls.__dict__:
            cls.__init__ = _first_constructor(cls, names)

    def __eq__(self, other):
        """Compare class and all fields."""
        return type(self) is type(other) and self._values(self) == other._values(other)

    def __hash__(self):
        """Hash class and all fields."""
        return hash((type(self), self._values(self)))

    def __repr__(self):
        """Return class and fields."""
        fields = ", ".join(f"{n}={getattr(self, n)!r}" for n in self._names)
        return f"{type(self).__name__}({fields})"

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        values = dict(zip(self._names, self._values(self), strict=True))
        values.update(changes)
        return type(self)(**values)


def _first_constructor(cls, names):
    """Return a constructor that compiles the real one, installs and calls it."""

    def construct(self, **fields):
        cls.__init__ = _constructor(names)
        cls.__init__(self, **fields)

    return construct


def _constructor(names):
    """Return a constructor that takes some fields by keyword.

    It is compiled, as every message of every packet is made by one.
    """
    if not names:
        return object.__init__
    lines = [f"def __init__(self, *, {', '.join(names)}):"]
    lines += [f"    self.{name} = {name}" for name in names]
    scope = {}
    exec("\n".join(lines), scope)
    return scope["__init__"]
