"""tests.test_platform: Tests of the platform's formats and calls."""

import json
import threading
import time
from unittest import mock

import curio
import testscenarios
import testtools

from knapweeddeal.commandrecords import PreparedPublication, command_record
from knapweeddeal.configurationstate import ConfigurationState, failure_answer
from knapweeddeal.controlqueries import local_answer
from knapweeddeal.errors import (
    BadMessageError,
    KnapweeddealError,
    NoQuorumError,
    NotLeaderError,
)
from knapweeddeal.httpserver import HttpRequest, serve_http
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.evacuation import EvacuateRequest
from knapweeddeal.messages.packets import (
    DRAINING,
    GONE,
    READY,
    PublishAnswer,
    PublishedAnswer,
    PublishedRoutesRequest,
    PublishRecord,
    RouteTerms,
    ServiceTerms,
)
from knapweeddeal.metrics import Metrics
from knapweeddeal.packetevents import UpstreamReported
from knapweeddeal.packethub import PacketHub
from knapweeddeal.platform.api import PlatformApi
from knapweeddeal.platform.configurations import decode_configuration
from knapweeddeal.platform.fields import decode_object
from knapweeddeal.platform.reports import (
    MAX_REPORT_BYTES,
    decode_departure,
    decode_report,
)
from knapweeddeal.upstreamtable import UpstreamTable
from tests.processes import free_port

REPORT = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "tt-north-pos",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 1_500,
    "seq": 4,
    "born": 1_776_086_764_244,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "pathPrefix": "/8080/",
    "type": "unsafe",
    "timeoutMs": 3_005,
    "sloMs": 200,
    "priority": 1,
    "service": "huvo11a",
    "attempts": 2,
}
SPLIT = {
    **{key: value for key, value in ROUTE.items() if key != "service"},
    "name": "r-2",
    "pathPrefix": "/8443/",
    "split": [
        {"service": "huvo11a", "weight": 90},
        {"service": "wuno96b", "weight": 10},
    ],
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE, SPLIT],
    "services": [
        {"name": "huvo11a", "healthPath": "/health", "maxConns": 4222},
        {"name": "wuno96b", "healthPath": "/health", "maxConns": 4222},
    ],
    "limits": {"idleTimeoutMs": 15_000},
}


#: Values of each type that JSON has, by the type's name.
OTHER_TYPES = {
    "null": None,
    "a boolean": True,
    "a number": 1,
    "a fraction": 1.5,
    "a text": "x",
    "a list": [],
    "an object": {},
}
#: Hosts that some functions read as an address and others don't, or differently.
AMBIGUOUS_HOSTS = (
    "127.0.9.08",
    "127.0.9.010",
    "0x7f.0.0.1",
    "127.1",
    "\u0661\u0662\u0667.0.0.1",
    "127.0.0.1\0",
    "127.0.0.256",
    "127.0.0.1 ",
    "::1",
)
AMBIGUOUS_PORTS = ("080", "+80", "8_0", "\u0668\u0660", " 80", "0", "65536")


def encoded(value):
    """Return a value as the bytes of a body."""
    return value if isinstance(value, bytes) else json.dumps(value).encode()


class Reports(testtools.TestCase):
    """A status report is decoded into an upstream's state."""

    def test_fields(self):
        decoded = decode_report("i-7f3a91c2", encoded(REPORT), home=5)
        self.assertEqual(("10.128.0.9", 8080), (decoded.host, decoded.port))
        self.assertEqual((REPORT["born"], 4), (decoded.born_ms, decoded.sequence))
        self.assertEqual(
            ("ready", 1_500, 5), (decoded.status, decoded.cold_ms, decoded.home)
        )

    def test_draining(self):
        body = encoded({**REPORT, "state": "draining"})
        self.assertEqual(DRAINING, decode_report("i-1", body, home=5).status)

    def test_unknown_fields(self):
        body = encoded({**REPORT, "later": [1]})
        self.assertEqual(4, decode_report("i-1", body, home=5).sequence)

    def test_longest(self):
        body = encoded(REPORT)
        body += b" " * (MAX_REPORT_BYTES - len(body))
        self.assertEqual(4, decode_report("i-1", body, home=5).sequence)


