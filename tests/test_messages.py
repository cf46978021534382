"""tests.test_messages: Tests of the message codec and its field checks."""

import msgpack
import testscenarios
import testtools

from knapweeddeal import messages
from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages import caller, control, packets


class RoundTrip(testtools.TestCase):
    """A message is equal after encoding and decoding, nested ones included."""

    def test_nested_message(self):
        entry = control.ServiceEntry(name="a", host="127.0.0.1", port=1, draining=["u"])
        configuration = control.Configuration(version=3, services=[entry])
        wire = messages.encode(control.ConfigurationPush(configuration=configuration))
        self.assertEqual(configuration, messages.decode(wire).configuration)


class MissingFields(testtools.TestCase):
    """Stored messages of an earlier version must stay readable after an update."""

    def test_defaults_are_filled_in(self):
        route = packets.PacketRoute(
            host="198.18.0.1",
            port=1,
            shares=[],
            former=[],
            terms=packets.NO_ROUTE_TERMS,
        )
        wire = route.to_wire()[:-1]
        self.assertEqual(route, messages.decode(msgpack.packb(wire)))

    def test_field_without_default_raises(self):
        data = msgpack.packb([packets.PacketRoute.tag, "198.18.0.1", 1, []])
        self.assertRaises(BadMessageError, messages.decode, data)


class BadInput(testscenarios.TestWithScenarios, testtools.TestCase):
    """Any malformed input raises BadMessageError, never another error."""

    scenarios = [
        ("empty", {"data": b""}),
        ("invalid msgpack", {"data": b"\xc1\xff\x00"}),
        ("truncated", {"data": msgpack.packb([1, "svc", 1, 2])[:-1]}),
        ("trailing byte", {"data": msgpack.packb([9, "svc", 1]) + b"x"}),
        ("map instead of a list", {"data": msgpack.packb({"a": 1})}),
        ("unknown tag", {"data": msgpack.packb([9999])}),
        ("list as tag", {"data": msgpack.packb([[1], 2])}),
        ("too few fields", {"data": msgpack.packb([1, "svc"])}),
        ("wrong type", {"data": msgpack.packb([1, 5, 1, 2])}),
        ("negative number", {"data": msgpack.packb([1, "svc", -1, 2])}),
        ("boolean for a number", {"data": msgpack.packb([1, "svc", True, 2])}),
        ("long text", {"data": msgpack.packb([1, "s" * 65, 1, 2])}),
        ("long body", {"data": msgpack.packb([10, "s", 1, 2, b"x" * 1201])}),
        ("deeply nested list", {"data": b"\x91" * 100_000}),
    ]

    def test_raises(self):
        self.assertRaises(BadMessageError, messages.decode, self.data)


class Unencodable(testscenarios.TestWithScenarios, testtools.TestCase):
    """A message that no receiver could read raises BadMessageError.

    Guards against another error that ends the task of the sender.
    """

    scenarios = [
        ("half a surrogate pair", {"name": "\ud800", "number": 1}),
        ("undecodable argument", {"name": "\udcff", "number": 1}),
        ("integer of 65 bits", {"name": "records", "number": 2**64}),
        ("negative integer of 64 bits", {"name": "records", "number": -(2**63) - 1}),
    ]

    def test_encode(self):
        message = control.ServiceEntry(
            name=self.name, host="127.0.0.1", port=self.number, draining=[]
        )
        error = self.assertRaises(BadMessageError, messages.encode, message)
        self.assertEqual("ServiceEntry", error.field)


class Constructor(testtools.TestCase):
    """Constructors require exactly the fields of the schema, by keyword."""

    def test_missing_or_unknown_field_raises(self):
        self.assertRaises(TypeError, caller.KeepAliveAck, service="a")
        self.assertRaises(TypeError, caller.KeepAliveAck, service="a", flow_id=1, x=2)
