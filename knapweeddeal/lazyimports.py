"""knapweeddeal.lazyimports: Deferred and blocked imports."""

import importlib
import os
import sys
from types import ModuleType

__all__ = ["block_imports", "defer_import", "defer_imports", "defer_unused_by_curio"]

#: Constants of `multiprocessing.connection` that curio reads.
CONNECTION_CONSTANTS = {
    "CHALLENGE": b"#CHALLENGE#",
    "FAILURE": b"#FAILURE#",
    "MESSAGE_LENGTH": 20,
    "WELCOME": b"#WELCOME#",
}


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


def defer_import(name, **known):
    """Defer the loading of a module whose importers read some known attributes."""
    module = sys.modules.setdefault(name, DeferredModule(name))
    vars(module).update(known)
    return module


def defer_imports(*names):
    """Defer the loading of modules until their first use.

    For modules that a library imports and this process does not use: on a fraction of a
    core, loading each of them delays callers after a restart.
    """
    for name in names:
        defer_import(name)


def block_imports(*names):
    """Make imports of modules fail; their importers must handle ImportError."""
    for name in names:
        sys.modules.setdefault(name, None)


def defer_unused_by_curio():
    """Defer or block what curio imports for subprocesses, TLS and asyncio.

    What subprocesses and authenticated channels need is a large part of curio's memory
    and import time. Its modules read a few values when they are imported.
    """
    defer_imports("asyncio", "pickle")
    block_imports("ssl", "_hashlib")
    connection = defer_import("multiprocessing.connection", **CONNECTION_CONSTANTS)
    defer_import("multiprocessing", connection=connection, cpu_count=os.cpu_count)
