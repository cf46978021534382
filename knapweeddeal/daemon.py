"""knapweeddeal.daemon: The daemon `knapweeddeald`, which runs one role."""

import gc
import importlib
import os
import signal
import sys

from knapweeddeal.errors import BadInstallError, BadSettingError, KnapweeddealError
from knapweeddeal.lazyimports import defer_unused_by_curio
from knapweeddeal.libraries import PLATFORM, check_platform
from knapweeddeal.logs import Log, open_log
from knapweeddeal.settings import CONTROL, ENTRY, FORWARDER, read_settings

__all__ = ["main"]

log = Log(prefix="daemon")

#: Module of each role, with its `run`; a process imports only the one that it needs.
ROLES = {
    CONTROL: "knapweeddeal.controlprocess",
    ENTRY: "knapweeddeal.entryprocess",
    FORWARDER: "knapweeddeal.forwarderprocess",
}
#: Environment variable with the settings file, read if no argument gives one.
SETTINGS_VARIABLE = "KNAPWEEDDEAL_SETTINGS"


def parser():
    """Return the parser of the command line."""
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
        "--check", action="store_true", help="check the settings and exit"
    )
    return result


def main(arguments=None):
    """Run the daemon; return its exit status."""
    # SIGHUP would end the process before the role handles signals. Ignoring it loses
    # no reload, as the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path, check = _arguments(sys.argv[1:] if arguments is None else arguments)
    try:
        check_platform()
        settings = read_settings(path)
    except (BadInstallError, BadSettingError) as error:
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
    """Return the path of the settings, and whether to only check them."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path and not arguments:
        # Importing argparse would delay the start.
        return path, False
    argument_parser = parser()
    options = argument_parser.parse_args(arguments)
    if options.settings is None:
        argument_parser.error(
            f"expected FILE as an argument or in the variable {SETTINGS_VARIABLE}"
        )
    return options.settings, options.check


def _run(settings):
    """Run the role; a forwarder prepares its start before curio is imported."""
    defer_unused_by_curio()
    prepared = ()
    if settings.role == FORWARDER:
        from knapweeddeal.packetsocket import bind_packet_socket

        # Packets wait in the socket while the rest is imported.
        udp_socket = bind_packet_socket(settings.packets)
        from knapweeddeal.forwarderstart import prepare

        prepared = prepare(settings, udp_socket)
    import logging

    import curio

    signal.signal(signal.SIGINT, signal.SIG_DFL)

    logging.getLogger("curio").setLevel(logging.ERROR)
    role = importlib.import_module(ROLES[settings.role])
    _log_platform()
    gc.enable()
    gc.freeze()
    curio.run(role.run, settings, *prepared)


def _log_platform():
    """Log the platform, and whether msgpack runs as compiled code for it.

    Libraries that were installed for another platform load, but msgpack is slower then.
    """
    import msgpack

    log.info(
        "loaded the libraries",
        python=sys.version.partition(" ")[0],
        platform=PLATFORM,
        codec=msgpack.Packer.__module__,
        path=os.path.dirname(os.path.dirname(msgpack.__file__)),
    )


if __name__ == "__main__":
    sys.exit(main())