class BadReports(testscenarios.TestWithScenarios, testtools.TestCase):
    """A malformed report or id is rejected as a bad message."""

    scenarios = [
        ("not JSON", {"body": b"{"}),
        ("not UTF-8", {"body": b"\xff\xfe{}"}),
        ("UTF-16", {"body": json.dumps(REPORT).encode("utf-16")}),
        ("UTF-8 with a byte order mark", {"body": b"\xef\xbb\xbf" + encoded(REPORT)}),
        ("not a number", {"body": {**REPORT, "later": float("nan")}}),
        ("infinity", {"body": {**REPORT, "later": [float("-inf")]}}),
        ("a key twice", {"body": encoded(REPORT)[:-1] + b', "seq": 5}'}),
        (
            "a nested key twice",
            {"body": encoded(REPORT)[:-1] + b', "a": {"b":1,"b":1}}'},
        ),
        ("a list", {"body": []}),
        ("nested too deeply", {"body": b"[" * 100_000}),
        *[
            (f"no {name}", {"body": {k: v for k, v in REPORT.items() if k != name}})
            for name in REPORT
        ],
        *[
            (f"{kind} as {name}", {"body": {**REPORT, name: value}})
            for name, own in REPORT.items()
            for kind, value in OTHER_TYPES.items()
            if type(value) is not type(own)
        ],
        ("unknown state", {"body": {**REPORT, "state": "sleeping"}}),
        ("text for a number", {"body": {**REPORT, "seq": "4"}}),
        ("boolean for a number", {"body": {**REPORT, "seq": True}}),
        ("negative number", {"body": {**REPORT, "seq": -1}}),
        ("fraction", {"body": {**REPORT, "born": 1.5}}),
        ("number too large", {"body": {**REPORT, "born": 2**70}}),
        ("no slots", {"body": {**REPORT, "slots": 0}}),
        ("no port", {"body": {**REPORT, "addr": "10.0.0.1"}}),
        ("a name as address", {"body": {**REPORT, "addr": "example:80"}}),
        *[
            (f"half a surrogate pair as {name}", {"body": {**REPORT, name: "\ud800"}})
            for name in ("service", "zone", "state", "addr")
        ],
        *[
            (f"host {host!r}", {"body": {**REPORT, "addr": f"{host}:80"}})
            for host in AMBIGUOUS_HOSTS
        ],
        *[
            (f"port {port!r}", {"body": {**REPORT, "addr": f"10.0.0.1:{port}"}})
            for port in AMBIGUOUS_PORTS
        ],
        ("too long", {"body": {**REPORT, "later": "x" * 65_536}}),
        ("id without digits", {"body": REPORT, "upstream_id": "i-"}),
        ("id too long", {"body": REPORT, "upstream_id": "i-" + "a" * 17}),
        ("id not hexadecimal", {"body": REPORT, "upstream_id": "i-xyz"}),
    ]
    upstream_id = "i-1"

    def test_refused(self):
        error = self.assertRaises(
            KnapweeddealError,
            decode_report,
            self.upstream_id,
            encoded(self.body),
            home=1,
        )
        self.assertEqual("bad_message", error.code)


