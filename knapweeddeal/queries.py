"""knapweeddeal.queries: Read-only operations."""

from datetime import datetime

from knapweeddeal.errors import BadSettingError
from knapweeddeal.explain import explain
from knapweeddeal.messages.evacuation import ZonesRequest
from knapweeddeal.messages.operator import (
    DumpRequest,
    MetricsRequest,
    RefusalsRequest,
    ReplicasRequest,
    ServicesRequest,
    StatusRequest,
    UpstreamsRequest,
    WhereRequest,
)
from knapweeddeal.messages.packets import PublishedRoutesRequest
from knapweeddeal.operation import Argument, Operation, parse_address_argument

__all__ = ["QUERIES"]

DEFAULT_DUMP_BYTES = 65_536
MAX_DUMP_BYTES = 1 << 22
MAX_REFUSALS = 10_000
DEFAULT_CANDIDATES = 10
MAX_CANDIDATES = 1_000


class Status(Operation):
    """Show the leader, the version in force and the entries that lag behind."""

    name = "status"
    help = "show the leader, the version in force and the entries that lag behind"

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return StatusRequest()


class Services(Operation):
    """List the confirmed services."""

    name = "services"
    help = "list the confirmed services"

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return ServicesRequest()


class Routes(Operation):
    """List the packet routes in force."""

    name = "routes"
    help = "list the packet routes in force"

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return PublishedRoutesRequest()


class Zones(Operation):
    """List the evacuated zones."""

    name = "zones"
    help = "list the evacuated zones, since when and by whom"

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return ZonesRequest()


class Explain(Operation):
    """Show the decisions on a flow from saved logs."""

    name = "explain"
    help = "show the decisions on a flow and their reasons, from saved logs"
    arguments = (
        Argument("flow", help="IP:PORT of the caller, or a whole flow id"),
        Argument(
            "logs", nargs="+", metavar="FILE", help="logs, one file for each process"
        ),
    )
    is_offline = True

    @staticmethod
    def run_offline(options):
        """Return the decisions."""
        return explain(options.flow, options.logs)


class Replicas(Operation):
    """List the members of the replicated log."""

    name = "replicas"
    help = "list the members of the replicated log and the replicas that could join"

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return ReplicasRequest()


class Refusals(Operation):
    """List refused callers with time and reason."""

    name = "refusals"
    help = "list refused callers with time and reason"
    queries_all_replicas = True
    arguments = (
        Argument("--service", default="", help="only this service"),
        Argument("--caller", default="", help="only this caller, IP or IP:PORT"),
        Argument("--reason", default="", help="only this reason code"),
        Argument("--since", default="", metavar="TIME", help="earliest time, ISO 8601"),
        Argument("--until", default="", metavar="TIME", help="latest time, ISO 8601"),
        Argument("--limit", type=int, default=100, help="most records to list"),
        Argument(
            "--at",
            default="",
            metavar="IP:PORT",
            help="entry to query for records that no control replica holds yet",
        ),
    )

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        if not 0 < options.limit <= MAX_REFUSALS:
            raise BadSettingError(
                f"expected a whole number from 1 to {MAX_REFUSALS}",
                field="--limit",
                value=options.limit,
            )
        return RefusalsRequest(
            service=options.service,
            caller=options.caller,
            reason=options.reason,
            since_ms=_time_ms("--since", options.since),
            until_ms=_time_ms("--until", options.until),
            limit=options.limit,
        )


class Upstreams(Operation):
    """List the upstreams in the directory of an entry."""

    name = "upstreams"
    help = "list the upstreams in the directory of an entry"
    arguments = (Argument("--service", default="", help="only this service"),)
    queries_process = True

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return UpstreamsRequest(service=options.service)


class Dump(Operation):
    """Show the state of a process."""

    name = "dump"
    help = "show the state of a process"
    arguments = (
        Argument(
            "--max-bytes", type=int, default=DEFAULT_DUMP_BYTES, help="size limit"
        ),
    )
    queries_process = True

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        if not 256 <= options.max_bytes <= MAX_DUMP_BYTES:
            raise BadSettingError(
                f"expected a whole number of bytes from 256 to {MAX_DUMP_BYTES}",
                field="--max-bytes",
                value=options.max_bytes,
            )
        return DumpRequest(max_bytes=options.max_bytes)


class Where(Operation):
    """Show where forwarders would send a new flow now, and why."""

    name = "where"
    help = "show where forwarders would send a new flow now, and why; changes nothing"
    arguments = (
        Argument("flow", metavar="FLOW", help="IP:PORT of the caller"),
        Argument(
            "--route", required=True, metavar="IP:PORT", help="address that is called"
        ),
        Argument(
            "--at",
            required=True,
            metavar="IP:PORT[,IP:PORT...]",
            help="addresses of forwarders for streams",
        ),
        Argument(
            "--candidates",
            type=int,
            default=DEFAULT_CANDIDATES,
            help="most candidates to show",
        ),
    )
    queries_each_process = True

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        if not 0 < options.candidates <= MAX_CANDIDATES:
            raise BadSettingError(
                f"expected a whole number from 1 to {MAX_CANDIDATES}",
                field="--candidates",
                value=options.candidates,
            )
        caller_host, caller_port = _ipv4_address("flow", options.flow)
        route_host, route_port = _ipv4_address("--route", options.route)
        return WhereRequest(
            caller_host=caller_host,
            caller_port=caller_port,
            route_host=route_host,
            route_port=route_port,
            max_candidates=options.candidates,
        )


class ShowMetrics(Operation):
    """Show the counters and latencies of a process."""

    name = "metrics"
    help = "show the counters and latencies of a process"
    queries_process = True

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        return MetricsRequest()


def _ipv4_address(field, text):
    host, port = parse_address_argument(field, text)
    if ":" in host:
        raise BadSettingError(
            "expected an IPv4 address, as packets have", field=field, value=text
        )
    return host, port


def _time_ms(field, text):
    if not text:
        return 0
    try:
        return int(datetime.fromisoformat(text).timestamp() * 1000)
    except (ValueError, OverflowError, OSError):
        raise BadSettingError(
            "expected an ISO 8601 time", field=field, value=text
        ) from None


#: Queries by name.
QUERIES = {
    cls.name: cls
    for cls in (
        Status,
        Services,
        Routes,
        Zones,
        Replicas,
        Refusals,
        Upstreams,
        Dump,
        ShowMetrics,
        Explain,
        Where,
    )
}
