"""tests.test_fuzz: Property tests: any input yields a value or a typed error."""

import configparser
import json
import tempfile
from collections import Counter
from pathlib import Path

import testscenarios
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddeal.actions import UpstreamKey
from knapweeddeal.commandrecords import command_record, encode_command
from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.errors import (
    BadMessageError,
    BadSettingError,
    BadTicketError,
    KnapweeddealError,
    StreamClosedError,
)
from knapweeddeal.ipaddresses import is_ipv4
from knapweeddeal.messages import (
    REGISTRY,
    Message,
    caller,
    decode,
    encode,
    peer,
    upstream,
)
from knapweeddeal.messages.packets import PublishRequest
from knapweeddeal.messages.replication import ConfirmRecord, PlanRecord
from knapweeddeal.packetroutes import pack_route_keys
from knapweeddeal.platform.configurations import decode_configuration
from knapweeddeal.platform.reports import decode_report
from knapweeddeal.settings import OPTIONS, read_settings
from knapweeddeal.stream import Stream
from knapweeddeal.ticket import TicketSealer
from knapweeddeal.upstream import UpstreamCore
from tests.directoryfakes import announce
from tests.entrycluster import CALLER, SERVICE, EntryCluster
from tests.messagestrategies import any_message, malformed_bytes, message_of
from tests.test_platform import REPORT, ROUTE
from tests.test_settings import CONTROL, ENTRY

MANY_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=300)
ODD_VALUES = st.sampled_from(
    ["", "-1", "1.5", "entry", "a=1.2.3.4:5", "9" * 40, "1:zz"]
)
FEW_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=60)


class ChunkSocket:
    """Fake socket that receives the given chunks of bytes."""

    def __init__(self, chunks):
        self._chunks = list(chunks)

    async def recv(self, _max_bytes):
        """Return the next chunk, or no bytes at the end."""
        return self._chunks.pop(0) if self._chunks else b""


def run(coroutine):
    """Return the result of a coroutine that must not block."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine blocked")


class Codec(testtools.TestCase):
    """Decoding any bytes returns a message or raises BadMessageError."""

    @MANY_EXAMPLES
    @given(malformed_bytes())
    def test_decode(self, data):
        try:
            message = decode(data)
        except BadMessageError:
            return
        self.assertIsInstance(message, Message)
        decode(encode(message))

    @MANY_EXAMPLES
    @given(st.lists(malformed_bytes(), max_size=4), st.integers(1, 40))
    def test_stream(self, parts, size):
        data = b"".join(parts)
        chunks = [data[at : at + size] for at in range(0, len(data), size)]
        stream = Stream(socket=ChunkSocket(chunks))
        try:
            while True:
                self.assertIsInstance(run(stream.receive()), Message)
        except (BadMessageError, StreamClosedError):
            return


class RoundTrip(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every message is equal after encoding and decoding."""

    scenarios = [(cls.__name__, {"cls": cls}) for _, cls in sorted(REGISTRY.items())]

    def test_equal(self):
        @settings(derandomize=True, deadline=None, max_examples=10)
        @given(message_of(self.cls))
        def check(message):
            self.assertEqual(message, decode(encode(message)))

        check()


class Tickets(testtools.TestCase):
    """Forged or altered tickets raise BadTicketError."""

    @MANY_EXAMPLES
    @given(st.binary(max_size=80), st.integers(0, 200), st.integers(1, 255))
    def test_forged_and_altered_tickets(self, data, position, mask):
        sealer = TicketSealer(keys={1: bytes(16)}, life_ms=1_000)
        valid_ticket = EntryCluster(entries=("a",)).open("a").ticket
        altered = bytearray(valid_ticket)
        altered[position % len(altered)] ^= mask
        for ticket in (data, bytes(altered)):
            self.assertRaises(BadTicketError, sealer.open, ticket, now_ms=0)


class Entry(testtools.TestCase):
    """An entry survives any datagram and any message, and opens flows after it."""

    def setUp(self):
        super().setUp()
        self.cluster = EntryCluster(entries=("a", "b"))
        self.open_flow = self.cluster.open("a")

    def still_serves(self):
        """Return whether an entry still opens a flow."""
        return bool(self.cluster.open("a").ticket)

    def test_datagrams(self):
        @MANY_EXAMPLES
        @given(malformed_bytes())
        def check(data):
            core = self.cluster.entries["a"]
            for service in (SERVICE, "other", ""):
                actions = core.from_caller(service, CALLER, data, now_ms=1_000)
                self.assertIsInstance(actions, list)

        check()
        self.assertTrue(self.still_serves())

    def test_caller_messages_with_a_valid_ticket(self):
        @MANY_EXAMPLES
        @given(any_message(caller))
        def check(message):
            fields = {"service": SERVICE}
            for name in ("flow_id", "ticket"):
                if name in message.schema:
                    fields[name] = getattr(self.open_flow, name)
            sent = message.replace(
                **{k: v for k, v in fields.items() if k in field_names(message)}
            )
            self.cluster.send("a", self.open_flow, sent)
            self.cluster.send("b", self.open_flow, sent)

        check()
        self.cluster.advance(5_000)
        self.cluster.announce_all()
        self.assertTrue(self.still_serves())

    def test_upstream_messages(self):
        @MANY_EXAMPLES
        @given(any_message(upstream))
        def check(message):
            core = self.cluster.entries["a"]
            for key in (
                self.cluster.key("u1"),
                UpstreamKey(service="x", upstream_id="y", incarnation=2),
            ):
                self.assertIsInstance(
                    core.from_upstream(message, key, now_ms=1_000), list
                )

        check()
        self.assertTrue(self.still_serves())

    def test_peer_messages(self):
        @MANY_EXAMPLES
        @given(any_message(peer))
        def check(message):
            core = self.cluster.entries["a"]
            self.assertIsInstance(core.from_peer(message, None, now_ms=1_000), list)

        check()
        self.assertTrue(self.still_serves())

    def test_announcements(self):
        @MANY_EXAMPLES
        @given(message_of(upstream.Announce))
        def check(message):
            core = self.cluster.entries["a"]
            core.apply_announce(message, now_ms=1_000)
            core.apply_announce(message.replace(service=SERVICE), now_ms=1_000)

        check()
        self.cluster.advance(3_000)


