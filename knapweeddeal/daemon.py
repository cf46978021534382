"""knapweeddeal.daemon: The daemon `knapweeddeald`, one process in one role."""

import argparse
import importlib
import os
import signal
import sys

import curio

from knapweeddeal.errors import BadSettingError, KnapweeddealError
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
    checker = parser()
    options = checker.parse_args(arguments)
    if options.settings is None:
        checker.error(f"no FILE given, and {SETTINGS_VARIABLE} isn't set")
    try:
        settings = read_settings(options.settings)
    except BadSettingError as error:
        print(f"knapweeddeald: {error}", file=sys.stderr)
        return error.exit_status
    if options.check:
        print("settings are good")
        return 0
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    try:
        open_log(settings.log_file)
        role = importlib.import_module(ROLES[settings.role])
        curio.run(role.run, settings)
    except KnapweeddealError as error:
        print(f"knapweeddeald: {error}", file=sys.stderr)
        return error.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
