"""knapweeddeal.daemon: The daemon `knapweeddeald`, one process in one role."""

import gc
import importlib
import os
import signal
import sys

from knapweeddeal.errors import BadSettingError, KnapweeddealError
from knapweeddeal.lazyimports import block_imports, defer_imports
from knapweeddeal.logs import open_log
from knapweeddeal.settings import CONTROL, ENTRY, FORWARDER, read_settings

__all__ = ["main"]

#: Modules whose `run` runs each role; a process imports only its own.
ROLES = {
    CONTROL: "knapweeddeal.controlprocess",
    ENTRY: "knapweeddeal.entryprocess",
    FORWARDER: "knapweeddeal.forwarderprocess",
}
#: Variable that names the settings file when no argument does.
SETTINGS_VARIABLE = "KNAPWEEDDEAL_SETTINGS"


def parser():
    """Return the parser of the daemon's arguments."""
    import argparse

    result = argparse.ArgumentParser(
        prog="knapweeddeald", description="Run one process of knapweeddeal."
    )
    result.add_argument(
        "settings",
        metavar="FILE",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings in INI form; by default the file in {SETTINGS_VARIABLE}",
    )
    result.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    return result


def main(arguments=None):
    """Run the daemon; return its exit status."""
    # Until the role reads signals, a reload must not end the process: the settings
    # are read later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path, check = _arguments(sys.argv[1:] if arguments is None else arguments)
    try:
        settings = read_settings(path)
    except BadSettingError as error:
        print(f"knapweeddeald: {error}", file=sys.stderr)
        return error.exit_status
    if check:
        print("settings are good")
        return 0
    try:
        open_log(settings.log_file)
        _run(settings)
    except KnapweeddealError as error:
        print(f"knapweeddeald: {error}", file=sys.stderr)
        return error.exit_status
    return 0


def _arguments(arguments):
    """Return the settings file, and whether only to check it."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path and not arguments:
        # The parser's import would delay the start.
        return path, False
    checker = parser()
    options = checker.parse_args(arguments)
    if options.settings is None:
        checker.error(f"no FILE given, and {SETTINGS_VARIABLE} isn't set")
    return options.settings, options.check


def _run(settings):
    """Run the role; a forwarder begins before the event loop is loaded."""
    # curio imports these; nothing here speaks TLS or runs an asyncio loop.
    defer_imports("asyncio")
    block_imports("ssl", "_hashlib")
    prepared = ()
    if settings.role == FORWARDER:
        from knapweeddeal.forwarderstart import prepare

        prepared = prepare(settings)
    import logging

    import curio

    signal.signal(signal.SIGINT, signal.SIG_DFL)

    logging.getLogger("curio").setLevel(logging.ERROR)
    role = importlib.import_module(ROLES[settings.role])
    gc.enable()
    gc.freeze()
    curio.run(role.run, settings, *prepared)


if __name__ == "__main__":
    sys.exit(main())
