"""knapweeddeal.cmdline: The operators' command-line tool `knapweeddeal`."""

import argparse
import getpass
import json
import logging
import os
import secrets
import sys

import curio

from knapweeddeal import __version__
from knapweeddeal.commands import COMMANDS
from knapweeddeal.controlclient import (
    collect_refusals,
    request_each,
    request_leader,
    request_one,
)
from knapweeddeal.errors import BadSettingError, KnapweeddealError
from knapweeddeal.messages.operator import RefusalsAnswer
from knapweeddeal.operation import parse_address_argument, parse_addresses_argument
from knapweeddeal.options import peers_option
from knapweeddeal.queries import QUERIES
from knapweeddeal.render import as_json, as_lines, error_json

__all__ = ["main"]

DEFAULT_TIMEOUT_MS = 10_000
#: Environment variable that is read if --control is not given.
CONTROL_VARIABLE = "KNAPWEEDDEAL_CONTROL"

#: All operations by name.
OPERATIONS = {**COMMANDS, **QUERIES}

EPILOG = """exit status: 0 done, 2 wrong usage, 3 bad message or ticket, 4 bad
argument or setting, 5 invalid intent, 6 conflict, 7 no quorum or no leader, 8
unreachable, 9 corrupt storage, 1 anything else"""


def parser():
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(
        prog="knapweeddeal", description="Operate knapweeddeal.", epilog=EPILOG
    )
    result.add_argument("--version", action="version", version=__version__)
    result.add_argument(
        "--control",
        default=os.environ.get(CONTROL_VARIABLE, ""),
        metavar="NAME=IP:PORT,...",
        help=f"control replicas; defaults to the variable {CONTROL_VARIABLE}",
    )
    result.add_argument(
        "--json", action="store_true", help="print JSON instead of lines"
    )
    result.add_argument(
        "--timeout-ms",
        type=int,
        default=DEFAULT_TIMEOUT_MS,
        help="longest wait for an answer",
    )
    result.add_argument(
        "--operator", default="", help="operator to record; your login name by default"
    )
    result.add_argument(
        "--request-id",
        default="",
        help="id of an earlier attempt, to repeat that command without a second effect",
    )
    operations = result.add_subparsers(dest="operation", required=True)
    for name, operation in OPERATIONS.items():
        _add_operation(operations, name, operation)
    return result


def _add_operation(operations, name, operation):
    subparser = operations.add_parser(
        name, help=operation.help, description=operation.help
    )
    for argument in operation.arguments:
        subparser.add_argument(*argument.names, **argument.keywords)
    if operation.queries_process:
        subparser.add_argument(
            "--at", required=True, metavar="IP:PORT", help="address of the process"
        )


def main(arguments=None):
    """Run one operation; return the exit status."""
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    options = parser().parse_args(arguments)
    options.operator = options.operator or getpass.getuser()
    options.request_id = options.request_id or secrets.token_hex(8)
    try:
        answer = curio.run(_run, options)
    except KnapweeddealError as error:
        _report(options, error)
        return error.exit_status
    try:
        print(as_json(answer) if options.json else "\n".join(as_lines(answer)))
    except BrokenPipeError:
        sys.stderr.close()
    return getattr(answer, "exit_status", 0)


async def _run(options):
    operation = OPERATIONS[options.operation]
    if operation.is_offline:
        return operation.run_offline(options)
    message = operation.build_request(options)
    if operation.queries_each_process:
        addresses = parse_addresses_argument("--at", options.at)
        return await request_each(addresses, message, timeout_ms=options.timeout_ms)
    if getattr(options, "at", ""):
        address = parse_address_argument("--at", options.at)
        return await request_one(address, message, timeout_ms=options.timeout_ms)
    if not options.control:
        raise BadSettingError("must be given", field="--control")
    replicas = peers_option("--control", options.control, None)
    if operation.queries_all_replicas:
        return await _find_refusals(list(replicas.values()), message, options)
    return await request_leader(
        list(replicas.values()), message, timeout_ms=options.timeout_ms
    )


async def _find_refusals(addresses, message, options):
    found = await collect_refusals(addresses, message, timeout_ms=options.timeout_ms)
    for host, port in found.failed_addresses:
        print(
            f"knapweeddeal: incomplete: {host}:{port} gave no answer", file=sys.stderr
        )
    return RefusalsAnswer(records=found.records)


def _report(options, error):
    if options.json:
        print(json.dumps(error_json(error)))
    print(f"knapweeddeal: {error}", file=sys.stderr)
    if options.operation in COMMANDS:
        print(
            f"knapweeddeal: to send the same command again: --request-id"
            f" {options.request_id}",
            file=sys.stderr,
        )


if __name__ == "__main__":
    sys.exit(main())