class RepeatedKeyTime(testscenarios.TestWithScenarios, testtools.TestCase):
    """A body with a repeated key is refused before its caller gives up.

    The time grew with the square of the number of keys: a report with 80,000 of them
    stopped a replica for minutes.
    """

    #: Callers go to another replica after this time.
    PATIENCE_S = 1.0
    KEYS = [f'"key-{number:06d}":0' for number in range(40_000)]

    scenarios = [
        ("last key", {"body": ",".join([*KEYS, KEYS[-1]])}),
        ("last key is the first", {"body": ",".join([*KEYS, KEYS[0]])}),
        ("each key", {"body": ",".join(KEYS + KEYS)}),
        ("nested", {"body": f'"a":[{{{",".join([*KEYS, KEYS[-1]])}}}]'}),
        ("after many objects", {"body": f'"a":[{"{}," * 40_000}{{"b":0,"b":0}}]'}),
    ]

    def test_time(self):
        body = f"{{{self.body}}}".encode()
        started_s = time.thread_time()
        self.assertRaises(BadMessageError, decode_object, body)
        self.assertLess(time.thread_time() - started_s, self.PATIENCE_S)


class Departures(testscenarios.TestWithScenarios, testtools.TestCase):
    """A departure may name start and sequence."""

    scenarios = [
        ("no body", {"body": b"", "expected": (None, None)}),
        ("white space", {"body": b" \n", "expected": (None, None)}),
        ("start", {"body": b'{"born": 1000}', "expected": (1_000, None)}),
        ("both", {"body": b'{"born": 500, "seq": 9}', "expected": (500, 9)}),
    ]

    def test_departure(self):
        self.assertEqual(self.expected, decode_departure("i-1", self.body))


class BadDepartures(testscenarios.TestWithScenarios, testtools.TestCase):
    """A malformed departure is rejected as a bad message."""

    scenarios = [
        ("not JSON", {"body": b"{"}),
        ("text as start", {"body": b'{"born": "1"}'}),
        ("empty start", {"body": b'{"born": null}'}),
        ("too long", {"body": encoded({"born": 1, "later": "x" * 65_536})}),
        ("bad id", {"body": b"", "upstream_id": "i-xyz"}),
    ]
    upstream_id = "i-1"

    def test_refused(self):
        error = self.assertRaises(
            KnapweeddealError, decode_departure, self.upstream_id, self.body
        )
        self.assertEqual("bad_message", error.code)


def with_changes(**changes):
    """Return the document with some fields changed."""
    return {**DOCUMENT, **changes}


class Terms(testtools.TestCase):
    """Terms of routes and services reach the decisions under load."""

    def test_route(self):
        (route,) = decode_configuration(encoded(with_changes(routes=[ROUTE]))).routes
        terms = RouteTerms(
            kind="unsafe", timeout_ms=3_005, objective_ms=200, priority=1
        )
        self.assertEqual(terms, route.terms)

    def test_service(self):
        services = [
            {"name": "a", "maxConns": 9, "coldStartS": 2.0, "coldPerS": 1.5},
            {"name": "huvo11a"},
        ]
        body = encoded(with_changes(services=services, routes=[ROUTE]))
        expected = [
            ServiceTerms(
                name="a",
                max_connections=9,
                cold_start_ms=2_000,
                cold_per_s_milli=1_500,
            ),
            ServiceTerms(
                name="huvo11a", max_connections=0, cold_start_ms=0, cold_per_s_milli=0
            ),
        ]
        self.assertEqual(expected, decode_configuration(body).services)


