"""knapweeddeal.cmdline: The operators' command-line tool."""

import argparse
import getpass
import json
import secrets
import sys

import curio

from knapweeddeal.controlclient import ask
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages.operator import (
    ConfirmAsk,
    IntentStep,
    PlanAsk,
    ServicesAsk,
    StatusAsk,
)
from knapweeddeal.options import address_option, peers_option

__all__ = ["main"]


def main(arguments=None):
    """Run one command and return its exit status."""
    options = _parser().parse_args(arguments)
    try:
        control = peers_option("--control", options.control, None)
        message = options.make(options)
        answer = curio.run(_ask, list(control.values()), message, options.timeout_ms)
    except KnapweeddealError as error:
        print(f"knapweeddeal: {error.describe()}", file=sys.stderr)
        return error.exit_status
    print(json.dumps(as_json(answer)) if options.json else answer)
    return 0


async def _ask(addresses, message, timeout_ms):
    return await ask(addresses, message, timeout_ms=timeout_ms)


def as_json(value):
    """Return a message as maps and lists."""
    if isinstance(value, list):
        return [as_json(item) for item in value]
    schema = getattr(value, "schema", None)
    if schema is None:
        return value
    return {name: as_json(getattr(value, name)) for name in schema}


def _parser():
    parser = argparse.ArgumentParser(prog="knapweeddeal")
    parser.add_argument("--control", required=True, metavar="NAME=IP:PORT,...")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--request-id", default=secrets.token_hex(8))
    parser.add_argument("--operator", default=getpass.getuser())
    parser.add_argument("--timeout-ms", type=int, default=10_000)
    commands = parser.add_subparsers(required=True)
    _add_plan(commands.add_parser("plan"))
    confirm = commands.add_parser("confirm")
    confirm.add_argument("plan")
    confirm.set_defaults(make=_confirm)
    commands.add_parser("status").set_defaults(make=lambda _: StatusAsk())
    commands.add_parser("services").set_defaults(make=lambda _: ServicesAsk())
    return parser


def _add_plan(plan):
    actions = plan.add_subparsers(required=True)
    create = actions.add_parser("create-service")
    create.add_argument("name")
    create.add_argument("address", metavar="IP:PORT")
    create.set_defaults(make=_create)


def _create(options):
    host, port = address_option("address", options.address, None)
    step = IntentStep(
        action="create-service",
        service=options.name,
        host=host,
        port=port,
        upstream_id="",
    )
    return PlanAsk(
        request_id=options.request_id, operator=options.operator, steps=[step]
    )


def _confirm(options):
    return ConfirmAsk(
        request_id=options.request_id, operator=options.operator, plan_id=options.plan
    )


if __name__ == "__main__":
    sys.exit(main())
