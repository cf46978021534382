"""knapweeddeal.dispatch: Methods that vary by the type of their first argument."""

import functools

__all__ = ["methoddispatch"]


class methoddispatch(functools.singledispatchmethod):  # noqa: N801
    """Dispatch as `functools.singledispatchmethod` does, without its cost.

    That one wraps the method anew for each call; this one looks the function up
    in a table by the exact type, which suits the path of packets.
    """

    def __init__(self, func):
        super().__init__(func)
        self._table = {}

    def register(self, cls, method=None):
        """Register a method for a type."""
        self._table.clear()
        return super().register(cls, method)

    def __get__(self, obj, cls=None):
        """Return the method bound to an object."""
        table, find = self._table, self._find

        def call(argument, *arguments, **named):
            method = table.get(type(argument)) or find(type(argument))
            return method(obj, argument, *arguments, **named)

        return call

    def _find(self, cls):
        method = self.dispatcher.dispatch(cls)
        self._table[cls] = method
        return method