class BadConfigurations(testscenarios.TestWithScenarios, testtools.TestCase):
    """Malformed or inconsistent documents of operators are rejected."""

    scenarios = [
        ("truncated", {"body": encoded(DOCUMENT)[:-20]}),
        ("UTF-16", {"body": json.dumps(DOCUMENT).encode("utf-16-le")}),
        ("not a number", {"body": with_changes(later=float("nan"))}),
        ("a key twice", {"body": encoded(DOCUMENT)[:-1] + b', "version": 8}'}),
        ("no version", {"body": {k: v for k, v in DOCUMENT.items() if k != "version"}}),
        ("no routes", {"body": with_changes(routes=None)}),
        ("services not a list", {"body": with_changes(services="none")}),
        ("no limits", {"body": with_changes(limits=[])}),
        ("unknown service", {"body": with_changes(routes=[{**ROUTE, "service": "x"}])}),
        (
            "two routes with one address",
            {"body": with_changes(routes=[ROUTE, {**ROUTE, "name": "r-3"}])},
        ),
        ("bad priority", {"body": with_changes(routes=[{**ROUTE, "priority": "x"}])}),
        ("bad rate", {"body": with_changes(services=[{"name": "a", "coldPerS": -1}])}),
        ("timeout 0", {"body": with_changes(routes=[{**ROUTE, "timeoutMs": 0}])}),
        ("no service", {"body": with_changes(routes=[{**ROUTE, "service": None}])}),
        (
            "both service and split",
            {"body": with_changes(routes=[{**SPLIT, "service": "huvo11a"}])},
        ),
        (
            "host name as host",
            {"body": with_changes(routes=[{**ROUTE, "host": "x.org"}])},
        ),
        (
            "path prefix without a port",
            {"body": with_changes(routes=[{**ROUTE, "pathPrefix": "/a/"}])},
        ),
        *[
            (
                f"half a surrogate pair as {name}",
                {"body": with_changes(routes=[{**ROUTE, name: "x\udfff"}])},
            )
            for name in ("name", "type", "host")
        ],
        (
            "half a surrogate pair as service",
            {"body": with_changes(services=[{"name": "\ud800"}], routes=[])},
        ),
        *[
            (f"host {host!r}", {"body": with_changes(routes=[{**ROUTE, "host": host}])})
            for host in AMBIGUOUS_HOSTS
        ],
        *[
            (
                f"port {port!r}",
                {"body": with_changes(routes=[{**ROUTE, "pathPrefix": f"/{port}/"}])},
            )
            for port in AMBIGUOUS_PORTS
        ],
        ("empty split", {"body": with_changes(routes=[{**SPLIT, "split": []}])}),
        (
            "no weight",
            {
                "body": with_changes(
                    routes=[{**SPLIT, "split": [{"service": "huvo11a", "weight": 0}]}]
                )
            },
        ),
        (
            "missing weight",
            {
                "body": with_changes(
                    routes=[{**SPLIT, "split": [{"service": "huvo11a"}]}]
                )
            },
        ),
    ]

    def test_refused(self):
        error = self.assertRaises(
            KnapweeddealError, decode_configuration, encoded(self.body)
        )
        self.assertIn(error.code, ("bad_message", "invalid_intent"))


def http_request(method, target, body):
    """Return a request over a new connection."""
    return HttpRequest(method=method, target=target, body=encoded(body), session={})


class FakeReplica:
    """Stand in for the replicated log and the hub."""

    def __init__(self, *, error=None):
        self.state = ConfigurationState()
        self.zones = ("zone-a", "zone-b")
        self.table = UpstreamTable(own_identity=1, report_ms=1_000)
        self.error = error
        self.events = curio.Queue()
        self.metrics = Metrics()
        self.api = PlatformApi(
            send_request=self.answer_request,
            replica=self,
            hub_events=self.events,
            identity=1,
            port=8166,
            metrics=self.metrics,
        )

    @property
    def packets(self):
        """Return the packet routes in force."""
        return self.state.packets

    def check_leader(self):
        """Raise the error of a replica that isn't the leader."""
        if isinstance(self.error, NotLeaderError):
            raise self.error

    async def answer_request(self, message):
        """Answer an operator's message as a leader does."""
        if self.error is not None:
            return failure_answer(self.error)
        if isinstance(message, PreparedPublication):
            record = message.command.record
            return local_answer(message, self) or self.state.apply(1, record)
        if isinstance(message, EvacuateRequest):
            record = command_record(message, None, wall_ms=0)
            return local_answer(message, self) or self.state.apply(1, record)
        assert isinstance(message, PublishedRoutesRequest)
        return PublishedAnswer(configuration=self.state.packets)

    async def serve_hub(self):
        """Answer events as the hub does."""
        while True:
            event = await self.events.get()
            if isinstance(event, UpstreamReported):
                self.table.apply_state(event.state, 0)
            await event.reply.put(True)

    def call(self, *calls):
        """Return the responses to (method, target, body) calls."""

        async def run():
            hub = await curio.spawn(self.serve_hub, daemon=True)
            responses = [
                await self.api.handle_request(http_request(method, target, body))
                for method, target, body in calls
            ]
            await hub.cancel()
            return responses

        return curio.run(run)


