"""knapweeddeal.lazyimports: Modules that are loaded when they are first used."""

import importlib
import sys
from types import ModuleType

__all__ = ["defer_imports", "block_imports"]


class DeferredModule(ModuleType):
    """Stand in for a module until one of its attributes is asked for.

    `importlib.util.LazyLoader` of Python 3.11 loads at the next import statement.
    """

    def __getattr__(self, attribute):
        """Return an attribute of the module, which is loaded now if it wasn't."""
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)


def defer_imports(*names):
    """Let imports of modules return at once.

    For modules that a library imports and this process doesn't use: at a small share
    of a core each costs callers time after a restart.
    """
    for name in names:
        sys.modules.setdefault(name, DeferredModule(name))


def block_imports(*names):
    """Let imports of modules fail, where whoever imports them does without."""
    for name in names:
        sys.modules.setdefault(name, None)
