"""knapweeddeal.commands: Operations that change the state of the system."""

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.intents import ACTIONS, intent_step, read_intent
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.evacuation import EvacuateRequest
from knapweeddeal.messages.operator import (
    ConfirmRequest,
    PlanRequest,
    ReplicaSwapRequest,
)
from knapweeddeal.messages.packets import PublishRequest
from knapweeddeal.operation import Argument, Operation, parse_address_argument
from knapweeddeal.publications import read_publication

__all__ = ["COMMANDS"]


class Plan(Operation):
    """Turn an intent into a plan."""

    name = "plan"
    help = "plan the steps of an intent; nothing changes until the plan is confirmed"
    arguments = (
        Argument("action", nargs="?", choices=tuple(ACTIONS), help="one step"),
        Argument(
            "values", nargs="*", metavar="VALUE", help="fields of the step, in order"
        ),
        Argument("--file", help="INI file with one section for each step"),
    )

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return _plan(options, _steps(options))


class Drain(Operation):
    """Plan to take an upstream out of service."""

    name = "drain"
    help = "plan to take an upstream out of service"
    arguments = (
        Argument("service", help="service of the upstream"),
        Argument("upstream", help="id of the upstream"),
        Argument(
            "--undo", action="store_true", help="plan to return the upstream to service"
        ),
    )

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        action = "undrain-upstream" if options.undo else "drain-upstream"
        values = {"service": options.service, "upstream": options.upstream}
        return _plan(options, [intent_step(action, values)])


class Confirm(Operation):
    """Put a plan in force."""

    name = "confirm"
    help = "put a plan in force; fails if another one was confirmed since"
    arguments = (Argument("plan", metavar="PLAN", help="id printed by plan or drain"),)

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return ConfirmRequest(
            request_id=options.request_id,
            operator=options.operator,
            plan_id=options.plan,
        )


class Publish(Operation):
    """Put packet routes in force."""

    name = "publish"
    help = "put packet routes in force; only a higher revision changes them"
    arguments = (Argument("file", help="INI file with one section for each route"),)

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return PublishRequest(configuration=read_publication(options.file))


class Evacuate(Operation):
    """Keep new flows away from a zone."""

    name = "evacuate"
    help = "keep new flows away from all upstreams of a zone; open flows continue"
    arguments = (Argument("zone", help="availability zone"),)

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return _order(options, evacuated=True)


class Readmit(Operation):
    """Withdraw the evacuation of a zone."""

    name = "readmit"
    help = "withdraw the evacuation of a zone"
    arguments = (Argument("zone", help="availability zone"),)

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return _order(options, evacuated=False)


class AddReplica(Operation):
    """Add a control replica to the membership of the replicated log."""

    name = "replica-add"
    help = "add a replica to the replicated log once it has caught up"
    arguments = (
        Argument("replica", metavar="NAME", help="name of the replica in its settings"),
        Argument("identity", type=int, help="identity that `replicas` lists"),
        Argument(
            "address",
            metavar="IP:PORT",
            help="address on which the replica accepts streams",
        ),
    )

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        host, port = parse_address_argument("address", options.address)
        added = Replica(
            name=options.replica, identity=options.identity, host=host, port=port
        )
        return _swap(options, added, 0)


class RemoveReplica(Operation):
    """Remove a control replica from the membership of the replicated log."""

    name = "replica-remove"
    help = "remove a replica from the replicated log"
    arguments = (Argument("identity", type=int, help="identity that `replicas` lists"),)

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        no_replica = Replica(name="", identity=0, host="", port=0)
        return _swap(options, no_replica, options.identity)


def _plan(options, steps):
    return PlanRequest(
        request_id=options.request_id, operator=options.operator, steps=steps
    )


def _order(options, *, evacuated):
    return EvacuateRequest(
        operator=options.operator,
        request_id=options.request_id,
        zone=options.zone,
        evacuated=evacuated,
    )


def _swap(options, added, removed):
    return ReplicaSwapRequest(
        request_id=options.request_id,
        operator=options.operator,
        add=added,
        remove=removed,
    )


def _steps(options):
    if options.file:
        return read_intent(options.file)
    if options.action is None:
        raise InvalidIntentError("expected an action or --file", field="action")
    fields = ACTIONS[options.action]
    if len(options.values) != len(fields):
        names = " ".join(field.upper() for field in fields)
        raise InvalidIntentError(
            f"{options.action} expects {names}",
            field="values",
            value=" ".join(options.values),
        )
    return [intent_step(options.action, dict(zip(fields, options.values, strict=True)))]


#: Commands by name.
COMMANDS = {
    cls.name: cls
    for cls in (
        Plan,
        Confirm,
        Drain,
        Publish,
        Evacuate,
        Readmit,
        AddReplica,
        RemoveReplica,
    )
}