class IncompleteReports(testscenarios.TestWithScenarios, testtools.TestCase):
    """A report that lacks a field changes nothing, whichever upstream it names.

    Guards against another writer's report that takes the address, and so the flows, of
    a running upstream, or replaces its state.
    """

    scenarios = [
        (f"no {name}, {whose} id", {"name": name, "upstream_id": upstream_id})
        for name in REPORT
        for whose, upstream_id in (("its own", "i-1"), ("another", "i-2"))
    ]

    def test_unchanged(self):
        replica = FakeReplica()
        replica.table.set_services([REPORT["service"]])
        later = {**REPORT, "born": REPORT["born"] + 1}
        del later[self.name]
        responses = replica.call(
            ("PUT", "/-/instances/i-1", REPORT),
            ("PUT", f"/-/instances/{self.upstream_id}", later),
        )
        self.assertEqual([200, 400], [response.status for response in responses])
        (known,) = replica.table.states(0)
        expected = decode_report("i-1", encoded(REPORT), home=1)
        self.assertEqual(expected, known)


#: The function that decodes documents.
DECODER = "knapweeddeal.platform.publisher.decode_configuration"
#: The timeout of a call.
TIMEOUT = "knapweeddeal.platform.api.ANSWER_TIMEOUT_MS"
UNENCODABLE = {**REPORT, "zone": "\ud800"}


class ApiCalls(testscenarios.TestWithScenarios, testtools.TestCase):
    """Each of some consecutive calls gets the right HTTP status."""

    PUT = ("PUT", "/-/config", DOCUMENT)
    GET = ("GET", "/-/config", b"")
    REPORT = ("PUT", "/-/instances/i-1", REPORT)
    DEPARTURE = ("DELETE", "/-/instances/i-1", b"")
    EVACUATE = ("POST", "/-/evacuate/zone-a", b"")
    READMIT = ("DELETE", "/-/evacuate/zone-a", b"")

    scenarios = [
        ("publish three times", {"calls": [PUT, PUT, PUT], "statuses": [200] * 3}),
        ("read before a publication", {"calls": [GET], "statuses": [503]}),
        ("read", {"calls": [PUT, GET], "statuses": [200, 200]}),
        (
            "invalid document",
            {"calls": [("PUT", "/-/config", b"x")], "statuses": [400]},
        ),
        (
            "report and departure",
            {"calls": [REPORT, DEPARTURE], "statuses": [200, 200]},
        ),
        ("departure of an unknown upstream", {"calls": [DEPARTURE], "statuses": [200]}),
        (
            "bad report",
            {"calls": [("PUT", "/-/instances/i-1", b"x")], "statuses": [400]},
        ),
        (
            "report that no message can carry",
            {
                "calls": [("PUT", "/-/instances/i-1", UNENCODABLE)],
                "statuses": [400],
            },
        ),
        ("unknown path", {"calls": [("GET", "/", b"")], "statuses": [404]}),
        ("wrong method", {"calls": [("POST", "/-/config", b"")], "statuses": [405]}),
        (
            "repeated orders",
            {"calls": [EVACUATE, EVACUATE, READMIT, READMIT], "statuses": [200] * 4},
        ),
        (
            "unknown zone",
            {"calls": [("POST", "/-/evacuate/zone-q", b"")], "statuses": [400]},
        ),
        (
            "wrong method for an order",
            {"calls": [("PUT", "/-/evacuate/zone-a", b"")], "statuses": [405]},
        ),
        (
            "follower",
            {
                "calls": [PUT, GET],
                "statuses": [307, 307],
                "error": NotLeaderError("", field="leader", value="10.0.0.4:7000"),
            },
        ),
        (
            "no leader known",
            {"calls": [PUT], "statuses": [503], "error": NotLeaderError("")},
        ),
        (
            "no quorum",
            {"calls": [PUT, GET], "statuses": [503, 503], "error": NoQuorumError("")},
        ),
    ]
    error = None

    def test_statuses(self):
        responses = FakeReplica(error=self.error).call(*self.calls)
        self.assertEqual(self.statuses, [r.status for r in responses])
        for response in responses:
            if response.status == 307:
                self.assertEqual("http://10.0.0.4:8166/-/config", response.location)


