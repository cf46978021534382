"""knapweeddeal.daemon: The daemon `knapweeddeald`, one process in one role."""

import argparse
import signal
import sys

import curio

from knapweeddeal import controlprocess, entryprocess
from knapweeddeal.errors import BadSettingError, KnapweeddealError
from knapweeddeal.logs import open_log
from knapweeddeal.settings import CONTROL, ENTRY, read_settings

__all__ = ["main"]

#: What runs each role.
ROLES = {CONTROL: controlprocess.run, ENTRY: entryprocess.run}


def parser():
    """Return the parser of the daemon's arguments."""
    result = argparse.ArgumentParser(
        prog="knapweeddeald", description="Run one process of knapweeddeal."
    )
    result.add_argument("settings", metavar="FILE", help="settings in INI form")
    result.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    return result


def main(arguments=None):
    """Run the daemon; return its exit status."""
    options = parser().parse_args(arguments)
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
        curio.run(ROLES[settings.role], settings)
    except KnapweeddealError as error:
        print(f"knapweeddeald: {error}", file=sys.stderr)
        return error.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
