"""knapweeddeal.lazyimports: Deferred and blocked imports."""

import importlib
import sys
from types import ModuleType

__all__ = ["defer_imports", "block_imports"]


class DeferredModule(ModuleType):
    """Placeholder that loads a module on the first access to an attribute.

    `importlib.util.LazyLoader` of Python 3.11 does not defer enough: it loads the
    module at the next import statement.
    """

    def __getattr__(self, attribute):
        """Return an attribute of the module, loading it if necessary."""
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)


def defer_imports(*names):
    """Defer the loading of modules until their first use.

    For modules that a library imports and this process does not use: on a fraction of a
    core, loading each of them delays callers after a restart.
    """
    for name in names:
        sys.modules.setdefault(name, DeferredModule(name))


def block_imports(*names):
    """Make imports of modules fail; their importers must handle ImportError."""
    for name in names:
        sys.modules.setdefault(name, None)