def status_report(state, *, start=1, upstream="i-1"):
    """Return a call with a status report of one start of an upstream."""
    report = {**REPORT, "state": state, "born": start, "seq": 1 + (state != "ready")}
    return ("PUT", f"/-/instances/{upstream}", report)


class NoHints:
    """Stand in for an empty hint file."""

    def read(self):
        """Return None."""

    async def mark_dirty(self):
        """Do nothing."""


class DelayedDeparture(testscenarios.TestWithScenarios, testtools.TestCase):
    """A departure over a connection is of the process that reported over it.

    Guards against a delayed departure that ends the next process under the id, which
    drains too: a forwarder resets its open flows then.
    """

    DEPARTURE = ("DELETE", "/-/instances/i-1", b"")
    EARLIER = ("earlier", status_report("draining"))
    NEXT = ("next", status_report("draining", start=2))

    #: Calls over named connections.
    scenarios = [
        (
            "earlier process",
            {"calls": [EARLIER, NEXT, ("earlier", DEPARTURE)], "status": DRAINING},
        ),
        (
            "earlier process, next one ready",
            {
                "calls": [
                    EARLIER,
                    ("next", status_report("ready", start=2)),
                    ("earlier", DEPARTURE),
                ],
                "status": READY,
            },
        ),
        (
            "present process",
            {"calls": [EARLIER, NEXT, ("next", DEPARTURE)], "status": GONE},
        ),
        (
            "present process after the earlier one",
            {
                "calls": [EARLIER, NEXT, ("earlier", DEPARTURE), ("next", DEPARTURE)],
                "status": GONE,
            },
        ),
        (
            "reported as draining elsewhere",
            {
                "calls": [("next", status_report("ready")), ("next", DEPARTURE)],
                "status": GONE,
            },
        ),
        (
            "new connection",
            {"calls": [EARLIER, NEXT, ("new", DEPARTURE)], "status": DRAINING},
        ),
        (
            "new connection, ready",
            {
                "calls": [("next", status_report("ready")), ("new", DEPARTURE)],
                "status": READY,
                "answer": b"503",
            },
        ),
        (
            "new connection, no earlier process",
            {"calls": [NEXT, ("new", DEPARTURE)], "status": GONE},
        ),
        (
            "connection of another upstream",
            {
                "calls": [
                    ("other", status_report("draining", start=2, upstream="i-2")),
                    EARLIER,
                    ("other", DEPARTURE),
                ],
                "status": GONE,
            },
        ),
    ]

    #: The answer to the last call.
    answer = b"200"

    def test_status(self):
        self.assertEqual(self.status, curio.run(self.final_status))

    async def final_status(self):
        """Make the calls at a control replica, and return the status of `i-1`."""
        replica = Replica(name="own", identity=1, host="10.0.0.1", port=1)
        events, metrics = curio.Queue(), Metrics()
        hub = PacketHub(
            own_replica=replica,
            zone="zone-a",
            report_ms=1_200,
            events=events,
            metrics=metrics,
            hints=NoHints(),
        )
        api = PlatformApi(
            send_request=None,
            replica=None,
            hub_events=events,
            identity=replica.identity,
            port=8166,
            metrics=metrics,
        )
        address = ("127.0.0.1", free_port())
        tasks = [
            await curio.spawn(hub.run, daemon=True),
            await curio.spawn(serve_http, address, api.handle_request, daemon=True),
        ]
        await curio.sleep(0.01)
        await self.make_calls(address)
        for task in tasks:
            await task.cancel()
        states = {one.upstream_id: one for one in hub.dump()["upstreams"]}
        return states["i-1"].status

    async def make_calls(self, address):
        """Make each call over its connection, and check the answers."""
        connections, answers = {}, []
        for name, (method, target, body) in self.calls:
            if name not in connections:
                connections[name] = await curio.open_connection(*address)
            data = encoded(body)
            head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            await connections[name].sendall(head.encode() + data)
            answer = await connections[name].recv(65_536)
            answers.append(answer.split()[1])
        for connection in connections.values():
            await connection.close()
        expected = [b"200"] * (len(self.calls) - 1) + [self.answer]
        self.assertEqual(expected, answers)