def field_names(message):
    """Return the fields of a message."""
    return set(message.schema)


class Upstream(testtools.TestCase):
    """An upstream survives any message from an entry."""

    def test_receive(self):
        core = UpstreamCore(announce=announce())

        @MANY_EXAMPLES
        @given(any_message())
        def check(message):
            self.assertIsInstance(core.receive(message, "a", now_ms=1), list)

        check()
        core.tick(now_ms=10**9)


class Control(testtools.TestCase):
    """The replicated state answers any record, and its snapshot restores it."""

    def test_apply(self):
        state = ConfigurationState()
        index = Counter()

        @MANY_EXAMPLES
        @given(message_of(PlanRecord) | message_of(ConfirmRecord))
        def check(record):
            index["next"] += 1
            self.assertIsInstance(state.apply(index["next"], record), Message)
            other = ConfigurationState()
            other.restore(state.encode_snapshot())
            self.assertEqual(state.encode_snapshot(), other.encode_snapshot())

        check()


#: Values of JSON fields: any, and variations of what the fields expect.
ODD_JSON = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(alphabet=st.characters(), max_size=70),
    st.from_regex(r"[0-9.:/+ \u0661-\u0669]{0,24}", fullmatch=True),
    st.from_regex(
        r"(0{0,2}[0-9]{1,3}\.){3}0{0,2}[0-9]{1,3}:0?[0-9]{1,5}", fullmatch=True
    ),
    st.lists(st.none(), max_size=2),
)


class PlatformDocuments(testtools.TestCase):
    """What is accepted from outside can be sent, stored and read again.

    Guards against a report or document that ends the processes that handle it later.
    """

    def check_readable(self, message):
        self.assertEqual(message, decode(encode(message)))

    @MANY_EXAMPLES
    @given(st.sampled_from(sorted(REPORT)), ODD_JSON)
    def test_report(self, name, value):
        body = json.dumps({**REPORT, name: value}).encode()
        try:
            state = decode_report("i-1", body, home=1)
        except KnapweeddealError:
            return
        self.check_readable(state)
        self.assertTrue(is_ipv4(state.host))

    @MANY_EXAMPLES
    @given(
        st.sampled_from([*sorted(ROUTE), "split"]),
        ODD_JSON,
        st.integers(1, 70),
        st.sampled_from(["route", "service", "document"]),
    )
    def test_configuration(self, name, value, shares, place):
        split = [{"service": "huvo11a", "weight": 1}] * shares
        routes = [dict(ROUTE)]
        services = [{"name": "huvo11a"}]
        if place == "route":
            routes[0][name] = value
            if name == "split":
                routes[0].update(service=None, split=split)
        elif place == "service":
            services.append({"name": value, "coldPerS": value})
        document = {"version": 1, "routes": routes, "services": services, "limits": {}}
        if place == "document":
            document["version"] = value
        body = json.dumps(document).encode()
        try:
            configuration = decode_configuration(body)
            record = command_record(
                PublishRequest(configuration=configuration), None, wall_ms=0
            )
            encode_command(record)
        except KnapweeddealError:
            return
        self.check_readable(configuration)
        pack_route_keys(configuration.routes)


class Settings(testtools.TestCase):
    """Any settings file is read, or raises BadSettingError and no other error."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.ini"

    def read(self, data):
        """Read settings from bytes."""
        self.path.write_bytes(data)
        try:
            read_settings(str(self.path))
        except BadSettingError as error:
            self.assertEqual("bad_setting", error.code)

    def test_bytes(self):
        @MANY_EXAMPLES
        @given(st.binary(max_size=80) | st.text(max_size=80).map(str.encode))
        def check(data):
            self.read(data)

        check()

    def test_odd_values(self):
        names = sorted({(option.section, option.key) for option in OPTIONS})
        text = st.text(max_size=12)
        part = st.text(st.sampled_from("0129af:.,=-² "), max_size=12)

        @MANY_EXAMPLES
        @given(
            st.sampled_from((ENTRY, CONTROL)),
            st.sampled_from(names),
            text | part | ODD_VALUES,
        )
        def check(valid, name, value):
            parser = configparser.ConfigParser(interpolation=None)
            parser.read_string(valid)
            section, key = name
            lines = {s: dict(parser[s]) for s in parser.sections()}
            lines.setdefault(section, {})[key] = value
            written = "".join(
                f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in keys.items())
                for section, keys in lines.items()
            )
            self.read(written.encode("utf-8", "surrogatepass"))

        check()


class Errors(testtools.TestCase):
    """The description of an error is one line, whatever its value."""

    @FEW_EXAMPLES
    @given(st.text(max_size=300))
    def test_description_is_one_line(self, value):
        error = KnapweeddealError("text", field="field", value=value)
        self.assertNotIn("\n", error.describe())