class CallMetrics(testtools.TestCase):
    """Methods that callers make up share one histogram.

    With one each, 5,700 calls took 100 MB of a replica's memory.
    """

    def test_names(self):
        replica = FakeReplica()
        methods = ["GET", "PUT", "POST", "DELETE", *(f"M{n}" for n in range(50))]
        replica.call(*((method, "/-/config", b"x") for method in methods))
        names = {f"api_{name}" for name in ("get", "put", "post", "delete", "other")}
        self.assertEqual(names, set(replica.metrics.summary()["us"]))


class PublishedDocument(testtools.TestCase):
    """A published document is returned unchanged."""

    def test_read(self):
        replica = FakeReplica()
        other = with_changes(version=7, routes=[])
        _, _, response = replica.call(
            ApiCalls.PUT, ("PUT", "/-/config", other), ApiCalls.GET
        )
        self.assertEqual(DOCUMENT, json.loads(response.body))

    def test_former_services(self):
        """A route keeps its former services, whose flows may still be open."""
        state = ConfigurationState()
        second = with_changes(version=8, routes=[{**ROUTE, "service": "wuno96b"}])
        for number, document in enumerate((DOCUMENT, second, DOCUMENT), 1):
            configuration = decode_configuration(encoded(document))
            record = PublishRecord(
                operator="", request_id="", configuration=configuration
            )
            answer = state.apply(number, record)
        self.assertEqual(PublishAnswer(revision=8), answer)
        (route,) = state.packets.routes
        self.assertEqual(["huvo11a"], route.former)
        restored = ConfigurationState()
        restored.restore(state.encode_snapshot())
        self.assertEqual(state.packets, restored.packets)


class SlowReplica(FakeReplica):
    """Decode or replicate documents only while a gate is open."""

    #: Longest wait for the gate, so that a test fails instead of hanging.
    GATE_TIMEOUT_S = 5

    def __init__(self, *, slow_step):
        super().__init__()
        self.gate = threading.Event()
        #: The bodies that were decoded.
        self.decoded = []
        self._slow_step = slow_step

    def decode(self, body):
        """Decode a document."""
        self.decoded.append(body)
        if self._slow_step == "decode":
            self.gate.wait(self.GATE_TIMEOUT_S)
        return decode_configuration(body)

    async def answer_request(self, message):
        """Answer an operator's message as a slow leader does."""
        while self._slow_step == "replicate" and not self.gate.is_set():
            await curio.sleep(0.01)
        return await super().answer_request(message)


class ResentDocuments(testscenarios.TestWithScenarios, testtools.TestCase):
    """A document that takes longer than a call is confirmed when it is sent again.

    Each call started over, so a document that outlived the timeout once was answered
    with 503 for ever, although it was in force.
    """

    FIRST = with_changes(version=7)
    SECOND = with_changes(version=8, routes=[ROUTE])
    INVALID = with_changes(version=6, routes=[{**ROUTE, "timeoutMs": 0}])

    #: The calls in `late` time out; those in `after` follow once the step is fast.
    scenarios = [
        (
            "slow decoding",
            {"step": "decode", "late": [FIRST, FIRST], "after": [(FIRST, 200)]},
        ),
        (
            "slow replication",
            {"step": "replicate", "late": [FIRST, FIRST], "after": [(FIRST, 200)]},
        ),
        (
            "overtaken",
            {
                "step": "decode",
                "late": [FIRST, SECOND],
                "after": [(SECOND, 200), (FIRST, 200), (SECOND, 200)],
            },
        ),
        (
            "overtaken while it is replicated",
            {
                "step": "replicate",
                "late": [FIRST, SECOND],
                "after": [(SECOND, 200), (FIRST, 200)],
            },
        ),
        (
            "invalid",
            {"step": "decode", "late": [INVALID], "after": [(INVALID, 400)]},
        ),
        (
            "invalid and lower",
            {"after": [(FIRST, 200), (INVALID, 400), (INVALID, 400)]},
        ),
    ]
    step = None
    late = ()

    def test_statuses(self):
        replica = SlowReplica(slow_step=self.step)

        async def put(body, timeout_ms):
            request = http_request("PUT", "/-/config", body)
            with mock.patch(TIMEOUT, timeout_ms):
                return (await replica.api.handle_request(request)).status

        async def run():
            late = [await put(body, 50) for body in self.late]
            replica.gate.set()
            return late, [await put(body, 5_000) for body, _ in self.after]

        with mock.patch(DECODER, replica.decode):
            late, after = curio.run(run)
        self.assertEqual([503] * len(self.late), late)
        self.assertEqual([status for _, status in self.after], after)
        # No document is decoded twice.
        self.assertEqual(sorted(set(replica.decoded)), sorted(replica.decoded))


class DocumentsWithoutDecoding(testscenarios.TestWithScenarios, testtools.TestCase):
    """A document whose answer doesn't depend on its content isn't decoded.

    Followers decoded each document only to name the leader.
    """

    FOLLOWER = NotLeaderError("", field="leader", value="10.0.0.4:7000")
    NO_LEADER = NotLeaderError("")
    INI = b"[publication]\nrevision = 7\n"

    scenarios = [
        ("in force", {"status": 200}),
        ("in force, at a follower", {"status": 200, "error": FOLLOWER}),
        ("in force, without a leader", {"status": 200, "error": NO_LEADER}),
        ("newer", {"body": with_changes(version=8), "status": 307, "error": FOLLOWER}),
        ("invalid", {"body": b"{", "status": 307, "error": FOLLOWER}),
        # The command line published it; as the body of a call it is invalid.
        ("INI in force", {"body": INI, "in_force": INI, "status": 400, "decodings": 1}),
    ]
    body = in_force = encoded(DOCUMENT)
    decodings = 0
    error = None

    def test_status(self):
        replica = FakeReplica(error=self.error)
        configuration = decode_configuration(encoded(DOCUMENT))
        replica.state.packets = configuration.replace(document=self.in_force)
        with mock.patch(DECODER, wraps=decode_configuration) as decode:
            (response,) = replica.call(("PUT", "/-/config", self.body))
        self.assertEqual(self.status, response.status)
        self.assertEqual(self.decodings, decode.call_count)


class DecodingInThread(testtools.TestCase):
    """Other tasks run while a document is decoded: heartbeats had to wait for it."""

    def test_read_meanwhile(self):
        replica = SlowReplica(slow_step="decode")

        async def call(method):
            request = http_request(method, "/-/config", DOCUMENT)
            return (await replica.api.handle_request(request)).status

        async def run():
            publishing = await curio.spawn(call, "PUT")
            while not replica.decoded:
                await curio.sleep(0.01)
            statuses = [await call("GET")]
            replica.gate.set()
            statuses.append(await publishing.join())
            return statuses

        with mock.patch(DECODER, replica.decode), mock.patch(TIMEOUT, 5_000):
            self.assertEqual([503, 200], curio.run(run))
